#!/bin/sh
# Installs the libraries of the daemon into target/deps and compiles its code.
#
# The folder is replaced as a whole, unless its stamp names the present
# requirements, interpreter and machine: compiled libraries of another machine,
# or an interrupted installation, would keep the daemons from starting. Builds of
# one checkout wait for each other.
set -eu

deps=target/deps
new=target/deps.new
wanted="$(python3 -c 'import sys, sysconfig; print(sys.version, sysconfig.get_platform())')
$(cksum deploy/requirements.txt)"

# The shell holds the lock until it ends.
mkdir -p target
exec 9>target/.lock
python3 -c 'import fcntl; fcntl.flock(9, fcntl.LOCK_EX)'

if [ "$(cat "$deps/.installed" 2>/dev/null)" != "$wanted" ]; then
    rm -rf "$new"
    python3 -m pip install -q --target "$new" -r deploy/requirements.txt
    printf '%s\n' "$wanted" >"$new/.installed"
    rm -rf "$deps"
    mv "$new" "$deps"
fi
python3 -m compileall -q celeryrelay

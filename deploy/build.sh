#!/bin/sh
# Installs the libraries of the daemon into target/deps and compiles its code.
#
# The folder is replaced as a whole, unless its stamp names the present
# requirements, interpreter and machine: compiled libraries of another machine,
# or an interrupted installation, would keep the daemons from starting.
set -eu

deps=target/deps
stamp="$deps/.installed"
wanted="$(python3 -c 'import sys, sysconfig; print(sys.version, sysconfig.get_platform())')
$(cksum deploy/requirements.txt)"

if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    rm -rf "$deps.new"
    python3 -m pip install -q --target "$deps.new" -r deploy/requirements.txt
    printf '%s\n' "$wanted" >"$deps.new/.installed"
    rm -rf "$deps"
    mv "$deps.new" "$deps"
fi
python3 -m compileall -q celeryrelay

#!/bin/sh
# Installs the libraries of the daemon into target/deps and compiles its code.
#
# The folder is replaced as a whole, unless its stamp names the present
# requirements, interpreter and machine: compiled libraries of another machine,
# or an interrupted installation, would keep the daemons from starting. Each
# build installs into a folder of its own, as several may run at once.
set -eu

deps=target/deps
wanted="$(python3 -c 'import sys, sysconfig; print(sys.version, sysconfig.get_platform())')
$(cksum deploy/requirements.txt)"

installed() {
    [ "$(cat "$deps/.installed" 2>/dev/null)" = "$wanted" ]
}

if ! installed; then
    mkdir -p target
    new="$(mktemp -d "$deps.XXXXXX")"
    trap 'rm -rf "$new"' EXIT
    python3 -m pip install -q --target "$new" -r deploy/requirements.txt
    chmod 755 "$new"
    printf '%s\n' "$wanted" >"$new/.installed"
    # Another build may have finished first: its folder is in use by now.
    installed || rm -rf "$deps"
    mv -T "$new" "$deps" 2>/dev/null || installed
fi
python3 -m compileall -q celeryrelay

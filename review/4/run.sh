#!/usr/bin/env bash
# Runs case 4; see claim.txt. Exit codes: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/4/case.py

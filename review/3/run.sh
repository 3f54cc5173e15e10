#!/usr/bin/env bash
# Status 1: the rule of claim.txt was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt beside this script.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
record=$folder/record.txt
: > "$record" || exit 2
exec "$folder/../run_case.sh" gang "$record"

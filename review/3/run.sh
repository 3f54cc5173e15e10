#!/usr/bin/env bash
# Status 1: the rule of claim.txt was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "$folder/../run_case.sh" gang "$folder"

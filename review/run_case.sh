#!/usr/bin/env bash
# run_case.sh CASE RECORD: runs a case on loopback addresses; the stand-ins write to the file RECORD.
# Status: that of the stand-ins (0: the rule held, 1: it was broken, 2: the case could not run).
set -u
case_name=$1
record=$2
review=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$review/.." || exit 2
read -r -a controller <<< "$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)"
if [ ! -x "${controller[0]}" ] || [ ! -x review/bin/site ]; then
    echo "build first: the build command of deploy/service.toml, then review/build.sh"
    exit 2
fi
dir=$(mktemp -d)
pids=()
# Called by the trap.
# shellcheck disable=SC2317
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM
mkfifo "$dir/orders" || exit 2
review/bin/site "$case_name" "$dir" "$record" "${TROUBLE:-1}" &
site=$!
pids+=("$site")
# The stand-ins say which controllers to start and to kill; the pipe closes when they end.
declare -A controllers
while read -r order i; do
    if [ "$order" = start ]; then
        LOG_LEVEL=${LOG_LEVEL:-error} "${controller[@]}" "$dir/barrow-$i.json" 2>> "${CONTROLLER_LOG:-/dev/null}" &
        controllers[$i]=$!
        pids+=($!)
    else
        kill -KILL "${controllers[$i]}"
        wait "${controllers[$i]}" 2> /dev/null
    fi
done < "$dir/orders"
wait "$site"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

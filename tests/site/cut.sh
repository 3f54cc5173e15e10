#!/usr/bin/env bash
# The state service falls silent and the leader is killed with it: nobody can lead for longer than a lease. The
# nodes that are left keep the workers' leases, and what runs goes on. Prints 'N passed, N failed'.
# usage: cut.sh BARROWCTL BARROWRUN-LAB kept|lost    (inside `barrowrun-lab run --machines 4 --cpus 1 --lease-s 8 -- ...`;
#        `lost`: with keep_leases switched off, the same must cost the leases, or this test could not fail)
set -u
ctl=$(realpath "$1") lab=$(realpath "$2") expected=$3
export USER=tester
site=$(dirname "$BARROWRUN_DEPOT") work=$(mktemp -d)
cd "$work" || exit 1
trap 'rm -rf "$work"' EXIT
bad=0
say() { echo "FAILED: $*"; bad=1; }
# Each start of a task leaves a line.
printf '{"command":"echo $$ >> %s/starts; sleep 20","team":"lab","tasks":4,"rank":"normal","cpus":1,"mem_gb":0.1}' "$work" > job.json
id=$("$ctl" --json submit job.json 2> submit.err | grep -o 'wk-[0-9]*' | head -1)
[ -n "$id" ] || { say "not accepted: $(cat submit.err)"; }
starts() { [ -f starts ] && wc -l < starts || echo 0; }
for _ in $(seq 100); do [ "$(starts)" -ge 4 ] && break; sleep 0.1; done
[ "$(starts)" -eq 4 ] || say "$(starts) of 4 tasks started"
sleep 3 # the nodes have heard their leader
"$lab" fault kill leader > /dev/null || say "the leader could not be killed"
"$lab" fault cut state --for 8 > /dev/null || say "the state service could not be cut"
end=$((SECONDS + 60))
until "$ctl" --json status "$id" 2> /dev/null | grep -q '"state":"done"'; do
    [ $SECONDS -lt $end ] || { say "the job is not done within 60 s"; break; }
    sleep 0.5
done
ran_out=$(grep -ls 'the lease has run out' "$site"/machines/*/log | wc -l)
if [ "$expected" = kept ]; then
    [ "$ran_out" -eq 0 ] || say "leases ran out on $ran_out machines"
    [ "$(starts)" -eq 4 ] || say "$(starts) starts of 4 tasks"
    grep -qs 'keeps the leases of its zone' "$site"/logs/barrow-* || say "no node kept a lease"
else
    [ "$ran_out" -gt 0 ] || say "no lease ran out with keep_leases switched off"
fi
echo "$((1 - bad)) passed, $bad failed"
exit $bad

#!/usr/bin/env bash
# The state service falls silent and the leader is killed with it: nobody can lead for longer than a lease. The
# nodes that are left keep the workers' leases, and what runs goes on. Prints 'N passed, N failed'.
# usage: cut.sh BARROWCTL BARROWRUN-LAB kept|lost    (inside `barrowrun-lab run --machines 4 --cpus 1 --lease-s 8 -- ...`;
#        `lost`: with keep_leases switched off, the same must cost the leases, or this test could not fail)
. "$(dirname "$0")/common.sh"
expected=$3 site=$(dirname "$BARROWRUN_DEPOT")
bad=0
# Each start of a task leaves a line.
id=$(submit '"tasks":4,"rank":"normal","cpus":1,"mem_gb":0.1' "echo \$\$ >> $work/starts; sleep 20")
[ -n "$id" ] || bad=1
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
ran_out=$(grep -ls 'the lease has expired' "$site"/machines/*/log | wc -l)
if [ "$expected" = kept ]; then
    [ "$ran_out" -eq 0 ] || say "leases ran out on $ran_out machines"
    [ "$(starts)" -eq 4 ] || say "$(starts) starts of 4 tasks"
    grep -qs 'keeps the leases of its zone' "$site"/logs/barrow-* || say "no node kept a lease"
else
    [ "$ran_out" -gt 0 ] || say "no lease ran out with keep_leases switched off"
fi
echo "$((1 - bad)) passed, $bad failed"
exit $bad

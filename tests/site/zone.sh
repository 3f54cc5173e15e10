#!/usr/bin/env bash
# A zone is cut off from everything outside for longer than its workers' leases can last, with what is under way held
# and delivered afterwards; meanwhile the leader is killed. No task may run twice at a time, by what the tasks write;
# what may run elsewhere is back there within the bound; what waits in the zone alone ends as well.
# Prints 'N passed, N failed'.
# usage: zone.sh BARROWCTL BARROWRUN-LAB
#        (inside `barrowrun-lab run --zones east,west --machines 16 --cpus 1 --lease-s 12 -- ...`; a worker
#        needs up to 10 s to find the node of its zone, so that a shorter lease tells nothing)
. "$(dirname "$0")/common.sh"
site=$(dirname "$BARROWRUN_DEPOT")
bad=0
# A task tells five times a second that it runs: moment, task, process.
# shellcheck disable=SC2016  # the task's shell expands it
beat='while :; do printf "%s %s %s\n" "$(date +%s.%N)" "$BARROW_JOB/$BARROW_TASK" $$ >> '"$work"'/beats; sleep 0.2; done'
alive() { # tasks of a job that told so within the last second
    awk -v now="$(date +%s.%N)" -v job="$1/" '$1 > now - 1 && index($2, job) == 1 {t[$2]=1} END {n=0; for (x in t) n++; print n}' beats 2> /dev/null || echo 0
}
until_alive() { # job, tasks, seconds
    local end=$((SECONDS + $3))
    until [ "$(alive "$1")" -ge "$2" ]; do [ $SECONDS -lt $end ] || return 1; sleep 0.2; done
}
desk=$(submit '"sort":"service","rank":"production","tasks":4,"cpus":1,"mem_gb":0.1' "$beat")
pair=$(submit '"sort":"service","rank":"production","tasks":4,"spread":true,"cpus":1,"mem_gb":0.1' "$beat")
work_there=$(submit '"tasks":2,"zone":"west","cpus":1,"mem_gb":0.1,"rank":"normal"' \
    "for i in \$(seq 120); do printf '%s %s %s\\n' \"\$(date +%s.%N)\" \"\$BARROW_JOB/\$BARROW_TASK\" \$\$ >> $work/beats; sleep 0.2; done")
for job in "$desk" "$pair"; do until_alive "$job" 4 20 || say "$(alive "$job") of 4 replicas of $job are up"; done
until_alive "$work_there" 2 10 || say "$(alive "$work_there") of 2 tasks run in the zone"
# The leader shall be outside of the zone that is cut (barrow-1 is its only node), so that its node has a leader to lose.
for _ in $(seq 6); do
    where=$("$lab" fault hang leader --for 0.01 | grep -o 'barrow-[0-9]')
    [ "$where" != barrow-1 ] && break
    # A node that ended once is back at once, gives up the lease of its earlier process and may win the next election.
    for _ in $(seq 16); do "$lab" fault kill barrow-1 > /dev/null; sleep 0.25; done
    sleep 4
done
[ "$where" != barrow-1 ] || say "the lead did not leave the zone"
sleep 3 # the nodes have heard their leader
cut_ends=$((SECONDS + 37))
"$lab" fault cut zone:west --for 36 > /dev/null || say "the zone could not be cut"
sleep 1
"$lab" fault kill leader > /dev/null || say "the leader could not be killed"
# Leases are kept for 12 s since the last contact and end 12 s later; then what may run elsewhere starts there, at once.
until_alive "$desk" 4 30 || say "$(alive "$desk") of 4 replicas that may run anywhere are up, with the zone cut off"
while [ $SECONDS -lt $cut_ends ]; do sleep 0.5; done
for job in "$desk" "$pair"; do until_alive "$job" 4 20 || say "$(alive "$job") of 4 replicas of $job are up after the cut"; done
end=$((SECONDS + 60))
until "$ctl" --json status "$work_there" 2> /dev/null | grep -q '"state":"done"'; do
    [ $SECONDS -lt $end ] || { say "the work of the zone is not done within 60 s"; break; }
    sleep 0.5
done
twice=$(ran_twice beats)
[ -z "$twice" ] || say "ran twice: $twice"
grep -qs 'keeps the leases of its zone' "$site"/logs/barrow-* || say "no node kept a lease"
grep -qs 'the lease has expired' "$site"/machines/*/log || say "no lease ran out: the cut was too short to tell anything"
for job in "$desk" "$pair"; do "$ctl" cancel "$job" > /dev/null; done
sleep 1
echo "$((1 - bad)) passed, $bad failed"
exit $bad

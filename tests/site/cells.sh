#!/usr/bin/env bash
# Two cells: the first is too small for what is submitted to it. What overflows is run by the other, comes back done, and
# nothing runs twice, by what the tasks write: undisturbed; with the way between the cells cut, leaders of both killed, and the other's
# state service gone meanwhile; and a cancelled job leaves no task in either.
# Prints 'N passed, N failed'.
# usage: cells.sh BARROWCTL BARROWRUN-LAB
#        (inside `barrowrun-lab run --cells 2 --machines 2 --machines-elsewhere 6 --cpus 1 -- ...`)
. "$(dirname "$0")/common.sh"
root=$(dirname "$BARROWRUN_DEPOT")
passed=0 failed=0
tasks() { # how many, and the command of each; prints the id
    submit "\"tasks\":$1,\"cpus\":1,\"mem_gb\":0.1,\"estimate_s\":2" "$2"
}
until_state() { # job, state, seconds
    local end=$((SECONDS + $3))
    until "$ctl" --json status "$1" 2> /dev/null | grep -q "\"state\":\"$2\""; do
        [ $SECONDS -lt $end ] || { say "$1 is not $2 within $3 s: $("$ctl" --json status "$1" 2>&1)"; return 1; }
        sleep 0.3
    done
}
once() { # tasks: each began and ended once
    [ "$(grep -c begin "$name.log")" -eq "$1" ] || say "$(grep -c begin "$name.log") starts of $1 tasks"
    [ "$(grep end "$name.log" | sort -u | wc -l)" -eq "$1" ] || say "$(grep end "$name.log" | sort -u | wc -l) of $1 tasks ended"
}
never_together() { # no two processes of a task at a time
    local twice; twice=$(ran_twice "$name.log")
    [ -z "$twice" ] || say "ran twice at a time: $twice"
}
task() { # seconds of work; writes a line at the beginning, every 0.2 s and at the end
    echo "w=$work/$name.log; line() { echo \$(date +%s.%N) \$BARROW_TASK \$\$ \$1 >> \$w; }; line begin; for i in \$(seq $(($1 * 5))); do sleep 0.2; line beat; done; line end"
}
fault() { BARROWRUN_LAB= "$lab" fault "$@" > /dev/null || say "the fault $* was not brought about"; }
spilled() { grep -hs "tasks of $1 come from cell cell-1" "$root"/cell-2/logs/barrow-* | grep -q . || say "nothing of $1 was run by the other cell"; }

case_overflow() {
    local id; id=$(tasks 12 "$(task 2)")
    until_state "$id" done 60 && { spilled "$id"; once 12; never_together; }
}
case_cut_and_killed() {
    local id; id=$(tasks 16 "$(task 3)")
    sleep 4
    fault cut cell:cell-2 --for 4 --dir "$root/cell-1"
    fault kill leader --dir "$root/cell-2"
    sleep 2
    fault kill leader --dir "$root/cell-1"
    sleep 3
    fault cut state --for 3 --dir "$root/cell-2"
    until_state "$id" done 120 && never_together
    [ "$(grep end "$name.log" | awk '{print $2}' | sort -u | wc -l)" -eq 16 ] || say "not all tasks have ended"
    spilled "$id"
}
case_cancelled() {
    local id; id=$(tasks 16 "$(task 30)")
    sleep 6
    spilled "$id"
    "$ctl" cancel "$id" > /dev/null || say "not cancelled"
    sleep 8
    local after; after=$(awk -v now="$(date +%s.%N)" '$1 > now - 1' "$name.log" | wc -l)
    [ "$after" -eq 0 ] || say "$after beats of tasks 8 s after the cancellation"
    until_state "$id" withdrawn 10
}
for name in overflow cut_and_killed cancelled; do
    bad=0
    case_$name
    [ $bad -eq 0 ] && passed=$((passed + 1)) || failed=$((failed + 1))
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]

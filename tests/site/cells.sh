#!/usr/bin/env bash
# Two cells: the first is too small for what is submitted to it. What overflows is run by the other, comes back done, and
# nothing runs twice, by what the tasks write: undisturbed; with the way between the cells cut, leaders of both killed, and the other's
# state service gone meanwhile; and a cancelled job leaves no task in either.
# Prints 'N passed, N failed'.
# usage: cells.sh BARROWCTL BARROWRUN-LAB
#        (inside `barrowrun-lab run --cells 2 --machines 2 --machines-elsewhere 6 --cpus 1 -- ...`)
. "$(dirname "$0")/cells_common.sh"

case_overflow() {
    local id; id=$(tasks 12 "$(task 2)")
    until_state "$id" "done" 60 && { spilled "$id"; once 12; never_together; }
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
    until_state "$id" "done" 120 && never_together
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
run_cases overflow cut_and_killed cancelled

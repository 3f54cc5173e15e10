#!/usr/bin/env bash
# Two cells, the first too small for what is submitted to it; parts come back from a cell that isn't heard. The way to
# the other is cut with its machines at work: its tasks stop there before any starts again at home, and all is done at home.
# Then the same with that cell's controllers killed again and again, so that nobody is there to stop anything. Nothing runs twice at
# a time, by what the tasks write.
# Prints 'N passed, N failed'.
# usage: cells_return.sh BARROWCTL BARROWRUN-LAB
#        (inside `barrowrun-lab run --cells 2 --machines 4 --machines-elsewhere 6 --cpus 1 --lease-s 3 --return-after-s 14 -- ...`)
. "$(dirname "$0")/cells_common.sh"
back() { grep -hs "job $1: shard reclaimed at its deadline" "$root"/cell-1/logs/barrow-* | grep -q . || say "no part of $1 came back"; }
all_ended() { [ "$(grep end "$name.log" | awk '{print $2}' | sort -u | wc -l)" -eq "$1" ] || say "not all tasks have ended"; }

case_cut() {
    local id; id=$(tasks 10 "$(task 12)")
    sleep 5
    spilled "$id"
    fault cut cell:cell-2 --for 40 --dir "$root/cell-1"
    local open=$((SECONDS + 41))
    until_state "$id" "done" 90 && { back "$id"; all_ended 10; never_together; }
    grep -hs "job $id: shard of cell .*, which does not reply, stops before its deadline" "$root"/cell-2/logs/barrow-* | grep -q . || say "the other cell did not stop its part"
    # The way is open again: what comes late of it starts nothing.
    while [ $SECONDS -lt $open ]; do sleep 0.5; done
    sleep 8
    never_together
}
case_nobody_there() {
    local id; id=$(tasks 10 "$(task 12)")
    sleep 5
    spilled "$id"
    local end=$((SECONDS + 30))
    while [ $SECONDS -lt $end ]; do
        for n in 0 1 2; do BARROWRUN_LAB="" "$lab" fault kill barrow-$n --dir "$root/cell-2" > /dev/null 2>&1; done
        sleep 0.5
    done
    until_state "$id" "done" 90 && { back "$id"; all_ended 10; never_together; }
}
run_cases cut nobody_there

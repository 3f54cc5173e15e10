# shellcheck shell=bash
# What the tests of several cells share: sourced with BARROWCTL BARROWRUN-LAB as arguments.
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
fault() { BARROWRUN_LAB="" "$lab" fault "$@" > /dev/null || say "the fault $* was not brought about"; }
spilled() { grep -hs "job $1: [0-9]* tasks accepted from cell cell-1" "$root"/cell-2/logs/barrow-* | grep -q . || say "nothing of $1 was run by the other cell"; }
run_cases() { # names
    for name in "$@"; do
        bad=0
        "case_$name"
        [ $bad -eq 0 ] && passed=$((passed + 1)) || failed=$((failed + 1))
    done
    echo "$passed passed, $failed failed"
    [ $failed -eq 0 ]
}

#!/usr/bin/env bash
# Nested quotas on the site it runs in: shown, checked, changed under failures, kept, and explained. Prints
# 'N passed, N failed'.
# usage: quotas.sh BARROWCTL BARROWRUN-LAB    (inside `barrowrun-lab run --machines 4 --cpus 2 --lease-s 4 --team desk
#        --operator tests/site/quotas.json -- ...`)
set -u
ctl=$(realpath "$1") lab=$(realpath "$2")
export BARROWRUN_OPERATOR_KEY=only-on-this-loopback USER=tester
work=$(mktemp -d)
cd "$work" || exit 1
trap 'rm -rf "$work"' EXIT
passed=0 failed=0
say() { echo "FAILED $name: $*"; bad=1; }
# One number of a node: used, limit or guarantee in CPUs, or tasks, waiting.
of() { # path what
    "$ctl" --json quota show 2> show.err | python3 -c '
import json, sys
line = sys.stdin.readline()
if not line: sys.exit("nothing shown")
for n in json.loads(line)["nodes"]:
    if n["path"] == sys.argv[1]:
        v = n.get(sys.argv[2], 0)
        print(v.get("cpus", 0) if isinstance(v, dict) else v)' "$1" "$2"
}
version() { "$ctl" --json quota show | python3 -c 'import json, sys; print(json.loads(sys.stdin.readline())["version"])'; }
until_is() { # seconds path what number
    local end=$((SECONDS + $1)) got
    while got=$(of "$2" "$3"); [ "$got" != "$4" ] && [ "$got" != "$4.0" ]; do
        [ $SECONDS -lt $end ] || { say "$2 $3 is $got, not $4 within $1 s"; return; }
        sleep 0.1
    done
}
job() { # team tasks seconds rank [project]; prints its id
    printf '{"command":"sleep %s","team":"%s","tasks":%s,"rank":"%s","cpus":1,"mem_gb":0.1%s}' "$3" "$1" "$2" "$4" "${5:+,\"project\":\"$5\"}" > job.json
    "$ctl" --json submit job.json 2> submit.err | grep -o 'wk-[0-9]*' | head -1
}
tree() { printf '{"nodes":[%s]}' "$1" > tree.json; }
projects='{"name":"lab","in":"bureau","team":"lab","guarantee":{"cpus":2}},{"name":"slips","in":"bureau/lab","guarantee":{"cpus":2}}'
with_limit() { tree "{\"name\":\"bureau\",\"guarantee\":{\"cpus\":2},\"limit\":{\"cpus\":$1}},$projects"; }
fault() { "$lab" fault "$@" > /dev/null || say "the fault $* was not brought about"; }

case_shown_checked_refused() {
    local before; before=$(version)
    "$ctl" quota show > out || say "show: status $?"
    grep -q 'bureau/lab/slips' out || say "no line for a project"
    "$ctl" quota show --tree | grep -q 'slips *\[' || say "no bar for a project"
    tree '{"name":"a","in":"b"},{"name":"b","in":"a"},{"name":"c","limit":{"cpus":1}},{"name":"d","in":"c","limit":{"cpus":2}}'
    "$ctl" quota check tree.json > out 2>&1; [ $? -eq 2 ] || say "a broken tree passes"
    grep -q 'a: a cycle: a in b in a' out || say "the cycle is not named"
    grep -q 'c/d: limit.cpus 2: c allows 1' out || say "the second fault is not named"
    "$ctl" quota set tree.json > out 2>&1; [ $? -eq 2 ] || say "a broken tree is set"
    with_limit 6
    BARROWRUN_OPERATOR_KEY=guessed "$ctl" quota set tree.json > out 2>&1; [ $? -eq 2 ] || say "a wrong key passes"
    [ "$(version)" = "$before" ] || say "something was changed"
    [ -z "$(job lab 1 0 normal ghosts)" ] || say "an unknown project is taken"
    grep -q "unknown project 'ghosts'" submit.err || say "it is not said why: $(cat submit.err)"
}
case_a_limit_holds_and_is_explained() {
    with_limit 3
    "$ctl" quota set tree.json --why "three at once" > out || say "set: status $?"
    local id; id=$(job lab 40 1.5 normal) # more than end while this looks, however slow the machine
    local most=0 n
    for _ in $(seq 25); do n=$(of bureau used); n=${n%.*}; [ "${n:-0}" -gt "$most" ] && most=$n; sleep 0.05; done
    [ "$most" -eq 3 ] || say "$most in use, not 3"
    local said tries=20 # not in the moment between an end and the next start
    until said=$("$ctl" explain "$id"); grep -q 'the limit of bureau: cpus in use 3, limit 3, wanted 1' <<< "$said" || [ $((tries--)) -le 0 ]; do :; done
    [ $tries -gt 0 ] || say "$said"
    "$ctl" quota history | grep -q 'tester.*three at once' || say "no history"
    "$ctl" cancel "$id" > /dev/null; until_is 8 bureau used 0
}
case_a_change_is_kept_whoever_dies() {
    for fallen in leader all; do
        local n=$((RANDOM % 3 + 4)) v
        with_limit "$n"
        "$ctl" quota set tree.json > out || say "set: status $?"
        v=$(version)
        if [ $fallen = leader ]; then fault kill leader; else for i in 0 1 2; do fault kill barrow-$i; done; fi
        until_is 15 bureau limit "$n"
        [ "$(version)" = "$v" ] || say "version $(version) after $fallen died, $v before"
    done
}
case_a_change_meets_an_outage() {
    with_limit 7; fault cut state --for 2
    timeout 30 "$ctl" quota set tree.json > out 2>&1 || say "set: status $?: $(cat out)"
    until_is 10 bureau limit 7
}
case_two_operators_at_once() {
    local before; before=$(version)
    for i in 1 2 3 4; do
        mkdir -p op$i; (cd op$i || exit; printf '{"nodes":[{"name":"op%s"}]}' $i > t.json; "$ctl" quota set t.json > out 2>&1; echo $? > status) &
    done
    wait
    local won; won=$(grep -lx 0 op*/status | wc -l)
    [ "$won" -ge 1 ] || say "nobody won: $(cat op*/out)"
    [ $((before + won)) -eq "$(version)" ] || say "$won won, versions $before to $(version)"
    for i in 1 2 3 4; do
        [ "$(cat op$i/status)" = 0 ] || grep -q 'by now\|under way' op$i/out || say "no clear conflict: $(cat op$i/out)"
    done
}
case_a_guarantee_is_given_back() {
    with_limit 8; "$ctl" quota set tree.json > out
    local lent mine
    lent=$(job desk 8 30 production)
    until_is 10 desk used 8
    mine=$(job lab 2 20 low slips)
    until_is 8 bureau/lab/slips used 2
    [ "$(of desk tasks)" = 6 ] || say "desk holds $(of desk tasks) tasks"
    sleep 2
    [ "$(of bureau/lab/slips tasks)" = 2 ] || say "the room was won back"
    "$ctl" cancel "$lent" > /dev/null; "$ctl" cancel "$mine" > /dev/null; until_is 8 bureau used 0
}
case_a_lowered_limit_drains() {
    with_limit 8; "$ctl" quota set tree.json > out
    local id; id=$(job lab 6 30 normal)
    until_is 10 bureau used 6
    with_limit 2; "$ctl" quota set tree.json > out
    fault kill leader
    until_is 15 bureau used 2
    "$ctl" cancel "$id" > /dev/null; until_is 8 bureau used 0
}

for c in $(compgen -A function case_ | sort); do
    name=${c#case_} bad=0
    $c
    if [ $bad -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]

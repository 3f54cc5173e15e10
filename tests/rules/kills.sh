#!/usr/bin/env bash
# Builds a Makefile again and again on the site it runs in, each time with a kill -9 of a random process at a random
# moment: a controller, the state service, a worker, a whole machine, or the driver itself, which is then started
# again. Each time the files must be as plain make makes them, each target must have one final result, nothing that
# was done may be made again, and nothing may be left over. Prints 'N passed, N failed'.
# usage: kills.sh BARROWCTL BARROWRUN-LAB RUNS [SEED]    (inside `barrowrun-lab run -- ...`)
set -u
ctl=$(realpath "$1") lab=$(realpath "$2") runs=$3 seed=${4:-$RANDOM}
RANDOM=$seed
echo "seed $seed"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0 failed=0
mkdir "$work/rules"
cat > "$work/rules/Makefile" <<'MK'
LANGS = en si ta ja
PARTS = 1 2 3 4
all: index $(LANGS:%=%.manual) sum
define part
$(1).$(2): source
	@echo "$(1) part $(2)" > $$@; sleep 0.1; cat source >> $$@; sleep 0.1; echo end >> $$@
endef
$(foreach l,$(LANGS),$(foreach p,$(PARTS),$(eval $(call part,$l,$p))))
define manual
$(1).manual: $(PARTS:%=$(1).%)
	@echo begin > $$@; sleep 0.1; cat $$^ >> $$@; echo end >> $$@
endef
$(foreach l,$(LANGS),$(eval $(call manual,$l)))
index sum &: $(LANGS:%=%.manual)
	@cat $^ > index; sleep 0.1; cksum < index > sum
MK
echo "the source" > "$work/rules/source"
cp -a "$work/rules" "$work/plain"; make -s -C "$work/plain"
say() { echo "FAILED run $run ($what at $at s): $*"; bad=1; }
export BARROWRUN_CTL="$ctl"
for ((run = 1; run <= runs; run++)); do
    bad=0
    rm -rf "$work/site"; cp -a "$work/rules" "$work/site"
    at=$(printf '0.%03d' $((RANDOM % 1000))); at=$(echo "$at * 1.6" | bc)
    targets=(driver driver leader barrow-0 barrow-1 barrow-2 state state worker worker machine machine)
    what=${targets[RANDOM % ${#targets[@]}]}
    # Bounded by timeout, but for a driver that is to be killed itself. (A guard of our own in a subshell, killed in
    # its turn, ran this shell's exit trap once.)
    guard="timeout 90"; [ "$what" = driver ] && guard=""
    $guard "$ctl" --json make -C "$work/site" > "$work/out" 2> "$work/err" &
    driver=$!
    sleep "$at"
    if [ "$what" = driver ]; then
        kill -9 $driver 2> /dev/null; wait $driver 2> /dev/null
        timeout 90 "$ctl" --json make -C "$work/site" >> "$work/out" 2>> "$work/err" &
        driver=$!
    else
        "$lab" fault kill "$what" > /dev/null 2>> "$work/err"
    fi
    wait $driver; status=$?
    [ $status -eq 0 ] || { say "status $status"; tail -n 5 "$work/out" "$work/err"; }
    diff -r --exclude=.barrowrun "$work/plain" "$work/site" > "$work/diff" || { say "files differ"; head -10 "$work/diff"; }
    twice=$(grep -o '"state":"done","target":"[^"]*"' "$work/out" | sort | uniq -d)
    [ -z "$twice" ] || say "made twice: $twice"
    left=$(find "$work/site/.barrowrun/stage" -mindepth 1 -maxdepth 1 2> /dev/null | wc -l)
    [ "$left" -eq 0 ] || { sleep 1; left=$(find "$work/site/.barrowrun/stage" -mindepth 1 -maxdepth 1 2> /dev/null | wc -l); [ "$left" -eq 0 ] || say "$left private directories are left"; }
    "$ctl" --json make -C "$work/site" > "$work/again" 2>&1 || say "the second time failed"
    grep -q '"state":"done","target"' "$work/again" && [ "$what" != driver ] && say "made again: $(grep -o '"target":"[^"]*"' "$work/again")"
    if [ $bad -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]

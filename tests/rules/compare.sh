#!/usr/bin/env bash
# Builds every Makefile under tests/rules/make by plain make and on the site it runs in, and compares: the same
# files with the same bytes, the same status, each target one final result; then once more after a change, and a
# last time when nothing is left to do. Prints 'N passed, N failed'.
# usage: compare.sh BARROWCTL [CASE...]    (inside `barrowrun-lab run -- ...`)
set -u
ctl=$(realpath "$1"); shift
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0 failed=0
say() { echo "FAILED $name: $*"; bad=1; }
same() { # both trees, but for what each tool keeps for itself
    diff -r --exclude=.barrowrun --exclude=make.out --exclude=bad.log "$work/plain" "$work/site" > "$work/diff" 2>&1 ||
        { say "files differ ($1)"; head -20 "$work/diff"; }
}
build() { # how
    local goals=""
    [ -f "$work/plain/goals.txt" ] && goals=$(cat "$work/plain/goals.txt")
    # shellcheck disable=SC2086
    (cd "$work/plain" && make $goals > "$work/plain.out" 2>&1); local plain=$?
    # shellcheck disable=SC2086
    "$ctl" --json make -C "$work/site" $goals > "$work/site.out" 2> "$work/site.err"; local site=$?
    if [ $((plain != 0)) -ne $((site != 0)) ]; then
        say "status $plain by make, $site here ($1)"; tail -n 5 "$work/plain.out" "$work/site.out" "$work/site.err"
    fi
    local twice; twice=$(grep -o '"state":"done","target":"[^"]*"' "$work/site.out" | sort | uniq -d | grep -v '"log"')
    [ -z "$twice" ] || say "made twice ($1): $twice"
    same "$1"
}
if [ $# -gt 0 ]; then cases=("$@"); else cases=("$here"/make/*/); fi
for case in "${cases[@]}"; do
    name=$(basename "$case") bad=0
    rm -rf "$work/plain" "$work/site"
    cp -a "$case" "$work/plain"; cp -a "$case" "$work/site"
    build first
    if [ -f "$case/then.sh" ]; then
        sleep 0.02
        (cd "$work/plain" && sh ./then.sh); (cd "$work/site" && sh ./then.sh)
        build "after a change"
    fi
    # What make calls up to date is so here.
    goals=""; [ -f "$work/plain/goals.txt" ] && goals=$(cat "$work/plain/goals.txt")
    # shellcheck disable=SC2086
    if (cd "$work/plain" && make -q $goals > /dev/null 2>&1); then
        # shellcheck disable=SC2086
        "$ctl" --json make -C "$work/site" $goals > "$work/site.out" 2>&1
        grep -q '"state":"done","target"' "$work/site.out" && say "made again what was up to date: $(grep -o '"target":"[^"]*"' "$work/site.out")"
    fi
    if [ $bad -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]

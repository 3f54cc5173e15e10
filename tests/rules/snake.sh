#!/usr/bin/env bash
# Builds every Snakefile under tests/rules/snakemake on the site it runs in: the files of `expected/` with their
# bytes, nothing made a second time; or the error of `fails.txt`. Prints 'N passed, N failed'.
# usage: snake.sh BARROWCTL [CASE...]    (inside `barrowrun-lab run -- ...`)
set -u
ctl=$(realpath "$1"); shift
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0 failed=0
say() { echo "FAILED $name: $*"; bad=1; }
if [ $# -gt 0 ]; then cases=("$@"); else cases=("$here"/snakemake/*/); fi
for case in "${cases[@]}"; do
    name=$(basename "$case") bad=0
    rm -rf "$work/site"; cp -a "$case" "$work/site"
    args=""; [ -f "$case/args.txt" ] && args=$(cat "$case/args.txt")
    # shellcheck disable=SC2086
    "$ctl" --json snake -C "$work/site" $args > "$work/out" 2>&1; status=$?
    if [ -f "$case/fails.txt" ]; then
        [ $status -ne 0 ] || say "it should fail"
        grep -qF "$(cat "$case/fails.txt")" "$work/out" || { say "not the error that was expected"; tail -n 3 "$work/out"; }
    else
        [ $status -eq 0 ] || { say "status $status"; tail -n 5 "$work/out"; }
        diff -r --exclude=.barrowrun "$case/expected" "$work/site" 2>&1 | grep -v '^Only in .*/site' > "$work/diff"
        [ -s "$work/diff" ] && { say "files differ"; head "$work/diff"; }
        # shellcheck disable=SC2086
        "$ctl" --json snake -C "$work/site" $args > "$work/out" 2>&1
        grep -q '"state":"done","target"' "$work/out" && { say "made a second time"; cat "$work/out"; }
    fi
    if [ -f "$case/absent.txt" ]; then
        while read -r f; do [ -e "$work/site/$f" ] && say "$f should not be there"; done < "$case/absent.txt"
    fi
    if [ $bad -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]

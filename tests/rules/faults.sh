#!/usr/bin/env bash
# Builds on the site it runs in while parts of it fail, and rules that fail themselves. Prints 'N passed, N failed'.
# usage: faults.sh BARROWCTL BARROWRUN-LAB [CASE...]    (inside `barrowrun-lab run --lease-s 4 -- ...`)
set -u
ctl=$(realpath "$1") lab=$(realpath "$2"); shift 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0 failed=0
say() { echo "FAILED $name: $*"; bad=1; }
# Chapters of a second each, and a manual of them all.
slow_rules() {
    mkdir -p "$1"
    cat > "$1/Makefile" <<'MK'
all: manual
C = 1 2 3 4 5 6
chapter%: source
	@echo begin $* > $@; sleep 1; cat source >> $@; echo end >> $@
manual: $(C:%=chapter%)
	@cat $^ > $@
MK
    echo words > "$1/source"
}
start() { timeout 100 "$ctl" --json make -C "$work/site" "$@" > "$work/out" 2> "$work/err" & driver=$!; }
finish() { # expected status
    wait "$driver"; local status=$?
    [ $status -eq "$1" ] || { say "status $status, not $1"; tail -n 5 "$work/out" "$work/err"; }
    local twice; twice=$(grep -o '"state":"done","target":"[^"]*"' "$work/out" | sort | uniq -d)
    [ -z "$twice" ] || say "made twice: $twice"
}
as_make() { # the same as plain make makes
    rm -rf "$work/plain"; mkdir "$work/plain"; (cd "$work/site" && cp -a Makefile source "$work/plain" 2> /dev/null)
    (cd "$work/plain" && sed -i 's/sleep 1;/:;/' Makefile && make -s > /dev/null 2>&1; cp "$work/site/Makefile" .)
    diff -r --exclude=.barrowrun "$work/plain" "$work/site" || say "files differ"
}
fault() { "$lab" fault "$@" > /dev/null || say "the fault $* was not brought about"; }

case_leader_killed() { slow_rules "$work/site"; start; sleep 0.7; fault kill leader; finish 0; as_make; }
case_leader_hangs() { slow_rules "$work/site"; start; sleep 0.7; fault hang leader --for 5; finish 0; as_make; }
case_all_controllers_killed() { slow_rules "$work/site"; start; sleep 0.7; for i in 0 1 2; do fault kill barrow-$i; done; finish 0; as_make; }
case_worker_killed() { slow_rules "$work/site"; start; sleep 0.7; fault kill worker; fault kill worker; finish 0; as_make; }
case_machine_lost() { slow_rules "$work/site"; start; sleep 0.7; fault kill machine; finish 0; as_make; }
# Past its lease of 4 s, and then it goes on, with its commands in the middle of what they did.
case_machine_hangs() { slow_rules "$work/site"; start; sleep 0.7; fault hang machine --for 7; fault hang machine --for 6; finish 0; sleep 7; as_make; }
# The cloud can't be asked to take it away: its lease decides, and it goes on after that.
case_hangs_without_cloud() {
    slow_rules "$work/site"; start; sleep 0.7
    fault cut cloud --for 11; fault hang machine --for 8; fault hang worker --for 7; finish 0; sleep 9; as_make
    grep -qs 'the lease has expired' "$(dirname "$BARROWRUN_DEPOT")"/machines/*/log || say "no lease ran out"
}
case_state_refuses() { slow_rules "$work/site"; start; sleep 0.7; fault refuse state --for 10; finish 0; as_make; }
case_state_silent() { slow_rules "$work/site"; start; sleep 0.7; fault cut state --for 5; finish 0; as_make; }
case_state_killed() { slow_rules "$work/site"; start; sleep 0.7; fault kill state; finish 0; as_make; }
case_cloud_silent() { slow_rules "$work/site"; start; sleep 0.7; fault cut cloud --for 3; finish 0; as_make; }

case_machine_recalled() { slow_rules "$work/site"; start; sleep 0.5; fault recall machine --for 1; fault recall machine --for 2; finish 0; as_make; }

case_failing_rule() {
    mkdir "$work/site"
    # shellcheck disable=SC2016  # make's dollars, not the shell's
    printf 'all: good after\ngood:\n\t@sleep 0.3; echo good > $@\nbad:\n\t@echo half > $@; for i in 1 2 3; do echo line $$i; done; exit 7\nafter: bad\n\techo never > $@\n' > "$work/site/Makefile"
    start -k; finish 1
    [ -f "$work/site/good" ] || say "what doesn't need it was not made"
    [ -e "$work/site/bad" ] && say "a half-written file stands"
    [ -e "$work/site/after" ] && say "what needs it was started"
    for word in '"exit":7' '"machine":"n-' 'line 3' '"rule":"Makefile:4"' '"command":"echo half > bad' '"skipped":1'; do
        grep -qF -- "$word" "$work/out" || say "not told: $word"
    done
}
case_retries() {
    mkdir "$work/site"
    # shellcheck disable=SC2016  # make's dollars, not the shell's
    printf 'x: BARROW_RETRIES = 2\nx:\n\t@n=$$(cat $$BARROW_SAVE_DIR/n 2>/dev/null || echo 0); echo $$((n+1)) > $$BARROW_SAVE_DIR/n; test $$n -eq 2 && echo $$n > $@\n' > "$work/site/Makefile"
    start; finish 0; [ "$(cat "$work/site/x")" = 2 ] || say "not made at the third try"
    rm -rf "$work/site/x" "$work/site/.barrowrun"; sed -i 's/eq 2/eq 9/' "$work/site/Makefile"
    start; finish 1
}
case_twice_at_once() {
    slow_rules "$work/site"; start; local first=$driver; sleep 0.5
    timeout 60 "$ctl" --json make -C "$work/site" > "$work/second" 2>&1; local status=$?
    [ $status -eq 0 ] || say "the second: status $status"
    grep -q '"state":"done","target"' "$work/second" && say "the second made something"
    driver=$first; finish 0; as_make
}
# All files outside of the flow's own directory, with the times of their last change.
published() { find "$work/site" -name .barrowrun -prune -o -type f -printf '%P %T@ %s\n' | sort; }
# A cancellation takes effect when it is answered. Until then targets may be published, and they are whole and told as
# done. The last chapter takes so long that the flow can't end by itself.
case_cancelled() {
    slow_rules "$work/site"; sed -i 's/sleep 1;/sleep 1; test $* != 6 || sleep 90;/' "$work/site/Makefile"
    start; sleep 0.7
    "$ctl" flow -C "$work/site" cancel "$("$ctl" flow -C "$work/site" list | cut -d' ' -f1)" > "$work/cancel" 2>&1 || say "$(cat "$work/cancel")"
    published > "$work/answered"
    finish 1; sleep 2.5
    published | diff "$work/answered" - || say "something was published after the cancellation was answered"
    while read -r file _; do
        case $file in
            Makefile | source) ;;
            chapter[1-5])
                printf 'begin %s\nwords\nend\n' "${file#chapter}" | diff - "$work/site/$file" || say "$file is half written"
                grep -q "\"state\":\"done\",\"target\":\"$file\"" "$work/out" || say "$file is not told as done" ;;
            *) say "$file was published" ;;
        esac
    done < "$work/answered"
    while read -r file; do
        [ -f "$work/site/$file" ] || say "$file is told as done and not there"
    done < <(sed -n 's/.*"state":"done","target":"\([^"]*\)".*/\1/p' "$work/out")
    left=$(find "$work/site/.barrowrun/stage" -mindepth 1 -maxdepth 1 2> /dev/null | wc -l); [ "$left" -eq 0 ] || say "$left private directories are left"
}
case_much_output() {
    mkdir "$work/site"
    printf 'x:\n\t@head -c 1000000000 /dev/zero | tr "\\0" "y"; echo; echo the last line; echo x > $@; exit 3\n' > "$work/site/Makefile"
    start; finish 1
    grep -q 'the last line' "$work/out" || say "the last lines are not told"
    local kept; kept=$(find "$BARROWRUN_DEPOT/runs" -name out -size +17M | wc -l); [ "$kept" -eq 0 ] || say "more than 16 MB of output kept"
}
case_memory_bound() {
    # `tail` keeps a line of 300 MB in memory: more than the rule says it takes, and less than another says.
    mkdir "$work/site"
    # shellcheck disable=SC2016  # make's dollars, not the shell's
    printf 'all: small large\nsmall: BARROW_MEM_GB = 0.1\nlarge: BARROW_MEM_GB = 1\nsmall large:\n\t@head -c 300000000 /dev/zero | tail -n 1 | wc -c > $@; test $$(cat $@) -eq 300000000\n' > "$work/site/Makefile"
    start -k; finish 1
    [ -e "$work/site/small" ] && say "the bound does not hold"
    [ -f "$work/site/large" ] || say "what keeps within its bound was not made"
}
case_changed_recipe() {
    mkdir "$work/site"; printf 'x:\n\techo one > $@\n' > "$work/site/Makefile"
    start; finish 0
    printf 'x:\n\techo two > $@\n' > "$work/site/Makefile"
    start; finish 0; [ "$(cat "$work/site/x")" = one ] || say "made again without being asked"
    start --changed-recipes; finish 0; [ "$(cat "$work/site/x")" = two ] || say "not made again when asked"
    start --changed-recipes; finish 0; grep -q '"state":"done","target"' "$work/out" && say "made a third time"
}
case_no_room_to_write() {
    # A file where a directory is needed, a device that is full, and a file that may not grow.
    mkdir "$work/site"; echo a file > "$work/site/notadir"
    printf 'all: notadir/x full grown\nnotadir/x:\n\techo x > $@\nfull:\n\techo half > $@; echo x > /dev/full\ngrown:\n\tulimit -f 1; head -c 100000 /dev/zero > $@\n' > "$work/site/Makefile"
    start -k; finish 1
    [ "$(grep -c '"state":"failed","target"' "$work/out")" -eq 3 ] || say "not three failures"
    for f in full grown; do [ -e "$work/site/$f" ] && say "$f stands"; done
}
case_odd_names() {
    mkdir "$work/site"; name=$(printf 'caf\351')
    printf 'all: %s out-%s\n%s:\n\t@echo 1 > "$@"\nout-%%: %%\n\t@cat "$<" > "$@"\n' "$name" "$name" "$name" > "$work/site/Makefile"
    start; finish 0
    [ -f "$work/site/out-$name" ] || say "not made"
}
case_gang() {
    cat > "$work/gang.json" <<'JSON'
{"command": "test -n \"$BARROW_TASKS\"; sleep 0.5; echo together", "sort": "gang", "tasks": 3, "cpus": 1, "retries": 0}
JSON
    timeout 60 "$ctl" submit --wait "$work/gang.json" > "$work/out" 2>&1 || { say "the gang failed"; cat "$work/out"; }
}
case_array_and_cancel() {
    # shellcheck disable=SC2016  # the task's shell expands it
    echo '{"command": "echo task $BARROW_TASK", "tasks": 20, "retries": 1}' > "$work/a.json"
    timeout 60 "$ctl" submit --wait "$work/a.json" > "$work/out" 2>&1 || { say "the array failed"; cat "$work/out"; }
    grep -q '20 tasks done' "$work/out" || say "$(cat "$work/out")"
    echo '{"command": "sleep 60", "tasks": 3}' > "$work/b.json"
    id=$("$ctl" submit "$work/b.json" | cut -d' ' -f1); sleep 1.5
    "$ctl" cancel "$id" | grep -q withdrawn || say "not cancelled"
    "$ctl" status "$id" > /dev/null; [ $? -eq 1 ] || say "the status of a cancelled job is not 1"
    "$ctl" status wk-999999 2> /dev/null; [ $? -eq 1 ] || say "a job that nobody submitted"
    "$ctl" status nonsense 2> /dev/null; [ $? -eq 2 ] || say "bad input is not 2"
}
case_checkpoints() {
    # It saves when it is stopped; a later attempt goes on from there.
    cat > "$work/c.json" <<'JSON'
{"command": "trap 'echo $n > $BARROW_SAVE_DIR/at; exit 75' TERM; n=$(cat $BARROW_SAVE_DIR/at 2>/dev/null || echo 0); while [ $n -lt 30 ]; do sleep 0.1; n=$((n+1)); done; echo reached $n", "checkpoint_s": 1, "save_s": 1, "rank": "low", "cpus": 1, "tasks": 8}
JSON
    id=$("$ctl" submit "$work/c.json" | cut -d' ' -f1); sleep 1.2
    echo '{"command": "sleep 1", "rank": "production", "tasks": 2, "cpus": 1}' > "$work/p.json"
    timeout 60 "$ctl" submit --wait "$work/p.json" > "$work/out" 2>&1 || say "production work failed: $(cat "$work/out")"
    ls "$BARROWRUN_DEPOT/saved/$id"/*/at > /dev/null 2>&1 || say "nothing was saved"
    for _ in $(seq 100); do "$ctl" status "$id" | grep -q ' done,' && break; sleep 0.2; done
    "$ctl" status "$id" | grep -q ' done,' || say "$("$ctl" status "$id")"
}

names=("$@"); [ ${#names[@]} -gt 0 ] || mapfile -t names < <(declare -F | sed -n 's/^declare -f case_//p')
for name in "${names[@]}"; do
    bad=0; rm -rf "$work/site"
    t0=$(date +%s.%N)
    "case_$name"
    [ -n "${VERBOSE:-}" ] && echo "$name $(echo "$(date +%s.%N) - $t0" | bc) s"
    if [ $bad -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]

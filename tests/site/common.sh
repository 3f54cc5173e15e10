# shellcheck shell=bash
# What the tests of a loopback site share: sourced with BARROWCTL BARROWRUN-LAB as arguments. Leaves the shell in a directory of
# its own, $work, that is removed at the end.
set -u
# shellcheck disable=SC2034  # what sources this uses it
ctl=$(realpath "$1") lab=$(realpath "$2")
export USER=tester
work=$(mktemp -d)
cd "$work" || exit 1
trap 'rm -rf "$work"' EXIT
# shellcheck disable=SC2034  # `bad` is what the sourcing test looks at
say() { echo "FAILED ${name:+$name: }$*"; bad=1; }
submit() { # the job without its command, as JSON fields; the command. Prints the id.
    printf '{"command":"%s","team":"lab",%s}' "$(printf '%s' "$2" | sed 's/\\/\\\\/g; s/"/\\"/g')" "$1" > job.json
    local id; id=$("$ctl" --json submit job.json 2> submit.err | grep -o 'wk-[0-9]*' | head -1)
    [ -n "$id" ] || say "not accepted: $(cat submit.err)" >&2
    echo "$id"
}
# Two processes of one task whose lines (MOMENT TASK PROCESS) lie among each other: it ran twice at a time.
ran_twice() { # file
    awk '{k=$2" "$3; if (!(k in first)) {first[k]=$1; task[k]=$2} last[k]=$1}
        END {for (a in first) for (b in first) if (a < b && task[a] == task[b] && first[a] <= last[b] && first[b] <= last[a]) print a, "and", b}' "$1"
}

# Functions that the cases' run.sh share. They are sourced from a case's folder: $case is that folder, $root the
# repository's root, $tmp a temporary folder that is removed at the end, and $rec the folder of the record's parts.

case=$(pwd)
root=$(cd ../.. && pwd)
standin=$root/bin/standin
tmp=$(mktemp -d) || exit 2
rec=$tmp/record
mkdir "$rec"
pids=
run=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$root/deploy/balancer.toml") # the deploy file's command of a sidecar

[ -x "$root/bin/hazelwing" ] && [ -x "$standin" ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }

# begin starts a process in the background; its output goes to $tmp/NAME.log. $pid is its process ID.
begin() {
    log=$tmp/$1.log
    shift
    "$@" >"$log" 2>&1 &
    pid=$!
    pids="$pids $pid"
}

# ended PID forgets a process that has ended and was waited for: its ID may be another's by now.
ended() {
    left=
    for p in $pids; do [ "$p" = "$1" ] || left="$left $p"; done
    pids=$left
}

# sidecar NAME LISTEN DISCOVERY starts a sidecar by the deploy file's command, with the configuration $tmp/NAME.json and,
# if there is one, the operator's file $tmp/NAME.toml.
sidecar() {
    begin "$1" run_sidecar "$@"
}

run_sidecar() {
    cd "$root" || exit 2
    operator=
    [ -f "$tmp/$1.toml" ] && operator=$tmp/$1.toml
    exec env RELAY_NAME="$1" RELAY_LISTEN="$2" RELAY_DISCOVERY="$3" RELAY_CONFIG="$tmp/$1.json" \
        HAZELWING_OPERATOR="$operator" TMPDIR="$tmp" sh -c "$run"
}

# finish ends all processes that were started, writes the record, and exits with a status.
finish() {
    trap - EXIT INT TERM
    for p in $pids; do kill -CONT "$p" 2>/dev/null; kill "$p" 2>/dev/null; done
    for i in 1 2 3 4 5 6 7 8 9 10; do
        left=
        for p in $pids; do kill -0 "$p" 2>/dev/null && left="$left $p"; done
        [ -z "$left" ] && break
        sleep 0.5
    done
    for p in $left; do kill -KILL "$p" 2>/dev/null; done
    write_record
    [ -n "$KEEP" ] && cp -r "$tmp" "$KEEP"
    rm -rf "$tmp"
    exit "$1"
}

write_record() {
    cat "$rec"/* 2>/dev/null | sort -n >"$case/record.txt"
}

note() {
    "$standin" note -record "$rec/script" "$*"
}

cannot() {
    echo "the case could not run: $*"
    tail -n 5 "$tmp"/*.log
    finish 2
}

trap 'finish 2' EXIT INT TERM

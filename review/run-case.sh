#!/bin/sh
# Runs one case of the stand-ins: run-case.sh CASE FOLDER TROUBLE. With TROUBLE 0 there is no disruption. It ends each
# process that the case has started.
cd "$(dirname "$0")/.." || exit 2
program=target/review/release/review-standins
[ -x "$program" ] || sh review/build.sh >&2 || exit 2
[ -x target/release/wingbridge-box ] || { echo "target/release/wingbridge-box is not built" >&2; exit 2; }
logs=$(mktemp -d) || exit 2
finish() {
    [ -n "$case_pid" ] && kill "$case_pid" 2>/dev/null
    # A box that still runs; the number of one that has ended may be another process's by now.
    [ -f "$logs/pids" ] && while read -r pid; do
        grep -q '^wingbridge-box$' "/proc/$pid/comm" 2>/dev/null && kill -9 "$pid"
    done < "$logs/pids"
    [ -n "$KEEP_LOGS" ] && cp "$logs"/*.log "$KEEP_LOGS"
    rm -rf "$logs"
}
trap 'finish; exit 2' INT TERM
LOGS=$logs timeout 118 "$program" "$1" "$2" "$3" &
case_pid=$!
wait "$case_pid"
status=$?
case_pid=
finish
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac

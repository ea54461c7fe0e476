#!/bin/sh
# run-case.sh CASE DIRECTORY: starts the stand-in and three hosts, and exits
# with the stand-in's result.  Each host is one process of the deploy file, with
# settings from its template.  With SUPERVISE=1 a process that has ended is
# started again.
set -u
case=$1
out=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
trouble=${TROUBLE:-1}
tmp=$(mktemp -d)
net=127.$((64 + $$ % 150)).$(($$ / 150 % 250))
cd "$root" || exit 2
rm -f "$out/record.txt"

cleanup() {
	trap - EXIT INT TERM
	touch "$tmp/over"
	test -n "${supervisor:-}" && wait "$supervisor" 2>/dev/null
	for pid in $(cat "$tmp"/*.pid 2>/dev/null) ${sim:-}
	do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$tmp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# settings HOST: as deploy/settings.ini has them
settings() {
	cat <<END
[fleet]
name=edge-$1
domain=z$1
callers=$net.1$1:8161
readiness=$net.1$1:8167
metrics=$net.1$1:9464
store=$net.1:7000
lease_most_ms=10000
stop_ms=400
grace_ms=6000
keep_ended_s=120
store_writes_per_s=400
cores=0.25
memory_mb=260
descriptors=4100
END
}

# start_host HOST
start_host() {
	settings "$1" >"$tmp/h$1.conf"
	target/geraniumhoistd -c "$tmp/h$1.conf" >>"$tmp/h$1.log" 2>&1 &
	echo $! >"$tmp/h$1.pid"
}

# Starts a host again 0.3 s after its process has ended, as the platform does.
supervise() {
	trap - EXIT
	while test ! -e "$tmp/over"
	do
		for h in 0 1 2
		do
			state=$(sed -n 's/^State:[^A-Z]*\([A-Z]\).*/\1/p' \
				"/proc/$(cat "$tmp/h$h.pid")/status" 2>/dev/null)
			case ${state:-Z} in
			Z | X)
				sleep 0.3
				test -e "$tmp/over" || start_host "$h"
				;;
			esac
		done
		sleep 0.1
	done
	for h in 0 1 2
	do
		kill -9 "$(cat "$tmp/h$h.pid")" 2>/dev/null
	done
}

target/review-2/sim "$case" "$trouble" "$net" "$out/record.txt" "$tmp/ready" \
	"$tmp" &
sim=$!
n=0
while test ! -e "$tmp/ready" && test $n -lt 100
do
	sleep 0.1
	n=$((n + 1))
done
for h in 0 1 2
do
	start_host $h
done
if test "${SUPERVISE:-0}" = 1
then
	supervise &
	supervisor=$!
fi
wait $sim
result=$?
test -n "${KEEP_LOGS:-}" && cp "$tmp"/*.log "$KEEP_LOGS"/
echo "exit $result" >>"$out/record.txt"
exit $result

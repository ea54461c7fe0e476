# Functions of the scripts: starts the stand-in platform, the gate and the
# daemons on loopback addresses of a free block, and calls them over HTTP.
# Needs bash and coreutils only.
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
DIR=$(mktemp -d)
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
QUEUE=q.example
PIDS=
: >"$RECORD"

note() { echo "$(date +%s.%3N) $*" >>"$RECORD"; }

cleanup() {
	trap - EXIT
	for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	for log in "$DIR"/*.log; do
		echo "--- $(basename "$log")" >>"$RECORD"
		grep -v 'GET /api/kv-watch\|POST /api/kv-keep' "$log" | cut -c1-700 | tail -n 400 >>"$RECORD"
	done
	rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

finish() { # STATUS TEXT
	note "RESULT $1: $2"
	echo "$2"
	exit "$1"
}

# http METHOD IP:PORT PATH [BODY [HOST]]: sets STATUS (000: no response), REPLY
http() {
	local ip=${2%:*} port=${2#*:} head line length=0
	STATUS=000 REPLY=
	exec 9<>"/dev/tcp/$ip/$port" || return 0
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
		"$1" "$3" "${5:-$ip}" "${#4}" "${4:-}" >&9 2>/dev/null
	while IFS= read -r -t 6 line <&9; do
		line=${line%$'\r'}
		[ "$STATUS" = 000 ] && STATUS=$(echo "$line" | cut -d' ' -f2)
		[ -z "$line" ] && break
		case ${line,,} in content-length:*) length=${line#*: } ;; esac
	done
	[ "$length" -gt 0 ] && IFS= read -r -t 6 -N "$length" REPLY <&9
	exec 9<&- 9>&-
	return 0
} 2>/dev/null

ctl() { # JSON: control call to the stand-in platform
	http POST "$NET.1:7000" /ctl "$1"
	note "platform: $1 -> $STATUS"
}

# call METHOD HOST-NUMBER PATH [BODY]: a client's call; logged
call() {
	http "$1" "$NET.$((10 + $2)):8000" "$3" "${4:-}" "$QUEUE"
	note "client: $1 host $2 $3 ${4:-} -> $STATUS $REPLY"
}

rules() { # LINES: replaces the rules of the gate
	printf '%s\n' "$1" >"$DIR/rules.new"
	mv "$DIR/rules.new" "$DIR/rules"
	note "gate rules: ${1:-none}"
}

wait_for() { # SECONDS COMMAND...
	local until=$(($(date +%s%3N) + $1 * 1000))
	shift
	until "$@"; do
		[ "$(date +%s%3N)" -lt "$until" ] || return 1
		sleep 0.05
	done
}

listening() { (exec 9<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; }
ready() { http GET "$NET.$((10 + $1)):8001" /api/ready; [ "$STATUS" = 200 ]; }
owner() { http GET "$NET.1:7000" /ctl; OWNER=$(echo "$REPLY" | sed -n 's/.*"owners": *{ *"0": *"h\([0-9]*\)".*/\1/p'); [ -n "$OWNER" ]; }
state_is() { call GET "$1" "/q/$2"; [ "$REPLY" = "{\"state\":\"$3\"}" ]; }

start_host() { # NUMBER
	"$ROOT/target/geraniumhoistd" -c "$DIR/h$1.conf" >>"$DIR/h$1.log" 2>&1 &
	HOST_PID[$1]=$!
	PIDS="$PIDS $!"
	disown
	note "host $1 started, process ${HOST_PID[$1]}"
}

worker_address() { echo "$NET.$((100 + ${1#i-})):7000"; }

# entry WORKER [STATE [LABELS]]: writes the worker's entry, which leads through
# the gate
entry() {
	ctl "{\"put\":{\"key\":\"servers/$1\",\"text\":\"{\\\"backend\\\":\\\"svc\\\",\\\"address\\\":\\\"$(worker_address $1)\\\",\\\"zone\\\":\\\"z\\\",\\\"version\\\":\\\"v1\\\",\\\"slots\\\":8,\\\"state\\\":\\\"${2:-ready}\\\",\\\"cold_remaining_ms\\\":0,\\\"capacity\\\":{\\\"cpu\\\":8000,\\\"mem_mb\\\":64000,\\\"gpus\\\":0},\\\"labels\\\":[${3:-\\\"a\\\",\\\"r1\\\"}],\\\"sequence\\\":1}\"}}"
}

# restart WORKER STATE: starts a new life of the worker, with state reborn or,
# after dead, ready; LABEL is its kind.  The stand-in platform lists it under its
# own address at first, so the entry is written again.  The owner pauses for
# 100 ms after it has read another worker's entry and reads both at once.
restart() {
	local text
	entry "i-$((WORKERS - 1))" ready
	sleep 0.02
	ctl "{\"worker\":\"$1 $2\"}"
	http GET "$NET.1:7000" "/api/kv-key?key=servers/$1"
	text=$(echo "$REPLY" | sed 's/.*"value": *"\([^"]*\)".*/\1/' | base64 -d |
		sed "s/$NET.1:7000/$(worker_address $1)/;s/\"labels\":\[\"a\"/\"labels\":[\"$LABEL\"/;s/\"/\\\\\"/g")
	ctl "{\"put\":{\"key\":\"servers/$1\",\"text\":\"$text\"}}"
}

# start HOSTS WORKERS ATTEMPTS
start() {
	local i
	WORKERS=$2
	for i in 1 2 3 4 5 6 7 8 9 10; do
		NET=127.$((RANDOM % 200 + 30)).$((RANDOM % 250 + 1))
		listening "$NET.1:7000" || break
	done
	[ -x "$ROOT/target/geraniumhoistd" ] && [ -x "$ROOT/review/build/gate" ] ||
		finish 2 "target/geraniumhoistd or review/build/gate is missing"
	: >"$DIR/rules"
	"$ROOT/review/build/fake-platform" --listen "$NET.1:7000" >"$DIR/platform.log" 2>&1 &
	PIDS="$PIDS $!"; disown
	local listen="$NET.2:7000"
	for ((i = 0; i < $2; i++)); do listen="$listen $(worker_address i-$i)"; done
	"$ROOT/review/build/gate" "$NET.1:7000" "$DIR/rules" "$DIR/gate.log" $listen >"$DIR/gate.err" 2>&1 &
	PIDS="$PIDS $!"; disown
	wait_for 5 listening "$NET.1:7000" && wait_for 5 listening "$NET.2:7000" ||
		finish 2 "the stand-ins don't start"
	ctl "{\"config\":{\"version\":3,\"routes\":[{\"name\":\"r-q\",\"hostname\":\"$QUEUE\",\"prefix\":\"/q/\",\"backend\":\"svc\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":1,\"attempts\":$3,\"stretch\":2.0}],\"services\":[{\"name\":\"svc\"}],\"limits\":{\"max_body_bytes\":65536}},\"workers\":$2}"
	for ((i = 0; i < $2; i++)); do entry "i-$i" ready "${LABELS[$i]:-}"; done
	for ((i = 0; i < $1; i++)); do
		# deploy/settings.ini with the figures of sites/meskot-hoist.toml
		cat >"$DIR/h$i.conf" <<END
[fleet]
name=h$i
domain=d$i
callers=$NET.$((10 + i)):8000
readiness=$NET.$((10 + i)):8001
metrics=$NET.$((10 + i)):9464
store=$NET.2:7000
lease_most_ms=10000
stop_ms=400
grace_ms=6000
keep_ended_s=120
store_writes_per_s=400
cores=0.25
END
		start_host "$i"
	done
	for ((i = 0; i < $1; i++)); do
		wait_for 10 ready "$i" || finish 2 "host $i isn't ready"
	done
	wait_for 10 owner || finish 2 "no host owns the shard"
	note "host $OWNER owns the shard"
	sleep 1
}

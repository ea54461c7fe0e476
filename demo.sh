#!/bin/sh
# Starts a small system of three failure domains on loopback addresses, with
# a simulated store, workers and executors.  Applies a document, sends requests
# and a job, prints the results and stops the system.  Exits with status 0 when
# every step succeeded.
set -eu
BUILD=$(cd "${BUILD:-build}" && pwd)
NET=${DEMO_NET:-127.7}
LIMIT_S=55
DOMAINS="bole piassa merkato"
PATH=$BUILD:$PATH
dir=$(mktemp -d)
pids=
failures=0

cleanup() {
	trap - EXIT INT TERM
	for pid in $pids
	do
		kill "$pid" 2>/dev/null || :
	done
	for pid in $pids
	do
		wait "$pid" 2>/dev/null || :
	done
	rm -rf "$dir"
}

fail() {
	echo "FAILED: $*" >&2
	failures=$((failures + 1))
}

give_up() {
	fail "$@"
	tail -n 5 "$dir"/*.log >&2 || :
	exit 1
}

# start NAME PROGRAM ARGUMENTS...: runs the program in the background, with its
# output in NAME.log
start() {
	name=$1
	shift
	: >"$dir/$name.log"
	"$@" >>"$dir/$name.log" 2>&1 &
	pids="$pids $!"
}

# wait_for DESCRIPTION COMMAND...: repeats the command until it succeeds; gives
# up with an error that names DESCRIPTION at the deadline
wait_for() {
	description=$1
	shift
	until "$@" >/dev/null 2>&1
	do
		if test "$(date +%s)" -ge "$deadline"
		then
			give_up "$description: not within $LIMIT_S s"
		fi
		sleep 0.1
	done
}

is_ready() {
	geraniumhoist status --json --host "$1" | grep -q '^  "ready": true'
}

has_generation() {
	geraniumhoist status --json --host "$1" |
		grep -q "^  \"generation\": $2,"
}

is_done() {
	geraniumhoist job bole rebuild --host "$first_console" |
		grep -q '"done": 4'
}

# settings NAME DOMAIN ADDRESS: prints the settings file of an entry host
settings() {
	cat <<END
[host]
name=$1
domain=$2
address=$3
front_port=8080
console_port=8081
peer_port=8082
[store]
url=http://$NET.0.1:7000
prefix=demo
[peers]
key=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
seeds=$NET.1.1:8081;$NET.2.1:8081;$NET.3.1:8081
END
	cat "$dir/operators"
}

deadline=$(($(date +%s) + LIMIT_S))
trap cleanup EXIT
trap 'give_up "interrupted"' INT TERM
first_console=$NET.1.1:8081

echo "== simulated: a store, 6 workers, 6 executors"
start store fake-store --listen "$NET.0.1:7000"
d=0
for domain in $DOMAINS
do
	d=$((d + 1))
	for i in 1 2
	do
		start "worker-$domain-$i" fake-worker \
			--listen "$NET.$d.2$i:9100" --name "w-$domain-$i" \
			--cores-milli 8000 --memory-mb 16384 --accelerators 0
		start "executor-$domain-$i" fake-executor \
			--listen "$NET.$d.1$i:9000" --slots 8 --run-ms 20
	done
done
for log in "$dir"/*.log
do
	wait_for "$log" grep -q ready "$log"
done

echo "== 3 failure domains with 2 entry hosts each"
for operator in platform association haddad
do
	echo "demo secret of $operator" >"$dir/$operator.secret"
	geraniumhoist digest "$operator" "$dir/$operator.secret" \
		>>"$dir/operators"
done
cat >"$dir/document" <<END
[department association]
weight=100
guarantee_percent=50
[department haddad]
weight=100
guarantee_percent=40
[service ordering]
department=association
class=latency
expected_ms=20
[service desk]
department=haddad
class=latency
expected_ms=20
END
d=0
for domain in $DOMAINS
do
	d=$((d + 1))
	printf '[domain %s]\nregion=addis\n' "$domain" >>"$dir/document"
	for i in 1 2
	do
		settings "e-$domain-$i" "$domain" "$NET.$d.$i" \
			>"$dir/e-$domain-$i.conf"
		cat >>"$dir/document" <<END
[entry e-$domain-$i]
domain=$domain
address=$NET.$d.$i
front_port=8080
console_port=8081
peer_port=8082
[executor x-$domain-$i]
domain=$domain
address=$NET.$d.1$i:9000
[worker w-$domain-$i]
domain=$domain
rack=r$i
address=$NET.$d.2$i:9100
cores=8
memory_mb=16384
END
	done
done
for settings_file in "$dir"/*.conf
do
	geraniumhoist check "$settings_file" >/dev/null ||
		give_up "$settings_file"
	start "$(basename "$settings_file" .conf)" \
		geraniumhoistd -c "$settings_file"
done
geraniumhoist check "$dir/document"
for d in 1 2 3
do
	for i in 1 2
	do
		wait_for "console $d.$i" \
			geraniumhoist counters --host "$NET.$d.$i:8081"
	done
done

echo "== a document is accepted at one host and in force at all"
operator_options="--operator platform --secret-file $dir/platform.secret"
geraniumhoist apply "$dir/document" --host "$first_console" \
	$operator_options --json >"$dir/accepted" || give_up "apply"
generation=$(sed -n 's/[^0-9]*\([0-9]*\).*/\1/p' "$dir/accepted")
for d in 1 2 3
do
	for i in 1 2
	do
		console=$NET.$d.$i:8081
		wait_for "generation at $console" \
			has_generation "$console" "$generation"
		echo "$console has generation $generation"
	done
done

echo "== requests at every entry host"
for d in 1 2 3
do
	for i in 1 2
	do
		wait_for "$NET.$d.$i takes requests" is_ready "$NET.$d.$i:8081"
		for target in ordering/check desk/restock
		do
			if body=$(geraniumhoist request "$target" \
				--host "$NET.$d.$i:8080")
			then
				echo "$target at $NET.$d.$i: $body"
			else
				fail "$target at $NET.$d.$i"
			fi
		done
	done
done
if body=$(geraniumhoist request ordering/order --method POST \
	--key "order-$$" --attempt 0 --body '{"mirrors": 2}' \
	--host "$NET.2.1:8080")
then
	echo "an order, at most once: $body"
else
	fail "the order"
fi

echo "== a batch job of 4 tasks"
operator_options="--operator association --secret-file $dir/association.secret"
submit() {
	geraniumhoist submit rebuild --domain bole --tasks 4 --run-ms 500 \
		--host "$NET.3.2:8081" $operator_options
}
wait_for "submit" submit
wait_for "job" is_done
geraniumhoist job bole rebuild --host "$first_console"

echo "== what a host knows"
geraniumhoist status --host "$first_console"

echo "== refusals and retries counted there"
geraniumhoist counters --host "$first_console" |
	grep -E '^(refused|retry)_' | grep -v ' 0$' || echo none

if test "$failures" != 0
then
	echo "$failures failures" >&2
	exit 1
fi
echo "all of it worked"

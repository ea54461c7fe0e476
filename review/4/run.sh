#!/bin/bash
# A start gets no answer and is carried out 11.5 s later. Meanwhile its worker
# is cut off, crashes behind the cut and starts again, with a clock that begins
# anew. The late start is refused there and grants the longest lease all the
# same. Then the worker is cut off once more, and runs on.
. "$(dirname "$0")/../standin/lib.sh"

JOB=00000000000000f2
BODY='{"task_spec":"25000","pipeline":[{"count":1,"cpu":1000,"mem_mb":100,"est_runtime_ms":25000,"constraints":"rare"}]}'
CUT_MS=5500
# i-1 comes later.
LABEL=rare
LABELS[0]='\"rare\",\"r1\"'
LABELS[1]='\"rare\",\"r1\"'

start 3 12 3
log=$DIR/gate.log
at() { # MS: sleeps until then after the late start
	local left=$((began + $1 - $(date +%s%3N)))
	[ $left -gt 0 ] && sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

ctl '{"worker":"i-1 dead"}'
sleep 1
ANY=$(((OWNER + 1) % 3))
[ "$TROUBLE" = 0 ] || rules "late 11500 \"task_id\":\"$JOB.0.0.0\",\"run_id\":1,"
call POST $ANY /q/$JOB "$BODY"
[ "$STATUS" = 200 ] || finish 2 "the job isn't accepted: $STATUS"
clock=
if [ "$TROUBLE" != 0 ]; then
	wait_for 5 grep -q -- "-> held for" "$log" || finish 2 "no start is sent"
	began=$(date +%s%3N)
	rules "drop - X-Expected-Instance: i-0"
	note "i-0 is cut off"
	at $CUT_MS
	# Its clock begins anew; the stand-in platform's is the time since the boot.
	clock="clock $(awk '{ printf "%d", $1 * 1000 }' /proc/uptime) X-Expected-Instance: i-0"
	restart i-0 reborn
	rules "$clock"
	note "i-0 has crashed and started again; the cut is over"
	at 11700
	rules "drop - X-Expected-Instance: i-0
$clock"
	note "i-0 is cut off again"
else
	began=$(date +%s%3N)
	at 11700
fi
restart i-1 ready
at $((11700 + CUT_MS))
rules "$clock"
at 20000
http GET "$NET.1:7000" /ctl
note "platform: $REPLY"
note "late calls: $(grep -c -- '-> held for' "$log") of $(grep -c 'run-st\|/api/hold' "$log")"
grep -n "\[i-[01]\]" "$log" | grep "run-st\|held\|(late)\|\"running\":\[\[" | cut -c1-330 >>"$RECORD"
if echo "$REPLY" | grep -q "runs twice: $JOB"; then
	finish 1 "two runs of the task at the same time"
fi
finish 0 "$(grep -c "run-start .*\"$JOB.0.0.0\".* -> HTTP/1.1 200" "$log") start(s) of the task, never two runs at a time"

#!/bin/bash
# A submission reaches the store just as the store fails: it is applied, its
# channel is reset, and for the next second the store refuses calls with 503.
. "$(dirname "$0")/../standin/lib.sh"

JOB=00000000000000a1
BODY='{"task_spec":"300","pipeline":[{"count":1,"cpu":1000,"mem_mb":100,"est_runtime_ms":300}]}'

start 3 4 2
HOST=$(((OWNER + 1) % 3))
call POST $HOST /q/00000000000000a0 "$BODY"
[ "$STATUS" = 200 ] || finish 2 "the job before the disruption isn't accepted: $STATUS"
wait_for 5 state_is $HOST 00000000000000a0 completed || finish 2 "the job before the disruption doesn't end"
[ "$TROUBLE" = 0 ] || rules "fail 1000 \"key\":\"gh/d/state/$JOB\",\"revision\":0"
call POST $HOST "/q/$JOB" "$BODY"
ANSWER=$STATUS
sleep 6
rules ""
call GET $HOST "/q/$JOB"
STARTS=$(grep -c "run-start .*$JOB.* -> HTTP/1.1 200" "$DIR/gate.log")
note "submission answered $ANSWER; starts of its task: $STARTS"
grep "$JOB" "$DIR/gate.log" | cut -c1-400 >>"$RECORD"
case $ANSWER in 429 | 503) [ "$STARTS" -gt 0 ] && finish 1 "the only submission was answered $ANSWER, and the job ran" ;; esac
finish 0 "answered $ANSWER, started $STARTS times"

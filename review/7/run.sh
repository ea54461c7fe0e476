#!/bin/sh
# Jobs with many times: processes exceed their memory, one after the other.
export SUPERVISE=1
exec sh "$(dirname "$0")/../standin-2/run-case.sh" schedules "$(dirname "$0")"

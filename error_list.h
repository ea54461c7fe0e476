/*
 * Every error kind: its enumerator, its stable name, whether the work may have
 * run (NO, UNKNOWN), its HTTP status and the remedy shown to the caller.
 * Included several times with different definitions of GH_ERROR_KIND.
 *
 * GH_ERROR_KIND(kind, name, ran, status, remedy)
 */

/* Errors in settings and documents. */
GH_ERROR_KIND(FILE_MISSING, "file_missing", NO, 404,
	      "name an existing readable file")
GH_ERROR_KIND(SYNTAX, "syntax", NO, 400, "correct the line that is named")
GH_ERROR_KIND(UNKNOWN_GROUP, "unknown_group", NO, 400,
	      "remove the group or correct its name")
GH_ERROR_KIND(UNKNOWN_KEY, "unknown_key", NO, 400,
	      "remove the key or correct its name")
GH_ERROR_KIND(MISSING_KEY, "missing_key", NO, 400, "add the key")
GH_ERROR_KIND(BAD_VALUE, "bad_value", NO, 400,
	      "give a value within the range that is named")
GH_ERROR_KIND(REFERENCE, "reference", NO, 400,
	      "define the group that is referred to, or remove the reference")
GH_ERROR_KIND(GUARANTEE_SUM, "guarantee_sum", NO, 409,
	      "lower the guarantees until their sum fits the pool")
GH_ERROR_KIND(FOREIGN_SECTION, "foreign_section", NO, 403,
	      "change only your own department's groups, or ask its operator")
GH_ERROR_KIND(TOO_LARGE, "too_large", NO, 413,
	      "send a smaller body or split it")
GH_ERROR_KIND(CONCURRENT_CHANGE, "race", NO, 409,
	      "review the change that won and apply again on its generation")
GH_ERROR_KIND(STALE_GENERATION, "stale_generation", NO, 409,
	      "read the newer generation first")
GH_ERROR_KIND(UNAUTHENTICATED, "unauthenticated", NO, 401,
	      "sign in with your department's secret")
GH_ERROR_KIND(SIGN_IN_LIMIT, "sign_in_limit", NO, 429,
	      "wait some seconds before the next try")
GH_ERROR_KIND(FORBIDDEN, "forbidden", NO, 403,
	      "sign in as the department that owns it")

/* Errors of the platform's store and of peers. */
GH_ERROR_KIND(STORE_DOWN, "store_down", NO, 503,
	      "retry when the platform's store answers again")
GH_ERROR_KIND(STORE_UNKNOWN, "store_unknown", UNKNOWN, 503,
	      "read the key again before any further write")
GH_ERROR_KIND(CONFLICT, "conflict", NO, 409, "read the new version and retry")
GH_ERROR_KIND(NOT_FOUND, "not_found", NO, 404, "check the name")
GH_ERROR_KIND(LEASE_LOST, "lease_lost", NO, 410, "acquire a new lease")
GH_ERROR_KIND(PEER_DOWN, "peer_down", NO, 503,
	      "retry, or use another entry host")
GH_ERROR_KIND(PEER_REFUSED, "peer_refused", NO, 403,
	      "give all entry hosts the same peer key")

/* Refusals of callers' requests. */
GH_ERROR_KIND(BAD_REQUEST, "bad_request", NO, 400,
	      "correct the request as the message says")
GH_ERROR_KIND(NO_SERVICE, "no_service", NO, 404,
	      "use a service that the document names")
GH_ERROR_KIND(NO_IDEMPOTENCY_KEY, "no_key", NO, 400,
	      "send an Idempotency-Key with a non-idempotent request")
GH_ERROR_KIND(QUEUE_FULL, "queue_full", NO, 503, "retry after the time given")
GH_ERROR_KIND(DEADLINE_INFEASIBLE, "deadline_hopeless", NO, 503,
	      "retry after the time given, or allow more time")
GH_ERROR_KIND(DEADLINE, "deadline_passed", NO, 504, "retry with more time")
GH_ERROR_KIND(NO_EXECUTOR, "no_executor", NO, 503, "retry after the time given")
GH_ERROR_KIND(EXECUTOR_BUSY, "executor_busy", NO, 503,
	      "retry after the time given")
GH_ERROR_KIND(OVER_LIMIT, "over_limit", NO, 429,
	      "lower the rate, or ask for a higher department limit")
GH_ERROR_KIND(DRAINING, "draining", NO, 503, "retry at another entry host")
GH_ERROR_KIND(STARTING, "starting", NO, 503, "retry after the time given")
GH_ERROR_KIND(CLAIM_FULL, "claim_table_full", NO, 503,
	      "retry after the time given")
GH_ERROR_KIND(CLAIM_NO_PEER, "claim_no_peer", NO, 503,
	      "repeat the request at another entry host, marked as a repeat")
GH_ERROR_KIND(RETRY_BUDGET, "retry_budget", UNKNOWN, 503,
	      "retry after the time given")
GH_ERROR_KIND(
	CLAIM_UNKNOWN, "claim_unknown", UNKNOWN, 503,
	"check whether the first attempt took effect before using a new key")
GH_ERROR_KIND(DUPLICATE, "duplicate", UNKNOWN, 409,
	      "check the outcome of the first attempt; do not use a new key")
GH_ERROR_KIND(OUTCOME_UNKNOWN, "outcome_unknown", UNKNOWN, 502,
	      "check whether the request took effect before using a new key")
GH_ERROR_KIND(TIMEOUT, "timeout", UNKNOWN, 504,
	      "repeat idempotent work; check the outcome of other work")
GH_ERROR_KIND(BAD_RESPONSE, "bad_answer", UNKNOWN, 502,
	      "repeat idempotent work; check the outcome of other work")

/* Errors of jobs and tasks. */
GH_ERROR_KIND(JOB_INFEASIBLE, "job_infeasible", NO, 422,
	      "ask for no more than the largest worker offers")
GH_ERROR_KIND(JOB_EXISTS, "job_exists", NO, 409,
	      "use a new name, or read the existing job")
GH_ERROR_KIND(JOB_CANCELLED, "job_cancelled", NO, 409,
	      "submit the job under a new id, unless its cancel was meant")
GH_ERROR_KIND(JOB_UNKNOWN, "job_unknown", NO, 404, "check the job's name")
GH_ERROR_KIND(JOB_TABLE_FULL, "job_table_full", NO, 503,
	      "retry when other jobs have finished")
GH_ERROR_KIND(QUOTA, "quota", NO, 429,
	      "cancel jobs, or ask for a higher department limit")
GH_ERROR_KIND(NOT_OWNER, "not_owner", NO, 421,
	      "send the request to the owner given in the message")
GH_ERROR_KIND(STALE_EPOCH, "stale_epoch", NO, 409,
	      "read the owner of the shard again")
GH_ERROR_KIND(STALE_ATTEMPT, "stale_attempt", NO, 409,
	      "read the task table again")
GH_ERROR_KIND(NO_CAPACITY, "no_room", NO, 409,
	      "place the task on another worker")
GH_ERROR_KIND(INTENT_EXPIRED, "late", NO, 410, "commit a new intent")
GH_ERROR_KIND(WORKER_DOWN, "worker_down", UNKNOWN, 503,
	      "wait until the task's lease has expired")

GH_ERROR_KIND(NO_QUEUE, "no_queue", NO, 404,
	      "use a host and path that the configuration names")
GH_ERROR_KIND(CONFIG_STALE, "config_stale", NO, 503,
	      "retry after the time given, or at another host")
GH_ERROR_KIND(ADVICE_UNMET, "advice_unmet", NO, 503,
	      "use a queue without placement advice")

/* Refusals of the door: a repeat may have been taken elsewhere. */
GH_ERROR_KIND(DOOR_FULL, "door_full", UNKNOWN, 503,
	      "repeat idempotent work later; check the outcome of other work")

/* Errors of the process itself. */
GH_ERROR_KIND(SYSTEM, "system", NO, 500, "see the log for the cause")

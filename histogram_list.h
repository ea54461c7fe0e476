/*
 * Every latency histogram: its enumerator, its stable name and its meaning.
 * Included several times with different definitions of HISTOGRAM.
 */
HISTOGRAM(SUBMIT, "submit_ms", "submission of a job, read to answered")
HISTOGRAM(STATUS, "status_ms", "question for a job's state")
HISTOGRAM(CANCEL, "cancel_ms", "cancelling of a job")
HISTOGRAM(COMMIT, "commit_ms", "commit of an owner's changes to the store")
HISTOGRAM(ORDER, "order_ms", "order to a worker, sent to answered")

/*
 * Every latency histogram: its enumerator, its stable name and its
 * description.
 * Included several times with different definitions of HISTOGRAM.
 */
HISTOGRAM(SUBMIT, "submit_ms",
	  "successful job submission, from request read to response sent")
HISTOGRAM(STATUS, "status_ms",
	  "successful job status query, from request read to response sent")
HISTOGRAM(CANCEL, "cancel_ms",
	  "successful job cancellation, from request read to response sent")
HISTOGRAM(COMMIT, "commit_ms", "commit of an owner's changes to the store")
HISTOGRAM(ORDER, "order_ms",
	  "order to a worker, from request sent to reply received")
HISTOGRAM(CONFIG_SILENT, "config_silent_ms",
	  "time that a change of the configuration can have been unknown when "
	  "it came into force: since its watch's previous reply")
HISTOGRAM(CONFIG_APPLY, "config_apply_ms",
	  "change of the configuration, from the store's reply to in force")
HISTOGRAM(LOOP, "loop_ms",
	  "iteration of the event loop, from its wake-up until it sleeps again")

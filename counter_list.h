/*
 * Every counter: its enumerator, its stable name and its description.
 * Included several times with different definitions of COUNTER.
 * Refusals have their own counters, one per error kind; see
 * counter_inc_refusals().
 */

/* Counters of callers' requests. */
COUNTER(REQ_ACCEPTED, "requests_accepted",
	"complete requests read from callers")
COUNTER(REQ_ANSWERED, "requests_answered", "complete responses sent to callers")
COUNTER(REQ_QUEUED, "requests_queued", "requests that waited for a slot")
COUNTER(REQ_SPILLED, "requests_spilled",
	"requests sent to another failure domain")
COUNTER(RETRY_CONNECT, "retry_connect", "retries after a refused connection")
COUNTER(RETRY_BUSY, "retry_busy",
	"retries after an executor refused the request")
COUNTER(RETRY_SILENT, "retry_silent",
	"retries after a connection without a response")
COUNTER(RETRY_RESET, "retry_reset", "retries after a connection reset")
COUNTER(RETRY_BAD_RESPONSE, "retry_bad_answer",
	"retries after a truncated or mismatched response")
COUNTER(CONN_OPENED, "connections_opened", "connections opened to executors")
COUNTER(CONN_DROPPED, "connections_dropped",
	"executor connections closed after a failed or invalid response")
COUNTER(EXECUTOR_EJECTED, "executors_ejected",
	"executors ejected after failures")
COUNTER(EXECUTOR_READMITTED, "executors_readmitted",
	"ejected executors readmitted")
COUNTER(CLAIM_LOCAL, "claims_local", "claims held on this host")
COUNTER(CLAIM_REMOTE, "claims_remote", "claims held for other hosts")
COUNTER(CREDIT_LENT, "credits_lent", "slot credits lent to peers")
COUNTER(CREDIT_BORROWED, "credits_borrowed", "slot credits borrowed from peers")

/* Counters of the door: connections and bodies of clients. */
COUNTER(CLIENTS_CROWDED, "clients_closed_crowded",
	"clients' connections closed as there were too many")
COUNTER(CLIENTS_FULL, "clients_closed_full",
	"clients' connections closed to make room for another's body")
COUNTER(CLIENTS_LATE, "clients_closed_late",
	"clients' connections closed at their deadline")
COUNTER(BODIES_DROPPED, "bodies_dropped", "bodies dropped for want of room")

/* Counters of what was decided on submissions at the door. */
COUNTER(ADMITTED_USEFUL, "admitted_useful",
	"jobs admitted that can be of use to their callers")
COUNTER(ADMITTED_NO_ESTIMATE, "admitted_no_estimate",
	"jobs admitted that last, are timed or have no estimate")
COUNTER(ADMITTED_UNKNOWN, "admitted_unknown",
	"jobs admitted as it is not known, or of late, what waits")
COUNTER(ADMITTED_TURN, "admitted_turn",
	"jobs admitted late, as their callers' turn had come")
COUNTER(REFUSED_LATE, "refused_late",
	"jobs refused that would end too late for their callers")

/* Counters of calls to the key-value service (store). */
COUNTER(STORE_READ, "store_reads", "reads sent to the store")
COUNTER(STORE_WRITE, "store_writes", "writes sent to the store")
COUNTER(STORE_LEASE, "store_lease_calls", "lease calls sent to the store")
COUNTER(STORE_WATCH, "store_watches", "watches sent to the store")
COUNTER(STORE_BYTES, "store_bytes",
	"bytes sent to and received from the store, including headers")
COUNTER(STORE_FAILED, "store_failures", "store calls without a valid reply")
COUNTER(STORE_CONFLICT, "store_conflicts",
	"writes refused because the key had changed")
COUNTER(STORE_ABSENT, "store_absent", "store calls for a missing key")
COUNTER(STORE_LEASE_LOST, "store_leases_lost",
	"store calls refused because a lease had expired")
COUNTER(STORE_REREADS, "store_rereads",
	"writes whose reply was lost, resolved by reading the key")
COUNTER(STORE_DEFERRED, "store_deferred",
	"store calls delayed by this host's rate limit")

/* Counters of the link to peers and of the document. */
COUNTER(PEER_SENT, "peer_calls_sent", "calls sent to peers")
COUNTER(PEER_SENT_BYTES, "peer_bytes_sent", "bytes sent to peers")
COUNTER(PEER_RECEIVED_BYTES, "peer_bytes_received", "bytes received from peers")
COUNTER(PEER_RECEIVED, "peer_calls_received", "calls received from peers")
COUNTER(PEER_FAILED, "peer_calls_failed", "calls to peers without a reply")
COUNTER(PEER_BAD_DIGEST, "peer_bad_digest",
	"peer calls refused for a wrong digest")
COUNTER(PEER_REPLAYED, "peer_replayed",
	"peer calls refused for a sequence number already used")
COUNTER(PEER_INCARNATION_RAISED, "peer_incarnations_raised",
	"times that this host raised its incarnation above one known to a peer")
COUNTER(PEER_SUSPECTED, "peers_suspected",
	"times that a peer stopped sending heartbeats")
COUNTER(DOC_APPLIED, "documents_applied", "documents put in force")
COUNTER(DOC_OLDER, "documents_older",
	"documents ignored as older than the one in force")
COUNTER(DOC_GENERATION_CONFLICT, "documents_clashing",
	"documents with the generation in force but a different text")
COUNTER(DOC_BYTES, "document_bytes",
	"bytes of documents read from the store and from peers")
COUNTER(DOC_BAD_PATCH, "document_patches_bad",
	"patches that failed to produce the expected document")
COUNTER(DOC_FROM_PEER, "documents_from_peer", "documents fetched from a peer")
COUNTER(DOC_INVALID, "documents_invalid", "documents refused as invalid")

COUNTER(DOC_WRITTEN_BACK, "documents_written_back",
	"documents written to a store that held an older one")
COUNTER(DOC_PROPOSED, "documents_proposed", "documents proposed by operators")
COUNTER(DOC_UNCONFIRMED, "documents_unconfirmed",
	"accepted documents not confirmed by a majority of entry hosts in time")

/* Counters of jobs, tasks and workers. */
COUNTER(JOB_SUBMITTED, "jobs_submitted", "jobs recorded")
COUNTER(JOB_DONE, "jobs_done", "jobs finished")
COUNTER(JOB_FAILED, "jobs_failed", "jobs that failed for good")
COUNTER(JOB_CANCELLED, "jobs_cancelled", "jobs cancelled")
COUNTER(TASK_STARTED, "tasks_started", "task starts confirmed by a worker")
COUNTER(TASK_START_REFUSED, "task_starts_refused",
	"task starts that a worker refused")
COUNTER(TASK_EVICTED, "tasks_evicted", "tasks checkpointed and stopped")
COUNTER(TASK_THROTTLED, "tasks_throttled", "tasks throttled")
COUNTER(TASK_RESUMED, "tasks_resumed", "tasks resumed from a checkpoint")
COUNTER(TASK_LOST, "tasks_lost",
	"attempts that ended because their worker was lost")
COUNTER(TASK_RETRIED, "tasks_retried", "attempts started after a failure")
COUNTER(WORKER_CALLS, "worker_calls", "calls sent to workers")
COUNTER(WORKER_BYTES, "worker_bytes",
	"bytes sent to and received from workers, including headers")
COUNTER(WORKER_CALLS_FAILED, "worker_calls_failed",
	"calls to workers without a reply")
COUNTER(WORKER_EJECTED, "workers_ejected", "workers ejected after failures")
COUNTER(SHARD_ACQUIRED, "shards_acquired", "shards taken over")
COUNTER(SHARD_LOST, "shards_lost",
	"shards whose ownership was lost or released")
COUNTER(SHARD_RETRIES, "shard_commit_retries",
	"commits retried after a store failure")
COUNTER(SHARD_RESTORES, "shard_restores",
	"task tables rewritten after the store returned to an older state")
COUNTER(SHARD_COMMITS, "shard_commits", "group commits of task tables")

/* Counters of the recorded trace. */
COUNTER(TRACE_SKIPPED, "trace_events_skipped",
	"events left out of the trace: names not in its header, too late or "
	"over the limit")

/* Counters of operators' sign-ins. */
COUNTER(SIGN_INS, "sign_ins", "operators signed in")
COUNTER(SIGN_INS_REFUSED, "sign_ins_refused", "sign-ins refused")

/* Counters of the job service. */
COUNTER(PLATFORM_CALLS, "platform_calls", "calls to the store and to workers")
COUNTER(PLATFORM_UNANSWERED, "platform_unanswered",
	"calls to the store and to workers without a complete reply")
COUNTER(PLATFORM_COPIES_BARRED, "platform_copies_barred",
	"calls not written a second time after their connection ended")
COUNTER(ORDERS_PROBED, "orders_probed",
	"probes sent to workers before an order, for want of a connection")
COUNTER(ORDERS_OTHER_LIFE, "orders_other_life",
	"orders not sent, as another life of the worker replied to the probe")
COUNTER(ORDERS_UNCONNECTED, "orders_unconnected",
	"orders not sent, as no life of the worker replied to the probe")
COUNTER(REPLIES_LATER_LIFE, "replies_later_life",
	"replies to orders from a later life of the worker, by its clock")
COUNTER(STORE_REFUSED, "store_refused",
	"calls that the store refused with 403, 429 or 503")
COUNTER(STORE_UNSENT, "store_unsent",
	"calls to the store of which nothing was sent")
COUNTER(STORE_UNANSWERED, "store_unanswered",
	"calls to the store without a complete response")
COUNTER(STORE_ODD_STATUS, "store_odd_status",
	"calls that the store answered with a status that is not known")
COUNTER(STORE_UNREACHABLE, "store_lost",
	"times that the store became unreachable")
COUNTER(STORE_REACHABLE_AGAIN, "store_regained",
	"times that the store became reachable again")
COUNTER(CONFIGS_UNREAD, "configs_unread",
	"configurations that could not be decoded")
COUNTER(QUEUES_UNREAD, "queues_unread",
	"queues of configurations in force left out as they could not be "
	"decoded")
COUNTER(RETRY_STORE, "retry_store",
	"retries of a caller's write or read at the store")
COUNTER(SHARD_CLAIMED, "shards_claimed", "shards that this host took over")
COUNTER(SHARD_HANDED_OVER, "shards_handed_over",
	"shards that this host was too small for and handed over")
COUNTER(STATES_READ, "states_read",
	"states of jobs read from the store for a caller")
COUNTER(STATES_KNOWN_TOLD, "states_known_told",
	"states told as known, as the store could not be read in time")
COUNTER(COMMITS, "commits", "commits of an owner's changes")
COUNTER(COMMITS_FAILED, "commits_failed", "commits that failed")
COUNTER(COMMITS_UNKNOWN, "commits_unanswered",
	"commits whose outcome is unknown")
COUNTER(LOG_DROPPED, "log_lines_dropped",
	"log lines dropped by the rate limit, and writes dropped by a slow "
	"reader")
COUNTER(RUNS_STARTED, "runs_started", "run starts confirmed by workers")
COUNTER(RUNS_DONE, "runs_done", "runs that succeeded")
COUNTER(RUNS_FAILED, "runs_failed", "runs that failed")
COUNTER(RUNS_STOPPED, "runs_stopped", "runs stopped by order of the owner")
COUNTER(RUNS_LEASE_EXPIRED, "runs_lapsed",
	"runs whose lease expired at the worker")
COUNTER(RUNS_LOST, "runs_lost", "runs whose end was never reported")
COUNTER(RUNS_NO_CAPACITY, "runs_no_room",
	"run starts refused by a worker for lack of capacity")
COUNTER(SHARD_BEHIND, "shards_behind",
	"seconds in which a run waited for over a second to be committed")
COUNTER(RUN_COPIES, "run_copies", "speculative copies started for slow tasks")
COUNTER(RUN_HANGS, "run_hangs", "runs stopped because they made no progress")
COUNTER(WORKER_QUARANTINES, "worker_quarantines",
	"times that a worker was quarantined")
COUNTER(JOBS_HELD, "jobs_held",
	"jobs not continued as their stored progress can't be decoded")
COUNTER(PACE_CHANGES, "paces",
	"orders that changed the pace of a best-effort task")
COUNTER(PLACEMENTS_PUT_OFF, "placements_put_off",
	"placements on workers that were put off to leave cores to more urgent "
	"tasks")
COUNTER(JOBS_IDLE, "jobs_idle",
	"seconds in which a job had nothing running for over 2 s although a "
	"task's turn had come")
COUNTER(WORKERS_EXAMINED, "workers_examined",
	"workers examined to place tasks, one for each worker and task")
COUNTER(TASKS_DEPARTED, "tasks_departed",
	"waiting tasks that moved to another shard")
COUNTER(TASKS_ARRIVED, "tasks_arrived", "tasks that came from another shard")
COUNTER(CHANGES_HASTENED, "changes_hastened",
	"changes of urgent jobs committed ahead of older changes")
COUNTER(RUN_TIMES, "run_times", "run times that were learned from")
COUNTER(RUN_TIMES_OFF, "run_times_off",
	"of those, run times over twice or under half the declared one")
COUNTER(DOMAIN_REQUESTS, "domain_requests",
	"requests to empty a failure domain that this host has heard of")
COUNTER(DOMAIN_REQUESTS_OVER, "domain_requests_over",
	"such requests that were taken back")
COUNTER(DOMAIN_REQUESTS_UNREAD, "domain_requests_unread",
	"keys of such requests that name no domain")
COUNTER(RUNS_TAKEN_BACK, "runs_taken_back",
	"planned runs taken back as their worker's failure domain is emptied")
COUNTER(STARTS_WITHHELD, "starts_withheld",
	"starts put off as the requests to empty domains were not heard")
COUNTER(STORE_REJECTED, "store_rejected",
	"calls that the store can't carry out, such as for a value's size")
COUNTER(COMMITS_REJECTED, "commits_rejected",
	"commits that were given up as the store can't carry them out")
COUNTER(JOBS_SET_ASIDE, "jobs_set_aside",
	"times that a job whose change can't be committed was set aside")
COUNTER(REFUSED_NO_MEMORY, "refused_no_memory",
	"jobs refused as those that have not ended take up the memory for jobs")
COUNTER(MEMORY_SHORT, "memory_short",
	"times that tasks whose turn had come began to wait for memory")
COUNTER(RUNS_MOVED, "runs_moved",
	"slowed best-effort tasks stopped to continue on another worker")

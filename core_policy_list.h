/*
 * The keys of the document's [policy] group.  Included several times with
 * different definitions of POLICY; each use describes one key:
 *
 * POLICY(field, default, min, max, help)
 *
 * The field's name is also the key in the document; _ms stands for
 * milliseconds.  The console shows the help text with the key.
 */
POLICY(request_max_ms, 2000, 50, 600000, "maximum run time of a request")
POLICY(request_body_max, 65536, 0, 1048576,
       "maximum size of a request body, in bytes")
POLICY(queue_max, 2000, 1, 100000,
       "maximum number of queued requests on one entry host")
POLICY(claim_window_ms, 60000, 1000, 86400000,
       "time in which callers may repeat a non-idempotent request")
POLICY(claim_max, 100000, 100, 10000000,
       "maximum number of claims kept on one entry host")
POLICY(claim_timeout_ms, 300, 10, 10000,
       "timeout of a call that claims a request")
POLICY(retry_budget_percent, 10, 0, 100,
       "retries allowed per hundred recent successes")
POLICY(retry_max, 3, 0, 10,
       "maximum number of retries of one idempotent request")
POLICY(long_ms, 500, 1, 600000, "run time above which requests count as long")
POLICY(long_slots_percent, 70, 0, 100,
       "part of an executor's slots that long requests may occupy")
POLICY(batch_age_ms, 2000, 1, 600000,
       "queueing time after which batch requests rank with latency-critical "
       "ones")
POLICY(eject_failure_percent, 50, 1, 100,
       "failure rate above which an executor is ejected")
POLICY(eject_max_percent, 34, 0, 100,
       "part of a domain's executors that may be ejected at the same time")
POLICY(eject_ms, 3000, 100, 600000, "time before an ejected executor is probed")
POLICY(silent_ms, 1000, 20, 600000,
       "silence after which a connection is considered failed")
POLICY(spill_percent, 50, 0, 100,
       "part of the spare slots reported by another domain that may be used")
POLICY(heartbeat_ms, 500, 50, 60000, "interval between heartbeats to a peer")
POLICY(suspect_ms, 2500, 100, 600000,
       "silence after which a peer is considered unreachable")
POLICY(clock_bound_ms, 200, 0, 60000, "maximum clock difference between hosts")
POLICY(owner_lease_ms, 4000, 500, 600000, "duration of a shard owner's lease")
POLICY(task_lease_ms, 10000, 500, 3600000, "duration of a running task's lease")
POLICY(renew_alone_ms, 3600000, 0, 86400000,
       "maximum time for which an owner renews task leases without the store")
POLICY(start_window_ms, 2000, 100, 600000,
       "time from a committed intent to the latest start of its task")
POLICY(commit_ms, 50, 5, 10000, "minimum interval between commits of one shard")
POLICY(worker_poll_ms, 1000, 50, 60000, "interval between calls to one worker")
POLICY(urgent_start_ms, 4000, 100, 600000,
       "time in which urgent work has to start; for as long a worker stays "
       "reserved for a job that caused evictions")
POLICY(attempts_max, 5, 1, 1000,
       "failed attempts after which a task fails for good")
POLICY(backoff_ms, 500, 10, 600000, "wait after the first failed attempt")
POLICY(backoff_max_ms, 60000, 10, 86400000, "maximum wait between attempts")
POLICY(evictions_per_minute, 120, 0, 10000,
       "maximum number of evictions per minute in one shard")
POLICY(throttle_percent, 50, 1, 100,
       "processor share that throttled batch tasks keep")
POLICY(shards_per_domain, 1, 1, 64, "worker shards of a failure domain")
POLICY(jobs_max, 20000, 1, 1000000,
       "maximum number of unfinished jobs of one shard")

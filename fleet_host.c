/*
 * Connects the parts of a host: store events to the owners of the shards,
 * and calls from callers' threads to the loop, which carries them out.
 */
#include "fleet_host.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "fleet_admission.h"
#include "fleet_jobs.h"
#include "fleet_owner.h"
#include "fleet_watch.h"
#include "histogram.h"
#include "log.h"

/*
 * Max time since the store's last reply.  A watch call returns after 1 s, so a
 * longer silence means a failure.
 */
#define STORE_SILENCE_MAX_USEC (1800 * GH_USEC_PER_MSEC)
#define RETRY_AFTER_MS 1000
/*
 * Max wait for the store when a job's state is known but may lag; then what is
 * known is told.
 */
#define NEWER_STATE_WAIT_USEC (300 * GH_USEC_PER_MSEC)
/* Max such reads at a time on one host. */
#define NEWER_STATE_READS_MAX 32
/* Hosts with fewer cores than this (in 1/1000) delay claims of shards. */
#define CLAIM_DELAY_CORES_MILLI 250
/* Delay of claims by a host with 0 cores; more cores shorten it. */
#define CLAIM_DELAY_MAX_USEC (150 * GH_USEC_PER_MSEC)
/* Added to the delay of a claim for each shard that the host owns already. */
#define CLAIM_DELAY_PER_SHARD_USEC (250 * GH_USEC_PER_MSEC)
/* Added as well for each of them whose decisions come late. */
#define CLAIM_DELAY_LATE_USEC (300 * GH_USEC_PER_MSEC)

struct fleet_front {
	fleet_host_setup_t setup;
	fleet_jobs_t *jobs;
	fleet_watch_t *config_watch;
	fleet_domains_t *domains; /* NULL: none are emptied on request */
	/* One owner per shard, indexed by shard number. */
	fleet_owner_t **owners;
	_Atomic bool draining;
	_Atomic unsigned newer_state_reads; /* under way */
	pthread_mutex_t lock;
	/*
	 * Operator's configuration in force, NULL until one was read; guarded
	 * by lock.
	 */
	fleet_config_t *config;
	/* The operator's newest configuration could not be decoded. */
	_Atomic bool config_unread;
	uint64_t unread_revision; /* of the last that could not be */
};

/*
 * A call made by a caller's thread, which blocks until the loop has carried out
 * the call.
 */
typedef struct caller_call {
	fleet_front_t *host;
	const char *id;
	const char *queue;
	fleet_submission_t submission; /* of a job; not set in other calls */
	bool refresh;
	gh_time_t deadline;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool done;
	GError *err;
} caller_call_t;

static void on_operator_item(void *ctx, const fleet_item_t *item);
static void take_config(fleet_front_t *host, const fleet_item_t *item);
static void report_config(const fleet_front_t *host,
			  const fleet_config_t *config, uint64_t revision,
			  bool is_change);
static void on_job(void *ctx, const char *id, const fleet_job_state_t *state);
static void on_owner(void *ctx, uint32_t shard, const char *name);
static gh_time_t claim_delay(void *ctx);
static uint32_t shards_kept(void *ctx);
static void on_synced(void *ctx);
static bool run_on_loop(caller_call_t *call, loop_work_t work, GError **err);
static void start_submit(void *ctx);
static void start_cancel(void *ctx);
static void start_refresh(void *ctx);
static void on_call_done(void *ctx, const GError *err);
static bool store_is_reachable(const fleet_front_t *host);
static bool config_is_heard(const fleet_front_t *host);
static void read_newer_state(fleet_front_t *host, const char *id,
			     gh_time_t deadline, fleet_job_state_t *state);

fleet_front_t *fleet_host_new(const fleet_host_setup_t *setup)
{
	fleet_front_t *host = g_new0(fleet_front_t, 1);
	fleet_jobs_listener_t listener = { .job_changed = on_job,
					   .owner_changed = on_owner,
					   .synced = on_synced,
					   .ctx = host };
	/* Decoding a large configuration takes a slow host 0.1 s and more. */
	fleet_watch_listener_t watch_listener = { .item_changed =
							  on_operator_item,
						  .ctx = host,
						  .newest_only = true };
	uint32_t i;

	host->setup = *setup;
	pthread_mutex_init(&host->lock, NULL);
	if (setup->fleet.empty_ms)
		host->domains = fleet_domains_new(setup->store->ops);
	host->owners = g_new0(fleet_owner_t *, setup->shards);
	host->jobs = fleet_jobs_new(setup->loop, setup->store, setup->shards,
				    &listener);
	for (i = 0; i < setup->shards; i++) {
		fleet_owner_setup_t owner = {
			.host = setup->name,
			.shard = i,
			.loop = setup->loop,
			.store = setup->store,
			.workers = setup->workers,
			.jobs = host->jobs,
			.fleet = setup->fleet,
			.domains = host->domains,
			.ended_retention_ms = setup->ended_retention_ms,
			.commit_interval_min = setup->commit_interval_min,
			.shards = setup->shards,
			.claim_delay = claim_delay,
			.shards_kept = shards_kept,
			.claim_delay_ctx = host,
			.cores_milli = setup->cores_milli,
		};

		host->owners[i] = fleet_owner_new(&owner);
	}
	host->config_watch = fleet_watch_new(
		setup->loop, setup->store, FLEET_KEYSPACE_CONFIG,
		host->domains ? "" : setup->store->ops->config_key,
		&watch_listener);
	if (host->domains)
		fleet_domains_set_watch(host->domains, host->config_watch);
	return host;
}

void fleet_host_free(fleet_front_t *host)
{
	uint32_t i;

	if (!host)
		return;
	if (host->domains)
		fleet_domains_set_watch(host->domains, NULL);
	fleet_watch_free(host->config_watch);
	for (i = 0; i < host->setup.shards; i++)
		fleet_owner_free(host->owners[i]);
	g_free(host->owners);
	fleet_jobs_free(host->jobs);
	fleet_domains_free(host->domains);
	fleet_config_unref(host->config);
	pthread_mutex_destroy(&host->lock);
	g_free(host);
}

void fleet_host_drain(fleet_front_t *host)
{
	uint32_t i;

	atomic_store(&host->draining, true);
	for (i = 0; i < host->setup.shards; i++)
		fleet_owner_release(host->owners[i]);
}

void fleet_host_close(fleet_front_t *host)
{
	fleet_jobs_close(host->jobs);
}

bool fleet_host_is_drained(const fleet_front_t *host)
{
	uint32_t i;

	for (i = 0; i < host->setup.shards; i++)
		if (!fleet_owner_is_idle(host->owners[i]))
			return false;
	return true;
}

/* Handlers of store events; they run on the loop's thread. */

static void on_operator_item(void *ctx, const fleet_item_t *item)
{
	fleet_front_t *host = ctx;
	uint32_t i;

	if (!strcmp(item->key, host->setup.store->ops->config_key))
		take_config(host, item);
	else if (host->domains && fleet_domains_take(host->domains, item))
		for (i = 0; i < host->setup.shards; i++)
			fleet_owner_domains_changed(host->owners[i]);
}

static void take_config(fleet_front_t *host, const fleet_item_t *item)
{
	GError *err = NULL;
	fleet_config_t *config;
	fleet_config_t *old;
	uint32_t i;

	if (!item->value)
		return;
	config = host->setup.store->ops->parse_config(item->value, &err);
	if (!config) {
		fleet_watch_refuse(host->config_watch);
		host->unread_revision =
			MAX(host->unread_revision, item->revision);
		log_event(LOG_ERROR, "config_unread", "revision",
			  log_num((int64_t)item->revision), "message",
			  err->message, NULL);
		g_error_free(err);
		counter_inc(CTR_CONFIGS_UNREAD);
		atomic_store(&host->config_unread, true);
		return;
	}
	old = host->config;
	if (old && old->version >= config->version) {
		if (old->version > config->version) {
			log_event(LOG_WARN, "config_older", "version",
				  log_num((int64_t)config->version), "revision",
				  log_num((int64_t)item->revision), NULL);
			counter_inc(CTR_DOC_OLDER);
		}
		fleet_watch_refuse(host->config_watch);
		fleet_config_unref(config);
		return;
	}
	if (item->revision > host->unread_revision)
		atomic_store(&host->config_unread, false);
	counter_add(CTR_QUEUES_UNREAD, config->n_unread);
	for (i = 0; i < host->setup.shards; i++)
		fleet_owner_configure(host->owners[i], config);
	pthread_mutex_lock(&host->lock);
	host->config = config;
	pthread_mutex_unlock(&host->lock);
	counter_inc(CTR_DOC_APPLIED);
	report_config(host, config, item->revision, old != NULL);
	fleet_config_unref(old);
}

/* Logs the configuration in force and how late it can be. */
static void report_config(const fleet_front_t *host,
			  const fleet_config_t *config, uint64_t revision,
			  bool is_change)
{
	gh_time_t now = clock_boot();
	gh_time_t silent =
		now - fleet_watch_previous_reply_at(host->config_watch);
	gh_time_t taken = now - fleet_watch_last_reply_at(host->config_watch);

	if (is_change) {
		histogram_add(HIST_CONFIG_SILENT, silent);
		histogram_add(HIST_CONFIG_APPLY, taken);
	}
	log_event(LOG_INFO, "config_applied", "version",
		  log_num((int64_t)config->version), "queues",
		  log_num((int64_t)config->n_queues), "revision",
		  log_num((int64_t)revision), "silent_ms",
		  log_num(gh_time_to_ms(silent)), "ms",
		  log_num(gh_time_to_ms(taken)), NULL);
}

static void on_job(void *ctx, const char *id, const fleet_job_state_t *state)
{
	fleet_front_t *host = ctx;
	uint32_t i;

	/*
	 * The owner that has the job cancels it; an earlier version may have
	 * dropped the shard from the state.
	 */
	for (i = 0; i < host->setup.shards; i++)
		fleet_owner_job_changed(host->owners[i], id, state);
}

static void on_owner(void *ctx, uint32_t shard, const char *name)
{
	fleet_front_t *host = ctx;

	if (shard < host->setup.shards)
		fleet_owner_record_changed(host->owners[shard], name);
}

/*
 * Delay before this host claims a shard: short on hosts with many cores and few
 * shards that are decided for in time.
 */
static gh_time_t claim_delay(void *ctx)
{
	const fleet_front_t *host = ctx;
	gh_time_t delay = 0;
	uint32_t i;

	if (host->setup.cores_milli < CLAIM_DELAY_CORES_MILLI)
		delay = (CLAIM_DELAY_CORES_MILLI - host->setup.cores_milli) *
			CLAIM_DELAY_MAX_USEC / CLAIM_DELAY_CORES_MILLI;
	for (i = 0; i < host->setup.shards; i++)
		if (host->owners[i] && !fleet_owner_is_idle(host->owners[i])) {
			delay += CLAIM_DELAY_PER_SHARD_USEC;
			if (fleet_owner_is_late(host->owners[i]))
				delay += CLAIM_DELAY_LATE_USEC;
		}
	return delay;
}

static uint32_t shards_kept(void *ctx)
{
	const fleet_front_t *host = ctx;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < host->setup.shards; i++)
		n += fleet_owner_keeps_shard(host->owners[i]);
	return n;
}

static void on_synced(void *ctx)
{
	(void)ctx;
	log_event(LOG_INFO, "jobs_read", NULL);
}

/* Functions that callers' threads call. */

fleet_config_t *fleet_front_config(fleet_front_t *host)
{
	fleet_config_t *config;

	pthread_mutex_lock(&host->lock);
	config = host->config ? fleet_config_ref(host->config) : NULL;
	pthread_mutex_unlock(&host->lock);
	return config;
}

const fleet_queue_t *fleet_front_find_queue(const fleet_config_t *config,
					    const char *host, const char *path)
{
	size_t host_len = strcspn(host, ":");
	const fleet_queue_t *best = NULL;
	size_t best_len = 0;
	size_t i;

	for (i = 0; i < config->n_queues; i++) {
		const fleet_queue_t *queue = &config->queues[i];
		size_t len = strlen(queue->prefix);

		if (len < best_len || strlen(queue->host) != host_len ||
		    g_ascii_strncasecmp(queue->host, host, host_len) != 0 ||
		    strncmp(queue->prefix, path, len) != 0)
			continue;
		best = queue;
		best_len = len;
	}
	return best;
}

bool fleet_front_knows_all_queues(fleet_front_t *host,
				  const fleet_config_t *config)
{
	return config_is_heard(host) && !atomic_load(&host->config_unread) &&
	       !config->n_unread;
}

bool fleet_front_submit(fleet_front_t *host, const fleet_queue_t *queue,
			gh_pipeline_t *pipeline, gh_time_t deadline,
			int64_t *retry_after_ms, GError **err)
{
	caller_call_t call = { .host = host,
			       .id = pipeline->id,
			       .queue = queue->policy.name,
			       .deadline = deadline };
	bool ok = gh_pipeline_check(pipeline, err);

	call.submission = (fleet_submission_t){
		.jobs = host->jobs,
		.job = pipeline,
		.policy = &queue->policy,
		.limit_milli = host->setup.refuse_beyond_milli,
		.memory_max = host->setup.jobs_memory_max,
		.deadline = deadline,
		.done = on_call_done,
		.ctx = &call,
		.retry_after_ms = RETRY_AFTER_MS,
	};
	if (ok && queue->has_placement_advice) {
		gh_error_set(
			err, GH_E_ADVICE_UNMET,
			"queue %s has placement advice, which is not supported",
			queue->policy.name);
		ok = false;
	}
	if (ok && !(store_is_reachable(host) && config_is_heard(host)) &&
	    !fleet_jobs_is_accepted(host->jobs, pipeline->id,
				    queue->policy.name)) {
		if (fleet_jobs_is_open(host->jobs, pipeline->id))
			gh_error_set(err, GH_E_STORE_UNKNOWN,
				     "the store is not heard: an earlier "
				     "submission of job %s is open",
				     pipeline->id);
		else
			gh_error_set(err, GH_E_STORE_DOWN,
				     "the store is not heard: job %s was not "
				     "written",
				     pipeline->id);
		ok = false;
	}
	ok = ok && run_on_loop(&call, start_submit, err);
	*retry_after_ms = call.submission.retry_after_ms;
	gh_pipeline_free(pipeline);
	return ok;
}

bool fleet_front_status(fleet_front_t *host, const fleet_queue_t *queue,
			const char *id, gh_time_t deadline,
			gh_job_phase_t *phase, GError **err)
{
	caller_call_t call = { .host = host,
			       .id = id,
			       .queue = queue->policy.name,
			       .deadline = deadline };
	fleet_job_state_t state;

	if (!fleet_jobs_find(host->jobs, id, &state)) {
		/*
		 * The job directory may lag behind the store: only the store
		 * shows that no such job exists.
		 */
		if (!run_on_loop(&call, start_refresh, err))
			return false;
		if (!fleet_jobs_find(host->jobs, id, &state)) {
			gh_error_set(err, GH_E_JOB_UNKNOWN,
				     "job %s does not exist", id);
			return false;
		}
	} else if (fleet_jobs_may_lag(host->jobs, &state)) {
		read_newer_state(host, id, deadline, &state);
	}
	if (strcmp(state.queue, queue->policy.name) != 0 ||
	    !fleet_job_was_accepted(&state)) {
		gh_error_set(err, GH_E_JOB_UNKNOWN,
			     "job %s does not exist in queue %s", id,
			     queue->policy.name);
		return false;
	}
	*phase = state.phase;
	return true;
}

/*
 * Reads the state of a job that another host works on.  Without a reply from
 * the store the known state stays.
 */
static void read_newer_state(fleet_front_t *host, const char *id,
			     gh_time_t deadline, fleet_job_state_t *state)
{
	caller_call_t call = { .host = host, .id = id };
	gh_time_t now = clock_boot();
	bool is_read = false;

	call.deadline = MIN(deadline, now + NEWER_STATE_WAIT_USEC);
	if (atomic_fetch_add(&host->newer_state_reads, 1) <
		    NEWER_STATE_READS_MAX &&
	    store_is_reachable(host) && call.deadline > now)
		is_read = run_on_loop(&call, start_refresh, NULL);
	atomic_fetch_sub(&host->newer_state_reads, 1);
	counter_inc(is_read ? CTR_STATES_READ : CTR_STATES_KNOWN_TOLD);
	if (is_read)
		fleet_jobs_find(host->jobs, id, state);
	else
		log_event(LOG_INFO, "known_state_told", "job", id, "ms",
			  log_num(gh_time_to_ms(fleet_jobs_age(host->jobs))),
			  NULL);
}

bool fleet_front_cancel(fleet_front_t *host, const fleet_queue_t *queue,
			const char *id, gh_time_t deadline, GError **err)
{
	caller_call_t call = { .host = host,
			       .id = id,
			       .queue = queue->policy.name,
			       .deadline = deadline };

	return run_on_loop(&call, start_cancel, err);
}

bool fleet_front_count_pending(fleet_front_t *host, const fleet_queue_t *queue,
			       uint32_t *n, GError **err)
{
	if (!store_is_reachable(host) || !config_is_heard(host)) {
		gh_error_set(err, GH_E_STORE_DOWN,
			     "the store is not heard: the jobs of queue %s "
			     "cannot be counted",
			     queue->policy.name);
		return false;
	}
	*n = fleet_jobs_count_queued(host->jobs, queue->policy.name);
	return true;
}

bool fleet_front_is_ready(fleet_front_t *host)
{
	bool configured;

	pthread_mutex_lock(&host->lock);
	configured = host->config != NULL;
	pthread_mutex_unlock(&host->lock);
	return configured && !atomic_load(&host->draining) &&
	       store_is_reachable(host) && config_is_heard(host);
}

int64_t fleet_front_retry_after_ms(void)
{
	return RETRY_AFTER_MS;
}

char *fleet_front_metrics_text(fleet_front_t *host)
{
	fleet_config_t *config = fleet_front_config(host);
	char *counters = counter_format_all();
	char *domains = host->domains ? fleet_domains_format(host->domains) :
					g_strdup("");
	char *text = g_strdup_printf(
		"%s%sconfig_version %" PRIu64 "\nconfig_queues %zu\n"
		"config_queues_missing %zu\nconfig_outdated %d\n",
		counters, domains, config ? config->version : 0,
		config ? config->n_queues : 0, config ? config->n_unread : 0,
		atomic_load(&host->config_unread));

	fleet_config_unref(config);
	g_free(domains);
	g_free(counters);
	return text;
}

static bool store_is_reachable(const fleet_front_t *host)
{
	gh_time_t last_reply_at = fleet_jobs_last_reply_at(host->jobs);

	if (!last_reply_at)
		return false;
	last_reply_at = MAX(last_reply_at,
			    fleet_watch_last_reply_at(host->config_watch));
	return clock_boot() - last_reply_at < STORE_SILENCE_MAX_USEC;
}

/*
 * Whether the configuration in force was the operator's newest one a short time
 * ago.  The watch of it can be stuck while other calls to the store succeed.
 */
static bool config_is_heard(const fleet_front_t *host)
{
	return clock_boot() - fleet_watch_last_reply_at(host->config_watch) <
	       STORE_SILENCE_MAX_USEC;
}

static bool run_on_loop(caller_call_t *call, loop_work_t work, GError **err)
{
	clock_cond_init(&call->cond);
	pthread_mutex_init(&call->lock, NULL);
	loop_post(call->host->setup.loop, work, call);
	pthread_mutex_lock(&call->lock);
	while (!call->done)
		pthread_cond_wait(&call->cond, &call->lock);
	pthread_mutex_unlock(&call->lock);
	pthread_cond_destroy(&call->cond);
	pthread_mutex_destroy(&call->lock);
	if (!call->err)
		return true;
	g_propagate_error(err, call->err);
	return false;
}

static void start_submit(void *ctx)
{
	caller_call_t *call = ctx;

	fleet_admission_submit(&call->submission);
}

static void start_cancel(void *ctx)
{
	caller_call_t *call = ctx;

	fleet_jobs_cancel(call->host->jobs, call->id, call->queue,
			  call->deadline, on_call_done, call);
}

static void start_refresh(void *ctx)
{
	caller_call_t *call = ctx;

	fleet_jobs_refresh(call->host->jobs, call->id, call->deadline,
			   on_call_done, call);
}

static void on_call_done(void *ctx, const GError *err)
{
	caller_call_t *call = ctx;

	pthread_mutex_lock(&call->lock);
	call->err = err ? g_error_copy(err) : NULL;
	call->done = true;
	pthread_cond_signal(&call->cond);
	pthread_mutex_unlock(&call->lock);
}

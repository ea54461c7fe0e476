/*
 * Start, signals and graceful shutdown of a process that runs the job service.
 */
#include "fleet_main.h"

#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>

#include "clock.h"
#include "core_admission.h"
#include "fleet_host.h"
#include "log.h"
#include "platform/platform.h"

/*
 * Time to go on listening in a drain: the load balancer drops a host after two
 * failed checks, a second apart.
 */
#define DRAIN_LISTEN_MS 2300
#define DRAIN_POLL_USEC (50 * GH_USEC_PER_MSEC)
/* Part of the grace period that is kept for the exit of the process. */
#define EXIT_RESERVE_MS 1200
/*
 * Writes to the store per second for each shard: the default number of shards
 * is store_writes_per_s divided by this, at least 1.  More shards with fewer
 * writes each leave jobs waiting in one shard while another has free capacity.
 */
#define STORE_WRITES_PER_SHARD 600
/* Doubles the interval of commits: they get half of the store's write rate. */
#define COMMIT_INTERVAL_FACTOR 2
/* One malloc arena is enough, as one thread does most of the work. */
#define MALLOC_ARENAS_MAX 1

typedef struct process {
	const char *path;
	fleet_settings_t *settings;
	loop_t *loop;
	fleet_front_t *host;
	platform_front_t *front;
	loop_timer_t timer;
	bool draining;
	/* The host accepts no new connections from callers. */
	bool listening_stopped;
	gh_time_t stop_listening_at;
	gh_time_t exit_at;
	pthread_t signal_thread;
	pthread_t closing_thread;
	bool closing_front;
	sigset_t signal_set;
} process_t;

static void *wait_for_signals(void *ctx);
static void on_term(void *ctx);
static void on_hup(void *ctx);
static void on_drain_timer(void *ctx, gh_time_t now);
static void *close_front(void *ctx);
static void on_front_closed(void *ctx);
static void flush_log(void *ctx);
static gh_fleet_setup_t fleet_setup(const fleet_settings_t *settings,
				    uint32_t shards);
static bool start(process_t *process, GError **err);

int fleet_main(const char *path, fleet_settings_t *settings)
{
	process_t process = { .path = path, .settings = settings };
	fleet_store_t *store;
	fleet_workers_t *workers;
	uint32_t shards = settings->shards;
	GError *err = NULL;
	bool ok;

	if (!shards)
		shards = MAX(settings->store_writes_per_s /
				     STORE_WRITES_PER_SHARD,
			     1);
	mallopt(M_ARENA_MAX, MALLOC_ARENAS_MAX);
	log_init(settings->name, settings->log_level);
	log_defer();
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&process.signal_set);
	sigaddset(&process.signal_set, SIGTERM);
	sigaddset(&process.signal_set, SIGINT);
	sigaddset(&process.signal_set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &process.signal_set, NULL);
	process.loop = loop_new();
	process.timer = (loop_timer_t){ .at = GH_TIME_NEVER,
					.run = on_drain_timer,
					.ctx = &process };
	loop_timer_add(process.loop, &process.timer);
	loop_after_iteration(process.loop, flush_log, NULL);
	store = platform_store_new(process.loop, settings->store);
	workers = platform_workers_new(process.loop);
	process.host = fleet_host_new(&(fleet_host_setup_t){
		.name = settings->name,
		.loop = process.loop,
		.store = store,
		.workers = workers,
		.shards = shards,
		.cores_milli = settings->cores_milli,
		.commit_interval_min = gh_time_from_ms(
			shards * 1000LL * COMMIT_INTERVAL_FACTOR /
			settings->store_writes_per_s),
		.fleet = fleet_setup(settings, shards),
		.refuse_beyond_milli = settings->refuse_beyond_milli,
		.jobs_memory_max = gh_admission_memory_max(settings->memory_mb),
		.ended_retention_ms = settings->ended_retention_s * 1000LL,
	});
	ok = start(&process, &err);
	if (ok) {
		log_event(LOG_INFO, "started", "domain", settings->domain,
			  "shards", log_num(shards), "memory_mb",
			  log_num(settings->memory_mb), "descriptors",
			  log_num(settings->descriptors), NULL);
		loop_run(process.loop);
	} else {
		log_event(LOG_ERROR, "start_failed", "message", err->message,
			  NULL);
		g_error_free(err);
	}
	if (process.closing_front)
		pthread_join(process.closing_thread, NULL);
	platform_front_free(process.front);
	platform_store_close(store);
	platform_workers_close(workers);
	fleet_host_free(process.host);
	platform_workers_free(workers);
	platform_store_free(store);
	log_event(LOG_INFO, "stopped", NULL);
	log_flush();
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

static gh_fleet_setup_t fleet_setup(const fleet_settings_t *settings,
				    uint32_t shards)
{
	return (gh_fleet_setup_t){
		.lease_ms = MIN(settings->lease_ms, settings->lease_max_ms),
		.lease_max_ms = settings->lease_max_ms,
		.stop_ms = settings->stop_ms,
		.empty_ms = settings->empty_domain_ms,
		.tasks_max = gh_fleet_tasks_max(settings->memory_mb, shards),
	};
}

static bool start(process_t *process, GError **err)
{
	const fleet_settings_t *settings = process->settings;
	platform_front_addresses_t addresses = { .callers = settings->callers,
						 .readiness =
							 settings->readiness,
						 .metrics = settings->metrics };

	gh_door_limits_t door =
		gh_door_limits_for(settings->memory_mb, settings->descriptors);

	door.transfer_time = gh_time_from_ms(settings->transfer_ms);
	process->front = platform_front_new(process->host, &door);
	if (!platform_front_start(process->front, &addresses, err))
		return false;
	return !pthread_create(&process->signal_thread, NULL, wait_for_signals,
			       process);
}

static void *wait_for_signals(void *ctx)
{
	process_t *process = ctx;
	int number;

	while (!sigwait(&process->signal_set, &number)) {
		if (number == SIGHUP)
			loop_post(process->loop, on_hup, process);
		else
			loop_post(process->loop, on_term, process);
	}
	return NULL;
}

static void on_term(void *ctx)
{
	process_t *process = ctx;
	gh_time_t now = clock_boot();

	if (process->draining)
		return;
	process->draining = true;
	log_event(LOG_INFO, "draining", NULL);
	fleet_host_drain(process->host);
	process->stop_listening_at = now + gh_time_from_ms(DRAIN_LISTEN_MS);
	process->exit_at = now + gh_time_from_ms(process->settings->grace_ms) -
			   gh_time_from_ms(EXIT_RESERVE_MS);
	process->timer.at = now + DRAIN_POLL_USEC;
}

/*
 * Keeps listening until the load balancer has dropped this host, then exits
 * once no request is open and no shard is owned, at the latest at exit_at.
 */
static void on_drain_timer(void *ctx, gh_time_t now)
{
	process_t *process = ctx;
	int in_flight = platform_front_in_flight(process->front);

	if (now >= process->stop_listening_at && !process->listening_stopped) {
		process->listening_stopped = true;
		platform_front_drain(process->front);
	}
	if (now >= process->exit_at ||
	    (process->listening_stopped && !in_flight &&
	     fleet_host_is_drained(process->host))) {
		log_event(LOG_INFO, "drained", "in_flight", log_num(in_flight),
			  NULL);
		fleet_host_close(process->host);
		if (pthread_create(&process->closing_thread, NULL, close_front,
				   process))
			loop_stop(process->loop);
		else
			process->closing_front = true;
		return;
	}
	process->timer.at = now + DRAIN_POLL_USEC;
}

/*
 * Closes the HTTP servers on a thread of its own, as their last requests need
 * the loop to finish.
 */
static void *close_front(void *ctx)
{
	process_t *process = ctx;

	platform_front_free(process->front);
	process->front = NULL;
	loop_post(process->loop, on_front_closed, process);
	return NULL;
}

static void on_front_closed(void *ctx)
{
	loop_stop(((process_t *)ctx)->loop);
}

/* Reloads the settings; only the log level takes effect. */
static void on_hup(void *ctx)
{
	process_t *process = ctx;
	GError *err = NULL;
	fleet_settings_t *settings = fleet_settings_load(process->path, &err);

	if (!settings) {
		log_event(LOG_ERROR, "reload_failed", "message", err->message,
			  NULL);
		g_error_free(err);
		return;
	}
	log_init(process->settings->name, settings->log_level);
	log_event(LOG_INFO, "reloaded", "path", process->path, NULL);
	g_free(settings);
}

static void flush_log(void *ctx)
{
	(void)ctx;
	log_flush();
}

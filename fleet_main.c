#include "fleet_main.h"

#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>

#include "clock.h"
#include "fleet_host.h"
#include "log.h"
#include "platform/platform.h"

#define LISTEN_MS 2300 /* the balancer needs two misses, a second apart */
#define DRAIN_POLL (50 * GH_USEC_PER_MSEC)
#define GRACE_SPARE_MS 1200 /* of the grace, for the end of the process */
#define ORPHAN_MS                                                  \
	11000 /* a former owner's last hold and the lease after it \
	       */
#define WRITES_PER_SHARD 600 /* with fewer, jobs wait beside room elsewhere */
#define COMMIT_PARTS 2	     /* of the store's writes, half are for commits */
#define ARENAS 1	     /* of malloc; one thread does most of the work */

typedef struct process {
	const char *path;
	fleet_settings_t *settings;
	loop_t *loop;
	fleet_front_t *host;
	platform_front_t *front;
	loop_timer_t timer;
	bool draining;
	bool quiet; /* the listening socket is closed */
	gh_time_t quiet_at;
	gh_time_t end_at;
	pthread_t signals;
	pthread_t ender;
	bool ending;
	sigset_t set;
} process_t;

static void *take_signals(void *ctx);
static void on_term(void *ctx);
static void on_hup(void *ctx);
static void on_time(void *ctx, gh_time_t now);
static void *end_front(void *ctx);
static void end_loop(void *ctx);
static void flush_log(void *ctx);
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
		shards =
			MAX(settings->store_writes_per_s / WRITES_PER_SHARD, 1);
	mallopt(M_ARENA_MAX, ARENAS);
	log_init(settings->name, settings->log_level);
	log_defer();
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&process.set);
	sigaddset(&process.set, SIGTERM);
	sigaddset(&process.set, SIGINT);
	sigaddset(&process.set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &process.set, NULL);
	process.loop = loop_new();
	process.timer = (loop_timer_t){ .at = GH_TIME_NEVER,
					.run = on_time,
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
		.commit_interval_min =
			gh_time_from_ms(shards * 1000LL * COMMIT_PARTS /
					settings->store_writes_per_s),
		.fleet = { .lease_ms = MIN(settings->lease_ms,
					   settings->lease_max_ms),
			   .orphan_ms = ORPHAN_MS,
			   .stop_ms = settings->stop_ms },
		.ended_retention_ms = settings->ended_retention_s * 1000LL,
	});
	ok = start(&process, &err);
	if (ok) {
		log_event(LOG_INFO, "started", "domain", settings->domain,
			  "shards", log_num(shards), NULL);
		loop_run(process.loop);
	} else {
		log_event(LOG_ERROR, "start_failed", "message", err->message,
			  NULL);
		g_error_free(err);
	}
	if (process.ending)
		pthread_join(process.ender, NULL);
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

static bool start(process_t *process, GError **err)
{
	const fleet_settings_t *set = process->settings;
	platform_front_addresses_t at = { .callers = set->callers,
					  .readiness = set->readiness,
					  .metrics = set->metrics };

	process->front = platform_front_new(process->host);
	if (!platform_front_start(process->front, &at, err))
		return false;
	return !pthread_create(&process->signals, NULL, take_signals, process);
}

static void *take_signals(void *ctx)
{
	process_t *process = ctx;
	int number;

	while (!sigwait(&process->set, &number)) {
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
	process->quiet_at = now + gh_time_from_ms(LISTEN_MS);
	process->end_at = now + gh_time_from_ms(process->settings->grace_ms) -
			  gh_time_from_ms(GRACE_SPARE_MS);
	process->timer.at = now + DRAIN_POLL;
}

/* Goes on listening until the balancer has noticed, then ends when idle. */
static void on_time(void *ctx, gh_time_t now)
{
	process_t *process = ctx;
	int in_flight = platform_front_in_flight(process->front);

	if (now >= process->quiet_at && !process->quiet) {
		process->quiet = true;
		platform_front_drain(process->front);
	}
	if (now >= process->end_at || (process->quiet && !in_flight &&
				       fleet_host_is_drained(process->host))) {
		log_event(LOG_INFO, "drained", "in_flight", log_num(in_flight),
			  NULL);
		fleet_host_close(process->host);
		if (pthread_create(&process->ender, NULL, end_front, process))
			loop_stop(process->loop);
		else
			process->ending = true;
		return;
	}
	process->timer.at = now + DRAIN_POLL;
}

/* Connections' threads need the loop until the last of them has ended. */
static void *end_front(void *ctx)
{
	process_t *process = ctx;

	platform_front_free(process->front);
	process->front = NULL;
	loop_post(process->loop, end_loop, process);
	return NULL;
}

static void end_loop(void *ctx)
{
	loop_stop(((process_t *)ctx)->loop);
}

/* Only the log level can change in a running process. */
static void on_hup(void *ctx)
{
	process_t *process = ctx;
	GError *err = NULL;
	fleet_settings_t *set = fleet_settings_load(process->path, &err);

	if (!set) {
		log_event(LOG_ERROR, "reload_failed", "message", err->message,
			  NULL);
		g_error_free(err);
		return;
	}
	log_init(process->settings->name, set->log_level);
	log_event(LOG_INFO, "reloaded", "path", process->path, NULL);
	g_free(set);
}

static void flush_log(void *ctx)
{
	(void)ctx;
	log_flush();
}

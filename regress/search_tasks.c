/*
 * Fault search over one shard: owners that crash, or go on while another has
 * taken over; workers that are unreachable, lose replies, get starts late,
 * report late, fail every task or leave; store outages; jobs, cancellations and
 * urgent jobs.
 */
#include <string.h>

#include "search.h"
#include "shard_sim.h"

#define RENEW_ALONE_MS 15000
#define STEP_MS 50
#define RUN_STEPS_MAX 24
/* Number of latest jobs, one of which an event may cancel. */
#define CANCEL_JOBS_MAX 40
#define TASK_RUN_MAX_MS 20000
#define WORKER(n)                                                           \
	"[worker w" n "]\ndomain=d\nrack=r" n "\naddress=127.0.1." n ":1\n" \
	"cores=4\nmemory_mb=4000\n"
#define DOCUMENT                                                        \
	"[policy]\nattempts_max=3\nbackoff_ms=100\neject_ms=2000\n"     \
	"task_lease_ms=6500\nrenew_alone_ms=15000\n"                    \
	"evictions_per_minute=600\n"                                    \
	"[department a]\nguarantee_percent=50\nlimit_percent=100\n"     \
	"jobs_max=1000\n"                                               \
	"[department b]\nguarantee_percent=30\nlimit_percent=80\n"      \
	"jobs_max=1000\n[domain d]\nregion=r\n" WORKER("1") WORKER("2") \
		WORKER("3") WORKER("4") WORKER("5")

typedef struct tasks_model {
	sim_t *sim;
	uint32_t jobs;
	/* Epoch of an owner that was replaced and has not noticed it yet. */
	uint64_t replaced_epoch;
	uint32_t replaced_renews; /* bit set of the workers on which the
				     replaced owner renews leases */
} tasks_model_t;

typedef void (*event_fn)(tasks_model_t *m, uint32_t a, uint32_t b);

static void on_run(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_submit(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_cancel(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_die(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_replace(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_old_renews(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_mode(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_heal(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_deliver(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_restart(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_store(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_leave(tasks_model_t *m, uint32_t a, uint32_t b);
static void on_late(tasks_model_t *m, uint32_t a, uint32_t b);
static void renew_as_replaced_owner(tasks_model_t *m, sim_worker_t *w);
static void *create(void);
static void destroy(void *model);
static const char *step(void *model, const search_event_t *event);
static sim_worker_t *pick_worker(tasks_model_t *m, uint32_t a);
static void schedule_crash(tasks_model_t *m, uint32_t steps, bool after_effect);

static const search_event_kind_t kinds[] = {
	{ "run", 30 },	  { "submit", 14 },    { "cancel", 2 }, { "die", 5 },
	{ "replace", 4 }, { "old-renews", 6 }, { "mode", 8 },	{ "heal", 8 },
	{ "deliver", 5 }, { "restart", 1 },    { "store", 4 },	{ "leave", 8 },
	{ "late", 6 },
};

static const event_fn events[G_N_ELEMENTS(kinds)] = {
	on_run,	       on_submit, on_cancel, on_die,	 on_replace,
	on_old_renews, on_mode,	  on_heal,   on_deliver, on_restart,
	on_store,      on_leave,  on_late,
};

const search_model_t search_tasks = {
	.name = "tasks",
	.kinds = kinds,
	.n_kinds = G_N_ELEMENTS(kinds),
	.create = create,
	.destroy = destroy,
	.step = step,
};

static void *create(void)
{
	tasks_model_t *m = g_new0(tasks_model_t, 1);

	m->sim = sim_new(DOCUMENT);
	m->sim->orphans_wait_ms =
		RENEW_ALONE_MS + m->sim->doc->policy.task_lease_ms;
	return m;
}

static void destroy(void *model)
{
	tasks_model_t *m = model;

	sim_free(m->sim);
	g_free(m);
}

static const char *step(void *model, const search_event_t *event)
{
	tasks_model_t *m = model;
	size_t i;

	for (i = 0; i < m->sim->n_workers; i++)
		if (m->replaced_renews >> i & 1)
			renew_as_replaced_owner(m, &m->sim->workers[i]);
	/* After a crash a new owner takes over before the next event. */
	if (!m->sim->shard)
		sim_run(m->sim, STEP_MS);
	if (m->sim->shard)
		events[event->kind](m, event->a, event->b);
	return sim_violation(m->sim);
}

static void on_run(tasks_model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	sim_run(m->sim, (int64_t)(a % RUN_STEPS_MAX + 1) * STEP_MS);
}

static void on_submit(tasks_model_t *m, uint32_t a, uint32_t b)
{
	gh_job_spec_t spec = {
		.kind = "k",
		.class = a & 1 ? GH_CLASS_BATCH : GH_CLASS_LATENCY,
		.urgent = a % 5 == 0,
		.tasks = a / 8 % 6 + 1,
		.cores_milli = (b % 4 + 1) * 1000,
		.memory_mb = 100 + b / 4 % 2000,
		.run_ms = (int64_t)(a * 37 + b * 101) % TASK_RUN_MAX_MS + 1,
	};
	uint64_t commit;

	g_strlcpy(spec.department, a & 2 ? "a" : "b", sizeof(spec.department));
	g_snprintf(spec.name, sizeof(spec.name), "j%u", m->jobs++);
	gh_shard_submit(m->sim->shard, &spec, &commit, NULL);
	sim_run(m->sim, STEP_MS);
}

static void on_cancel(tasks_model_t *m, uint32_t a, uint32_t b)
{
	char name[16];
	uint64_t commit;

	(void)b;
	if (!m->jobs)
		return;
	g_snprintf(name, sizeof(name), "j%u",
		   m->jobs - 1 - a % MIN(m->jobs, CANCEL_JOBS_MAX));
	gh_shard_cancel(m->sim->shard, name, &commit, NULL);
}

/* The owner crashes at one of its next steps, before or after that step's
 * effect. */
static void on_die(tasks_model_t *m, uint32_t a, uint32_t b)
{
	schedule_crash(m, a % 12 + 1, b & 1);
}

/*
 * The owner is replaced but goes on renewing leases on workers that do not
 * fence it.  In half of the cases a worker that the old owner still reaches is
 * unreachable for the new one.
 */
static void on_replace(tasks_model_t *m, uint32_t a, uint32_t b)
{
	m->replaced_epoch = m->sim->epoch;
	m->replaced_renews = 0;
	if (b & 2) {
		pick_worker(m, a)->mode = SIM_UNREACHABLE;
		on_old_renews(m, a, 0);
		sim_crash(m->sim);
		return;
	}
	schedule_crash(m, a % 12 + 1, b & 1);
}

static void on_old_renews(tasks_model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	m->replaced_renews |= 1u << a % m->sim->n_workers;
}

/*
 * The replaced owner renews the leases on a worker that has not seen a higher
 * epoch, for at most RENEW_ALONE_MS after the new owner took over.
 */
static void renew_as_replaced_owner(tasks_model_t *m, sim_worker_t *w)
{
	int64_t now = m->sim->now.wall_ms;
	guint i;

	if (m->sim->epoch <= m->replaced_epoch ||
	    w->epoch > m->replaced_epoch ||
	    now >= m->sim->epoch_began_ms + RENEW_ALONE_MS)
		return;
	for (i = 0; i < w->runs->len; i++) {
		sim_run_t *run = &g_array_index(w->runs, sim_run_t, i);

		if (run->state == GH_REPORT_RUNNING && run->lease_ms > now)
			run->lease_ms = now + m->sim->doc->policy.task_lease_ms;
	}
}

static void on_mode(tasks_model_t *m, uint32_t a, uint32_t b)
{
	pick_worker(m, a)->mode = (sim_worker_mode_t)(b % SIM_MODE_COUNT);
}

static void on_heal(tasks_model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	pick_worker(m, a)->mode = SIM_UP;
}

static void on_deliver(tasks_model_t *m, uint32_t a, uint32_t b)
{
	(void)a;
	(void)b;
	sim_deliver_starts(m->sim);
}

/* A worker restarts and loses its running tasks, its bars and its epoch. */
static void on_restart(tasks_model_t *m, uint32_t a, uint32_t b)
{
	sim_worker_t *w = pick_worker(m, a);
	guint i;

	(void)b;
	g_hash_table_remove_all(w->barred);
	w->epoch = 0;
	for (i = 0; i < w->runs->len; i++) {
		sim_run_t *run = &g_array_index(w->runs, sim_run_t, i);

		if (run->state != GH_REPORT_RUNNING)
			continue;
		run->state = GH_REPORT_EXPIRED;
		run->forgotten = true;
	}
}

static void on_store(tasks_model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	m->sim->store_down = a % 3 == 0;
}

static void on_leave(tasks_model_t *m, uint32_t a, uint32_t b)
{
	m->sim->doc->workers[a % m->sim->n_workers].state =
		b & 1 ? GH_HOST_LEAVING : GH_HOST_ACTIVE;
	gh_shard_configure(m->sim->shard, m->sim->doc, &m->sim->now);
}

static void on_late(tasks_model_t *m, uint32_t a, uint32_t b)
{
	sim_worker_t *w = pick_worker(m, a);

	w->reports_late = b & 1;
	w->reports_fail = b & 2;
}

static sim_worker_t *pick_worker(tasks_model_t *m, uint32_t a)
{
	return &m->sim->workers[a % m->sim->n_workers];
}

static void schedule_crash(tasks_model_t *m, uint32_t steps, bool after_effect)
{
	m->sim->steps = 0;
	m->sim->crash_at_step = steps;
	m->sim->crash_after = after_effect;
}

/*
 * Which task starts next, and where.
 *
 * Load answered: bursts and waves that ask for more than the workers have
 * room for.  Jobs that can still meet their objective go by priority and
 * then by the time they have left beyond their remaining chain; jobs past
 * their objective go after them; jobs so late that nobody gains from them
 * go last.  A stage takes what room there is; what does not fit waits
 * without holding room back, so that smaller tasks behind it get on.
 */
#include "core_fleet_state.h"

#include <string.h>

#define LATE_FACTOR 3  /* beyond so many objectives a job is of no more use */
#define WORK_PARTS 20  /* of its remaining work, a job yields to others */
#define RANK_LATE 1000 /* above every priority */
#define RANK_USELESS 2000
#define STUCK_START (GH_USEC_PER_SEC) /* start unanswered, worker unheard */
#define GANG_RETRY (100 * GH_USEC_PER_MSEC) /* until a gang is tried again */
#define COPY_PERIOD (100 * GH_USEC_PER_MSEC)
#define FADE_PERIOD GH_USEC_PER_SEC
#define COPY_FACTOR 2.0 /* times the usual run, before a copy starts */
#define COPY_LEAST_MS 500.0
/* Placement costs, in milli-cores left over that they weigh as much as. */
#define COST_AVOID 5000000
#define COST_FAR 1000000      /* another rack than that of the data */
#define COST_SHARE 2000	      /* lasting beside filling, for each of these */
#define COST_FIRST 10000      /* first lasting task on a worker */
#define COST_MIXED 30000      /* lasting beside those of another image ... */
#define COST_MIXED_MORE 15000 /* ... of several images already */
#define COST_UNMIXED 10000    /* fixed size beside lasting ones of one image */
#define COST_LASTING_FIT 10   /* part of the cost of room left over */
#define COST_FILL 100000      /* all of the press that a worker bears */
#define IDLE_MOST (1500 * GH_USEC_PER_MSEC) /* while there is some room */
#define FILL_MOST 1.0			    /* of that; more waits for an end */
#define SLOWED_MOST (700 * GH_USEC_PER_MSEC) /* then a task is moved */
#define COST_SLOW 100000 /* for each time that a worker is slower */

typedef struct candidate {
	uint32_t job, stage;
	uint32_t rank;
	int64_t slack_ms; /* objective less remaining chain less now */
} candidate_t;

static void lapse_leases(gh_fleet_t *fleet, gh_time_t now);
static void retry_orders(gh_fleet_t *fleet, gh_time_t now);
static void vacate(gh_fleet_t *fleet, gh_time_t now);
static void collect(gh_fleet_t *fleet, GArray *found, gh_time_t now,
		    int64_t wall_ms);
static bool stage_ready(const fleet_job_t *job, uint32_t stage,
			int64_t wall_ms);
static void rate(const gh_fleet_t *fleet, const fleet_job_t *job,
		 candidate_t *c, int64_t wall_ms);
static int64_t remaining_ms(const fleet_job_t *job);
static int by_rank(gconstpointer a, gconstpointer b);
static void place_stage(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now);
static void place_gang(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now);
static uint32_t choose(gh_fleet_t *fleet, fleet_job_t *job, uint32_t task,
		       uint32_t not_worker, gh_time_t now);
static bool fits(const fleet_worker_t *worker, const gh_step_t *step);
static int64_t cost(const gh_fleet_t *fleet, const fleet_worker_t *worker,
		    const gh_step_t *step, const char *rack, uint16_t image);
static int64_t mixing_cost(const gh_fleet_t *fleet,
			   const fleet_worker_t *worker, const gh_step_t *step,
			   uint16_t image);
static uint32_t on_worker(const gh_fleet_t *fleet, const fleet_job_t *job,
			  uint32_t stage, uint32_t worker);
static const char *stage_rack(const gh_fleet_t *fleet, const fleet_job_t *job,
			      uint32_t stage);
static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now);
static void move_slowed(gh_fleet_t *fleet, gh_time_t now);

void gh_fleet_tick(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	guint i;

	lapse_leases(fleet, now);
	retry_orders(fleet, now);
	vacate(fleet, now);
	fleet_health_watch(fleet, now);
	if (now - fleet->faded >= FADE_PERIOD) {
		gh_interference_decay(fleet->press,
				      (double)(now - fleet->faded) /
					      GH_USEC_PER_SEC);
		fleet->faded = now;
	}
	collect(fleet, found, now, wall_ms);
	g_array_sort(found, by_rank);
	fleet->counts.pending_tasks = 0;
	for (i = 0; i < found->len; i++) {
		const candidate_t *c = &g_array_index(found, candidate_t, i);
		const fleet_job_t *job = fleet_job(fleet, c->job);

		if (job->spec->steps[c->stage % job->spec->n_steps].gang)
			place_gang(fleet, c, now);
		else
			place_stage(fleet, c, now);
	}
	g_array_free(found, TRUE);
	if (now - fleet->copied >= COPY_PERIOD) {
		fleet->copied = now;
		copy_stragglers(fleet, now);
		move_slowed(fleet, now);
	}
}

/* Nothing can run on a worker whose lease has surely ended. */
static void lapse_leases(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);

		if (!worker->used || !worker->n_runs ||
		    now <= worker->lease_until)
			continue;
		fleet_worker_lost(fleet, i, "its lease ran out", now);
		fleet_worker_drop_if_over(fleet, i);
	}
}

static void retry_orders(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->runs->len; i++) {
		fleet_run_t *run = fleet_run(fleet, i);
		const fleet_worker_t *worker;

		if ((run->state != RUN_STARTING &&
		     run->state != RUN_STOPPING) ||
		    run->answered || now < run->retry_at)
			continue;
		worker = fleet_worker(fleet, run->worker);
		if (run->state == RUN_STOPPING)
			fleet_order(fleet, GH_ORDER_STOP, i);
		else if (worker->entry.draining || !worker->listed ||
			 (worker->unheard &&
			  now - worker->unheard > STUCK_START))
			fleet_run_stop(fleet, i, "its start is unanswered",
				       now);
		else
			fleet_order(fleet, GH_ORDER_START, i);
	}
}

/* Lasting tasks leave a worker that drains; the others may still end. */
static void vacate(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);
		uint32_t ref;

		if (!worker->used || !worker->entry.draining ||
		    !worker->lasting)
			continue;
		for (ref = worker->runs; ref != GH_NONE;
		     ref = fleet_run(fleet, ref)->next) {
			const fleet_run_t *run = fleet_run(fleet, ref);

			if (run->state == RUN_RUNNING &&
			    fleet_step_of(fleet_job(fleet, run->job), run->task)
				    ->long_running)
				fleet_run_stop(fleet, ref, "its worker drains",
					       now);
		}
	}
}

static void collect(gh_fleet_t *fleet, GArray *found, gh_time_t now,
		    int64_t wall_ms)
{
	uint32_t i, s;

	for (i = 0; i < fleet->jobs->len; i++) {
		fleet_job_t *job = fleet_job(fleet, i);
		bool rated = false;
		candidate_t c = { .job = i };

		if (!job->spec || job->phase > GH_JOB_RUNNING)
			continue;
		if (!job->idle_since)
			job->idle_since = now;
		for (s = 0; s < job->n_stages; s++) {
			const fleet_stage_t *stage = &job->stages[s];
			uint32_t tasks =
				job->spec->steps[s % job->spec->n_steps].tasks;

			if (stage->done + stage->open >= tasks ||
			    !stage_ready(job, s, wall_ms))
				continue;
			if (!rated)
				rate(fleet, job, &c, wall_ms);
			rated = true;
			c.stage = s;
			g_array_append_val(found, c);
		}
	}
}

static bool stage_ready(const fleet_job_t *job, uint32_t stage, int64_t wall_ms)
{
	uint32_t n = job->spec->n_steps;
	uint32_t k = stage / n;
	const gh_step_t *step = &job->spec->steps[stage % n];
	uint32_t i;

	if (job->spec->occurrences &&
	    wall_ms < job->spec->first_due_ms +
			      (int64_t)k * job->spec->interval_ms)
		return false;
	for (i = 0; i < n; i++)
		if (step->depends_on & 1u << i &&
		    job->stages[k * n + i].done < job->spec->steps[i].tasks)
			return false;
	return true;
}

static void rate(const gh_fleet_t *fleet, const fleet_job_t *job,
		 candidate_t *c, int64_t wall_ms)
{
	const gh_queue_policy_t *policy = fleet_policy(fleet, job);
	const gh_pipeline_t *spec = job->spec;
	int64_t objective = gh_pipeline_critical_path_ms(spec, UINT32_MAX) *
				    policy->stretch_milli / 1000 +
			    policy->target_ms;
	int64_t age = wall_ms - MAX(spec->accepted_ms, spec->first_due_ms);
	uint32_t open = 0;
	uint32_t i;

	for (i = 0; i < spec->n_steps; i++)
		if (job->stages[i].done < spec->steps[i].tasks)
			open |= 1u << i;
	c->slack_ms = objective - age -
		      gh_pipeline_critical_path_ms(spec, open) +
		      remaining_ms(job) / WORK_PARTS;
	c->rank = policy->priority;
	if (gh_pipeline_is_long_running(spec))
		c->slack_ms = objective - age;
	else if (age > LATE_FACTOR * objective)
		c->rank += RANK_USELESS;
	else if (age > objective)
		c->rank += RANK_LATE;
}

/* Estimated work of the tasks that are not done, in core-ms. */
static int64_t remaining_ms(const fleet_job_t *job)
{
	int64_t sum = 0;
	uint32_t s;

	for (s = 0; s < job->n_stages; s++) {
		const gh_step_t *step =
			&job->spec->steps[s % job->spec->n_steps];

		sum += (int64_t)(step->tasks - job->stages[s].done) *
		       step->estimate_ms * step->size.cores_milli / 1000;
	}
	return sum;
}

static int by_rank(gconstpointer a, gconstpointer b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
	return x->job != y->job ? (x->job < y->job ? -1 : 1) :
				  (x->stage < y->stage ? -1 : 1);
}

static void place_stage(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, c->job);
	const gh_step_t *step =
		&job->spec->steps[c->stage % job->spec->n_steps];
	uint32_t first = job->stages[c->stage].first;
	uint32_t i;

	for (i = first; i < first + step->tasks; i++) {
		const fleet_task_t *task = &job->tasks[i];
		uint32_t worker;

		if (task->done || task->runs[0] != GH_NONE ||
		    now < task->not_before)
			continue;
		worker = choose(fleet, job, i, GH_NONE, now);
		if (worker == GH_NONE) {
			fleet->counts.pending_tasks += first + step->tasks - i;
			return;
		}
		fleet_run_open(fleet, c->job, i, worker, task->last_run + 1,
			       RUN_PLANNED, now);
	}
}

static void place_gang(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, c->job);
	const gh_step_t *step =
		&job->spec->steps[c->stage % job->spec->n_steps];
	fleet_stage_t *stage = &job->stages[c->stage];
	const char *saved = NULL;
	uint32_t number = 0;
	uint32_t i;

	if (stage->open || now < job->tasks[stage->first].not_before)
		return;
	for (i = stage->first; i < stage->first + step->tasks; i++) {
		number = MAX(number, job->tasks[i].last_run + 1);
		if (job->tasks[i].saved)
			saved = job->tasks[i].saved;
	}
	for (i = stage->first; i < stage->first + step->tasks; i++) {
		uint32_t worker = choose(fleet, job, i, GH_NONE, now);

		if (worker == GH_NONE)
			break;
		if (saved && saved != job->tasks[i].saved) {
			g_free(job->tasks[i].saved);
			job->tasks[i].saved = g_strdup(saved);
		}
		fleet_run_open(fleet, c->job, i, worker, number, RUN_PLANNED,
			       now);
	}
	if (i == stage->first + step->tasks)
		return;
	fleet->counts.pending_tasks += step->tasks;
	job->tasks[stage->first].not_before = now + GANG_RETRY;
	if (job->tasks[stage->first].runs[0] != GH_NONE)
		fleet_run_end(fleet, job->tasks[stage->first].runs[0],
			      GH_RUN_NOT_STARTED, NULL, now);
}

/* The cheapest worker that may take the task, or GH_NONE. */
static uint32_t choose(gh_fleet_t *fleet, fleet_job_t *job, uint32_t task,
		       uint32_t not_worker, gh_time_t now)
{
	uint32_t stage = fleet_stage_index(job, task);
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	const char *rack =
		step->one_rack ? stage_rack(fleet, job, stage) : step->rack;
	uint16_t image = job->images[stage % job->spec->n_steps];
	/* A job of which nothing runs gets on, however slowly. */
	bool overdue = !job->open_runs && now - job->idle_since > IDLE_MOST;
	uint32_t best = GH_NONE;
	int64_t best_cost = INT64_MAX;
	uint32_t i, j;

	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);
		uint32_t here = 0;
		int64_t c;

		if (i == not_worker || !worker->used || !worker->listed ||
		    !worker->known || worker->entry.draining ||
		    worker->unheard || now < worker->full_until ||
		    !fits(worker, step) || !fleet_health_usable(worker, now) ||
		    strcmp(worker->entry.service, job->spec->service) != 0)
			continue;
		for (j = 0; *step->label && j < worker->entry.n_labels; j++)
			if (!strcmp(worker->entry.labels[j], step->label))
				break;
		if (*step->label && j == worker->entry.n_labels)
			continue;
		if (step->max_per_worker)
			here = on_worker(fleet, job, stage, i);
		if (step->max_per_worker && here >= step->max_per_worker)
			continue;
		c = cost(fleet, worker, step, rack, image);
		if (step->best_effort) {
			double weight;
			double share = fleet_fill_share(fleet, worker, step,
							image, now, &weight);

			if (share > FILL_MOST && !overdue)
				continue;
			c += (int64_t)((share + weight) * COST_FILL);
		}
		if (i == job->tasks[task].avoid)
			c += COST_AVOID;
		if (c < best_cost) {
			best_cost = c;
			best = i;
		}
	}
	return best;
}

static bool fits(const fleet_worker_t *worker, const gh_step_t *step)
{
	const gh_resources_t *size = &worker->entry.size;
	const gh_resources_t *held = &worker->held;

	return held->memory_mb + step->size.memory_mb <= size->memory_mb &&
	       held->accelerators + step->size.accelerators <=
		       size->accelerators &&
	       (step->best_effort ||
		held->cores_milli + step->size.cores_milli <=
			size->cores_milli);
}

/*
 * Fixed sizes go where they leave least over, so that wide room stays whole.
 * Lasting tasks gather on few workers, so that the others are free for what
 * fills; that goes where it asks for the least share of what is borne.
 */
static int64_t cost(const gh_fleet_t *fleet, const fleet_worker_t *worker,
		    const gh_step_t *step, const char *rack, uint16_t image)
{
	int64_t c = 0;

	if (!step->best_effort)
		c = (int64_t)worker->entry.size.cores_milli -
		    worker->held.cores_milli - step->size.cores_milli;
	if (step->long_running)
		c = c / COST_LASTING_FIT + COST_SHARE * worker->fills;
	if (!step->best_effort)
		c += mixing_cost(fleet, worker, step, image);
	if (rack && *rack && strcmp(rack, worker->rack) != 0)
		c += COST_FAR;
	c += (int64_t)((worker->slowness - 1) * COST_SLOW);
	return c;
}

/*
 * What fills gets on badly with some images and well with others.  Lasting
 * tasks of one image gather, and what must mix does so on few workers, so
 * that most workers bear something.  Tasks of fixed size go to the mixed ones.
 */
static int64_t mixing_cost(const gh_fleet_t *fleet,
			   const fleet_worker_t *worker, const gh_step_t *step,
			   uint16_t image)
{
	int32_t first = -1;
	bool mixed = false;
	uint32_t ref;

	for (ref = worker->runs; ref != GH_NONE && !mixed;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		uint16_t other = fleet_image_of(fleet, run);

		if (!fleet_step_of(fleet_job(fleet, run->job), run->task)
			     ->long_running)
			continue;
		mixed = first >= 0 && first != other;
		first = other;
	}
	if (!step->long_running)
		return mixed ? 0 : COST_UNMIXED;
	if (first < 0)
		return COST_FIRST;
	if (mixed)
		return COST_MIXED_MORE;
	return first == image ? 0 : COST_MIXED;
}

static uint32_t on_worker(const gh_fleet_t *fleet, const fleet_job_t *job,
			  uint32_t stage, uint32_t worker)
{
	uint32_t first = job->stages[stage].first;
	uint32_t n = 0;
	uint32_t ref;

	for (ref = fleet_worker(fleet, worker)->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (fleet_job(fleet, run->job) == job && run->task >= first &&
		    run->task <
			    first + job->spec->steps[stage % job->spec->n_steps]
					    .tasks)
			n++;
	}
	return n;
}

/* Rack where a task of the stage runs or ran, or NULL. */
static const char *stage_rack(const gh_fleet_t *fleet, const fleet_job_t *job,
			      uint32_t stage)
{
	uint32_t first = job->stages[stage].first;
	uint32_t i;

	for (i = first;
	     i < first + job->spec->steps[stage % job->spec->n_steps].tasks;
	     i++)
		if (job->tasks[i].runs[0] != GH_NONE)
			return fleet_worker(
				       fleet,
				       fleet_run(fleet, job->tasks[i].runs[0])
					       ->worker)
				->rack;
	return job->spec->steps[stage % job->spec->n_steps].rack;
}

/*
 * Starts a second run of a task that takes far longer than its like, or
 * whose worker is not heard, where the step allows copies.
 */
static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n = fleet->runs->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		fleet_job_t *job;
		const fleet_stage_t *stage;
		double usual;
		uint32_t worker, task;
		bool slow;

		if (run->state != RUN_RUNNING && run->state != RUN_STARTING &&
		    run->state != RUN_ORPHAN)
			continue;
		job = fleet_job(fleet, run->job);
		if (!fleet_step_of(job, run->task)->speculative ||
		    job->phase > GH_JOB_RUNNING || job->tasks[run->task].done ||
		    job->tasks[run->task].runs[1] != GH_NONE)
			continue;
		stage = fleet_stage_of(job, run->task);
		usual = stage->n_mean ? stage->mean_ms :
					(double)fleet_step_of(job, run->task)
						->estimate_ms;
		slow = run->began &&
		       (double)gh_time_to_ms(now - run->began) >
			       MAX(usual * COPY_FACTOR, COPY_LEAST_MS);
		if (!slow && !fleet_worker(fleet, run->worker)->unheard)
			continue;
		task = run->task;
		worker = choose(fleet, job, task, run->worker, now);
		if (worker == GH_NONE)
			continue;
		fleet_run_open(fleet, run->job, task, worker,
			       job->tasks[task].last_run + 1, RUN_PLANNED, now);
		fleet->counts.copies++;
	}
}

/*
 * Stops filling tasks that have gone slowly for some time where another
 * worker would bear them; what they have done is saved with the stop.
 */
static void move_slowed(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n = fleet->runs->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		fleet_job_t *job;

		if (run->state != RUN_RUNNING || !run->slowed ||
		    now - run->slowed < SLOWED_MOST)
			continue;
		job = fleet_job(fleet, run->job);
		if (!fleet_step_of(job, run->task)->checkpoints ||
		    choose(fleet, job, run->task, run->worker, now) == GH_NONE)
			continue;
		job->tasks[run->task].avoid = run->worker;
		fleet->counts.moved++;
		fleet_run_stop(fleet, i, "its pace is low, others have room",
			       now);
	}
}

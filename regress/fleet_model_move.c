/*
 * Moves of tasks between the shards of the fleet model: the records that a move
 * writes, what hosts hear of them and of jobs' states, and the loads that
 * owners tell each other.
 */
#include <string.h>

#include "core_move.h"
#include "error.h"
#include "fleet_model_private.h"

#define LOAD_PERIOD_MS 100
#define LOAD_LAG_MS 500
#define LOAD_LOST_PERCENT 10
/* Pause of the directory of jobs at a host that owns a shard, and at others. */
#define OWNER_PAUSE_MS 200
#define PAUSE_MS 1000
#define SLOW_PERCENT 10
#define SLOW_MS 800
#define LAG_MS 30
/*
 * A message is passed again, half of the times even after the host's own
 * deletion, if the host still knows the job.
 */
#define AGAIN_PERCENT 20
#define AGAIN_MS 12000
#define AGAIN_STALE_PERCENT 50
/* A step of a move is disrupted. */
#define STEP_PERCENT 15
/* The owner of the other shard is disrupted next. */
#define BOTH_PERCENT 30
#define BOTH_MS 1500
/* Messages that a commit writes or deletes at most. */
#define MOVES_MAX 16

typedef struct state_notice {
	host_t *host;
	uint32_t boot;
	model_job_t *job;
	model_state_t state;
} state_notice_t;

typedef struct message_notice {
	host_t *host;
	uint32_t boot;
	uint64_t generation;
	model_job_t *job;
	uint32_t task;
	model_message_t message;
	bool is_stale;
} message_notice_t;

typedef struct load_notice {
	host_t *host;
	uint32_t boot;
	uint32_t shard;
	gh_time_t sent_at;
	bool known;
	gh_shard_load_t load;
} load_notice_t;

typedef struct owner_event {
	uint32_t shard;
	model_disruption_t kind;
} owner_event_t;

static void share_loads(model_t *m, void *data);
static void on_load(model_t *m, void *data);
static void on_state(model_t *m, void *data);
static void on_message(model_t *m, void *data);
static void hear_state(host_t *h, model_job_t *job, const model_state_t *state);
static void post_message(model_t *m, host_t *h, model_job_t *job,
			 uint32_t task);
static void arrive(host_t *h, model_job_t *job, const char *text);
static void add_guest(host_t *h, model_job_t *job, gh_pipeline_t *pipeline,
		      const char *progress);
static uint32_t count_moves(const store_call_t *batch);
static void disrupt_owner(model_t *m, void *data);
static bool is_over(const model_state_t *state);
static gh_time_t silent_until(const host_t *h);
static bool is_in_progress(const char *progress, uint32_t task,
			   const char *word);

void model_move_start(model_t *m)
{
	uint32_t i;

	m->n_shards = MAX(1, m->options->shards);
	m->n_hosts = MODEL_HOSTS * m->n_shards;
	m->skew_percent = 50;
	for (i = 0; i < m->n_shards; i++)
		m->store.chains[i].owner = MODEL_NONE;
	if (m->n_shards > 1)
		model_post(m, m->now, share_loads, NULL);
}

void model_move_add_job(model_t *m, model_job_t *job)
{
	uint32_t i;

	for (i = 0; i < MODEL_SHARDS_MAX; i++)
		job->parts[i].messages = g_new0(model_message_t, job->n_tasks);
	if (m->n_shards > 1)
		job->home = !model_chance(m, m->skew_percent);
	job->submitted_revision = ++m->store.revision;
	model_move_set_state(m, job, GH_JOB_QUEUED, m->store.revision);
}

/* Loads of the shards. */

static void share_loads(model_t *m, void *data)
{
	uint32_t s, i;

	(void)data;
	model_post(m, m->now + gh_time_from_ms(LOAD_PERIOD_MS), share_loads,
		   NULL);
	for (s = 0; s < m->n_shards; s++) {
		const host_t *owner = model_owner(m, s);

		if (model_chance(m, LOAD_LOST_PERCENT))
			continue;
		for (i = 0; i < m->n_hosts; i++) {
			load_notice_t *notice;

			if (m->hosts[i].shard == s)
				continue;
			notice = model_alloc(m, sizeof(*notice));
			notice->host = &m->hosts[i];
			notice->boot = m->hosts[i].boot;
			notice->shard = s;
			notice->sent_at = m->now;
			notice->known = owner;
			if (owner)
				gh_fleet_load(owner->fleet, &notice->load,
					      m->now);
			model_post(m,
				   m->now + model_random_ms(m, 0, LOAD_LAG_MS),
				   on_load, notice);
		}
	}
}

static void on_load(model_t *m, void *data)
{
	const load_notice_t *notice = data;
	host_t *h = notice->host;

	if (h->boot != notice->boot || !h->up || m->now < silent_until(h) ||
	    m->now < h->frozen_until || !h->fleet || h->phase < HOST_OWNING ||
	    notice->sent_at < h->load_heard_at)
		return;
	h->load_heard_at = notice->sent_at;
	gh_fleet_peer_set(h->fleet, notice->shard,
			  notice->known ? &notice->load : NULL, m->now);
}

static gh_time_t silent_until(const host_t *h)
{
	return MAX(h->store_cut_until, h->m->store.down_until);
}

/* States of jobs, which every host hears of. */

void model_move_set_state(model_t *m, model_job_t *job, gh_job_phase_t phase,
			  uint64_t revision)
{
	uint32_t i;

	job->state = (model_state_t){ .revision = revision, .phase = phase };
	if (m->n_shards == 1)
		return;
	if (is_over(&job->state))
		job->over_at = m->now;
	for (i = 0; i < m->n_hosts; i++) {
		const host_t *h = &m->hosts[i];
		state_notice_t *notice = model_alloc(m, sizeof(*notice));
		int64_t lag_ms =
			h->phase >= HOST_LOADING ? OWNER_PAUSE_MS : PAUSE_MS;

		*notice = (state_notice_t){ .host = &m->hosts[i],
					    .boot = h->boot,
					    .job = job,
					    .state = job->state };
		if (model_chance(m, SLOW_PERCENT))
			lag_ms += SLOW_MS;
		model_post(m, m->now + model_random_ms(m, 1, lag_ms), on_state,
			   notice);
	}
}

static bool is_over(const model_state_t *state)
{
	return state->phase > GH_JOB_RUNNING;
}

static void on_state(model_t *m, void *data)
{
	state_notice_t *notice = data;
	host_t *h = notice->host;

	if (h->boot != notice->boot || !h->up)
		return;
	if (m->now < silent_until(h)) {
		model_post(m, silent_until(h) + model_random_ms(m, 1, 300),
			   on_state, notice);
		return;
	}
	if (!host_is_ready(m, h, notice->boot, on_state, notice))
		return;
	hear_state(h, notice->job, &notice->state);
	host_post_advance(h);
}

/* The host's directory learns a job's state. */
static void hear_state(host_t *h, model_job_t *job, const model_state_t *state)
{
	model_state_t *heard = &job->heard[h->index];

	if (state->revision <= heard->revision)
		return;
	*heard = *state;
	if (!h->fleet || h->phase < HOST_OWNING)
		return;
	if (state->phase == GH_JOB_CANCELLED ||
	    (is_over(state) && job->home != h->shard))
		gh_fleet_job_cancel(h->fleet, job->pipeline->id, h->m->now);
}

void model_move_boot(host_t *h)
{
	guint i;

	h->load_heard_at = 0;
	for (i = 0; i < h->m->jobs->len; i++) {
		model_job_t *job = h->m->jobs->pdata[i];

		job->heard[h->index] = job->state;
	}
}

/* A record of a job tells the state with which it was submitted. */
void model_move_presume(host_t *h, model_job_t *job)
{
	const model_state_t state = { .revision = job->submitted_revision,
				      .phase = GH_JOB_QUEUED };

	hear_state(h, job, &state);
}

/* Messages. */

static void post_message(model_t *m, host_t *h, model_job_t *job, uint32_t task)
{
	message_notice_t *notice = model_alloc(m, sizeof(*notice));
	int64_t lag_ms = model_chance(m, SLOW_PERCENT) ? SLOW_MS : LAG_MS;

	*notice = (message_notice_t){
		.host = h,
		.boot = h->boot,
		.generation = h->generation,
		.job = job,
		.task = task,
		.message = job->parts[h->shard].messages[task],
	};
	model_post(m, m->now + model_random_ms(m, 1, lag_ms), on_message,
		   notice);
}

static void on_message(model_t *m, void *data)
{
	message_notice_t *notice = data;
	host_t *h = notice->host;

	if (h->boot != notice->boot || !h->up ||
	    h->generation != notice->generation)
		return;
	if (m->now < silent_until(h)) {
		model_post(m, silent_until(h) + model_random_ms(m, 1, 300),
			   on_message, notice);
		return;
	}
	if (!host_is_ready(m, h, notice->boot, on_message, notice))
		return;
	if (!h->fleet || h->phase < HOST_OWNING ||
	    (!(notice->is_stale &&
	       gh_fleet_has_job(h->fleet, notice->job->pipeline->id)) &&
	     notice->message.revision <= notice->job->parts[h->shard]
						 .messages[notice->task]
						 .gone[h->index]))
		return;
	arrive(h, notice->job, notice->message.text);
	if (model_chance(m, AGAIN_PERCENT)) {
		notice->is_stale = model_chance(m, AGAIN_STALE_PERCENT);
		model_post(m, m->now + model_random_ms(m, 1, AGAIN_MS),
			   on_message, notice);
	}
	host_post_advance(h);
}

static void arrive(host_t *h, model_job_t *job, const char *text)
{
	gh_task_move_t move;
	GError *err = NULL;
	gh_pipeline_t *pipeline = gh_task_move_parse(text, &move, &err);

	if (!pipeline) {
		model_log(h->m, NULL, "host %u can't read a message: %s",
			  h->index, err->message);
		g_error_free(err);
		return;
	}
	model_log(h->m, &move.task,
		  "host %u is given the task, move %u, last run %u, by shard "
		  "%u",
		  h->index, move.moves, move.last_run, move.from);
	add_guest(h, job, pipeline, NULL);
	if (!gh_fleet_task_arrive(h->fleet, &move, h->m->now))
		model_log(h->m, &move.task, "host %u does not take it",
			  h->index);
}

/* Adds a job from another shard, unless it is known. */
static void add_guest(host_t *h, model_job_t *job, gh_pipeline_t *pipeline,
		      const char *progress)
{
	const model_state_t *heard = &job->heard[h->index];

	if (gh_fleet_has_job(h->fleet, pipeline->id)) {
		gh_pipeline_free(pipeline);
		return;
	}
	if (!gh_fleet_guest_add(h->fleet, pipeline, progress, NULL))
		model_log(h->m, NULL, "host %u can't read guest %s", h->index,
			  job->pipeline->id);
	/* The directory can lag, so an unknown state is read. */
	if (!heard->revision)
		hear_state(h, job, &job->state);
	if (is_over(heard))
		gh_fleet_job_cancel(h->fleet, job->pipeline->id, h->m->now);
}

/* Loads the guests and the messages of the host's shard. */
void model_move_load(host_t *h)
{
	model_t *m = h->m;
	uint32_t t;
	guint i;

	for (i = 0; m->n_shards > 1 && i < m->jobs->len; i++) {
		model_job_t *job = m->jobs->pdata[i];
		const job_part_t *part = &job->parts[h->shard];

		if (part->guest)
			add_guest(h, job, gh_pipeline_parse(job->text, NULL),
				  part->progress);
	}
	for (i = 0; m->n_shards > 1 && i < m->jobs->len; i++) {
		model_job_t *job = m->jobs->pdata[i];

		for (t = 0; t < job->n_tasks; t++)
			if (job->parts[h->shard].messages[t].text)
				arrive(h, job,
				       job->parts[h->shard].messages[t].text);
	}
}

/* Commits. */

static uint32_t count_moves(const store_call_t *batch)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < batch->n_changes; i++)
		n += batch->changes[i].n_departures +
		     batch->changes[i].n_arrivals;
	return n;
}

/* Whether a commit has space for the next change and its moves. */
bool model_move_fits(const host_t *h, const store_call_t *batch)
{
	return count_moves(batch) + gh_fleet_next_change_entries(h->fleet) <=
	       MOVES_MAX;
}

/*
 * Adds the moves of a fleet's change, which it frees; false if the job's state
 * is not known or it is over, so that the change can't be committed now.
 */
bool model_move_fill(host_t *h, job_change_t *change,
		     gh_fleet_change_t *from_fleet)
{
	model_t *m = h->m;
	const model_state_t *heard = &change->job->heard[h->index];
	const GArray *departures = from_fleet->departures;
	const GArray *arrivals = from_fleet->arrivals;
	bool ok = true;
	guint i;

	change->guest = from_fleet->guest;
	change->guest_is_new = from_fleet->guest_is_new;
	change->n_departures = departures ? departures->len : 0;
	change->n_arrivals = arrivals ? arrivals->len : 0;
	change->departures =
		model_alloc(m, change->n_departures * sizeof(model_move_t));
	change->arrivals =
		model_alloc(m, change->n_arrivals * sizeof(model_move_t));
	for (i = 0; i < change->n_departures; i++) {
		const gh_task_move_t *move =
			&g_array_index(departures, gh_task_move_t, i);
		char *text = gh_task_move_format(move, from_fleet->job);

		change->departures[i] = (model_move_t){
			.shard = move->to,
			.task = gh_task_move_index(move, from_fleet->job),
			.text = model_strdup(m, text),
		};
		model_log(m, &move->task, "host %u gives the task to shard %u",
			  h->index, move->to);
		g_free(text);
	}
	for (i = 0; i < change->n_arrivals; i++)
		change->arrivals[i] = (model_move_t){
			.shard = h->shard,
			.task = gh_task_move_index(
				&g_array_index(arrivals, gh_task_move_t, i),
				from_fleet->job),
		};
	if (m->n_shards > 1 &&
	    (change->n_departures ||
	     (change->phase_changed && change->phase != GH_JOB_CANCELLED))) {
		change->expected_revision = heard->revision;
		ok = heard->revision &&
		     !(change->n_departures && is_over(heard));
	}
	g_clear_pointer(&from_fleet->departures, g_array_unref);
	g_clear_pointer(&from_fleet->arrivals, g_array_unref);
	return ok;
}

bool model_move_conflicts(const job_change_t *change)
{
	return change->expected_revision &&
	       change->expected_revision != change->job->state.revision;
}

/* The store writes a change of a job. */
void model_move_execute(model_t *m, const host_t *h, const job_change_t *change,
			uint64_t revision)
{
	model_job_t *job = change->job;
	job_part_t *part = &job->parts[h->shard];
	uint32_t i, j, n;

	part->progress = change->progress;
	if (change->guest)
		part->guest = change->progress &&
			      (part->guest || change->guest_is_new);
	else if (change->phase > GH_JOB_RUNNING)
		job->exists = false;
	if (m->n_shards == 1)
		return;
	if (!change->guest && change->phase_changed &&
	    change->phase != GH_JOB_CANCELLED)
		model_move_set_state(m, job, change->phase, revision);
	for (i = 0; i < change->n_arrivals; i++)
		part->messages[change->arrivals[i].task].text = NULL;
	for (i = 0; i < change->n_departures; i++) {
		const model_move_t *move = &change->departures[i];
		model_message_t *message =
			&job->parts[move->shard].messages[move->task];

		message->text = move->text;
		message->revision = revision;
		m->result->moves++;
		n = ++job->tasks[move->task].moves;
		m->result->most_moves = MAX(m->result->most_moves, n);
		for (j = 0; j < m->n_hosts; j++)
			if (m->hosts[j].shard == move->shard)
				post_message(m, &m->hosts[j], job, move->task);
	}
	model_check_places(m, change);
}

/* Whether the progress record has a line of the task with the word. */
static bool is_in_progress(const char *progress, uint32_t task,
			   const char *word)
{
	char *line = g_strdup_printf("\n%u %s ", task, word);
	bool found = progress && strstr(progress, line);

	g_free(line);
	return found;
}

uint32_t model_move_places(const model_t *m, const model_job_t *job,
			   uint32_t task)
{
	uint32_t n = 0;
	uint32_t s;

	for (s = 0; s < m->n_shards; s++) {
		const job_part_t *part = &job->parts[s];

		n += part->messages[task].text != NULL;
		if (s == job->home)
			n += !is_in_progress(part->progress, task, "away");
		else if (part->guest)
			n += is_in_progress(part->progress, task, "open");
	}
	return n;
}

/* The host learns that its commit has taken effect. */
void model_move_committed(host_t *h, const job_change_t *change,
			  uint64_t revision)
{
	uint32_t i;

	for (i = 0; i < change->n_arrivals; i++) {
		uint64_t *gone = &change->job->parts[h->shard]
					  .messages[change->arrivals[i].task]
					  .gone[h->index];

		*gone = MAX(*gone, revision);
	}
	if (!change->guest && change->phase_changed &&
	    change->phase != GH_JOB_CANCELLED) {
		const model_state_t state = { .revision = revision,
					      .phase = change->phase };

		hear_state(h, change->job, &state);
	}
}

/* A conflict tells the present states of the jobs in the commit. */
void model_move_refused(host_t *h, const job_change_t *change)
{
	if (h->m->n_shards > 1)
		hear_state(h, change->job, &change->job->state);
}

/* Disruptions at a step of a move. */

void model_move_step(host_t *h, const store_call_t *batch)
{
	static const model_disruption_t kinds[] = {
		DISRUPT_STORE_REPLIES, DISRUPT_STORE_LATE, DISRUPT_STORE_CUT,
		DISRUPT_STORE_DOWN,    DISRUPT_FREEZE,	   DISRUPT_KILL,
		DISRUPT_RELEASE,
	};
	model_t *m = h->m;
	model_disruption_t kind;

	if (!count_moves(batch) || m->disruptions_over ||
	    !model_chance(m, STEP_PERCENT))
		return;
	kind = kinds[model_random(m, G_N_ELEMENTS(kinds))];
	if (m->weights[kind])
		model_disrupt(m, kind, 0, h);
}

void model_move_disrupt_both(model_t *m, model_disruption_t kind,
			     const host_t *h)
{
	owner_event_t *event;

	if (m->n_shards == 1 || kind < DISRUPT_STORE_REPLIES ||
	    !model_chance(m, BOTH_PERCENT))
		return;
	event = model_alloc(m, sizeof(*event));
	*event = (owner_event_t){ .shard = (h->shard + 1) % m->n_shards,
				  .kind = kind };
	model_post(m, m->now + model_random_ms(m, 0, BOTH_MS), disrupt_owner,
		   event);
}

static void disrupt_owner(model_t *m, void *data)
{
	const owner_event_t *event = data;
	uint32_t owner = m->store.chains[event->shard].owner;

	if (owner != MODEL_NONE && !m->disruptions_over)
		model_disrupt(m, event->kind, 0, &m->hosts[owner]);
}

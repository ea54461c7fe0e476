/*
 * Moves of tasks to other shards.
 *
 * Handles a shard whose workers are full for a long time, as with tasks that
 * are to last, while another shard has capacity.  A task that has waited moves
 * if no run of it can be alive or begin: all steps of its job are long-running
 * and none is a gang, it has no open run, no start of it may be executed late,
 * and no crash is counted for it.
 *
 * The change that tells the job's record that a task is away also stores the
 * message to the other shard, and the change that tells the other shard's
 * record that the task is there deletes it.  Until the former is committed the
 * task is neither started nor decided again, even if the commit fails: its
 * outcome may be unknown.  The number of moves tells messages apart: one that
 * was seen before is not used again.
 */
#include "core_fleet_move.h"

#include <string.h>

#define MOVE_PERIOD_USEC (100 * GH_USEC_PER_MSEC)
/* A task moves after this wait, doubled with each move that it has made. */
#define MOVE_WAIT_USEC (500 * GH_USEC_PER_MSEC)
#define MOVE_WAIT_DOUBLINGS_MAX 4
/*
 * A task that has moved waits at least this long beside a worker in quarantine,
 * where it starts once it has waited for long.
 */
#define LAST_RESORT_WAIT_USEC (2 * GH_USEC_PER_SEC)
/* A task that has arrived and waits for longer than this is reported. */
#define WAIT_REPORT_USEC GH_USEC_PER_SEC
/* Tasks that are sent away in one MOVE_PERIOD_USEC. */
#define MOVES_MAX 32

static uint32_t decide_jobs(gh_fleet_t *fleet, bool restarts, uint32_t limit,
			    gh_time_t now);
static uint32_t decide_stage(gh_fleet_t *fleet, uint32_t handle, uint32_t stage,
			     bool restarts, uint32_t limit, gh_time_t now);
static bool is_movable(const gh_fleet_t *fleet, const fleet_job_t *job,
		       uint32_t index, gh_time_t now);
static bool has_last_resort(const gh_fleet_t *fleet, const fleet_job_t *job,
			    uint32_t index, gh_time_t now);
static gh_time_t waits_since(const fleet_job_t *job, uint32_t index);
static gh_time_t move_wait(const fleet_task_t *task);
static void leave(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
		  uint32_t shard, gh_time_t now);
static bool find_message(const GArray *messages, const gh_task_id_t *task,
			 guint *index);
static void delete_message(gh_fleet_t *fleet, uint32_t handle,
			   const gh_task_move_t *move);
static void land(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
		 const gh_task_move_t *move, gh_time_t now);
static gh_time_t waited_elsewhere(const fleet_task_t *task);
static gh_task_move_t describe_move(const gh_fleet_t *fleet,
				    const fleet_job_t *job, uint32_t index);
static bool is_deletion_due(const fleet_job_t *job, const gh_task_id_t *task,
			    guint n_deleting);
static void take_early_arrivals(gh_fleet_t *fleet, uint32_t handle);

void fleet_move_init_job(fleet_job_t *job, bool guest)
{
	uint32_t i;

	job->may_move = true;
	for (i = 0; i < job->spec->n_steps; i++)
		job->may_move &= job->spec->steps[i].long_running &&
				 !job->spec->steps[i].gang;
	job->arrivals = g_array_new(FALSE, FALSE, sizeof(gh_task_move_t));
	job->early_arrivals = g_array_new(FALSE, FALSE, sizeof(gh_task_move_t));
	job->guest = guest;
	if (!guest)
		return;
	job->begun = true;
	job->phase = job->committed_phase = GH_JOB_RUNNING;
}

void fleet_move_clear_job(fleet_job_t *job)
{
	g_array_free(job->arrivals, TRUE);
	g_array_free(job->early_arrivals, TRUE);
}

void fleet_move_set_place(fleet_job_t *job, uint32_t task, fleet_place_t place)
{
	fleet_place_t former = fleet_task(job, task)->place;
	fleet_stage_t *stage = fleet_task_stage(job, task);

	stage->tasks_away -= former != PLACE_HERE;
	stage->tasks_away += place != PLACE_HERE;
	job->n_leaving -= former == PLACE_LEAVING || former == PLACE_DEPARTED;
	job->n_leaving += place == PLACE_LEAVING || place == PLACE_DEPARTED;
	fleet_task(job, task)->place = place;
}

/* Departures. */

void fleet_move_decide(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n;

	if (fleet->setup.shards < 2 ||
	    now - fleet->moves_decided_at < MOVE_PERIOD_USEC)
		return;
	fleet->moves_decided_at = now;
	/* Tasks that have run before interrupt something while they wait. */
	n = decide_jobs(fleet, true, MOVES_MAX, now);
	decide_jobs(fleet, false, MOVES_MAX - n, now);
}

/* Returns the number of tasks that leave, at most limit. */
static uint32_t decide_jobs(gh_fleet_t *fleet, bool restarts, uint32_t limit,
			    gh_time_t now)
{
	uint32_t n = 0;
	uint32_t i, s;

	for (i = 0; i < fleet->jobs->len && n < limit; i++) {
		const fleet_job_t *job = fleet_job(fleet, i);

		if (!job->spec || !job->may_move || job->held ||
		    job->phase > GH_JOB_RUNNING)
			continue;
		for (s = 0; s < fleet_resident_stage_count(job) && n < limit;
		     s++) {
			uint32_t stage;

			if (fleet_resident_stage(job, s, &stage)->waiting_since)
				n += decide_stage(fleet, i, stage, restarts,
						  limit - n, now);
		}
	}
	return n;
}

static uint32_t decide_stage(gh_fleet_t *fleet, uint32_t handle, uint32_t stage,
			     bool restarts, uint32_t limit, gh_time_t now)
{
	const fleet_job_t *job = fleet_job(fleet, handle);
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	fleet_stage_t *s = fleet_stage(job, stage);
	uint32_t n = 0;
	uint32_t i;

	for (i = s->first_task; i < s->first_task + step->tasks && n < limit;
	     i++) {
		uint32_t shard;

		if ((fleet_task(job, i)->last_run != 0) != restarts ||
		    !is_movable(fleet, job, i, now) ||
		    has_last_resort(fleet, job, i, now))
			continue;
		shard = fleet_rooms_take(fleet, job, step, now);
		if (shard == GH_NONE)
			break;
		leave(fleet, handle, i, shard, now);
		n++;
	}
	if (s->tasks_done + s->tasks_open + s->tasks_away >= step->tasks)
		s->waiting_since = 0;
	return n;
}

static bool is_movable(const gh_fleet_t *fleet, const fleet_job_t *job,
		       uint32_t index, gh_time_t now)
{
	const fleet_task_t *task = fleet_task(job, index);
	gh_task_id_t id;

	if (task->place != PLACE_HERE || task->done ||
	    task->runs[0] != GH_NONE ||
	    now - waits_since(job, index) < move_wait(task) ||
	    now < task->not_before || now < task->late_until ||
	    task->n_late_stops || fleet_crash_has_any(task))
		return false;
	id = fleet_task_id(job, index);
	return !find_message(job->arrivals, &id, NULL) &&
	       !fleet_late_has_task(fleet, &id);
}

/* Whether a task that has moved is about to start in quarantine here. */
static bool has_last_resort(const gh_fleet_t *fleet, const fleet_job_t *job,
			    uint32_t index, gh_time_t now)
{
	return fleet_task(job, index)->moves &&
	       now - waits_since(job, index) < LAST_RESORT_WAIT_USEC &&
	       fleet_choose_has_last_resort(fleet, job,
					    fleet_stage_index(job, index), now);
}

/* Since when a task of a stage that waits has waited in this shard. */
static gh_time_t waits_since(const fleet_job_t *job, uint32_t index)
{
	return MAX(fleet_task_stage(job, index)->waiting_since,
		   fleet_task(job, index)->arrived_at);
}

static gh_time_t move_wait(const fleet_task_t *task)
{
	return MOVE_WAIT_USEC << MIN(task->moves, MOVE_WAIT_DOUBLINGS_MAX);
}

static void leave(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
		  uint32_t shard, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	fleet_task_t *task = fleet_task(job, index);
	gh_time_t since = waits_since(job, index);
	gh_task_id_t id = fleet_task_id(job, index);
	char *detail = g_strdup_printf(
		"to shard %u, waited %" G_GINT64_FORMAT " ms, %u moves before",
		shard, gh_time_to_ms(now - since), task->moves);

	fleet_emit_event(fleet, "task_leaves", &id, task->last_run, GH_NONE,
			 detail);
	g_free(detail);
	fleet_move_set_place(job, index, PLACE_LEAVING);
	task->move_to = shard;
	task->last_run = MAX(task->last_run, 1);
	/* The other shard may start it. */
	job->begun = true;
	job->phase = GH_JOB_RUNNING;
	fleet_job_mark_changed(fleet, handle);
}

bool fleet_move_keep(fleet_job_t *job, uint32_t task)
{
	if (fleet_task(job, task)->place == PLACE_LEAVING)
		fleet_move_set_place(job, task, PLACE_HERE);
	return fleet_task(job, task)->place == PLACE_HERE;
}

/* Arrivals. */

bool gh_fleet_task_arrive(gh_fleet_t *fleet, const gh_task_move_t *move,
			  gh_time_t now)
{
	uint32_t handle = fleet_job_find(fleet, move->task.job);
	fleet_job_t *job;
	const fleet_task_t *task;
	uint32_t index;

	if (handle == GH_NONE)
		return false;
	job = fleet_job(fleet, handle);
	index = fleet_task_find(job, &move->task);
	if (index == GH_NONE || !fleet_task_step(job, index)->long_running ||
	    find_message(job->arrivals, &move->task, NULL) ||
	    find_message(job->early_arrivals, &move->task, NULL))
		return true;
	task = fleet_task(job, index);
	if (job->held || job->phase > GH_JOB_RUNNING ||
	    task->place == PLACE_HERE || task->place == PLACE_LEAVING)
		delete_message(fleet, handle, move);
	else if (task->place == PLACE_DEPARTED && move->moves > task->moves + 1)
		/* The commit that awaits its reply has taken effect. */
		g_array_append_val(job->early_arrivals, *move);
	else if (task->place == PLACE_AWAY && move->moves > task->moves)
		land(fleet, handle, index, move, now);
	/* Else its key may hold a later message by now, so it is left alone. */
	return true;
}

/* Has the job's next change delete the message; a held job changes as it ends.
 */
static void delete_message(gh_fleet_t *fleet, uint32_t handle,
			   const gh_task_move_t *move)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	g_array_append_val(job->arrivals, *move);
	if (!job->held || job->phase > GH_JOB_RUNNING)
		fleet_job_mark_changed(fleet, handle);
}

static void land(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
		 const gh_task_move_t *move, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	fleet_task_t *task = fleet_task(job, index);
	fleet_stage_t *stage = fleet_task_stage(job, index);
	char *detail = g_strdup_printf("from shard %u, %u moves", move->from,
				       move->moves);

	fleet_emit_event(fleet, "task_arrived", &move->task, move->last_run,
			 GH_NONE, detail);
	g_free(detail);
	fleet->counts.arrived++;
	fleet_move_set_place(job, index, PLACE_HERE);
	task->moves = move->moves;
	task->arrived_at = now;
	task->not_before = 0;
	task->last_run = MAX(task->last_run, move->last_run);
	g_free(task->checkpoint);
	task->checkpoint =
		*move->checkpoint ? g_strdup(move->checkpoint) : NULL;
	if (!stage->waiting_since) {
		stage->waiting_since = now - waited_elsewhere(task);
		stage->wait_report_at = now + WAIT_REPORT_USEC;
	}
	delete_message(fleet, handle, move);
}

/* The least time that a task which has moved has waited in other shards. */
static gh_time_t waited_elsewhere(const fleet_task_t *task)
{
	return move_wait(task) - MOVE_WAIT_USEC;
}

static bool find_message(const GArray *messages, const gh_task_id_t *task,
			 guint *index)
{
	guint i;

	for (i = 0; i < messages->len; i++)
		if (fleet_same_task(
			    &g_array_index(messages, gh_task_move_t, i).task,
			    task))
			break;
	if (index)
		*index = i;
	return i < messages->len;
}

/* Changes. */

bool fleet_move_is_recorded(const fleet_task_t *task)
{
	return task->place == PLACE_DEPARTED || task->place == PLACE_AWAY;
}

uint32_t fleet_move_number(const fleet_task_t *task)
{
	return task->moves + (task->place == PLACE_DEPARTED);
}

uint32_t gh_fleet_next_change_entries(const gh_fleet_t *fleet)
{
	const fleet_job_t *job;
	uint32_t handle, max;

	if (!gh_commit_order_peek(fleet->changes, &handle))
		return 0;
	job = fleet_job(fleet, handle);
	max = fleet_parts_moves_max(job);
	return (job->phase > GH_JOB_RUNNING ? 0 : MIN(job->n_leaving, max)) +
	       MIN(job->arrivals->len, max) + job->guest +
	       fleet_parts_entries(job);
}

void fleet_move_fill_change(const gh_fleet_t *fleet, fleet_job_t *job,
			    gh_fleet_change_t *change)
{
	bool ended = job->phase > GH_JOB_RUNNING;
	uint32_t max = fleet_parts_moves_max(job);
	uint32_t i;

	change->guest = job->guest;
	change->guest_is_new = job->guest && !job->guest_stored && !ended;
	change->phase_changed &= !job->guest;
	if (ended && job->early_arrivals->len) {
		g_array_append_vals(job->arrivals, job->early_arrivals->data,
				    job->early_arrivals->len);
		g_array_set_size(job->early_arrivals, 0);
	}
	job->n_deleting = MIN(job->arrivals->len, max);
	if (job->n_deleting) {
		change->arrivals =
			g_array_new(FALSE, FALSE, sizeof(gh_task_move_t));
		g_array_append_vals(change->arrivals, job->arrivals->data,
				    job->n_deleting);
	}
	if (ended || !job->n_leaving || !max)
		return;
	change->departures = g_array_new(FALSE, FALSE, sizeof(gh_task_move_t));
	for (i = 0; i < job->n_tasks && change->departures->len < max; i++) {
		const fleet_task_t *task = fleet_task_peek(job, i);
		gh_task_move_t move;

		if (!task || task->place != PLACE_LEAVING)
			continue;
		move = describe_move(fleet, job, i);
		if (!is_deletion_due(job, &move.task, job->n_deleting))
			continue;
		g_array_append_val(change->departures, move);
		fleet_move_set_place(job, i, PLACE_DEPARTED);
	}
}

static gh_task_move_t describe_move(const gh_fleet_t *fleet,
				    const fleet_job_t *job, uint32_t index)
{
	const fleet_task_t *task = fleet_task(job, index);
	gh_task_move_t move = {
		.task = fleet_task_id(job, index),
		.from = fleet->setup.shard,
		.to = task->move_to,
		.last_run = task->last_run,
		.moves = task->moves + 1,
	};

	if (task->checkpoint)
		g_strlcpy(move.checkpoint, task->checkpoint,
			  sizeof(move.checkpoint));
	return move;
}

/*
 * Whether no message of the task is left after the change that deletes the
 * first n_deleting ones.
 */
static bool is_deletion_due(const fleet_job_t *job, const gh_task_id_t *task,
			    guint n_deleting)
{
	guint i;

	return !find_message(job->arrivals, task, &i) || i < n_deleting;
}

void fleet_move_handle_commit(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t i;

	job->guest_stored = job->guest;
	if (job->n_deleting)
		g_array_remove_range(job->arrivals, 0, job->n_deleting);
	job->n_deleting = 0;
	for (i = 0; job->n_leaving && i < job->n_tasks; i++) {
		const fleet_task_t *found = fleet_task_peek(job, i);
		fleet_task_t *task;

		if (!found || found->place != PLACE_DEPARTED)
			continue;
		task = fleet_task(job, i);
		fleet_move_set_place(job, i, PLACE_AWAY);
		task->moves++;
		g_clear_pointer(&task->checkpoint, g_free);
		fleet->counts.departed++;
	}
	/* An ended job's tasks go nowhere. */
	if (job->arrivals->len ||
	    (job->n_leaving && job->phase <= GH_JOB_RUNNING))
		fleet_job_mark_changed(fleet, handle);
	take_early_arrivals(fleet, handle);
}

static void take_early_arrivals(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	GArray *early = job->early_arrivals;
	guint i;

	if (!early->len)
		return;
	job->early_arrivals = g_array_new(FALSE, FALSE, sizeof(gh_task_move_t));
	for (i = 0; i < early->len; i++)
		gh_fleet_task_arrive(fleet,
				     &g_array_index(early, gh_task_move_t, i),
				     fleet->ticked_at);
	g_array_free(early, TRUE);
}

void fleet_move_handle_commit_failure(fleet_job_t *job)
{
	uint32_t i;

	job->n_deleting = 0;
	for (i = 0; job->n_leaving && i < job->n_tasks; i++) {
		const fleet_task_t *task = fleet_task_peek(job, i);

		if (task && task->place == PLACE_DEPARTED)
			fleet_move_set_place(job, i, PLACE_LEAVING);
	}
}

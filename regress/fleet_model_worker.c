/*
 * Workers of the fleet model, and the network between them and the hosts.
 */
#include <string.h>

#include "fleet_model_private.h"

#define ORDER_TIMEOUT_MS 500
/* Added to the time that a worker may hold a renewal's reply back. */
#define RENEWAL_MARGIN_MS 800
#define GANG_WAIT_MS 2000
#define BROKEN_DELAY_MS 20
/* Share of calls that a disruption of replies or lateness hits. */
#define HIT_PERCENT 50
#define FAIL_PERCENT 8
#define RESEND_PERCENT 30
#define CLOCK_SLOW_RATE 0.98
/* How long a connection attempt is repeated. */
#define CONNECT_MAX_MS 1200

/* An event of a run; ignored if the run is over by then. */
typedef struct run_event {
	life_t *life;
	gh_task_id_t task;
	uint32_t run;
	gh_run_outcome_t outcome;
} run_event_t;

typedef struct lease_event {
	life_t *life;
	int64_t deadline_ms;
} lease_event_t;

static void on_arrival(model_t *m, void *data);
static void on_timeout(model_t *m, void *data);
static void on_reply(model_t *m, void *data);
static void on_wait_over(model_t *m, void *data);
static bool waits_for_life(const model_t *m, const worker_call_t *call);
static void execute(model_t *m, life_t *life, worker_call_t *call);
static void respond(model_t *m, life_t *life, worker_call_t *call,
		    gh_order_reply_t reply);
static void execute_start(model_t *m, life_t *life, worker_call_t *call);
static void execute_stop(model_t *m, life_t *life, worker_call_t *call);
static void execute_renewal(model_t *m, life_t *life, worker_call_t *call);
static void begin_run(model_t *m, life_t *life, worker_call_t *call);
static void begin_gang(model_t *m, const gh_task_id_t *task, uint32_t run);
static void break_gang(model_t *m, const gh_task_id_t *task, uint32_t run);
static void post_run_event(model_t *m, life_t *life, const gh_task_id_t *task,
			   uint32_t run, gh_run_outcome_t outcome,
			   gh_time_t at);
static void on_run_event(model_t *m, void *data);
static void end_gang(model_t *m, const gh_task_id_t *task, uint32_t run);
static void end_run_at(model_t *m, life_t *life, guint index,
		       gh_run_outcome_t outcome);
static void note_over(life_t *life, const gh_task_id_t *task, uint32_t run);
static bool is_over(const life_t *life, const gh_task_id_t *task, uint32_t run);
static guint find_run(const life_t *life, const gh_task_id_t *task,
		      uint32_t run);
static void extend_lease(model_t *m, life_t *life, int64_t deadline_ms);
static void on_lease_end(model_t *m, void *data);
static bool has_capacity(const model_t *m, const life_t *life,
			 const gh_step_t *step);
static void fill_report(model_t *m, const life_t *life, worker_call_t *call);
static uint32_t worker_shard(const model_t *m, const char *id);

life_t *life_start(model_t *m, const char *id, uint32_t slot)
{
	life_t *life = g_new0(life_t, 1);

	g_strlcpy(life->id, id, sizeof(life->id));
	life->slot = slot;
	life->shard = worker_shard(m, id);
	m->last_start_ms = MAX(m->last_start_ms + 1, gh_time_to_ms(m->now));
	life->start_ms = m->last_start_ms;
	life->started_at = m->now;
	life->clock_rate = model_chance(m, 50) ? 1 : CLOCK_SLOW_RATE;
	life->up = true;
	life->capacity_milli = MODEL_CAPACITY_MILLI;
	life->memory_mb =
		m->options->quiet_ms ? MODEL_FIELD_MEMORY_MB : MODEL_MEMORY_MB;
	life->kind = m->options->quiet_ms && slot % 2 ? "b" : "a";
	life->runs = g_array_new(FALSE, TRUE, sizeof(live_run_t));
	life->ends = g_array_new(FALSE, TRUE, sizeof(life_end_t));
	life->over = g_array_new(FALSE, TRUE, sizeof(life_end_t));
	life->waiting = g_ptr_array_new();
	g_ptr_array_add(m->lives, life);
	m->slots[slot] = life;
	m->result->lives++;
	model_log(m, NULL, "worker %s up at address %u, start %d", id, slot,
		  (int)life->start_ms);
	model_post(m, m->now + model_random_ms(m, 10, 1000), life_register,
		   life);
	return life;
}

/* A worker's id is a letter and its number. */
static uint32_t worker_shard(const model_t *m, const char *id)
{
	return (uint32_t)(g_ascii_strtoull(id + 1, NULL, 10) % m->n_shards);
}

void life_crash(model_t *m, life_t *life)
{
	life->up = false;
	m->slots[life->slot] = NULL;
	g_array_set_size(life->runs, 0);
	g_ptr_array_set_size(life->waiting, 0);
	model_log(m, NULL, "worker %s down at address %u, start %d", life->id,
		  life->slot, (int)life->start_ms);
}

void life_free(life_t *life)
{
	g_array_free(life->runs, TRUE);
	g_array_free(life->ends, TRUE);
	g_array_free(life->over, TRUE);
	g_ptr_array_free(life->waiting, TRUE);
	g_free(life);
}

/* The worker writes its entry in service discovery. */
void life_register(model_t *m, void *data)
{
	life_t *life = data;
	model_entry_t *entry;

	if (!life->up)
		return;
	entry = entry_find(m, life->id);
	if (!entry) {
		entry = g_new0(model_entry_t, 1);
		g_strlcpy(entry->id, life->id, sizeof(entry->id));
		entry->shard = life->shard;
		g_ptr_array_add(m->entries, entry);
	}
	entry->exists = true;
	entry->unreadable = false;
	entry->value = (gh_worker_entry_t){
		.service = "svc",
		.n_labels = 2,
		.labels = { "", "r1" },
		.size = { .cores_milli = life->capacity_milli,
			  .memory_mb = life->memory_mb },
		.incarnation_start_ms = life->start_ms,
		.draining = life->draining,
	};
	model_domain_name(m, life, &entry->value);
	g_strlcpy(entry->value.id, life->id, sizeof(entry->value.id));
	g_strlcpy(entry->value.labels[0], life->kind,
		  sizeof(entry->value.labels[0]));
	g_snprintf(entry->value.address, sizeof(entry->value.address),
		   "127.0.0.1:%u", life->slot + 1);
	entry_changed(m, entry);
}

model_entry_t *entry_find(const model_t *m, const char *id)
{
	guint i;

	for (i = 0; i < m->entries->len; i++) {
		model_entry_t *entry = m->entries->pdata[i];

		if (!strcmp(entry->id, id))
			return entry;
	}
	return NULL;
}

void entry_changed(model_t *m, model_entry_t *entry)
{
	model_log(m, NULL, "entry of %s: %s, %s, start %d", entry->id,
		  !entry->exists    ? "gone" :
		  entry->unreadable ? "unreadable" :
				      "listed",
		  entry->value.address, (int)entry->value.incarnation_start_ms);
	hosts_entry_changed(m, entry);
}

int64_t life_clock_ms(const model_t *m, const life_t *life)
{
	return 1 + (int64_t)(life->clock_rate *
			     (double)gh_time_to_ms(m->now - life->started_at));
}

/* Calls. */

void worker_call_send(model_t *m, worker_call_t *call)
{
	const model_link_t *link;
	int64_t timeout_ms = call->kind == CALL_RENEWAL ?
				     call->max_wait_ms + RENEWAL_MARGIN_MS :
				     ORDER_TIMEOUT_MS;
	gh_time_t delay = model_random_ms(m, 1, 6);

	call->sent_at = m->now;
	if (call->slot == MODEL_NONE) {
		model_post(m, m->now, on_timeout, call);
		return;
	}
	link = &m->links[call->slot];
	call->sent_to = call->bound_to ? call->bound_to : m->slots[call->slot];
	call->loses_reply = m->now < link->loses_replies_until &&
			    model_chance(m, HIT_PERCENT);
	if (m->now < link->slow_until)
		delay = model_random_ms(m, 1, 450);
	if (m->now < link->late_until && model_chance(m, HIT_PERCENT)) {
		call->late = call->loses_reply = true;
		delay = model_random_ms(m, 300, 12000);
	}
	call->times_out_at = m->now + gh_time_from_ms(timeout_ms);
	model_post(m, m->now + delay, on_arrival, call);
	model_post(m, call->times_out_at, on_timeout, call);
}

static void on_timeout(model_t *m, void *data)
{
	worker_call_t *call = data;

	if (call->finished ||
	    !host_is_ready(m, call->host, call->boot, on_timeout, call))
		return;
	call->finished = true;
	call->reply = GH_ORDER_OUTCOME_UNKNOWN;
	if (model_connection_replied(m, call))
		host_on_worker_reply(call->host, call);
}

static void on_arrival(model_t *m, void *data)
{
	worker_call_t *call = data;
	life_t *life = m->slots[call->slot];

	if (m->now < m->links[call->slot].request_cut_until[call->host->index])
		return;
	if (!life && waits_for_life(m, call)) {
		call->connects = true;
		model_post(m, m->now + model_random_ms(m, 100, 400), on_arrival,
			   call);
		return;
	}
	if (!life) {
		/* The connection is refused. */
		if (!call->late && model_chance(m, 50)) {
			call->reply = GH_ORDER_OUTCOME_UNKNOWN;
			model_post(m, m->now + model_random_ms(m, 1, 6),
				   on_reply, call);
		}
		return;
	}
	if (call->connects)
		call->sent_to = life;
	call->connects = false;
	if (strcmp(life->id, call->worker) != 0) {
		call->clock_ms = life_clock_ms(m, life);
		respond(m, life, call, GH_ORDER_OTHER_INCARNATION);
		return;
	}
	if (life != call->sent_to && !m->weights[DISRUPT_LATE_NEXT_LIFE])
		return;
	/* A client sends a call again whose connection broke. */
	if (!call->sent_again && call->loses_reply &&
	    model_chance(m, RESEND_PERCENT)) {
		worker_call_t *copy = model_alloc(m, sizeof(*copy));

		*copy = *call;
		copy->sent_again = true;
		model_post(m, m->now + model_random_ms(m, 1, 100), on_arrival,
			   copy);
	}
	execute(m, life, call);
}

/* Whether the call's connection attempt is repeated. */
static bool waits_for_life(const model_t *m, const worker_call_t *call)
{
	return m->weights[DISRUPT_RECONNECT] && !call->bound_to &&
	       m->now < call->sent_at + gh_time_from_ms(CONNECT_MAX_MS);
}

static void execute(model_t *m, life_t *life, worker_call_t *call)
{
	if (call->epoch < life->epoch) {
		respond(m, life, call, GH_ORDER_FENCED);
		return;
	}
	life->epoch = call->epoch;
	if (call->kind == CALL_START)
		execute_start(m, life, call);
	else if (call->kind == CALL_STOP)
		execute_stop(m, life, call);
	else if (call->kind == CALL_RENEWAL)
		execute_renewal(m, life, call);
	else
		respond(m, life, call, GH_ORDER_OK);
}

static void respond(model_t *m, life_t *life, worker_call_t *call,
		    gh_order_reply_t reply)
{
	const model_link_t *link = &m->links[call->slot];
	gh_time_t delay = m->now < link->slow_until ?
				  model_random_ms(m, 1, 450) :
				  model_random_ms(m, 1, 6);

	call->reply = reply;
	call->replied = life;
	call->clock_ms = life_clock_ms(m, life);
	if (call->kind != CALL_RENEWAL && call->kind != CALL_PACE)
		model_log(m, &call->task,
			  "%s of run %u by host %u, epoch %d, sent %d ms ago, "
			  "at worker %s, start %d%s: %d",
			  call->kind == CALL_START ? "start" : "stop",
			  call->run, call->host->index, (int)call->epoch,
			  (int)gh_time_to_ms(m->now - call->sent_at), life->id,
			  (int)life->start_ms,
			  call->loses_reply ? " (reply lost)" : "", reply);
	if (model_connection_shows_later(m, call, life) &&
	    reply != GH_ORDER_FENCED && reply != GH_ORDER_OTHER_INCARNATION)
		call->reply = GH_ORDER_LATER_LIFE;
	if (!call->loses_reply)
		model_post(m, m->now + delay, on_reply, call);
}

static void on_reply(model_t *m, void *data)
{
	worker_call_t *call = data;

	if (call->finished ||
	    m->now < m->links[call->slot].reply_cut_until[call->host->index] ||
	    !host_is_ready(m, call->host, call->boot, on_reply, call))
		return;
	/* After a freeze, the time limit can come first. */
	if (m->now > call->times_out_at && model_chance(m, 50))
		return;
	call->finished = true;
	if (model_connection_replied(m, call))
		host_on_worker_reply(call->host, call);
}

static void execute_start(model_t *m, life_t *life, worker_call_t *call)
{
	bool late = call->deadline_ms <= life_clock_ms(m, life);
	bool old = is_over(life, &call->task, call->run);
	const gh_step_t *step = model_step(m, &call->task);

	if (m->now < m->links[life->slot].unhealthy_until) {
		respond(m, life, call, GH_ORDER_REFUSED);
		return;
	}
	if (late && (!old || m->late_before_old)) {
		respond(m, life, call, GH_ORDER_LEASE_EXPIRED);
		return;
	}
	extend_lease(m, life, call->deadline_ms);
	if (find_run(life, &call->task, call->run) < life->runs->len)
		respond(m, life, call, GH_ORDER_OK);
	else if (old)
		respond(m, life, call, GH_ORDER_STALE_RUN);
	else if (m->workers_check_capacity && !has_capacity(m, life, step))
		respond(m, life, call, GH_ORDER_NO_CAPACITY);
	else
		begin_run(m, life, call);
}

static bool has_capacity(const model_t *m, const life_t *life,
			 const gh_step_t *step)
{
	gh_resources_t used = model_used(m, life);

	/* Best-effort tasks use the cores that others leave. */
	if (step->best_effort && m->options->quiet_ms)
		used.cores_milli = 0;
	return used.cores_milli + step->size.cores_milli <=
		       life->capacity_milli &&
	       used.memory_mb + step->size.memory_mb <= life->memory_mb;
}

gh_resources_t model_used(const model_t *m, const life_t *life)
{
	gh_resources_t used = { 0 };
	guint i;

	for (i = 0; i < life->runs->len; i++) {
		const gh_step_t *step = model_step(
			m, &g_array_index(life->runs, live_run_t, i).task);

		if (!step->best_effort)
			used.cores_milli += step->size.cores_milli;
		used.memory_mb += step->size.memory_mb;
	}
	return used;
}

static int64_t run_ms_max(const model_t *m, const gh_task_id_t *task)
{
	int64_t max_ms = 2 * model_step(m, task)->estimate_ms;

	switch (m->options->times_off ? g_str_hash(task->job) % 3 : 0) {
	case 1:
		return max_ms * 8;
	case 2:
		return MAX(max_ms / 8, 100);
	default:
		return max_ms;
	}
}

static void begin_run(model_t *m, life_t *life, worker_call_t *call)
{
	const gh_step_t *step = model_step(m, &call->task);
	live_run_t run = { .task = call->task,
			   .run = call->run,
			   .started_at = m->now };
	gh_time_t end =
		m->now + model_random_ms(m, 50, run_ms_max(m, &call->task));
	bool failed = model_job_find(m, run.task.job)->hopeless ||
		      model_field_is_sick(m, life);

	respond(m, life, call, GH_ORDER_OK);
	model_check_start(m, life, &call->task, call->run);
	model_domain_check_start(m, life, call);
	if (m->options->quiet_ms)
		model_field_begin_run(m, life, &call->task);
	m->result->starts++;
	g_array_append_val(life->runs, run);
	if (step->gang) {
		post_run_event(m, life, &run.task, run.run,
			       GH_RUN_GANG_INCOMPLETE,
			       m->now + gh_time_from_ms(GANG_WAIT_MS));
		begin_gang(m, &run.task, run.run);
	} else if (step->long_running) {
		if (model_chance(m, FAIL_PERCENT) || failed)
			post_run_event(m, life, &run.task, run.run,
				       GH_RUN_FAILED, end);
	} else {
		failed |= model_chance(m, FAIL_PERCENT);
		post_run_event(m, life, &run.task, run.run,
			       failed ? GH_RUN_FAILED : GH_RUN_DONE, end);
	}
}

/* Calls work() for each run of the gang's start that is at work. */
typedef void (*member_work_t)(model_t *m, life_t *life, const live_run_t *run,
			      gh_time_t at);

static uint32_t each_member(model_t *m, const gh_task_id_t *task, uint32_t run,
			    member_work_t work, gh_time_t at)
{
	uint32_t n = 0;
	uint32_t i;
	guint r;

	for (i = 0; i < MODEL_SLOTS; i++)
		for (r = 0; m->slots[i] && r < m->slots[i]->runs->len; r++) {
			live_run_t member =
				g_array_index(m->slots[i]->runs, live_run_t, r);

			if (strcmp(member.task.job, task->job) != 0 ||
			    member.task.step != task->step ||
			    member.task.occurrence != task->occurrence ||
			    member.run != run || member.stopping)
				continue;
			n++;
			if (work)
				work(m, m->slots[i], &member, at);
		}
	return n;
}

static void complete_member(model_t *m, life_t *life, const live_run_t *run,
			    gh_time_t at)
{
	post_run_event(m, life, &run->task, run->run, GH_RUN_DONE, at);
}

static void break_member(model_t *m, life_t *life, const live_run_t *run,
			 gh_time_t at)
{
	post_run_event(m, life, &run->task, run->run, GH_RUN_GANG_BROKEN, at);
}

/* Once all members are there, they work and end together. */
static void begin_gang(model_t *m, const gh_task_id_t *task, uint32_t run)
{
	const gh_step_t *step = model_step(m, task);
	gh_time_t end = m->now + model_random_ms(m, 50, run_ms_max(m, task));

	if (each_member(m, task, run, NULL, 0) == step->tasks)
		each_member(m, task, run, complete_member, end);
}

static void break_gang(model_t *m, const gh_task_id_t *task, uint32_t run)
{
	each_member(m, task, run, break_member,
		    m->now + gh_time_from_ms(BROKEN_DELAY_MS));
}

static void post_run_event(model_t *m, life_t *life, const gh_task_id_t *task,
			   uint32_t run, gh_run_outcome_t outcome, gh_time_t at)
{
	run_event_t *event = model_alloc(m, sizeof(*event));

	*event = (run_event_t){
		.life = life, .task = *task, .run = run, .outcome = outcome
	};
	model_post(m, at, on_run_event, event);
}

static void on_run_event(model_t *m, void *data)
{
	const run_event_t *event = data;
	guint index = find_run(event->life, &event->task, event->run);
	const gh_step_t *step = model_step(m, &event->task);
	bool complete;

	if (index == event->life->runs->len)
		return;
	/* What is being stopped may still end by itself. */
	if (g_array_index(event->life->runs, live_run_t, index).stopping ?
		    event->outcome != GH_RUN_STOPPED &&
			    event->outcome != GH_RUN_DONE :
		    event->outcome == GH_RUN_STOPPED)
		return;
	complete = step->gang && each_member(m, &event->task, event->run, NULL,
					     0) == step->tasks;
	if (step->gang && event->outcome == GH_RUN_GANG_INCOMPLETE && complete)
		return;
	if (!step->gang || event->outcome != GH_RUN_DONE)
		end_run_at(m, event->life, index, event->outcome);
	else if (complete)
		end_gang(m, &event->task, event->run);
}

/* The members of a gang end as done at one time. */
static void end_gang(model_t *m, const gh_task_id_t *task, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < MODEL_SLOTS; i++) {
		life_t *life = m->slots[i];
		guint r = 0;

		while (life && r < life->runs->len) {
			const live_run_t *member =
				&g_array_index(life->runs, live_run_t, r);

			if (member->run == run &&
			    member->task.step == task->step &&
			    !strcmp(member->task.job, task->job))
				end_run_at(m, life, r, GH_RUN_DONE);
			else
				r++;
		}
	}
}

static void end_run_at(model_t *m, life_t *life, guint index,
		       gh_run_outcome_t outcome)
{
	live_run_t run = g_array_index(life->runs, live_run_t, index);
	life_end_t end = { .number = ++life->last_end,
			   .task = run.task,
			   .run = run.run,
			   .outcome = outcome,
			   .at = m->now };

	g_array_remove_index_fast(life->runs, index);
	g_array_append_val(life->ends, end);
	note_over(life, &run.task, run.run);
	model_idle_note_run(m, &run.task);
	model_log(m, &run.task, "run %u ended at worker %s, start %d: %s",
		  run.run, life->id, (int)life->start_ms,
		  gh_run_outcome_name(outcome));
	model_note_end(m, life, &end);
	if (outcome != GH_RUN_DONE && model_step(m, &run.task)->gang)
		break_gang(m, &run.task, run.run);
	while (life->waiting->len)
		on_wait_over(m, life->waiting->pdata[0]);
}

static void note_over(life_t *life, const gh_task_id_t *task, uint32_t run)
{
	life_end_t over = { .task = *task, .run = run };
	guint i;

	for (i = 0; i < life->over->len; i++) {
		life_end_t *known = &g_array_index(life->over, life_end_t, i);

		if (!model_same_task(&known->task, task))
			continue;
		known->run = MAX(known->run, run);
		return;
	}
	g_array_append_val(life->over, over);
}

static bool is_over(const life_t *life, const gh_task_id_t *task, uint32_t run)
{
	guint i;

	for (i = 0; i < life->over->len; i++) {
		const life_end_t *known =
			&g_array_index(life->over, life_end_t, i);

		if (model_same_task(&known->task, task))
			return run <= known->run;
	}
	return false;
}

static guint find_run(const life_t *life, const gh_task_id_t *task,
		      uint32_t run)
{
	guint i;

	for (i = 0; i < life->runs->len; i++) {
		const live_run_t *known =
			&g_array_index(life->runs, live_run_t, i);

		if (known->run == run && model_same_task(&known->task, task))
			break;
	}
	return i;
}

static void execute_stop(model_t *m, life_t *life, worker_call_t *call)
{
	guint index = find_run(life, &call->task, call->run);

	respond(m, life, call, GH_ORDER_OK);
	if (index == life->runs->len) {
		note_over(life, &call->task, call->run);
		return;
	}
	if (g_array_index(life->runs, live_run_t, index).stopping)
		return;
	g_array_index(life->runs, live_run_t, index).stopping = true;
	post_run_event(m, life, &call->task, call->run, GH_RUN_STOPPED,
		       m->now + model_random_ms(m, 0, MODEL_STOP_MS));
}

static void execute_renewal(model_t *m, life_t *life, worker_call_t *call)
{
	guint i = 0;

	extend_lease(m, life, call->deadline_ms);
	if (call->acked_end)
		model_note_ack(m, life, call->acked_end);
	while (i < life->ends->len)
		if (g_array_index(life->ends, life_end_t, i).number <=
		    call->acked_end)
			g_array_remove_index(life->ends, i);
		else
			i++;
	if (!call->max_wait_ms || life->ends->len) {
		fill_report(m, life, call);
		respond(m, life, call, GH_ORDER_OK);
		return;
	}
	g_ptr_array_add(life->waiting, call);
	model_post(m, m->now + gh_time_from_ms(call->max_wait_ms), on_wait_over,
		   call);
}

static void on_wait_over(model_t *m, void *data)
{
	worker_call_t *call = data;
	life_t *life = m->slots[call->slot];

	if (!life || !g_ptr_array_remove(life->waiting, call))
		return;
	fill_report(m, life, call);
	respond(m, life, call, GH_ORDER_OK);
}

static void fill_report(model_t *m, const life_t *life, worker_call_t *call)
{
	gh_worker_report_t *report = &call->report;
	guint i;

	*report = (gh_worker_report_t){
		.requested_at = call->sent_at,
		.incarnation_start_ms = life->start_ms,
		.clock_ms = life_clock_ms(m, life),
		.complete = true,
		.runs = model_alloc(m, life->runs->len * sizeof(*report->runs)),
		.n_runs = life->runs->len,
		.ends = model_alloc(m, life->ends->len * sizeof(*report->ends)),
		.n_ends = life->ends->len,
	};
	for (i = 0; i < life->runs->len; i++) {
		const live_run_t *run =
			&g_array_index(life->runs, live_run_t, i);

		report->runs[i].task = run->task;
		report->runs[i].run = run->run;
		report->runs[i].progress_percent =
			model_step(m, &run->task)->long_running ?
				100 :
				(uint32_t)(gh_time_to_ms(m->now) / 50 % 100);
	}
	for (i = 0; i < life->ends->len; i++) {
		const life_end_t *end =
			&g_array_index(life->ends, life_end_t, i);

		report->ends[i].number = end->number;
		report->ends[i].task = end->task;
		report->ends[i].run = end->run;
		report->ends[i].outcome = end->outcome;
	}
}

/* Leases: a deadline never shortens, and is cut to the longest lease. */

static void extend_lease(model_t *m, life_t *life, int64_t deadline_ms)
{
	int64_t clock_ms = life_clock_ms(m, life);
	lease_event_t *event;

	deadline_ms = MIN(deadline_ms, clock_ms + MODEL_LEASE_MAX_MS);
	if (deadline_ms <= life->deadline_ms || deadline_ms <= clock_ms)
		return;
	life->deadline_ms = deadline_ms;
	event = model_alloc(m, sizeof(*event));
	*event = (lease_event_t){ .life = life, .deadline_ms = deadline_ms };
	model_post(m,
		   life->started_at +
			   (gh_time_t)((double)gh_time_from_ms(deadline_ms) /
				       life->clock_rate),
		   on_lease_end, event);
}

static void on_lease_end(model_t *m, void *data)
{
	const lease_event_t *event = data;
	life_t *life = event->life;

	if (!life->up || life->deadline_ms != event->deadline_ms)
		return;
	life->lapsed_at = m->now;
	model_log(m, NULL, "lease of worker %s, start %d, ends", life->id,
		  (int)life->start_ms);
	while (life->runs->len)
		end_run_at(m, life, 0, GH_RUN_LEASE_EXPIRED);
}

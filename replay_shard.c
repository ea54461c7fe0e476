/*
 * Policy for tasks that uses the decision core: each shard of the document has
 * a shard owner.  Commits take COMMIT_DELAY_USEC; workers reply at once.
 */
#include "replay_task.h"

#include <inttypes.h>
#include <string.h>

#define TICK_INTERVAL_USEC (20 * GH_USEC_PER_MSEC)
#define COMMIT_DELAY_USEC (10 * GH_USEC_PER_MSEC)
/* Age of the measured usage that a worker's simulated report contains. */
#define USAGE_LAG_USEC (3 * GH_USEC_PER_SEC)
/* Time from the declared end of a task to the poll of its worker. */
#define POLL_MARGIN_USEC (10 * GH_USEC_PER_MSEC)
/* Simulated wall clock at the start of the trace. */
#define START_WALL_MS 1000000
#define FIRST_EPOCH 1

/* Kind of a wakeup, passed as the data of replay_task_schedule_wakeup(). */
enum wakeup_kind {
	WAKEUP_TICK,
	/* Periodic poll of a worker, the subject of the wakeup. */
	WAKEUP_POLL,
	/* Single poll of a worker when one of its tasks should have ended. */
	WAKEUP_POLL_ONCE,
};

/* A simulated shard owner. */
typedef struct owner {
	gh_shard_t *shard;
	gh_handle_t domain;
	uint32_t index;
	/* Number of the commit that is not confirmed yet; 0: none. */
	uint64_t pending_commit;
	gh_time_t commit_done_at;
} owner_t;

typedef struct shard_policy {
	owner_t *owners;
	size_t n_owners;
	size_t shards_per_domain;
} shard_policy_t;

typedef void (*action_handler_t)(replay_task_sim_t *sim, owner_t *owner,
				 gh_handle_t worker, const gh_action_t *action);

static void *shard_create(replay_task_sim_t *sim);
static void shard_destroy(replay_task_sim_t *sim);
static void shard_submit_job(replay_task_sim_t *sim, const replay_job_t *job);
static void shard_cancel_job(replay_task_sim_t *sim, const replay_job_t *job);
static void shard_handle_end(replay_task_sim_t *sim, replay_run_t *run);
static void shard_handle_mode_change(replay_task_sim_t *sim,
				     gh_handle_t worker);
static void shard_handle_wakeup(replay_task_sim_t *sim, uint32_t subject,
				void *data);
static owner_t *find_job_owner(replay_task_sim_t *sim, const replay_job_t *job);
static owner_t *find_worker_owner(replay_task_sim_t *sim, gh_handle_t worker);
static void tick(replay_task_sim_t *sim, owner_t *owner);
static void poll_worker(replay_task_sim_t *sim, gh_handle_t worker);
static void fill_report(replay_task_sim_t *sim, const replay_run_t *run,
			gh_report_task_t *task);
static void apply_actions(replay_task_sim_t *sim, owner_t *owner);
static void apply_start(replay_task_sim_t *sim, owner_t *owner,
			gh_handle_t worker, const gh_action_t *action);
static void apply_stop(replay_task_sim_t *sim, owner_t *owner,
		       gh_handle_t worker, const gh_action_t *action);
static void apply_bar(replay_task_sim_t *sim, owner_t *owner,
		      gh_handle_t worker, const gh_action_t *action);
static void apply_throttle(replay_task_sim_t *sim, owner_t *owner,
			   gh_handle_t worker, const gh_action_t *action);
static void apply_forget(replay_task_sim_t *sim, owner_t *owner,
			 gh_handle_t worker, const gh_action_t *action);
static gh_now_t current_time(const replay_task_sim_t *sim);

static const action_handler_t action_handlers[GH_ACTION_COUNT] = {
	[GH_ACTION_START] = apply_start,
	[GH_ACTION_STOP] = apply_stop,
	[GH_ACTION_BAR] = apply_bar,
	[GH_ACTION_THROTTLE] = apply_throttle,
	[GH_ACTION_FORGET] = apply_forget,
};

const replay_task_ops_t replay_shard_ops = {
	.create = shard_create,
	.submit = shard_submit_job,
	.cancel = shard_cancel_job,
	.handle_end = shard_handle_end,
	.handle_mode_change = shard_handle_mode_change,
	.handle_wakeup = shard_handle_wakeup,
	.destroy = shard_destroy,
};

static void *shard_create(replay_task_sim_t *sim)
{
	const gh_document_t *doc = sim->trace->doc;
	shard_policy_t *policy = g_new0(shard_policy_t, 1);
	gh_now_t now = current_time(sim);
	size_t i;

	policy->shards_per_domain = (size_t)doc->policy.shards_per_domain;
	policy->n_owners = doc->n_domains * policy->shards_per_domain;
	policy->owners = g_new0(owner_t, policy->n_owners);
	for (i = 0; i < policy->n_owners; i++) {
		owner_t *owner = &policy->owners[i];
		gh_shard_setup_t setup = {
			.owner = "replay",
			.domain = doc->domains[i / policy->shards_per_domain]
					  .name,
			.index = (uint32_t)(i % policy->shards_per_domain),
			.seed = sim->trace->seed + i,
		};

		owner->domain = (gh_handle_t)(i / policy->shards_per_domain);
		owner->index = setup.index;
		owner->shard = gh_shard_new(&setup);
		gh_shard_configure(owner->shard, doc, &now);
		gh_shard_begin(owner->shard, FIRST_EPOCH, now.wall_ms, &now);
	}
	/* Spread the polls of the workers over the poll interval. */
	for (i = 0; i < doc->n_workers; i++)
		replay_task_schedule_wakeup(
			sim,
			gh_time_from_ms(doc->policy.worker_poll_ms) *
				(gh_time_t)i / (gh_time_t)doc->n_workers,
			(uint32_t)i, GINT_TO_POINTER(WAKEUP_POLL));
	replay_task_schedule_wakeup(sim, 0, 0, GINT_TO_POINTER(WAKEUP_TICK));
	return policy;
}

static void shard_destroy(replay_task_sim_t *sim)
{
	shard_policy_t *policy = sim->policy_state;
	size_t i;

	for (i = 0; i < policy->n_owners; i++) {
		gh_shard_counts_t counts =
			gh_shard_take_counts(policy->owners[i].shard);

		sim->result->evicted += counts.evicted;
		sim->result->cancelled += counts.jobs_cancelled;
		sim->result->workers_ejected += counts.workers_ejected;
		gh_shard_free(policy->owners[i].shard);
	}
	g_free(policy->owners);
	g_free(policy);
}

static void shard_submit_job(replay_task_sim_t *sim, const replay_job_t *job)
{
	GError *err = NULL;
	uint64_t commit;

	if (gh_shard_submit(find_job_owner(sim, job)->shard, &job->spec,
			    &commit, &err))
		return;
	sim->result->refused[gh_error_kind(err)]++;
	g_error_free(err);
}

static void shard_cancel_job(replay_task_sim_t *sim, const replay_job_t *job)
{
	uint64_t commit;

	gh_shard_cancel(find_job_owner(sim, job)->shard, job->spec.name,
			&commit, NULL);
}

static void shard_handle_end(replay_task_sim_t *sim, replay_run_t *run)
{
	(void)sim;
	(void)run;
}

static void shard_handle_mode_change(replay_task_sim_t *sim, gh_handle_t worker)
{
	(void)sim;
	(void)worker;
}

static void shard_handle_wakeup(replay_task_sim_t *sim, uint32_t subject,
				void *data)
{
	shard_policy_t *policy = sim->policy_state;
	size_t i;

	if (GPOINTER_TO_INT(data) != WAKEUP_TICK)
		poll_worker(sim, (gh_handle_t)subject);
	if (GPOINTER_TO_INT(data) == WAKEUP_POLL_ONCE)
		return;
	if (GPOINTER_TO_INT(data) == WAKEUP_POLL) {
		replay_task_schedule_wakeup(
			sim,
			sim->now +
				gh_time_from_ms(
					sim->trace->doc->policy.worker_poll_ms),
			subject, data);
		return;
	}
	for (i = 0; i < policy->n_owners; i++)
		tick(sim, &policy->owners[i]);
	replay_task_schedule_wakeup(sim, sim->now + TICK_INTERVAL_USEC, 0,
				    data);
}

/* Returns the owner of the first shard of the job's domain. */
static owner_t *find_job_owner(replay_task_sim_t *sim, const replay_job_t *job)
{
	shard_policy_t *policy = sim->policy_state;
	gh_handle_t domain =
		gh_document_domain(sim->trace->doc, job->spec.domain);

	return &policy->owners[domain * policy->shards_per_domain];
}

static owner_t *find_worker_owner(replay_task_sim_t *sim, gh_handle_t worker)
{
	shard_policy_t *policy = sim->policy_state;
	const gh_worker_t *w = sim->workers[worker].worker;

	return &policy->owners[w->domain * policy->shards_per_domain +
			       w->shard];
}

static void tick(replay_task_sim_t *sim, owner_t *owner)
{
	gh_now_t now = current_time(sim);
	char *records;

	gh_shard_tick(owner->shard, true, INT64_MAX, &now);
	if (owner->pending_commit && sim->now >= owner->commit_done_at) {
		gh_shard_confirm_commit(owner->shard, owner->pending_commit);
		owner->pending_commit = 0;
	}
	if (!owner->pending_commit) {
		records = gh_shard_take_records(owner->shard,
						&owner->pending_commit);
		if (!records)
			owner->pending_commit = 0;
		owner->commit_done_at = sim->now + COMMIT_DELAY_USEC;
		g_free(records);
	}
	apply_actions(sim, owner);
}

static void poll_worker(replay_task_sim_t *sim, gh_handle_t worker)
{
	replay_worker_t *host = &sim->workers[worker];
	owner_t *owner = find_worker_owner(sim, worker);
	const char *name = host->worker->name;
	gh_now_t now = current_time(sim);
	gh_report_t report = {
		.sent_at = sim->now,
		.usage_at_ms = now.wall_ms - gh_time_to_ms(USAGE_LAG_USEC),
		.n_tasks = host->runs->len,
	};
	size_t i;

	if (host->mode == REPLAY_MODE_DOWN) {
		gh_shard_handle_poll_failure(owner->shard, name, now.boot,
					     &now);
		return;
	}
	if (gh_shard_should_renew(owner->shard, name))
		gh_shard_extend_lease(
			owner->shard, name,
			now.wall_ms + sim->trace->doc->policy.task_lease_ms);
	report.tasks = g_new0(gh_report_task_t, report.n_tasks + 1);
	for (i = 0; i < report.n_tasks; i++)
		fill_report(sim, g_ptr_array_index(host->runs, i),
			    &report.tasks[i]);
	gh_shard_handle_report(owner->shard, name, &report, &now);
	g_free(report.tasks);
	apply_actions(sim, owner);
}

static void fill_report(replay_task_sim_t *sim, const replay_run_t *run,
			gh_report_task_t *task)
{
	g_strlcpy(task->task, run->task, sizeof(task->task));
	task->attempt = run->attempt;
	task->state = run->state;
	task->measured = run->started_at + USAGE_LAG_USEC <= sim->now;
	task->cores_milli = run->job->true_cores_milli * run->cpu_percent / 100;
	task->memory_mb = run->job->spec.memory_mb;
}

/* Applies the actions of an owner; a worker that is down gives no reply. */
static void apply_actions(replay_task_sim_t *sim, owner_t *owner)
{
	gh_action_t action;

	while (gh_shard_next_action(owner->shard, &action)) {
		gh_handle_t worker =
			gh_document_worker(sim->trace->doc, action.worker);
		gh_now_t now = current_time(sim);

		if (sim->workers[worker].mode == REPLAY_MODE_DOWN)
			gh_shard_handle_reply(owner->shard, &action,
					      GH_REPLY_UNKNOWN, NULL, &now);
		else
			action_handlers[action.kind](sim, owner, worker,
						     &action);
		gh_action_clear(&action);
	}
}

static void apply_start(replay_task_sim_t *sim, owner_t *owner,
			gh_handle_t worker, const gh_action_t *action)
{
	gh_now_t now = current_time(sim);
	gh_time_t declared_run = gh_time_from_ms(action->spec->run_ms);
	int64_t progress_usec =
		action->resume_checkpoint ?
			g_ascii_strtoll(action->resume_checkpoint, NULL, 10) :
			0;

	replay_task_start(sim, worker,
			  replay_task_find_job(sim, action->spec->name),
			  action->task, action->attempt, progress_usec);
	if (declared_run > progress_usec)
		replay_task_schedule_wakeup(
			sim,
			sim->now + POLL_MARGIN_USEC + declared_run -
				progress_usec,
			worker, GINT_TO_POINTER(WAKEUP_POLL_ONCE));
	gh_shard_handle_reply(owner->shard, action, GH_REPLY_OK, NULL, &now);
}

static void apply_stop(replay_task_sim_t *sim, owner_t *owner,
		       gh_handle_t worker, const gh_action_t *action)
{
	replay_run_t *run = replay_task_find_run(sim, worker, action->task,
						 action->attempt);
	gh_now_t now = current_time(sim);
	char checkpoint[32];

	if (!run || run->state != GH_REPORT_RUNNING) {
		gh_shard_handle_reply(owner->shard, action, GH_REPLY_NOT_FOUND,
				      NULL, &now);
		return;
	}
	replay_task_stop(sim, run);
	g_snprintf(checkpoint, sizeof(checkpoint), "%" PRId64,
		   run->progress_usec);
	gh_shard_handle_reply(owner->shard, action, GH_REPLY_OK,
			      action->save_checkpoint ? checkpoint : NULL,
			      &now);
}

static void apply_bar(replay_task_sim_t *sim, owner_t *owner,
		      gh_handle_t worker, const gh_action_t *action)
{
	replay_run_t *run = replay_task_find_run(sim, worker, action->task,
						 action->attempt);
	gh_now_t now = current_time(sim);

	gh_shard_handle_reply(owner->shard, action,
			      run && run->state == GH_REPORT_RUNNING ?
				      GH_REPLY_RUNNING :
				      GH_REPLY_OK,
			      NULL, &now);
}

static void apply_throttle(replay_task_sim_t *sim, owner_t *owner,
			   gh_handle_t worker, const gh_action_t *action)
{
	replay_run_t *run = replay_task_find_run(sim, worker, action->task,
						 action->attempt);
	gh_now_t now = current_time(sim);

	if (run && run->state == GH_REPORT_RUNNING)
		replay_task_throttle(sim, run, action->cpu_percent);
	gh_shard_handle_reply(owner->shard, action,
			      run ? GH_REPLY_OK : GH_REPLY_NOT_FOUND, NULL,
			      &now);
}

static void apply_forget(replay_task_sim_t *sim, owner_t *owner,
			 gh_handle_t worker, const gh_action_t *action)
{
	replay_run_t *run = replay_task_find_run(sim, worker, action->task,
						 action->attempt);
	gh_now_t now = current_time(sim);

	if (run)
		replay_task_forget(sim, run);
	gh_shard_handle_reply(owner->shard, action, GH_REPLY_OK, NULL, &now);
}

static gh_now_t current_time(const replay_task_sim_t *sim)
{
	return (gh_now_t){
		.boot = sim->now,
		.wall_ms = START_WALL_MS + gh_time_to_ms(sim->now),
	};
}

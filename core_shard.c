/*
 * State of a shard's owner: configuration, submissions and cancellations, and
 * the queue of actions that are held back until their records are committed.
 */
#include "core_shard_state.h"

#include <string.h>

#define TOKENS_PER_EVICTION 1000000

static gh_handle_t resolve_worker(void *ctx, const char *name);
static const char *worker_name(void *ctx, gh_handle_t worker);
static gh_handle_t resolve_department(void *ctx, const char *name);
static uint16_t resolve_kind(void *ctx, const char *name);
static void count_resources(void *ctx, gh_handle_t worker,
			    gh_handle_t department, const gh_resources_t *size,
			    bool add);
static void count_unfinished_job(void *ctx, gh_handle_t department, int n);
static void configure_workers(gh_shard_t *shard, const gh_document_t *doc,
			      gh_time_t now);
static void configure_departments(gh_shard_t *shard, const gh_document_t *doc);
static bool check_new_job(gh_shard_t *shard, const gh_job_spec_t *spec,
			  GError **err);
static bool check_task_size(gh_shard_t *shard, const gh_job_spec_t *spec,
			    gh_handle_t department, GError **err);
static bool is_start_current(gh_shard_t *shard, const gh_action_t *action);
static void end_unsent_attempt(gh_shard_t *shard, const gh_action_t *action);
static void fill_start_action(gh_shard_t *shard, gh_action_t *action,
			      const gh_task_t *task);
static void free_deferred_action(void *item);

gh_shard_t *gh_shard_new(const gh_shard_setup_t *setup)
{
	gh_shard_t *shard = g_new0(gh_shard_t, 1);
	gh_task_callbacks_t callbacks = {
		.worker = resolve_worker,
		.worker_name = worker_name,
		.department = resolve_department,
		.kind = resolve_kind,
		.count_resources = count_resources,
		.count_unfinished_job = count_unfinished_job,
		.ctx = shard,
	};

	g_strlcpy(shard->owner, setup->owner, sizeof(shard->owner));
	g_strlcpy(shard->domain, setup->domain, sizeof(shard->domain));
	shard->index = setup->index;
	shard->seed = setup->seed;
	shard->on_event = setup->on_event;
	shard->event_ctx = setup->event_ctx;
	shard->tasks = gh_task_table_new(&callbacks);
	shard->place = gh_place_new();
	shard->quota = gh_quota_new();
	shard->slowdown = gh_slowdown_new();
	shard->workers = g_array_new(FALSE, TRUE, sizeof(gh_shard_worker_t));
	shard->records = g_string_new(NULL);
	shard->next_commit = 1;
	g_queue_init(&shard->deferred);
	return shard;
}

void gh_shard_free(gh_shard_t *shard)
{
	if (!shard)
		return;
	g_queue_clear_full(&shard->deferred, free_deferred_action);
	g_string_free(shard->records, TRUE);
	g_array_free(shard->workers, TRUE);
	gh_slowdown_free(shard->slowdown);
	gh_task_table_free(shard->tasks);
	gh_quota_free(shard->quota);
	gh_place_free(shard->place);
	g_free(shard);
}

void gh_shard_configure(gh_shard_t *shard, const gh_document_t *doc,
			const gh_now_t *now)
{
	gh_resources_t total;

	shard->policy = doc->policy;
	configure_workers(shard, doc, now->boot);
	configure_departments(shard, doc);
	total = gh_place_total(shard->place);
	gh_quota_total_set(shard->quota, &total);
}

bool gh_shard_replay(gh_shard_t *shard, const char *line, GError **err)
{
	return gh_task_replay(shard->tasks, line, err);
}

void gh_shard_begin(gh_shard_t *shard, uint64_t epoch, int64_t orphans_until_ms,
		    const gh_now_t *now)
{
	int64_t until =
		MAX(orphans_until_ms, gh_task_orphans_until(shard->tasks));
	size_t i;

	shard->epoch = epoch;
	shard->eviction_tokens =
		shard->policy.evictions_per_minute * TOKENS_PER_EVICTION;
	shard->tokens_refilled_at = now->boot;
	gh_task_set_owner(shard->tasks, shard->records, epoch, shard->owner,
			  until);
	for (i = 0; i < gh_place_count(shard->place); i++) {
		gh_task_ref_t ref =
			gh_task_first_on_worker(shard->tasks, (gh_handle_t)i);

		for (; ref != GH_TASK_NONE;
		     ref = gh_task_at(shard->tasks, ref)->next)
			gh_task_at(shard->tasks, ref)->unconfirmed = true;
	}
}

void gh_shard_shorten_orphan_wait(gh_shard_t *shard, int64_t until_ms)
{
	if (until_ms < gh_task_orphans_until(shard->tasks))
		gh_task_set_owner(shard->tasks, shard->records, shard->epoch,
				  shard->owner, until_ms);
}

bool gh_shard_submit(gh_shard_t *shard, const gh_job_spec_t *spec,
		     uint64_t *commit, GError **err)
{
	gh_job_ref_t job = gh_job_find(shard->tasks, spec->name);

	if (job == GH_JOB_NONE) {
		if (!check_new_job(shard, spec, err))
			return false;
		gh_job_submit(shard->tasks, shard->records, spec);
	} else if (!gh_job_spec_equal(gh_job_at(shard->tasks, job)->spec,
				      spec)) {
		gh_error_set(err, GH_E_JOB_EXISTS,
			     "job \"%s\" already exists with different content",
			     spec->name);
		return false;
	}
	shard->commit_urgent = true;
	*commit = shard->records->len ? shard->next_commit :
					shard->next_commit - 1;
	return true;
}

bool gh_shard_cancel(gh_shard_t *shard, const char *name, uint64_t *commit,
		     GError **err)
{
	gh_job_ref_t ref = gh_job_find(shard->tasks, name);
	gh_job_t *job;
	uint32_t i;

	if (ref == GH_JOB_NONE) {
		gh_error_set(err, GH_E_JOB_UNKNOWN, "job \"%s\" does not exist",
			     name);
		return false;
	}
	job = gh_job_at(shard->tasks, ref);
	if (!job->cancelled && !gh_job_finished(job)) {
		gh_job_cancel(shard->tasks, shard->records, ref);
		shard->counts.jobs_cancelled++;
		for (i = 0; i < job->spec->tasks; i++) {
			gh_task_ref_t task = job->first_task + i;

			if (!gh_task_has_open_attempt(
				    gh_task_at(shard->tasks, task)))
				continue;
			gh_task_set_stopping(shard->tasks, task);
			gh_shard_queue_action(shard, GH_ACTION_STOP, task,
					      false, 0);
		}
	}
	shard->commit_urgent = true;
	*commit = shard->records->len ? shard->next_commit :
					shard->next_commit - 1;
	return true;
}

void gh_shard_extend_lease(gh_shard_t *shard, const char *worker,
			   int64_t lease_ms)
{
	gh_handle_t handle = gh_place_find(shard->place, worker);
	gh_worker_health_t *health;

	if (handle == GH_HANDLE_NONE)
		return;
	health = &gh_shard_worker_at(shard, handle)->health;
	health->lease_end_ms = MAX(health->lease_end_ms, lease_ms);
}

bool gh_shard_should_renew(gh_shard_t *shard, const char *worker)
{
	gh_handle_t handle = gh_place_find(shard->place, worker);

	return handle != GH_HANDLE_NONE &&
	       gh_worker_should_renew(
		       &gh_shard_worker_at(shard, handle)->health);
}

char *gh_shard_take_records(gh_shard_t *shard, uint64_t *commit)
{
	char *records;

	if (!shard->records->len)
		return NULL;
	records = g_string_free(shard->records, FALSE);
	shard->records = g_string_new(NULL);
	shard->commit_urgent = false;
	*commit = shard->next_commit++;
	return records;
}

bool gh_shard_has_records(const gh_shard_t *shard, bool *urgent)
{
	*urgent = shard->commit_urgent;
	return shard->records->len != 0;
}

void gh_shard_confirm_commit(gh_shard_t *shard, uint64_t commit)
{
	shard->confirmed_commit = MAX(shard->confirmed_commit, commit);
}

bool gh_shard_next_action(gh_shard_t *shard, gh_action_t *action)
{
	gh_deferred_action_t *deferred;

	while ((deferred = g_queue_peek_head(&shard->deferred))) {
		if (deferred->commit > shard->confirmed_commit)
			return false;
		g_queue_pop_head(&shard->deferred);
		*action = deferred->action;
		g_free(deferred);
		if (action->kind != GH_ACTION_START ||
		    is_start_current(shard, action))
			return true;
		end_unsent_attempt(shard, action);
		gh_action_clear(action);
	}
	return false;
}

void gh_action_clear(gh_action_t *action)
{
	g_free(action->spec);
	g_free(action->resume_checkpoint);
	memset(action, 0, sizeof(*action));
}

char *gh_shard_snapshot(const gh_shard_t *shard)
{
	return gh_task_snapshot(shard->tasks);
}

gh_task_table_t *gh_shard_tasks(gh_shard_t *shard)
{
	return shard->tasks;
}

const gh_place_t *gh_shard_place(const gh_shard_t *shard)
{
	return shard->place;
}

const gh_quota_t *gh_shard_quota(const gh_shard_t *shard)
{
	return shard->quota;
}

const gh_worker_health_t *gh_shard_worker_health(const gh_shard_t *shard,
						 gh_handle_t worker)
{
	return &gh_shard_worker_at(shard, worker)->health;
}

gh_shard_counts_t gh_shard_take_counts(gh_shard_t *shard)
{
	gh_shard_counts_t counts = shard->counts;

	memset(&shard->counts, 0, sizeof(shard->counts));
	return counts;
}

gh_shard_worker_t *gh_shard_worker_at(const gh_shard_t *shard,
				      gh_handle_t worker)
{
	if (worker >= shard->workers->len)
		g_array_set_size(shard->workers, worker + 1u);
	return &g_array_index(shard->workers, gh_shard_worker_t, worker);
}

void gh_shard_update_usable(gh_shard_t *shard, gh_handle_t worker,
			    gh_time_t now)
{
	const gh_shard_worker_t *w = gh_shard_worker_at(shard, worker);
	uint32_t tasks = gh_place_worker(shard->place, worker)->tasks;

	gh_place_usable_set(shard->place, worker,
			    w->state == GH_HOST_ACTIVE && !w->full &&
				    !w->reserved &&
				    gh_worker_usable(&w->health, tasks, now));
}

void gh_shard_queue_action(gh_shard_t *shard, gh_action_kind_t kind,
			   gh_task_ref_t task, bool save_checkpoint,
			   uint32_t cpu_percent)
{
	const gh_task_t *t = gh_task_at(shard->tasks, task);
	gh_deferred_action_t *deferred = g_new0(gh_deferred_action_t, 1);
	gh_action_t *action = &deferred->action;

	deferred->commit = shard->records->len ? shard->next_commit :
						 shard->next_commit - 1;
	action->kind = kind;
	action->attempt = t->attempt;
	action->epoch = shard->epoch;
	action->save_checkpoint = save_checkpoint;
	action->cpu_percent = cpu_percent;
	gh_task_name(shard->tasks, task, action->task);
	g_strlcpy(action->worker,
		  gh_place_worker(shard->place, t->worker)->name,
		  sizeof(action->worker));
	if (kind == GH_ACTION_START)
		fill_start_action(shard, action, t);
	g_queue_push_tail(&shard->deferred, deferred);
}

bool gh_shard_evict(gh_shard_t *shard, gh_task_ref_t task)
{
	if (shard->eviction_tokens < TOKENS_PER_EVICTION)
		return false;
	shard->eviction_tokens -= TOKENS_PER_EVICTION;
	gh_task_set_stopping(shard->tasks, task);
	gh_shard_queue_action(shard, GH_ACTION_STOP, task, true, 0);
	return true;
}

void gh_shard_emit_attempt(gh_shard_t *shard, const char *name,
			   gh_task_ref_t task, const char *why, bool recorded)
{
	const gh_task_t *t = gh_task_at(shard->tasks, task);
	char text[GH_TASK_NAME_MAX + 1];
	gh_shard_event_t event = {
		.name = name,
		.task = text,
		.worker = gh_place_worker(shard->place, t->worker)->name,
		.attempt = t->attempt,
		.why = why,
		.commit = recorded ? shard->next_commit : 0,
	};

	if (!shard->on_event)
		return;
	gh_task_name(shard->tasks, task, text);
	gh_shard_emit(shard, &event);
}

void gh_shard_emit(const gh_shard_t *shard, const gh_shard_event_t *event)
{
	if (shard->on_event)
		shard->on_event(shard->event_ctx, event);
}

/* Takes one step of the splitmix64 pseudorandom generator. */
uint64_t gh_shard_random(gh_shard_t *shard)
{
	uint64_t z = shard->seed += 0x9e3779b97f4a7c15ULL;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
	return z ^ z >> 31;
}

/*
 * Returns the handle of the named worker.  A worker that is in the log but not
 * in the document is added with no capacity, so that the outcome of its
 * attempts can be found out.
 */
static gh_handle_t resolve_worker(void *ctx, const char *name)
{
	static const gh_resources_t no_size = { .cores_milli = 0 };
	gh_shard_t *shard = ctx;
	gh_handle_t worker = gh_place_find(shard->place, name);

	if (worker != GH_HANDLE_NONE)
		return worker;
	worker = gh_place_worker_set(shard->place, name, "", &no_size);
	gh_shard_worker_at(shard, worker)->state = GH_HOST_GONE;
	return worker;
}

static const char *worker_name(void *ctx, gh_handle_t worker)
{
	const gh_shard_t *shard = ctx;

	return gh_place_worker(shard->place, worker)->name;
}

/*
 * Returns the handle of the named department.  A department that is in the log
 * but not in the document is added with weight 1, no guarantee and a limit of 0
 * percent.
 */
static gh_handle_t resolve_department(void *ctx, const char *name)
{
	gh_shard_t *shard = ctx;
	gh_handle_t department = gh_quota_find(shard->quota, name);
	gh_department_t added = { .weight = 1 };

	if (department != GH_HANDLE_NONE)
		return department;
	g_strlcpy(added.name, name, sizeof(added.name));
	return gh_quota_department_set(shard->quota, &added);
}

static uint16_t resolve_kind(void *ctx, const char *name)
{
	const gh_shard_t *shard = ctx;

	return gh_slowdown_kind_id(shard->slowdown, name);
}

static void count_resources(void *ctx, gh_handle_t worker,
			    gh_handle_t department, const gh_resources_t *size,
			    bool add)
{
	gh_shard_t *shard = ctx;

	if (add) {
		gh_place_reserve(shard->place, worker, size);
		gh_quota_charge(shard->quota, department, size);
	} else {
		gh_place_release(shard->place, worker, size);
		gh_quota_release(shard->quota, department, size);
	}
}

static void count_unfinished_job(void *ctx, gh_handle_t department, int n)
{
	gh_shard_t *shard = ctx;

	gh_quota_jobs_add(shard->quota, department, n);
}

static void configure_workers(gh_shard_t *shard, const gh_document_t *doc,
			      gh_time_t now)
{
	static const gh_resources_t no_size = { .cores_milli = 0 };
	gh_handle_t domain = gh_document_domain(doc, shard->domain);
	size_t i;

	for (i = 0; i < gh_place_count(shard->place); i++)
		gh_shard_worker_at(shard, (gh_handle_t)i)->state = GH_HOST_GONE;
	for (i = 0; i < doc->n_workers; i++) {
		const gh_worker_t *w = &doc->workers[i];
		gh_resources_t size = { w->cores_milli, w->memory_mb,
					w->accelerators };
		gh_handle_t worker;

		if (w->domain != domain || w->shard != shard->index)
			continue;
		worker = gh_place_worker_set(shard->place, w->name, w->rack,
					     &size);
		gh_shard_worker_at(shard, worker)->state = w->state;
	}
	for (i = 0; i < gh_place_count(shard->place); i++) {
		gh_handle_t worker = (gh_handle_t)i;

		/*
		 * Only capacity of active workers counts towards the total that
		 * the departments share.
		 */
		if (gh_shard_worker_at(shard, worker)->state != GH_HOST_ACTIVE)
			gh_place_worker_set(
				shard->place,
				gh_place_worker(shard->place, worker)->name, "",
				&no_size);
		gh_shard_update_usable(shard, worker, now);
	}
}

static void configure_departments(gh_shard_t *shard, const gh_document_t *doc)
{
	size_t i;

	for (i = 0; i < gh_quota_count(shard->quota); i++) {
		const gh_quota_share_t *share =
			gh_quota_share(shard->quota, (gh_handle_t)i);
		gh_department_t absent = { .weight = 1 };

		g_strlcpy(absent.name, share->name, sizeof(absent.name));
		if (gh_document_department(doc, absent.name) == GH_HANDLE_NONE)
			gh_quota_department_set(shard->quota, &absent);
	}
	for (i = 0; i < doc->n_departments; i++)
		gh_quota_department_set(shard->quota, &doc->departments[i]);
}

static bool check_new_job(gh_shard_t *shard, const gh_job_spec_t *spec,
			  GError **err)
{
	gh_handle_t department = gh_quota_find(shard->quota, spec->department);
	const gh_quota_share_t *share;

	if (department == GH_HANDLE_NONE) {
		gh_error_set(err, GH_E_REFERENCE,
			     "department \"%s\" of job "
			     "\"%s\" is not in the document",
			     spec->department, spec->name);
		return false;
	}
	share = gh_quota_share(shard->quota, department);
	if (gh_job_count_unfinished(shard->tasks) >=
	    (uint64_t)shard->policy.jobs_max) {
		gh_error_set(
			err, GH_E_JOB_TABLE_FULL,
			"the shard is at its limit with %u unfinished jobs",
			gh_job_count_unfinished(shard->tasks));
		return false;
	}
	if (share->jobs >= share->jobs_max) {
		gh_error_set(err, GH_E_QUOTA,
			     "department \"%s\" is at its limit with %u "
			     "unfinished jobs",
			     share->name, share->jobs);
		return false;
	}
	return check_task_size(shard, spec, department, err);
}

static bool check_task_size(gh_shard_t *shard, const gh_job_spec_t *spec,
			    gh_handle_t department, GError **err)
{
	const gh_quota_share_t *share =
		gh_quota_share(shard->quota, department);
	gh_resources_t size = { spec->cores_milli, spec->memory_mb,
				spec->accelerators };
	const gh_place_worker_t *w;
	gh_handle_t largest;
	uint32_t share_ppm;

	if (!gh_place_feasible(shard->place, &size, &largest)) {
		if (largest == GH_HANDLE_NONE) {
			gh_error_set(err, GH_E_JOB_INFEASIBLE,
				     "the shard has no workers");
			return false;
		}
		w = gh_place_worker(shard->place, largest);
		gh_error_set(err, GH_E_JOB_INFEASIBLE,
			     "no worker is large enough for a task of job "
			     "\"%s\"; the "
			     "largest is \"%s\" with %u milli-cores, %u MB and "
			     "%u accelerators",
			     spec->name, w->name, w->size.cores_milli,
			     w->size.memory_mb, w->size.accelerators);
		return false;
	}
	share_ppm = gh_quota_dominant_share_ppm(shard->quota, &size);
	if (share_ppm <= share->limit_ppm)
		return true;
	gh_error_set(err, GH_E_QUOTA,
		     "one task of job \"%s\" exceeds the limit of "
		     "department \"%s\"",
		     spec->name, share->name);
	return false;
}

/*
 * Whether the attempt of a committed start is still the task's current attempt
 * and not yet started or stopped.
 */
static bool is_start_current(gh_shard_t *shard, const gh_action_t *action)
{
	gh_task_ref_t ref = gh_task_find(shard->tasks, action->task);
	const gh_task_t *t;

	if (ref == GH_TASK_NONE)
		return false;
	t = gh_task_at(shard->tasks, ref);
	return t->state == GH_TASK_INTENT && t->attempt == action->attempt;
}

/*
 * Ends an attempt that was cancelled before its start was sent.  It cannot have
 * run, so no worker needs to confirm its end.
 */
static void end_unsent_attempt(gh_shard_t *shard, const gh_action_t *action)
{
	gh_task_ref_t ref = gh_task_find(shard->tasks, action->task);
	const gh_task_t *t;

	if (ref == GH_TASK_NONE)
		return;
	t = gh_task_at(shard->tasks, ref);
	if (t->state != GH_TASK_STOPPING || t->attempt != action->attempt)
		return;
	gh_shard_emit_attempt(shard, "attempt_ended", ref,
			      "stopped before its start", true);
	gh_task_end_attempt(shard->tasks, shard->records, ref,
			    GH_END_NOT_STARTED, NULL);
}

static void fill_start_action(gh_shard_t *shard, gh_action_t *action,
			      const gh_task_t *task)
{
	const gh_job_t *job = gh_job_at(shard->tasks, task->job);

	action->not_after_ms = task->not_after_ms;
	action->spec = g_memdup2(job->spec, sizeof(*job->spec));
	action->resume_checkpoint = g_strdup(task->checkpoint);
}

static void free_deferred_action(void *item)
{
	gh_deferred_action_t *deferred = item;

	gh_action_clear(&deferred->action);
	g_free(deferred);
}

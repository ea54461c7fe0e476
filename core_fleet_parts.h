/*
 * What the core_fleet files call of each other.
 */
#ifndef CORE_FLEET_PARTS_H
#define CORE_FLEET_PARTS_H

#include "core_fleet_state.h"

/* Handle of an unused entry of the table, which grows if there is none. */
uint32_t fleet_entry_alloc(GArray *table, GArray *free_entries);
/* Puts the run into the list of its worker's runs, or takes it out. */
void fleet_run_link(gh_fleet_t *fleet, uint32_t handle);
void fleet_run_unlink(gh_fleet_t *fleet, uint32_t handle);
/* Adds what the run declares to what its worker's runs hold, or takes it off.
 */
void fleet_run_account(gh_fleet_t *fleet, const fleet_run_t *run, bool add);

/* Worker by handle; the pointer is invalid once the array of workers grows. */
fleet_worker_t *fleet_worker(const gh_fleet_t *fleet, uint32_t handle);
fleet_job_t *fleet_job(const gh_fleet_t *fleet, uint32_t handle);
fleet_run_t *fleet_run(const gh_fleet_t *fleet, uint32_t handle);
/* Handle of the worker with the id, or GH_NONE. */
uint32_t fleet_worker_find(const gh_fleet_t *fleet, const char *id);
uint32_t fleet_job_find(const gh_fleet_t *fleet, const char *id);

/*
 * Policy of the job's queue, or the defaults when the queue is not configured.
 */
const gh_queue_policy_t *fleet_job_policy(const gh_fleet_t *fleet,
					  const fleet_job_t *job);
/* Queues the job's change to be committed. */
void fleet_commit_add(gh_fleet_t *fleet, uint32_t handle);
/* Lets a queued change go ahead by the job's rank. */
void fleet_commit_hasten(gh_fleet_t *fleet, uint32_t handle);
/* Queues the job's change again, as its commit failed. */
void fleet_commit_handle_failure(gh_fleet_t *fleet, uint32_t handle);
/* Called for each committed change. */
void fleet_commit_handle_success(gh_fleet_t *fleet, uint32_t handle);
/* Commits the changes of a job that was set aside, or of all whose wait is
 * over.
 */
void fleet_commit_resume(gh_fleet_t *fleet, uint32_t handle);
void fleet_commit_check_aside(gh_fleet_t *fleet, gh_time_t now);
/* Queued changes that come before one that begins runs of the job. */
uint32_t fleet_commit_ahead(const gh_fleet_t *fleet, const fleet_job_t *job);
/*
 * Adds a job none of whose tasks was started; takes ownership of the pipeline.
 * guest: its home is another shard, and none of its tasks is here.
 */
uint32_t fleet_job_new(gh_fleet_t *fleet, gh_pipeline_t *pipeline, bool guest);
/*
 * Frees a job that has ended, whose end is committed and that has no open run.
 */
void fleet_job_free_if_finished(gh_fleet_t *fleet, uint32_t handle);
/* Whether the stage is due and all that it depends on are done. */
bool fleet_stage_is_ready(const fleet_job_t *job, uint32_t stage,
			  int64_t wall_ms);
/* What waits here, for the shard's load. */
void fleet_waits_tell(const gh_fleet_t *fleet, gh_waits_t *waits,
		      gh_time_t now);
/* Index of the stage that contains the task. */
uint32_t fleet_stage_index(const fleet_job_t *job, uint32_t task);

/*
 * Time after which a lease granted at a time has certainly ended at the worker.
 */
gh_time_t fleet_lease_end(const gh_fleet_t *fleet, gh_time_t granted_at);
/*
 * The same for the longest lease that a worker accepts.
 */
gh_time_t fleet_lease_longest_end(const gh_fleet_t *fleet,
				  gh_time_t granted_at);
/* Until then a call of a former owner may be executed that grants a lease. */
gh_time_t fleet_lease_former_grants_end(const gh_fleet_t *fleet);
/*
 * Extends the worker's lease; returns the lease deadline to send to the worker.
 */
gh_time_t fleet_lease_extend(gh_fleet_t *fleet, fleet_worker_t *worker,
			     gh_time_t now);
/* Takes in what the previous owner has told of workers it had not heard. */
void fleet_unheard_init(gh_fleet_t *fleet);
/*
 * When the lease of a worker with runs of previous owners has certainly ended:
 * bound, or earlier if they have told so.
 */
gh_time_t fleet_unheard_lease_end(const gh_fleet_t *fleet,
				  const fleet_worker_t *worker,
				  gh_time_t bound);
/* Start of the life that the previous owner knew, as it told; 0: it did not. */
int64_t fleet_unheard_start_ms(const gh_fleet_t *fleet,
			       const fleet_worker_t *worker);
/* When the previous owner's list says that a young life's lease has ended. */
gh_time_t fleet_unheard_young_end(const gh_fleet_t *fleet,
				  const fleet_worker_t *worker);
/* Whether a lease may be granted: the chain record does not name the worker. */
bool fleet_unheard_may_grant(const gh_fleet_t *fleet,
			     const fleet_worker_t *worker);
/*
 * Gives calls to the worker a new fence offset: once the worker's present life
 * has replied to one, it executes none that was sent before, to whichever life
 * of it.  The next renewal is due at once, and replies to earlier ones are not
 * used.
 */
void fleet_fence_raise(gh_fleet_t *fleet, fleet_worker_t *worker);
/*
 * Fence offset of calls to the worker by its handle; GH_NONE: to one that is
 * not known.
 */
uint32_t fleet_fence_of(const gh_fleet_t *fleet, uint32_t handle);
/*
 * Notes that the worker's present life may have been granted the longest lease
 * at a time, by a call to a former life: the deadline in it can be far in the
 * future of this life's clock.
 */
void fleet_lease_note_longest(gh_fleet_t *fleet, fleet_worker_t *worker,
			      gh_time_t granted_at);
/*
 * Notes the first report of the worker's present life, by which its age is
 * known: a call to a former life may have granted a young one the longest
 * lease, whether this owner knows of the restart or not.
 */
void fleet_lease_note_life(gh_fleet_t *fleet, fleet_worker_t *worker,
			   int64_t clock_ms, gh_time_t now);
/* The next owner is to count with the young worker's lease for all workers. */
void fleet_lease_tell_all(gh_fleet_t *fleet, fleet_worker_t *worker);
/* Notes that a call of a time that grants a lease got no reply. */
void fleet_lease_note_unanswered(fleet_worker_t *worker, gh_time_t sent_at);
/* Time after which no run on the worker is alive. */
gh_time_t fleet_lease_last_end(const fleet_worker_t *worker);
/* Whether the worker's lease can outlast one that is granted now. */
bool fleet_lease_is_long(const gh_fleet_t *fleet, const fleet_worker_t *worker);
/*
 * Notes that the worker has replied to a renewal of this owner: the worker
 * takes no order of a previous owner any more, so that its lease ends no later
 * than the longest one that it accepts, counted from now.
 */
void fleet_lease_bound(gh_fleet_t *fleet, fleet_worker_t *worker,
		       gh_time_t now);
/* Notes the end as done of a run that had been given up: its task is done. */
void fleet_task_note_done(gh_fleet_t *fleet, uint32_t job,
			  const gh_report_end_t *end, uint32_t worker,
			  gh_time_t now);
/*
 * Notes the start time (wall clock, ms; 0: not reported) of the worker's
 * incarnation.  If it has changed, the worker has restarted: the runs of the
 * previous incarnation are over and the numbering of ends starts anew.
 * told_by: what tells it, for the log.
 */
void fleet_worker_set_incarnation(gh_fleet_t *fleet, uint32_t handle,
				  int64_t start_ms, const char *told_by,
				  gh_time_t now);
/*
 * Handles the restart of a worker whose later life has replied to an order;
 * its start is not known until it reports.
 */
void fleet_worker_note_later_life(gh_fleet_t *fleet, uint32_t handle,
				  gh_time_t now);
/*
 * Frees a worker that service discovery does not list, that has no run and
 * whose last lease renewal has been replied to.
 */
void fleet_worker_free_if_unused(gh_fleet_t *fleet, uint32_t handle);

/* Id of a task by the task's index in its job. */
gh_task_id_t fleet_task_id(const fleet_job_t *job, uint32_t task);
bool fleet_same_task(const gh_task_id_t *a, const gh_task_id_t *b);
/* Index of a task in its job by the task's id, or GH_NONE. */
uint32_t fleet_task_find(const fleet_job_t *job, const gh_task_id_t *id);
/*
 * The task, or the task's stage, by the task's index in its job.  Its
 * occurrence is resident from then on; the pointer is valid until it is
 * released.
 */
fleet_task_t *fleet_task(const fleet_job_t *job, uint32_t task);
fleet_stage_t *fleet_task_stage(const fleet_job_t *job, uint32_t task);
/* The stage, or what stands for it while its occurrence is not resident. */
fleet_stage_t *fleet_stage(const fleet_job_t *job, uint32_t stage);
/* Index of the stage's first task. */
uint32_t fleet_stage_first_task(const fleet_job_t *job, uint32_t stage);
/*
 * The task, as it is; NULL: its occurrence was not resident yet, so that
 * the task was never started.
 */
const fleet_task_t *fleet_task_peek(const fleet_job_t *job, uint32_t task);
/* Number of the job's resident stages; one of them, and its index. */
uint32_t fleet_resident_stage_count(const fleet_job_t *job);
fleet_stage_t *fleet_resident_stage(const fleet_job_t *job, uint32_t n,
				    uint32_t *index);
void fleet_occurrence_init_job(gh_fleet_t *fleet, uint32_t handle);
void fleet_occurrence_clear_job(fleet_job_t *job);
/* Whether all tasks of the occurrence are done and their memory is freed. */
bool fleet_occurrence_is_finished(const fleet_job_t *job, uint32_t number);
bool fleet_occurrence_is_resident(const fleet_job_t *job, uint32_t number);
/*
 * Number of the resident stages and, as one each, of those of all occurrences
 * that were not resident yet; the stage at a position among them, its index,
 * and how many stages it stands for.
 */
uint32_t fleet_open_stage_count(const fleet_job_t *job);
fleet_stage_t *fleet_open_stage(const fleet_job_t *job, uint32_t n,
				uint32_t *index, uint32_t *alike);
/* Frees the occurrence's memory if it is over. */
void fleet_occurrence_release(fleet_job_t *job, uint32_t number, gh_time_t now);
/* Holds what has become due while there is memory, and frees what is over. */
void fleet_occurrences_update(gh_fleet_t *fleet, gh_time_t now,
			      int64_t wall_ms);
const gh_step_t *fleet_task_step(const fleet_job_t *job, uint32_t task);
/* Handle of a task's open run by its run number, or GH_NONE. */
uint32_t fleet_run_find(const gh_fleet_t *fleet, const fleet_job_t *job,
			uint32_t task, uint32_t number);

/* The parts of the job's progress record (core_fleet_part.c). */
void fleet_parts_init_job(fleet_job_t *job);
void fleet_parts_clear_job(fleet_job_t *job);
/* The tasks of a part: from first to before end. */
void fleet_part_range(const fleet_job_t *job, uint32_t number, uint32_t *first,
		      uint32_t *end);
/* Text of a part as it is to be stored. */
char *fleet_part_format(const gh_fleet_t *fleet, const fleet_job_t *job,
			uint32_t number);
/* Notes the text that the store has of a part of a job in several. */
void fleet_part_note_loaded(fleet_job_t *job, uint32_t number, const char *text,
			    size_t len);
/* Max moves in each direction in the next change of the job. */
uint32_t fleet_parts_moves_max(const fleet_job_t *job);
/* Max entries of a commit that the next change takes for further parts. */
uint32_t fleet_parts_entries(const fleet_job_t *job);
/* Adds to the change what is to be stored, and the version that it shows. */
void fleet_parts_fill_change(const gh_fleet_t *fleet, fleet_job_t *job,
			     gh_fleet_change_t *change);
void fleet_parts_handle_commit(fleet_job_t *job);
void fleet_parts_handle_failure(fleet_job_t *job);

/* Queues the job's record to be committed. */
void fleet_job_mark_changed(gh_fleet_t *fleet, uint32_t handle);
/*
 * Sets the job's final phase, queues its record to be committed, and stops its
 * runs that have not ended.
 */
void fleet_job_end(gh_fleet_t *fleet, uint32_t handle, gh_job_phase_t phase,
		   gh_time_t now);

/* Adds an open run of the task in the given state; returns the run's handle. */
uint32_t fleet_run_open(gh_fleet_t *fleet, uint32_t job, uint32_t task,
			uint32_t worker, uint32_t number, run_state_t state,
			gh_time_t now);
/* Closes the run and applies its outcome to the task, the job and the worker.
 */
void fleet_run_end(gh_fleet_t *fleet, uint32_t handle, gh_run_outcome_t outcome,
		   const char *checkpoint, gh_time_t now);
/* Whether no start was sent: the run is planned, or its order is queued. */
bool fleet_run_is_unsent(const fleet_run_t *run);
/*
 * Queues a stop order for the run; a run whose intent is not committed yet ends
 * at once.
 */
void fleet_run_stop(gh_fleet_t *fleet, uint32_t handle, const char *why,
		    gh_time_t now);
void fleet_order_enqueue(gh_fleet_t *fleet, gh_order_kind_t kind,
			 uint32_t handle);
/* Queues a stop order for a run that is not open here. */
void fleet_stop_enqueue(gh_fleet_t *fleet, const char *worker,
			const char *address, const gh_task_id_t *task,
			uint32_t run);

/* Whether the worker that sent the reply has executed the stop, or needs none.
 */
bool fleet_stop_was_executed(gh_order_reply_t reply);

/* An empty table for gh_fleet.late_starts. */
GHashTable *fleet_late_new(void);
/* Whether a start order of the run may still be executed late. */
bool fleet_late_is_possible(const fleet_run_t *run, gh_time_t now);
/* Keeps the start orders of a run that ends if they may be executed late. */
void fleet_late_add(gh_fleet_t *fleet, const fleet_run_t *run,
		    gh_run_outcome_t outcome, gh_time_t now);
/*
 * Stops the runs that late orders may start on a worker that is heard anew.  It
 * may be any life of it; else it is the one that is known, and was only listed.
 */
void fleet_late_stop(gh_fleet_t *fleet, uint32_t handle, bool any_life,
		     gh_time_t now);
/* Processes the reply to a stop of a run that is not open. */
void fleet_late_handle_reply(gh_fleet_t *fleet, const char *id,
			     const gh_task_id_t *task, uint32_t run,
			     gh_order_reply_t reply, gh_time_t now);
/*
 * Takes note of a complete report whose runs are recorded: a run that was being
 * stopped by the time of the request is either listed or over.
 */
void fleet_late_handle_report(gh_fleet_t *fleet, uint32_t handle,
			      gh_time_t requested_at);
/* Whether a start order of the task may be executed late. */
bool fleet_late_has_task(const gh_fleet_t *fleet, const gh_task_id_t *task);
/* Forgets orders that can't be executed any more, and resends stops. */
void fleet_late_check(gh_fleet_t *fleet, gh_time_t now);

/*
 * Whether ticks come late, as the owner's processor is used up, so that calls
 * which can be spared are spared.
 */
bool fleet_is_late(const gh_fleet_t *fleet);
/* Ends all runs of a worker whose lease expired or which has restarted. */
void fleet_worker_end_runs(gh_fleet_t *fleet, uint32_t handle, const char *why,
			   gh_time_t now);
/* Takes over the domain and the coldness that the worker's entry tells. */
void fleet_domain_note_entry(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);
/*
 * Whether the domains to be emptied are known well enough to start a run.  Else
 * a domain may have been named so long ago that no start is allowed there.
 */
bool fleet_domain_is_heard(const gh_fleet_t *fleet, gh_time_t now);
/*
 * Whether the start order of the run may be sent.  Else the run has been taken
 * back, or is tried again later.
 */
bool fleet_domain_may_start(gh_fleet_t *fleet, uint32_t run, gh_time_t now);

/* Whether the worker is listed, reports, and neither drains nor is emptied. */
bool fleet_worker_is_heard(const fleet_worker_t *worker);
/* Cores that the worker's runs leave; negative if it has shrunk. */
int64_t fleet_worker_free_cores_milli(const fleet_worker_t *worker);
/* Whether no start is to be sent, as orders are of no use or can't be sent. */
bool fleet_worker_is_barred(const fleet_worker_t *worker, gh_time_t now);
/* Whether the worker was last heard at the address. */
bool fleet_worker_heard_at(const fleet_worker_t *worker, const char *address);

/*
 * Queues the acknowledgement of a run's end, to be sent to the worker once the
 * job's present version is committed.
 */
void fleet_ack_add(gh_fleet_t *fleet, uint32_t worker, uint64_t number,
		   uint32_t job);
/* Advances the worker's acked_end over the ends of runs that are committed. */
void fleet_acks_advance(gh_fleet_t *fleet, uint32_t handle);

/* Updates the fleet's counters and the worker's health after a run's end. */
void fleet_health_record_end(gh_fleet_t *fleet, const fleet_run_t *run,
			     gh_run_outcome_t outcome, gh_time_t now);
/* Stops runs that make no progress and quarantines their workers. */
void fleet_health_check(gh_fleet_t *fleet, gh_time_t now);
/*
 * Whether a run may start on the worker now: it is not in quarantine, and after
 * one it gets a single run as a probe.
 */
bool fleet_health_is_usable(const fleet_worker_t *worker, gh_time_t now);

/* Forgets the placements that failed in the last tick. */
void fleet_choose_begin(gh_fleet_t *fleet);
/*
 * Worker with the lowest cost that may run the task, or GH_NONE; not the one
 * with the handle excluded_worker.
 */
uint32_t fleet_choose_worker(gh_fleet_t *fleet, fleet_job_t *job, uint32_t task,
			     uint32_t excluded_worker, gh_time_t now);
/* Whether the job's tasks are not bound by the best-effort share. */
bool fleet_choose_is_overdue(const fleet_job_t *job, gh_time_t now);
/*
 * Whether a task of the stage has waited for so long that it starts where it
 * may well fail.
 */
bool fleet_choose_is_desperate(const gh_fleet_t *fleet, const fleet_job_t *job,
			       uint32_t stage, gh_time_t now);
/*
 * Whether the workers' free capacity suffices for the gang.  The best-effort
 * share may still forbid it.
 */
bool fleet_choose_fits_gang(const gh_fleet_t *fleet, const fleet_job_t *job,
			    uint32_t stage, gh_time_t now);
/* Whether free capacity is all that the worker lacks to run the stage's task.
 */
bool fleet_choose_lacks_capacity(const gh_fleet_t *fleet,
				 const fleet_job_t *job, uint32_t stage,
				 uint32_t handle, gh_time_t now);
/* Whether a task of the stage starts in quarantine once it is desperate. */
bool fleet_choose_has_last_resort(const gh_fleet_t *fleet,
				  const fleet_job_t *job, uint32_t stage,
				  gh_time_t now);
/*
 * Appends how many workers can't run the task and for which reasons, "workers:"
 * followed by a number and a name for each reason.
 */
void fleet_choose_append_obstacles(gh_fleet_t *fleet, fleet_job_t *job,
				   uint32_t task, GString *text, gh_time_t now);
/*
 * A task of the job whose turn has come and that is not done, if possible one
 * without an open run; GH_NONE: there is none.
 */
uint32_t fleet_plan_next_task(const fleet_job_t *job, int64_t wall_ms);
/* Takes note that a planned run is committed. */
void fleet_budget_note_begun(gh_fleet_t *fleet);
/* Sets what may be planned in this tick. */
void fleet_budget_begin(gh_fleet_t *fleet, gh_time_t now);
/* Whether the run is planned and its commit may never succeed. */
bool fleet_budget_is_stuck(const fleet_run_t *run, gh_time_t now);
/* Whether runs of another stage may be planned, or one more copy. */
bool fleet_budget_allows(gh_fleet_t *fleet);
/* The same of a stage of the job, whose change may be queued already. */
bool fleet_budget_allows_job(gh_fleet_t *fleet, const fleet_job_t *job);
/*
 * Lets the oldest jobs have their share; false: there is enough for all.
 */
bool fleet_budget_begin_oldest(gh_fleet_t *fleet);
void fleet_budget_end_oldest(gh_fleet_t *fleet);
/* Reports jobs that wait although nothing of them runs. */
void fleet_idle_check(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms);
/* Reserves a worker for a long-running task of a job that has waited for long.
 */
void fleet_reserve_worker(gh_fleet_t *fleet, uint32_t handle, uint32_t stage,
			  uint32_t task, gh_time_t now);

/* Notes that a worker with runs became unreachable or has restarted. */
void fleet_crash_note_outage(gh_fleet_t *fleet, gh_time_t now);
/*
 * Marks the runs of a worker that has crashed, so that their ends as lost count
 * as crashes of their tasks.  silent: the worker's lease ran out, which is no
 * proof.
 */
void fleet_crash_mark_runs(gh_fleet_t *fleet, uint32_t handle, bool silent,
			   gh_time_t now);
/*
 * Counts a marked run, lost with its worker, as a crash or as a lost start; a
 * crash may end the job as failed.
 */
void fleet_crash_count(gh_fleet_t *fleet, const fleet_run_t *run,
		       gh_time_t now);
/* Takes note that a report lists the run: its worker has survived it so far. */
void fleet_crash_clear(gh_fleet_t *fleet, uint32_t ref, gh_time_t now);
/*
 * Resolves doubts when the worker has reported: takes back what was counted for
 * this life of the worker, which was only unreachable, and counts as crashes
 * what was lost with a former life at the same id or address.
 */
void fleet_crash_handle_report(gh_fleet_t *fleet, uint32_t handle,
			       gh_time_t now);
/*
 * Resolves doubts when another incarnation has replied at the worker's address.
 */
void fleet_crash_handle_restart(gh_fleet_t *fleet, uint32_t handle,
				gh_time_t now);
/*
 * Takes note of a complete report that does not list a run of a previous owner:
 * its worker has restarted since, or its start was never executed.
 */
void fleet_crash_mark_unlisted(gh_fleet_t *fleet, uint32_t ref, gh_time_t now);
/* Takes note of the first sign that the run has begun. */
void fleet_crash_note_begun(gh_fleet_t *fleet, uint32_t ref, gh_time_t now);
/* Whether the next owner has to know that the run of a suspect has begun. */
bool fleet_crash_is_begun_suspect(const fleet_run_t *run);
/*
 * Restores such a run of a previous owner; alone: nothing else was starting on
 * its worker, whose start time (wall clock, ms) was incarnation_start_ms.
 */
void fleet_crash_load_begun(gh_fleet_t *fleet, uint32_t ref, bool alone,
			    int64_t incarnation_start_ms);
/*
 * Next crash that is counted for the task and can still be taken back, or NULL;
 * *next is 0 before the first call.
 */
const fleet_doubt_t *fleet_crash_next_doubt(const gh_fleet_t *fleet,
					    const gh_task_id_t *id,
					    uint32_t *next);
/* Restores one that a previous owner has counted. */
void fleet_crash_load_doubt(gh_fleet_t *fleet, const gh_task_id_t *task,
			    uint32_t run, const char *worker,
			    int64_t incarnation_start_ms);
/* Whether runs of the task may have crashed their workers at their start. */
bool fleet_crash_is_suspect(const fleet_task_t *task);
/* Whether a crash or a lost start is counted for the task. */
bool fleet_crash_has_any(const fleet_task_t *task);
/* Whether the worker's next report is needed at once. */
bool fleet_crash_wants_report(const fleet_worker_t *worker, gh_time_t now);
/* Whether the task starts only where nothing else starts. */
bool fleet_crash_needs_care(const fleet_task_t *task);
/* Whether the task may start on the worker beside suspect tasks. */
bool fleet_crash_admits(const gh_fleet_t *fleet, uint32_t handle,
			const fleet_task_t *task, gh_time_t now);
/* Cost of the worker for the task on account of suspects. */
int64_t fleet_crash_cost(const gh_fleet_t *fleet, uint32_t handle,
			 const fleet_task_t *task, gh_time_t now);
/*
 * Whether a task that needs care may start on the worker now; else the worker
 * is kept for it for a while.
 */
bool fleet_crash_claim(gh_fleet_t *fleet, uint32_t handle, fleet_task_t *task,
		       const gh_step_t *step, gh_time_t now);
/* Lets tasks that start together wait for workers of their own together. */
void fleet_crash_join_waits(fleet_task_t *tasks, uint32_t n);
/* Updates the worker's suspects when a run is planned and when it ends. */
void fleet_crash_handle_start(gh_fleet_t *fleet, uint32_t ref);
void fleet_crash_handle_end(gh_fleet_t *fleet, uint32_t ref);

/* Id, in the interference model, of the image that the run executes. */
uint16_t fleet_run_image_id(const gh_fleet_t *fleet, const fleet_run_t *run);
/* Sets the paces of the worker's best-effort runs. */
void fleet_pace_update(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);
/*
 * What the worker's best-effort runs would use with one more of this step, as
 * a share of what the worker can give them without harm to long-running runs;
 * 1 is all of it.  Sets weight to the highest interference weight of the
 * step's image with the long-running images there.
 */
double fleet_best_effort_share(gh_fleet_t *fleet, fleet_worker_t *worker,
			       const gh_step_t *step, uint16_t image,
			       gh_time_t now, double *weight);

/*
 * Most milli-cores of one more best-effort run of the image with which
 * fleet_best_effort_share() is at most BEST_EFFORT_SHARE_MAX.
 */
double fleet_best_effort_room(gh_fleet_t *fleet, fleet_worker_t *worker,
			      uint16_t image, gh_time_t now);

/*
 * Passes one decision to the fleet's sink (gh_fleet_sink_t); worker may be
 * GH_NONE.
 */
void fleet_emit_event(const gh_fleet_t *fleet, const char *event,
		      const gh_task_id_t *task, uint32_t run, uint32_t worker,
		      const char *detail);

/* Headroom for urgent tasks (core_fleet_headroom.c). */

/* Takes in what urgent tasks ask for, and sets what is left free. */
void fleet_headroom_begin(gh_fleet_t *fleet, gh_time_t now);
/* Updates the cores that the runs on the run's worker hold. */
void fleet_headroom_account(gh_fleet_t *fleet, const fleet_run_t *run,
			    bool add);
/* Notes tasks of the step that found no worker. */
void fleet_headroom_note_waiting(gh_fleet_t *fleet, const fleet_job_t *job,
				 const gh_step_t *step, uint32_t tasks);
/* Forgets them: they are to be noted anew. */
void fleet_headroom_forget_waiting(gh_fleet_t *fleet);
/* Level of the job's queue. */
uint32_t fleet_headroom_level(const gh_fleet_t *fleet, const fleet_job_t *job);
/* Whether the long-running task comes after short ones that are as urgent. */
bool fleet_headroom_yields(const gh_fleet_t *fleet, const fleet_job_t *job,
			   uint32_t task);
/* Whether the task starts only where it leaves enough free. */
bool fleet_headroom_is_bound(const gh_fleet_t *fleet, const fleet_job_t *job,
			     uint32_t task, gh_time_t now);
/* Whether the task on the worker leaves enough free. */
bool fleet_headroom_admits(const gh_fleet_t *fleet, const fleet_job_t *job,
			   uint32_t task, const fleet_worker_t *worker);

/* Parts of a decision step; see core_fleet_step.c. */

/* Ends the runs of workers whose lease has expired with certainty. */
void fleet_retry_expire_leases(gh_fleet_t *fleet, gh_time_t now);
/* Resends orders without a reply, or gives them up. */
void fleet_retry_orders(gh_fleet_t *fleet, gh_time_t now);
/* Stops the long-running runs of draining workers. */
void fleet_retry_drain(gh_fleet_t *fleet, gh_time_t now);
/* Places the tasks whose turn has come, in their order. */
void fleet_plan_place(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms);
/* Takes in the progress that a report tells of the run. */
void fleet_run_note_progress(fleet_run_t *run, uint32_t percent, gh_time_t now);
/* Copies stragglers and moves slow best-effort runs. */
void fleet_copy_check(gh_fleet_t *fleet, gh_time_t now);

#endif

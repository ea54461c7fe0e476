/*
 * Tasks that move to other shards, and the capacity that they look for.
 */
#ifndef CORE_FLEET_MOVE_H
#define CORE_FLEET_MOVE_H

#include "core_fleet_parts.h"

/* Tasks that move to other shards (core_fleet_move.c). */

/* Sets whether the job's tasks may move, and where they are. */
void fleet_move_init_job(fleet_job_t *job, bool guest);
void fleet_move_clear_job(fleet_job_t *job);
void fleet_move_set_place(fleet_job_t *job, uint32_t task, fleet_place_t place);
/* Decides which of the tasks that wait move to which shards. */
void fleet_move_decide(gh_fleet_t *fleet, gh_time_t now);
/*
 * Keeps a task here that is to move, unless the change that says so may be
 * committed; returns whether it is here.
 */
bool fleet_move_keep(fleet_job_t *job, uint32_t task);
/* Whether the task's line in the job's record tells that it is away. */
bool fleet_move_is_recorded(const fleet_task_t *task);
/* The number of moves in that line. */
uint32_t fleet_move_number(const fleet_task_t *task);
/* Adds the job's moves to the change. */
void fleet_move_fill_change(const gh_fleet_t *fleet, fleet_job_t *job,
			    gh_fleet_change_t *change);
void fleet_move_handle_commit(gh_fleet_t *fleet, uint32_t handle);
void fleet_move_handle_commit_failure(fleet_job_t *job);

/* Rooms in other shards (core_fleet_rooms.c). */

void fleet_rooms_init(gh_fleet_t *fleet);
void fleet_rooms_clear(gh_fleet_t *fleet);
/*
 * Takes a room for a task of the step from another shard's load; returns the
 * shard, or GH_NONE.
 */
uint32_t fleet_rooms_take(gh_fleet_t *fleet, const fleet_job_t *job,
			  const gh_step_t *step, gh_time_t now);
/* Appends whether other shards have rooms for the step, and since when. */
void fleet_rooms_append(const gh_fleet_t *fleet, const fleet_job_t *job,
			const gh_step_t *step, GString *text, gh_time_t now);

#endif

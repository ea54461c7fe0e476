/*
 * Text form of the message by which a task leaves one shard for another.
 *
 *   moved1 OCCURRENCE STEP INDEX FROM TO LAST-RUN MOVES CHECKPOINT
 *
 * The job's text follows, so that the other shard needs nothing else.  Earlier
 * versions refuse the text as a job.
 */
#ifndef CORE_MOVE_H
#define CORE_MOVE_H

#include <glib.h>

#include "core_fleet.h"

/* Text form of the move; to be freed with g_free(). */
char *gh_task_move_format(const gh_task_move_t *move, const gh_pipeline_t *job);
/*
 * Returns the job; NULL with GH_E_SYNTAX or GH_E_BAD_VALUE when the text is not
 * that of a move of one of the job's long-running tasks.
 */
gh_pipeline_t *gh_task_move_parse(const char *text, gh_task_move_t *move,
				  GError **err);
/*
 * The task's index in its job, as in progress records; UINT32_MAX: the job has
 * no such task.
 */
uint32_t gh_task_move_index(const gh_task_move_t *move,
			    const gh_pipeline_t *job);

#endif

/*
 * Public header of libgeraniumhoist: the decision parts of the scheduler.
 *
 * Every part is a deterministic state machine: calls pass the event and the
 * time, and the part returns its decision.  Nothing here does I/O, reads a
 * clock, starts a thread or draws random numbers.
 */
#ifndef GERANIUMHOIST_H
#define GERANIUMHOIST_H

#include "error.h"
#include "core_time.h"
#include "core_document.h"
#include "core_claim.h"
#include "core_credit.h"
#include "core_executor.h"
#include "core_queue.h"
#include "core_retry.h"
#include "core_route.h"
#include "core_lease.h"
#include "core_place.h"
#include "core_quota.h"
#include "core_worker.h"
#include "core_slowdown.h"
#include "core_task.h"
#include "core_shard.h"

#endif

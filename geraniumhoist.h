/*
 * Public header of libgeraniumhoist, the decision core of the scheduler.
 *
 * Each module is a deterministic state machine: the caller passes an event and
 * the time, and the module returns its decision.  No module does I/O, reads a
 * clock, starts a thread or generates random numbers.
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

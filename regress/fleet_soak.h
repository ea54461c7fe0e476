/*
 * Soak of the fleet scheduler in simulated time, on a model of the workers, the
 * store and the hosts.
 *
 * The environment variables SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS set the
 * first seed, the number of seeds and the simulated time of each;
 * SOAK_DISRUPTIONS limits the disruptions to those named, such as
 * "cut,kill=3", with their weights, or changes the weights of the default ones,
 * such as "+late=4,-restart".  SOAK_QUEUES sets the number of queues.  With
 * SOAK_TIMES_OFF, runs of most jobs take eight times what they declare, or an
 * eighth.  With SOAK_UNBOUND, calls do not keep to connections on which the
 * life that they name has replied.
 */
#ifndef FLEET_SOAK_H
#define FLEET_SOAK_H

#include "fleet_model.h"

#define QUIET_MS 32000 /* of each seed, without disruptions at the end */

typedef struct soak_case {
	const char *name;
	unsigned rules;
	uint32_t shards; /* 0: one */
	const char *disruptions;
	uint64_t seed, seeds;
	int64_t quiet_ms;
	uint32_t queues; /* of different priorities; 0: one */
	bool times_off;	 /* as with SOAK_TIMES_OFF */
	bool unbound;	 /* as with SOAK_UNBOUND, unless SOAK_SEED is set */
} soak_case_t;

/* Fails if a seed breaks one of the rules; prints the events of the first. */
void soak(const soak_case_t *c);

#endif

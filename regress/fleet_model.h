/*
 * Simulated environment of the fleet scheduler: workers, the store and hosts
 * that own the shard in turn, in simulated time and with disruptions.  One seed
 * determines a whole run.  The model keeps to the users' protocol, and checks
 * the starts of runs on the workers.
 */
#ifndef FLEET_MODEL_H
#define FLEET_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef enum model_disruption {
	/* Calls to a worker: without replies, slow, or executed later. */
	DISRUPT_REPLIES,
	DISRUPT_SLOW,
	DISRUPT_LATE,
	DISRUPT_CUT, /* between one host and one worker */
	DISRUPT_UNHEALTHY,
	DISRUPT_CRASH,	 /* another worker follows at the address */
	DISRUPT_RESTART, /* under the same id */
	DISRUPT_MOVE,	 /* the same, at another address */
	DISRUPT_DRAIN,
	/* The worker's entry in service discovery. */
	DISRUPT_VANISH,
	DISRUPT_UNREADABLE,
	DISRUPT_SHRINK,
	DISRUPT_STORE_REPLIES,
	DISRUPT_STORE_LATE,
	DISRUPT_STORE_CUT, /* between one host and the store */
	DISRUPT_STORE_DOWN,
	DISRUPT_FREEZE,
	DISRUPT_KILL,
	DISRUPT_RELEASE,
	/*
	 * Off by default: the owner record is deleted while its lease is alive;
	 * an entry names another worker's address or another start for a while;
	 * a call reaches the next life under the same id; a worker restarts
	 * while connection attempts wait for it, which reach the next life.
	 */
	DISRUPT_RECORD,
	DISRUPT_WRONG_ADDRESS,
	DISRUPT_WRONG_START,
	DISRUPT_LATE_NEXT_LIFE,
	DISRUPT_RECONNECT,
	/* Off by default as well: a failure domain is to be emptied. */
	DISRUPT_EMPTY,
	DISRUPTIONS
} model_disruption_t;

/* Rules whose breach ends a run, as bits. */
typedef enum model_rule {
	RULE_TWICE = 1,
	RULE_ORDER = 2, /* of a job's steps */
	RULE_CAPACITY = 4,
	RULE_IDLE = 8,	/* tasks wait beside workers with capacity */
	RULE_OVER = 16, /* runs of jobs that were over for a while */
	/* In the store, a task belongs to one shard or is in one message. */
	RULE_PLACE = 32,
	/* Nothing starts in a domain some time after it is to be emptied. */
	RULE_EMPTIED = 64
} model_rule_t;

typedef struct model_options {
	unsigned rules;
	uint64_t seed;
	int64_t duration_ms;
	/*
	 * Without disruptions at the end, and with jobs as in the field; 0:
	 * off.
	 */
	int64_t quiet_ms;
	uint32_t weights[DISRUPTIONS]; /* relative frequency; 0: off */
	uint32_t shards;	       /* 0: one */
	bool times_off; /* runs of most jobs take far from what they declare */
	/* Each call goes over a new connection, which any life may answer. */
	bool unbound;
	/* Jobs belong to so many queues, each of a priority; 0: one. */
	uint32_t queues;
} model_options_t;

typedef struct model_result {
	/* Events up to the first breach of a rule; NULL: none was broken. */
	char *breach;
	uint32_t starts, done, lives, owners;
	uint32_t moves;	     /* of tasks between shards */
	uint32_t most_moves; /* of one task */
	/* Samples that RULE_IDLE judged, and the longest wait in them. */
	uint32_t idle_samples;
	int64_t longest_idle_ms;
} model_result_t;

const char *model_disruption_name(model_disruption_t disruption);
/* Weights of all disruptions that are on by default. */
void model_default_weights(uint32_t weights[DISRUPTIONS]);
/* Runs the model; the caller frees the breach of the result. */
void model_run(const model_options_t *options, model_result_t *result);

#endif

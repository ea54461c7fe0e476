/*
 * Starts a small system for a test: a key-value service, workers, executors
 * and entry hosts in one or more failure domains.  Each host has its own
 * loopback address, and a relay can interrupt every path between them.
 *
 * Links of the relay, each named after the host that it leads to or from:
 *
 *   store.ENTRY     from an entry host to the store
 *   executor.NAME   to an executor
 *   worker.NAME     to a worker
 *   peer.ENTRY      to an entry host's peer port (UDP)
 *   console.ENTRY   to an entry host's console port
 */
#ifndef SYSTEM_H
#define SYSTEM_H

#include <stdbool.h>
#include <stdint.h>

#include "proc.h"

#define SYSTEM_HOSTS_MAX 24
#define SYSTEM_SLOTS 8
#define SYSTEM_SECRET "secret"

typedef struct system_options {
	unsigned domains;
	unsigned entries;   /* entry hosts in each domain */
	unsigned executors; /* executors in each domain */
	unsigned workers;   /* workers in each domain */
	int64_t run_ms;	    /* default run time of a request on an executor */
	unsigned worker_cores; /* cores of each worker; 0: default of 4 */
	bool no_ready_wait;    /* do not wait until entry hosts are ready */
	const char *policy;    /* additional lines of [policy], or NULL */
	const char
		*extra_groups; /* additional groups of the document, or NULL */
	bool default_policy;   /* keep policy defaults, no short test periods */
	bool no_relay;	       /* connect hosts directly, without the relay */
} system_options_t;

typedef struct system_host {
	proc_t proc;
	char name[24];
	char ip[24];
	char address[32]; /* "IP:PORT"; of an entry host: its front for callers
			   */
	unsigned domain;
} system_host_t;

typedef struct system {
	system_options_t options;
	char *dir;   /* directory of the settings files */
	char *block; /* loopback address prefix, see proc_reserve_block() */
	int lock;    /* file descriptor that reserves the address block */
	proc_t store;
	proc_t relay;
	char store_address[32];
	char relay_address[32];
	system_host_t entries[SYSTEM_HOSTS_MAX];
	system_host_t executors[SYSTEM_HOSTS_MAX];
	system_host_t workers[SYSTEM_HOSTS_MAX];
	unsigned n_entries;
	unsigned n_executors;
	unsigned n_workers;
	uint64_t generation; /* generation of the last accepted document */
} system_t;

/*
 * Starts all processes, applies the document and waits until the entry hosts
 * are ready.  Fails the test on an error, as most functions here do.
 */
system_t *system_new(const system_options_t *options);
void system_free(system_t *sys);

/* Starts an entry host's process, which keeps no state of an earlier process.
 */
void system_entry_start(system_t *sys, unsigned entry);
/* Waits until an entry host reports ready at its front. */
void system_entry_wait_ready(system_t *sys, unsigned entry);

/*
 * Returns the document's text, for g_free().  leaving lists the entry hosts,
 * executors and workers in state "leaving", separated by blanks.
 */
char *system_document(const system_t *sys, const char *leaving);

/*
 * Proposes a document at an entry host, to replace that of generation
 * expected_generation.  The caller clears the response.
 */
proc_response_t system_apply(system_t *sys, unsigned entry, const char *text,
			     uint64_t expected_generation,
			     const char *operator_name);

/*
 * Proposes a document until it is accepted.  Fails the test when the document
 * is invalid, when access is denied or when the entry host exits.
 */
void system_apply_until_accepted(system_t *sys, unsigned entry,
				 const char *text);

/* Returns an entry host's current generation; 0 when it is unknown. */
uint64_t system_generation(system_t *sys, unsigned entry);

/*
 * Waits until an entry host, or each entry host if entry is -1, has a document
 * of at least this generation.  Skips hosts that are not running.
 */
void system_wait_generation(system_t *sys, int entry, uint64_t generation);

/* Returns the named counter of an entry host; 0 when the host does not respond.
 */
int64_t system_counter(system_t *sys, unsigned entry, const char *name);
/* Returns the sum of the named counter over the running entry hosts. */
int64_t system_counter_sum(system_t *sys, const char *name);

/* Sets the mode of the link KIND.NAME, for all callers. */
void system_set_link_mode(system_t *sys, const char *kind, const char *name,
			  const char *mode);

/*
 * Blocks connections from other domains' entry hosts to those of the domain
 * (in), or from these to the others (out).
 */
void system_cut_domain(system_t *sys, unsigned domain, bool in, bool out);
/* Sets all links of the relay to pass. */
void system_restore_links(system_t *sys);

/* Blocks or restores the paths of a domain's entry hosts to the store. */
void system_cut_store(system_t *sys, unsigned domain, bool cut);

/*
 * Submits a job at an entry host, as operator haddad or as operator_name, and
 * repeats this until the job is recorded.  Fails the test when the job is
 * refused as invalid or unauthorised, or is not recorded in time.
 */
void system_submit(system_t *sys, unsigned entry, const char *json);
void system_submit_as(system_t *sys, unsigned entry, const char *json,
		      const char *operator_name);
/* Submits a job once; the caller clears the response. */
proc_response_t system_submit_once(system_t *sys, unsigned entry,
				   const char *json, const char *operator_name);

/* Returns the number of runs in a state on all workers; NULL: in any state. */
int64_t system_count_task_runs(system_t *sys, const char *state);
/* Waits until at least min task runs are in the state (NULL: any state). */
void system_wait_task_runs(system_t *sys, const char *state, int64_t min);

/*
 * Checks the invariants of the workers: no worker exceeds its size, runs of a
 * task do not overlap, its attempt numbers increase, no run follows one that
 * is done, and an attempt resumes from the checkpoint of the stopped one
 * before it.  Fails the test otherwise.
 */
void system_check_tasks(system_t *sys);

/* Checks that no executor ever received more requests than it has slots. */
void system_check_executors(system_t *sys);

/* Returns an object of request keys to numbers of runs on all executors. */
json_t *system_request_runs(system_t *sys);

#endif

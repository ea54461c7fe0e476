/* State of the fleet model, shared by its files. */
#ifndef FLEET_MODEL_PRIVATE_H
#define FLEET_MODEL_PRIVATE_H

#include "core_fleet.h"
#include "core_heard.h"
#include "fleet_model.h"
#include "platform/platform_clock.h"

#define MODEL_SLOTS 7 /* addresses of workers */
#define MODEL_HOSTS 3 /* of each shard */
#define MODEL_SHARDS_MAX 2
#define MODEL_HOSTS_MAX (MODEL_HOSTS * MODEL_SHARDS_MAX)
#define MODEL_LEASE_MS 4500
#define MODEL_LEASE_MAX_MS 10000
#define MODEL_STOP_MS 500
#define MODEL_CAPACITY_MILLI 4000
#define MODEL_MEMORY_MB 1000000
#define MODEL_FIELD_MEMORY_MB 16000
/* Time for which all hosts are down as disruptions end. */
#define MODEL_DARK_MS 1000
#define MODEL_DOMAINS 2
#define MODEL_NONE UINT32_MAX

typedef struct model model_t;
typedef struct host host_t;
typedef struct life life_t;

typedef void (*model_work_t)(model_t *m, void *data);

typedef struct sim_event {
	gh_time_t at;
	uint64_t sequence; /* order of events at the same time */
	model_work_t run;
	void *data;
} sim_event_t;

typedef struct log_line {
	gh_time_t at;
	bool has_task;
	gh_task_id_t task;
	const char *text;
} log_line_t;

/* A call from a host to the worker at an address. */
typedef enum call_kind {
	CALL_START = GH_ORDER_START,
	CALL_STOP = GH_ORDER_STOP,
	CALL_PACE = GH_ORDER_PACE,
	CALL_RENEWAL
} call_kind_t;

typedef struct worker_call {
	call_kind_t kind;
	host_t *host;
	uint32_t boot;
	uint64_t generation;
	char worker[GH_WORKER_ID_MAX + 1];
	uint32_t slot;
	life_t *sent_to; /* the life at the address as the call was sent */
	bool connects;	 /* its connection attempt found no life yet */
	/* The life whose connection it goes over; NULL: over a new one. */
	life_t *bound_to;
	int64_t names;		   /* start of the life it is meant for */
	struct worker_call *order; /* sent after this probe; NULL: no probe */
	life_t *replied;
	int64_t replied_start_ms;
	gh_time_t sent_at;
	gh_time_t times_out_at;
	bool loses_reply;
	bool late;
	bool sent_again;
	bool finished; /* replied to, or out of time */
	uint64_t epoch;
	int64_t deadline_ms; /* on the worker's clock; 0: none */
	uint64_t acked_end;
	int64_t max_wait_ms;
	gh_task_id_t task;
	uint32_t run;
	gh_order_reply_t reply;
	int64_t clock_ms; /* of the worker that replied; 0: none */
	gh_worker_report_t report;
} worker_call_t;

typedef struct live_run {
	gh_task_id_t task;
	uint32_t run;
	bool stopping;
	gh_time_t started_at;
} live_run_t;

typedef struct life_end {
	uint64_t number;
	gh_task_id_t task;
	uint32_t run;
	gh_run_outcome_t outcome;
	gh_time_t at;
} life_end_t;

/* One life of a worker process. */
struct life {
	char id[GH_WORKER_ID_MAX + 1];
	uint32_t shard;
	uint32_t slot;
	int64_t start_ms;
	gh_time_t started_at;
	double clock_rate;
	bool up;
	bool draining;
	uint64_t epoch;
	int64_t deadline_ms; /* of its lease, on its own clock */
	gh_time_t lapsed_at;
	uint32_t capacity_milli;
	uint32_t memory_mb;
	const char *kind;
	uint64_t last_end;
	GArray *runs; /* live_run_t */
	GArray *ends; /* life_end_t, that are not forgotten */
	GArray *over; /* life_end_t: highest run of each task that is over */
	GPtrArray *waiting; /* worker_call_t: renewals that wait for an end */
};

/* A worker's entry in service discovery. */
typedef struct model_entry {
	char id[GH_WORKER_ID_MAX + 1];
	bool exists;
	bool unreadable;
	uint32_t shard;
	gh_worker_entry_t value;
} model_entry_t;

/* Disruptions of the calls to one worker. */
typedef struct model_link {
	gh_time_t loses_replies_until;
	gh_time_t slow_until;
	gh_time_t late_until;
	gh_time_t unhealthy_until;
	gh_time_t request_cut_until[MODEL_HOSTS_MAX];
	gh_time_t reply_cut_until[MODEL_HOSTS_MAX];
} model_link_t;

/* An end of a task as done. */
typedef struct done_end {
	const life_t *life;
	uint64_t number;
	gh_time_t at;
	bool noted;
	bool void_for_good; /* the worker's lease lapsed before it was noted */
	bool started_after;
} done_end_t;

typedef struct model_task {
	GArray *done;	  /* done_end_t; NULL: none */
	gh_time_t ran_at; /* last seen with a run; 0: not yet */
	uint32_t moves;
} model_task_t;

/* Connections of a host on which a life has replied. */
typedef struct model_connections {
	life_t *life;
	uint32_t n_idle;
} model_connections_t;

/* A job's state in the store. */
typedef struct model_state {
	uint64_t revision; /* 0: none */
	gh_job_phase_t phase;
} model_state_t;

/* The message by which a task moves to a shard. */
typedef struct model_message {
	const char *text; /* NULL: none */
	uint64_t revision;
	/* Of the deletion that each host has committed itself. */
	uint64_t gone[MODEL_HOSTS_MAX];
} model_message_t;

/* Records of a job that belong to one shard. */
typedef struct job_part {
	const char *progress;
	bool guest;		   /* the text of a guest is stored */
	model_message_t *messages; /* by task */
} job_part_t;

typedef struct model_job {
	gh_pipeline_t *pipeline;
	char *text;    /* of the pipeline */
	uint32_t home; /* shard */
	uint32_t n_tasks;
	model_task_t *tasks;
	bool hopeless;	 /* all runs of it fail */
	uint32_t deadly; /* step whose runs crash their workers, + 1; 0: none */
	uint32_t deadly_tasks; /* the first of that step */
	gh_time_t ran_at;      /* last seen with a run */
	/* Since when each task waits beside capacity for it; 0: it does not. */
	gh_time_t *waits_since;
	/* Records in the store. */
	bool exists;
	bool cancelled;
	uint32_t cancel_heard; /* bit of each host that knows of it */
	model_state_t state;
	uint64_t submitted_revision;
	gh_time_t over_at; /* when the state showed its end; 0: not yet */
	job_part_t parts[MODEL_SHARDS_MAX];
	/* The state that each host's directory knows. */
	model_state_t heard[MODEL_HOSTS_MAX];
} model_job_t;

/* A message that a commit writes or deletes. */
typedef struct model_move {
	uint32_t shard; /* that it is for */
	uint32_t task;
	const char *text;
} model_move_t;

typedef struct job_change {
	model_job_t *job;
	gh_job_phase_t phase;
	bool phase_changed;
	bool cancel_heard; /* the commit expects the cancelled state */
	/* With several shards: of the job's state; 0: not expected. */
	uint64_t expected_revision;
	bool guest, guest_is_new;
	model_move_t *departures, *arrivals;
	uint32_t n_departures, n_arrivals;
	uint64_t version;
	const char *progress;
} job_change_t;

typedef enum store_kind {
	STORE_GRANT,
	STORE_RENEW,
	STORE_GET_CHAIN,
	STORE_CLAIM,
	STORE_RESTORE,
	STORE_COMMIT,
	STORE_LOAD
} store_kind_t;

typedef enum store_result {
	STORE_OK,
	STORE_REFUSED,
	STORE_CONFLICT,
	STORE_NOT_FOUND,
	STORE_UNKNOWN
} store_result_t;

typedef struct store_call {
	store_kind_t kind;
	host_t *host;
	uint32_t boot;
	uint64_t generation;
	gh_time_t sent_at;
	gh_time_t times_out_at;
	bool loses_reply;
	bool finished;
	uint64_t lease; /* to renew or to bind the record to; granted one */
	uint64_t chain_revision;
	const char *chain_text;
	gh_time_t grants_told; /* in chain_text */
	bool releases;
	bool unanswered; /* a copy of the commit got no reply */
	job_change_t *changes;
	size_t n_changes;
	/* Reply; for a conflict, the present records. */
	store_result_t result;
	uint64_t revision;
	const char *chain_now;
	uint64_t chain_revision_now;
	uint32_t owner_now;
	uint64_t record_revision_now;
} store_call_t;

typedef struct store_lease {
	gh_time_t ends_at;
	bool ended;
} store_lease_t;

/* A shard's records in the store. */
typedef struct model_chain {
	const char *text; /* of the chain record; NULL: none yet */
	uint64_t revision;
	uint32_t owner; /* host in the owner record, or MODEL_NONE */
	uint64_t record_revision;
	uint64_t record_lease;
} model_chain_t;

typedef struct model_store {
	uint64_t revision;
	model_chain_t chains[MODEL_SHARDS_MAX];
	GArray *leases;	   /* store_lease_t, by id - 1 */
	bool leases_pause; /* while the store is down */
	gh_time_t down_until;
	gh_time_t loses_replies_until;
	gh_time_t late_until;
} model_store_t;

typedef enum host_phase {
	HOST_IDLE,
	HOST_CLAIMING,
	HOST_LOADING,
	HOST_OWNING,
	HOST_RELEASING
} host_phase_t;

/* A host and, while it owns the shard, its fleet; see fleet_owner.c. */
struct host {
	model_t *m;
	uint32_t index;
	uint32_t shard;
	bool up;
	uint32_t boot;
	gh_time_t frozen_until;
	bool advance_posted;
	gh_time_t store_cut_until;
	bool store_refuses; /* instead of giving no reply */
	host_phase_t phase;
	bool draining;
	bool record_absent;
	uint64_t generation;
	uint64_t epoch;
	uint64_t sequence;
	uint64_t chain_revision;
	uint64_t lease;
	uint64_t restore_lease;
	uint64_t record_revision;
	bool record_lost;
	bool restoring;
	bool previous_released;
	gh_time_t renewed_at;
	gh_time_t renew_at;
	gh_time_t renewal_sent_at;
	gh_time_t previous_grants_end;
	const char *previous_unheard;
	gh_time_t previous_unheard_from;
	gh_time_t claim_sent_at;
	gh_heard_t heard;      /* changes of the owner record */
	gh_time_t grants_told; /* last grant that the chain tells; 0: none */
	const char *claim_text;
	gh_time_t claim_at;
	gh_time_t commit_at;
	gh_time_t reread_at;
	gh_time_t load_at;
	gh_time_t load_heard_at; /* when the other shard's load was sent */
	store_call_t *batch;	 /* commit that awaits its outcome */
	gh_fleet_t *fleet;
	/* Which domains are to be emptied, and as of when; 0: not known. */
	bool domains[MODEL_DOMAINS];
	gh_time_t domains_heard_at;
	platform_clocks_t *clocks;
	model_connections_t connections[MODEL_SLOTS];
};

struct model {
	const model_options_t *options;
	model_result_t *result;
	uint64_t random_state;
	uint32_t weights[DISRUPTIONS];
	gh_time_t now;
	gh_time_t end;
	gh_time_t quiet_at; /* when disruptions end */
	bool disruptions_over;
	uint32_t sick; /* bits of addresses whose workers fail all runs */
	gh_time_t crashed_at; /* last crash of a worker by a task */
	int64_t job_period_ms;
	uint64_t sequence;
	GArray *events; /* sim_event_t: binary heap */
	GPtrArray *arena;
	GArray *log; /* log_line_t */
	life_t *slots[MODEL_SLOTS];
	model_link_t links[MODEL_SLOTS];
	GPtrArray *lives;
	GPtrArray *entries;
	uint32_t last_worker;
	int64_t last_start_ms;
	GPtrArray *jobs;
	uint32_t n_shards, n_hosts;
	uint32_t skew_percent; /* share of the jobs whose home is shard 0 */
	host_t hosts[MODEL_HOSTS_MAX];
	model_store_t store;
	gh_time_t emptied_from[MODEL_DOMAINS], emptied_until[MODEL_DOMAINS];
	bool workers_check_capacity;
	bool late_before_old; /* precedence of a worker's refusals */
	bool capacity_changed;
};

/* Random numbers and events. */
uint64_t model_random(model_t *m, uint64_t below);
bool model_chance(model_t *m, uint32_t percent);
/* Random time between two bounds in ms. */
gh_time_t model_random_ms(model_t *m, int64_t from_ms, int64_t to_ms);
void model_post(model_t *m, gh_time_t at, model_work_t run, void *data);
/* Zeroed memory that lives as long as the model. */
void *model_alloc(model_t *m, size_t size);
const char *model_strdup(model_t *m, const char *text);
void model_log(model_t *m, const gh_task_id_t *task, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/* Ends the run with the events of the task so far, if the rule counts. */
void model_breach(model_t *m, model_rule_t rule, const gh_task_id_t *task,
		  const char *what);
bool model_same_task(const gh_task_id_t *a, const gh_task_id_t *b);
model_job_t *model_job_find(const model_t *m, const char *id);
const gh_step_t *model_step(const model_t *m, const gh_task_id_t *task);
uint32_t model_task_index(const model_job_t *job, const gh_task_id_t *task);

/* Rules; see fleet_model_rules.c. */
void model_check_start(model_t *m, const life_t *life, const gh_task_id_t *task,
		       uint32_t run);
void model_note_end(model_t *m, const life_t *life, const life_end_t *end);
/* The worker is told that it may forget its ends up to a number. */
void model_note_ack(model_t *m, const life_t *life, uint64_t number);

/* A commit has changed the job's records. */
void model_check_places(model_t *m, const job_change_t *change);
/* Looks for runs of jobs that were over for a while. */
void model_check_over(model_t *m);

/* See fleet_model_domain.c. */
int64_t model_domain_empty_ms(const model_t *m);
/* Sets the domain in the worker's entry. */
void model_domain_name(const model_t *m, const life_t *life,
		       gh_worker_entry_t *entry);
void model_domain_boot(host_t *h);
/* The host has loaded its shard. */
void model_domain_load(host_t *h);
void model_domain_empty(model_t *m, uint32_t slot, gh_time_t until);
bool model_domain_is_emptied(const model_t *m, const life_t *life);
void model_domain_check_start(model_t *m, const life_t *life,
			      const worker_call_t *call);

/* See fleet_model_move.c. */
void model_move_start(model_t *m);
void model_move_add_job(model_t *m, model_job_t *job);
void model_move_boot(host_t *h);
void model_move_set_state(model_t *m, model_job_t *job, gh_job_phase_t phase,
			  uint64_t revision);
void model_move_presume(host_t *h, model_job_t *job);
void model_move_load(host_t *h);
bool model_move_fits(const host_t *h, const store_call_t *batch);
bool model_move_fill(host_t *h, job_change_t *change,
		     gh_fleet_change_t *from_fleet);
bool model_move_conflicts(const job_change_t *change);
void model_move_execute(model_t *m, const host_t *h, const job_change_t *change,
			uint64_t revision);
void model_move_committed(host_t *h, const job_change_t *change,
			  uint64_t revision);
void model_move_refused(host_t *h, const job_change_t *change);
/* Number of the places in the store to which the task belongs. */
uint32_t model_move_places(const model_t *m, const model_job_t *job,
			   uint32_t task);
/* A commit is sent; it may be disrupted if it has moves. */
void model_move_step(host_t *h, const store_call_t *batch);
void model_move_disrupt_both(model_t *m, model_disruption_t kind,
			     const host_t *h);
/* Does one disruption. */
void model_disrupt(model_t *m, model_disruption_t kind, uint32_t slot,
		   host_t *h);

/* See fleet_model_idle.c and fleet_model_field.c. */
void model_idle_start(model_t *m);
/* A run of the task is at work now. */
void model_idle_note_run(model_t *m, const gh_task_id_t *id);
void model_field_start(model_t *m);
void model_field_store_down(model_t *m, gh_time_t until);
/* Name of the queue with the priority. */
void model_queue_name(uint32_t priority, char name[GH_QUEUE_MAX + 1]);
gh_pipeline_t *model_field_pipeline(model_t *m, uint32_t number);
/* Whether a run on the worker fails, whatever its job. */
bool model_field_is_sick(const model_t *m, const life_t *life);
void model_field_set_faults(model_t *m, model_job_t *job);
void model_field_begin_run(model_t *m, life_t *life, const gh_task_id_t *task);

/* Workers. */
/* What the runs there take up, of which best-effort ones take no cores. */
gh_resources_t model_used(const model_t *m, const life_t *life);
life_t *life_start(model_t *m, const char *id, uint32_t slot);
void life_crash(model_t *m, life_t *life);
/* The worker crashes, and another follows at its address at a time. */
void model_crash(model_t *m, life_t *life, gh_time_t followed_at);
void life_free(life_t *life);
void life_register(model_t *m, void *data);
int64_t life_clock_ms(const model_t *m, const life_t *life);
void worker_call_send(model_t *m, worker_call_t *call);
void entry_changed(model_t *m, model_entry_t *entry);
model_entry_t *entry_find(const model_t *m, const char *id);

/* See fleet_model_connection.c. */
/* Sends a call, after a probe if no connection to its life is idle. */
void model_connection_send(model_t *m, worker_call_t *call);
/* A call is over; false: it was a probe, and its order goes on. */
bool model_connection_replied(model_t *m, worker_call_t *call);
/* Whether a reply's clock shows a later life than the order names. */
bool model_connection_shows_later(const model_t *m, const worker_call_t *call,
				  const life_t *life);

/* Store and hosts. */
void store_call_send(model_t *m, store_call_t *call);
void store_delete_record(model_t *m, uint32_t shard);
void store_go_down(model_t *m, gh_time_t until);
void host_boot(host_t *h);
void host_post_advance(host_t *h);
void host_kill(host_t *h);
void host_release(host_t *h);
void host_on_worker_reply(host_t *h, worker_call_t *call);
void host_on_store_reply(host_t *h, store_call_t *call);
/* Runs an event of a host: later if it is frozen, not at all if it is gone. */
bool host_is_ready(model_t *m, const host_t *h, uint32_t boot, model_work_t run,
		   void *data);
void hosts_record_changed(model_t *m, uint32_t shard);
/* The host that owns the shard and has loaded it, or NULL. */
const host_t *model_owner(const model_t *m, uint32_t shard);
void hosts_entry_changed(model_t *m, model_entry_t *entry);
void hosts_job_changed(model_t *m, model_job_t *job);
void hosts_free(model_t *m);

#endif

/*
 * Fake of the users' platform in one process: the key-value service, and
 * workers that start and stop runs of tasks.  All workers share one address;
 * the header X-Expected-Instance of a call names the worker.
 *
 * A task's payload is "MS", "MS fail" or "MS lasts": the time that a run
 * takes, and whether it ends as failed, or the task may run again after a run
 * that was done.
 * At each start of a run it records a violation when the task already runs on
 * any worker, or when the owner has acknowledged that the task is done; and at
 * an acknowledgement of that when the task was started since.  With workers of
 * "lives", the end does not count if the worker's lease lapsed after it.
 *
 * Control calls:
 *
 *   {"store":MODE}        mode of the key-value service: "up"; "down" does not
 *                         respond; "busy" responds 503; "lost" applies writes
 *                         without a response; "late" applies them later,
 *                         without a response; "gateway" applies writes and
 *                         responds 504; "crash" applies a write, closes its
 *                         connection without a response and is "busy" then
 *   {"value_max":N}       transactions with a longer value get 400 from now on;
 *                         0: none do
 *   {"lapse":true}        expires all leases of the key-value service
 *   {"keep_leases":true}  lets no lease of it expire from now on
 *   {"compact":true}      discards the history of changes
 *   {"hold_range":{"prefix":P,"ms":N}}
 *                         sends replies to range calls below the prefix P only
 *                         N ms after they were composed, or once the control
 *                         is set to a prefix that they are not below; {} holds
 *                         none
 *   {"hold_txn":{"prefix":P,"ms":N}}
 *                         sends replies to transactions that were applied and
 *                         expect first a key with the prefix P only after N ms
 *   {"config":{...}}      writes the key op/config
 *   {"put":{"key":KEY,"text":TEXT}}
 *                         writes a key
 *   {"delete":KEY}        deletes a key
 *   {"zones":N}           spreads the workers over the zones z0 to zN-1
 *   {"evacuate_ms":N}     a start in a zone that is to be evacuated for longer
 *                         is a violation; 0: it is not
 *   {"cores":MILLI}       size of each worker
 *   {"capacity":{"worker":ID,"cores":MILLI}}
 *                         size of one worker, which may run tasks
 *   {"unguarded":true}    workers start what they can't hold; it is a violation
 *                         if they could not hold it for GRACE_MS either
 *   {"workers":N}         adds N workers
 *   {"lives":{"workers":N,"groups":M,"idle_ms":L}}
 *                         adds N workers, each with an address, a clock and
 *                         connections of its own, which it closes when unused
 *                         for L ms, in M groups of the same size with a zone
 *                         each
 *   {"restart":{"workers":[ID,...],"dark_ms":N}}
 *                         ends the lives of these workers; after N ms they
 *                         have a new one under the same ids and addresses;
 *                         "entry_ms":N writes it to the store N ms later
 *   {"cut":{"workers":[ID,...],"for_ms":N}}
 *                         cuts these workers off from all callers
 *                         With "resets":true in "restart" or "cut", open
 *                         connections are reset at its begin instead of once
 *                         they are used after it; with "late":true, calls on
 *                         connections that were opened meanwhile are executed
 *                         although their callers have given up
 *   {"worker":"ID STATE"} state "ready" or "draining"; "silent" does not
 *                         respond; "dead" closes connections, and its runs no
 *                         longer count; "reborn", or any state after "dead",
 *                         starts a new incarnation
 */
#include <argtable2.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

/* Max items per reply, so few that lists need pages. */
#define PAGE_ITEMS_MAX 100
#define POLL_MS 5	  /* polling interval of calls that wait for a change */
#define LATE_WRITE_MS 800 /* delay of a write in store mode "late" */
#define LEASE_MAX_MS 10000 /* maximum duration of a worker's lease */
#define STOP_MS 20
/*
 * A lower capacity counts this long after it was listed: contact_ms and a
 * heartbeat.
 */
#define GRACE_MS 4000
#define RUN_CORES_MILLI 1000
/* Last byte of the first address of workers with addresses of their own. */
#define LIVES_HOST 150
/* Age of the first lives of these workers, so that their clocks are ahead. */
#define LIVES_AGE_MS 600000

typedef struct item {
	char *key;
	char *value; /* base64; NULL: the event is a deletion of the key */
	uint64_t revision;
	int64_t lease_id;   /* lease that the key is bound to; 0: none */
	int64_t created_ms; /* boot clock */
} item_t;

typedef struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t expires_ms; /* time of expiry, boot clock */
} lease_t;

typedef struct run {
	char *task;
	int64_t run_id;
	int64_t began_ms; /* boot clock */
	int64_t ends_ms;  /* time at which the run ends, boot clock */
	bool fails;
	bool long_running; /* the task may run again after a run that was done
			    */
} run_t;

typedef struct start {
	int64_t began_ms; /* boot clock */
	char *run;	  /* text for a violation */
} start_t;

typedef struct ended_run {
	int64_t sequence; /* number of this end of a run, counted from 1 on each
			     worker */
	char *task;
	int64_t run_id;
	int64_t began_ms, ended_ms; /* boot clock */
	const char *result;
	bool long_running;
} ended_run_t;

typedef struct worker {
	char id[32];
	fake_port_t *port; /* NULL: the platform's own */
	char *address;	   /* of the port */
	char zone[8];
	unsigned lives;
	const char *state;
	int64_t incarnation_start_ms; /* wall clock time */
	int64_t life_start_ms;	      /* boot clock */
	int64_t reborn_ms; /* next life begins, boot clock; 0: not dark */
	int64_t entry_ms;  /* from then to its entry in the store */
	int64_t listed_ms; /* entry is written, boot clock; 0: it was */
	int64_t cores_milli;
	int64_t former_cores_milli; /* before it last shrank */
	int64_t shrunk_ms;	    /* when it did, boot clock */
	int64_t fence_token;	    /* highest fence token received */
	int64_t lease_until_ms; /* expiry by the boot clock; 0: no lease yet */
	int64_t lapsed_ms;	/* last expiry, boot clock; 0: none */
	int64_t last_sequence;	/* sequence number of the last ended run */
	int64_t starts;
	int64_t acked_through;
	GPtrArray *runs;
	GPtrArray *ended_runs; /* ended runs not yet acknowledged */
	/* Task to the highest id of its ended runs. */
	GHashTable *last_ended_id;
} worker_t;

typedef struct platform {
	const fake_ops_t *ops;
	pthread_mutex_t lock;
	const char *address;
	int64_t started_ms; /* boot clock; times in violations count from it */
	const char *store_mode;
	json_int_t value_max; /* 0: no limit */
	GPtrArray *items;     /* current keys, of type item_t, sorted by key */
	GPtrArray *events; /* history of changes, of type item_t, by revision */
	uint64_t revision;
	uint64_t compacted_revision; /* revision up to which the history is
					discarded */
	char *hold_prefix; /* range calls whose replies are held; NULL: none */
	int64_t hold_ms;
	int64_t held;	       /* number of replies held at present */
	char *hold_txn_prefix; /* transactions whose replies are held, or NULL
				*/
	int64_t hold_txn_ms;
	GPtrArray *leases;
	bool keep_leases; /* leases do not expire */
	int64_t last_lease_id;
	int64_t worker_cores_milli;
	bool unguarded; /* workers don't guard their capacity */
	int64_t evacuate_ms;
	GPtrArray *workers;
	GPtrArray *late_writes; /* json_t, bodies of delayed transactions */
	GArray *late_due_ms; /* times at which late_writes are applied, int64_t,
				boot clock */
	/* Tasks done, and acknowledged by the owner, to how they were. */
	GHashTable *acked_tasks;
	GHashTable *last_starts; /* task to its last run, of type start_t */
	json_t *violations;	 /* JSON array of messages */
	int64_t shortened;	 /* leases granted for too long */
	int64_t starts;
	int64_t calls;
} platform_t;

static void platform_serve(void *self, const fake_request_t *req,
			   fake_reply_t *reply);
static bool platform_set(void *self, const char *key, const json_t *value);
static json_t *platform_show(void *self, const fake_request_t *req);
static void publish_worker(platform_t *p, const worker_t *w);

static const fake_ops_t ops = { .serve = platform_serve,
				.set_control = platform_set,
				.get_state = platform_show };

/* Key-value service. */

static item_t *find_item(platform_t *p, const char *key, guint *index)
{
	guint low = 0;
	guint high = p->items->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		item_t *item = p->items->pdata[middle];
		int order = strcmp(item->key, key);

		if (!order) {
			*index = middle;
			return item;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	*index = low;
	return NULL;
}

static void put_item(platform_t *p, const char *key, const char *value,
		     int64_t lease_id, uint64_t revision)
{
	item_t *event = g_new0(item_t, 1);
	guint index;
	item_t *item = find_item(p, key, &index);

	if (!item && value) {
		item = g_new0(item_t, 1);
		item->key = g_strdup(key);
		item->created_ms = fake_boot_ms();
		g_ptr_array_insert(p->items, (gint)index, item);
	}
	if (item && value) {
		g_free(item->value);
		item->value = g_strdup(value);
		item->revision = revision;
		item->lease_id = lease_id;
	} else if (item) {
		g_ptr_array_remove_index(p->items, index);
	} else {
		g_free(event);
		return;
	}
	event->key = g_strdup(key);
	event->value = g_strdup(value);
	event->revision = revision;
	event->lease_id = lease_id;
	g_ptr_array_add(p->events, event);
}

static void put_text(platform_t *p, const char *key, const char *text)
{
	char *value = g_base64_encode((const guchar *)text, strlen(text));

	put_item(p, key, value, 0, ++p->revision);
	g_free(value);
}

static json_t *show_item(const item_t *item)
{
	if (!item->value)
		return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
				 (json_int_t)item->revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "lease_id", (json_int_t)item->lease_id);
}

static bool revisions_match(platform_t *p, const json_t *expectations,
			    json_t *current_items)
{
	bool ok = true;
	size_t i;
	json_t *row;

	json_array_foreach(expectations, i, row)
	{
		const char *key = fake_json_string(row, "key", "");
		guint index;
		item_t *item = find_item(p, key, &index);
		uint64_t revision = item ? item->revision : 0;

		ok = ok &&
		     revision == (uint64_t)fake_json_int(row, "revision", 0);
		json_array_append_new(current_items,
				      item ? show_item(item) :
					     json_pack("{s:s,s:i}", "key", key,
						       "revision", 0));
	}
	return ok;
}

static bool is_known_lease(const platform_t *p, int64_t id)
{
	guint i;

	for (i = 0; i < p->leases->len; i++)
		if (((lease_t *)p->leases->pdata[i])->id == id)
			return true;
	return !id;
}

static void apply_txn(platform_t *p, const json_t *body, fake_reply_t *reply)
{
	const json_t *writes = json_object_get(body, "writes");
	const json_t *deletes = json_object_get(body, "delete");
	json_t *current_items = json_array();
	size_t i;
	json_t *row;

	if (!revisions_match(p, json_object_get(body, "expected_rev"),
			     current_items)) {
		reply->status = 412;
		reply->json = json_pack("{s:o}", "items", current_items);
		return;
	}
	json_decref(current_items);
	json_array_foreach(writes, i, row)
	{
		if (!is_known_lease(p, fake_json_int(row, "lease_id", 0))) {
			fake_reply_error(reply, 404, "lease");
			return;
		}
	}
	p->revision++;
	json_array_foreach(writes, i, row)
		put_item(p, fake_json_string(row, "key", ""),
			 fake_json_string(row, "value", ""),
			 fake_json_int(row, "lease_id", 0), p->revision);
	json_array_foreach(deletes, i, row)
		put_item(p, json_string_value(row), NULL, 0, p->revision);
	reply->status = 200;
	reply->json = json_pack("{s:I}", "revision", (json_int_t)p->revision);
}

static void serve_range(platform_t *p, const fake_request_t *req,
			fake_reply_t *reply)
{
	const char *prefix = fake_query(req, "prefix");
	const char *after = fake_query(req, "after");
	json_t *items = json_array();
	bool has_more = false;
	guint i;

	for (i = 0; i < p->items->len; i++) {
		const item_t *item = p->items->pdata[i];

		if (!g_str_has_prefix(item->key, prefix) ||
		    (after && strcmp(item->key, after) <= 0))
			continue;
		has_more = json_array_size(items) == PAGE_ITEMS_MAX;
		if (has_more)
			break;
		json_array_append_new(items, show_item(item));
	}
	reply->status = 200;
	reply->json = json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
				(int)has_more, "at", (json_int_t)p->revision);
}

/* Delays the reply to a range call, which is composed already. */
static void hold_range_reply(platform_t *p, const char *prefix)
{
	int64_t due_ms = fake_boot_ms() + p->hold_ms;

	if (!p->hold_prefix || !g_str_has_prefix(prefix, p->hold_prefix))
		return;
	p->held++;
	while (p->hold_prefix && g_str_has_prefix(prefix, p->hold_prefix) &&
	       fake_boot_ms() < due_ms) {
		pthread_mutex_unlock(&p->lock);
		fake_sleep_ms(POLL_MS);
		pthread_mutex_lock(&p->lock);
	}
	p->held--;
}

/* Delays the reply to a transaction, which is applied already. */
static void hold_txn_reply(platform_t *p, const json_t *body)
{
	const json_t *first =
		json_array_get(json_object_get(body, "expected_rev"), 0);

	if (!p->hold_txn_prefix ||
	    !g_str_has_prefix(fake_json_string(first, "key", ""),
			      p->hold_txn_prefix))
		return;
	pthread_mutex_unlock(&p->lock);
	fake_sleep_ms(p->hold_txn_ms);
	pthread_mutex_lock(&p->lock);
}

static void serve_watch(platform_t *p, const fake_request_t *req,
			fake_reply_t *reply)
{
	const char *prefix = fake_query(req, "prefix");
	uint64_t after = g_ascii_strtoull(fake_query(req, "after"), NULL, 10);
	int64_t deadline_ms =
		fake_boot_ms() +
		g_ascii_strtoll(fake_query(req, "wait_ms"), NULL, 10);
	json_t *events = json_array();
	guint i;

	for (;;) {
		if (after < p->compacted_revision) {
			json_decref(events);
			fake_reply_error(reply, 410, "history");
			return;
		}
		for (i = 0; i < p->events->len; i++) {
			const item_t *event = p->events->pdata[i];

			if (event->revision > after &&
			    g_str_has_prefix(event->key, prefix))
				json_array_append_new(events, show_item(event));
		}
		if (json_array_size(events) || fake_boot_ms() >= deadline_ms ||
		    strcmp(p->store_mode, "up") != 0)
			break;
		pthread_mutex_unlock(&p->lock);
		fake_sleep_ms(POLL_MS);
		pthread_mutex_lock(&p->lock);
	}
	reply->status = 200;
	reply->json = json_pack("{s:o,s:I}", "events", events, "at",
				(json_int_t)p->revision);
}

static void serve_lease(platform_t *p, const fake_request_t *req,
			fake_reply_t *reply)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->id = ++p->last_lease_id;
	lease->ttl_ms = fake_json_int(req->json, "ttl_ms", 1000);
	lease->expires_ms = fake_boot_ms() + lease->ttl_ms;
	g_ptr_array_add(p->leases, lease);
	reply->status = 200;
	reply->json = json_pack("{s:I,s:I}", "lease_id", (json_int_t)lease->id,
				"ttl_ms", (json_int_t)lease->ttl_ms);
}

static void serve_lease_renewal(platform_t *p, const char *id,
				fake_reply_t *reply)
{
	guint i;

	for (i = 0; i < p->leases->len; i++) {
		lease_t *lease = p->leases->pdata[i];

		if (lease->id != g_ascii_strtoll(id, NULL, 10))
			continue;
		lease->expires_ms = fake_boot_ms() + lease->ttl_ms;
		reply->status = 200;
		reply->json =
			json_pack("{s:I}", "ttl_ms", (json_int_t)lease->ttl_ms);
		return;
	}
	fake_reply_error(reply, 404, "lease");
}

static void remove_lease(platform_t *p, guint index)
{
	lease_t *lease = g_ptr_array_remove_index(p->leases, index);
	guint i = 0;

	while (i < p->items->len) {
		item_t *item = p->items->pdata[i];

		if (item->lease_id == lease->id)
			put_item(p, item->key, NULL, 0, ++p->revision);
		else
			i++;
	}
	g_free(lease);
}

/* Workers. */

/* Boot clock time at which the worker's own clock was 0. */
static int64_t clock_start_ms(const worker_t *w)
{
	return w->port ? w->life_start_ms : 0;
}

static int64_t worker_clock_ms(const worker_t *w)
{
	return fake_boot_ms() - clock_start_ms(w);
}

/* Names a run, its worker and the worker's life, for g_free(). */
static char *show_run(const platform_t *p, const worker_t *w, int64_t run_id,
		      int64_t began_ms)
{
	return g_strdup_printf("run %" PRId64 " on %s (life %u since %" PRId64
			       ") began at %" PRId64,
			       run_id, w->id, w->lives,
			       w->life_start_ms - p->started_ms,
			       began_ms - p->started_ms);
}

static void record_violation(platform_t *p, const char *violation,
			     const char *task, const char *run,
			     const char *other)
{
	char *text = g_strdup_printf("%s: %s, %s%s%s", violation, task, run,
				     *other ? "; " : "", other);

	json_array_append_new(p->violations, json_string(text));
	g_free(text);
}

static void free_run(gpointer data)
{
	g_free(((run_t *)data)->task);
	g_free(data);
}

static void end_run(worker_t *w, guint index, const char *result)
{
	run_t *run = g_ptr_array_steal_index(w->runs, index);
	ended_run_t *end = g_new0(ended_run_t, 1);

	end->sequence = ++w->last_sequence;
	end->task = g_strdup(run->task);
	end->run_id = run->run_id;
	end->began_ms = run->began_ms;
	end->ended_ms = fake_boot_ms();
	end->result = result;
	end->long_running = run->long_running;
	g_ptr_array_add(w->ended_runs, end);
	g_hash_table_replace(w->last_ended_id, g_strdup(run->task),
			     GINT_TO_POINTER(run->run_id));
	free_run(run);
}

static void reset_worker(worker_t *w)
{
	g_ptr_array_set_size(w->runs, 0);
	g_ptr_array_set_size(w->ended_runs, 0);
	g_hash_table_remove_all(w->last_ended_id);
	w->fence_token = w->lease_until_ms = w->last_sequence =
		w->acked_through = w->lapsed_ms = 0;
	w->incarnation_start_ms = fake_wall_ms();
	w->life_start_ms = fake_boot_ms();
	w->lives++;
}

static bool is_alive(const worker_t *w)
{
	return strcmp(w->state, "dead") != 0;
}

static void begin_life(worker_t *w)
{
	reset_worker(w);
	w->reborn_ms = 0;
	w->state = "ready";
	w->listed_ms = w->life_start_ms + w->entry_ms;
}

/* Ends expired leases and runs; applies writes and begins lives that are due.
 */
static void apply_elapsed_time(platform_t *p)
{
	int64_t now = fake_boot_ms();
	guint i, j;

	for (i = p->keep_leases ? 0 : p->leases->len; i > 0; i--)
		if (((lease_t *)p->leases->pdata[i - 1])->expires_ms < now)
			remove_lease(p, i - 1);
	for (i = 0; i < p->late_writes->len;) {
		fake_reply_t ignored = { 0 };

		if (g_array_index(p->late_due_ms, int64_t, i) > now) {
			i++;
			continue;
		}
		apply_txn(p, p->late_writes->pdata[i], &ignored);
		json_decref(ignored.json);
		json_decref(g_ptr_array_remove_index(p->late_writes, i));
		g_array_remove_index(p->late_due_ms, i);
	}
	for (i = 0; i < p->workers->len; i++) {
		worker_t *w = p->workers->pdata[i];

		if (w->reborn_ms && w->reborn_ms <= now)
			begin_life(w);
		if (w->listed_ms && w->listed_ms <= now) {
			w->listed_ms = 0;
			publish_worker(p, w);
		}
		if (!is_alive(w))
			continue;
		if (w->lease_until_ms < now)
			w->lapsed_ms = w->lease_until_ms;
		for (j = w->runs->len; j > 0; j--) {
			const run_t *run = w->runs->pdata[j - 1];

			if (w->lease_until_ms < now)
				end_run(w, j - 1, "lapsed");
			else if (run->ends_ms <= now)
				end_run(w, j - 1,
					run->fails ? "failed" : "done");
		}
	}
}

static worker_t *find_worker(const platform_t *p, const char *id)
{
	guint i;

	for (i = 0; id && i < p->workers->len; i++)
		if (!strcmp(((worker_t *)p->workers->pdata[i])->id, id))
			return p->workers->pdata[i];
	return NULL;
}

static void extend_worker_lease(platform_t *p, worker_t *w, const json_t *body)
{
	int64_t until =
		fake_json_int(body, "deadline_ms", 0) + clock_start_ms(w);
	int64_t limit = fake_boot_ms() + LEASE_MAX_MS;

	p->shortened += until > limit;
	w->lease_until_ms = MAX(w->lease_until_ms, MIN(until, limit));
}

/* Describes a run of the task that goes on, for g_free(), or returns NULL. */
static char *show_running(const platform_t *p, const char *task)
{
	guint i, j;

	for (i = 0; i < p->workers->len; i++) {
		const worker_t *w = p->workers->pdata[i];

		for (j = 0; is_alive(w) && j < w->runs->len; j++) {
			const run_t *run = w->runs->pdata[j];

			if (!strcmp(run->task, task))
				return show_run(p, w, run->run_id,
						run->began_ms);
		}
	}
	return NULL;
}

static void free_start(gpointer data)
{
	g_free(((start_t *)data)->run);
	g_free(data);
}

/* Whether the worker's zone is to be evacuated, for longer than the bound. */
static bool is_evacuated(platform_t *p, const worker_t *w)
{
	char *key = g_strconcat("op/evacuate/", w->zone, NULL);
	guint index;
	const item_t *item = find_item(p, key, &index);

	g_free(key);
	return p->evacuate_ms && item &&
	       fake_boot_ms() - item->created_ms > p->evacuate_ms;
}

/* Notes a start of the task, and records what is wrong about it. */
static void note_start(platform_t *p, const worker_t *w, const char *task,
		       int64_t run_id, bool over_capacity)
{
	start_t *start = g_new0(start_t, 1);
	char *running = show_running(p, task);
	const char *acked = g_hash_table_lookup(p->acked_tasks, task);

	start->began_ms = fake_boot_ms();
	start->run = show_run(p, w, run_id, start->began_ms);
	if (over_capacity)
		record_violation(p, "started over the capacity", task,
				 start->run, "");
	if (is_evacuated(p, w))
		record_violation(p, "started in an evacuated zone", task,
				 start->run, w->zone);
	if (running)
		record_violation(p, "runs twice", task, start->run, running);
	if (acked)
		record_violation(p, "started after its end", task, start->run,
				 acked);
	g_free(running);
	g_hash_table_replace(p->last_starts, g_strdup(task), start);
}

/* Most cores that runs on the worker may need. */
static int64_t cores_limit(const worker_t *w)
{
	if (fake_boot_ms() < w->shrunk_ms + GRACE_MS)
		return MAX(w->cores_milli, w->former_cores_milli);
	return w->cores_milli;
}

static const char *start_run(platform_t *p, worker_t *w, const json_t *body)
{
	const char *task = fake_json_string(body, "task_id", "");
	const char *payload = fake_json_string(body, "task_spec", "0");
	int64_t run_id = fake_json_int(body, "run_id", 0);
	int64_t used_cores_milli = 0;
	run_t *run;
	guint i;

	extend_worker_lease(p, w, body);
	if (w->lease_until_ms <= fake_boot_ms())
		return "late";
	for (i = 0; i < w->runs->len; i++) {
		run = w->runs->pdata[i];
		used_cores_milli += RUN_CORES_MILLI;
		if (!strcmp(run->task, task))
			return run->run_id == run_id ? NULL : "old";
	}
	if (GPOINTER_TO_INT(g_hash_table_lookup(w->last_ended_id, task)) >=
	    run_id)
		return "old";
	used_cores_milli += RUN_CORES_MILLI;
	if (!p->unguarded && used_cores_milli > w->cores_milli)
		return "room";
	note_start(p, w, task, run_id, used_cores_milli > cores_limit(w));
	run = g_new0(run_t, 1);
	run->task = g_strdup(task);
	run->run_id = run_id;
	run->began_ms = fake_boot_ms();
	run->ends_ms = run->began_ms + g_ascii_strtoll(payload, NULL, 10);
	run->fails = strstr(payload, "fail") != NULL;
	run->long_running = strstr(payload, "lasts") != NULL;
	g_ptr_array_add(w->runs, run);
	p->starts++;
	w->starts++;
	return NULL;
}

static void stop_run(worker_t *w, const json_t *body)
{
	const char *task = fake_json_string(body, "task_id", "");
	int64_t run_id = fake_json_int(body, "run_id", 0);
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const run_t *run = w->runs->pdata[i];

		if (!strcmp(run->task, task) && run->run_id == run_id) {
			end_run(w, i, "stopped");
			return;
		}
	}
	if (GPOINTER_TO_INT(g_hash_table_lookup(w->last_ended_id, task)) <
	    run_id)
		g_hash_table_replace(w->last_ended_id, g_strdup(task),
				     GINT_TO_POINTER(run_id));
}

static void note_acked(platform_t *p, const worker_t *w, const ended_run_t *end)
{
	const start_t *start = g_hash_table_lookup(p->last_starts, end->task);
	char *run = show_run(p, w, end->run_id, end->began_ms);
	char *text = g_strdup_printf(
		"%s, done at %" PRId64 ", acknowledged at %" PRId64, run,
		end->ended_ms - p->started_ms, fake_boot_ms() - p->started_ms);

	if (start && start->began_ms > end->ended_ms)
		record_violation(p, "started before its end was acknowledged",
				 end->task, start->run, text);
	g_hash_table_replace(p->acked_tasks, g_strdup(end->task), text);
	g_free(run);
}

static void acknowledge(platform_t *p, worker_t *w, int64_t sequence)
{
	while (w->ended_runs->len) {
		ended_run_t *end = w->ended_runs->pdata[0];

		if (end->sequence > sequence)
			break;
		if (!strcmp(end->result, "done") && !end->long_running &&
		    !(w->port && w->lapsed_ms > end->ended_ms))
			note_acked(p, w, end);
		g_ptr_array_remove_index(w->ended_runs, 0);
	}
}

static json_t *show_worker(const worker_t *w)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const run_t *run = w->runs->pdata[i];

		json_array_append_new(
			running, json_pack("[s,I,s,i,i]", run->task,
					   (json_int_t)run->run_id, "",
					   (int)(worker_clock_ms(w) % 100), 1));
	}
	for (i = 0; i < w->ended_runs->len; i++) {
		const ended_run_t *end = w->ended_runs->pdata[i];

		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)end->sequence,
				  end->task, (json_int_t)end->run_id,
				  end->result, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)worker_clock_ms(w), "born",
			 (json_int_t)w->incarnation_start_ms, "running",
			 running, "finished", finished);
}

static void serve_worker_lease(platform_t *p, worker_t *w,
			       const fake_request_t *req, fake_reply_t *reply)
{
	int64_t deadline_ms =
		fake_boot_ms() + fake_json_int(req->json, "wait_ms", 0);
	int64_t incarnation_start_ms = w->incarnation_start_ms;

	extend_worker_lease(p, w, req->json);
	acknowledge(p, w, fake_json_int(req->json, "acked_through", 0));
	while (!w->ended_runs->len && fake_boot_ms() < deadline_ms &&
	       w->incarnation_start_ms == incarnation_start_ms &&
	       !fake_request_is_lost(req)) {
		pthread_mutex_unlock(&p->lock);
		fake_sleep_ms(POLL_MS);
		pthread_mutex_lock(&p->lock);
		apply_elapsed_time(p);
	}
	if (fake_request_is_lost(req))
		reply->delivery = FAKE_DELIVERY_NONE;
	else if (w->incarnation_start_ms != incarnation_start_ms ||
		 !is_alive(w))
		reply->delivery = FAKE_DELIVERY_CLOSE;
	reply->status = 200;
	reply->json = show_worker(w);
}

static void serve_worker(platform_t *p, const fake_request_t *req,
			 fake_reply_t *reply)
{
	worker_t *w = find_worker(p, fake_header(req, "x-expected-instance"));
	int64_t fence_token = fake_json_int(req->json, "fence_token", 0);
	const char *reason = NULL;

	if (fake_request_is_lost(req)) {
		reply->delivery = FAKE_DELIVERY_NONE;
		return;
	}
	if (!w || !is_alive(w)) {
		reply->delivery = FAKE_DELIVERY_CLOSE;
		return;
	}
	if (!strcmp(w->state, "silent")) {
		reply->delivery = FAKE_DELIVERY_NONE;
		return;
	}
	if (fence_token < w->fence_token) {
		reason = "fence";
	} else {
		w->fence_token = fence_token;
		if (!strcmp(req->path, "/api/hold")) {
			serve_worker_lease(p, w, req, reply);
			return;
		}
		if (!strcmp(req->path, "/api/run-start"))
			reason = start_run(p, w, req->json);
		else if (!strcmp(req->path, "/api/run-stop"))
			stop_run(w, req->json);
	}
	reply->status = reason ? 409 : 200;
	reply->json =
		json_pack("{s:I,s:s*}", "clock_ms",
			  (json_int_t)worker_clock_ms(w), "reason", reason);
}

static bool is_too_large(const platform_t *p, const json_t *body)
{
	json_t *writes = json_object_get(body, "writes");
	json_t *write;
	size_t i;

	json_array_foreach(writes, i, write)
	{
		const char *value = fake_json_string(write, "value", "");

		/* Base64 has four characters for three bytes. */
		if ((json_int_t)strlen(value) / 4 * 3 > p->value_max)
			return true;
	}
	return false;
}

static void serve_store(platform_t *p, const fake_request_t *req,
			fake_reply_t *reply)
{
	static const char keep_path[] = "/api/kv-keep/";

	if (!strcmp(p->store_mode, "down")) {
		reply->delivery = FAKE_DELIVERY_NONE;
	} else if (!strcmp(p->store_mode, "busy")) {
		fake_reply_error(reply, 503, "busy");
	} else if (!strcmp(req->path, "/api/kv-range")) {
		serve_range(p, req, reply);
		hold_range_reply(p, fake_query(req, "prefix"));
	} else if (!strcmp(req->path, "/api/kv-key")) {
		guint index;
		item_t *item = find_item(p, fake_query(req, "key"), &index);

		reply->status = item ? 200 : 404;
		reply->json = item ? show_item(item) : json_object();
	} else if (!strcmp(req->path, "/api/kv-watch")) {
		serve_watch(p, req, reply);
	} else if (!strcmp(req->path, "/api/kv-lease")) {
		serve_lease(p, req, reply);
	} else if (g_str_has_prefix(req->path, keep_path)) {
		serve_lease_renewal(p, req->path + strlen(keep_path), reply);
	} else if (!strcmp(req->path, "/api/kv-txn")) {
		if (!strcmp(p->store_mode, "late")) {
			int64_t due_ms = fake_boot_ms() + LATE_WRITE_MS;

			g_ptr_array_add(p->late_writes,
					json_deep_copy(req->json));
			g_array_append_val(p->late_due_ms, due_ms);
			reply->delivery = FAKE_DELIVERY_NONE;
			return;
		}
		if (p->value_max && is_too_large(p, req->json)) {
			fake_reply_error(reply, 400, "value too large");
			return;
		}
		apply_txn(p, req->json, reply);
		if (!strcmp(p->store_mode, "lost"))
			reply->delivery = FAKE_DELIVERY_NONE;
		if (!strcmp(p->store_mode, "gateway"))
			reply->status = 504;
		if (!strcmp(p->store_mode, "crash") && reply->status == 200) {
			reply->delivery = FAKE_DELIVERY_CLOSE;
			p->store_mode = "busy";
		}
		hold_txn_reply(p, req->json);
	} else {
		fake_reply_error(reply, 404, "no such call");
	}
}

static void platform_serve(void *self, const fake_request_t *req,
			   fake_reply_t *reply)
{
	platform_t *p = self;

	pthread_mutex_lock(&p->lock);
	p->calls++;
	apply_elapsed_time(p);
	if (g_str_has_prefix(req->path, "/api/kv-"))
		serve_store(p, req, reply);
	else
		serve_worker(p, req, reply);
	pthread_mutex_unlock(&p->lock);
}

/* Calls at /ctl, by which a test switches the fake, and their helpers. */

static void publish_worker(platform_t *p, const worker_t *w)
{
	char *key = g_strconcat("servers/", w->id, NULL);
	char *text;

	if (!is_alive(w)) {
		put_item(p, key, NULL, 0, ++p->revision);
	} else {
		text = g_strdup_printf(
			"{\"backend\":\"svc\",\"address\":\"%s\",\"zone\":\"%"
			"s\""
			",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
			"\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%" PRId64
			",\"mem_mb\":64000,\"gpus\":0},\"labels\":[\"a\","
			"\"r1\"],\"born\":%" PRId64 ",\"sequence\":1}",
			w->port ? w->address : p->address, w->zone,
			strcmp(w->state, "draining") ? "ready" : "draining",
			w->cores_milli, w->incarnation_start_ms);
		put_text(p, key, text);
		g_free(text);
	}
	g_free(key);
}

static void free_ended_run(gpointer data)
{
	g_free(((ended_run_t *)data)->task);
	g_free(data);
}

/* The address of a worker's own in the block of the platform's. */
static char *worker_address(const platform_t *p, int64_t i)
{
	const char *port = strchr(p->address, ':');
	const char *host = g_strrstr_len(p->address, port - p->address, ".");

	return g_strdup_printf("%.*s.%" PRId64 "%s", (int)(host - p->address),
			       p->address, LIVES_HOST + i, port);
}

/* Adds n workers, which have lives like real ones if groups is not 0. */
static bool add_workers(platform_t *p, int64_t n, int64_t groups,
			int64_t idle_ms)
{
	int64_t i;

	for (i = 0; i < n; i++) {
		worker_t *w = g_new0(worker_t, 1);

		g_snprintf(w->id, sizeof(w->id), "i-%d", (int)i);
		g_strlcpy(w->zone, "z", sizeof(w->zone));
		if (groups) {
			g_snprintf(w->zone, sizeof(w->zone), "z%d",
				   (int)(i * groups / n));
			w->address = worker_address(p, i);
			w->port = fake_port_open((fake_t *)p, w->address,
						 idle_ms);
			if (!w->port)
				return false;
		}
		w->state = "ready";
		w->cores_milli = p->worker_cores_milli;
		w->runs = g_ptr_array_new_with_free_func(free_run);
		w->ended_runs = g_ptr_array_new_with_free_func(free_ended_run);
		w->last_ended_id = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
		reset_worker(w);
		if (w->port) {
			w->life_start_ms -= LIVES_AGE_MS;
			w->incarnation_start_ms -= LIVES_AGE_MS;
		}
		g_ptr_array_add(p->workers, w);
		publish_worker(p, w);
	}
	return true;
}

/*
 * Makes the workers of a control call unreachable; with restart set, their
 * lives end now.
 */
static bool silence_workers(platform_t *p, const json_t *value, const char *key,
			    bool restart)
{
	int64_t until_ms = fake_boot_ms() + fake_json_int(value, key, 0);
	size_t i;
	json_t *id;

	json_array_foreach(json_object_get(value, "workers"), i, id)
	{
		worker_t *w = find_worker(p, json_string_value(id));

		if (!w || !w->port)
			return false;
		fake_port_silence(
			w->port, until_ms,
			json_is_true(json_object_get(value, "resets")),
			json_is_true(json_object_get(value, "late")));
		if (!restart)
			continue;
		w->state = "dead";
		w->reborn_ms = MAX(w->reborn_ms, until_ms);
		w->entry_ms = fake_json_int(value, "entry_ms", 0);
		w->listed_ms = 0;
	}
	return true;
}

static bool set_worker_state(platform_t *p, const char *text)
{
	static const char *const states[] = { "ready", "draining", "silent",
					      "dead", "reborn" };
	char **words = g_strsplit(text, " ", 2);
	worker_t *w = words[0] ? find_worker(p, words[0]) : NULL;
	int state = w && words[1] ? fake_find_name(words[1], states,
						   G_N_ELEMENTS(states)) :
				    -1;

	g_strfreev(words);
	if (state < 0)
		return false;
	if (!strcmp(states[state], "reborn") || !is_alive(w))
		reset_worker(w);
	w->state = strcmp(states[state], "reborn") ? states[state] : "ready";
	publish_worker(p, w);
	return true;
}

static void set_zones(platform_t *p, int64_t n)
{
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		worker_t *w = p->workers->pdata[i];

		g_snprintf(w->zone, sizeof(w->zone), "z%d", (int)(i % n));
		publish_worker(p, w);
	}
}

/* What runs and was started in each zone. */
static json_t *show_zones(const platform_t *p)
{
	json_t *zones = json_object();
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		const worker_t *w = p->workers->pdata[i];
		json_t *zone = json_object_get(zones, w->zone);

		json_object_set_new(
			zones, w->zone,
			json_pack("{s:I,s:I}", "starts",
				  fake_json_int(zone, "starts", 0) + w->starts,
				  "running",
				  fake_json_int(zone, "running", 0) +
					  (int64_t)w->runs->len));
	}
	return zones;
}

static void set_all_cores(platform_t *p, int64_t cores_milli)
{
	guint i;

	p->worker_cores_milli = cores_milli;
	for (i = 0; i < p->workers->len; i++)
		((worker_t *)p->workers->pdata[i])->cores_milli = cores_milli;
}

static bool set_capacity(platform_t *p, const json_t *value)
{
	worker_t *w = find_worker(p, fake_json_string(value, "worker", NULL));
	int64_t cores_milli = fake_json_int(value, "cores", 0);

	if (!w)
		return false;
	if (cores_milli < w->cores_milli) {
		w->former_cores_milli = cores_limit(w);
		w->shrunk_ms = fake_boot_ms();
	}
	w->cores_milli = cores_milli;
	publish_worker(p, w);
	return true;
}

static void put_config(platform_t *p, const json_t *value)
{
	char *config = json_dumps(value, JSON_COMPACT);

	put_text(p, "op/config", config);
	free(config);
}

static bool set_lives(platform_t *p, const char *key, const json_t *value)
{
	if (!strcmp(key, "lives"))
		return add_workers(p, fake_json_int(value, "workers", 0),
				   fake_json_int(value, "groups", 1),
				   fake_json_int(value, "idle_ms", 0));
	if (!strcmp(key, "restart"))
		return silence_workers(p, value, "dark_ms", true);
	if (!strcmp(key, "cut"))
		return silence_workers(p, value, "for_ms", false);
	return false;
}

/* Items that the test writes, and the zones of the workers. */
static bool set_zone(platform_t *p, const char *key, const json_t *value)
{
	const char *text = json_string_value(value);

	if (!strcmp(key, "put"))
		put_text(p, fake_json_string(value, "key", ""),
			 fake_json_string(value, "text", ""));
	else if (!strcmp(key, "delete") && text)
		put_item(p, text, NULL, 0, ++p->revision);
	else if (!strcmp(key, "zones") && json_integer_value(value) > 0)
		set_zones(p, json_integer_value(value));
	else if (!strcmp(key, "evacuate_ms"))
		p->evacuate_ms = json_integer_value(value);
	else
		return false;
	return true;
}

static bool platform_set(void *self, const char *key, const json_t *value)
{
	static const char *const modes[] = { "up",   "down",	"busy", "lost",
					     "late", "gateway", "crash" };
	platform_t *p = self;
	const char *text = json_string_value(value);
	bool ok = true;
	int mode;

	pthread_mutex_lock(&p->lock);
	if (!strcmp(key, "store") && text) {
		mode = fake_find_name(text, modes, G_N_ELEMENTS(modes));
		ok = mode >= 0;
		if (ok)
			p->store_mode = modes[mode];
	} else if (!strcmp(key, "value_max")) {
		p->value_max = json_integer_value(value);
	} else if (!strcmp(key, "lapse")) {
		while (p->leases->len)
			remove_lease(p, 0);
	} else if (!strcmp(key, "keep_leases")) {
		p->keep_leases = json_is_true(value);
	} else if (!strcmp(key, "compact")) {
		p->compacted_revision = ++p->revision;
	} else if (!strcmp(key, "hold_range") && json_is_object(value)) {
		g_free(p->hold_prefix);
		p->hold_prefix =
			g_strdup(fake_json_string(value, "prefix", NULL));
		p->hold_ms = fake_json_int(value, "ms", 0);
	} else if (!strcmp(key, "hold_txn") && json_is_object(value)) {
		g_free(p->hold_txn_prefix);
		p->hold_txn_prefix =
			g_strdup(fake_json_string(value, "prefix", NULL));
		p->hold_txn_ms = fake_json_int(value, "ms", 0);
	} else if (!strcmp(key, "cores")) {
		set_all_cores(p, json_integer_value(value));
	} else if (!strcmp(key, "capacity")) {
		ok = set_capacity(p, value);
	} else if (!strcmp(key, "unguarded")) {
		p->unguarded = json_is_true(value);
	} else if (!strcmp(key, "workers")) {
		ok = add_workers(p, json_integer_value(value), 0, 0);
	} else if (!strcmp(key, "worker") && text) {
		ok = set_worker_state(p, text);
	} else if (!strcmp(key, "config")) {
		put_config(p, value);
	} else {
		ok = set_lives(p, key, value) || set_zone(p, key, value);
	}
	pthread_mutex_unlock(&p->lock);
	return ok;
}

static json_t *platform_show(void *self, const fake_request_t *req)
{
	platform_t *p = self;
	json_t *owners = json_object();
	const worker_t *busiest = NULL;
	int64_t running = 0;
	int64_t loads = 0;
	int64_t records = 0;
	json_t *state;
	guint i;

	(void)req;
	pthread_mutex_lock(&p->lock);
	apply_elapsed_time(p);
	for (i = 0; i < p->workers->len; i++) {
		const worker_t *w = p->workers->pdata[i];

		if (!is_alive(w))
			continue;
		running += w->runs->len;
		if (!busiest || w->runs->len > busiest->runs->len)
			busiest = w;
	}
	for (i = 0; i < p->items->len; i++) {
		const item_t *item = p->items->pdata[i];
		gsize len;
		guchar *text;
		char *copy;

		loads += g_str_has_prefix(item->key, "gh/d/load/");
		records += g_str_has_prefix(item->key, "gh/w/");
		if (!g_str_has_prefix(item->key, "gh/d/own/"))
			continue;
		text = g_base64_decode(item->value, &len);
		copy = g_strndup((const char *)text, len);
		json_object_set_new(owners, item->key + strlen("gh/d/own/"),
				    json_string(copy));
		g_free(copy);
		g_free(text);
	}
	state = json_pack(
		"{s:O,s:I,s:I,s:I,s:s,s:I,s:o,s:o,s:I,s:I,s:I,s:I}", "wrong",
		p->violations, "shortened", (json_int_t)p->shortened, "starts",
		(json_int_t)p->starts, "running", (json_int_t)running,
		"busiest", busiest ? busiest->id : "", "calls",
		(json_int_t)p->calls, "owners", owners, "zones", show_zones(p),
		"items", (json_int_t)p->items->len, "held", (json_int_t)p->held,
		"loads", (json_int_t)loads, "records", (json_int_t)records);
	pthread_mutex_unlock(&p->lock);
	return state;
}

int main(int argc, char **argv)
{
	struct arg_str *listen_on =
		arg_str1(NULL, "listen", "IP:PORT", "address to listen on");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen_on, end };
	platform_t platform = {
		.ops = &ops,
		.store_mode = "up",
		.revision = 1,
		.worker_cores_milli = 8000,
	};

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	platform.address = listen_on->sval[0];
	pthread_mutex_init(&platform.lock, NULL);
	platform.items = g_ptr_array_new();
	platform.events = g_ptr_array_new();
	platform.leases = g_ptr_array_new();
	platform.workers = g_ptr_array_new();
	platform.late_writes = g_ptr_array_new();
	platform.late_due_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	platform.acked_tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	platform.last_starts = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, free_start);
	platform.started_ms = fake_boot_ms();
	platform.violations = json_array();
	return fake_serve((fake_t *)&platform, platform.address, 0);
}

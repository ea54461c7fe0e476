/*
 * Load of the shard, and rooms for long-running tasks: capacity that the
 * long-running tasks on a worker leave, here and in the reported loads of other
 * shards.
 *
 * Short tasks don't count, as they end; a worker is reserved for a task that
 * moves here, as for any other.  So the rooms change with long-running tasks
 * and workers only.  What was sent to a shard counts there until its load can
 * tell of it.
 */
#include "core_fleet_move.h"

#include <string.h>

/* Smaller rooms are left out of the load. */
#define ROOM_MIN_CORES_MILLI 500
#define ROOM_MIN_MEMORY_MB 512
/* A load that is not reported again for longer than this does not count. */
#define LOAD_AGE_MAX_USEC (5 * GH_USEC_PER_SEC)
/* In this time a shard's load comes to tell of a task that was sent there. */
#define SENT_REPORT_USEC (1500 * GH_USEC_PER_MSEC)
/* A task that was sent and never shows in the load counts this long. */
#define SENT_MAX_USEC (10 * GH_USEC_PER_SEC)

/* What a task that was sent to a shard takes there. */
typedef struct sent_task {
	gh_room_t need;
	bool whole_room; /* others of its stage don't fit beside it */
	gh_time_t sent_at;
} sent_task_t;

typedef struct fleet_peer {
	gh_shard_load_t load; /* as reported */
	/* Its rooms without what was sent there. */
	gh_room_t rooms[GH_ROOMS_MAX];
	gh_time_t reported_at; /* 0: the load is unknown */
	gh_time_t changed_at;
	GArray *sent; /* sent_task_t */
} fleet_peer_t;

static fleet_peer_t *get_peer(const gh_fleet_t *fleet, uint32_t shard);
static bool is_current(const fleet_peer_t *peer, gh_time_t now);
static bool same_load(const gh_shard_load_t *a, const gh_shard_load_t *b);
static void forget_sent(fleet_peer_t *peer, gh_time_t now);
static void compute_rooms(fleet_peer_t *peer);
static gh_room_t *find_room(gh_room_t *rooms, uint32_t n,
			    const gh_room_t *need);
static bool fits(const gh_room_t *room, const gh_room_t *need);
static void take(gh_room_t *room, const sent_task_t *task);
static gh_room_t describe_need(const fleet_job_t *job, const gh_step_t *step);
static int compare_rooms(const gh_room_t *a, const gh_room_t *b);
static void add_own_rooms(const gh_fleet_t *fleet, gh_shard_load_t *load,
			  gh_time_t now);
static void add_rooms(const gh_fleet_t *fleet, gh_shard_load_t *load,
		      bool healthy, gh_time_t now);
static bool is_larger(const gh_room_t *room, const gh_shard_load_t *load);
static void insert_room(gh_shard_load_t *load, const gh_room_t *room);
static void take_waiting(const gh_fleet_t *fleet, gh_shard_load_t *load);
static void take_rooms(const fleet_job_t *job, uint32_t stage, uint32_t n,
		       gh_shard_load_t *load);
static uint32_t count_waiting(const fleet_job_t *job, uint32_t stage,
			      const fleet_stage_t *s);
static void sort_rooms(gh_shard_load_t *load);

/* Other shards. */

void fleet_rooms_init(gh_fleet_t *fleet)
{
	uint32_t i;

	fleet->peers = g_array_new(FALSE, TRUE, sizeof(fleet_peer_t));
	if (fleet->setup.shards < 2)
		return;
	g_array_set_size(fleet->peers, fleet->setup.shards);
	for (i = 0; i < fleet->peers->len; i++)
		get_peer(fleet, i)->sent =
			g_array_new(FALSE, FALSE, sizeof(sent_task_t));
}

void fleet_rooms_clear(gh_fleet_t *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->peers->len; i++)
		g_array_free(get_peer(fleet, i)->sent, TRUE);
	g_array_free(fleet->peers, TRUE);
}

void gh_fleet_peer_set(gh_fleet_t *fleet, uint32_t shard,
		       const gh_shard_load_t *load, gh_time_t now)
{
	fleet_peer_t *peer;
	bool changed;

	if (shard >= fleet->peers->len || shard == fleet->setup.shard)
		return;
	peer = get_peer(fleet, shard);
	if (!load) {
		peer->reported_at = 0;
		return;
	}
	changed = !peer->reported_at || !same_load(&peer->load, load);
	peer->reported_at = now;
	if (changed) {
		peer->changed_at = now;
		peer->load = *load;
		peer->load.n_rooms = MIN(load->n_rooms, GH_ROOMS_MAX);
	}
	forget_sent(peer, now);
	compute_rooms(peer);
}

uint32_t fleet_rooms_take(gh_fleet_t *fleet, const fleet_job_t *job,
			  const gh_step_t *step, gh_time_t now)
{
	sent_task_t task = { .need = describe_need(job, step),
			     .whole_room = step->max_per_worker,
			     .sent_at = now };
	gh_room_t *best = NULL;
	uint32_t shard = GH_NONE;
	uint32_t i;

	/* A load tells of neither. */
	if (step->size.accelerators || *step->label)
		return GH_NONE;
	for (i = 0; i < fleet->peers->len; i++) {
		fleet_peer_t *peer = get_peer(fleet, i);
		gh_room_t *room =
			is_current(peer, now) ?
				find_room(peer->rooms, peer->load.n_rooms,
					  &task.need) :
				NULL;

		if (!room || (best && compare_rooms(best, room) <= 0))
			continue;
		best = room;
		shard = i;
	}
	if (!best)
		return GH_NONE;
	take(best, &task);
	g_array_append_val(get_peer(fleet, shard)->sent, task);
	return shard;
}

void fleet_rooms_append(const gh_fleet_t *fleet, const fleet_job_t *job,
			const gh_step_t *step, GString *text, gh_time_t now)
{
	gh_room_t need = describe_need(job, step);
	gh_time_t oldest = GH_TIME_NEVER;
	uint32_t n = 0;
	uint32_t i, r;

	if (fleet->setup.shards < 2)
		return;
	for (i = 0; i < fleet->peers->len; i++) {
		const fleet_peer_t *peer = get_peer(fleet, i);

		if (!is_current(peer, now))
			continue;
		oldest = MIN(oldest, peer->changed_at);
		for (r = 0; r < peer->load.n_rooms; r++)
			n += fits(&peer->rooms[r], &need);
	}
	if (oldest == GH_TIME_NEVER)
		g_string_append(text, ", elsewhere unknown");
	else if (n)
		g_string_append_printf(text, ", elsewhere %u rooms", n);
	else
		g_string_append(text, ", elsewhere none");
	if (oldest != GH_TIME_NEVER)
		g_string_append_printf(text,
				       " as of %" G_GINT64_FORMAT " ms ago",
				       gh_time_to_ms(now - oldest));
}

static fleet_peer_t *get_peer(const gh_fleet_t *fleet, uint32_t shard)
{
	return &g_array_index(fleet->peers, fleet_peer_t, shard);
}

static bool is_current(const fleet_peer_t *peer, gh_time_t now)
{
	return peer->reported_at &&
	       now - peer->reported_at <= LOAD_AGE_MAX_USEC;
}

static bool same_load(const gh_shard_load_t *a, const gh_shard_load_t *b)
{
	uint32_t i;

	if (a->n_rooms != b->n_rooms ||
	    a->total.cores_milli != b->total.cores_milli ||
	    a->total.memory_mb != b->total.memory_mb ||
	    a->long_running.cores_milli != b->long_running.cores_milli ||
	    a->long_running.memory_mb != b->long_running.memory_mb)
		return false;
	for (i = 0; i < a->n_rooms; i++)
		if (compare_rooms(&a->rooms[i], &b->rooms[i]))
			return false;
	return true;
}

static void forget_sent(fleet_peer_t *peer, gh_time_t now)
{
	guint i = 0;

	while (i < peer->sent->len) {
		gh_time_t sent_at =
			g_array_index(peer->sent, sent_task_t, i).sent_at;
		gh_time_t age = now - sent_at;

		if (age > SENT_MAX_USEC ||
		    (age > SENT_REPORT_USEC && peer->changed_at > sent_at))
			g_array_remove_index(peer->sent, i);
		else
			i++;
	}
}

static void compute_rooms(fleet_peer_t *peer)
{
	guint i;

	memcpy(peer->rooms, peer->load.rooms, sizeof(peer->rooms));
	for (i = 0; i < peer->sent->len; i++) {
		const sent_task_t *task =
			&g_array_index(peer->sent, sent_task_t, i);
		gh_room_t *room =
			find_room(peer->rooms, peer->load.n_rooms, &task->need);

		if (room)
			take(room, task);
	}
}

/* The first room that is large enough, or NULL. */
static gh_room_t *find_room(gh_room_t *rooms, uint32_t n, const gh_room_t *need)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (fits(&rooms[i], need))
			return &rooms[i];
	return NULL;
}

static bool fits(const gh_room_t *room, const gh_room_t *need)
{
	return room->free.cores_milli >= need->free.cores_milli &&
	       room->free.memory_mb >= need->free.memory_mb &&
	       room->free.cores_milli && !strcmp(room->service, need->service);
}

static void take(gh_room_t *room, const sent_task_t *task)
{
	room->free.cores_milli -= task->need.free.cores_milli;
	room->free.memory_mb -= task->need.free.memory_mb;
	if (task->whole_room)
		room->free = (gh_capacity_t){ 0 };
}

static gh_room_t describe_need(const fleet_job_t *job, const gh_step_t *step)
{
	gh_room_t need = { 0 };

	g_strlcpy(need.service, job->spec->service, sizeof(need.service));
	gh_capacity_add(&need.free, &step->size, 1);
	return need;
}

/* Orders by size, the largest first. */
static int compare_rooms(const gh_room_t *a, const gh_room_t *b)
{
	if (a->free.cores_milli != b->free.cores_milli)
		return a->free.cores_milli > b->free.cores_milli ? -1 : 1;
	if (a->free.memory_mb != b->free.memory_mb)
		return a->free.memory_mb > b->free.memory_mb ? -1 : 1;
	return strcmp(a->service, b->service);
}

/* This shard. */

void gh_fleet_load(const gh_fleet_t *fleet, gh_shard_load_t *load,
		   gh_time_t now)
{
	uint32_t i;

	*load = (gh_shard_load_t){ 0 };
	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (fleet_worker_is_heard(worker) &&
		    fleet_health_is_usable(worker, now))
			gh_capacity_add(&load->total, &worker->entry.size, 1);
	}
	load->long_running = gh_fleet_long_running(fleet);
	add_own_rooms(fleet, load, now);
	fleet_waits_tell(fleet, &load->waits, now);
}

gh_capacity_t gh_fleet_long_running(const gh_fleet_t *fleet)
{
	gh_capacity_t sum = { 0 };
	uint32_t i, n;

	for (i = 0; i < fleet->jobs->len; i++) {
		const fleet_job_t *job = fleet_job(fleet, i);

		if (!job->spec || job->phase > GH_JOB_RUNNING)
			continue;
		for (n = 0; n < fleet_open_stage_count(job); n++) {
			uint32_t s, alike;
			const fleet_stage_t *stage =
				fleet_open_stage(job, n, &s, &alike);
			const gh_step_t *step =
				&job->spec->steps[s % job->spec->n_steps];

			if (step->long_running)
				gh_capacity_add(&sum, &step->size,
						(step->tasks -
						 stage->tasks_done -
						 stage->tasks_away) *
							alike);
		}
	}
	return sum;
}

static void add_own_rooms(const gh_fleet_t *fleet, gh_shard_load_t *load,
			  gh_time_t now)
{
	gh_shard_load_t others = { 0 };
	uint32_t i;

	add_rooms(fleet, load, true, now);
	take_waiting(fleet, load);
	sort_rooms(load);
	/* A task that has waited for long starts in quarantine as well. */
	add_rooms(fleet, &others, false, now);
	for (i = 0; i < others.n_rooms && load->n_rooms < GH_ROOMS_MAX; i++)
		if (is_larger(&others.rooms[i], load))
			load->rooms[load->n_rooms++] = others.rooms[i];
}

/* Whether the largest room in the load may be too small for what fits here. */
static bool is_larger(const gh_room_t *room, const gh_shard_load_t *load)
{
	return !load->n_rooms ||
	       room->free.cores_milli > load->rooms[0].free.cores_milli ||
	       room->free.memory_mb > load->rooms[0].free.memory_mb;
}

/* Adds the rooms of workers that are healthy, or that are in quarantine. */
static void add_rooms(const gh_fleet_t *fleet, gh_shard_load_t *load,
		      bool healthy, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);
		gh_room_t room = { 0 };

		if (!fleet_worker_is_heard(worker) ||
		    fleet_worker_is_barred(worker, now) ||
		    fleet_health_is_usable(worker, now) != healthy)
			continue;
		gh_capacity_add(&room.free, &worker->entry.size, 1);
		room.free.cores_milli -=
			(int64_t)worker->long_running_cores_milli;
		room.free.memory_mb -= worker->long_running_memory_mb;
		g_strlcpy(room.service, worker->entry.service,
			  sizeof(room.service));
		insert_room(load, &room);
	}
}

/* Keeps the largest rooms. */
static void insert_room(gh_shard_load_t *load, const gh_room_t *room)
{
	uint32_t i;

	if (room->free.cores_milli < ROOM_MIN_CORES_MILLI ||
	    room->free.memory_mb < ROOM_MIN_MEMORY_MB)
		return;
	i = load->n_rooms;
	if (i == GH_ROOMS_MAX &&
	    compare_rooms(room, &load->rooms[GH_ROOMS_MAX - 1]) >= 0)
		return;
	if (i == GH_ROOMS_MAX)
		i--;
	else
		load->n_rooms++;
	for (; i && compare_rooms(room, &load->rooms[i - 1]) < 0; i--)
		load->rooms[i] = load->rooms[i - 1];
	load->rooms[i] = *room;
}

/* Takes the rooms for which long-running tasks of this shard wait. */
static void take_waiting(const gh_fleet_t *fleet, gh_shard_load_t *load)
{
	uint32_t i, j, n;

	for (i = 0; i < fleet->jobs->len; i++) {
		const fleet_job_t *job = fleet_job(fleet, i);

		if (!job->spec || job->held || job->phase > GH_JOB_RUNNING)
			continue;
		for (j = 0; j < fleet_resident_stage_count(job); j++) {
			uint32_t s;
			const fleet_stage_t *stage =
				fleet_resident_stage(job, j, &s);

			n = count_waiting(job, s, stage);
			if (n)
				take_rooms(job, s, n, load);
		}
	}
}

static void take_rooms(const fleet_job_t *job, uint32_t stage, uint32_t n,
		       gh_shard_load_t *load)
{
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	sent_task_t task = { .need = describe_need(job, step) };
	gh_room_t *room;

	while (n-- &&
	       (room = find_room(load->rooms, load->n_rooms, &task.need)))
		take(room, &task);
}

/* Tasks of a long-running stage that waits for workers. */
static uint32_t count_waiting(const fleet_job_t *job, uint32_t stage,
			      const fleet_stage_t *s)
{
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];

	/* Of those with a label or a limit it isn't known what they can use. */
	if (!step->long_running || !s->waiting_since || *step->label ||
	    step->max_per_worker || step->size.accelerators)
		return 0;
	return step->tasks - s->tasks_done - s->tasks_open - s->tasks_away;
}

static void sort_rooms(gh_shard_load_t *load)
{
	gh_shard_load_t sorted = { .total = load->total,
				   .long_running = load->long_running };
	uint32_t i;

	for (i = 0; i < load->n_rooms; i++)
		insert_room(&sorted, &load->rooms[i]);
	*load = sorted;
}

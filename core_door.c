#include "core_door.h"

#include <glib.h>

#define CLIENTS_MAX 2048
/* Memory of a connection, its thread and its socket's buffers. */
#define CLIENT_BYTES 65536
#define FILE_DESCRIPTORS 200
/*
 * Parts of the host's memory and of its sockets that the door may use.  A
 * client may have a call to the store open; the last third is for the rest.
 */
#define MEMORY_PART_CLIENTS 4
#define MEMORY_PART_BYTES 8
/* The longest body of the most fields fits alone. */
#define BYTES_MIN (12u << 20)
#define SOCKETS_PART 3
#define BYTES_PER_MB 1048576
#define SWEEP_INTERVAL GH_USEC_PER_SEC

typedef enum step {
	STEP_IDLE,
	STEP_RECEIVE,
	STEP_SERVE,
	STEP_SEND,
	STEP_CLOSING,
} step_t;

struct gh_door_client {
	void *ctx;
	bool check;
	GList link; /* in gh_door.order */
	step_t step;
	gh_time_t deadline; /* of the step */
	size_t held;
};

struct gh_door {
	gh_door_limits_t limits;
	/* All clients, the one that is in its step for longest first. */
	GQueue order;
	unsigned n_closing;
	unsigned n_checks;    /* without those to be closed */
	size_t bytes;	      /* all that is held or taken */
	size_t bytes_closing; /* of it, of connections to be closed */
	/* Room that was asked for, to be made by closing others. */
	size_t wanted;
	size_t wanted_held; /* the asker's body with it */
	gh_time_t sweep_at;
};

static void set_step(gh_door_t *door, gh_door_client_t *client, step_t step,
		     gh_time_t deadline);
static bool add(gh_door_t *door, size_t bytes, size_t held);
static size_t room_left(const gh_door_t *door);
static gh_door_client_t *find_late(gh_door_t *door, gh_time_t now);
static unsigned count_against_limit(const gh_door_t *door);
static gh_door_client_t *find_oldest(gh_door_t *door);
static bool can_make_room(const gh_door_t *door);
static gh_door_client_t *find_largest(gh_door_t *door, size_t min);
static bool may_give_way(const gh_door_client_t *client, size_t min);
static gh_door_client_t *close_client(gh_door_t *door,
				      gh_door_client_t *client);

gh_door_limits_t gh_door_limits_for(unsigned memory_mb, unsigned descriptors)
{
	size_t memory = (size_t)memory_mb * BYTES_PER_MB;
	size_t clients = memory / MEMORY_PART_CLIENTS / CLIENT_BYTES;
	size_t sockets = descriptors > FILE_DESCRIPTORS ?
				 descriptors - FILE_DESCRIPTORS :
				 0;

	clients = MIN(clients, sockets / SOCKETS_PART);
	return (gh_door_limits_t){
		.clients = (unsigned)CLAMP(clients, 1, CLIENTS_MAX),
		.bytes = MAX(memory / MEMORY_PART_BYTES, BYTES_MIN),
	};
}

gh_door_t *gh_door_new(const gh_door_limits_t *limits)
{
	gh_door_t *door = g_new0(gh_door_t, 1);

	door->limits = *limits;
	g_queue_init(&door->order);
	return door;
}

void gh_door_free(gh_door_t *door)
{
	GList *link;

	if (!door)
		return;
	while ((link = g_queue_pop_head_link(&door->order)))
		g_free(link->data);
	g_free(door);
}

gh_door_client_t *gh_door_enter(gh_door_t *door, void *ctx, bool check,
				gh_time_t now)
{
	gh_door_client_t *client = g_new0(gh_door_client_t, 1);

	client->ctx = ctx;
	client->check = check;
	door->n_checks += check;
	client->link.data = client;
	client->deadline = now + door->limits.idle_time;
	g_queue_push_tail_link(&door->order, &client->link);
	return client;
}

void gh_door_leave(gh_door_t *door, gh_door_client_t *client)
{
	gh_door_drop(door, client);
	if (client->step == STEP_CLOSING)
		door->n_closing--;
	else
		door->n_checks -= client->check;
	g_queue_unlink(&door->order, &client->link);
	g_free(client);
}

void *gh_door_client_ctx(const gh_door_client_t *client)
{
	return client->ctx;
}

void gh_door_receive(gh_door_t *door, gh_door_client_t *client, gh_time_t now)
{
	set_step(door, client, STEP_RECEIVE, now + door->limits.transfer_time);
}

bool gh_door_serve(gh_door_t *door, gh_door_client_t *client)
{
	set_step(door, client, STEP_SERVE, GH_TIME_NEVER);
	return client->step == STEP_SERVE;
}

void gh_door_send(gh_door_t *door, gh_door_client_t *client, gh_time_t now)
{
	set_step(door, client, STEP_SEND, now + door->limits.transfer_time);
}

void gh_door_finish(gh_door_t *door, gh_door_client_t *client, gh_time_t now)
{
	gh_door_drop(door, client);
	set_step(door, client, STEP_IDLE, now + door->limits.idle_time);
}

static void set_step(gh_door_t *door, gh_door_client_t *client, step_t step,
		     gh_time_t deadline)
{
	if (client->step == STEP_CLOSING)
		return;
	client->step = step;
	client->deadline = deadline;
	g_queue_unlink(&door->order, &client->link);
	g_queue_push_tail_link(&door->order, &client->link);
}

bool gh_door_hold(gh_door_t *door, gh_door_client_t *client, size_t bytes)
{
	if (client->step == STEP_CLOSING ||
	    !add(door, bytes, client->held + bytes))
		return false;
	client->held += bytes;
	return true;
}

void gh_door_drop(gh_door_t *door, gh_door_client_t *client)
{
	door->bytes -= client->held;
	if (client->step == STEP_CLOSING)
		door->bytes_closing -= client->held;
	client->held = 0;
}

bool gh_door_take(gh_door_t *door, size_t bytes, size_t body_bytes)
{
	return add(door, bytes, body_bytes);
}

void gh_door_give(gh_door_t *door, size_t bytes)
{
	door->bytes -= bytes;
}

/*
 * What connections to be closed still hold counts as free up to half of the
 * limit.  held: the asker's body; no smaller one is closed for it.
 */
static bool add(gh_door_t *door, size_t bytes, size_t held)
{
	if (bytes > room_left(door)) {
		door->wanted = bytes;
		door->wanted_held = held;
		return false;
	}
	if (door->bytes + bytes > door->limits.bytes + door->limits.bytes / 2)
		return false;
	door->bytes += bytes;
	return true;
}

static size_t room_left(const gh_door_t *door)
{
	size_t used = door->bytes - door->bytes_closing;

	return used < door->limits.bytes ? door->limits.bytes - used : 0;
}

gh_door_client_t *gh_door_next(gh_door_t *door, gh_time_t now,
			       gh_door_reason_t *reason)
{
	gh_door_client_t *client = NULL;

	if (door->wanted > room_left(door) && can_make_room(door)) {
		client = find_largest(door, door->wanted_held);
		*reason = GH_DOOR_FULL;
	}
	if (!client)
		door->wanted = 0;
	if (!client && count_against_limit(door) > door->limits.clients) {
		client = find_oldest(door);
		*reason = GH_DOOR_CROWDED;
	}
	if (!client && now >= door->sweep_at) {
		client = find_late(door, now);
		*reason = GH_DOOR_LATE;
		if (!client)
			door->sweep_at = now + SWEEP_INTERVAL;
	}
	return client ? close_client(door, client) : NULL;
}

static gh_door_client_t *close_client(gh_door_t *door, gh_door_client_t *client)
{
	client->step = STEP_CLOSING;
	door->n_closing++;
	door->n_checks -= client->check;
	door->bytes_closing += client->held;
	return client;
}

static gh_door_client_t *find_late(gh_door_t *door, gh_time_t now)
{
	GList *link;

	for (link = door->order.head; link; link = link->next) {
		gh_door_client_t *client = link->data;

		if (client->step != STEP_CLOSING && client->deadline <= now)
			return client;
	}
	return NULL;
}

static unsigned count_against_limit(const gh_door_t *door)
{
	return gh_door_clients(door) - MIN(door->n_checks, GH_DOOR_CHECKS_MAX);
}

/* The last one has just come; it is closed if all others are being served. */
static gh_door_client_t *find_oldest(gh_door_t *door)
{
	bool keeps_checks = door->n_checks <= GH_DOOR_CHECKS_MAX;
	GList *link;

	for (link = door->order.head; link; link = link->next) {
		gh_door_client_t *client = link->data;

		if (client->step != STEP_CLOSING &&
		    client->step != STEP_SERVE &&
		    !(client->check && keeps_checks))
			return client;
	}
	return NULL;
}

/* Whether closing others makes all the room that is wanted. */
static bool can_make_room(const gh_door_t *door)
{
	size_t room = room_left(door);
	const GList *link;

	for (link = door->order.head; link && room < door->wanted;
	     link = link->next) {
		const gh_door_client_t *client = link->data;

		if (may_give_way(client, door->wanted_held))
			room += client->held;
	}
	return room >= door->wanted;
}

static gh_door_client_t *find_largest(gh_door_t *door, size_t min)
{
	gh_door_client_t *largest = NULL;
	GList *link;

	for (link = door->order.head; link; link = link->next) {
		gh_door_client_t *client = link->data;

		if (may_give_way(client, min) &&
		    (!largest || client->held > largest->held))
			largest = client;
	}
	return largest;
}

static bool may_give_way(const gh_door_client_t *client, size_t min)
{
	return client->step == STEP_RECEIVE && client->held >= min;
}

unsigned gh_door_clients(const gh_door_t *door)
{
	return door->order.length - door->n_closing;
}

size_t gh_door_bytes(const gh_door_t *door)
{
	return door->bytes;
}

#include "http_door.h"

#include <glib.h>
#include <pthread.h>
#include <sys/socket.h>

#include "clock.h"
#include "counter.h"
#include "log.h"

#define LOG_INTERVAL GH_USEC_PER_SEC

struct http_door {
	pthread_mutex_t lock;
	gh_door_t *account;
	gh_door_limits_t limits;
	gh_time_t next_log_at;
};

/* By gh_door_reason_t. */
static const struct {
	const char *name;
	counter_t counter;
} reasons[] = {
	[GH_DOOR_CROWDED] = { "crowded", CTR_CLIENTS_CROWDED },
	[GH_DOOR_FULL] = { "full", CTR_CLIENTS_FULL },
	[GH_DOOR_LATE] = { "late", CTR_CLIENTS_LATE },
};

static bool close_some(http_door_t *door, gh_time_t now);

http_door_t *http_door_new(const gh_door_limits_t *limits)
{
	http_door_t *door = g_new0(http_door_t, 1);

	pthread_mutex_init(&door->lock, NULL);
	door->account = gh_door_new(limits);
	door->limits = *limits;
	return door;
}

void http_door_free(http_door_t *door)
{
	if (!door)
		return;
	gh_door_free(door->account);
	pthread_mutex_destroy(&door->lock);
	g_free(door);
}

const gh_door_limits_t *http_door_limits(const http_door_t *door)
{
	return &door->limits;
}

gh_door_client_t *http_door_enter(http_door_t *door, int fd, bool check)
{
	gh_time_t now = clock_boot();
	gh_door_client_t *client;

	pthread_mutex_lock(&door->lock);
	client = gh_door_enter(door->account, GINT_TO_POINTER(fd), check, now);
	close_some(door, now);
	pthread_mutex_unlock(&door->lock);
	return client;
}

void http_door_leave(http_door_t *door, gh_door_client_t *client)
{
	pthread_mutex_lock(&door->lock);
	gh_door_leave(door->account, client);
	pthread_mutex_unlock(&door->lock);
}

void http_door_receive(http_door_t *door, gh_door_client_t *client)
{
	gh_time_t now = clock_boot();

	pthread_mutex_lock(&door->lock);
	gh_door_receive(door->account, client, now);
	close_some(door, now);
	pthread_mutex_unlock(&door->lock);
}

bool http_door_serve(http_door_t *door, gh_door_client_t *client)
{
	bool ok;

	pthread_mutex_lock(&door->lock);
	ok = gh_door_serve(door->account, client);
	pthread_mutex_unlock(&door->lock);
	return ok;
}

void http_door_send(http_door_t *door, gh_door_client_t *client)
{
	pthread_mutex_lock(&door->lock);
	gh_door_send(door->account, client, clock_boot());
	pthread_mutex_unlock(&door->lock);
}

void http_door_finish(http_door_t *door, gh_door_client_t *client)
{
	pthread_mutex_lock(&door->lock);
	gh_door_finish(door->account, client, clock_boot());
	pthread_mutex_unlock(&door->lock);
}

bool http_door_hold(http_door_t *door, gh_door_client_t *client, size_t bytes)
{
	bool ok;

	pthread_mutex_lock(&door->lock);
	do
		ok = gh_door_hold(door->account, client, bytes);
	while (!ok && close_some(door, clock_boot()));
	pthread_mutex_unlock(&door->lock);
	if (!ok)
		counter_inc(CTR_BODIES_DROPPED);
	return ok;
}

void http_door_drop(http_door_t *door, gh_door_client_t *client)
{
	pthread_mutex_lock(&door->lock);
	gh_door_drop(door->account, client);
	pthread_mutex_unlock(&door->lock);
}

bool http_door_take(http_door_t *door, size_t bytes, size_t body_bytes)
{
	bool ok;

	pthread_mutex_lock(&door->lock);
	do
		ok = gh_door_take(door->account, bytes, body_bytes);
	while (!ok && close_some(door, clock_boot()));
	pthread_mutex_unlock(&door->lock);
	return ok;
}

void http_door_give(http_door_t *door, size_t bytes)
{
	pthread_mutex_lock(&door->lock);
	gh_door_give(door->account, bytes);
	pthread_mutex_unlock(&door->lock);
}

/*
 * Shuts down the connections that the account names; their own threads close
 * them.  Returns whether there were any.
 */
static bool close_some(http_door_t *door, gh_time_t now)
{
	bool any = false;
	gh_door_reason_t reason;
	gh_door_client_t *client;

	while ((client = gh_door_next(door->account, now, &reason))) {
		shutdown(GPOINTER_TO_INT(gh_door_client_ctx(client)),
			 SHUT_RDWR);
		any = true;
		counter_inc(reasons[reason].counter);
		if (now < door->next_log_at)
			continue;
		door->next_log_at = now + LOG_INTERVAL;
		log_event(LOG_WARN, "client_closed", "why",
			  reasons[reason].name, "clients",
			  log_num((int64_t)gh_door_clients(door->account)),
			  "clients_max", log_num((int64_t)door->limits.clients),
			  "bytes",
			  log_num((int64_t)gh_door_bytes(door->account)),
			  "bytes_max", log_num((int64_t)door->limits.bytes),
			  NULL);
	}
	return any;
}

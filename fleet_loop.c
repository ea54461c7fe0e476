#include "fleet_loop.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"

#define EVENTS_MAX 64
#define ROUND_MOST_MS 200 /* longest sleep; bounds how late a log line is */

typedef struct watched {
	int fd;
	loop_ready_t ready;
	void *ctx;
} watched_t;

typedef struct posted {
	loop_work_t work;
	void *ctx;
} posted_t;

typedef struct after_round {
	loop_work_t work;
	void *ctx;
} after_round_t;

struct loop {
	int epoll;
	int wake;
	bool stopping;
	GPtrArray *timers;   /* loop_timer_t, not owned */
	GHashTable *watched; /* fd to watched_t */
	GArray *after;
	pthread_mutex_t lock;
	GArray *posted; /* under the lock */
};

static int sleep_ms(const loop_t *loop);
static void run_events(loop_t *loop, const struct epoll_event *events, int n);
static void run_posted(loop_t *loop);
static void run_timers(loop_t *loop);

loop_t *loop_new(void)
{
	loop_t *loop = g_new0(loop_t, 1);
	struct epoll_event event = { .events = EPOLLIN };

	loop->epoll = epoll_create1(EPOLL_CLOEXEC);
	loop->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	event.data.fd = loop->wake;
	if (loop->epoll < 0 || loop->wake < 0 ||
	    epoll_ctl(loop->epoll, EPOLL_CTL_ADD, loop->wake, &event))
		g_error("no event loop: %s", g_strerror(errno));
	loop->timers = g_ptr_array_new();
	loop->watched = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	loop->after = g_array_new(FALSE, FALSE, sizeof(after_round_t));
	loop->posted = g_array_new(FALSE, FALSE, sizeof(posted_t));
	pthread_mutex_init(&loop->lock, NULL);
	return loop;
}

void loop_run(loop_t *loop)
{
	struct epoll_event events[EVENTS_MAX];
	guint i;

	while (!loop->stopping) {
		int n = epoll_wait(loop->epoll, events, EVENTS_MAX,
				   sleep_ms(loop));

		if (n < 0 && errno != EINTR) {
			log_event(LOG_ERROR, "epoll_failed", "error",
				  g_strerror(errno), NULL);
			return;
		}
		run_events(loop, events, n);
		run_posted(loop);
		run_timers(loop);
		for (i = 0; i < loop->after->len; i++) {
			after_round_t *after =
				&g_array_index(loop->after, after_round_t, i);

			after->work(after->ctx);
		}
	}
}

void loop_stop(loop_t *loop)
{
	loop->stopping = true;
}

void loop_post(loop_t *loop, loop_work_t work, void *ctx)
{
	posted_t one = { .work = work, .ctx = ctx };
	uint64_t count = 1;
	ssize_t put;

	pthread_mutex_lock(&loop->lock);
	g_array_append_val(loop->posted, one);
	pthread_mutex_unlock(&loop->lock);
	put = write(loop->wake, &count, sizeof(count));
	(void)put; /* a full counter wakes the loop as well */
}

void loop_timer_add(loop_t *loop, loop_timer_t *timer)
{
	g_ptr_array_add(loop->timers, timer);
}

void loop_timer_remove(loop_t *loop, loop_timer_t *timer)
{
	g_ptr_array_remove_fast(loop->timers, timer);
}

bool loop_watch(loop_t *loop, int fd, uint32_t events, loop_ready_t ready,
		void *ctx)
{
	struct epoll_event event = { .events = events, .data.fd = fd };
	watched_t *watched =
		g_hash_table_lookup(loop->watched, GINT_TO_POINTER(fd));

	if (!events) {
		/* The descriptor may be closed already. */
		epoll_ctl(loop->epoll, EPOLL_CTL_DEL, fd, NULL);
		g_hash_table_remove(loop->watched, GINT_TO_POINTER(fd));
		return true;
	}
	if (!watched) {
		watched = g_new0(watched_t, 1);
		watched->fd = fd;
		g_hash_table_insert(loop->watched, GINT_TO_POINTER(fd),
				    watched);
	}
	watched->ready = ready;
	watched->ctx = ctx;
	return !epoll_ctl(loop->epoll, EPOLL_CTL_MOD, fd, &event) ||
	       !epoll_ctl(loop->epoll, EPOLL_CTL_ADD, fd, &event);
}

void loop_after_iteration(loop_t *loop, loop_work_t work, void *ctx)
{
	after_round_t after = { .work = work, .ctx = ctx };

	g_array_append_val(loop->after, after);
}

static int sleep_ms(const loop_t *loop)
{
	gh_time_t now = clock_boot();
	gh_time_t first = now + gh_time_from_ms(ROUND_MOST_MS);
	guint i;

	for (i = 0; i < loop->timers->len; i++) {
		const loop_timer_t *timer = loop->timers->pdata[i];

		first = MIN(first, timer->at);
	}
	if (first <= now)
		return 0;
	return (int)((first - now + GH_USEC_PER_MSEC - 1) / GH_USEC_PER_MSEC);
}

static void run_events(loop_t *loop, const struct epoll_event *events, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		int fd = events[i].data.fd;
		const watched_t *watched;
		uint64_t count;
		ssize_t got;

		if (fd == loop->wake) {
			got = read(fd, &count, sizeof(count));
			(void)got; /* only the wake-up matters */
			continue;
		}
		watched =
			g_hash_table_lookup(loop->watched, GINT_TO_POINTER(fd));
		if (watched)
			watched->ready(watched->ctx, fd, events[i].events);
	}
}

static void run_posted(loop_t *loop)
{
	GArray *posted;
	guint i;

	pthread_mutex_lock(&loop->lock);
	if (!loop->posted->len) {
		pthread_mutex_unlock(&loop->lock);
		return;
	}
	posted = loop->posted;
	loop->posted = g_array_new(FALSE, FALSE, sizeof(posted_t));
	pthread_mutex_unlock(&loop->lock);
	for (i = 0; i < posted->len; i++) {
		posted_t *one = &g_array_index(posted, posted_t, i);

		one->work(one->ctx);
	}
	g_array_free(posted, TRUE);
}

static void run_timers(loop_t *loop)
{
	gh_time_t now = clock_boot();
	guint i;

	for (i = 0; i < loop->timers->len; i++) {
		loop_timer_t *timer = loop->timers->pdata[i];

		if (timer->at > now)
			continue;
		timer->at = GH_TIME_NEVER;
		timer->run(timer->ctx, now);
	}
}

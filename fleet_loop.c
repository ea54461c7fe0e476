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
#include "histogram.h"
#include "log.h"

#define EVENTS_MAX 64
/* Max time in epoll_wait(); bounds how late deferred log lines appear. */
#define SLEEP_MAX_MS 200

typedef struct fd_watch {
	int fd;
	loop_ready_t ready;
	void *ctx;
} fd_watch_t;

typedef struct posted_work {
	loop_work_t work;
	void *ctx;
} posted_work_t;

typedef struct iteration_hook {
	loop_work_t work;
	void *ctx;
} iteration_hook_t;

struct loop {
	int epoll_fd;
	int wake_fd;
	bool stopping;
	GPtrArray *timers;	/* loop_timer_t, owned by the callers */
	GHashTable *fd_watches; /* file descriptor to fd_watch_t */
	/* iteration_hook_t, all run after each iteration of the loop. */
	GArray *iteration_hooks;
	pthread_mutex_t lock;
	GArray *posted; /* posted_work_t from other threads; guarded by lock */
};

static int sleep_time_ms(const loop_t *loop);
static void run_events(loop_t *loop, const struct epoll_event *events, int n);
static void run_posted(loop_t *loop);
static void run_timers(loop_t *loop);

loop_t *loop_new(void)
{
	loop_t *loop = g_new0(loop_t, 1);
	struct epoll_event event = { .events = EPOLLIN };

	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	event.data.fd = loop->wake_fd;
	if (loop->epoll_fd < 0 || loop->wake_fd < 0 ||
	    epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->wake_fd, &event))
		g_error("cannot create the event loop: %s", g_strerror(errno));
	loop->timers = g_ptr_array_new();
	loop->fd_watches = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	loop->iteration_hooks =
		g_array_new(FALSE, FALSE, sizeof(iteration_hook_t));
	loop->posted = g_array_new(FALSE, FALSE, sizeof(posted_work_t));
	pthread_mutex_init(&loop->lock, NULL);
	return loop;
}

void loop_run(loop_t *loop)
{
	struct epoll_event events[EVENTS_MAX];
	guint i;

	while (!loop->stopping) {
		int n = epoll_wait(loop->epoll_fd, events, EVENTS_MAX,
				   sleep_time_ms(loop));
		gh_time_t woken_at = clock_boot();

		if (n < 0 && errno != EINTR) {
			log_event(LOG_ERROR, "epoll_failed", "error",
				  g_strerror(errno), NULL);
			return;
		}
		run_events(loop, events, n);
		run_posted(loop);
		run_timers(loop);
		for (i = 0; i < loop->iteration_hooks->len; i++) {
			iteration_hook_t *hook = &g_array_index(
				loop->iteration_hooks, iteration_hook_t, i);

			hook->work(hook->ctx);
		}
		histogram_add(HIST_LOOP, clock_boot() - woken_at);
	}
}

void loop_stop(loop_t *loop)
{
	loop->stopping = true;
}

void loop_post(loop_t *loop, loop_work_t work, void *ctx)
{
	posted_work_t entry = { .work = work, .ctx = ctx };
	uint64_t count = 1;
	ssize_t n_written;

	pthread_mutex_lock(&loop->lock);
	g_array_append_val(loop->posted, entry);
	pthread_mutex_unlock(&loop->lock);
	n_written = write(loop->wake_fd, &count, sizeof(count));
	/*
	 * The write to the eventfd fails if its counter is full; the loop wakes
	 * anyway.
	 */
	(void)n_written;
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
	fd_watch_t *watch =
		g_hash_table_lookup(loop->fd_watches, GINT_TO_POINTER(fd));

	if (!events) {
		/* Errors are ignored, as fd may be closed already. */
		epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		g_hash_table_remove(loop->fd_watches, GINT_TO_POINTER(fd));
		return true;
	}
	if (!watch) {
		watch = g_new0(fd_watch_t, 1);
		watch->fd = fd;
		g_hash_table_insert(loop->fd_watches, GINT_TO_POINTER(fd),
				    watch);
	}
	watch->ready = ready;
	watch->ctx = ctx;
	return !epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, fd, &event) ||
	       !epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

void loop_after_iteration(loop_t *loop, loop_work_t work, void *ctx)
{
	iteration_hook_t hook = { .work = work, .ctx = ctx };

	g_array_append_val(loop->iteration_hooks, hook);
}

static int sleep_time_ms(const loop_t *loop)
{
	gh_time_t now = clock_boot();
	gh_time_t earliest = now + gh_time_from_ms(SLEEP_MAX_MS);
	guint i;

	for (i = 0; i < loop->timers->len; i++) {
		const loop_timer_t *timer = loop->timers->pdata[i];

		earliest = MIN(earliest, timer->at);
	}
	if (earliest <= now)
		return 0;
	return (int)((earliest - now + GH_USEC_PER_MSEC - 1) /
		     GH_USEC_PER_MSEC);
}

static void run_events(loop_t *loop, const struct epoll_event *events, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		int fd = events[i].data.fd;
		const fd_watch_t *watch;
		uint64_t count;
		ssize_t n_read;

		if (fd == loop->wake_fd) {
			n_read = read(fd, &count, sizeof(count));
			(void)n_read; /* the number of posts is not needed */
			continue;
		}
		watch = g_hash_table_lookup(loop->fd_watches,
					    GINT_TO_POINTER(fd));
		if (watch)
			watch->ready(watch->ctx, fd, events[i].events);
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
	loop->posted = g_array_new(FALSE, FALSE, sizeof(posted_work_t));
	pthread_mutex_unlock(&loop->lock);
	for (i = 0; i < posted->len; i++) {
		posted_work_t *entry = &g_array_index(posted, posted_work_t, i);

		entry->work(entry->ctx);
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

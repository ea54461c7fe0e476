#include "log.h"

#include <glib.h>
#include <inttypes.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "clock.h"
#include "core_bucket.h"
#include "counter.h"

#define NUM_SLOTS 8
#define LINES_PER_S 2000 /* three times what a busy owner writes */
#define LINES_BURST 4000
#define BUFFER_FLUSH 16384 /* bytes */
#define NUM_LEN 24

const char *const log_level_names[] = { "debug", "info", "warn", "error",
					NULL };

static char host_name[64] = "-";
static _Atomic log_level_t least_level = LOG_INFO;

/* Lines not written yet. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GString *buffer;
static bool deferred;

static void put_line(const GString *line, log_level_t level);
static bool take_turn(void);
static void write_out(void);
static void append_time(GString *line);
static void append_value(GString *line, const char *value);

void log_init(const char *host, log_level_t least)
{
	g_strlcpy(host_name, host, sizeof(host_name));
	atomic_store(&least_level, least);
}

int log_level_by_name(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(log_level_names) - 1; i++)
		if (!strcmp(log_level_names[i], name))
			return (int)i;
	return -1;
}

void log_event(log_level_t level, const char *event, ...)
{
	va_list ap;
	const char *key;
	GString *line;

	if (level < atomic_load(&least_level))
		return;
	line = g_string_sized_new(256);
	append_time(line);
	g_string_append_printf(line, " level=%s host=", log_level_names[level]);
	append_value(line, host_name);
	g_string_append(line, " event=");
	append_value(line, event);
	va_start(ap, event);
	while ((key = va_arg(ap, const char *))) {
		g_string_append_printf(line, " %s=", key);
		append_value(line, va_arg(ap, const char *));
	}
	va_end(ap);
	g_string_append_c(line, '\n');
	put_line(line, level);
	g_string_free(line, TRUE);
}

void log_defer(void)
{
	pthread_mutex_lock(&lock);
	deferred = true;
	pthread_mutex_unlock(&lock);
}

void log_flush(void)
{
	pthread_mutex_lock(&lock);
	write_out();
	pthread_mutex_unlock(&lock);
}

static void put_line(const GString *line, log_level_t level)
{
	pthread_mutex_lock(&lock);
	if (!take_turn()) {
		counter_inc(CTR_LOG_DROPPED);
	} else {
		if (!buffer)
			buffer = g_string_sized_new(BUFFER_FLUSH);
		g_string_append_len(buffer, line->str, (gssize)line->len);
		if (!deferred || level >= LOG_ERROR ||
		    buffer->len >= BUFFER_FLUSH)
			write_out();
	}
	pthread_mutex_unlock(&lock);
}

/* Whether the rate allows one more line; under the lock. */
static bool take_turn(void)
{
	static gh_bucket_t bucket;
	gh_time_t now = clock_boot();

	if (!bucket.rate_per_s)
		gh_bucket_init(&bucket, LINES_PER_S, LINES_BURST, now);
	return gh_bucket_take(&bucket, 0, now);
}

/* Drops what the reader does not take at once; under the lock. */
static void write_out(void)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
	size_t at = 0;

	while (buffer && at < buffer->len) {
		size_t n = MIN(buffer->len - at, PIPE_BUF);
		ssize_t put = -1;

		/* A pipe that polls writable takes PIPE_BUF without waiting. */
		if (poll(&out, 1, 0) > 0 && !(out.revents & ~POLLOUT))
			put = write(STDOUT_FILENO, buffer->str + at, n);
		if (put <= 0) {
			counter_inc(CTR_LOG_DROPPED);
			break;
		}
		at += (size_t)put;
	}
	if (buffer)
		g_string_truncate(buffer, 0);
}

const char *log_num(int64_t value)
{
	static _Thread_local char slots[NUM_SLOTS][NUM_LEN];
	static _Thread_local unsigned next;
	char *slot = slots[next++ % NUM_SLOTS];

	snprintf(slot, NUM_LEN, "%" PRId64, value);
	return slot;
}

static void append_time(GString *line)
{
	struct timespec now;
	struct tm tm;
	char text[32];

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	g_string_append_printf(line, "ts=%s.%03ldZ", text,
			       now.tv_nsec / 1000000);
}

static void append_value(GString *line, const char *value)
{
	char *escaped;
	const char *p;

	if (!value || !*value) {
		g_string_append_c(line, '-');
		return;
	}
	for (p = value; *p; p++)
		if (*p <= ' ' || *p == '"' || *p == '=' || *p == '\\' ||
		    *p == 127)
			break;
	if (!*p) {
		g_string_append(line, value);
		return;
	}
	escaped = g_strescape(value, NULL);
	g_string_append_printf(line, "\"%s\"", escaped);
	g_free(escaped);
}

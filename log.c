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

/* Number of results of log_num() that stay valid on each thread. */
#define NUM_TEXTS 8
/*
 * Maximum of log lines per second: three times what a busy shard owner writes.
 */
#define LINE_RATE_PER_S 2000
#define LINE_BURST_MAX 4000
#define FLUSH_THRESHOLD_BYTES 16384
#define NUM_TEXT_BYTES 24

const char *const log_level_names[] = { "debug", "info", "warn", "error",
					NULL };

static char host_name[64] = "-";
static _Atomic log_level_t min_log_level = LOG_INFO;

/*
 * Log lines that are not yet written to the output; the lock guards all of this
 * state.
 */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GString *buffer;
static bool deferred;

static void buffer_line(const GString *line, log_level_t level);
static bool take_line_token(void);
static void write_buffer(void);
static void append_timestamp(GString *line);
static void append_value(GString *line, const char *value);

void log_init(const char *host, log_level_t min_level)
{
	g_strlcpy(host_name, host, sizeof(host_name));
	atomic_store(&min_log_level, min_level);
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

	if (level < atomic_load(&min_log_level))
		return;
	line = g_string_sized_new(256);
	append_timestamp(line);
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
	buffer_line(line, level);
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
	write_buffer();
	pthread_mutex_unlock(&lock);
}

static void buffer_line(const GString *line, log_level_t level)
{
	pthread_mutex_lock(&lock);
	if (!take_line_token()) {
		counter_inc(CTR_LOG_DROPPED);
	} else {
		if (!buffer)
			buffer = g_string_sized_new(FLUSH_THRESHOLD_BYTES);
		g_string_append_len(buffer, line->str, (gssize)line->len);
		if (!deferred || level >= LOG_ERROR ||
		    buffer->len >= FLUSH_THRESHOLD_BYTES)
			write_buffer();
	}
	pthread_mutex_unlock(&lock);
}

/*
 * Takes a token of the rate limit for one log line; returns false if none is
 * left.  The caller holds the lock.
 */
static bool take_line_token(void)
{
	static gh_bucket_t bucket;
	gh_time_t now = clock_boot();

	if (!bucket.rate_per_s)
		gh_bucket_init(&bucket, LINE_RATE_PER_S, LINE_BURST_MAX, now);
	return gh_bucket_take(&bucket, 0, now);
}

/*
 * Writes the buffered lines without blocking.  Drops the rest when the reader
 * of a pipe falls behind.  The caller holds the lock.
 */
static void write_buffer(void)
{
	struct pollfd output = { .fd = STDOUT_FILENO, .events = POLLOUT };
	size_t offset = 0;

	while (buffer && offset < buffer->len) {
		size_t len = MIN(buffer->len - offset, PIPE_BUF);
		ssize_t written = -1;

		/* A pipe that polls writable accepts PIPE_BUF bytes at once. */
		if (poll(&output, 1, 0) > 0 && !(output.revents & ~POLLOUT))
			written =
				write(STDOUT_FILENO, buffer->str + offset, len);
		if (written <= 0) {
			counter_inc(CTR_LOG_DROPPED);
			break;
		}
		offset += (size_t)written;
	}
	if (buffer)
		g_string_truncate(buffer, 0);
}

const char *log_num(int64_t value)
{
	static _Thread_local char texts[NUM_TEXTS][NUM_TEXT_BYTES];
	static _Thread_local unsigned next;
	char *text = texts[next++ % NUM_TEXTS];

	snprintf(text, NUM_TEXT_BYTES, "%" PRId64, value);
	return text;
}

static void append_timestamp(GString *line)
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

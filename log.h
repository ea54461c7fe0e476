/*
 * Logger: one line of key=value pairs per event, on standard output.
 *
 *   ts=<RFC 3339, ms, UTC> level=<level> host=<name> event=<event> k=v ...
 *
 * Values with blanks, quotes, '=' or control characters are quoted and
 * escaped.  Any thread may log.  Logging never waits for the reader of the
 * output: lines over a fixed rate, and those that the reader is too slow to
 * accept, are dropped and counted.
 */
#ifndef LOG_H
#define LOG_H

#include <stdint.h>

typedef enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR } log_level_t;

/* Names of the levels, indexed by log_level_t and terminated by NULL. */
extern const char *const log_level_names[];

/* Sets the host name for every line and the lowest level that is written. */
void log_init(const char *host, log_level_t min_level);

/* Returns the level named "debug", "info", "warn" or "error", else -1. */
int log_level_by_name(const char *name);

/*
 * Logs one event.  The arguments after event are pairs of a key and a value,
 * both strings, terminated by a NULL key.  A NULL or empty value is written
 * as "-".
 */
void log_event(log_level_t level, const char *event, ...)
	__attribute__((sentinel));

/*
 * Makes later lines collect in a buffer until log_flush() is called, an error
 * is logged or the buffer is full.  One write then covers many lines.
 */
void log_defer(void);

/* Writes the buffered lines. */
void log_flush(void);

/*
 * Formats a number in decimal.  The text stays valid until the eighth
 * following call on the same thread.
 */
const char *log_num(int64_t value);

#endif

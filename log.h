/*
 * Logger: one line of key=value pairs per event, on standard output.
 *
 *   ts=<RFC 3339, ms, UTC> level=<level> host=<name> event=<event> k=v ...
 *
 * Values with blanks, quotes, '=' or control characters are quoted and
 * escaped.  Any thread may log.  Logging never waits: lines over a fixed rate,
 * and those that the reader does not take, are dropped and counted.
 */
#ifndef LOG_H
#define LOG_H

#include <stdint.h>

typedef enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR } log_level_t;

/* By level, ended by NULL. */
extern const char *const log_level_names[];

/* Name that stands in each line, and the lowest level that is written. */
void log_init(const char *host, log_level_t least);

/* Level by name ("debug", "info", "warn", "error"), or -1. */
int log_level_by_name(const char *name);

/*
 * Logs one event.  The arguments after event are pairs of a key and a value,
 * both strings, ended by a NULL key; a NULL value is written as "-".
 */
void log_event(log_level_t level, const char *event, ...)
	__attribute__((sentinel));

/*
 * From now on lines are gathered until log_flush(), an error or a full
 * buffer: one write for many lines.
 */
void log_defer(void);
void log_flush(void);

/* A number as text, valid until eight more calls on the same thread. */
const char *log_num(int64_t value);

#endif

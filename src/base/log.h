/*
 * Log in JSON lines, on top of GLib's structured logging. Each line has the
 * fields ts (RFC 3339, UTC), level, host, event and msg. The logging thread
 * formats the line and passes it to the sink.
 */
#ifndef LOG_H
#define LOG_H

#include "base/util.h"

enum log_level { LOG_LEVEL_ERROR, LOG_LEVEL_WARNING, LOG_LEVEL_INFO };

/* Takes one line without a newline; called on the thread that logs. */
typedef void log_sink_fn(void *ctx, const char *line);

/* @host: value of the field host. @sink: NULL writes to standard error. */
void log_init(const char *host, log_sink_fn *sink, void *ctx);
/* Replaces the sink; with NULL, lines are written to standard error again. */
void log_set_sink(log_sink_fn *sink, void *ctx);

/* @event: fixed name in snake_case, by which operators select log lines. */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
	PRINTF_LIKE(3, 4);

#endif

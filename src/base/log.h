/*
 * JSON-line logs over GLib's structured logging. Each line carries ts (RFC
 * 3339, UTC), level, host, event and msg. The writer only formats the line;
 * the sink given to log_init() delivers it.
 */
#ifndef LOG_H
#define LOG_H

#include "base/util.h"

enum log_level { LOG_LEVEL_ERROR, LOG_LEVEL_WARNING, LOG_LEVEL_INFO };

/* Takes one line without its newline; called on the thread that logs. */
typedef void log_sink_fn(void *ctx, const char *line);

/* @host: value of the host field. @sink NULL writes to standard error. */
void log_init(const char *host, log_sink_fn *sink, void *ctx);
/* Replaces the sink; NULL goes back to standard error. */
void log_set_sink(log_sink_fn *sink, void *ctx);

/* @event: fixed snake_case name; operators filter on it. */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
	PRINTF_LIKE(3, 4);

#endif

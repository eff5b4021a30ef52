#define G_LOG_DOMAIN "cowslippoint"
#include "base/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#include "base/clock.h"

#define LOG_MESSAGE_BYTES 1024

static char log_host[64] = "-";
static log_sink_fn *log_sink;
static void *log_sink_ctx;

static const char *const level_names[] = {
	[LOG_LEVEL_ERROR] = "error",
	[LOG_LEVEL_WARNING] = "warning",
	[LOG_LEVEL_INFO] = "info",
};

static const GLogLevelFlags glib_levels[] = {
	/* G_LOG_LEVEL_ERROR would abort the process. */
	[LOG_LEVEL_ERROR] = G_LOG_LEVEL_CRITICAL,
	[LOG_LEVEL_WARNING] = G_LOG_LEVEL_WARNING,
	[LOG_LEVEL_INFO] = G_LOG_LEVEL_INFO,
};

static const char *glib_level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return level_names[LOG_LEVEL_ERROR];
	if (level & G_LOG_LEVEL_WARNING)
		return level_names[LOG_LEVEL_WARNING];
	return level_names[LOG_LEVEL_INFO];
}

static void format_ts(char *out, size_t size_bytes)
{
	int64_t now_us = clock_wall_us();
	time_t sec = (time_t)(now_us / US_PER_S);
	struct tm tm;
	size_t len;

	gmtime_r(&sec, &tm);
	len = strftime(out, size_bytes, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(out + len, size_bytes - len, ".%06uZ",
		 (uint32_t)(now_us % US_PER_S));
}

static const char *field_value(const GLogField *fields, gsize count,
			       const char *key)
{
	gsize i;

	for (i = 0; i < count; i++) {
		if (g_strcmp0(fields[i].key, key) == 0)
			return fields[i].value;
	}
	return "";
}

static GLogWriterOutput write_json(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer user_data)
{
	g_autofree char *msg = NULL;
	char ts[40];
	json_t *line;
	char *text;

	(void)user_data;
	format_ts(ts, sizeof(ts));
	/* A line with bytes that are not UTF-8, or cut, would be lost. */
	msg = g_utf8_make_valid(field_value(fields, count, "MESSAGE"), -1);
	line = json_pack("{s:s,s:s,s:s,s:s,s:s}", "ts", ts, "level",
			 glib_level_name(level), "host", log_host, "event",
			 field_value(fields, count, "EVENT"), "msg", msg);
	text = line ? json_dumps(line, JSON_COMPACT) : NULL;
	json_decref(line);
	if (!text)
		return G_LOG_WRITER_UNHANDLED;
	if (log_sink)
		log_sink(log_sink_ctx, text);
	else
		fprintf(stderr, "%s\n", text);
	free(text);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *host, log_sink_fn *sink, void *ctx)
{
	util_copy_str(log_host, sizeof(log_host), host);
	log_set_sink(sink, ctx);
	g_log_set_writer_func(write_json, NULL, NULL);
}

void log_set_sink(log_sink_fn *sink, void *ctx)
{
	log_sink = sink;
	log_sink_ctx = ctx;
}

void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	char message[LOG_MESSAGE_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	g_log_structured(G_LOG_DOMAIN, glib_levels[level], "EVENT", event,
			 "MESSAGE", "%s", message);
}

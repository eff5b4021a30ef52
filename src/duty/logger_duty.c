#include "duty/logger_duty.h"

#include <stdio.h>

#include "base/log.h"
#include "base/metric.h"
#include "duty/duty.h"
#include "duty/messages.h"

/* Lines that may be queued; more are dropped and counted, not waited for. */
#define LINES_MAX 8192

struct logger_duty {
	FILE *out;
	struct duty *duty;
};

static void push_line(void *ctx, const char *line)
{
	struct logger_duty *l = ctx;
	struct msg m = { MSG_LOG_LINE, util_strdup(line), free };

	if (ring_push(duty_ring(l->duty), &m) == ERR_OK)
		return;
	metric_add(METRIC_LOG_LINES_DROPPED, 1);
	free(m.body);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct logger_duty *l = ctx;

	fprintf(l->out, "%s\n", (const char *)m->body);
	free(m->body);
}

struct logger_duty *logger_duty_new(FILE *out, struct err *err)
{
	struct logger_duty *l = util_alloc(1, sizeof(*l));

	l->out = out;

	l->duty = duty_new("logger", LINES_MAX, NULL, NULL, err);
	if (!l->duty || duty_start(l->duty, on_message, l, err) != ERR_OK) {
		duty_free(l->duty);
		free(l);
		return NULL;
	}
	log_set_sink(push_line, l);
	return l;
}

void logger_duty_free(struct logger_duty *l)
{
	if (!l)
		return;
	log_set_sink(NULL, NULL);
	duty_stop(l->duty);
	duty_join(l->duty);
	duty_free(l->duty);
	free(l);
}

#include "duty/gw_duty.h"

#include <stdatomic.h>
#include <string.h>

#include "base/log.h"
#include "duty/duty.h"
#include "duty/messages.h"

/* Requests, replies, views and other messages that may be queued. */
#define RING_CAPACITY 16384

struct gw_duty {
	struct duty *duty;
	struct gw *gw;
	struct ring *ingress;
	struct ring *egress;
	struct ring *control;
	/* NULL: there is none, and nothing is forwarded. */
	struct ring *relay;
	/* Result of gw_ready() with the latest view. */
	_Atomic int is_ready;
};

static void drop_call(void *body)
{
	target_call_free(body);
}

static void drop_answer(void *body)
{
	exchange_answer_free(body);
}

static void push_call(void *ctx, struct target_call *call)
{
	struct gw_duty *d = ctx;
	struct msg m = { MSG_TARGET_CALL, call, drop_call };

	if (ring_push(d->egress, &m) == ERR_OK)
		return;
	/* The request is then answered at its deadline. */
	log_event(LOG_LEVEL_ERROR, "ring_full", "target call dropped");
	target_call_free(call);
}

static void drop_forward(void *body)
{
	forward_call_free(body);
}

static void push_forward(void *ctx, struct forward_call *call)
{
	struct gw_duty *d = ctx;
	struct msg m = { MSG_FORWARD_CALL, call, drop_forward };

	if (d->relay && ring_push(d->relay, &m) == ERR_OK)
		return;
	/* The request is then given up after a part of its time. */
	log_event(LOG_LEVEL_ERROR, "ring_full", "forwarded request dropped");
	forward_call_free(call);
}

static void push_answer(void *ctx, struct exchange_answer *a)
{
	struct gw_duty *d = ctx;
	struct msg m = { MSG_EXCHANGE_ANSWER, a, drop_answer };
	struct ring *to = a->conn_id & EXCHANGE_CONN_FORWARDED ? d->relay
							       : d->ingress;

	if (ring_push(to, &m) == ERR_OK)
		return;
	log_event(LOG_LEVEL_ERROR, "ring_full", "answer dropped");
	exchange_answer_free(a);
}

static void push_rollout_reports(void *ctx, const struct rollout_report *list,
				 uint32_t count)
{
	struct gw_duty *d = ctx;
	struct rollout_report_list *reports = util_alloc(
		1, sizeof(*reports) + count * sizeof(reports->list[0]));
	struct msg m = { MSG_ROLLOUT_REPORTS, reports, free };

	reports->count = count;
	memcpy(reports->list, list, count * sizeof(reports->list[0]));
	if (ring_push(d->control, &m) == ERR_OK)
		return;
	log_event(LOG_LEVEL_ERROR, "ring_full", "evidence on versions dropped");
	free(reports);
}

static void push_health(void *ctx, const struct target_health_list *list)
{
	struct gw_duty *d = ctx;
	struct target_health_list *copy = util_alloc(1, sizeof(*copy));
	struct msg m = { MSG_TARGET_HEALTH, copy, free };

	*copy = *list;
	if (ring_push(d->control, &m) == ERR_OK)
		return;
	log_event(LOG_LEVEL_ERROR, "ring_full", "health of targets dropped");
	free(copy);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct gw_duty *d = ctx;
	struct exchange_caller_gone *gone = m->body;
	struct gw_leave_order *leave = m->body;

	switch (m->type) {
	case MSG_EXCHANGE_REQUEST:
		gw_on_request(d->gw, m->body, now_us);
		break;
	case MSG_TARGET_REPLY:
		gw_on_reply(d->gw, m->body, now_us);
		break;
	case MSG_FORWARD_REPLY:
		gw_on_forward_reply(d->gw, m->body, now_us);
		break;
	case MSG_GW_LEAVE:
		gw_leave(d->gw, leave->stop_us, now_us);
		free(leave);
		break;
	case MSG_EXCHANGE_CALLER_GONE:
		gw_caller_gone(d->gw, gone->conn, now_us);
		free(gone);
		break;
	case MSG_GW_VIEW:
		gw_set_view(d->gw, m->body, now_us);
		d->is_ready = gw_ready(d->gw);
		break;
	case MSG_TARGET_HEALTH:
		gw_on_target_health(d->gw, m->body, now_us);
		free(m->body);
		break;
	case MSG_GW_TUNING:
		gw_tune(d->gw, m->body);
		free(m->body);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
		break;
	}
}

struct gw_duty *gw_duty_new(const struct gw_options *o, struct err *err)
{
	struct gw_duty *d = util_alloc(1, sizeof(*d));
	struct gw_ops ops = { push_call,   push_forward,
			      push_answer, push_rollout_reports,
			      push_health, d };

	d->duty = duty_new("request", RING_CAPACITY, NULL, NULL, err);
	if (!d->duty) {
		free(d);
		return NULL;
	}
	d->gw = gw_new(&ops, o, duty_timers(d->duty));
	return d;
}

enum err_code gw_duty_start(struct gw_duty *d, struct ring *ingress,
			    struct ring *egress, struct ring *control,
			    struct ring *relay, struct err *err)
{
	d->relay = relay;
	d->ingress = ingress;
	d->egress = egress;
	d->control = control;
	return duty_start(d->duty, on_message, d, err);
}

struct ring *gw_duty_ring(struct gw_duty *d)
{
	return duty_ring(d->duty);
}

int gw_duty_is_ready(void *gw_duty)
{
	struct gw_duty *d = gw_duty;

	return d->is_ready;
}

void gw_duty_stop(struct gw_duty *d)
{
	duty_stop(d->duty);
	duty_join(d->duty);
}

void gw_duty_free(struct gw_duty *d)
{
	if (!d)
		return;
	gw_free(d->gw);
	duty_free(d->duty);
	free(d);
}

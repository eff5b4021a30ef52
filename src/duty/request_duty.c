#include "duty/request_duty.h"

#include "base/clock.h"
#include "duty/claims.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "filter/pipeline.h"

struct request_duty {
	struct request_options options;
	struct duty *duty;
	struct pipeline *pipeline;
	struct claims *claims;
	struct timer_entry report_timer;
	/*
	 * Results for the sub-requests that the target duty's ring refused. The
	 * pipeline gets them after the current message.
	 */
	struct subrequest_result *refused;
	uint32_t refused_count;
	uint32_t refused_cap;
	/* 1 once became_ready() was called. */
	int ready;
	/* Requests in flight, for other threads. */
	_Atomic uint32_t open;
};

/*
 * Frees @sub, which the target duty's ring refused, and keeps a result for it
 * in @d->refused unless it is a cancellation.
 */
static void refuse_subrequest(struct request_duty *d,
			      struct subrequest_msg *sub)
{
	struct subrequest_result r = {
		.sub_id = sub->sub_id,
		.code = ERR_RING_FULL,
		.not_run = 1,
	};

	if (!sub->is_cancel) {
		if (d->refused_count == d->refused_cap) {
			d->refused_cap = d->refused_cap * 2 + 16;
			d->refused = util_grow(d->refused, d->refused_cap,
					       sizeof(r));
		}
		d->refused[d->refused_count++] = r;
	}
	subrequest_msg_free(sub);
}

static void send_subrequest(void *ctx, struct subrequest_msg *sub)
{
	struct request_duty *d = ctx;
	struct msg m = { MSG_SUBREQUEST, sub, NULL };

	if (ring_push(d->options.target, &m) != ERR_OK)
		refuse_subrequest(d, sub);
}

static void start_claim(void *ctx, uint64_t req_no, const char *customer,
			const char *request_id)
{
	struct request_duty *d = ctx;

	claims_acquire(d->claims, req_no, customer, request_id);
}

static void record_outcome(void *ctx, const char *customer,
			   const char *request_id, enum outcome outcome)
{
	struct request_duty *d = ctx;

	claims_record(d->claims, customer, request_id, outcome);
}

static int claim_done(void *ctx, uint64_t req_no, enum claim_result result)
{
	struct request_duty *d = ctx;

	return pipeline_on_claim(d->pipeline, req_no, result, clock_now_us());
}

/* Calls became_ready() once, as soon as requests can be answered. */
static void update_ready(struct request_duty *d, int64_t now_us)
{
	if (d->ready || !pipeline_ready(d->pipeline, now_us))
		return;
	d->ready = 1;
	if (d->options.became_ready)
		d->options.became_ready(d->options.became_ready_ctx);
}

static void send_report(void *ctx, int64_t now_us)
{
	struct request_duty *d = ctx;
	struct request_report *report =
		pipeline_take_report(d->pipeline, now_us);
	struct msg m = { MSG_REQUEST_REPORT, report, NULL };

	update_ready(d, now_us);
	timer_queue_arm(duty_timers(d->duty), &d->report_timer,
			now_us + REQUEST_REPORT_PERIOD_US, send_report, d);
	if (!d->options.control || ring_push(d->options.control, &m) != ERR_OK)
		request_report_free(report);
}

struct request_duty *request_duty_new(const struct request_options *options,
				      struct err *err)
{
	struct request_duty *d = util_alloc(1, sizeof(*d));

	d->options = *options;
	d->duty = duty_new("request", options->ring_capacity, NULL, NULL, err);
	if (!d->duty) {
		free(d);
		return NULL;
	}
	return d;
}

struct request_options *request_duty_options(struct request_duty *d)
{
	return &d->options;
}

struct ring *request_duty_ring(struct request_duty *d)
{
	return duty_ring(d->duty);
}

static void take_request(struct request_duty *d, struct caller_request *c,
			 int64_t now_us)
{
	if (c->request->op == OP_OUTCOME)
		claims_answer_outcome(d->claims, c);
	else
		pipeline_on_request(d->pipeline, c, now_us);
}

static void take_message(struct request_duty *d, struct msg *m, int64_t now_us)
{
	switch (m->type) {
	case MSG_CALLER_REQUEST:
		take_request(d, m->body, now_us);
		break;
	case MSG_SUBREQUEST_RESULT:
		pipeline_on_result(d->pipeline, m->body, now_us);
		break;
	case MSG_CALLER_GONE:
		pipeline_on_caller_gone(
			d->pipeline,
			((struct caller_gone *)m->body)->exchange_id, now_us);
		free(m->body);
		break;
	case MSG_VIEW:
		pipeline_set_view(d->pipeline, m->body, now_us);
		break;
	case MSG_TARGET_NOTICE:
		pipeline_on_notice(d->pipeline, m->body, now_us);
		free(m->body);
		break;
	case MSG_KV_REPLY:
		claims_store_reply(d->claims, m->body);
		kv_reply_free(m->body);
		break;
	case MSG_LEAVE:
		pipeline_drain(d->pipeline);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
	}
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct request_duty *d = ctx;

	take_message(d, m, now_us);
	while (d->refused_count > 0) {
		struct subrequest_result *r = util_alloc(1, sizeof(*r));

		*r = d->refused[--d->refused_count];
		pipeline_on_result(d->pipeline, r, now_us);
	}
	d->open = pipeline_open_count(d->pipeline);
	update_ready(d, now_us);
}

enum err_code request_duty_start(struct request_duty *d, struct err *err)
{
	struct pipeline_ops ops = { send_subrequest, start_claim,
				    record_outcome, d };

	d->pipeline = pipeline_new(&ops, duty_timers(d->duty), d->options.self,
				   d->options.rng_seed);
	d->claims = claims_new(d->options.self, d->options.rng_seed,
			       d->options.store, duty_ring(d->duty),
			       duty_timers(d->duty), claim_done, d);
	timer_queue_arm(duty_timers(d->duty), &d->report_timer, 0, send_report,
			d);
	return duty_start(d->duty, on_message, d, err);
}

uint32_t request_duty_open_count(struct request_duty *d)
{
	return d->open;
}

void request_duty_stop(struct request_duty *d)
{
	duty_stop(d->duty);
	duty_join(d->duty);
}

void request_duty_free(struct request_duty *d)
{
	if (!d)
		return;
	pipeline_free(d->pipeline);
	claims_free(d->claims);
	duty_free(d->duty);
	free(d->refused);
	free(d);
}

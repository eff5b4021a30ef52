/*
 * Filter 5: sends one call per part; chooses targets, sends hedges and retries,
 * and cancels calls.
 */
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "gateway/gw_internal.h"

/*
 * Time from the moment that a call is abandoned until it is cancelled, which
 * closes its connection. Most calls end before that and leave their connection
 * usable, and targets still stop within half a second after a caller left.
 */
#define CANCEL_DELAY_US (250 * US_PER_MS)
/* A call with less time than this until the deadline is not sent. */
#define SEND_TIME_MIN_US (3 * US_PER_MS)

/* Part of the allowance for extra calls that is kept for retries. */
#define HEDGE_FILL_MIN_PERMILLE 100

/*
 * Shortest hedge delay of a route that gathers, in thousandths of the mean
 * answer time.
 */
#define HEDGE_DELAY_MIN_MILLI 1300

enum send_result {
	SEND_DONE,
	/* No target has room now. */
	SEND_BUSY,
	/* No target is usable, or the allowance for extra calls is used up. */
	SEND_NONE
};

int gw_req_has_time(const struct gw_req *r, int64_t at_us)
{
	return r->deadline_us - at_us > SEND_TIME_MIN_US &&
	       at_us <= gw_leave_last_call_us(r);
}

static void send_cancel(struct gw *g, uint64_t call_id)
{
	struct target_call *c = util_alloc(1, sizeof(*c));

	c->call_id = call_id;
	c->is_cancel = 1;
	g->ops.send(g->ops.ctx, c);
}

static void on_cancel_timer(void *ctx, int64_t now_us)
{
	struct gw_call *call = ctx;

	send_cancel(call->gw, call->call_id);
}

static void abandon(struct gw_call *call, int64_t now_us)
{
	call->part = NULL;
	timer_queue_arm(call->gw->timers, &call->cancel_timer,
			now_us + CANCEL_DELAY_US, on_cancel_timer, call);
}

static void abandon_open(struct gw_part *p, int64_t now_us)
{
	while (p->open_count > 0)
		abandon(p->open[--p->open_count], now_us);
}

static void dequeue(struct gw_part *p)
{
	if (p->phase != PART_WAITING)
		return;
	timer_queue_cancel(p->req->gw->timers, &p->wait_timer);
	TAILQ_REMOVE(&p->service->waiting, p, link);
	p->service->waiting_count--;
	p->phase = PART_OPEN;
}

static void on_wait_end(void *ctx, int64_t now_us);

static void enqueue(struct gw_part *p)
{
	struct gw *g = p->req->gw;

	if (g->stop_us)
		timer_queue_arm(g->timers, &p->wait_timer,
				gw_leave_last_call_us(p->req), on_wait_end, p);
	if (p->phase == PART_WAITING)
		return;
	TAILQ_INSERT_TAIL(&p->service->waiting, p, link);
	p->service->waiting_count++;
	p->phase = PART_WAITING;
}

static struct target_call *make_call(const struct gw_call *call,
				     const struct gw_req *r, int64_t now_us)
{
	struct target_call *c = util_alloc(1, sizeof(*c));
	const struct target_entry *def = &call->target->def;

	c->call_id = call->call_id;
	c->message = http_message_ref(r->request->message);
	memcpy(c->request_id, r->request->id, sizeof(c->request_id));
	memcpy(c->target_id, def->id, sizeof(c->target_id));
	memcpy(c->service, def->service, sizeof(c->service));
	memcpy(c->address, def->address, sizeof(c->address));
	c->port = def->port;
	c->deadline_us = r->deadline_us;
	c->timeout_ms = (uint32_t)((r->deadline_us - now_us) / US_PER_MS);
	c->connection_limit = call->target->connection_limit;
	c->idle_timeout_ms =
		call->target->has_scarce_connections ? SCARCE_IDLE_MS : 0;
	c->at_most_once = !r->route->is_idempotent;
	return c;
}

static void on_hedge(void *ctx, int64_t now_us);

/*
 * On a route that gathers, a hedge whose answer comes after partial_after_us is
 * of no use. There the delay is at most half of the time until then; this bound
 * is at least HEDGE_DELAY_MIN_MILLI, so that an answer that is merely a little
 * slower than the mean causes no hedge.
 */
static int64_t hedge_delay_us(const struct gw_req *r, int64_t now_us)
{
	const struct hedge_delay *h = &r->stats->hedge;
	int64_t delay_min_us = h->mean_us * HEDGE_DELAY_MIN_MILLI / 1000;

	if (!r->route->is_gather)
		return hedge_delay_current_us(h);
	return util_min_i64(hedge_delay_current_us(h),
			    util_max_i64((r->partial_after_us - now_us) / 2,
					 delay_min_us));
}

static void arm_hedge(struct gw_part *p, int64_t now_us)
{
	struct gw_req *r = p->req;

	if (!r->route->is_idempotent)
		return;
	timer_queue_arm(r->gw->timers, &p->hedge_timer,
			now_us + hedge_delay_us(r, now_us), on_hedge, p);
}

static void set_next_cold_call(struct gw_target *t, const struct gw *g,
			       const struct gw_service *s, int64_t now_us)
{
	if (now_us < t->cold_until_us)
		t->cold_next_call_us =
			now_us + gw_target_cold_interval_us(g, s);
}

/* Logs each extra call, and the first calls of traced requests. */
static void log_call(const struct gw_part *p, const struct gw_target *t,
		     int is_extra, int64_t now_us)
{
	struct gw_req *r = p->req;

	if (!is_extra && !r->is_traced)
		return;
	log_event(LOG_LEVEL_INFO, "call",
		  "request %s service %s target %s as %s at %lld us, %u open, "
		  "slowness %u milli, mean %lld us, allowance %u permille",
		  r->request->id, p->service->name, t->def.id,
		  !is_extra	  ? "first"
		  : p->open_count ? "hedge"
				  : "retry",
		  (long long)(now_us - r->request->received_us), t->outstanding,
		  t->slowness_milli, (long long)r->stats->hedge.mean_us,
		  extra_window_fill_permille(&p->service->extra_calls, now_us));
}

static void send_to(struct gw_part *p, struct gw_target *t, int is_extra,
		    int64_t now_us)
{
	struct gw *g = p->req->gw;
	struct gw_call *call = util_alloc(1, sizeof(*call));

	*call = (struct gw_call){ .call_id = ++g->last_call_id,
				  .gw = g,
				  .part = p,
				  .target = gw_target_ref(t),
				  .service = p->service,
				  .stats = p->req->stats,
				  .sent_us = now_us,
				  .goal_us = (int64_t)p->req->route->goal_ms *
					     US_PER_MS,
				  .is_extra = is_extra };
	log_call(p, t, is_extra, now_us);
	g_hash_table_insert(g->calls, &call->call_id, call);
	TAILQ_INSERT_TAIL(&t->calls, call, link);
	t->outstanding++;
	set_next_cold_call(t, g, p->service, now_us);
	p->open[p->open_count++] = call;
	p->tried_targets[p->tried_count++] = gw_target_ref(t);
	metric_add(METRIC_SUBREQUESTS_SENT, 1);
	g->ops.send(g->ops.ctx, make_call(call, p->req, now_us));
	arm_hedge(p, now_us);
}

static int has_attempt_left(const struct gw_part *p)
{
	return p->tried_count < PART_TARGETS_MAX &&
	       p->tried_count - p->not_run_count < p->req->route->attempts_max;
}

static void on_next_call(void *ctx, int64_t now_us)
{
	gw_send_waiting(ctx, now_us);
}

/*
 * @is_extra: an earlier call of the part may have reached a target, so this one
 * takes from the allowance for extra calls.
 */
static enum send_result try_send(struct gw_part *p, int is_extra,
				 int64_t now_us)
{
	struct gw_pick pick = gw_version_pick(
		p, is_extra, p->req->stats->hedge.mean_us, now_us);

	if (pick.next_call_us)
		timer_queue_arm(p->req->gw->timers,
				&p->service->next_call_timer, pick.next_call_us,
				on_next_call, p->service);
	if (!pick.target)
		return pick.has_full_target ? SEND_BUSY : SEND_NONE;
	if (is_extra &&
	    !extra_window_may_spend(&p->service->extra_calls, now_us)) {
		metric_add(METRIC_EXTRA_CALLS_REFUSED, 1);
		return SEND_NONE;
	}
	if (is_extra)
		extra_window_spend(&p->service->extra_calls, now_us);
	send_to(p, pick.target, is_extra, now_us);
	return SEND_DONE;
}

/*
 * 1 if there is a target that is not avoided, and enough allowance for extra
 * calls to keep some of it for retries.
 */
static int may_hedge(struct gw_part *p, int64_t now_us)
{
	struct gw_pick pick =
		gw_version_pick(p, 1, p->req->stats->hedge.mean_us, now_us);

	return pick.target && now_us >= pick.target->avoid_until_us &&
	       extra_window_fill_permille(&p->service->extra_calls, now_us) >=
		       HEDGE_FILL_MIN_PERMILLE;
}

static void on_hedge(void *ctx, int64_t now_us)
{
	struct gw_part *p = ctx;

	if (p->phase != PART_OPEN || !has_attempt_left(p) ||
	    !gw_req_has_time(p->req, now_us))
		return;
	if (may_hedge(p, now_us) && try_send(p, 1, now_us) == SEND_DONE)
		metric_add(METRIC_HEDGES, 1);
	else
		arm_hedge(p, now_us);
}

static void part_failed(struct gw_part *p, int64_t now_us)
{
	dequeue(p);
	p->phase = PART_FAILED;
	timer_queue_cancel(p->req->gw->timers, &p->hedge_timer);
	p->req->failed_count++;
	gw_req_resume(p->req, now_us);
}

static void on_wait_end(void *ctx, int64_t now_us)
{
	part_failed(ctx, now_us);
}

/*
 * Sends a call for a part that has none in flight. Queues the part if no target
 * has room, and fails it if none is usable or an extra call is not allowed.
 */
static void attempt(struct gw_part *p, int64_t now_us)
{
	int is_extra = p->tried_count > p->unsent_count;

	switch (try_send(p, is_extra, now_us)) {
	case SEND_DONE:
		dequeue(p);
		if (is_extra)
			metric_add(METRIC_RETRIES, 1);
		break;
	case SEND_BUSY:
		enqueue(p);
		break;
	case SEND_NONE:
		part_failed(p, now_us);
		break;
	}
}

static void on_deadline(void *ctx, int64_t now_us)
{
	gw_req_resume(ctx, now_us);
}

static void on_partial_time(void *ctx, int64_t now_us)
{
	struct gw_req *r = ctx;

	r->accepts_partial = 1;
	gw_req_resume(r, now_us);
}

void gw_send_recheck(struct gw_req *r, int64_t now_us)
{
	uint32_t i;

	if (!r->parts)
		return;
	timer_queue_arm(r->gw->timers, &r->deadline_timer, r->deadline_us,
			on_deadline, r);
	if (r->partial_timer.armed_pos)
		timer_queue_arm(r->gw->timers, &r->partial_timer,
				r->partial_after_us, on_partial_time, r);
	for (i = 0; i < r->part_count; i++) {
		if (r->parts[i].phase == PART_WAITING)
			attempt(&r->parts[i], now_us);
	}
}

void gw_send_waiting(struct gw_service *s, int64_t now_us)
{
	uint32_t n = s->waiting_count;

	while (n-- > 0 && !TAILQ_EMPTY(&s->waiting)) {
		struct gw_part *p = TAILQ_FIRST(&s->waiting);

		attempt(p, now_us);
		/* No room for the first part, so none for the others. */
		if (TAILQ_FIRST(&s->waiting) == p)
			return;
	}
}

static void close_call(struct gw_call *call)
{
	struct gw_part *p = call->part;
	uint32_t i;

	for (i = 0; p && i < p->open_count; i++) {
		if (p->open[i] == call) {
			p->open[i] = p->open[--p->open_count];
			break;
		}
	}
	timer_queue_cancel(call->gw->timers, &call->cancel_timer);
	g_hash_table_remove(call->gw->calls, &call->call_id);
	TAILQ_REMOVE(&call->target->calls, call, link);
	call->target->outstanding--;
}

static int is_good(const struct target_reply *r)
{
	return r->code == ERR_OK && r->stamp[0] && !r->not_run &&
	       r->status >= 200 && r->status < 300;
}

/*
 * 1 if the answer is a target's statement about the request itself, and so the
 * final one. Always 0 for a route that gathers.
 */
static int is_final(const struct gw_part *p, const struct target_reply *r)
{
	return !p->req->route->is_gather && r->code == ERR_OK && r->stamp[0] &&
	       !r->not_run && r->status >= 300 && r->status < 500 &&
	       r->status != 408 && r->status != 429;
}

/* Bytes of the status line and of the fields that are not kept. */
#define REPLY_HEAD_BYTES 80
/* Answers over which the size of a part's answer is smoothed. */
#define PART_BYTES_SMOOTHING 16

static void add_part_bytes(struct gw_route_stats *s,
			   const struct target_reply *reply)
{
	uint32_t bytes = (uint32_t)(reply->fields.len_bytes +
				    reply->body.len_bytes + REPLY_HEAD_BYTES);

	s->part_bytes =
		s->part_bytes
			? (s->part_bytes * (PART_BYTES_SMOOTHING - 1) + bytes) /
				  PART_BYTES_SMOOTHING
			: bytes;
}

static void part_answered(struct gw_part *p, struct target_reply *reply,
			  int64_t now_us)
{
	struct gw_req *r = p->req;

	add_part_bytes(r->stats, reply);
	dequeue(p);
	target_reply_free(p->reply);
	p->reply = reply;
	p->phase = PART_ANSWERED;
	timer_queue_cancel(r->gw->timers, &p->hedge_timer);
	abandon_open(p, now_us);
	r->answered_count++;
	gw_req_resume(r, now_us);
}

static int may_retry(const struct gw_part *p, const struct target_reply *r,
		     int64_t now_us)
{
	if (!has_attempt_left(p) || !gw_req_has_time(p->req, now_us))
		return 0;
	return p->req->route->is_idempotent || r->not_run;
}

static void log_failure(const struct gw_part *p, const struct gw_call *call,
			const struct target_reply *r, int64_t now_us)
{
	log_event(LOG_LEVEL_INFO, "target_failed",
		  "request %s service %s target %s code %s status %u not_run "
		  "%u after %lld us",
		  p->req->request->id, p->service->name, call->target->def.id,
		  err_name(r->code), r->status, r->not_run,
		  (long long)(now_us - call->sent_us));
}

static void call_failed(struct gw_part *p, const struct gw_call *call,
			struct target_reply *reply, int64_t now_us)
{
	int retry = may_retry(p, reply, now_us);

	metric_add(METRIC_TARGET_ERRORS, 1);
	log_failure(p, call, reply, now_us);
	p->not_run_count += reply->not_run;
	p->unsent_count += reply->code == ERR_TARGET_CONNECT;
	if (reply->code == ERR_OK && !reply->not_run) {
		target_reply_free(p->reply);
		p->reply = reply;
	} else {
		target_reply_free(reply);
	}
	if (p->open_count > 0) {
		/* Another call may still succeed; sends a hedge if allowed. */
		on_hedge(p, now_us);
		return;
	}
	if (p->phase != PART_OPEN)
		return;
	if (retry)
		attempt(p, now_us);
	else
		part_failed(p, now_us);
}

static enum gw_call_outcome call_outcome_of(const struct target_reply *r,
					    int is_answered)
{
	/*
	 * This host cancelled the call, it did not reach the target, or the
	 * target turned it away.
	 */
	if (r->code == ERR_CANCELLED || r->not_run)
		return CALL_INCONCLUSIVE;
	return is_answered ? CALL_ANSWERED : CALL_FAILED;
}

static enum series_outcome series_outcome_of(const struct target_reply *r,
					     int good)
{
	if (r->code == ERR_CANCELLED)
		return SERIES_CANCELLED;
	if (r->not_run)
		return SERIES_NOT_RUN;
	return good ? SERIES_OK : SERIES_FAILED;
}

void gw_call_finish(struct gw_call *call, struct target_reply *reply,
		    int64_t now_us)
{
	struct gw_part *p = call->part;
	struct gw_service *service = call->service;
	int64_t mean_us = call->stats->hedge.mean_us;
	int good = is_good(reply);

	close_call(call);
	series_observe(service->series, series_outcome_of(reply, good),
		       now_us - call->sent_us);
	gw_version_record_call(
		service, call->target,
		call_outcome_of(reply, good || (p && is_final(p, reply))),
		now_us - call->sent_us, mean_us, now_us);
	if (reply->code != ERR_CANCELLED || now_us - call->sent_us > mean_us)
		gw_health_record_call(call->gw, call->target,
				      !good && reply->code != ERR_CANCELLED,
				      now_us - call->sent_us, mean_us, now_us);
	if (good || (p && is_final(p, reply))) {
		call->target->connected_until_us =
			now_us + SCARCE_IDLE_MS * US_PER_MS;
		gw_target_adapt_limit(call->target, reply->service_us,
				      call->goal_us);
		if (!call->is_extra)
			hedge_delay_sample(&call->stats->hedge,
					   reply->service_us);
		gw_target_answered(call->target, reply->service_us, mean_us,
				   now_us);
	} else if (reply->code == ERR_CANCELLED) {
		gw_target_abandoned(call->target, now_us - call->sent_us,
				    mean_us, now_us);
	} else {
		gw_target_failed(call->target, reply, call->sent_us, now_us);
	}
	gw_target_heard(call->gw, call->target, reply, now_us);
	if (!p)
		target_reply_free(reply);
	else if (good || is_final(p, reply))
		part_answered(p, reply, now_us);
	else
		call_failed(p, call, reply, now_us);
	gw_target_unref(call->target);
	free(call);
	gw_send_waiting(service, now_us);
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;
	uint32_t fill_permille = 0;
	uint32_t i;

	if (!gw_req_has_time(r, now_us))
		return r->gw->stop_us ? gw_leave_refuse(r)
				      : gw_req_refuse(r, 503, ERR_DEADLINE, 0);
	metric_add(METRIC_SHARDS_ASKED, r->part_count);
	for (i = 0; i < r->part_count; i++) {
		struct extra_window *w = &r->parts[i].service->extra_calls;

		extra_window_count_request(w, now_us);
		fill_permille +=
			extra_window_fill_permille(w, now_us) / r->part_count;
	}
	hedge_delay_adjust(&r->stats->hedge, now_us, fill_permille);
	for (i = 0; i < r->part_count; i++)
		attempt(&r->parts[i], now_us);
	timer_queue_arm(r->gw->timers, &r->deadline_timer, r->deadline_us,
			on_deadline, r);
	if (r->route->is_gather)
		timer_queue_arm(r->gw->timers, &r->partial_timer,
				r->partial_after_us, on_partial_time, r);
	return FILTER_NEXT;
}

/* Abandons all calls of the request that are still open. */
static void leave(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;
	uint32_t i;

	for (i = 0; i < r->part_count; i++) {
		dequeue(&r->parts[i]);
		timer_queue_cancel(r->gw->timers, &r->parts[i].hedge_timer);
		abandon_open(&r->parts[i], now_us);
	}
}

struct filter gw_filter_send(struct gw *g)
{
	return (struct filter){ "send", enter, leave, g };
}

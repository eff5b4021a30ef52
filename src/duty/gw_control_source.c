/*
 * Where changes of the store come from: the store itself at the root of the
 * tree of hosts, another host elsewhere (controller/host_tree.h). Whatever the
 * source, a state whose age reaches the limit is read from the store again,
 * so that a source that hears nothing cannot hold changes back.
 */
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "duty/gw_control_internal.h"
#include "platform/platform_docs.h"

/*
 * Parts of apply_ms. A watch waits and changes are gathered for less than the
 * limit on the state's age together, so that a quiet store causes no reads
 * beyond the root's; after the limit, the rest is left for one read.
 */
#define WATCH_WAIT_PERMILLE 400
#define WATCH_GAP_PERMILLE 200
#define FRESH_PERMILLE 700
/* Longest hold and gap during a rollout, whose steps last seconds. */
#define ROLLOUT_MS 200
/* After a call that failed; the store client adds its own backoff. */
#define RETRY_US (150 * US_PER_MS)
/* A read that only asks whether something changed waits for nothing. */
#define READ_WAIT_MS 1

static int64_t part_us(const struct gw_control *c, int64_t permille)
{
	return (int64_t)c->opt.apply_ms * US_PER_MS * permille / PERMILLE;
}

static uint32_t part_ms(const struct gw_control *c, uint32_t permille)
{
	return c->opt.apply_ms * permille / PERMILLE;
}

static void on_next(void *ctx, int64_t now_us);
static void on_fresh_limit(void *ctx, int64_t now_us);

static void arm_next(struct gw_control *c, int64_t at_us)
{
	timer_queue_arm(duty_timers(c->duty), &c->next_call_timer, at_us,
			on_next, c);
}

static void arm_fresh(struct gw_control *c, int64_t at_us)
{
	timer_queue_arm(duty_timers(c->duty), &c->fresh_timer, at_us,
			on_fresh_limit, c);
}

/* One call covers all keys, so that it counts as one. */
static void call_store(struct gw_control *c, uint32_t wait_ms,
		       enum store_call_kind token)
{
	struct kv_call call = { .op = KV_WATCH,
				.version = store_mirror_rev(c->store_state),
				.ttl_ms = wait_ms,
				.is_one_shot = 1,
				.timeout_ms =
					2 * wait_ms + STORE_CALL_TIMEOUT_MS };

	util_copy_str(call.key, sizeof(call.key), PLATFORM_PREFIX_ALL);
	gw_control_store_call(c, &call, token);
}

static void drop_follow(void *body)
{
	follow_request_free(body);
}

void gw_control_call_peer(struct gw_control *c, const struct host_entry *h,
			  uint32_t hold_ms)
{
	struct follow_request *f = util_alloc(1, sizeof(*f));
	struct msg m = { MSG_FOLLOW_REQUEST, f, drop_follow };

	memcpy(f->host, h->name, sizeof(f->host));
	memcpy(f->address, h->address, sizeof(f->address));
	f->port = h->port;
	f->rev = store_mirror_rev(c->store_state);
	f->hold_ms = hold_ms;
	f->evidence = gw_control_take_reports(c, &f->evidence_count);
	if (ring_push(c->opt.relay, &m) == ERR_OK) {
		c->is_following = 1;
		return;
	}
	log_event(LOG_LEVEL_ERROR, "ring_full", "call to host %s dropped",
		  h->name);
	follow_request_free(f);
}

/* Evidence goes with the calls, so during a rollout none is held for long. */
static uint32_t hold_ms(const struct gw_control *c)
{
	uint32_t ms = part_ms(c, WATCH_WAIT_PERMILLE + WATCH_GAP_PERMILLE);

	return canary_is_active(c->rollouts) ? util_min_u32(ms, ROLLOUT_MS)
					     : ms;
}

static int64_t gap_us(const struct gw_control *c)
{
	int64_t us = part_us(c, WATCH_GAP_PERMILLE);

	return canary_is_active(c->rollouts)
		       ? util_min_i64(us, ROLLOUT_MS * US_PER_MS)
		       : us;
}

static void on_next(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	const struct host_entry *h =
		c->opt.relay ? host_tree_choose_source(c->host_tree, now_us)
			     : NULL;

	if (h && !c->is_following) {
		gw_control_call_peer(c, h, hold_ms(c));
	} else if (!h && !c->is_watching) {
		c->is_watching = 1;
		call_store(c, part_ms(c, WATCH_WAIT_PERMILLE),
			   STORE_CALL_WATCH);
	}
}

static void on_fresh_limit(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;

	if (!c->is_reading) {
		c->is_reading = 1;
		call_store(c, READ_WAIT_MS, STORE_CALL_READ);
	}
	arm_fresh(c, now_us + part_us(c, FRESH_PERMILLE) / 2);
}

static void drop_reply(void *body)
{
	follower_reply_free(body);
}

/* Answers the call of a follower with what it lacks. */
static void answer(struct gw_control *c, const struct follower_call *call)
{
	struct follower_reply *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_FOLLOWER_REPLY, r, drop_reply };

	r->conn = call->conn;
	r->xid = call->xid;
	r->received_us = call->received_us;
	r->update = store_mirror_changes_since(c->store_state, call->rev);
	r->update->confirmed_us = c->fresh_us;
	r->update->regained_us = c->returned_us;
	if (ring_push(c->opt.relay, &m) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "ring_full",
			  "answer to a follower dropped");
		follower_reply_free(r);
	}
}

static void release(gpointer p)
{
	struct follower_call *call = p;
	struct gw_control *c = call->owner;

	timer_queue_cancel(duty_timers(c->duty), &call->hold_timer);
	follower_call_free(call);
}

static void on_hold_over(void *ctx, int64_t now_us)
{
	struct follower_call *call = ctx;
	struct gw_control *c = call->owner;

	answer(c, call);
	g_ptr_array_remove_fast(c->held_calls, call);
}

void gw_control_follower_call(struct gw_control *c, struct follower_call *call,
			      int64_t now_us)
{
	call->owner = c;
	gw_control_add_reports(c, call->evidence, call->evidence_count, now_us);
	if (call->rev < store_mirror_rev(c->store_state)) {
		answer(c, call);
		follower_call_free(call);
		return;
	}
	g_ptr_array_add(c->held_calls, call);
	timer_queue_arm(duty_timers(c->duty), &call->hold_timer,
			now_us + (int64_t)util_min_u32(call->hold_ms,
						       c->opt.apply_ms) *
					 US_PER_MS,
			on_hold_over, call);
}

static void answer_held(struct gw_control *c)
{
	guint i;

	for (i = 0; i < c->held_calls->len; i++)
		answer(c, g_ptr_array_index(c->held_calls, i));
	g_ptr_array_set_size(c->held_calls, 0);
}

struct pair_ctx {
	struct gw_control *control;
	int64_t now_us;
};

static void on_pair(void *ctx, const struct kv_pair *p)
{
	struct pair_ctx *pc = ctx;

	gw_control_apply_pair(pc->control, p, pc->now_us);
}

static void take_update(struct gw_control *c, const struct store_update *u,
			int64_t now_us)
{
	struct pair_ctx pc = { c, now_us };

	/*
	 * Only when nobody told this host of the store meanwhile was it the
	 * store that was away; otherwise it was one host, and what is gone is
	 * gone.
	 */
	if (u->regained_us - c->fresh_us > part_us(c, FRESH_PERMILLE) &&
	    u->regained_us > c->returned_us) {
		c->returned_us = u->regained_us;
		discovery_store_regained(c->discovery, u->regained_us);
	}
	store_mirror_apply(c->store_state, u, on_pair, &pc);
	metric_set(METRIC_STATE_REV, store_mirror_rev(c->store_state));
	if (u->confirmed_us > c->fresh_us) {
		if (c->fresh_us)
			metric_set(METRIC_STATE_AGE_MS,
				   (uint64_t)(u->confirmed_us - c->fresh_us) /
					   US_PER_MS);
		c->fresh_us = u->confirmed_us;
		arm_fresh(c, c->fresh_us + part_us(c, FRESH_PERMILLE));
		answer_held(c);
	}
}

/* For logs; -1: never known. */
static int64_t age_ms(int64_t fresh_us, int64_t now_us)
{
	return fresh_us ? (now_us - fresh_us) / US_PER_MS : -1;
}

static void store_lost(struct gw_control *c, const struct err *err,
		       int64_t now_us)
{
	if (!c->is_store_lost)
		log_event(LOG_LEVEL_WARNING, "store_lost",
			  "%s: %s; state of revision %llu is %lld ms old",
			  err_name(err->code), err->detail,
			  (unsigned long long)store_mirror_rev(c->store_state),
			  (long long)age_ms(c->fresh_us, now_us));
	c->is_store_lost = 1;
	host_tree_store_failed(c->host_tree, now_us);
}

static void take_answer(struct gw_control *c, const struct kv_result *r,
			int64_t now_us)
{
	struct store_update u = { .rev = r->version,
				  .is_full = r->is_full,
				  .confirmed_us = now_us,
				  .pair_count = r->pair_count,
				  .pairs = r->pairs };

	if (c->is_store_lost) {
		log_event(LOG_LEVEL_INFO, "store_regained", "revision %llu",
			  (unsigned long long)r->version);
		u.regained_us = now_us;
	}
	c->is_store_lost = 0;
	host_tree_store_ok(c->host_tree);
	take_update(c, &u, now_us);
}

void gw_control_watch_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us)
{
	int64_t next_us = now_us;

	c->is_watching = 0;
	if (r->err.code != ERR_OK) {
		store_lost(c, &r->err, now_us);
		next_us += RETRY_US;
	} else {
		take_answer(c, r, now_us);
		if (r->pair_count)
			next_us += gap_us(c);
	}
	arm_next(c, next_us);
}

void gw_control_read_done(struct gw_control *c, const struct kv_result *r,
			  int64_t now_us)
{
	c->is_reading = 0;
	if (r->err.code != ERR_OK)
		store_lost(c, &r->err, now_us);
	else
		take_answer(c, r, now_us);
}

void gw_control_follow_done(struct gw_control *c, const struct follow_result *f,
			    int64_t now_us)
{
	const struct store_update *u = f->update;
	int64_t stale_us = now_us - part_us(c, FRESH_PERMILLE);

	c->is_following = 0;
	if (!u) {
		log_event(LOG_LEVEL_WARNING, "host_unreachable", "%s: %s",
			  err_name(f->err.code), f->err.detail);
		host_tree_peer_failed(c->host_tree, f->host, now_us);
		arm_next(c, now_us + RETRY_US);
		return;
	}
	if (u->confirmed_us < stale_us) {
		log_event(LOG_LEVEL_INFO, "host_behind",
			  "host %s is at revision %llu, %lld ms old", f->host,
			  (unsigned long long)u->rev,
			  (long long)age_ms(u->confirmed_us, now_us));
		host_tree_peer_failed(c->host_tree, f->host, now_us);
	}
	take_update(c, u, now_us);
	arm_next(c, now_us);
}

void gw_control_start_source(struct gw_control *c, int64_t now_us)
{
	c->held_calls = g_ptr_array_new_with_free_func(release);
	arm_next(c, now_us);
}

void gw_control_free_source(struct gw_control *c)
{
	if (c->held_calls)
		g_ptr_array_free(c->held_calls, TRUE);
}

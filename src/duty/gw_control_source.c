/*
 * The source of changes of the store: the root of the tree of hosts watches the
 * store, every other host follows another host (controller/host_tree.h). With
 * either source, the state is read from the store again when its age reaches a
 * limit, so that a source that learns nothing cannot hold changes back.
 */
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "duty/gw_control_internal.h"
#include "model/store_pos.h"
#include "platform/platform_docs.h"

/*
 * Times in permille of apply_ms: how long a watch waits for a change, how long
 * changes are gathered before the next watch, and the age limit of the state,
 * at which it is read again and beyond which a followed host counts as behind.
 * The first two together are shorter than the third, so that only the root
 * reads a store without changes. The rest of apply_ms is left for one read.
 */
#define WATCH_WAIT_PERMILLE 400
#define WATCH_GAP_PERMILLE 200
#define AGE_LIMIT_PERMILLE 700
/*
 * Longest hold of a call and longest gap between watches during a rollout,
 * whose steps last seconds.
 */
#define ROLLOUT_WAIT_MS 200
/*
 * Longest wait after a failed call; the store duty adds its own backoff. In
 * permille of apply_ms it is short enough for the read that follows a failed
 * watch to succeed before the age limit, with as much left for the read.
 */
#define RETRY_MAX_US (150 * US_PER_MS)
#define RETRY_PERMILLE 50
/*
 * Longest value that is kept of a key other than the configuration. The entries
 * of targets and hosts have some hundred bytes; a longer one is odd, and is not
 * passed on to all followers.
 */
#define VALUE_BYTES_MAX 65536
/* Wait time of a watch that only asks whether something has changed. */
#define READ_WAIT_MS 1

static int64_t apply_part_us(const struct gw_control *c, int64_t permille)
{
	return (int64_t)c->opt.apply_ms * US_PER_MS * permille / PERMILLE;
}

static uint32_t apply_part_ms(const struct gw_control *c, uint32_t permille)
{
	return c->opt.apply_ms * permille / PERMILLE;
}

static int64_t retry_us(const struct gw_control *c)
{
	return util_min_i64(apply_part_us(c, RETRY_PERMILLE), RETRY_MAX_US);
}

static void on_next_call(void *ctx, int64_t now_us);
static void on_age_limit(void *ctx, int64_t now_us);

static void arm_next_call(struct gw_control *c, int64_t at_us)
{
	timer_queue_arm(duty_timers(c->duty), &c->next_call_timer, at_us,
			on_next_call, c);
}

static void arm_age_limit(struct gw_control *c, int64_t at_us)
{
	timer_queue_arm(duty_timers(c->duty), &c->age_timer, at_us,
			on_age_limit, c);
}

/* Watches all keys in one call, which counts once against the store's rate. */
static void call_store(struct gw_control *c, uint32_t wait_ms,
		       enum store_call_kind kind)
{
	struct kv_call call = {
		.op = KV_WATCH,
		.rev = c->needs_listing ? 0 : store_mirror_rev(c->mirror),
		.ttl_ms = wait_ms,
		.is_one_shot = 1,
		.timeout_ms = 2 * wait_ms + STORE_CALL_TIMEOUT_MS
	};

	util_copy_str(call.key, sizeof(call.key), PLATFORM_PREFIX_ALL);
	gw_control_store_call(c, &call, kind);
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
	f->rev = store_mirror_rev(c->mirror);
	f->hold_ms = hold_ms;
	f->reports = gw_control_take_reports(c, &f->report_count);
	if (ring_push(c->opt.relay, &m) == ERR_OK) {
		c->is_following = 1;
		return;
	}
	log_event(LOG_LEVEL_ERROR, "ring_full", "call to host %s dropped",
		  h->name);
	follow_request_free(f);
}

/*
 * Time for which the followed host may hold a call. The calls carry the reports
 * on versions, so none is held for long during a rollout.
 */
static uint32_t hold_ms(const struct gw_control *c)
{
	uint32_t ms =
		apply_part_ms(c, WATCH_WAIT_PERMILLE + WATCH_GAP_PERMILLE);

	return canary_is_active(c->rollouts) ? util_min_u32(ms, ROLLOUT_WAIT_MS)
					     : ms;
}

/* Time for which changes are gathered before the next watch. */
static int64_t gap_us(const struct gw_control *c)
{
	int64_t us = apply_part_us(c, WATCH_GAP_PERMILLE);

	return canary_is_active(c->rollouts)
		       ? util_min_i64(us, ROLLOUT_WAIT_MS * US_PER_MS)
		       : us;
}

void gw_control_read(struct gw_control *c, int64_t now_us)
{
	if (c->is_reading)
		return;
	c->is_reading = 1;
	c->read_sent_us = now_us;
	call_store(c, READ_WAIT_MS, STORE_CALL_READ);
}

static void on_next_call(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	const struct host_entry *h =
		c->opt.relay ? host_tree_choose_source(c->host_tree, now_us)
			     : NULL;

	/* The failure may have been that of one connection. */
	if (h && c->needs_read)
		gw_control_read(c, now_us);
	c->needs_read = 0;
	if (h && !c->is_following) {
		gw_control_call_peer(c, h, hold_ms(c));
	} else if (!h && !c->is_watching) {
		c->is_watching = 1;
		c->watch_sent_us = now_us;
		call_store(c, apply_part_ms(c, WATCH_WAIT_PERMILLE),
			   STORE_CALL_WATCH);
	}
}

static void on_age_limit(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;

	gw_control_read(c, now_us);
	arm_age_limit(c, now_us + apply_part_us(c, AGE_LIMIT_PERMILLE) / 2);
}

static void drop_reply(void *body)
{
	follower_reply_free(body);
}

/* Answers a follower's call with the changes that the follower lacks. */
static void answer_follower(struct gw_control *c,
			    const struct follower_call *call)
{
	struct follower_reply *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_FOLLOWER_REPLY, r, drop_reply };

	r->conn = call->conn;
	r->xid = call->xid;
	r->received_us = call->received_us;
	r->update = store_mirror_changes_since(c->mirror, call->rev);
	r->update->has_deletions = !c->needs_listing;
	r->update->confirmed_us = c->confirmed_us;
	r->update->regained_us = c->regained_us;
	if (ring_push(c->opt.relay, &m) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "ring_full",
			  "answer to a follower dropped");
		follower_reply_free(r);
	}
}

static void held_call_free(gpointer p)
{
	struct follower_call *call = p;
	struct gw_control *c = call->owner;

	timer_queue_cancel(duty_timers(c->duty), &call->hold_timer);
	follower_call_free(call);
}

static void on_hold_end(void *ctx, int64_t now_us)
{
	struct follower_call *call = ctx;
	struct gw_control *c = call->owner;

	answer_follower(c, call);
	g_ptr_array_remove_fast(c->held_calls, call);
}

void gw_control_follower_call(struct gw_control *c, struct follower_call *call,
			      int64_t now_us)
{
	call->owner = c;
	gw_control_add_reports(c, call->reports, call->report_count, now_us);
	if (call->has_no_era)
		/* Its revision counts in the era of this host's state. */
		call->rev = store_pos(
			store_pos_era(store_mirror_rev(c->mirror)), call->rev);
	gw_control_hear_era(c, store_pos_era(call->rev), "a follower", now_us);
	if (call->rev < store_mirror_rev(c->mirror)) {
		answer_follower(c, call);
		follower_call_free(call);
		return;
	}
	g_ptr_array_add(c->held_calls, call);
	timer_queue_arm(duty_timers(c->duty), &call->hold_timer,
			now_us + (int64_t)util_min_u32(call->hold_ms,
						       c->opt.apply_ms) *
					 US_PER_MS,
			on_hold_end, call);
}

static void answer_held(struct gw_control *c)
{
	guint i;

	for (i = 0; i < c->held_calls->len; i++)
		answer_follower(c, g_ptr_array_index(c->held_calls, i));
	g_ptr_array_set_size(c->held_calls, 0);
}

void gw_control_on_pair(void *ctx, const struct kv_pair *p)
{
	struct gw_control_pair_ctx *pc = ctx;

	gw_control_apply_pair(pc->control, p, pc->now_us);
}

static void apply_update(struct gw_control *c, const struct store_update *u,
			 int64_t now_us)
{
	struct gw_control_pair_ctx pc = { c, now_us };
	int is_later_era = store_mirror_rev(c->mirror) && u->is_full &&
			   store_pos_era(u->rev) >
				   store_pos_era(store_mirror_rev(c->mirror));

	/*
	 * If this host's state was confirmed within the age limit, and the time
	 * that the read takes then, before the store came back, other hosts
	 * still reached the store: only one host had lost it, and entries that
	 * are missing have been deleted. Otherwise the store was out of reach,
	 * and entries may have lapsed meanwhile.
	 */
	if (u->regained_us - c->confirmed_us >
		    apply_part_us(c, AGE_LIMIT_PERMILLE + RETRY_PERMILLE) &&
	    u->regained_us > c->regained_us) {
		c->regained_us = u->regained_us;
		discovery_store_regained(c->discovery, u->regained_us);
	}
	if (!u->has_deletions)
		c->needs_listing = 1;
	else if (u->is_full && u->rev >= store_mirror_rev(c->mirror))
		c->needs_listing = 0;
	if (is_later_era)
		gw_control_store_returns(c, now_us);
	store_mirror_apply(c->mirror, u, gw_control_on_pair, &pc);
	if (is_later_era)
		gw_control_store_returned(c, now_us);
	metric_set(METRIC_STATE_REV,
		   store_pos_rev(store_mirror_rev(c->mirror)));
	if (u->confirmed_us > c->confirmed_us) {
		if (c->confirmed_us)
			metric_set(
				METRIC_STATE_AGE_MS,
				(uint64_t)(u->confirmed_us - c->confirmed_us) /
					US_PER_MS);
		c->confirmed_us = u->confirmed_us;
		arm_age_limit(c, c->confirmed_us +
					 apply_part_us(c, AGE_LIMIT_PERMILLE));
		answer_held(c);
	}
}

/* Age of a state for the logs; -1 when the state was never confirmed. */
static int64_t age_ms(int64_t confirmed_us, int64_t now_us)
{
	return confirmed_us ? (now_us - confirmed_us) / US_PER_MS : -1;
}

/*
 * A call that was sent at @sent_us has failed. If the store has answered another
 * one since, that says nothing of the store now: the call may have been sent
 * while the store was out of reach, and have failed late. Returns 1 if the store
 * counts as lost.
 */
static int on_store_failed(struct gw_control *c, const struct err *err,
			   int64_t sent_us, int64_t now_us)
{
	if (sent_us < c->store_ok_us) {
		log_event(LOG_LEVEL_INFO, "store_call_late",
			  "%s: %s; sent %lld ms ago, the store has answered "
			  "%lld ms ago",
			  err_name(err->code), err->detail,
			  (long long)age_ms(sent_us, now_us),
			  (long long)age_ms(c->store_ok_us, now_us));
		return 0;
	}
	if (!c->is_store_lost)
		log_event(LOG_LEVEL_WARNING, "store_lost",
			  "%s: %s; state of revision %llu is %lld ms old",
			  err_name(err->code), err->detail,
			  (unsigned long long)store_pos_rev(
				  store_mirror_rev(c->mirror)),
			  (long long)age_ms(c->confirmed_us, now_us));
	c->is_store_lost = 1;
	host_tree_store_failed(c->host_tree, now_us);
	return 1;
}

/* Drops values that are too long; the decoders refuse what is left. */
static void drop_long_values(const struct kv_result *r)
{
	const char *name;
	uint32_t i;

	for (i = 0; i < r->pair_count; i++) {
		struct kv_pair *p = &r->pairs[i];

		if (p->value_bytes <= VALUE_BYTES_MAX ||
		    platform_key_parse(p->key, &name) == PLATFORM_KEY_CONFIG)
			continue;
		log_event(LOG_LEVEL_WARNING, "store_value_dropped",
			  "value of '%s' at revision %llu has %u bytes", p->key,
			  (unsigned long long)store_pos_rev(p->rev),
			  p->value_bytes);
		p->value[0] = '\0';
		p->value_bytes = 0;
	}
}

static void apply_store_result(struct gw_control *c, const struct kv_result *r,
			       int64_t now_us)
{
	struct store_update u = { .rev = r->rev,
				  .is_full = r->is_full,
				  .has_deletions = 1,
				  .confirmed_us = r->has_more ? 0 : now_us,
				  .pair_count = r->pair_count,
				  .pairs = r->pairs };

	if (c->is_store_lost) {
		log_event(LOG_LEVEL_INFO, "store_regained", "revision %llu",
			  (unsigned long long)store_pos_rev(r->rev));
		u.regained_us = now_us;
	}
	c->is_store_lost = 0;
	c->store_ok_us = now_us;
	host_tree_store_ok(c->host_tree);
	drop_long_values(r);
	apply_update(c, &u, now_us);
}

void gw_control_relist(struct gw_control *c, enum store_call_kind kind,
		       int64_t now_us)
{
	if (kind == STORE_CALL_WATCH) {
		c->is_watching = 0;
		arm_next_call(c, now_us);
		return;
	}
	c->is_reading = 0;
	gw_control_read(c, now_us);
}

void gw_control_watch_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us)
{
	int64_t next_us = now_us;

	c->is_watching = 0;
	if (r->err.code != ERR_OK) {
		next_us += retry_us(c);
		c->needs_read |=
			on_store_failed(c, &r->err, c->watch_sent_us, now_us);
	} else {
		apply_store_result(c, r, now_us);
		if (r->pair_count && !r->has_more)
			next_us += gap_us(c);
	}
	arm_next_call(c, next_us);
}

void gw_control_read_done(struct gw_control *c, const struct kv_result *r,
			  int64_t now_us)
{
	c->is_reading = 0;
	if (r->err.code != ERR_OK) {
		/*
		 * The next one goes out when the backoff of the store duty
		 * allows it, so that its return is known soon.
		 */
		if (on_store_failed(c, &r->err, c->read_sent_us, now_us))
			arm_age_limit(c, now_us + retry_us(c));
		return;
	}
	apply_store_result(c, r, now_us);
	if (r->has_more)
		gw_control_read(c, now_us);
}

/*
 * 1 if @u may be ordered against what this host knows: it is of the latest era,
 * and not changes against a state of another one.
 */
static int is_of_era(const struct gw_control *c, const struct store_update *u)
{
	if (store_pos_era(u->rev) != c->era)
		return 0;
	return u->is_full || gw_control_is_listed(c);
}

void gw_control_follow_done(struct gw_control *c, const struct follow_result *f,
			    int64_t now_us)
{
	const struct store_update *u = f->update;
	int64_t stale_us = now_us - apply_part_us(c, AGE_LIMIT_PERMILLE);

	c->is_following = 0;
	if (u)
		gw_control_hear_era(c, store_pos_era(u->rev), f->host, now_us);
	if (!u) {
		log_event(LOG_LEVEL_WARNING, "host_unreachable", "%s: %s",
			  err_name(f->err.code), f->err.detail);
		host_tree_peer_failed(c->host_tree, f->host, f->sent_us,
				      now_us);
		arm_next_call(c, now_us + retry_us(c));
		return;
	}
	if (!is_of_era(c, u)) {
		log_event(LOG_LEVEL_INFO, "host_behind",
			  "host %s is at era %llu revision %llu, known is era "
			  "%llu",
			  f->host, (unsigned long long)store_pos_era(u->rev),
			  (unsigned long long)store_pos_rev(u->rev),
			  (unsigned long long)c->era);
		host_tree_peer_failed(c->host_tree, f->host, f->sent_us,
				      now_us);
		arm_next_call(c, now_us + retry_us(c));
		return;
	}
	if (!u->has_deletions) {
		log_event(LOG_LEVEL_INFO, "host_unsound",
			  "the state of host %s at revision %llu may lack "
			  "deletions; it is %s",
			  f->host, (unsigned long long)store_pos_rev(u->rev),
			  c->is_store_lost ? "taken over until the store can "
					     "be listed"
					   : "ignored");
		host_tree_peer_unsound(c->host_tree, f->host, now_us);
		if (!c->is_store_lost) {
			arm_next_call(c, now_us);
			return;
		}
	}
	if (u->confirmed_us < stale_us) {
		log_event(LOG_LEVEL_INFO, "host_behind",
			  "host %s is at revision %llu, %lld ms old", f->host,
			  (unsigned long long)store_pos_rev(u->rev),
			  (long long)age_ms(u->confirmed_us, now_us));
		host_tree_peer_failed(c->host_tree, f->host, f->sent_us,
				      now_us);
	}
	apply_update(c, u, now_us);
	arm_next_call(c, now_us);
}

void gw_control_start_source(struct gw_control *c, int64_t now_us)
{
	c->held_calls = g_ptr_array_new_with_free_func(held_call_free);
	arm_next_call(c, now_us);
}

void gw_control_free_source(struct gw_control *c)
{
	if (c->held_calls)
		g_ptr_array_free(c->held_calls, TRUE);
}

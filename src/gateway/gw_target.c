/* Statistics of each target, and the choice of the target for a call. */
#include <string.h>

#include "base/log.h"
#include "gateway/gw_internal.h"

#define MILLI 1000
/*
 * Time since the last answer after which a new one weighs as much as all before
 * it. With many hosts, each gets one or two answers of a target per second.
 */
#define TIME_SMOOTHING_US (1 * US_PER_S)
/* Calls over which the share of failures is smoothed. */
#define FAILURE_SMOOTHING 8
/*
 * Time without an answer in which a slow target's slowness falls back to the
 * mean, so that the target is tried again.
 */
#define FORGET_US (4 * US_PER_S)
/* Limit for one call: a pause of a target must not count as its speed. */
#define SLOWNESS_MAX_MILLI 8000
/*
 * Added cost of a call to another data centre, bytes on the link included, in
 * thousandths of the mean answer time. It is more than the cost of waiting
 * behind two calls nearby, and less than behind three.
 */
#define REMOTE_COST_MILLI 2500
/* Added cost of a call that has to open a connection, in the same unit. */
#define CONNECT_COST_MILLI 1000
/* A call open for this many mean answer times is a sign of a paused target. */
#define STALL_MEANS 2
/*
 * A call that took longer than LIMIT_GOAL_PERMILLE of its goal lowers the
 * target's concurrency limit to LIMIT_DECREASE_PERMILLE of it, because the
 * target's queue is longer than answers can wait.
 */
#define LIMIT_GOAL_PERMILLE 500
#define LIMIT_DECREASE_PERMILLE 850
/* A share f of failed calls multiplies the cost of a call by 1 + this * f. */
#define FAILURE_WEIGHT 6
/*
 * A target is avoided after AVOID_FAILURES failures in a row or one failed
 * connect: for AVOID_MIN_US, doubled once for each failure in a row, the first
 * one included, at most AVOID_MAX_US.
 */
#define AVOID_MIN_US (100 * US_PER_MS)
#define AVOID_MAX_US (2 * US_PER_S)
#define AVOID_FAILURES 2
#define AVOID_DOUBLINGS_MAX 5
/*
 * Time without calls to a target after an answer with STATUS_MISDIRECTED: its
 * address is that of another target, and each further call would count as an
 * extra call at that one's service. A new address ends the time early, but no
 * new address arrives while the store is unreachable.
 */
#define MISDIRECTED_US (30 * US_PER_S)
#define STATUS_MISDIRECTED 421
/*
 * A process that is leaving may lose its entry in the store and get it back;
 * this time is longer than any process takes to leave.
 */
#define LEAVING_KEPT_US (600 * (int64_t)US_PER_S)
/* Longest warm-up that is believed; warm-ups take seconds to minutes. */
#define WARMUP_MS_MAX (3600 * MS_PER_S)

struct gw_target *gw_target_ref(struct gw_target *t)
{
	t->refs++;
	return t;
}

void gw_target_unref(struct gw_target *t)
{
	if (--t->refs == 0)
		free(t);
}

static uint32_t smooth_failed_permille(uint32_t old, uint32_t sample)
{
	return (old * (FAILURE_SMOOTHING - 1) + sample) / FAILURE_SMOOTHING;
}

/* Adds @took_us to the smoothed slowness as one answer time. */
static void add_answer_time(struct gw_target *t, int64_t took_us,
			    int64_t mean_us, int64_t now_us)
{
	int64_t elapsed_us = util_min_i64(now_us - t->answered_us, FORGET_US);
	int64_t sample_milli = took_us * MILLI / util_max_i64(mean_us, 1);

	sample_milli = util_min_i64(sample_milli, SLOWNESS_MAX_MILLI);
	t->slowness_milli = (uint32_t)((t->slowness_milli * TIME_SMOOTHING_US +
					sample_milli * elapsed_us) /
				       (TIME_SMOOTHING_US + elapsed_us));
	t->answered_us = now_us;
}

void gw_target_answered(struct gw_target *t, int64_t service_us,
			int64_t mean_us, int64_t now_us)
{
	add_answer_time(t, service_us, mean_us, now_us);
	t->failed_permille = smooth_failed_permille(t->failed_permille, 0);
	t->failures_in_row = 0;
	t->avoid_until_us = 0;
	t->succeeded_us = now_us;
}

void gw_target_abandoned(struct gw_target *t, int64_t waited_us,
			 int64_t mean_us, int64_t now_us)
{
	/* The answer would have taken longer; a short wait shows nothing. */
	if (waited_us * MILLI > (int64_t)t->slowness_milli * mean_us)
		add_answer_time(t, waited_us, mean_us, now_us);
}

void gw_target_failed(struct gw_target *t, const struct target_reply *reply,
		      int64_t sent_us, int64_t now_us)
{
	uint32_t doublings;

	t->failed_permille =
		smooth_failed_permille(t->failed_permille, PERMILLE);
	if (reply->code == ERR_TARGET_TIMEOUT && sent_us < t->succeeded_us)
		return;
	t->failures_in_row++;
	if (reply->status == STATUS_MISDIRECTED) {
		t->misdirected_until_us = now_us + MISDIRECTED_US;
		return;
	}
	if (t->failures_in_row < AVOID_FAILURES &&
	    reply->code != ERR_TARGET_CONNECT)
		return;
	doublings = util_min_u32(t->failures_in_row, AVOID_DOUBLINGS_MAX);
	t->avoid_until_us =
		now_us + util_min_i64(AVOID_MIN_US << doublings, AVOID_MAX_US);
}

static void set_kept_until(struct gw_target *t, int64_t at_us)
{
	t->kept_until_us = util_max_i64(t->kept_until_us, at_us);
}

int64_t gw_target_cold_interval_us(const struct gw *g,
				   const struct gw_service *s)
{
	if (!s->cold_rate_milli)
		return 0;
	/* Each host sends its share of the rate at equal intervals. */
	return (int64_t)(US_PER_S * gw_host_divisor_milli(g, s) /
			 s->cold_rate_milli);
}

void gw_target_set_warmup(const struct gw *g, struct gw_target *t,
			  uint32_t left_ms, int64_t now_us)
{
	const struct gw_service *s =
		g_hash_table_lookup(g->services, t->def.service);

	/*
	 * All hosts learn of it at about the same time; their first calls must
	 * not come together.
	 */
	if (now_us >= t->cold_until_us && s)
		t->cold_next_call_us =
			now_us + gw_target_cold_interval_us(g, s) *
					 g->turn_permille / PERMILLE;
	left_ms = util_min_u32(left_ms, WARMUP_MS_MAX);
	t->cold_until_us = now_us + (int64_t)left_ms * US_PER_MS;
}

void gw_target_bind_warmup(const struct gw *g, struct gw_target *t,
			   uint32_t previous_ms, int64_t now_us)
{
	if (t->def.warmup_left_ms == previous_ms)
		return;
	if (t->def.warmup_left_ms) {
		gw_target_set_warmup(g, t, t->def.warmup_left_ms, now_us);
		t->bound_cold_until_us = t->cold_until_us;
	} else if (t->cold_until_us == t->bound_cold_until_us) {
		t->cold_until_us = now_us;
	}
}

void gw_target_keep_leaving(struct gw_target *t, int64_t now_us)
{
	if (t->is_leaving)
		set_kept_until(t, now_us + LEAVING_KEPT_US);
}

static void set_leaving(struct gw_target *t, int64_t now_us)
{
	if (!t->is_leaving)
		log_event(LOG_LEVEL_INFO, "target_leaving",
			  "target %s service %s says that it is leaving, %u "
			  "calls open",
			  t->def.id, t->def.service, t->outstanding);
	t->is_leaving = 1;
	t->is_usable = 0;
	gw_target_keep_leaving(t, now_us);
}

/* Once the pause is over, calls are sent one at a time until one succeeds. */
static void set_pause(struct gw_target *t, uint32_t pause_ms, int64_t now_us)
{
	int64_t until_us = now_us + (int64_t)pause_ms * US_PER_MS;

	log_event(LOG_LEVEL_INFO, "target_paused",
		  "target %s service %s asks for a pause of %u ms", t->def.id,
		  t->def.service, pause_ms);
	t->paused_until_us = util_max_i64(t->paused_until_us, until_us);
	t->concurrency_limit_milli = MILLI;
	set_kept_until(t, t->paused_until_us);
}

void gw_target_heard(const struct gw *g, struct gw_target *t,
		     const struct target_reply *reply, int64_t now_us)
{
	if (reply->warmup_left_ms > 0)
		gw_target_set_warmup(g, t, (uint32_t)reply->warmup_left_ms,
				     now_us);
	if (reply->is_leaving)
		set_leaving(t, now_us);
	if (reply->pause_ms)
		set_pause(t, reply->pause_ms, now_us);
}

/* Time from which the warm-up of @t allows this host's next call. */
static int64_t warm_call_us(const struct gw_target *t)
{
	return util_min_i64(t->cold_next_call_us, t->cold_until_us);
}

int64_t gw_target_first_call_us(const struct gw_service *s, int64_t now_us)
{
	int64_t first_us = 0;
	uint32_t i;

	for (i = 0; i < s->targets->len; i++) {
		const struct gw_target *t = g_ptr_array_index(s->targets, i);
		int64_t at_us =
			util_max_i64(t->paused_until_us, warm_call_us(t));

		if (t->is_usable && (!first_us || at_us < first_us))
			first_us = util_max_i64(at_us, 1);
	}
	return util_max_i64(first_us, now_us);
}

/* Calls at once that @t gets from this host. */
static uint32_t call_limit(const struct gw_target *t)
{
	return util_min_u32(t->connection_limit,
			    t->concurrency_limit_milli / MILLI);
}

struct gw_room gw_target_room(const struct gw_service *s)
{
	struct gw_room room = { 0 };
	uint32_t i;

	for (i = 0; i < s->targets->len; i++) {
		const struct gw_target *t = g_ptr_array_index(s->targets, i);

		if (!t->is_usable)
			continue;
		room.call_limit += call_limit(t);
		room.outstanding += t->outstanding;
	}
	return room;
}

void gw_target_adapt_limit(struct gw_target *t, int64_t took_us,
			   int64_t goal_us)
{
	uint32_t limit_max_milli = t->connection_limit * MILLI;

	if (took_us * PERMILLE > goal_us * LIMIT_GOAL_PERMILLE)
		t->concurrency_limit_milli = t->concurrency_limit_milli *
					     LIMIT_DECREASE_PERMILLE / PERMILLE;
	else
		t->concurrency_limit_milli +=
			MILLI * MILLI /
			util_max_u32(t->concurrency_limit_milli, MILLI);
	t->concurrency_limit_milli =
		util_min_u32(util_max_u32(t->concurrency_limit_milli, MILLI),
			     limit_max_milli);
}

static int was_tried(const struct gw_part *p, const struct gw_target *t)
{
	uint32_t i;

	for (i = 0; i < p->tried_count; i++) {
		if (p->tried_targets[i] == t)
			return 1;
	}
	return 0;
}

/* Added cost of a target whose oldest call suggests a pause. */
static int64_t stall_cost_milli(const struct gw_target *t, int64_t mean_us,
				int64_t now_us)
{
	const struct gw_call *oldest = TAILQ_FIRST(&t->calls);
	int64_t age_us = oldest ? now_us - oldest->sent_us : 0;

	if (age_us < STALL_MEANS * mean_us)
		return 0;
	return age_us * MILLI / util_max_i64(mean_us, 1);
}

/* Slowness of the target; above the mean it falls back to it in FORGET_US. */
static int64_t current_slowness_milli(const struct gw_target *t, int64_t now_us)
{
	int64_t excess_milli = (int64_t)t->slowness_milli - MILLI;
	int64_t age_us = now_us - t->answered_us;

	if (excess_milli < 0 || age_us >= FORGET_US)
		return excess_milli < 0 ? t->slowness_milli : MILLI;
	return MILLI + excess_milli * (FORGET_US - age_us) / FORGET_US;
}

/* Cost of one more call to @t, in thousandths of the mean answer time. */
static int64_t call_cost_milli(const struct gw *g, const struct gw_target *t,
			       int64_t mean_us, int64_t now_us)
{
	int64_t slowness_milli = current_slowness_milli(t, now_us);
	int64_t failed_permille = t->failed_permille;
	int64_t cost_milli;

	if (now_us < t->dc_health_until_us) {
		slowness_milli =
			util_max_i64(slowness_milli, t->dc_slowness_milli);
		failed_permille =
			util_max_i64(failed_permille, t->dc_failed_permille);
	}
	cost_milli = (int64_t)(t->outstanding + 1) * slowness_milli;
	cost_milli += cost_milli * FAILURE_WEIGHT * failed_permille / PERMILLE;
	cost_milli += stall_cost_milli(t, mean_us, now_us);
	if (strcmp(t->def.data_centre, g->opt.data_centre) != 0)
		cost_milli += REMOTE_COST_MILLI;
	if (t->has_scarce_connections && now_us >= t->connected_until_us)
		cost_milli += CONNECT_COST_MILLI;
	/* Dominates the other costs: avoided targets are the last resort. */
	if (now_us < t->avoid_until_us)
		cost_milli += (t->avoid_until_us - now_us) * MILLI;
	return cost_milli;
}

/* Leaves out a target until @at_us, within the time of the request or not. */
static void leave_out(const struct gw_req *r, int64_t at_us,
		      struct gw_pick *pick)
{
	if (!gw_req_has_time(r, at_us))
		return;
	pick->has_full_target = 1;
	if (!pick->next_call_us || at_us < pick->next_call_us)
		pick->next_call_us = at_us;
}

/* 1 if @t may get a call of @r now; otherwise sets in @pick why not. */
static int has_room(const struct gw_target *t, const struct gw_req *r,
		    int64_t now_us, struct gw_pick *pick)
{
	if (now_us < t->paused_until_us) {
		if (t->paused_until_us < r->wait_until_us)
			leave_out(r, t->paused_until_us, pick);
		return 0;
	}
	if (t->outstanding >= call_limit(t)) {
		pick->has_full_target = 1;
		return 0;
	}
	if (now_us >= warm_call_us(t))
		return 1;
	leave_out(r, warm_call_us(t), pick);
	return 0;
}

struct gw_pick gw_target_pick(struct gw_service *s, const struct gw_part *p,
			      enum gw_version_group group, int64_t mean_us,
			      int64_t now_us)
{
	struct gw *g = p->req->gw;
	struct gw_pick pick = { 0 };
	uint32_t offset = rng_below(&g->rng, s->targets->len);
	int64_t best_cost_milli = 0;
	uint32_t i;

	for (i = 0; i < s->targets->len; i++) {
		struct gw_target *t = g_ptr_array_index(
			s->targets, (i + offset) % s->targets->len);
		int64_t cost_milli;

		if (!t->is_usable || now_us < t->misdirected_until_us ||
		    was_tried(p, t) || !gw_version_allows(s, t, group) ||
		    !has_room(t, p->req, now_us, &pick))
			continue;
		cost_milli = call_cost_milli(g, t, mean_us, now_us);
		if (!pick.target || cost_milli < best_cost_milli) {
			pick.target = t;
			best_cost_milli = cost_milli;
		}
	}
	return pick;
}

/* Statistics of targets and the choice among them. */
#include <string.h>

#include "gateway/gw_internal.h"

#define MILLI 1000
/*
 * An answer weighs as much as all before it when this time has passed between
 * them: with many hosts each one sees a target once or twice a second.
 */
#define TIME_SMOOTHING_US (1 * US_PER_S)
/* Answers over which the share of failures is smoothed. */
#define FAILURE_SMOOTHING 8
/* A target that was slow is tried again within this time. */
#define FORGET_US (4 * US_PER_S)
/* Pauses of a searcher must not pass for its speed. */
#define SLOWNESS_MAX_MILLI 8000
/*
 * Part of a mean answer time that a call to another data centre costs, bytes
 * on the link included: less than waiting behind one call nearby.
 */
#define REMOTE_MILLI 2500
/* The same for a connection that has to be opened. */
#define CONNECT_MILLI 1000
/* A call open for this many means is taken as a sign of a pause. */
#define STALL_MEANS 2
/*
 * A call that took longer than this part of its goal lowers the number of calls
 * that the target gets at once: its queue is longer than answers can wait.
 */
#define LIMIT_GOAL_PERMILLE 500
#define LIMIT_DECREASE_PERMILLE 850
/* Added cost per failure share, as a multiple of one call. */
#define FAILURE_WEIGHT 6
/* Avoided after failures in a row, doubling from the first time span. */
#define AVOID_MIN_US (100 * US_PER_MS)
#define AVOID_MAX_US (2 * US_PER_S)
#define AVOID_FAILURES 2
#define AVOID_DOUBLINGS_MAX 5
/*
 * Another target has the address. Each further call would count as an extra one
 * at that target's service, so there is none until the entry goes or names
 * another address; while the store is away that takes long.
 */
#define MISDIRECTED_US (30 * US_PER_S)
#define STATUS_MISDIRECTED 421

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

static uint32_t smooth_failed(uint32_t old, uint32_t sample)
{
	return (old * (FAILURE_SMOOTHING - 1) + sample) / FAILURE_SMOOTHING;
}

/* Takes @took_us as an answer time. */
static void add_time(struct gw_target *t, int64_t took_us, int64_t mean_us,
		     int64_t now_us)
{
	int64_t past_us = util_min_i64(now_us - t->answered_us, FORGET_US);
	int64_t milli = took_us * MILLI / util_max_i64(mean_us, 1);

	milli = util_min_i64(milli, SLOWNESS_MAX_MILLI);
	t->slowness_milli = (uint32_t)((t->slowness_milli * TIME_SMOOTHING_US +
					milli * past_us) /
				       (TIME_SMOOTHING_US + past_us));
	t->answered_us = now_us;
}

void gw_target_answered(struct gw_target *t, int64_t service_us,
			int64_t mean_us, int64_t now_us)
{
	add_time(t, service_us, mean_us, now_us);
	t->failed_permille = smooth_failed(t->failed_permille, 0);
	t->failures_in_row = 0;
	t->avoid_until_us = 0;
}

void gw_target_abandoned(struct gw_target *t, int64_t waited_us,
			 int64_t mean_us, int64_t now_us)
{
	/* A short wait says nothing; a long one is at least the answer time. */
	if (waited_us * MILLI > (int64_t)t->slowness_milli * mean_us)
		add_time(t, waited_us, mean_us, now_us);
}

void gw_target_failed(struct gw_target *t, const struct target_reply *r,
		      int64_t now_us)
{
	uint32_t doublings;

	t->failed_permille = smooth_failed(t->failed_permille, PERMILLE);
	t->failures_in_row++;
	if (r->status == STATUS_MISDIRECTED) {
		t->misdirected_until_us = now_us + MISDIRECTED_US;
		return;
	}
	if (t->failures_in_row < AVOID_FAILURES &&
	    r->code != ERR_TARGET_CONNECT)
		return;
	doublings = util_min_u32(t->failures_in_row, AVOID_DOUBLINGS_MAX);
	t->avoid_until_us =
		now_us + util_min_i64(AVOID_MIN_US << doublings, AVOID_MAX_US);
}

void gw_target_adapt_limit(struct gw_target *t, int64_t took_us,
			   int64_t goal_us)
{
	uint32_t most = t->connection_limit * MILLI;

	if (took_us * PERMILLE > goal_us * LIMIT_GOAL_PERMILLE)
		t->concurrency_limit_milli = t->concurrency_limit_milli *
					     LIMIT_DECREASE_PERMILLE / PERMILLE;
	else
		t->concurrency_limit_milli +=
			MILLI * MILLI /
			util_max_u32(t->concurrency_limit_milli, MILLI);
	t->concurrency_limit_milli = util_min_u32(
		util_max_u32(t->concurrency_limit_milli, MILLI), most);
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

static int64_t stall_cost(const struct gw_target *t, int64_t mean_us,
			  int64_t now_us)
{
	const struct gw_call *oldest = TAILQ_FIRST(&t->calls);
	int64_t age_us = oldest ? now_us - oldest->sent_us : 0;

	if (age_us < STALL_MEANS * mean_us)
		return 0;
	return age_us * MILLI / util_max_i64(mean_us, 1);
}

/* What is known of a target's speed loses its weight with time. */
static int64_t slowness_milli(const struct gw_target *t, int64_t now_us)
{
	int64_t known = (int64_t)t->slowness_milli - MILLI;
	int64_t age_us = now_us - t->answered_us;

	if (known < 0 || age_us >= FORGET_US)
		return known < 0 ? t->slowness_milli : MILLI;
	return MILLI + known * (FORGET_US - age_us) / FORGET_US;
}

static int64_t cost(const struct gw *g, const struct gw_target *t,
		    int64_t mean_us, int64_t now_us)
{
	int64_t slowness = slowness_milli(t, now_us);
	int64_t failed = t->failed_permille;
	int64_t milli;

	if (now_us < t->dc_health_until_us) {
		slowness = util_max_i64(slowness, t->dc_slowness_milli);
		failed = util_max_i64(failed, t->dc_failed_permille);
	}
	milli = (int64_t)(t->outstanding + 1) * slowness;
	milli += milli * FAILURE_WEIGHT * failed / PERMILLE;
	milli += stall_cost(t, mean_us, now_us);
	if (strcmp(t->def.data_centre, g->opt.data_centre) != 0)
		milli += REMOTE_MILLI;
	if (t->has_scarce_connections && now_us >= t->connected_until_us)
		milli += CONNECT_MILLI;
	/* Targets that failed in a row are the last resort. */
	if (now_us < t->avoid_until_us)
		milli += (t->avoid_until_us - now_us) * MILLI;
	return milli;
}

/* 1 if @t may get a call now; else notes in @pick what stands against it. */
static int has_room(const struct gw_target *t, int64_t now_us,
		    struct gw_pick *pick)
{
	if (t->outstanding >=
	    util_min_u32(t->connection_limit,
			 t->concurrency_limit_milli / MILLI)) {
		pick->has_full_target = 1;
		return 0;
	}
	if (now_us >= t->cold_until_us || now_us >= t->cold_next_call_us)
		return 1;
	pick->has_full_target = 1;
	if (!pick->cold_next_call_us ||
	    t->cold_next_call_us < pick->cold_next_call_us)
		pick->cold_next_call_us = t->cold_next_call_us;
	return 0;
}

struct gw_pick gw_target_pick(struct gw_service *s, const struct gw_part *p,
			      enum gw_version_group group, int64_t mean_us,
			      int64_t now_us)
{
	struct gw *g = p->req->gw;
	struct gw_pick pick = { 0 };
	uint32_t offset = rng_below(&g->rng, s->targets->len);
	int64_t best_cost = 0;
	uint32_t i;

	for (i = 0; i < s->targets->len; i++) {
		struct gw_target *t = g_ptr_array_index(
			s->targets, (i + offset) % s->targets->len);
		int64_t c;

		if (!t->is_usable || now_us < t->misdirected_until_us ||
		    was_tried(p, t) || !gw_version_allows(s, t, group) ||
		    !has_room(t, now_us, &pick))
			continue;
		c = cost(g, t, mean_us, now_us);
		if (!pick.target || c < best_cost) {
			pick.target = t;
			best_cost = c;
		}
	}
	return pick;
}

#include "decide/target_state.h"

#include <string.h>

#include "base/util.h"

/* Latency until the first answer arrives. */
#define LATENCY_START_US 2000
/*
 * A new answer time, or time between two sub-requests, gets 1/8 of the weight.
 * A sub-request that is shed raises the latency by 1/8.
 */
#define LATENCY_SMOOTHING 8
/*
 * An answer time of a warm target counts as at most this multiple of the
 * smoothed latency, and one of any target as at most this multiple of the base:
 * one slow answer in a hundred must not move the average by much.
 */
#define LATENCY_CLIP_FACTOR 4
/* The target is avoided after two failures in a row; one can be chance. */
#define FAILURES_MAX 2
/* The target is avoided after this many abandoned sub-requests in a row. */
#define ABANDONED_MAX 4
/* They count if they waited for this multiple of answered_latency_us. */
#define ABANDONED_FACTOR 2
/*
 * First and longest avoid_period_us: it doubles each time that the target is
 * avoided, until an answer sets it back to the first. avoid() adds up to half
 * of it. A target that drains starts with the longest, without the addition.
 */
#define AVOID_START_US (100 * US_PER_MS)
#define AVOID_MAX_US (4 * US_PER_S)
/*
 * An answer is slow from this multiple of the base latency on, and from half of
 * it as a multiple of the other targets' latency. Cold caches make answers
 * several times slower at once, which queues rarely do.
 */
#define SLOW_FACTOR 4
/*
 * A new time gets 1/256 of the weight in the base, so that a run of slow
 * answers does not become the new base.
 */
#define BASE_SMOOTHING 256
/*
 * Slow answers in a row that make a warm target cold again. A queue empties
 * within this many answers, because other replicas are preferred meanwhile; a
 * target with cold caches stays slow.
 */
#define SLOW_RUN 16
/*
 * No answer counts as slow while sub-requests are more than twice as frequent
 * as usual, because queueing then explains the time.
 */
#define GAP_FACTOR 2
/*
 * An announcement of another process than the one that answered this recently
 * may have been made before that answer. Covers two heartbeats.
 */
#define STALE_NOTICE_US (3 * US_PER_S)
/* Good answers after which the limit of a cold target is doubled. */
#define COLD_SUCCESSES_TO_DOUBLE 10

struct target_state *target_state_new(const struct target *def)
{
	struct target_state *t = util_alloc(1, sizeof(*t));

	t->refs = 1;
	t->def = *def;
	t->latency_us = LATENCY_START_US;
	t->avoid_period_us = AVOID_START_US;
	t->cold_limit = util_max_u32(1, def->cold_slots);
	return t;
}

struct target_state *target_state_ref(struct target_state *t)
{
	t->refs++;
	return t;
}

void target_state_unref(struct target_state *t)
{
	if (--t->refs == 0)
		free(t);
}

void target_state_set_def(struct target_state *t, const struct target *def)
{
	t->def = *def;
}

void target_state_sent(struct target_state *t, int64_t now_us)
{
	int64_t gap_us = util_min_i64(now_us - t->last_sent_us, US_PER_S);

	if (!t->gap_base_us && t->last_sent_us)
		t->gap_us = t->gap_base_us = gap_us;
	if (t->gap_base_us) {
		t->gap_us += (gap_us - t->gap_us) / LATENCY_SMOOTHING;
		t->gap_base_us += (gap_us - t->gap_base_us) / BASE_SMOOTHING;
	}
	t->last_sent_us = util_max_i64(now_us, 1);
	t->outstanding++;
}

static void become_cold(struct target_state *t, int64_t now_us)
{
	t->phase = TARGET_COLD;
	t->cold_since_us = now_us;
	t->cold_limit = util_max_u32(1, t->def.cold_slots);
	t->cold_successes = 0;
	t->slow_in_row = 0;
}

/* Counts a good answer; raises the limit of a cold target until it is warm. */
static void ramp_up(struct target_state *t)
{
	if (t->phase != TARGET_COLD)
		return;
	if (++t->cold_successes < COLD_SUCCESSES_TO_DOUBLE)
		return;
	t->cold_successes = 0;
	t->cold_limit *= 2;
	if (t->cold_limit < t->def.slots)
		return;
	t->phase = TARGET_WARM;
	t->base_latency_us = t->latency_us;
}

/*
 * Counts slow answers in a row: those that are slower than the target's base
 * and than other targets, without more sub-requests to explain it. Returns 1
 * when the run is long enough to take the target for cold.
 */
static int detect_slowdown(struct target_state *t, int64_t service_us,
			   int64_t peers_us)
{
	int is_slow = t->phase == TARGET_WARM && peers_us > 0 &&
		      service_us >= t->base_latency_us * SLOW_FACTOR &&
		      service_us >= peers_us * (SLOW_FACTOR / 2) &&
		      t->gap_us * GAP_FACTOR >= t->gap_base_us;

	t->slow_in_row = is_slow ? t->slow_in_row + 1 : 0;
	return t->slow_in_row >= SLOW_RUN;
}

static void add_latency_sample(struct target_state *t, int64_t sample_us)
{
	int64_t clipped_us = sample_us;

	if (t->phase == TARGET_WARM)
		clipped_us = util_min_i64(sample_us,
					  t->latency_us * LATENCY_CLIP_FACTOR);
	t->latency_us += (clipped_us - t->latency_us) / LATENCY_SMOOTHING;
	t->latency_us = util_max_i64(t->latency_us, 1);
	if (!t->base_latency_us)
		return;
	t->base_latency_us +=
		(util_min_i64(sample_us,
			      t->base_latency_us * LATENCY_CLIP_FACTOR) -
		 t->base_latency_us) /
		BASE_SMOOTHING;
	t->base_latency_us = util_max_i64(t->base_latency_us, 1);
}

void target_state_answered(struct target_state *t, int64_t now_us,
			   int64_t service_us, const char *instance,
			   int64_t peers_us)
{
	t->outstanding--;
	if (instance[0] && strcmp(t->instance, instance) != 0) {
		util_copy_str(t->instance, sizeof(t->instance), instance);
		t->instance_seen_us = now_us;
		become_cold(t, now_us);
	}
	t->failures_in_row = 0;
	t->abandoned_in_row = 0;
	t->avoid_until_us = 0;
	t->avoid_period_us = AVOID_START_US;
	if (!t->base_latency_us)
		t->latency_us = t->base_latency_us =
			util_max_i64(service_us, 1);
	add_latency_sample(t, service_us);
	t->answered_latency_us = t->latency_us;
	if (detect_slowdown(t, service_us, peers_us))
		become_cold(t, now_us);
	if (now_us - service_us >= t->cold_since_us)
		ramp_up(t);
}

static void avoid(struct target_state *t, int64_t now_us)
{
	/* Spreads the probes of hosts that saw failures at the same time. */
	int64_t spread_us = now_us % (t->avoid_period_us / 2);

	/* Failures of sub-requests sent before this period do not extend it. */
	if (now_us < t->avoid_until_us)
		return;
	t->avoid_until_us = now_us + t->avoid_period_us + spread_us;
	t->avoid_period_us = util_min_i64(t->avoid_period_us * 2, AVOID_MAX_US);
}

void target_state_draining(struct target_state *t, int64_t now_us, int was_sent)
{
	if (was_sent)
		t->outstanding--;
	/* A target that drains will not be back soon: the longest period. */
	t->avoid_period_us = AVOID_MAX_US;
	t->avoid_until_us = now_us + AVOID_MAX_US;
}

void target_state_failed(struct target_state *t, int64_t now_us, int shed)
{
	t->outstanding--;
	if (shed) {
		/* Raises the cost, so that other replicas are tried first. */
		t->latency_us += t->latency_us / LATENCY_SMOOTHING + 1;
		return;
	}
	t->failures_in_row++;
	if (t->failures_in_row >= FAILURES_MAX)
		avoid(t, now_us);
}

void target_state_abandoned(struct target_state *t, int64_t now_us,
			    int64_t waited_us)
{
	if (waited_us > t->latency_us)
		add_latency_sample(t, waited_us);
	/* Sent shortly before it was cancelled: no answer could be expected. */
	if (waited_us < t->answered_latency_us * ABANDONED_FACTOR)
		return;
	t->abandoned_in_row++;
	if (t->abandoned_in_row >= ABANDONED_MAX)
		avoid(t, now_us);
}

void target_state_inconclusive(struct target_state *t)
{
	t->outstanding--;
}

int target_state_announced(struct target_state *t, int64_t now_us,
			   const char *instance, int warm)
{
	enum target_phase old_phase = t->phase;
	int is_same_instance = strcmp(t->instance, instance) == 0;
	int is_recently_seen = t->instance_seen_us &&
			       now_us - t->instance_seen_us < STALE_NOTICE_US;

	/* The process that has just answered this host is the newer one. */
	if (!is_same_instance && is_recently_seen)
		return 0;
	/* This host knows the process already; its cold limit stays. */
	if (is_same_instance && !warm && old_phase != TARGET_NEW)
		return 0;
	util_copy_str(t->instance, sizeof(t->instance), instance);
	if (warm) {
		t->phase = TARGET_WARM;
		t->announced_us = now_us;
	} else {
		become_cold(t, now_us);
	}
	return t->phase != old_phase;
}

/* Sub-requests that this host may have outstanding; 0: none for now. */
static uint32_t outstanding_limit(const struct target_state *t, int64_t now_us,
				  int is_owner)
{
	uint32_t share = target_connections_per_host(&t->def);

	if (t->phase != TARGET_WARM && !is_owner)
		return 0;
	/* After failures one probe at a time, to a warm target by any host. */
	if (t->avoid_until_us)
		return now_us >= t->avoid_until_us;
	if (t->phase == TARGET_WARM)
		return share;
	return util_min_u32(share, t->cold_limit);
}

int target_state_is_usable(const struct target_state *t, int64_t now_us,
			   int is_owner)
{
	return t->outstanding < outstanding_limit(t, now_us, is_owner);
}

int target_state_accepts_work(const struct target_state *t, int64_t now_us,
			      int is_owner)
{
	return outstanding_limit(t, now_us, is_owner) > 0;
}

int target_state_may_recover(const struct target_state *t, int64_t until_us,
			     int is_owner)
{
	/* A cold target counts too: it may be announced as warm at any time. */
	return t->avoid_until_us < until_us;
}

int64_t target_state_cost_us(const struct target_state *t)
{
	return (int64_t)(t->outstanding + 1) * t->latency_us / t->def.slots;
}

#include "decide/target_state.h"

#include <string.h>

#include "base/util.h"

/* Used until the first answer arrives. */
#define LATENCY_START_US 2000
#define LATENCY_SMOOTHING 8
/* One slow answer in a hundred must not move the average by much. */
#define LATENCY_CLIP 4
/* One failure can be chance; two in a row leave the replica. */
#define FAILURES_MAX 2
#define ABANDONED_MAX 4
#define ABANDONED_FACTOR 2
#define AVOID_START_US (100 * US_PER_MS)
#define AVOID_MAX_US (4 * US_PER_S)
/* Cold caches make answers several times slower; queues rarely do at once. */
#define COLD_FACTOR 4
/* Slow enough that a run of slow answers does not become the new base. */
#define BASE_SMOOTHING 256
/*
 * A queue behind slow answers empties within this many because other replicas
 * are preferred meanwhile; a cold target stays slow.
 */
#define SLOW_RUN 16
/* Twice the arrivals explain slower answers by queueing. */
#define GAP_FACTOR 2
/* Two heartbeats: a notice sent before this host's own observation. */
#define STALE_NOTICE_US (3 * US_PER_S)
/* Good answers that double the cold limit. */
#define COLD_GOOD_RUN 10

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

static void ramp(struct target_state *t)
{
	if (t->phase != TARGET_COLD)
		return;
	if (++t->cold_successes < COLD_GOOD_RUN)
		return;
	t->cold_successes = 0;
	t->cold_limit *= 2;
	if (t->cold_limit < t->def.slots)
		return;
	t->phase = TARGET_WARM;
	t->base_latency_us = t->latency_us;
}

/* Slower than before and than its peers, and not for more arrivals. */
static int suddenly_slow(struct target_state *t, int64_t service_us,
			 int64_t peers_us)
{
	int is_slow = t->phase == TARGET_WARM && peers_us > 0 &&
		      service_us >= t->base_latency_us * COLD_FACTOR &&
		      service_us >= peers_us * (COLD_FACTOR / 2) &&
		      t->gap_us * GAP_FACTOR >= t->gap_base_us;

	t->slow_in_row = is_slow ? t->slow_in_row + 1 : 0;
	return t->slow_in_row >= SLOW_RUN;
}

static void smooth(struct target_state *t, int64_t sample_us)
{
	int64_t clipped_us = sample_us;

	if (t->phase == TARGET_WARM)
		clipped_us =
			util_min_i64(sample_us, t->latency_us * LATENCY_CLIP);
	t->latency_us += (clipped_us - t->latency_us) / LATENCY_SMOOTHING;
	t->latency_us = util_max_i64(t->latency_us, 1);
	if (!t->base_latency_us)
		return;
	t->base_latency_us +=
		(util_min_i64(sample_us, t->base_latency_us * LATENCY_CLIP) -
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
	smooth(t, service_us);
	t->answered_latency_us = t->latency_us;
	if (suddenly_slow(t, service_us, peers_us))
		become_cold(t, now_us);
	if (now_us - service_us >= t->cold_since_us)
		ramp(t);
}

static void avoid(struct target_state *t, int64_t now_us)
{
	/* Spreads the probes of hosts that failed at the same time. */
	int64_t spread_us = now_us % (t->avoid_period_us / 2);

	/* Failures of requests sent before the decision do not extend it. */
	if (now_us < t->avoid_until_us)
		return;
	t->avoid_until_us = now_us + t->avoid_period_us + spread_us;
	t->avoid_period_us = util_min_i64(t->avoid_period_us * 2, AVOID_MAX_US);
}

void target_state_draining(struct target_state *t, int64_t now_us, int was_sent)
{
	if (was_sent)
		t->outstanding--;
	/* A leaving target refuses for good: no short first interval. */
	t->avoid_period_us = AVOID_MAX_US;
	t->avoid_until_us = now_us + AVOID_MAX_US;
}

void target_state_failed(struct target_state *t, int64_t now_us, int shed)
{
	t->outstanding--;
	if (shed) {
		/* Raises the cost so that other replicas are tried first. */
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
		smooth(t, waited_us);
	/* Sent shortly before a deadline: no answer could be expected. */
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
	enum target_phase before = t->phase;
	int same = strcmp(t->instance, instance) == 0;
	int seen = t->instance_seen_us &&
		   now_us - t->instance_seen_us < STALE_NOTICE_US;

	/* The process that this host has just seen is the newer one. */
	if (!same && seen)
		return 0;
	/* Another host found what this one knows: the ramp goes on. */
	if (same && !warm && before != TARGET_NEW)
		return 0;
	util_copy_str(t->instance, sizeof(t->instance), instance);
	if (warm) {
		t->phase = TARGET_WARM;
		t->announced_us = now_us;
	} else {
		become_cold(t, now_us);
	}
	return t->phase != before;
}

static uint32_t limit(const struct target_state *t, int64_t now_us,
		      int is_owner)
{
	uint32_t share = target_connections_per_host(&t->def);

	if (t->phase != TARGET_WARM && !is_owner)
		return 0;
	/* After failures one probe at a time, whether owner or not. */
	if (t->avoid_until_us)
		return now_us >= t->avoid_until_us;
	if (t->phase == TARGET_WARM)
		return share;
	return util_min_u32(share, t->cold_limit);
}

int target_state_is_usable(const struct target_state *t, int64_t now_us,
			   int is_owner)
{
	return t->outstanding < limit(t, now_us, is_owner);
}

int target_state_accepts_work(const struct target_state *t, int64_t now_us,
			      int is_owner)
{
	return limit(t, now_us, is_owner) > 0;
}

int target_state_may_recover(const struct target_state *t, int64_t until_us,
			     int is_owner)
{
	/* A cold target may be announced as warm at any time. */
	return t->avoid_until_us < until_us;
}

int64_t target_state_cost_us(const struct target_state *t)
{
	return (int64_t)(t->outstanding + 1) * t->latency_us / t->def.slots;
}

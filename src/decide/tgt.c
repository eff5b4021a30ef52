#include "decide/tgt.h"

#include <string.h>

#include "base/cutil.h"

/* Used until the first answer arrives. */
#define LATENCY_START_US 2000
#define LATENCY_SMOOTHING 8
/* One slow answer in a hundred must not move the average by much. */
#define LATENCY_CLIP 4
/* One failure can be chance; two in a row leave the replica. */
#define FAILURES_MAX 2
#define ABANDONED_MAX 4
#define AVOID_START_US (100 * US_PER_MS)
#define AVOID_MAX_US (4 * US_PER_S)
/* Good answers that double the cold limit. */
#define COLD_GOOD_RUN 10

struct tgt *tgt_new(const struct target *def)
{
	struct tgt *t = cu_alloc(1, sizeof(*t));

	t->refs = 1;
	t->def = *def;
	t->latency_us = LATENCY_START_US;
	t->avoid_us = AVOID_START_US;
	t->cold_limit = cu_max_u32(1, def->cold_slots);
	return t;
}

struct tgt *tgt_ref(struct tgt *t)
{
	t->refs++;
	return t;
}

void tgt_unref(struct tgt *t)
{
	if (--t->refs == 0)
		free(t);
}

void tgt_redefine(struct tgt *t, const struct target *def)
{
	t->def = *def;
}

void tgt_sent(struct tgt *t)
{
	t->outstanding++;
}

static void become_cold(struct tgt *t)
{
	t->phase = TGT_COLD;
	t->cold_limit = cu_max_u32(1, t->def.cold_slots);
	t->cold_good = 0;
}

static void ramp(struct tgt *t)
{
	if (t->phase != TGT_COLD)
		return;
	if (++t->cold_good < COLD_GOOD_RUN)
		return;
	t->cold_good = 0;
	t->cold_limit *= 2;
	if (t->cold_limit >= t->def.slots)
		t->phase = TGT_WARM;
}

static void smooth(struct tgt *t, int64_t sample_us)
{
	int64_t clipped_us = sample_us;

	if (t->phase == TGT_WARM)
		clipped_us =
			cu_min_i64(sample_us, t->latency_us * LATENCY_CLIP);
	t->latency_us += (clipped_us - t->latency_us) / LATENCY_SMOOTHING;
	t->latency_us = cu_max_i64(t->latency_us, 1);
}

void tgt_good(struct tgt *t, int64_t now_us, int64_t service_us,
	      const char *instance)
{
	t->outstanding--;
	if (strcmp(t->instance, instance) != 0) {
		cu_copy(t->instance, sizeof(t->instance), instance);
		become_cold(t);
	}
	t->failures_in_row = 0;
	t->abandoned_in_row = 0;
	t->avoid_until_us = 0;
	t->avoid_us = AVOID_START_US;
	smooth(t, service_us);
	ramp(t);
}

static void avoid(struct tgt *t, int64_t now_us)
{
	/* Failures of requests sent before the decision do not extend it. */
	if (now_us < t->avoid_until_us)
		return;
	t->avoid_until_us = now_us + t->avoid_us;
	t->avoid_us = cu_min_i64(t->avoid_us * 2, AVOID_MAX_US);
}

void tgt_failed(struct tgt *t, int64_t now_us, int shed)
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

void tgt_abandoned(struct tgt *t, int64_t now_us, int64_t waited_us)
{
	if (waited_us > t->latency_us)
		smooth(t, waited_us);
	t->abandoned_in_row++;
	if (t->abandoned_in_row >= ABANDONED_MAX)
		avoid(t, now_us);
}

void tgt_neutral(struct tgt *t)
{
	t->outstanding--;
}

int tgt_announced(struct tgt *t, int64_t now_us, const char *instance, int warm)
{
	enum tgt_phase before = t->phase;

	cu_copy(t->instance, sizeof(t->instance), instance);
	if (warm) {
		t->phase = TGT_WARM;
		t->announced_us = now_us;
	} else {
		become_cold(t);
	}
	return t->phase != before;
}

static uint32_t probe_limit(const struct tgt *t, int64_t now_us, int is_owner)
{
	if (now_us < t->avoid_until_us)
		return 0;
	if (!is_owner && t->announced_us < t->avoid_until_us)
		return 0;
	return 1;
}

static uint32_t limit(const struct tgt *t, int64_t now_us, int is_owner)
{
	uint32_t share = target_connection_share(&t->def);

	if (t->avoid_until_us)
		return probe_limit(t, now_us, is_owner);
	if (t->phase == TGT_WARM)
		return share;
	if (!is_owner)
		return 0;
	return cu_min_u32(share, t->cold_limit);
}

int tgt_usable(const struct tgt *t, int64_t now_us, int is_owner)
{
	return t->outstanding < limit(t, now_us, is_owner);
}

int64_t tgt_cost_us(const struct tgt *t)
{
	return (int64_t)(t->outstanding + 1) * t->latency_us / t->def.slots;
}

#include "decide/hedge_delay.h"

#include "base/util.h"

/* Mean before the first answer. */
#define MEAN_START_US 5000
/* A new answer time gets 1/64 of the weight, the mean the rest. */
#define MEAN_SMOOTHING 64
/*
 * An answer time counts as at most this multiple of the mean: stragglers are
 * 20 times slower and must not raise the delay.
 */
#define MEAN_CLIP_FACTOR 4
#define FACTOR_MAX_MILLI 10000
#define FACTOR_STEP_MILLI 250
#define ADJUST_PERIOD_US (100 * US_PER_MS)
/* A shorter delay would be within timer and scheduling noise. */
#define DELAY_MIN_US 1000

/*
 * Lowest multiple 2: earlier than twice the mean after sending, queueing alone
 * explains most missing answers.
 */
const struct hedge_delay_policy hedge_delay_small_budget = {
	.factor_start_milli = 3000,
	.factor_min_milli = 2000,
	.fill_low_permille = 500,
	.fill_high_permille = 900
};

void hedge_delay_init(struct hedge_delay *h,
		      const struct hedge_delay_policy *policy)
{
	h->policy = policy;
	h->mean_us = MEAN_START_US;
	h->samples = 0;
	h->factor_milli = policy->factor_start_milli;
	h->adjust_at_us = 0;
}

void hedge_delay_sample(struct hedge_delay *h, int64_t service_us)
{
	int64_t clipped_us =
		util_min_i64(service_us, h->mean_us * MEAN_CLIP_FACTOR);

	/* Plain average of the first 64; the first replaces the start value. */
	if (h->samples < MEAN_SMOOTHING)
		h->samples++;
	h->mean_us += (clipped_us - h->mean_us) / (int64_t)h->samples;
	h->mean_us = util_max_i64(h->mean_us, 1);
}

void hedge_delay_adjust(struct hedge_delay *h, int64_t now_us,
			uint32_t fill_permille)
{
	if (now_us < h->adjust_at_us)
		return;
	h->adjust_at_us = now_us + ADJUST_PERIOD_US;
	if (fill_permille < h->policy->fill_low_permille)
		h->factor_milli += FACTOR_STEP_MILLI;
	else if (fill_permille > h->policy->fill_high_permille)
		h->factor_milli -= FACTOR_STEP_MILLI / 4;
	h->factor_milli =
		util_max_u32(h->factor_milli, h->policy->factor_min_milli);
	h->factor_milli = util_min_u32(h->factor_milli, FACTOR_MAX_MILLI);
}

int64_t hedge_delay_current_us(const struct hedge_delay *h)
{
	return util_max_i64(DELAY_MIN_US, h->mean_us * h->factor_milli / 1000);
}

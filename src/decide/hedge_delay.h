/*
 * Hedge delay of one index: a multiple of the smoothed answer time that
 * follows the extra-load budget, so that the budget is spent on answers that
 * are late rather than on answers that are merely behind others in a queue.
 */
#ifndef HEDGE_DELAY_H
#define HEDGE_DELAY_H

#include <stdint.h>

/* How far the delay follows the budget. */
struct hedge_delay_policy {
	/* First and least multiple of the mean, in thousandths. */
	uint32_t factor_start_milli;
	uint32_t factor_min_milli;
	/* The delay rises below this part of the budget and falls above it. */
	uint32_t fill_low_permille;
	uint32_t fill_high_permille;
};

/* For a budget of a few percent, which only stragglers may use. */
extern const struct hedge_delay_policy hedge_delay_small_budget;

struct hedge_delay {
	const struct hedge_delay_policy *policy;
	int64_t mean_us;
	/* Answer times seen, up to the smoothing. */
	uint32_t samples;
	/* Multiple of the mean, in thousandths. */
	uint32_t factor_milli;
	int64_t adjust_at_us;
};

/* @policy is kept. */
void hedge_delay_init(struct hedge_delay *h,
		      const struct hedge_delay_policy *policy);
/* Answer time of a first attempt. */
void hedge_delay_sample(struct hedge_delay *h, int64_t service_us);
/* Follows the budget; @fill_permille as from extra_budget_fill_permille(). */
void hedge_delay_adjust(struct hedge_delay *h, int64_t now_us,
			uint32_t fill_permille);
/* Time after sending at which a second sub-request is due, in us. */
int64_t hedge_delay_current_us(const struct hedge_delay *h);

#endif

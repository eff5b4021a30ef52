/*
 * Hedge delay of one index or route: the time after which an unanswered
 * sub-request is repeated on another target. It is a multiple of the smoothed
 * answer time. The multiple rises while the budget for extra calls is low and
 * falls while it is high, so that the budget is spent on answers that are late
 * rather than on answers that are merely behind others in a queue.
 */
#ifndef HEDGE_DELAY_H
#define HEDGE_DELAY_H

#include <stdint.h>

/* How the multiple follows the budget; all shares are of the full budget. */
struct hedge_delay_policy {
	/* Initial and lowest multiple of the mean, in thousandths. */
	uint32_t factor_start_milli;
	uint32_t factor_min_milli;
	/* The multiple rises below the low fill, falls above the high one. */
	uint32_t fill_low_permille;
	uint32_t fill_high_permille;
};

/* For a budget of a few percent of the load, which only stragglers may use. */
extern const struct hedge_delay_policy hedge_delay_small_budget;

struct hedge_delay {
	const struct hedge_delay_policy *policy;
	/* Smoothed answer time. */
	int64_t mean_us;
	/* Answer times seen, counted up to 64; sets the weight of a new one. */
	uint32_t samples;
	/* Multiple of the mean, in thousandths. */
	uint32_t factor_milli;
	/* The multiple is not adjusted before this time. */
	int64_t adjust_at_us;
};

/* Keeps the pointer @policy. */
void hedge_delay_init(struct hedge_delay *h,
		      const struct hedge_delay_policy *policy);
/* Adds the time until a first attempt was answered or cancelled. */
void hedge_delay_sample(struct hedge_delay *h, int64_t service_us);
/*
 * Adjusts the multiple, at most every 100 ms. @fill_permille: share of the
 * budget that is left, as from extra_budget_fill_permille().
 */
void hedge_delay_adjust(struct hedge_delay *h, int64_t now_us,
			uint32_t fill_permille);
/* Time from sending a sub-request until its hedge is due, in us. */
int64_t hedge_delay_current_us(const struct hedge_delay *h);

#endif

/*
 * Budget of one customer for extra sub-requests, which are hedges and retries:
 * a token bucket. Each first attempt adds the fraction extra_load of a token
 * and each extra sub-request takes a whole one, so the load on targets stays
 * within 1 + extra_load times the offered load, plus the capacity once.
 */
#ifndef EXTRA_BUDGET_H
#define EXTRA_BUDGET_H

#include <stdint.h>

struct extra_budget {
	/* Tokens left, in thousandths. */
	uint64_t tokens_milli;
	/* Capacity in thousandths of a token; 0: no extra sub-requests. */
	uint64_t cap_milli;
	/* Thousandths of a token that a first attempt adds. */
	uint32_t earn_milli;
};

/*
 * Starts full. @extra_load_permille and @rate_per_s are from the contract; the
 * rate sets the capacity.
 */
void extra_budget_init(struct extra_budget *b, uint32_t extra_load_permille,
		       uint32_t rate_per_s);
/* Adds the tokens for @count first attempts. */
void extra_budget_earn(struct extra_budget *b, uint32_t count);
/* Returns 1 and takes a token, or 0 when there is none. */
int extra_budget_spend(struct extra_budget *b);
/*
 * The same for a hedge that may save a little time: leaves a few tokens for
 * retries and for sub-requests that may get no answer at all.
 */
int extra_budget_spend_surplus(struct extra_budget *b);
/* Tokens left as a share of the capacity; 0 without a capacity. */
uint32_t extra_budget_fill_permille(const struct extra_budget *b);

#endif

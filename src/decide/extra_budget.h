/*
 * Extra-load budget of one customer: hedges and retries together. Each first
 * attempt earns a fraction of a token and each extra sub-request spends a
 * whole one, so load stays within 1 + extra_load of what was offered.
 */
#ifndef EXTRA_BUDGET_H
#define EXTRA_BUDGET_H

#include <stdint.h>

struct extra_budget {
	uint64_t tokens_milli;
	uint64_t cap_milli;
	uint32_t earn_milli;
};

/* @extra_load_permille, @rate_per_s: from the contract. Starts full. */
void extra_budget_init(struct extra_budget *b, uint32_t extra_load_permille,
		       uint32_t rate_per_s);
/* Counts @count first attempts. */
void extra_budget_earn(struct extra_budget *b, uint32_t count);
/* Returns 1 and takes a token, or 0 when there is none. */
int extra_budget_spend(struct extra_budget *b);
/* Tokens left as a share of the capacity. */
uint32_t extra_budget_fill_permille(const struct extra_budget *b);

#endif

/*
 * Extra-load budget of one customer: hedges and retries together. Each first
 * attempt earns a fraction of a token and each extra sub-request spends a
 * whole one, so load stays within 1 + extra_load of what was offered.
 */
#ifndef BGT_H
#define BGT_H

#include <stdint.h>

struct bgt {
	uint64_t tokens_milli;
	uint64_t cap_milli;
	uint32_t earn_milli;
	uint32_t refill_milli_per_s;
	int64_t refilled_us;
};

/* @extra_load_permille, @rate_per_s: from the contract. Starts full. */
void bgt_init(struct bgt *b, uint32_t extra_load_permille, uint32_t rate_per_s);
/*
 * Changes what a budget earns and holds: for each first attempt, for each
 * second, and the capacity in tokens. One that had no capacity starts full.
 */
struct bgt_rates {
	uint32_t earn_permille;
	uint32_t refill_milli_per_s;
	uint32_t cap_milli;
};

void bgt_set(struct bgt *b, const struct bgt_rates *r);
/* Adds what was earned by time until @now_us. */
void bgt_refill(struct bgt *b, int64_t now_us);
/* Counts @count first attempts. */
void bgt_earn(struct bgt *b, uint32_t count);
/* Returns 1 and takes a token, or 0 when there is none. */
int bgt_spend(struct bgt *b);
/* Tokens left as a share of the capacity. */
uint32_t bgt_fill_permille(const struct bgt *b);

#endif

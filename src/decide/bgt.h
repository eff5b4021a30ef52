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
};

/* @extra_load_permille, @rate_per_s: from the contract. Starts full. */
void bgt_init(struct bgt *b, uint32_t extra_load_permille, uint32_t rate_per_s);
/* Counts @count first attempts. */
void bgt_earn(struct bgt *b, uint32_t count);
/* Returns 1 and takes a token, or 0 when there is none. */
int bgt_spend(struct bgt *b);
/* Tokens left as a share of the capacity. */
uint32_t bgt_fill_permille(const struct bgt *b);

#endif

#include "decide/extra_budget.h"

#include "base/util.h"

#define TOKEN_MILLI 1000
/*
 * Ten tokens let a customer with few requests repeat at once the sub-requests
 * that one lost target left unanswered.
 */
#define CAP_TOKENS_MIN 10
/* The capacity has one more token for every 100 requests per s. */
#define CAP_RATE_DIVISOR 100
/* As many as one request needs that meets only silent connections. */
#define RESERVE_TOKENS 3

void extra_budget_init(struct extra_budget *b, uint32_t extra_load_permille,
		       uint32_t rate_per_s)
{
	uint64_t cap = CAP_TOKENS_MIN + rate_per_s / CAP_RATE_DIVISOR;

	b->earn_milli = extra_load_permille;
	b->cap_milli = extra_load_permille ? cap * TOKEN_MILLI : 0;
	b->tokens_milli = b->cap_milli;
}

void extra_budget_earn(struct extra_budget *b, uint32_t count)
{
	b->tokens_milli += (uint64_t)b->earn_milli * count;
	if (b->tokens_milli > b->cap_milli)
		b->tokens_milli = b->cap_milli;
}

int extra_budget_spend(struct extra_budget *b)
{
	if (b->tokens_milli < TOKEN_MILLI)
		return 0;
	b->tokens_milli -= TOKEN_MILLI;
	return 1;
}

int extra_budget_spend_surplus(struct extra_budget *b)
{
	if (b->tokens_milli < (1 + RESERVE_TOKENS) * TOKEN_MILLI)
		return 0;
	return extra_budget_spend(b);
}

uint32_t extra_budget_fill_permille(const struct extra_budget *b)
{
	if (!b->cap_milli)
		return 0;
	return (uint32_t)(b->tokens_milli * PERMILLE / b->cap_milli);
}

#include "decide/bal.h"

#include "base/cutil.h"

#define PROBE_PERIOD_US (1 * US_PER_S)

uint32_t bal_pick(const struct bal_candidate *candidates, uint32_t count,
		  int64_t now_us, struct rng *rng)
{
	uint32_t best = BAL_NONE;
	int64_t best_us = 0;
	uint32_t ties = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct bal_candidate *c = &candidates[i];
		int64_t cost_us;

		if (!tgt_usable(c->tgt, now_us, c->is_owner))
			continue;
		cost_us = tgt_cost_us(c->tgt) + c->distance_us;
		/* An old estimate would keep a replica unused for ever. */
		if (now_us - c->tgt->sent_us > PROBE_PERIOD_US)
			cost_us = 0;
		if (best != BAL_NONE && cost_us > best_us)
			continue;
		ties = best != BAL_NONE && cost_us == best_us ? ties + 1 : 1;
		/* Each of the tied candidates is kept with equal chance. */
		if (ties == 1 || rng_below(rng, ties) == 0)
			best = i;
		best_us = cost_us;
	}
	return best;
}

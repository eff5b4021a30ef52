#include "decide/balancer.h"

#include "base/util.h"

/* A target that was sent nothing for this long is chosen first. */
#define PROBE_PERIOD_US (1 * US_PER_S)

uint32_t balancer_pick(const struct balancer_candidate *candidates,
		       uint32_t count, int64_t now_us, struct rng *rng)
{
	uint32_t best = BALANCER_NONE;
	int64_t best_us = 0;
	uint32_t tied_count = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct balancer_candidate *c = &candidates[i];
		int64_t cost_us;

		if (!target_state_is_usable(c->target, now_us, c->is_owner))
			continue;
		cost_us = target_state_cost_us(c->target) + c->distance_us;
		/*
		 * Only an answer can lower the expected time, so a high one
		 * would keep the replica unused for ever.
		 */
		if (now_us - c->target->last_sent_us > PROBE_PERIOD_US)
			cost_us = 0;
		if (best != BALANCER_NONE && cost_us > best_us)
			continue;
		tied_count = best != BALANCER_NONE && cost_us == best_us
				     ? tied_count + 1
				     : 1;
		/* Reservoir sampling: equal chances for the tied candidates. */
		if (tied_count == 1 || rng_below(rng, tied_count) == 0)
			best = i;
		best_us = cost_us;
	}
	return best;
}

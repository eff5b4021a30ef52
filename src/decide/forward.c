#include "decide/forward.h"

#include "base/util.h"

#define BITS_PER_BYTE 8
/* Processor time of a whole core for one part: call, answer and merge. */
#define PART_CPU_US 60
/*
 * Allowance for a part that comes from another data centre: its share of the
 * longer round trip, and the price of its bytes.
 */
#define REMOTE_PART_US 100
/* Round trip to the gatherer, and its time to read the request and answer. */
#define HOP_NEAR_US (4 * US_PER_MS)
#define HOP_FAR_US (7 * US_PER_MS)
/*
 * A request is forwarded only if it then takes at most 1 / FORWARD_GAIN of the
 * time that it takes here, because each further host may fail.
 */
#define FORWARD_GAIN 2

int64_t forward_gather_us(const struct forward_power *p,
			  const struct forward_load *load,
			  uint32_t remote_part_count)
{
	int64_t link_us;
	int64_t cpu_us;

	if (!p->link_mbps || !p->core_permille)
		return INT64_MAX;
	/* 1 Mbit/s is one bit in a microsecond. */
	link_us = (int64_t)load->part_count * load->part_bytes * BITS_PER_BYTE /
		  p->link_mbps;
	cpu_us = (int64_t)load->part_count * PART_CPU_US * PERMILLE /
		 p->core_permille;
	return link_us + cpu_us + (int64_t)remote_part_count * REMOTE_PART_US;
}

static int64_t forward_us(const struct forward_candidate *c,
			  const struct forward_load *load)
{
	int64_t gather_us =
		forward_gather_us(&c->power, load, c->remote_part_count);

	if (gather_us == INT64_MAX)
		return INT64_MAX;
	return gather_us * (1 + c->open_count) +
	       (c->is_near ? HOP_NEAR_US : HOP_FAR_US);
}

uint32_t forward_pick(const struct forward_power *self,
		      uint32_t self_remote_count,
		      const struct forward_candidate *candidates,
		      uint32_t count, const struct forward_load *load,
		      struct rng *rng, int64_t now_us)
{
	int64_t self_us = forward_gather_us(self, load, self_remote_count);
	uint32_t best = FORWARD_NONE;
	int64_t best_us = self_us / FORWARD_GAIN;
	uint32_t equal_count = 0;
	uint32_t i;

	if (self_us == INT64_MAX)
		return FORWARD_NONE;
	for (i = 0; i < count; i++) {
		int64_t us = forward_us(&candidates[i], load);

		if (now_us < candidates[i].avoid_until_us || us > best_us)
			continue;
		equal_count = us == best_us ? equal_count + 1 : 1;
		if (rng_below(rng, equal_count) == 0)
			best = i;
		best_us = us;
	}
	return best;
}

int forward_is_gatherer(const struct forward_power *self,
			const struct forward_power *best,
			const struct forward_load *load)
{
	int64_t self_us = forward_gather_us(self, load, 0);
	int64_t best_us = forward_gather_us(best, load, 0);

	if (self_us == INT64_MAX || best_us == INT64_MAX)
		return 1;
	return best_us + HOP_NEAR_US > self_us / FORWARD_GAIN;
}

int forward_may_accept(const struct forward_power *self,
		       const struct forward_load *load, uint32_t open_count,
		       int64_t goal_us)
{
	int64_t gather_us = forward_gather_us(self, load, 0);

	if (gather_us == INT64_MAX)
		return 0;
	return gather_us * (1 + (int64_t)open_count) <= goal_us;
}

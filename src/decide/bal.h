/* Choice of a replica for one sub-request. */
#ifndef BAL_H
#define BAL_H

#include <stdint.h>

#include "base/rng.h"
#include "decide/tgt.h"

#define BAL_NONE UINT32_MAX

struct bal_candidate {
	struct tgt *tgt;
	/* 1 when this host ramps the target while it is cold. */
	int is_owner;
	/* Penalty in us, such as the network time to its data centre. */
	int64_t distance_us;
};

/*
 * Position of the usable candidate with the lowest expected time, or BAL_NONE.
 * Equal costs are decided by @rng.
 */
uint32_t bal_pick(const struct bal_candidate *candidates, uint32_t count,
		  int64_t now_us, struct rng *rng);

#endif

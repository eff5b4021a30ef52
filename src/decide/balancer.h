/* Choice of a replica for one sub-request. */
#ifndef BALANCER_H
#define BALANCER_H

#include <stdint.h>

#include "base/rng.h"
#include "decide/target_state.h"

#define BALANCER_NONE UINT32_MAX

struct balancer_candidate {
	struct target_state *target;
	/* 1 when this host ramps the target while it is cold. */
	int is_owner;
	/* Penalty in us, such as the network time to its data centre. */
	int64_t distance_us;
};

/*
 * Position of the usable candidate with the lowest expected time, or BALANCER_NONE.
 * Equal costs are decided by @rng.
 */
uint32_t balancer_pick(const struct balancer_candidate *candidates,
		       uint32_t count, int64_t now_us, struct rng *rng);

#endif

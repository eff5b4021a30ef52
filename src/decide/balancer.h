/* Chooses the target of one sub-request among the replicas of its shard. */
#ifndef BALANCER_H
#define BALANCER_H

#include <stdint.h>

#include "base/rng.h"
#include "decide/target_state.h"

#define BALANCER_NONE UINT32_MAX

struct balancer_candidate {
	struct target_state *target;
	/* 1: this host owns the target, so it ramps it while it is cold. */
	int is_owner;
	/* Added to the cost, such as the network time to its data centre. */
	int64_t distance_us;
};

/*
 * Position in @candidates of the usable target with the lowest cost, which is
 * the expected time until its answer plus its distance; BALANCER_NONE when none
 * is usable. @rng decides among equal costs.
 */
uint32_t balancer_pick(const struct balancer_candidate *candidates,
		       uint32_t count, int64_t now_us, struct rng *rng);

#endif

/*
 * Decides which host gathers a request with many parts: the host that has it, or
 * a gatherer, which is a host with a faster link and more processor time. A host
 * of 22 Mbit/s takes 46 ms to receive 90 parts of 1,400 bytes, one of 200 Mbit/s
 * 5 ms. Few gatherers also keep connections to all targets open, and each sees
 * enough answers to know how fast a target is.
 */
#ifndef FORWARD_H
#define FORWARD_H

#include <stdint.h>

#include "base/rng.h"

#define FORWARD_NONE UINT32_MAX

/* What a host has to gather with; 0 Mbit/s: unknown, such a host never does. */
struct forward_power {
	uint32_t core_permille;
	uint32_t link_mbps;
};

/* A gathered request. */
struct forward_load {
	uint32_t part_count;
	/* Bytes of one answer with its head. */
	uint32_t part_bytes;
};

struct forward_candidate {
	struct forward_power power;
	/* Parts without a target in the candidate's data centre. */
	uint32_t remote_part_count;
	/* 1: the candidate is in the data centre of this host. */
	uint32_t is_near;
	/* Requests that this host has forwarded to it and that are open. */
	uint32_t open_count;
	/* The candidate is not used before this time. */
	int64_t avoid_until_us;
};

/*
 * Time for which the parts keep the host's link and processor busy, with an
 * allowance for bytes between data centres; INT64_MAX without a known link.
 */
int64_t forward_gather_us(const struct forward_power *p,
			  const struct forward_load *load,
			  uint32_t remote_part_count);
/*
 * Candidate to which this host, with @self and @self_remote_count, forwards the
 * request, or FORWARD_NONE to gather it here. Among equals @rng decides.
 */
uint32_t forward_pick(const struct forward_power *self,
		      uint32_t self_remote_count,
		      const struct forward_candidate *candidates,
		      uint32_t count, const struct forward_load *load,
		      struct rng *rng, int64_t now_us);
/*
 * 1 if host @self gathers requests itself, as it would forward none to a host
 * with @best, the most powerful one of all.
 */
int forward_is_gatherer(const struct forward_power *self,
			const struct forward_power *best,
			const struct forward_load *load);
/*
 * 1 if a gatherer with @open_count forwarded requests takes one more that is
 * worth most within @goal_us; otherwise it refuses the request at once.
 */
int forward_may_accept(const struct forward_power *self,
		       const struct forward_load *load, uint32_t open_count,
		       int64_t goal_us);

#endif

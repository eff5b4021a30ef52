/*
 * Simulation of a rollout: several hosts, each with a rollout controller, one
 * store, heartbeats and traffic, on a virtual clock and with a seed.
 */
#ifndef SIM_ROLLOUT_H
#define SIM_ROLLOUT_H

#include <stdint.h>

#include "model/config.h"

/* DEF(id, name): what is wrong with the new version. */
#define SIM_FAULTS(DEF)                    \
	DEF(SIM_GOOD, "good")              \
	DEF(SIM_AT_ONCE, "fails at once")  \
	DEF(SIM_LATER, "fails later")      \
	DEF(SIM_LOAD, "fails under load")  \
	DEF(SIM_ROUTE, "fails on a route") \
	DEF(SIM_SLOW, "slow")

enum sim_fault {
#define DEF(id, name) id,
	SIM_FAULTS(DEF)
#undef DEF
		SIM_FAULT_COUNT
};

struct sim_result {
	/* State of the item at the end of the run. */
	enum rollout_state state;
	/* State of the item when finish_by was reached. */
	enum rollout_state state_at_finish;
	/*
	 * From the first request that the version made fail or slow until a
	 * host marked the version as bad; -1: no host did.
	 */
	int64_t detected_after_us;
	/*
	 * From the first mark, or the end of a host's pause if that is later,
	 * until the host sent the version its last work; the longest of all
	 * hosts.
	 */
	int64_t stopped_after_us;
	/* Requests of both versions. */
	uint64_t requests;
	/* Requests that failed or were slow because of the version. */
	uint64_t hurt;
	/* Reason in the item at the end of the run. */
	char reason[REASON_BYTES];
};

/* Runs one rollout whose new version has @fault. */
void sim_rollout(uint64_t seed, enum sim_fault fault, struct sim_result *out);

#endif

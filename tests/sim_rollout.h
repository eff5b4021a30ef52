/*
 * Simulated rollout: several hosts that each run the rollout controller, one
 * store, heartbeats and traffic, under a virtual clock and a seed.
 */
#ifndef SIM_ROLLOUT_H
#define SIM_ROLLOUT_H

#include <stdint.h>

#include "model/config.h"

/* DEF(id, name) */
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
	enum rollout_state state;
	/* State of the item when finish_by was reached. */
	enum rollout_state state_at_finish;
	/* From the first failing answer to the first mark, -1 if none, in us. */
	int64_t detected_after_us;
	/*
	 * From the first mark, or the end of the host's pause, until a host
	 * sent the version its last work, in us; the longest of all hosts.
	 */
	int64_t stopped_after_us;
	uint64_t requests;
	/* Requests that failed or were slow because of the version. */
	uint64_t hurt;
	char reason[REASON_BYTES];
};

void sim_rollout(uint64_t seed, enum sim_fault fault, struct sim_result *out);

#endif

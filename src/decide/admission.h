/*
 * Admission of one customer's requests: a token bucket with the contract's
 * rate, and a limit on concurrent requests that follows how much of the
 * deadline answers take (additive increase, multiplicative decrease).
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdint.h>

#include "base/err.h"
#include "model/contract.h"

struct admission {
	/* Requests per s that this host admits; 0: not configured yet. */
	uint32_t rate_per_s;
	/* Requests that may enter now, and the most that are saved up. */
	int64_t tokens_micro;
	int64_t tokens_cap_micro;
	/* Time up to which the rate has been added to the tokens. */
	int64_t refilled_us;
	/* Deadline of the contract, from the arrival of a request. */
	int64_t time_limit_us;
	/* Requests in flight allowed, in thousandths. */
	uint64_t limit_milli;
	uint32_t in_flight;
	/* The limit is not decreased again before this time. */
	int64_t hold_until_us;
};

/* What the end of a request says about the load. */
enum admission_signal {
	/* Complete answer; a sign of load if it took most of the deadline. */
	ADMISSION_GOOD,
	/* Shed by a target, or shards missing because targets were busy. */
	ADMISSION_LOADED,
	/* No sign of load, such as a shard that has no target. */
	ADMISSION_NEUTRAL
};

/*
 * Takes rate and deadline from contract @c. Called again when the contract or
 * the number of live hosts changes, which keeps the limit in flight that was
 * learned. With several hosts, each admits its part of the rate and a tenth
 * more, because callers are not spread evenly.
 */
void admission_configure(struct admission *a, const struct contract *c,
			 uint32_t host_count, int64_t now_us);
/*
 * Asks to admit one request: ERR_OK counts it as in flight, ERR_RATE_LIMITED is
 * for the rate, ERR_OVERLOADED for the limit in flight.
 */
enum err_code admission_enter(struct admission *a, int64_t now_us,
			      struct err *err);
/* A request that was admitted ended @elapsed_us after its arrival. */
void admission_leave(struct admission *a, int64_t now_us, int64_t elapsed_us,
		     enum admission_signal result);

#endif

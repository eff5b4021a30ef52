/*
 * Admission of one customer's requests: a token bucket by the contract's rate
 * and a concurrency limit that follows how much of the deadline answers take.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdint.h>

#include "base/err.h"
#include "model/contract.h"

struct admission {
	uint32_t rate_per_s;
	int64_t tokens_micro;
	int64_t tokens_cap_micro;
	int64_t refilled_us;
	int64_t time_limit_us;
	/* Requests in flight allowed, in thousandths. */
	uint64_t limit_milli;
	uint32_t in_flight;
	/* No second decrease before this time. */
	int64_t hold_until_us;
};

enum admission_signal {
	/* Complete; counts as loaded when it took most of the deadline. */
	ADMISSION_GOOD,
	/* Shed, or shards were missing because their targets were busy. */
	ADMISSION_LOADED,
	/* Says nothing about the load, such as a shard without a target. */
	ADMISSION_NEUTRAL
};

/*
 * Also called when the contract or the number of live hosts changes; keeps the
 * learned limit then. Each host admits its part of the rate and a tenth
 * more, because callers are not spread evenly.
 */
void admission_configure(struct admission *a, const struct contract *c,
			 uint32_t host_count, int64_t now_us);
/* ERR_OK (counts as in flight), ERR_RATE_LIMITED or ERR_OVERLOADED. */
enum err_code admission_enter(struct admission *a, int64_t now_us,
			      struct err *err);
void admission_leave(struct admission *a, int64_t now_us, int64_t elapsed_us,
		     enum admission_signal result);

#endif

/*
 * Admission of one customer's requests: a token bucket by the contract's rate
 * and a concurrency limit that follows how much of the deadline answers take.
 */
#ifndef ADM_H
#define ADM_H

#include <stdint.h>

#include "base/err.h"
#include "model/contract.h"

struct adm {
	uint32_t rate_per_s;
	int64_t tokens_micro;
	int64_t tokens_cap_micro;
	int64_t refill_us;
	int64_t answer_us;
	/* Requests in flight allowed, in thousandths. */
	uint64_t limit_milli;
	uint32_t in_flight;
	/* No second decrease before this time. */
	int64_t hold_until_us;
};

enum adm_result {
	/* Complete; counts as loaded when it took most of the deadline. */
	ADM_GOOD,
	/* Shed, or shards were missing because their targets were busy. */
	ADM_LOADED,
	/* Says nothing about the load, such as a shard without a target. */
	ADM_NEUTRAL
};

/*
 * Also called when the contract or the number of live hosts changes; keeps the
 * learned limit then. Each host admits its part of the rate and a tenth
 * more, because callers are not spread evenly.
 */
void adm_configure(struct adm *a, const struct contract *c, uint32_t host_count,
		   int64_t now_us);
/* ERR_OK (counts as in flight), ERR_RATE_LIMITED or ERR_OVERLOADED. */
enum err_code adm_enter(struct adm *a, int64_t now_us, struct err *err);
void adm_leave(struct adm *a, int64_t now_us, int64_t elapsed_us,
	       enum adm_result result);

#endif

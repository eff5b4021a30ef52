/*
 * Decides during a graceful shutdown which requests are still served. A host
 * that leaves answers everything until a fixed time; a request that would not
 * end by then is refused while another host can still take it.
 */
#ifndef GRACE_H
#define GRACE_H

#include <stdint.h>

/*
 * Retry-After of a request that is refused because its host ends: other hosts
 * take it at once.
 */
#define GRACE_RETRY_MS 20

/* What the call of a request waits for, as far as it is known. */
struct grace_wait {
	/* Earliest time at which the target accepts a call. */
	int64_t target_ready_us;
	/* Requests that wait for room at the target before it. */
	uint32_t ahead_count;
	/* Calls that the targets take at once; 0: no target is usable. */
	uint32_t at_once_count;
	/* Mean time of a call. */
	int64_t mean_us;
};

/* Time at which the call is expected to be sent; INT64_MAX: never. */
int64_t grace_call_us(const struct grace_wait *w, int64_t now_us);
/*
 * Latest time at which a call with a mean time of @mean_us may be sent so that
 * its answer is passed on before @stop_us.
 */
int64_t grace_last_call_us(int64_t stop_us, int64_t mean_us);

#endif

#include "decide/grace.h"

#include "base/util.h"

/*
 * Mean times that are allowed for a call: a target pauses at times, or works on
 * other calls first.
 */
#define CALL_MEANS 4
/* Allowed for building and writing the answer. */
#define ANSWER_US (50 * US_PER_MS)

int64_t grace_call_us(const struct grace_wait *w, int64_t now_us)
{
	int64_t ready_us = util_max_i64(w->target_ready_us, now_us);

	if (!w->at_once_count)
		return INT64_MAX;
	return ready_us + w->ahead_count * w->mean_us / w->at_once_count;
}

int64_t grace_last_call_us(int64_t stop_us, int64_t mean_us)
{
	return stop_us - ANSWER_US - CALL_MEANS * mean_us;
}

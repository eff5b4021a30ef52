/*
 * Bounds the extra calls of this host to one service in a sliding window of ten
 * seconds. A request is here one part of a caller's request, which this service
 * answers; extra calls are those beyond its first one, hedges and retries. All
 * hosts together may make a share of the requests plus a fixed number of them
 * per window; each host keeps to the share of its own requests plus its part of
 * the fixed number, so that the sum over all hosts keeps the shared bound.
 */
#ifndef EXTRA_WINDOW_H
#define EXTRA_WINDOW_H

#include <stdint.h>

#include "base/util.h"

/* One-second slots: ten for the window and the one being filled. */
#define EXTRA_WINDOW_SLOTS 11
/* Length of the window. */
#define EXTRA_WINDOW_US (10 * (int64_t)US_PER_S)

struct extra_window {
	/* Extra calls that a request allows, in thousandths of a call. */
	uint32_t earn_permille;
	/* Extra calls per window without any request, in thousandths. */
	uint32_t slack_milli;
	/* slack_milli counts from this time on. */
	int64_t slack_from_us;
	/*
	 * Second of the monotonic clock of the slot being filled; second s has
	 * slot s % EXTRA_WINDOW_SLOTS.
	 */
	int64_t newest_s;
	/* Requests and extra calls by slot. */
	uint32_t requests[EXTRA_WINDOW_SLOTS];
	uint32_t extras[EXTRA_WINDOW_SLOTS];
};

/*
 * @earn_permille: extra calls per request, in thousandths. @slack_milli: this
 * host's part of the fixed number, in thousandths. It counts from @from_us on:
 * a process that has just started does not know how many extra calls its
 * predecessor made in the same window.
 */
void extra_window_configure(struct extra_window *w, uint32_t earn_permille,
			    uint32_t slack_milli, int64_t from_us);
void extra_window_count_request(struct extra_window *w, int64_t now_us);
/* 1 if one more extra call at @now_us keeps the bound. */
int extra_window_may_spend(struct extra_window *w, int64_t now_us);
void extra_window_spend(struct extra_window *w, int64_t now_us);
/* Share of the window's allowed extra calls that is left. */
uint32_t extra_window_fill_permille(struct extra_window *w, int64_t now_us);

#endif

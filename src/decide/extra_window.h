/*
 * Extra calls in a sliding window: what this host may send to a service beyond
 * the first call of each request, so that the sum over all hosts keeps the
 * shared bound (a share of the requests plus a fixed number per window).
 */
#ifndef EXTRA_WINDOW_H
#define EXTRA_WINDOW_H

#include <stdint.h>

#include "base/util.h"

/* One-second slots: the window of ten seconds and the one being filled. */
#define EXTRA_WINDOW_SLOTS 11
#define EXTRA_WINDOW_US (10 * (int64_t)US_PER_S)

struct extra_window {
	uint32_t earn_permille;
	uint32_t slack_milli;
	int64_t slack_from_us;
	/* Second that slot 0 began with, counted from the clock's start. */
	int64_t newest_s;
	uint32_t requests[EXTRA_WINDOW_SLOTS];
	uint32_t extras[EXTRA_WINDOW_SLOTS];
};

/*
 * @earn_permille: extra calls per request. @slack_milli: this host's part of
 * the fixed number, in thousandths. It counts from @from_us on: a process that
 * has just started does not know what its predecessor used in the same window.
 */
void extra_window_configure(struct extra_window *w, uint32_t earn_permille,
			    uint32_t slack_milli, int64_t from_us);
void extra_window_count_request(struct extra_window *w, int64_t now_us);
/* 1 if one more extra call keeps the bound. */
int extra_window_may_spend(struct extra_window *w, int64_t now_us);
void extra_window_spend(struct extra_window *w, int64_t now_us);
/* Part of the allowance of the window that is left. */
uint32_t extra_window_fill_permille(struct extra_window *w, int64_t now_us);

#endif

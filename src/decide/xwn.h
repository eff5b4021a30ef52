/*
 * Extra calls in a sliding window: what this host may send to a service beyond
 * the first call of each request, so that the sum over all hosts keeps the
 * shared bound (a share of the requests plus a fixed number per window).
 */
#ifndef XWN_H
#define XWN_H

#include <stdint.h>

#include "base/cutil.h"

/* One-second slots: the window of ten seconds and the one being filled. */
#define XWN_SLOTS 11
#define XWN_WINDOW_US (10 * (int64_t)US_PER_S)

struct xwn {
	uint32_t earn_permille;
	uint32_t slack_milli;
	int64_t slack_from_us;
	/* Second that slot 0 began with, counted from the clock's start. */
	int64_t second;
	uint32_t requests[XWN_SLOTS];
	uint32_t extras[XWN_SLOTS];
};

/*
 * @earn_permille: extra calls per request. @slack_milli: this host's part of
 * the fixed number, in thousandths. It counts from @from_us on: a process that
 * has just started does not know what its predecessor used in the same window.
 */
void xwn_set(struct xwn *w, uint32_t earn_permille, uint32_t slack_milli,
	     int64_t from_us);
void xwn_request(struct xwn *w, int64_t now_us);
/* 1 if one more extra call keeps the bound. */
int xwn_may_spend(struct xwn *w, int64_t now_us);
void xwn_spend(struct xwn *w, int64_t now_us);
/* Part of the allowance of the window that is left. */
uint32_t xwn_fill_permille(struct xwn *w, int64_t now_us);

#endif

/*
 * Gateway rollouts: moves a service's requests to a version that the operator
 * ordered, or takes it back. Pure; every host runs one on the same documents.
 *
 * A rollout is one item in the store that is only replaced at its known
 * revision, and a final state is never left. So any host may take the next
 * step: of two that try, one succeeds. The hosts take turns by rank, so that
 * normally one of them acts and another follows when it does not.
 *
 * A host that finds the version bad on the evidence it has gives it no work
 * from then on, whatever the item says.
 */
#ifndef CANARY_H
#define CANARY_H

#include <stdint.h>

#include "model/gw_rollout.h"
#include "model/heartbeat.h"

/*
 * DEF(part of the duration in permille at which the step begins, share of the
 * version as a multiple of the allowed exposure in permille): the sum of share
 * x time stays below three quarters of the exposure that a bad version may
 * have.
 */
#define CANARY_STEPS(DEF) DEF(0, 500) DEF(450, 1000) DEF(750, 2000)
/* All requests go to the version from here on, if nothing speaks against it. */
#define CANARY_FULL_PERMILLE 830
/* A version that is still under suspicion here is rolled back. */
#define CANARY_ROLL_BACK_PERMILLE 900
/*
 * Time between the shift and the end, in which hosts learn of it and calls to
 * the old version finish; part of the duration at most.
 */
#define CANARY_SETTLE_US (1200 * (int64_t)US_PER_MS)
#define CANARY_SETTLE_PERMILLE 100
/* A host acts this much later than the one ranked before it. */
#define CANARY_RANK_DELAY_US (700 * (int64_t)US_PER_MS)

struct canary_ops {
	/*
	 * Write @item or @status if the document is still revision @if_rev (0:
	 * does not exist). The result comes to gro_written().
	 */
	void (*write_item)(void *ctx, const struct gw_rollout *item,
			   uint64_t if_rev);
	void (*write_status)(void *ctx, const struct gw_rollout_status *status,
			     uint64_t if_rev);
	/* Shares changed. */
	void (*shares_changed)(void *ctx, int64_t now_us);
};

struct canary;

/* @exposure_permille: share of the requests that a bad version may get. */
struct canary *canary_new(uint32_t exposure_permille,
			  const struct canary_ops *ops, void *ctx);
void canary_free(struct canary *g);

/* Documents of the store; @rev is their revision there. */
void canary_on_order(struct canary *g, const struct gw_rollout_order *o,
		     uint64_t rev, int64_t now_us);
void canary_on_order_deleted(struct canary *g, const char *service,
			     int64_t now_us);
void canary_on_item(struct canary *g, const struct gw_rollout *item,
		    uint64_t rev, int64_t now_us);
void canary_on_status(struct canary *g, const struct gw_rollout_status *status,
		      uint64_t rev);
/* A write of @service failed and may be tried again. */
void canary_on_write_failed(struct canary *g, const char *service);

/* Evidence of this host or of others; each request is reported once. */
void canary_on_report(struct canary *g, const struct rollout_report *e,
		      uint32_t count, int64_t now_us);
/* @rank: hosts that act before this one; UINT32_MAX: this one never acts. */
void canary_tick(struct canary *g, uint32_t rank, int64_t now_us);
/* 1 while an order is not finished. */
int canary_is_active(const struct canary *g);

/* Versions whose share is ruled by a rollout: writes up to @max entries. */
uint32_t canary_shares(const struct canary *g, struct gw_version_share *out,
		       uint32_t max);

#endif

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
#ifndef GRO_H
#define GRO_H

#include <stdint.h>

#include "model/gw_rollout.h"
#include "model/heartbeat.h"

/*
 * DEF(part of the duration in permille at which the step begins, share of the
 * version as a multiple of the allowed exposure in permille): the sum of share
 * x time stays below three quarters of the exposure that a bad version may
 * have.
 */
#define GRO_STEPS(DEF) DEF(0, 500) DEF(450, 1000) DEF(750, 2000)
/* All requests go to the version from here on, if nothing speaks against it. */
#define GRO_SHIFT_PERMILLE 830
/* A version that is still under suspicion here is rolled back. */
#define GRO_LATEST_PERMILLE 900
/*
 * Time between the shift and the end, in which hosts learn of it and calls to
 * the old version finish; part of the duration at most.
 */
#define GRO_SETTLE_US (1200 * (int64_t)US_PER_MS)
#define GRO_SETTLE_PERMILLE 100
/* A host acts this much later than the one ranked before it. */
#define GRO_TURN_US (700 * (int64_t)US_PER_MS)

struct gro_ops {
	/*
	 * Write @item or @status if the document is still revision @if_rev (0:
	 * does not exist). The result comes to gro_written().
	 */
	void (*write_item)(void *ctx, const struct gw_rollout *item,
			   uint64_t if_rev);
	void (*write_status)(void *ctx, const struct gw_rollout_status *status,
			     uint64_t if_rev);
	/* Shares changed. */
	void (*changed)(void *ctx, int64_t now_us);
};

struct gro;

/* @exposure_permille: share of the requests that a bad version may get. */
struct gro *gro_new(uint32_t exposure_permille, const struct gro_ops *ops,
		    void *ctx);
void gro_free(struct gro *g);

/* Documents of the store; @rev is their revision there. */
void gro_order(struct gro *g, const struct gw_order *o, uint64_t rev,
	       int64_t now_us);
void gro_order_gone(struct gro *g, const char *service, int64_t now_us);
void gro_item(struct gro *g, const struct gw_rollout *item, uint64_t rev,
	      int64_t now_us);
void gro_status(struct gro *g, const struct gw_rollout_status *status,
		uint64_t rev);
/* A write of @service failed and may be tried again. */
void gro_write_failed(struct gro *g, const char *service);

/* Evidence of this host or of others; each request is reported once. */
void gro_evidence(struct gro *g, const struct rollout_evidence *e,
		  uint32_t count, int64_t now_us);
/* @rank: hosts that act before this one; UINT32_MAX: this one never acts. */
void gro_tick(struct gro *g, uint32_t rank, int64_t now_us);
/* 1 while an order is not finished. */
int gro_is_active(const struct gro *g);

/* Versions whose share is ruled by a rollout: writes up to @max entries. */
uint32_t gro_shares(const struct gro *g, struct version_share *out,
		    uint32_t max);

#endif

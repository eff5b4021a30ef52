/*
 * Gateway rollouts: a controller that moves the requests of a service to the
 * version that the operator ordered, step by step, or takes the version back.
 * Pure; every host runs one on the same documents of the store.
 *
 * A rollout is one item in the store. It is replaced only at its known
 * revision, and a final state is never left, so any host may write the next
 * step: of two that try, one succeeds. Hosts act in the order of their ranks,
 * each later than the one before it, so that normally one of them writes and
 * another one does when the first does not.
 *
 * A host whose reports show that the version is bad gives it no work from then
 * on, whatever the item says.
 */
#ifndef CANARY_H
#define CANARY_H

#include <stdint.h>

#include "model/gw_rollout.h"
#include "model/heartbeat.h"

/*
 * DEF(start of the step as a part of the duration, in permille; share of the
 * version as a multiple of the allowed exposure, in permille). Until the full
 * share, the sum of share x time stays below three quarters of the exposure
 * that a bad version may have.
 */
#define CANARY_STEPS(DEF) DEF(0, 500) DEF(450, 1000) DEF(750, 2000)
/*
 * Part of the duration from which on all requests go to the version, unless it
 * is under suspicion.
 */
#define CANARY_FULL_PERMILLE 830
/* Part of the duration at which a version under suspicion is rolled back. */
#define CANARY_ROLL_BACK_PERMILLE 900
/*
 * Time between the item with the full share and the item that says done, in
 * which hosts learn of the full share and calls to the old version finish; at
 * most CANARY_SETTLE_PERMILLE of the duration.
 */
#define CANARY_SETTLE_US (1200 * (int64_t)US_PER_MS)
#define CANARY_SETTLE_PERMILLE 100
/* A host writes a step this much later than the host ranked before it would. */
#define CANARY_RANK_DELAY_US (700 * (int64_t)US_PER_MS)

struct canary_ops {
	/*
	 * Write @item or @status if the document is still at revision @if_rev
	 * (0: it does not exist). Success shows in canary_on_item() or
	 * canary_on_status(), failure in canary_on_write_failed().
	 */
	void (*write_item)(void *ctx, const struct gw_rollout *item,
			   uint64_t if_rev);
	void (*write_status)(void *ctx, const struct gw_rollout_status *status,
			     uint64_t if_rev);
	/* The result of canary_shares() may have changed. */
	void (*shares_changed)(void *ctx, int64_t now_us);
};

struct canary;

/*
 * @exposure_permille: share of the requests of a whole rollout that a bad
 * version may get (sum of share x time).
 */
struct canary *canary_new(uint32_t exposure_permille,
			  const struct canary_ops *ops, void *ctx);
void canary_free(struct canary *c);

/*
 * A document of the store was read or changed; @rev is its revision. It is
 * ignored unless it is newer than the known revision of the document.
 */
void canary_on_order(struct canary *c, const struct gw_rollout_order *order,
		     uint64_t rev, int64_t now_us);
void canary_on_order_deleted(struct canary *c, const char *service,
			     int64_t now_us);
void canary_on_item(struct canary *c, const struct gw_rollout *item,
		    uint64_t rev, int64_t now_us);
void canary_on_status(struct canary *c, const struct gw_rollout_status *status,
		      uint64_t rev);
/* A write for @service failed and may be tried again. */
void canary_on_write_failed(struct canary *c, const char *service);

/*
 * Adds the counts of calls that this host or another one made; the owner passes
 * each count in only once.
 */
void canary_on_report(struct canary *c, const struct rollout_report *reports,
		      uint32_t count, int64_t now_us);
/*
 * Writes the items and statuses that are due. @rank: number of hosts that act
 * before this one; UINT32_MAX: this host never writes.
 */
void canary_tick(struct canary *c, uint32_t rank, int64_t now_us);
/*
 * The store came back from an older copy; the documents in it follow, until
 * canary_store_returned(). What was known of a rollout stays: its item and status
 * are written again where the copy lacks them or has an earlier state of them,
 * and an order in the copy for another version is held, since the operator writes
 * the later one again.
 */
void canary_store_returns(struct canary *c);
void canary_store_returned(struct canary *c);
/* The operator has written none again: the orders that are held are in effect. */
void canary_take_held(struct canary *c, int64_t now_us);
/*
 * 1 while an order is not carried out or one of its documents has to be written.
 */
int canary_is_active(const struct canary *c);

/* Most versions that canary_shares() may write. */
uint32_t canary_share_max(const struct canary *c);
/* Fills @out with all versions whose share a rollout sets; returns their number. */
uint32_t canary_shares(const struct canary *c, struct gw_version_share *out);

#endif

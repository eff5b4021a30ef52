/*
 * Rollouts of versions. Pure; every host runs one. The controller computes the
 * share of new work that each version gets, tests versions by the counts of
 * this host and of its peers, and, while this host is the leader, writes the
 * rollout item: a larger share, the end of the rollout, or its rollback.
 *
 * A version that this host, any peer or the item itself says is bad gets no new
 * work from this host from then on. This mark stays until the process ends and
 * overrides every share; after a restart the rolled-back item tells of it.
 */
#ifndef ROLLOUT_H
#define ROLLOUT_H

#include <stdint.h>

#include "controller/leadership.h"
#include "model/config.h"
#include "model/request_report.h"
#include "model/heartbeat.h"

/* DEF(permille): share of the new version in each step. */
#define ROLLOUT_STEPS(DEF) DEF(10) DEF(50) DEF(100) DEF(250) DEF(500) DEF(1000)

/* Stated rate of false alarms: good rollouts that are rolled back per hour. */
#define ROLLOUT_FALSE_ALARMS_PER_H 0.01
/* Sub-requests to the new version that are enough to test it in a step. */
#define ROLLOUT_STEP_REQUESTS 100
/* A step lasts at least this long, so that the counts of peers arrive. */
#define ROLLOUT_STEP_MIN_US (2LL * US_PER_S)
/*
 * The version of a finished rollout is still tested, and rolled back if it is
 * bad, for this long. Without an end, the false alarms of all finished rollouts
 * would add up.
 */
#define ROLLOUT_MONITOR_US (600LL * US_PER_S)

struct rollout_ops {
	struct leadership_ops leadership;
	/*
	 * Writes @item if the service's item is still at revision @if_rev.
	 * Returns 1 if the result will come to rollout_write_done(), or 0,
	 * without a result, when the write is not accepted now.
	 */
	int (*write_item)(void *ctx, const struct rollout_item *item,
			  uint64_t if_rev);
	/* Shares have changed, so the view has to be rebuilt. */
	void (*shares_changed)(void *ctx);
	/* @text is one line for the log and for the operator. */
	void (*note)(void *ctx, const char *service, const char *text);
};

struct rollout;

/* @self: this host's name, which the reasons of its rollbacks contain. */
struct rollout *rollout_new(const char *self, uint64_t seed,
			    const struct rollout_ops *ops, void *ctx);
void rollout_free(struct rollout *r);

/* Number of entry hosts, from which the threshold of the tests follows. */
void rollout_set_host_count(struct rollout *r, uint32_t host_count);
/* @candidate 1: this host may become the leader. */
void rollout_set_candidate(struct rollout *r, uint32_t candidate);

/*
 * Adopts a rollout item of revision @rev; an older revision than the known one
 * is ignored with ERR_OK. ERR_CFG_FENCE when a leader wrote the item with a
 * lower fencing token than one already adopted; the item then has no effect.
 * Fencing token 0 is that of an operator's edit.
 */
enum err_code rollout_on_item(struct rollout *r, int64_t now_us,
			      int64_t wall_ms, const struct rollout_item *item,
			      uint64_t rev, struct err *err);
/* The item was deleted: all versions but bad ones get the full share. */
void rollout_on_item_deleted(struct rollout *r, const char *service);
/*
 * Adds the sub-requests that this host counted in one report period, by version
 * and operation, to the tests of the rollouts that run or ended lately. A test
 * may mark a version bad.
 */
void rollout_on_own_counts(struct rollout *r, int64_t now_us,
			   const struct version_counts *counts, uint32_t count);
/* Adds the counts and marks from one heartbeat of peer @host. */
void rollout_on_peer_report(struct rollout *r, int64_t now_us, const char *host,
			    const struct rollout_report *reports,
			    uint32_t count);
/*
 * Fills @out with up to @max reports for the next heartbeat and returns their
 * number: two for a service, on its new and its old version. The counts that
 * they contain are cleared here. First come services whose new version is bad
 * while the item does not say so yet; services take turns when there is not
 * enough room.
 */
uint32_t rollout_fill_report(struct rollout *r, struct rollout_report *out,
			     uint32_t max);
/* Every 100 ms; @wall_ms is compared with the items' finish_by_ms. */
void rollout_tick(struct rollout *r, int64_t now_us, int64_t wall_ms);

/* Result of write_item(). */
void rollout_write_done(struct rollout *r, int64_t now_us, const char *service,
			enum err_code code);
/* For the results of the leadership callbacks. */
struct leadership *rollout_leadership(struct rollout *r);
/* Highest fencing token adopted. */
uint64_t rollout_fence(const struct rollout *r);

/* Share of new work that @version gets; 1000 without a rollout. */
uint32_t rollout_share_permille(const struct rollout *r, const char *service,
				const char *version);
/* Calls @fn for each version with a share other than 1000. */
void rollout_each_share(const struct rollout *r,
			void (*fn)(void *ctx, const char *service,
				   const char *version,
				   uint32_t share_permille),
			void *ctx);
/* Reason why @version is marked bad, or NULL when it is not. */
const char *rollout_bad_reason(const struct rollout *r, const char *service,
			       const char *version);
/* Item in effect or NULL. */
const struct rollout_item *rollout_find(const struct rollout *r,
					const char *service);
/* Largest statistic and its threshold in thousandths of a nat, for reports. */
void rollout_get_score(const struct rollout *r, const char *service,
		       uint64_t *score_milli, uint64_t *threshold_milli);

/*
 * Rules that the state exploration in tests/prop_rollout_states.c calls
 * directly.
 */

/*
 * 1 when an item with fencing token @fence may be adopted after one with
 * @seen_fence; 0 is the token of an operator's edit, which always may.
 */
int rollout_fence_ok_internal(uint64_t seen_fence, uint64_t fence);
/* Share of the new version of @item; @is_bad 1: it is marked bad. */
uint32_t rollout_share_internal(const struct rollout_item *item, int is_bad);
/*
 * Fills @next with the item that the leader with fencing token @fence writes
 * after @item; returns 0 when nothing has to be written, and @next then differs
 * from @item in the token only. @is_bad 1: the new version is marked bad.
 * @may_grow 1: the tests allow the next step.
 */
int rollout_next_item_internal(const struct rollout_item *item, uint64_t fence,
			       int is_bad, int may_grow,
			       struct rollout_item *next);

#endif

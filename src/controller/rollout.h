/*
 * Rollouts of versions. Pure; every host runs one. It computes the share of
 * new work of each version, judges versions by its own and its peers'
 * evidence, and, while it holds the leadership, grows, finishes or rolls back
 * by writing the rollout item.
 *
 * A version found bad by this host, by any peer, or by the item itself gets
 * no new work from this host from then on. That mark is kept for the life of
 * the process and wins over every share; the rolled-back item keeps it beyond.
 */
#ifndef ROLLOUT_H
#define ROLLOUT_H

#include <stdint.h>

#include "controller/leadership.h"
#include "model/config.h"
#include "model/request_report.h"
#include "model/heartbeat.h"

/* DEF(permille): shares of the new version, in order. */
#define ROLLOUT_STEPS(DEF) DEF(10) DEF(50) DEF(100) DEF(250) DEF(500) DEF(1000)

/* Stated rate of false alarms: good rollouts that are rolled back per hour. */
#define ROLLOUT_FALSE_ALARMS_PER_H 0.01
/* New requests per route and step that make a step's evidence sufficient. */
#define ROLLOUT_STEP_REQUESTS 100
/* A step lasts at least this long, so that peers' evidence arrives. */
#define ROLLOUT_STEP_MIN_US (2LL * US_PER_S)
/*
 * A finished rollout is still judged, and rolled back, for this long. Without
 * an end, the false alarms of all finished rollouts would add up.
 */
#define ROLLOUT_MONITOR_US (600LL * US_PER_S)

struct rollout_ops {
	struct leadership_ops leadership;
	/*
	 * Writes @item if the item in effect is still revision @if_rev; the
	 * result comes to rollout_write_done(). Returns 0 when not accepted now.
	 */
	int (*write_item)(void *ctx, const struct rollout_item *item,
			  uint64_t if_rev);
	/* Shares changed: the view has to be rebuilt. */
	void (*shares_changed)(void *ctx);
	/* One line for the log and for the operator. */
	void (*note)(void *ctx, const char *service, const char *text);
};

struct rollout;

/* @self: this host's name, given as the reason's origin. */
struct rollout *rollout_new(const char *self, uint64_t seed,
			    const struct rollout_ops *ops, void *ctx);
void rollout_free(struct rollout *r);

/* Number of entry hosts; sets the threshold of the test. */
void rollout_set_host_count(struct rollout *r, uint32_t host_count);
/* 1: this host may become the leader (it watches the store). */
void rollout_set_candidate(struct rollout *r, uint32_t candidate);

/*
 * Adopts a rollout item of revision @rev. ERR_CFG_FENCE when a leader wrote
 * it with a lower fencing token than one already adopted; it has no effect.
 * Fence 0 is an operator's edit. An older revision is ignored.
 */
enum err_code rollout_on_item(struct rollout *r, int64_t now_us,
			      int64_t wall_ms, const struct rollout_item *item,
			      uint64_t rev, struct err *err);
/* The item was deleted: all versions get their full share, but bad ones. */
void rollout_on_item_deleted(struct rollout *r, const char *service);
/* This host's own observations of one report period. */
void rollout_on_own_counts(struct rollout *r, int64_t now_us,
			   const struct version_counts *e, uint32_t count);
/* A peer's observations from one heartbeat. */
void rollout_on_peer_report(struct rollout *r, int64_t now_us, const char *host,
			    const struct rollout_report *e, uint32_t count);
/*
 * What to report in the next heartbeat; returns the number of entries. Bad
 * versions come first; services take turns when there is not enough room.
 */
uint32_t rollout_fill_report(struct rollout *r, struct rollout_report *out,
			     uint32_t max);
/* Every 100 ms; @wall_ms is compared with the items' finish_by_ms. */
void rollout_tick(struct rollout *r, int64_t now_us, int64_t wall_ms);

/* Results of the operations. */
void rollout_write_done(struct rollout *r, int64_t now_us, const char *service,
			enum err_code code);
struct leadership *rollout_leadership(struct rollout *r);
/* Highest fencing token adopted. */
uint64_t rollout_fence(const struct rollout *r);

/* Share of new work in permille; 1000 without a rollout. */
uint32_t rollout_share_permille(const struct rollout *r, const char *service,
				const char *version);
/* Calls @fn for each version with a share other than 1000. */
void rollout_each_share(const struct rollout *r,
			void (*fn)(void *ctx, const char *service,
				   const char *version,
				   uint32_t share_permille),
			void *ctx);
/* Reason and origin when @version is marked bad, else NULL. */
const char *rollout_bad_reason(const struct rollout *r, const char *service,
			       const char *version);
/* Item in effect or NULL. */
const struct rollout_item *rollout_find(const struct rollout *r,
					const char *service);
/* Largest statistic and its threshold in thousandths of a nat, for reports. */
void rollout_get_score(const struct rollout *r, const char *service,
		       uint64_t *score_milli, uint64_t *threshold_milli);

/*
 * Rules that the state exploration in tests/prop_rollout.c drives directly.
 */

/* 1 when an item with @fence may follow @seen_fence; 0 is an operator's. */
int rollout_fence_ok_internal(uint64_t seen_fence, uint64_t fence);
/* Share of the new version of @item, @bad when it is marked bad. */
uint32_t rollout_share_internal(const struct rollout_item *item, int bad);
/*
 * Next item that the leader with @fence writes for @item; returns 0 when
 * nothing has to be written. @bad: the new version is marked bad. @grow: the
 * evidence allows the next step.
 */
int rollout_next_item_internal(const struct rollout_item *item, uint64_t fence,
			       int bad, int grow, struct rollout_item *next);

#endif

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
#ifndef ROL_H
#define ROL_H

#include <stdint.h>

#include "controller/rol_lead.h"
#include "model/config.h"
#include "model/evidence.h"
#include "model/heartbeat.h"

/* DEF(permille): shares of the new version, in order. */
#define ROL_STEPS(DEF) DEF(10) DEF(50) DEF(100) DEF(250) DEF(500) DEF(1000)

/* Stated rate of false alarms: good rollouts that are rolled back per hour. */
#define ROL_FALSE_ALARM_RATE 0.01
/* New requests per route and step that make a step's evidence sufficient. */
#define ROL_STEP_REQUESTS 100
/* A step lasts at least this long, so that peers' evidence arrives. */
#define ROL_STEP_MIN_US (2LL * US_PER_S)
/*
 * A finished rollout is still judged, and rolled back, for this long. Without
 * an end, the false alarms of all finished rollouts would add up.
 */
#define ROL_WATCH_US (600LL * US_PER_S)

struct rol_ops {
	struct rol_lead_ops lead;
	/*
	 * Writes @item if the item in effect is still revision @if_rev; the
	 * result comes to rol_write_done(). Returns 0 when not accepted now.
	 */
	int (*write)(void *ctx, const struct rollout_item *item,
		     uint64_t if_rev);
	/* Shares changed: the view has to be rebuilt. */
	void (*changed)(void *ctx);
	/* One line for the log and for the operator. */
	void (*note)(void *ctx, const char *service, const char *text);
};

struct rol;

/* @self: this host's name, given as the reason's origin. */
struct rol *rol_new(const char *self, uint64_t seed, const struct rol_ops *ops,
		    void *ctx);
void rol_free(struct rol *r);

/* Number of entry hosts; sets the threshold of the test. */
void rol_set_hosts(struct rol *r, uint32_t host_count);
/* 1: this host may become the leader (it watches the store). */
void rol_set_candidate(struct rol *r, uint32_t candidate);

/*
 * Adopts a rollout item of revision @rev. ERR_CFG_FENCE when a leader wrote
 * it with a lower fencing token than one already adopted; it has no effect.
 * Fence 0 is an operator's edit. An older revision is ignored.
 */
enum err_code rol_item(struct rol *r, int64_t now_us, int64_t wall_ms,
		       const struct rollout_item *item, uint64_t rev,
		       struct err *err);
/* The item was deleted: all versions get their full share, but bad ones. */
void rol_item_deleted(struct rol *r, const char *service);
/* This host's own observations of one report period. */
void rol_evidence(struct rol *r, int64_t now_us,
		  const struct version_evidence *e, uint32_t count);
/* A peer's observations from one heartbeat. */
void rol_peer(struct rol *r, int64_t now_us, const char *host,
	      const struct rollout_evidence *e, uint32_t count);
/*
 * What to report in the next heartbeat; returns the number of entries. Bad
 * versions come first; services take turns when there is not enough room.
 */
uint32_t rol_report(struct rol *r, struct rollout_evidence *out, uint32_t max);
/* Every 100 ms; @wall_ms is compared with the items' finish_by_ms. */
void rol_tick(struct rol *r, int64_t now_us, int64_t wall_ms);

/* Results of the operations. */
void rol_write_done(struct rol *r, int64_t now_us, const char *service,
		    enum err_code code);
struct rol_lead *rol_lead(struct rol *r);
/* Highest fencing token adopted. */
uint64_t rol_fence(const struct rol *r);

/* Share of new work in permille; 1000 without a rollout. */
uint32_t rol_share_permille(const struct rol *r, const char *service,
			    const char *version);
/* Calls @fn for each version with a share other than 1000. */
void rol_each_share(const struct rol *r,
		    void (*fn)(void *ctx, const char *service,
			       const char *version, uint32_t share_permille),
		    void *ctx);
/* Reason and origin when @version is marked bad, else NULL. */
const char *rol_bad_reason(const struct rol *r, const char *service,
			   const char *version);
/* Item in effect or NULL. */
const struct rollout_item *rol_find(const struct rol *r, const char *service);
/* Largest statistic and its threshold in thousandths of a nat, for reports. */
void rol_statistic(const struct rol *r, const char *service,
		   uint64_t *score_milli, uint64_t *threshold_milli);

/*
 * Rules that the state exploration in tests/prop_rollout.c drives directly.
 */

/* 1 when an item with @fence may follow @seen_fence; 0 is an operator's. */
int rol_fence_ok_internal(uint64_t seen_fence, uint64_t fence);
/* Share of the new version of @item, @bad when it is marked bad. */
uint32_t rol_share_internal(const struct rollout_item *item, int bad);
/*
 * Next item that the leader with @fence writes for @item; returns 0 when
 * nothing has to be written. @bad: the new version is marked bad. @grow: the
 * evidence allows the next step.
 */
int rol_next_item_internal(const struct rollout_item *item, uint64_t fence,
			   int bad, int grow, struct rollout_item *next);

#endif

/*
 * Leadership of rollouts: a store lease with a fencing token. Pure; the store
 * calls go out through callbacks and their results come back through the
 * rol_lead_*_done() functions.
 *
 * The leader holds the key LEADERSHIP_KEY under its lease; the key's version is
 * the fencing token. The lease counts from the time the grant or renewal was
 * sent, and the leader stops LEADERSHIP_MARGIN_US before its end, so a paused
 * leader finds its lease over by its own monotonic clock, before the store
 * can have given the key to another host.
 */
#ifndef LEADERSHIP_H
#define LEADERSHIP_H

#include <stdint.h>

#include "base/err.h"

#define LEADERSHIP_KEY "rollout-leader"
#define LEADERSHIP_TTL_MS 5000
/* Allows for clock rates that differ by 20% between host and store. */
#define LEADERSHIP_MARGIN_US 1000000
#define LEADERSHIP_RENEW_US 1500000
/* Two calls per attempt and host; two hosts per data centre attempt. */
#define LEADERSHIP_RETRY_US 3000000

enum leadership_phase {
	LEADERSHIP_IDLE,
	LEADERSHIP_GRANTING,
	LEADERSHIP_CLAIMING,
	LEADERSHIP_HOLDING,
	LEADERSHIP_RENEWING
};

struct leadership_ops {
	/*
	 * Each starts one store call; its result comes to the function below
	 * with the same @call number.
	 */
	void (*grant)(void *ctx, uint32_t call, uint32_t ttl_ms);
	/* Create LEADERSHIP_KEY under @lease if it does not exist. */
	void (*claim)(void *ctx, uint32_t call, uint64_t lease);
	void (*renew)(void *ctx, uint32_t call, uint64_t lease);
	/* The result is not needed. */
	void (*revoke)(void *ctx, uint64_t lease);
};

/* Plain data, so that a state exploration can copy it. */
struct leadership {
	enum leadership_phase phase;
	/* Number of the latest call; results of earlier ones are ignored. */
	uint32_t call;
	uint64_t lease;
	uint64_t fence;
	int64_t sent_us;
	int64_t valid_until_us;
	int64_t next_call_us;
};

/* @wanted: 1 while a rollout needs a leader and this host may be it. */
void leadership_tick(struct leadership *l, int64_t now_us, int wanted,
		     int64_t jitter_us, const struct leadership_ops *ops,
		     void *ctx);
void leadership_grant_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code, uint64_t lease,
			   const struct leadership_ops *ops, void *ctx);
/* @version: of the key. @seen_fence: highest fencing token seen in items. */
void leadership_claim_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code, uint64_t version,
			   uint64_t seen_fence,
			   const struct leadership_ops *ops, void *ctx);
void leadership_renew_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code);
/* 1 while this host may act as the leader. */
int leadership_may_act(const struct leadership *l, int64_t now_us);
/* Gives up at once; used when an item carries a higher fencing token. */
void leadership_resign(struct leadership *l, int64_t now_us,
		       const struct leadership_ops *ops, void *ctx);

#endif

/*
 * Leadership of rollouts: a store lease with a fencing token. Pure; the store
 * calls go out through callbacks and their results come back through the
 * rol_lead_*_done() functions.
 *
 * The leader holds the key ROL_LEAD_KEY under its lease; the key's version is
 * the fencing token. The lease counts from the time the grant or renewal was
 * sent, and the leader stops ROL_LEAD_MARGIN_US before its end, so a paused
 * leader finds its lease over by its own monotonic clock, before the store
 * can have given the key to another host.
 */
#ifndef ROL_LEAD_H
#define ROL_LEAD_H

#include <stdint.h>

#include "base/err.h"

#define ROL_LEAD_KEY "rollout-leader"
#define ROL_LEAD_TTL_MS 5000
/* Allows for clock rates that differ by 20% between host and store. */
#define ROL_LEAD_MARGIN_US 1000000
#define ROL_LEAD_RENEW_US 1500000
/* Two calls per attempt and host; two hosts per data centre attempt. */
#define ROL_LEAD_RETRY_US 3000000

enum rol_lead_phase {
	ROL_LEAD_IDLE,
	ROL_LEAD_GRANTING,
	ROL_LEAD_CLAIMING,
	ROL_LEAD_HOLDING,
	ROL_LEAD_RENEWING
};

struct rol_lead_ops {
	/*
	 * Each starts one store call; its result comes to the function below
	 * with the same @call number.
	 */
	void (*grant)(void *ctx, uint32_t call, uint32_t ttl_ms);
	/* Create ROL_LEAD_KEY under @lease if it does not exist. */
	void (*claim)(void *ctx, uint32_t call, uint64_t lease);
	void (*renew)(void *ctx, uint32_t call, uint64_t lease);
	/* The result is not needed. */
	void (*revoke)(void *ctx, uint64_t lease);
};

/* Plain data, so that a state exploration can copy it. */
struct rol_lead {
	enum rol_lead_phase phase;
	/* Number of the latest call; results of earlier ones are ignored. */
	uint32_t call;
	uint64_t lease;
	uint64_t fence;
	int64_t sent_us;
	int64_t valid_until_us;
	int64_t next_us;
};

/* @wanted: 1 while a rollout needs a leader and this host may be it. */
void rol_lead_tick(struct rol_lead *l, int64_t now_us, int wanted,
		   int64_t jitter_us, const struct rol_lead_ops *ops,
		   void *ctx);
void rol_lead_grant_done(struct rol_lead *l, int64_t now_us, uint32_t call,
			 enum err_code code, uint64_t lease,
			 const struct rol_lead_ops *ops, void *ctx);
/* @version: of the key. @seen_fence: highest fencing token seen in items. */
void rol_lead_claim_done(struct rol_lead *l, int64_t now_us, uint32_t call,
			 enum err_code code, uint64_t version,
			 uint64_t seen_fence, const struct rol_lead_ops *ops,
			 void *ctx);
void rol_lead_renew_done(struct rol_lead *l, int64_t now_us, uint32_t call,
			 enum err_code code);
/* 1 while this host may act as the leader. */
int rol_lead_may_act(const struct rol_lead *l, int64_t now_us);
/* Gives up at once; used when an item carries a higher fencing token. */
void rol_lead_drop(struct rol_lead *l, int64_t now_us,
		   const struct rol_lead_ops *ops, void *ctx);

#endif

/*
 * Leader election for rollouts by a store lease with a fencing token. Pure: the
 * store calls go out through callbacks, and their results come back through the
 * leadership_*_done() functions.
 *
 * The leader holds the key LEADERSHIP_KEY under its lease; the version of the
 * key is the fencing token. The leader counts the lease from the time that it
 * sent the grant or renewal, and stops acting LEADERSHIP_MARGIN_US before its
 * end. So a leader that was paused finds by its own monotonic clock that its
 * lease is over before the store can have given the key to another host.
 */
#ifndef LEADERSHIP_H
#define LEADERSHIP_H

#include <stdint.h>

#include "base/err.h"

#define LEADERSHIP_KEY "rollout-leader"
#define LEADERSHIP_TTL_MS 5000
/* Allows for clocks of host and store whose rates differ by 20%. */
#define LEADERSHIP_MARGIN_US 1000000
/* Time between renewals of the lease; a third of it after a failed one. */
#define LEADERSHIP_RENEW_US 1500000
/*
 * Time between attempts to become the leader. An attempt takes two store calls,
 * and two hosts of each data centre make attempts.
 */
#define LEADERSHIP_RETRY_US 3000000

enum leadership_phase {
	LEADERSHIP_IDLE,
	/* Waits for a lease. */
	LEADERSHIP_GRANTING,
	/* Has a lease and waits for the key. */
	LEADERSHIP_CLAIMING,
	/* Has lease and key. */
	LEADERSHIP_HOLDING,
	/* Has lease and key and waits for the renewal of the lease. */
	LEADERSHIP_RENEWING
};

struct leadership_ops {
	/*
	 * Each callback starts one store call; the result is passed to the
	 * leadership_*_done() function of the same name with the same @call.
	 */
	void (*grant)(void *ctx, uint32_t call, uint32_t ttl_ms);
	/* Create LEADERSHIP_KEY under @lease if it does not exist. */
	void (*claim)(void *ctx, uint32_t call, uint64_t lease);
	void (*renew)(void *ctx, uint32_t call, uint64_t lease);
	/* Has no @call, since its result is not needed. */
	void (*revoke)(void *ctx, uint64_t lease);
};

/* Plain data, so that a state exploration can copy it. */
struct leadership {
	enum leadership_phase phase;
	/* Number of the latest call; results of earlier ones are ignored. */
	uint32_t call;
	/* Lease of the store; 0: none. */
	uint64_t lease;
	/* Fencing token; 0: this host is not the leader. */
	uint64_t fence;
	/* Time at which the latest grant or renewal was sent. */
	int64_t sent_us;
	/* The leader stops acting at this time. */
	int64_t valid_until_us;
	/* Time of the next grant or renewal. */
	int64_t next_call_us;
};

/*
 * Called periodically. @wanted: 1 while a rollout needs a leader and this host
 * may be it. @jitter_us: added to the time until the next attempt when the
 * leadership ends here.
 */
void leadership_tick(struct leadership *l, int64_t now_us, int wanted,
		     int64_t jitter_us, const struct leadership_ops *ops,
		     void *ctx);
void leadership_grant_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code, uint64_t lease,
			   const struct leadership_ops *ops, void *ctx);
/*
 * @version: version of the key. @seen_fence: highest fencing token seen in
 * rollout items.
 */
void leadership_claim_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code, uint64_t version,
			   uint64_t seen_fence,
			   const struct leadership_ops *ops, void *ctx);
void leadership_renew_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code);
/* 1 while this host may act as the leader. */
int leadership_may_act(const struct leadership *l, int64_t now_us);
/*
 * Gives up the leadership at once, as when an item carries a higher fencing
 * token.
 */
void leadership_resign(struct leadership *l, int64_t now_us,
		       const struct leadership_ops *ops, void *ctx);

#endif

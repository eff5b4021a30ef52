/*
 * Rate limit and backoff for this host's calls to the store. All hosts share
 * the store's rates in equal parts. Pure: the time is passed in.
 */
#ifndef KV_LIMITER_H
#define KV_LIMITER_H

#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"
#include "model/kv.h"

struct kv_bucket {
	/* Calls that may be made now, in millionths. */
	int64_t tokens_micro;
	/* Time up to which the rate has been added to the tokens. */
	int64_t refilled_us;
};

struct kv_limiter {
	/* Calls per second that the store grants to all hosts together. */
	uint32_t reads_per_s;
	uint32_t writes_per_s;
	/* Hosts that share the rates, at least 1. */
	uint32_t hosts;
	struct kv_bucket read_bucket;
	struct kv_bucket write_bucket;
	/* Calls in a row that the store did not answer. */
	uint32_t failures;
	/* No call is let through before this time. */
	int64_t backoff_until_us;
	/* For the random part of the backoff. */
	struct rng rng;
};

void kv_limiter_init(struct kv_limiter *l, uint32_t reads_per_s,
		     uint32_t writes_per_s, uint64_t seed);
/* Number of hosts that share the rates; 0 counts as 1. */
void kv_limiter_set_hosts(struct kv_limiter *l, uint32_t hosts);
/*
 * Asks to make one call: ERR_OK lets it through; ERR_STORE_DOWN refuses it
 * during a backoff, ERR_STORE_RATE when this host's part of the rate is used.
 */
enum err_code kv_limiter_enter(struct kv_limiter *l, int64_t now_us,
			       enum kv_op op, struct err *err);
/* Takes the result @code of a call that was let through. */
void kv_limiter_result(struct kv_limiter *l, int64_t now_us,
		       enum err_code code);
/* Earliest time that the backoff allows a call; @now_us without a backoff. */
int64_t kv_limiter_next_call_us(const struct kv_limiter *l, int64_t now_us);
/* 1 for calls that change the store; they use the write rate. */
int kv_op_is_write(enum kv_op op);

#endif

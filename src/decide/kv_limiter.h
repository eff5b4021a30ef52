/*
 * Rate budget and backoff in front of the store. Pure: the time is passed in.
 * The store's rates are shared by all hosts in equal parts.
 */
#ifndef KV_LIMITER_H
#define KV_LIMITER_H

#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"
#include "model/kv.h"

struct kv_bucket {
	/* Millionths of a call. */
	int64_t tokens_micro;
	int64_t refilled_us;
};

struct kv_limiter {
	/* Calls per second that the store grants to all hosts together. */
	uint32_t reads_per_s;
	uint32_t writes_per_s;
	uint32_t hosts;
	struct kv_bucket read_bucket;
	struct kv_bucket write_bucket;
	uint32_t failures;
	int64_t backoff_until_us;
	struct rng rng;
};

void kv_limiter_init(struct kv_limiter *g, uint32_t reads_per_s,
		     uint32_t writes_per_s, uint64_t seed);
/* Number of hosts that share the rates; 0 counts as 1. */
void kv_limiter_set_hosts(struct kv_limiter *g, uint32_t hosts);
/* ERR_OK, ERR_STORE_DOWN during backoff, ERR_STORE_RATE. */
enum err_code kv_limiter_enter(struct kv_limiter *g, int64_t now_us,
			       enum kv_op op, struct err *err);
/* Tells the outcome of a call that had entered. */
void kv_limiter_result(struct kv_limiter *g, int64_t now_us,
		       enum err_code code);
/* Time at which calls are let in again; @now_us when they are now. */
int64_t kv_limiter_next_call_us(const struct kv_limiter *g, int64_t now_us);
/* 1 for calls that change the store. */
int kv_op_is_write(enum kv_op op);

#endif

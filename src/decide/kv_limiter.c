#include "decide/kv_limiter.h"

#include <string.h>

/* One lost answer is no outage; the second failure in a row closes. */
#define FAILURES_OPEN 1
#define BACKOFF_MIN_US (100 * US_PER_MS)
/*
 * A host that reaches the store again has 3 s until a change made at that
 * moment is in effect, connecting and reading included.
 */
#define BACKOFF_MAX_US (1 * US_PER_S)
/* Part of the store's read rate that all hosts together use to try again. */
#define BACKOFF_RATE_DIVISOR 4
/* Lets a host of a large fleet, with under one call/s, make an edit. */
#define BURST_MIN 8
#define CALL_COST 1000000

int kv_op_is_write(enum kv_op op)
{
	return op == KV_CAS || op == KV_DELETE || op == KV_LEASE_GRANT ||
	       op == KV_LEASE_RENEW || op == KV_LEASE_REVOKE;
}

static int64_t burst(const struct kv_limiter *g, uint32_t per_s)
{
	return util_max_i64(per_s / g->hosts, BURST_MIN) * CALL_COST;
}

void kv_limiter_init(struct kv_limiter *g, uint32_t reads_per_s,
		     uint32_t writes_per_s, uint64_t seed)
{
	memset(g, 0, sizeof(*g));
	g->reads_per_s = reads_per_s;
	g->writes_per_s = writes_per_s;
	g->hosts = 1;
	g->rng.state = seed;
	g->read_bucket.tokens_micro = burst(g, reads_per_s);
	g->write_bucket.tokens_micro = burst(g, writes_per_s);
}

void kv_limiter_set_hosts(struct kv_limiter *g, uint32_t hosts)
{
	g->hosts = util_max_u32(hosts, 1);
}

static int take(struct kv_limiter *g, struct kv_bucket *b, uint32_t per_s,
		int64_t now_us)
{
	int64_t past_us = now_us - b->refilled_us;

	/* Longer gaps fill the bucket in any case. */
	if (past_us > 1000 * (int64_t)US_PER_S)
		past_us = 1000 * (int64_t)US_PER_S;
	if (past_us > 0)
		b->tokens_micro += past_us * per_s / g->hosts;
	b->refilled_us = now_us;
	b->tokens_micro = util_min_i64(b->tokens_micro, burst(g, per_s));
	if (b->tokens_micro < CALL_COST)
		return 0;
	b->tokens_micro -= CALL_COST;
	return 1;
}

int64_t kv_limiter_next_call_us(const struct kv_limiter *g, int64_t now_us)
{
	return util_max_i64(g->backoff_until_us, now_us);
}

enum err_code kv_limiter_enter(struct kv_limiter *g, int64_t now_us,
			       enum kv_op op, struct err *err)
{
	int writes = kv_op_is_write(op);

	if (now_us < g->backoff_until_us)
		return err_set(err, ERR_STORE_DOWN,
			       "next attempt in %lld ms after %u failures",
			       (long long)(g->backoff_until_us - now_us) /
				       US_PER_MS,
			       g->failures);
	if (take(g, writes ? &g->write_bucket : &g->read_bucket,
		 writes ? g->writes_per_s : g->reads_per_s, now_us))
		return ERR_OK;
	return err_set(err, ERR_STORE_RATE,
		       "%s budget of this host, %u per s for %u hosts, is used",
		       writes ? "write" : "read",
		       writes ? g->writes_per_s : g->reads_per_s, g->hosts);
}

/* With many hosts the longest wait follows from what the store bears. */
static int64_t backoff_max_us(const struct kv_limiter *g)
{
	int64_t share_us = (int64_t)US_PER_S * g->hosts * BACKOFF_RATE_DIVISOR /
			   util_max_i64(g->reads_per_s, 1);

	return util_max_i64(share_us, BACKOFF_MAX_US);
}

static int is_outage(enum err_code code)
{
	return code == ERR_STORE_DOWN || code == ERR_STORE_UNKNOWN;
}

void kv_limiter_result(struct kv_limiter *g, int64_t now_us, enum err_code code)
{
	int64_t wait_us = BACKOFF_MIN_US;
	uint32_t i;

	if (!is_outage(code)) {
		g->failures = 0;
		return;
	}
	/* Calls that failed together count as one failure. */
	if (now_us < g->backoff_until_us)
		return;
	g->failures++;
	if (g->failures <= FAILURES_OPEN)
		return;
	for (i = FAILURES_OPEN + 1; i < g->failures; i++)
		wait_us = util_min_i64(wait_us * 2, backoff_max_us(g));
	/* Half fixed, half random, so that hosts do not return together. */
	wait_us = wait_us / 2 + rng_below(&g->rng, (uint32_t)(wait_us / 2));
	g->backoff_until_us = now_us + wait_us;
}

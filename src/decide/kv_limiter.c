#include "decide/kv_limiter.h"

#include <string.h>

/*
 * Failures in a row that cause no backoff: one lost answer is no outage, the
 * second failure in a row is.
 */
#define FAILURES_TOLERATED 1
/* Longest first backoff; each further failure doubles it. */
#define BACKOFF_MIN_US (100 * US_PER_MS)
/*
 * Longest backoff in a small fleet. When a host can reach the store again, a
 * change that is made then must be in effect on it 3 s later, which includes
 * connecting and reading, and a removal 4 s later: a call that is under way at that
 * moment fails after up to 1 s, and removals are held back for 2.2 s once the store
 * answers.
 */
#define BACKOFF_MAX_US (500 * US_PER_MS)
/* All hosts together try again with a quarter of the store's read rate. */
#define BACKOFF_RATE_DIVISOR 4
/*
 * A host may make at least this many calls at once: in a large fleet its part
 * of the rate is below one call per s, and an edit of the configuration takes
 * several calls.
 */
#define BURST_MIN 8
/* One call, in millionths. */
#define CALL_MICRO 1000000

int kv_op_is_write(enum kv_op op)
{
	return op == KV_CAS || op == KV_DELETE || op == KV_LEASE_GRANT ||
	       op == KV_LEASE_RENEW || op == KV_LEASE_REVOKE;
}

/* Capacity of a bucket, in millionths of a call; @per_s: rate of all hosts. */
static int64_t burst_micro(const struct kv_limiter *l, uint32_t per_s)
{
	return util_max_i64(per_s / l->hosts, BURST_MIN) * CALL_MICRO;
}

void kv_limiter_init(struct kv_limiter *l, uint32_t reads_per_s,
		     uint32_t writes_per_s, uint64_t seed)
{
	memset(l, 0, sizeof(*l));
	l->reads_per_s = reads_per_s;
	l->writes_per_s = writes_per_s;
	l->hosts = 1;
	l->rng.state = seed;
	l->read_bucket.tokens_micro = burst_micro(l, reads_per_s);
	l->write_bucket.tokens_micro = burst_micro(l, writes_per_s);
}

void kv_limiter_set_hosts(struct kv_limiter *l, uint32_t hosts)
{
	l->hosts = util_max_u32(hosts, 1);
}

/* Takes one call from @b and returns 1, or returns 0 if it holds less. */
static int take_call(struct kv_limiter *l, struct kv_bucket *b, uint32_t per_s,
		     int64_t now_us)
{
	int64_t elapsed_us = now_us - b->refilled_us;

	/* Keeps the product below in range; 1000 s fill a bucket anyway. */
	if (elapsed_us > 1000 * (int64_t)US_PER_S)
		elapsed_us = 1000 * (int64_t)US_PER_S;
	if (elapsed_us > 0)
		b->tokens_micro += elapsed_us * per_s / l->hosts;
	b->refilled_us = now_us;
	b->tokens_micro = util_min_i64(b->tokens_micro, burst_micro(l, per_s));
	if (b->tokens_micro < CALL_MICRO)
		return 0;
	b->tokens_micro -= CALL_MICRO;
	return 1;
}

int64_t kv_limiter_next_call_us(const struct kv_limiter *l, int64_t now_us)
{
	return util_max_i64(l->backoff_until_us, now_us);
}

enum err_code kv_limiter_enter(struct kv_limiter *l, int64_t now_us,
			       enum kv_op op, struct err *err)
{
	int is_write = kv_op_is_write(op);

	if (now_us < l->backoff_until_us)
		return err_set(err, ERR_STORE_DOWN,
			       "next attempt in %lld ms after %u failures",
			       (long long)(l->backoff_until_us - now_us) /
				       US_PER_MS,
			       l->failures);
	if (take_call(l, is_write ? &l->write_bucket : &l->read_bucket,
		      is_write ? l->writes_per_s : l->reads_per_s, now_us))
		return ERR_OK;
	return err_set(err, ERR_STORE_RATE,
		       "%s budget of this host, %u per s for %u hosts, is used",
		       is_write ? "write" : "read",
		       is_write ? l->writes_per_s : l->reads_per_s, l->hosts);
}

/* Longest backoff; with many hosts it follows from BACKOFF_RATE_DIVISOR. */
static int64_t backoff_max_us(const struct kv_limiter *l)
{
	int64_t share_us = (int64_t)US_PER_S * l->hosts * BACKOFF_RATE_DIVISOR /
			   util_max_i64(l->reads_per_s, 1);

	return util_max_i64(share_us, BACKOFF_MAX_US);
}

static int is_outage(enum err_code code)
{
	return code == ERR_STORE_DOWN || code == ERR_STORE_UNKNOWN;
}

void kv_limiter_result(struct kv_limiter *l, int64_t now_us, enum err_code code)
{
	int64_t wait_us = BACKOFF_MIN_US;
	uint32_t i;

	if (!is_outage(code)) {
		l->failures = 0;
		return;
	}
	/* Let through before the present backoff began: does not extend it. */
	if (now_us < l->backoff_until_us)
		return;
	l->failures++;
	if (l->failures <= FAILURES_TOLERATED)
		return;
	for (i = FAILURES_TOLERATED + 1; i < l->failures; i++)
		wait_us = util_min_i64(wait_us * 2, backoff_max_us(l));
	/* Half fixed, half random, so that hosts do not call all at once. */
	wait_us = wait_us / 2 + rng_below(&l->rng, (uint32_t)(wait_us / 2));
	l->backoff_until_us = now_us + wait_us;
}

#include "controller/leadership.h"

#include "base/util.h"

/* Time at which a lease that was asked for at @sent_us is no longer used. */
static int64_t lease_end_us(int64_t sent_us)
{
	return sent_us + (int64_t)LEADERSHIP_TTL_MS * US_PER_MS -
	       LEADERSHIP_MARGIN_US;
}

static int is_holding(const struct leadership *l)
{
	return l->phase == LEADERSHIP_HOLDING ||
	       l->phase == LEADERSHIP_RENEWING;
}

int leadership_may_act(const struct leadership *l, int64_t now_us)
{
	return is_holding(l) && now_us < l->valid_until_us;
}

static void become_idle(struct leadership *l, int64_t next_us)
{
	l->phase = LEADERSHIP_IDLE;
	l->lease = 0;
	l->fence = 0;
	l->next_call_us = next_us;
}

void leadership_resign(struct leadership *l, int64_t now_us,
		       const struct leadership_ops *ops, void *ctx)
{
	if (l->lease)
		ops->revoke(ctx, l->lease);
	become_idle(l, now_us + LEADERSHIP_RETRY_US);
}

static void start_grant(struct leadership *l, int64_t now_us,
			const struct leadership_ops *ops, void *ctx)
{
	l->phase = LEADERSHIP_GRANTING;
	l->sent_us = now_us;
	ops->grant(ctx, ++l->call, LEADERSHIP_TTL_MS);
}

static void start_renew(struct leadership *l, int64_t now_us,
			const struct leadership_ops *ops, void *ctx)
{
	l->phase = LEADERSHIP_RENEWING;
	l->sent_us = now_us;
	ops->renew(ctx, ++l->call, l->lease);
}

void leadership_tick(struct leadership *l, int64_t now_us, int wanted,
		     int64_t jitter_us, const struct leadership_ops *ops,
		     void *ctx)
{
	if (is_holding(l) && (!wanted || now_us >= l->valid_until_us)) {
		leadership_resign(l, now_us, ops, ctx);
		l->next_call_us += jitter_us;
		return;
	}
	if (!wanted || now_us < l->next_call_us)
		return;
	if (l->phase == LEADERSHIP_IDLE)
		start_grant(l, now_us, ops, ctx);
	else if (l->phase == LEADERSHIP_HOLDING)
		start_renew(l, now_us, ops, ctx);
}

void leadership_grant_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code, uint64_t lease,
			   const struct leadership_ops *ops, void *ctx)
{
	if (l->phase != LEADERSHIP_GRANTING || call != l->call)
		return;
	if (code != ERR_OK) {
		become_idle(l, now_us + LEADERSHIP_RETRY_US);
		return;
	}
	l->lease = lease;
	l->valid_until_us = lease_end_us(l->sent_us);
	if (now_us >= l->valid_until_us) {
		leadership_resign(l, now_us, ops, ctx);
		return;
	}
	l->phase = LEADERSHIP_CLAIMING;
	ops->claim(ctx, ++l->call, lease);
}

void leadership_claim_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code, uint64_t version,
			   uint64_t seen_fence,
			   const struct leadership_ops *ops, void *ctx)
{
	if (l->phase != LEADERSHIP_CLAIMING || call != l->call)
		return;
	/* The key may exist all the same; revoking the lease deletes it. */
	if (code != ERR_OK || now_us >= l->valid_until_us) {
		leadership_resign(l, now_us, ops, ctx);
		return;
	}
	/* A restored store may give out versions that were used before. */
	l->fence = version > seen_fence ? version : seen_fence + 1;
	l->phase = LEADERSHIP_HOLDING;
	l->next_call_us = l->sent_us + LEADERSHIP_RENEW_US;
}

void leadership_renew_done(struct leadership *l, int64_t now_us, uint32_t call,
			   enum err_code code)
{
	if (l->phase != LEADERSHIP_RENEWING || call != l->call)
		return;
	l->phase = LEADERSHIP_HOLDING;
	l->next_call_us = now_us + LEADERSHIP_RENEW_US;
	/* ERR_STORE_NOT_FOUND: the store does not know the lease any more. */
	if (code == ERR_OK)
		l->valid_until_us = lease_end_us(l->sent_us);
	else if (code == ERR_STORE_NOT_FOUND)
		l->valid_until_us = now_us;
	else
		l->next_call_us = now_us + LEADERSHIP_RENEW_US / 3;
}

#include "controller/rol_lead.h"

#include "base/cutil.h"

static int64_t lease_end_us(int64_t sent_us)
{
	return sent_us + (int64_t)ROL_LEAD_TTL_MS * US_PER_MS -
	       ROL_LEAD_MARGIN_US;
}

static int holding(const struct rol_lead *l)
{
	return l->phase == ROL_LEAD_HOLDING || l->phase == ROL_LEAD_RENEWING;
}

int rol_lead_may_act(const struct rol_lead *l, int64_t now_us)
{
	return holding(l) && now_us < l->valid_until_us;
}

static void idle(struct rol_lead *l, int64_t next_us)
{
	l->phase = ROL_LEAD_IDLE;
	l->lease = 0;
	l->fence = 0;
	l->next_us = next_us;
}

void rol_lead_drop(struct rol_lead *l, int64_t now_us,
		   const struct rol_lead_ops *ops, void *ctx)
{
	if (l->lease)
		ops->revoke(ctx, l->lease);
	idle(l, now_us + ROL_LEAD_RETRY_US);
}

static void start_grant(struct rol_lead *l, int64_t now_us,
			const struct rol_lead_ops *ops, void *ctx)
{
	l->phase = ROL_LEAD_GRANTING;
	l->sent_us = now_us;
	ops->grant(ctx, ++l->call, ROL_LEAD_TTL_MS);
}

static void start_renew(struct rol_lead *l, int64_t now_us,
			const struct rol_lead_ops *ops, void *ctx)
{
	l->phase = ROL_LEAD_RENEWING;
	l->sent_us = now_us;
	ops->renew(ctx, ++l->call, l->lease);
}

void rol_lead_tick(struct rol_lead *l, int64_t now_us, int wanted,
		   int64_t jitter_us, const struct rol_lead_ops *ops, void *ctx)
{
	if (holding(l) && (!wanted || now_us >= l->valid_until_us)) {
		rol_lead_drop(l, now_us, ops, ctx);
		l->next_us += jitter_us;
		return;
	}
	if (!wanted || now_us < l->next_us)
		return;
	if (l->phase == ROL_LEAD_IDLE)
		start_grant(l, now_us, ops, ctx);
	else if (l->phase == ROL_LEAD_HOLDING)
		start_renew(l, now_us, ops, ctx);
}

void rol_lead_grant_done(struct rol_lead *l, int64_t now_us, uint32_t call,
			 enum err_code code, uint64_t lease,
			 const struct rol_lead_ops *ops, void *ctx)
{
	if (l->phase != ROL_LEAD_GRANTING || call != l->call)
		return;
	if (code != ERR_OK) {
		idle(l, now_us + ROL_LEAD_RETRY_US);
		return;
	}
	l->lease = lease;
	l->valid_until_us = lease_end_us(l->sent_us);
	if (now_us >= l->valid_until_us) {
		rol_lead_drop(l, now_us, ops, ctx);
		return;
	}
	l->phase = ROL_LEAD_CLAIMING;
	ops->claim(ctx, ++l->call, lease);
}

void rol_lead_claim_done(struct rol_lead *l, int64_t now_us, uint32_t call,
			 enum err_code code, uint64_t version,
			 uint64_t seen_fence, const struct rol_lead_ops *ops,
			 void *ctx)
{
	if (l->phase != ROL_LEAD_CLAIMING || call != l->call)
		return;
	/* A lost answer may have created the key; the revocation deletes it. */
	if (code != ERR_OK || now_us >= l->valid_until_us) {
		rol_lead_drop(l, now_us, ops, ctx);
		return;
	}
	/* A restored store counts from an older revision again. */
	l->fence = version > seen_fence ? version : seen_fence + 1;
	l->phase = ROL_LEAD_HOLDING;
	l->next_us = l->sent_us + ROL_LEAD_RENEW_US;
}

void rol_lead_renew_done(struct rol_lead *l, int64_t now_us, uint32_t call,
			 enum err_code code)
{
	if (l->phase != ROL_LEAD_RENEWING || call != l->call)
		return;
	l->phase = ROL_LEAD_HOLDING;
	l->next_us = now_us + ROL_LEAD_RENEW_US;
	if (code == ERR_OK)
		l->valid_until_us = lease_end_us(l->sent_us);
	else if (code == ERR_STORE_NOT_FOUND)
		l->valid_until_us = now_us;
	else
		l->next_us = now_us + ROL_LEAD_RENEW_US / 3;
}

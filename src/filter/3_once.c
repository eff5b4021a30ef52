/*
 * Filter 3: claims the ID of a non-idempotent request in the store before
 * anything is sent to a target, and records the request's outcome afterwards.
 */
#include "filter/pipeline_internal.h"

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct pipeline *p = ctx;

	if (!req_at_most_once(r))
		return FILTER_NEXT;
	p->ops.claim(p->ops.ctx, r->number, r->request->customer,
		     r->request->id);
	return FILTER_WAIT;
}

static enum outcome outcome_of(const struct req *r)
{
	if (r->err.code == ERR_OK)
		return OUTCOME_DONE;
	return r->sent_count > r->not_run_count ? OUTCOME_UNKNOWN
						: OUTCOME_NOT_RUN;
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct pipeline *p = ctx;

	if (!r->is_claimed)
		return;
	p->ops.record_outcome(p->ops.ctx, r->request->customer, r->request->id,
			      outcome_of(r));
}

struct filter filter_once(struct pipeline *p)
{
	return (struct filter){ "once", enter, leave, p };
}

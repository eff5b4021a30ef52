/*
 * Filter 3: a non-idempotent request claims its ID in the store before
 * anything is sent, and records what became of it afterwards.
 */
#include "filter/req.h"

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct path *p = ctx;

	if (!req_is_once(r))
		return FILTER_NEXT;
	p->ops.claim(p->ops.ctx, r->no, r->in->customer, r->in->id);
	return FILTER_WAIT;
}

static enum outcome outcome_of(const struct req *r)
{
	if (r->err.code == ERR_OK)
		return OUTCOME_DONE;
	return r->sent > r->not_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct path *p = ctx;

	if (!r->claimed)
		return;
	p->ops.record(p->ops.ctx, r->in->customer, r->in->id, outcome_of(r));
}

struct filter filter_once(struct path *p)
{
	return (struct filter){ "once", enter, leave, p };
}

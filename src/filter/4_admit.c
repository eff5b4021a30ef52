/*
 * Filter 4: refuses at once a request above the customer's rate, or above the
 * number in flight that can be answered in time.
 */
#include "filter/pipeline_internal.h"

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct err err = { 0 };
	enum err_code code =
		admission_enter(&r->customer->admission, now_us, &err);

	if (code != ERR_OK)
		return req_refuse(r, code, err.detail);
	r->is_admitted = 1;
	return FILTER_NEXT;
}

static enum admission_signal admission_signal_of(const struct req *r)
{
	if (r->err.code == ERR_CANCELLED)
		return ADMISSION_NEUTRAL;
	if (r->err.code == ERR_OK && r->answered_count == r->shard_count)
		return ADMISSION_GOOD;
	return r->targets_overloaded ? ADMISSION_LOADED : ADMISSION_NEUTRAL;
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	admission_leave(&r->customer->admission, now_us,
			now_us - r->caller->received_us,
			admission_signal_of(r));
}

struct filter filter_admit(struct pipeline *p)
{
	return (struct filter){ "admit", enter, leave, p };
}

/* Graceful shutdown: the requests in flight end before the host stops. */
#include "decide/grace.h"
#include "gateway/gw_internal.h"

int64_t gw_leave_last_call_us(const struct gw_req *r)
{
	if (!r->gw->stop_us)
		return INT64_MAX;
	return grace_last_call_us(r->gw->stop_us, r->stats->hedge.mean_us);
}

int64_t gw_leave_call_us(const struct gw_service *s, const struct gw_req *r,
			 int64_t now_us)
{
	struct gw_room room = gw_target_room(s);
	struct grace_wait w = { .target_ready_us =
					gw_target_first_call_us(s, now_us),
				.ahead_count = s->waiting_count,
				.at_once_count = room.call_limit,
				.mean_us = r->stats->hedge.mean_us };

	if (room.outstanding >= room.call_limit)
		w.ahead_count++;
	return grace_call_us(&w, now_us);
}

enum filter_step gw_leave_refuse(struct gw_req *r)
{
	return gw_req_refuse(r, 503, ERR_STOPPING, GRACE_RETRY_MS);
}

static void end_before_stop(struct gw_req *r, int64_t now_us)
{
	gw_req_limit_times(r);
	/* Resumed once, below: a request that has ended is freed. */
	r->is_running = 1;
	gw_forward_limit_time(r);
	gw_send_recheck(r, now_us);
	r->is_running = 0;
	if (!r->gatherer)
		gw_req_resume(r, now_us);
}

void gw_leave(struct gw *g, int64_t stop_us, int64_t now_us)
{
	g_autoptr(GList) open = g_hash_table_get_values(g->reqs);
	GList *node;

	g->stop_us = stop_us;
	for (node = open; node; node = node->next)
		end_before_stop(node->data, now_us);
}

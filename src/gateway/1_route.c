/* Filter 1: the route by host name and path, and the time limits. */
#include "gateway/gw_internal.h"

/* Kept back from the caller's time limit for the way back and its variance. */
#define DEADLINE_MARGIN_US (15 * US_PER_MS)
/*
 * Kept back from the goal, which callers count from their side of the network:
 * a connection set-up and the way there and back.
 */
#define GOAL_MARGIN_US (8 * US_PER_MS)
/* Part of the goal kept back besides, for the host's own processor time. */
#define GOAL_MARGIN_PERMILLE 60
/* A host without a configuration gets one within this time if it can. */
#define NO_CONFIG_RETRY_MS 200

static void set_times(struct gw_req *r)
{
	const struct exchange_request *in = r->in;
	int64_t wait_ms = r->route->timeout_ms;
	int64_t goal_us = (int64_t)r->route->goal_ms * US_PER_MS;

	if (in->wait_ms)
		wait_ms = cu_min_i64(wait_ms, in->wait_ms);
	r->deadline_us =
		in->received_us + wait_ms * US_PER_MS - DEADLINE_MARGIN_US;
	r->settle_us = in->received_us + goal_us - GOAL_MARGIN_US -
		       goal_us * GOAL_MARGIN_PERMILLE / PERMILLE;
	r->settle_us = cu_min_i64(r->settle_us, r->deadline_us);
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;

	if (!r->bound)
		return gw_refuse(r, 503, ERR_NO_CONFIG, NO_CONFIG_RETRY_MS);
	r->route =
		route_find(r->bound->config, r->in->host, r->in->text->target);
	if (!r->route)
		return gw_refuse(r, 404, ERR_NOT_FOUND, 0);
	r->stats = r->bound->routes[r->route - r->bound->config->routes];
	set_times(r);
	return FILTER_NEXT;
}

struct filter gw_filter_route(struct gw *g)
{
	return (struct filter){ "route", enter, NULL, g };
}

/* Filter 1: finds the route by host name and path, and sets the time limits. */
#include "gateway/gw_internal.h"

/* Kept back from the time limit for scheduling on both ends. */
#define DEADLINE_MARGIN_US (8 * US_PER_MS)
/* Part of the goal that is kept back besides the network, and its minimum. */
#define GOAL_MARGIN_PERMILLE 30
#define GOAL_MARGIN_MIN_US (3 * US_PER_MS)
/*
 * Processor time of a whole core from the decision to merge an answer until its
 * last byte is sent: a fixed part, and a part for each part of the route.
 */
#define ANSWER_CPU_US 200
#define PART_CPU_US 15
/* Taken as the round trip to a caller when none was measured. */
#define RTT_DEFAULT_US (6 * US_PER_MS)
/* A host without a configuration gets one within this time if it can. */
#define NO_CONFIG_RETRY_MS 200

/*
 * Part of the request's time that this host does not observe: one round trip to
 * the caller, and a second one if the caller opened the connection for it.
 */
static int64_t unseen_network_us(const struct exchange_request *in)
{
	int64_t rtt_us = in->rtt_us ? in->rtt_us : RTT_DEFAULT_US;

	return in->is_first_on_conn ? 2 * rtt_us : rtt_us;
}

/* Time that this host takes to build the answer, by its share of a core. */
static int64_t build_answer_us(const struct gw_req *r)
{
	int64_t cpu_us =
		ANSWER_CPU_US + (int64_t)PART_CPU_US * r->route->part_count;

	return cpu_us * PERMILLE /
	       util_max_i64(r->gw->opt.tuning.core_permille, 1);
}

/* The host that forwarded the request has taken off what it needs. */
static void set_forwarded_times(struct gw_req *r)
{
	const struct exchange_request *in = r->request;

	r->deadline_us =
		in->received_us + (int64_t)in->caller_timeout_ms * US_PER_MS;
	r->partial_after_us = in->received_us +
			      (int64_t)in->goal_ms * US_PER_MS -
			      build_answer_us(r);
	r->partial_after_us = util_min_i64(r->partial_after_us, r->deadline_us);
}

static void set_times(struct gw_req *r)
{
	const struct exchange_request *in = r->request;
	int64_t goal_us = (int64_t)r->route->goal_ms * US_PER_MS;
	int64_t margin_us = util_max_i64(
		GOAL_MARGIN_MIN_US, goal_us * GOAL_MARGIN_PERMILLE / PERMILLE);
	int64_t wait_ms = r->route->timeout_ms;

	if (in->is_forwarded) {
		set_forwarded_times(r);
		return;
	}

	if (in->caller_timeout_ms)
		wait_ms = util_min_i64(wait_ms, in->caller_timeout_ms);
	r->deadline_us = in->received_us + wait_ms * US_PER_MS -
			 unseen_network_us(in) - DEADLINE_MARGIN_US;
	r->partial_after_us = in->received_us + goal_us -
			      unseen_network_us(in) - margin_us -
			      build_answer_us(r);
	r->partial_after_us = util_min_i64(r->partial_after_us, r->deadline_us);
}

void gw_req_limit_times(struct gw_req *r)
{
	int64_t stop_us = r->gw->stop_us;

	if (!stop_us)
		return;
	r->deadline_us = util_min_i64(r->deadline_us, stop_us);
	r->partial_after_us = util_min_i64(r->partial_after_us, stop_us);
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;

	if (!r->binding ||
	    r->binding->config->version < r->request->config_version_min)
		return gw_req_refuse(r, 503, ERR_NO_CONFIG, NO_CONFIG_RETRY_MS);
	r->route = route_find(r->binding->config, r->request->host_name,
			      r->request->message->uri);
	if (!r->route)
		return gw_req_refuse(r, 404, ERR_NOT_FOUND, 0);
	r->stats = r->binding->routes[r->route - r->binding->config->routes];
	set_times(r);
	gw_req_limit_times(r);
	return FILTER_NEXT;
}

struct filter gw_filter_route(struct gw *g)
{
	return (struct filter){ "route", enter, NULL, g };
}

/*
 * Filter 3: has a gathered request answered by another host that can gather it
 * much faster (decide/forward.h). A request is forwarded once more, or gathered
 * here, only if it is certain that the gatherer has sent no call for it:
 * otherwise targets could get more calls for it than the route allows.
 */
#include <string.h>

#include "base/log.h"
#include "gateway/gw_internal.h"

/*
 * Kept back from the time limit and from the goal until the answer is here: one
 * way between data centres, and 2 ms on a slow link.
 */
#define LIMIT_MARGIN_US (4 * US_PER_MS)
#define GOAL_MARGIN_US (7 * US_PER_MS)
/* A gatherer with less time than this until the goal could gather nothing. */
#define GOAL_LEFT_MIN_US (10 * US_PER_MS)
/* Gatherers that are asked, one after the other. */
#define FORWARDS_MAX 2
/*
 * Part of the request's time after which a gatherer that has not answered is
 * given up, so that the caller has time to ask another host.
 */
#define GIVE_UP_PERMILLE 400
/* A gatherer that is full is not asked again for this long. */
#define FULL_AVOID_US (50 * US_PER_MS)

static void cancel(struct gw_req *r)
{
	struct gw *g = r->gw;
	struct forward_call *c = util_alloc(1, sizeof(*c));

	c->call_id = r->forward_id;
	c->is_cancel = 1;
	memcpy(c->address, r->gatherer->def.address, sizeof(c->address));
	c->port = r->gatherer->def.port;
	g->ops.forward(g->ops.ctx, c);
}

/* The gatherer does not have the request any more. */
static void detach(struct gw_req *r)
{
	timer_queue_cancel(r->gw->timers, &r->forward_timer);
	g_hash_table_remove(r->gw->forwards, &r->forward_id);
	r->gatherer->open_count--;
	r->gatherer = NULL;
}

static void on_give_up(void *ctx, int64_t now_us)
{
	struct gw_req *r = ctx;

	log_event(LOG_LEVEL_INFO, "forward_failed",
		  "request %s to host %s: no answer after %lld us",
		  r->request->id, r->gatherer->def.name,
		  (long long)(now_us - r->forwarded_us));
	gw_host_failed(r->gatherer, r->forwarded_us, now_us);
	cancel(r);
	detach(r);
	gw_req_refuse(r, 504, ERR_PEER_RPC, 0);
	gw_req_finish(r, now_us);
}

void gw_forward_limit_time(struct gw_req *r)
{
	struct timer_entry *t = &r->forward_timer;

	if (r->gatherer && t->due_us > r->deadline_us)
		timer_queue_arm(r->gw->timers, t, r->deadline_us, on_give_up,
				r);
}

static struct gw_host *pick(struct gw_req *r, int64_t now_us)
{
	struct gw *g = r->gw;
	uint32_t n = g->gatherers->len;
	struct forward_candidate *candidates CLEANUP_FREE =
		util_alloc(n, sizeof(*candidates));
	struct forward_power self = gw_host_power(g);
	struct forward_load load = gw_host_load(r);
	uint32_t i;

	for (i = 0; i < n; i++) {
		const struct gw_host *h = g_ptr_array_index(g->gatherers, i);

		candidates[i] = (struct forward_candidate){
			.power = { h->def.core_permille, h->def.link_mbps },
			.remote_part_count =
				gw_host_remote_count(r, h->def.data_centre),
			.is_near = strcmp(h->def.data_centre,
					  g->opt.data_centre) == 0,
			.open_count = h->open_count,
			.avoid_until_us = h->avoid_until_us
		};
	}
	i = forward_pick(&self, gw_host_remote_count(r, g->opt.data_centre),
			 candidates, n, &load, &g->rng, now_us);
	return i == FORWARD_NONE ? NULL : g_ptr_array_index(g->gatherers, i);
}

static struct exchange_request *copy_request(const struct gw_req *r,
					     int64_t now_us)
{
	const struct exchange_request *in = r->request;
	struct exchange_request *out = util_alloc(1, sizeof(*out));

	out->message = http_message_ref(in->message);
	memcpy(out->id, in->id, sizeof(out->id));
	memcpy(out->host_name, in->host_name, sizeof(out->host_name));
	out->is_forwarded = 1;
	out->config_version_min = r->binding->config->version;
	out->caller_timeout_ms =
		(uint32_t)((r->deadline_us - now_us - LIMIT_MARGIN_US) /
			   US_PER_MS);
	out->goal_ms =
		(uint32_t)((r->partial_after_us - now_us - GOAL_MARGIN_US) /
			   US_PER_MS);
	return out;
}

static void forward_to(struct gw_req *r, struct gw_host *h, int64_t now_us)
{
	struct gw *g = r->gw;
	struct forward_call *c = util_alloc(1, sizeof(*c));

	r->gatherer = h;
	r->forward_id = ++g->last_call_id;
	r->forwarded_us = now_us;
	r->forward_count++;
	h->open_count++;
	g_hash_table_insert(g->forwards, &r->forward_id, r);
	timer_queue_arm(g->timers, &r->forward_timer,
			now_us + (r->deadline_us - now_us) * GIVE_UP_PERMILLE /
					 PERMILLE,
			on_give_up, r);
	if (r->is_traced)
		log_event(LOG_LEVEL_INFO, "forward",
			  "request %s to host %s, %u open, %u gatherers",
			  r->request->id, h->def.name, h->open_count,
			  g->gatherer_count);
	c->call_id = r->forward_id;
	memcpy(c->address, h->def.address, sizeof(c->address));
	c->port = h->def.port;
	c->request = copy_request(r, now_us);
	g->ops.forward(g->ops.ctx, c);
}

/* Forwards the request, or goes on to gather it here. */
static enum filter_step try_forward(struct gw_req *r, int64_t now_us)
{
	struct gw_host *h = NULL;

	if (r->forward_count < FORWARDS_MAX &&
	    r->partial_after_us - now_us - GOAL_MARGIN_US > GOAL_LEFT_MIN_US)
		h = pick(r, now_us);
	if (!h)
		return FILTER_NEXT;
	forward_to(r, h, now_us);
	return FILTER_WAIT;
}

/* Refuses at once what this host, as a gatherer, could not answer in time. */
static enum filter_step take_forwarded(struct gw_req *r)
{
	struct gw *g = r->gw;
	struct forward_power self = gw_host_power(g);
	struct forward_load load = gw_host_load(r);

	if (g->stop_us)
		return gw_req_refuse(r, 503, ERR_STOPPING, 0);
	if (!r->route->is_gather ||
	    !forward_may_accept(&self, &load, g->forwarded_count,
				(int64_t)r->request->goal_ms * US_PER_MS))
		return gw_req_refuse(r, 503, ERR_OVERLOADED, 0);
	g->forwarded_count++;
	return FILTER_NEXT;
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;

	if (r->request->is_forwarded)
		return take_forwarded(r);
	if (!r->route->is_gather || !r->gw->gatherers->len)
		return FILTER_NEXT;
	return try_forward(r, now_us);
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;

	if (r->request->is_forwarded)
		r->gw->forwarded_count--;
	if (!r->gatherer)
		return;
	cancel(r);
	detach(r);
}

/*
 * 1 if the gatherer has sent no call for the request and will send none: it has
 * refused it, or its configuration has no such route.
 */
static int gatherer_has_not_run(const struct forward_reply *reply)
{
	if (reply->code != ERR_OK)
		return (int)reply->not_sent;
	return reply->answer->status == 503 || reply->answer->status == 404;
}

static void go_on(struct gw_req *r, int64_t now_us)
{
	if (try_forward(r, now_us) == FILTER_NEXT)
		gw_req_continue(r, now_us);
}

void gw_forward_finish(struct gw_req *r, struct forward_reply *reply,
		       int64_t now_us)
{
	struct gw_host *h = r->gatherer;
	int not_run = gatherer_has_not_run(reply);

	detach(r);
	if (reply->code != ERR_OK)
		gw_host_failed(h, r->forwarded_us, now_us);
	else if (not_run)
		h->avoid_until_us = now_us + FULL_AVOID_US;
	else
		gw_host_answered(h, now_us);
	if (reply->code != ERR_OK || not_run)
		log_event(LOG_LEVEL_INFO, "forward_failed",
			  "request %s to host %s: %s, not run %d after %lld us",
			  r->request->id, h->def.name,
			  err_name(reply->answer ? reply->answer->code
						 : reply->code),
			  not_run, (long long)(now_us - r->forwarded_us));
	if (not_run) {
		forward_reply_free(reply);
		go_on(r, now_us);
		return;
	}
	if (reply->code == ERR_OK) {
		r->answer = reply->answer;
		r->answer->conn_id = r->request->conn_id;
		reply->answer = NULL;
	} else {
		gw_req_refuse(r, 502, ERR_PEER_RPC, 0);
	}
	forward_reply_free(reply);
	gw_req_finish(r, now_us);
}

struct filter gw_filter_forward(struct gw *g)
{
	return (struct filter){ "forward", enter, leave, g };
}

#include "gateway/gw.h"

#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/metric.h"
#include "gateway/gw_internal.h"

/*
 * One request in this many is traced: all its calls and its answer are logged.
 * The hash of the request ID selects it, so that all hosts select the same.
 */
#define TRACE_ONE_IN 256

static void unref_target(gpointer t)
{
	gw_target_unref(t);
}

struct gw *gw_new(const struct gw_ops *ops, const struct gw_options *options,
		  struct timer_queue *timers)
{
	struct gw *g = util_alloc(1, sizeof(*g));
	struct filter filters[] = {
		gw_filter_route(g), gw_filter_admit(g), gw_filter_forward(g),
		gw_filter_plan(g),  gw_filter_send(g),	gw_filter_answer(g),
	};
	uint32_t i;

	g->ops = *ops;
	g->opt = *options;
	g->timers = timers;
	g->rng.state = options->seed;
	g->host_count = 1;
	for (i = 0; i < countof(filters); i++)
		chain_add(&g->chain, &filters[i]);
	g->reqs = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->forwards = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	g->gatherers = g_ptr_array_new();
	g->targets = g_hash_table_new_full(g_str_hash, g_str_equal, free,
					   unref_target);
	g->services = g_hash_table_new(g_str_hash, g_str_equal);
	g->routes = g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
	return g;
}

static void req_free(struct gw_req *r)
{
	uint32_t i;
	uint32_t j;

	timer_queue_cancel(r->gw->timers, &r->deadline_timer);
	timer_queue_cancel(r->gw->timers, &r->partial_timer);
	g_hash_table_remove(r->gw->reqs, &r->request->conn_id);
	for (i = 0; i < r->part_count; i++) {
		for (j = 0; j < r->parts[i].tried_count; j++)
			gw_target_unref(r->parts[i].tried_targets[j]);
		target_reply_free(r->parts[i].reply);
	}
	free(r->parts);
	gw_binding_unref(r->binding);
	exchange_answer_free(r->answer);
	exchange_request_free(r->request);
	free(r);
}

static void drop_send(void *ctx, struct target_call *call)
{
	target_call_free(call);
}

static void drop_forward(void *ctx, struct forward_call *call)
{
	forward_call_free(call);
}

void gw_free(struct gw *g)
{
	GList *list;
	GList *node;

	if (!g)
		return;
	g->ops.send = drop_send;
	g->ops.forward = drop_forward;
	list = g_hash_table_get_values(g->reqs);
	for (node = list; node; node = node->next) {
		struct gw_req *r = node->data;

		chain_finish(&g->chain, &r->chain_pos, r, 0);
		req_free(r);
	}
	g_list_free(list);
	list = g_hash_table_get_values(g->calls);
	for (node = list; node; node = node->next) {
		struct gw_call *call = node->data;

		timer_queue_cancel(g->timers, &call->cancel_timer);
		gw_target_unref(call->target);
		free(call);
	}
	g_list_free(list);
	timer_queue_cancel(g->timers, &g->report_timer);
	timer_queue_cancel(g->timers, &g->health_timer);
	gw_free_state(g);
	g_hash_table_destroy(g->reqs);
	g_hash_table_destroy(g->calls);
	g_hash_table_destroy(g->forwards);
	g_ptr_array_free(g->gatherers, TRUE);
	g_hash_table_destroy(g->hosts);
	g_hash_table_destroy(g->targets);
	g_hash_table_destroy(g->services);
	g_hash_table_destroy(g->routes);
	free(g);
}

void gw_set_view(struct gw *g, struct gw_view *v, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	gw_bind(g, v, now_us);
	gw_view_unref(v);
	g_hash_table_iter_init(&it, g->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		gw_send_waiting(value, now_us);
}

enum filter_step gw_req_refuse(struct gw_req *r, uint32_t status,
			       enum err_code code, uint32_t retry_after_ms)
{
	r->answer = util_alloc(1, sizeof(*r->answer));
	r->answer->conn_id = r->request->conn_id;
	r->answer->status = status;
	r->answer->code = code;
	r->answer->retry_after_ms = retry_after_ms;
	return FILTER_DONE;
}

uint32_t gw_req_retry_ms(int64_t at_us, int64_t now_us)
{
	return (uint32_t)util_min_i64((at_us - now_us) / US_PER_MS + 1,
				      UINT32_MAX);
}

static void count_outcome(const struct gw_req *r, enum series_outcome outcome,
			  int64_t now_us)
{
	if (r->stats)
		series_observe(r->stats->series, outcome,
			       now_us - r->request->received_us);
}

static void count_answer(const struct gw_req *r, int64_t now_us)
{
	const struct exchange_answer *a = r->answer;

	if (a->status == 503 || a->status == 429) {
		metric_add(METRIC_REFUSED_NOT_RUN, 1);
		count_outcome(r, SERIES_NOT_RUN, now_us);
	} else if (a->code != ERR_OK) {
		metric_add(METRIC_REFUSED_UNKNOWN, 1);
		count_outcome(r, SERIES_FAILED, now_us);
	} else if (a->missing_part_count) {
		metric_add(METRIC_ANSWERS_PARTIAL, 1);
		count_outcome(r, SERIES_PARTIAL, now_us);
	} else {
		metric_add(METRIC_ANSWERS_COMPLETE, 1);
		count_outcome(r, SERIES_OK, now_us);
	}
}

static void log_answer(const struct gw_req *r, int64_t now_us)
{
	const struct exchange_answer *a = r->answer;
	int64_t took_us = now_us - r->request->received_us;
	int is_late = r->route &&
		      took_us > (int64_t)r->route->goal_ms * US_PER_MS;

	if (a->code == ERR_OK && !a->missing_part_count && !is_late &&
	    !r->is_traced)
		return;
	log_event(LOG_LEVEL_INFO, "answer",
		  "request %s route %s config %llu status %u code %s after "
		  "%lld us, parts %u of %u, failed %u",
		  r->request->id, r->route ? r->route->name : "-",
		  r->binding ? (unsigned long long)r->binding->config->version
			     : 0,
		  a->status, err_name(a->code), (long long)took_us,
		  r->answered_count, r->part_count, r->failed_count);
}

void gw_req_finish(struct gw_req *r, int64_t now_us)
{
	struct gw *g = r->gw;

	count_answer(r, now_us);
	log_answer(r, now_us);
	g->ops.answer(g->ops.ctx, r->answer);
	r->answer = NULL;
	chain_finish(&g->chain, &r->chain_pos, r, now_us);
	req_free(r);
}

static void run_chain(struct gw_req *r, int64_t now_us)
{
	enum filter_step step;

	r->is_running = 1;
	step = chain_run(&r->gw->chain, &r->chain_pos, r, now_us);
	r->is_running = 0;
	if (step == FILTER_DONE)
		gw_req_finish(r, now_us);
}

void gw_req_continue(struct gw_req *r, int64_t now_us)
{
	run_chain(r, now_us);
}

void gw_req_resume(struct gw_req *r, int64_t now_us)
{
	if (r->is_running)
		return;
	chain_rewind(&r->gw->chain, &r->chain_pos, "answer");
	run_chain(r, now_us);
}

void gw_on_request(struct gw *g, struct exchange_request *in, int64_t now_us)
{
	struct gw_req *r = util_alloc(1, sizeof(*r));

	metric_add(METRIC_REQUESTS, 1);
	r->gw = g;
	r->request = in;
	r->is_traced = XXH3_64bits(in->id, strlen(in->id)) % TRACE_ONE_IN == 0;
	if (g->binding) {
		r->binding = g->binding;
		r->binding->refs++;
	}
	g_hash_table_insert(g->reqs, &in->conn_id, r);
	run_chain(r, now_us);
}

void gw_on_reply(struct gw *g, struct target_reply *reply, int64_t now_us)
{
	struct gw_call *call = g_hash_table_lookup(g->calls, &reply->call_id);

	if (!call) {
		target_reply_free(reply);
		return;
	}
	gw_call_finish(call, reply, now_us);
}

void gw_on_forward_reply(struct gw *g, struct forward_reply *reply,
			 int64_t now_us)
{
	struct gw_req *r = g_hash_table_lookup(g->forwards, &reply->call_id);

	if (!r) {
		forward_reply_free(reply);
		return;
	}
	gw_forward_finish(r, reply, now_us);
}

void gw_caller_gone(struct gw *g, uint64_t conn, int64_t now_us)
{
	struct gw_req *r = g_hash_table_lookup(g->reqs, &conn);

	if (!r)
		return;
	metric_add(METRIC_CANCELS, 1);
	count_outcome(r, SERIES_CANCELLED, now_us);
	log_event(LOG_LEVEL_INFO, "caller_gone",
		  "request %s route %s after %lld us, parts %u of %u",
		  r->request->id, r->route ? r->route->name : "-",
		  (long long)(now_us - r->request->received_us),
		  r->answered_count, r->part_count);
	chain_finish(&g->chain, &r->chain_pos, r, now_us);
	req_free(r);
}

int gw_ready(const struct gw *g)
{
	return g->binding && g->target_count > 0;
}

uint32_t gw_open_count(const struct gw *g)
{
	return g_hash_table_size(g->reqs);
}

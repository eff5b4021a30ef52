#include "filter/pipeline.h"

#include <string.h>

#include "base/metric.h"
#include "filter/pipeline_internal.h"

/*
 * Time after the first view in which the host waits for warm targets: two
 * heartbeats, and the warm-up of a target that no host has used yet.
 */
#define READY_WAIT_US (3 * US_PER_S)

static void free_customer(gpointer data)
{
	struct customer_stats *s = data;

	g_hash_table_destroy(s->open_by_target);
	free(s);
}

static void free_index(gpointer data)
{
	struct index_stats *s = data;

	free(s->warmup_text);
	free(s);
}

static void free_subrequest(gpointer data)
{
	struct subrequest *s = data;

	target_state_unref(s->target);
	free(s);
}

static void unref_target(gpointer data)
{
	target_state_unref(data);
}

static void build_chain(struct pipeline *p)
{
	struct filter filters[] = {
		filter_identify(p), filter_contract(p), filter_once(p),
		filter_admit(p),    filter_pin(p),	filter_scatter(p),
		filter_gather(p),
	};
	uint32_t i;

	for (i = 0; i < countof(filters); i++)
		chain_add(&p->chain, &filters[i]);
}

struct pipeline *pipeline_new(const struct pipeline_ops *ops,
			      struct timer_queue *timers, const char *self,
			      uint64_t seed)
{
	struct pipeline *p = util_alloc(1, sizeof(*p));

	p->ops = *ops;
	p->timers = timers;
	p->rng.state = seed;
	util_copy_str(p->self, sizeof(p->self), self);
	p->reqs = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->reqs_by_exchange_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->at_most_once_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->subrequests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_subrequest);
	p->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   unref_target);
	p->indexes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_index);
	p->customers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     free_customer);
	p->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	TAILQ_INIT(&p->nonempty_queues);
	p->notices = g_ptr_array_new_with_free_func(free);
	p->version_counts =
		g_array_new(FALSE, TRUE, sizeof(struct version_counts));
	p->next_req_number = 1;
	p->first_view_us = -1;
	/* IDs stay below 2^53 for targets that read them as a double. */
	p->next_subrequest_id = 1 + (rng_u64(&p->rng) & 0xfffffffffffULL);
	build_chain(p);
	return p;
}

static void abort_requests(struct pipeline *p)
{
	g_autoptr(GList) open = g_hash_table_get_values(p->reqs);
	GList *i;

	for (i = open; i; i = i->next) {
		req_refuse(i->data, ERR_STOPPING, "this host has stopped");
		req_finish(i->data,
			   ((struct req *)i->data)->caller->received_us);
	}
}

void pipeline_free(struct pipeline *p)
{
	if (!p)
		return;
	abort_requests(p);
	timer_queue_cancel(p->timers, &p->sweep_timer);
	timer_queue_cancel(p->timers, &p->warmup_timer);
	g_hash_table_destroy(p->subrequests);
	view_binding_unref(p->binding);
	g_hash_table_destroy(p->reqs);
	g_hash_table_destroy(p->reqs_by_exchange_id);
	g_hash_table_destroy(p->at_most_once_ids);
	g_hash_table_destroy(p->targets);
	g_hash_table_destroy(p->indexes);
	g_hash_table_destroy(p->customers);
	g_hash_table_destroy(p->queues);
	g_ptr_array_unref(p->notices);
	g_array_unref(p->version_counts);
	free(p);
}

static void refresh_customer(struct pipeline *p, const struct view *v,
			     struct customer_stats *s, int64_t now_us)
{
	const struct contract *c = view_contract(v, s->contract.customer);
	int is_same;

	if (!c)
		return;
	admission_configure(&s->admission, c, v->host_count, now_us);
	is_same = c->extra_load_permille == s->contract.extra_load_permille &&
		  c->rate_per_s == s->contract.rate_per_s;
	s->contract = *c;
	/* This fills the budget, so it is done only if its values changed. */
	if (is_same)
		return;
	extra_budget_init(&s->budget, c->extra_load_permille, c->rate_per_s);
}

/* 1 for the statistics of a target that no view or sub-request refers to. */
static gboolean is_unused(gpointer key, gpointer value, gpointer ctx)
{
	const struct target_state *t = value;

	return t->refs == 1;
}

static int has_same_hosts(const struct view *a, const struct view *b)
{
	return a->host_count == b->host_count &&
	       (!a->host_count ||
		memcmp(a->hosts, b->hosts, a->host_count * NAME_BYTES) == 0);
}

uint32_t customer_adjust_open(struct customer_stats *c, struct target_state *t,
			      int32_t change)
{
	gpointer value = g_hash_table_lookup(c->open_by_target, t);
	uint32_t count = GPOINTER_TO_UINT(value) + (uint32_t)change;

	if (change && count)
		g_hash_table_insert(c->open_by_target, t,
				    GUINT_TO_POINTER(count));
	else if (change)
		g_hash_table_remove(c->open_by_target, t);
	return count;
}

void pipeline_set_view(struct pipeline *p, struct view *v, int64_t now_us)
{
	struct view_binding *next = view_binding_new(p, v, now_us);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		refresh_customer(p, v, value, now_us);
	if (p->first_view_us < 0)
		p->first_view_us = now_us;
	/* A host that joined does not know yet which targets are warm. */
	if (!p->binding || !has_same_hosts(p->binding->view, v))
		p->announce_at_us = now_us;
	view_binding_unref(p->binding);
	p->binding = next;
	g_hash_table_foreach_remove(p->targets, is_unused, NULL);
	warmup_schedule(p, now_us);
}

enum filter_step req_refuse(struct req *r, enum err_code code,
			    const char *detail)
{
	err_set(&r->err, code, "%s", detail);
	return FILTER_DONE;
}

static enum outcome outcome_of(const struct req *r)
{
	if (r->err.code == ERR_OK)
		return OUTCOME_DONE;
	/* Another request with this ID may have run. */
	if (r->err.code == ERR_ALREADY_CLAIMED || r->err.code == ERR_DUPLICATE)
		return OUTCOME_UNKNOWN;
	return r->sent_count > r->not_run_count ? OUTCOME_UNKNOWN
						: OUTCOME_NOT_RUN;
}

static void count_answer(const struct answer *a)
{
	if (a->outcome == OUTCOME_NOT_RUN)
		metric_add(METRIC_REFUSED_NOT_RUN, 1);
	else if (a->outcome == OUTCOME_UNKNOWN)
		metric_add(METRIC_REFUSED_UNKNOWN, 1);
	else if (a->is_complete)
		metric_add(METRIC_ANSWERS_COMPLETE, 1);
	else
		metric_add(METRIC_ANSWERS_PARTIAL, 1);
}

void req_finish(struct req *r, int64_t now_us)
{
	struct pipeline *p = r->pipeline;
	struct answer *a = r->answer;

	g_hash_table_remove(p->reqs, &r->number);
	g_hash_table_remove(p->reqs_by_exchange_id, &r->caller->exchange_id);
	chain_finish(&p->chain, &r->chain_pos, r, now_us);
	a->err = r->err;
	a->outcome = outcome_of(r);
	a->elapsed_us = now_us - r->caller->received_us;
	util_copy_str(a->request_id, sizeof(a->request_id), r->request->id);
	count_answer(a);
	request_report_add_answer(r, a, now_us);
	metric_set(METRIC_REQUESTS_OPEN, g_hash_table_size(p->reqs));
	r->caller->reply(r->caller->reply_ctx, a);
	hits_free(&r->hits);
	caller_request_free(r->caller);
	free(r);
}

void req_resume(struct req *r, int64_t now_us)
{
	/* Filter "gather" has been entered: waits for the open shards. */
	if (r->chain_pos.next == r->pipeline->chain.count) {
		if (r->resolved_count == r->shard_count)
			gather_finish(r, now_us);
		return;
	}
	if (chain_run(&r->pipeline->chain, &r->chain_pos, r, now_us) ==
	    FILTER_DONE) {
		req_finish(r, now_us);
		return;
	}
	if (r->shards && r->chain_pos.next == r->pipeline->chain.count &&
	    r->resolved_count == r->shard_count)
		gather_finish(r, now_us);
}

void pipeline_on_request(struct pipeline *p, struct caller_request *in,
			 int64_t now_us)
{
	struct req *r = util_alloc(1, sizeof(*r));

	r->number = p->next_req_number++;
	r->pipeline = p;
	r->caller = in;
	r->request = in->request;
	r->answer = util_alloc(1, sizeof(*r->answer));
	g_hash_table_insert(p->reqs, &r->number, r);
	g_hash_table_insert(p->reqs_by_exchange_id, &in->exchange_id, r);
	metric_add(METRIC_REQUESTS, 1);
	metric_set(METRIC_REQUESTS_OPEN, g_hash_table_size(p->reqs));
	req_resume(r, now_us);
}

/*
 * Sets result->code to an error if the answer does not match the sub-request.
 * For a cancelled sub-request and for warm-up only the IDs are checked; the
 * answer still counts for the target's statistics.
 */
static void check_answer(const struct subrequest *s,
			 struct subrequest_result *result)
{
	const struct layout *l = s->req ? s->req->index->layout : NULL;
	struct merge_expected expected = {
		.request_id = s->request_id,
		.sub_id = s->id,
		.shard = l ? l->shards[s->shard_pos].name : result->shard,
		.snapshot = l ? l->snapshot : result->snapshot,
	};

	result->code = merge_check_result(&expected, result);
	if (result->code != ERR_OK)
		metric_add(METRIC_STRAY_ANSWERS, 1);
}

static void record_failure(struct pipeline *p, struct subrequest *s,
			   const struct subrequest_result *result,
			   int64_t now_us)
{
	switch (result->code) {
	case ERR_CANCELLED:
	case ERR_RING_FULL:
		/* Cancelled or not sent: shows nothing about the target. */
		target_state_inconclusive(s->target);
		return;
	case ERR_TARGET_SNAPSHOT:
		target_state_inconclusive(s->target);
		break;
	case ERR_TARGET_TIMEOUT:
		/* target_state_abandoned() counted it if it was cancelled. */
		if (s->is_cancelled)
			target_state_inconclusive(s->target);
		else
			target_state_failed(s->target, now_us, 0);
		break;
	case ERR_TARGET_DRAINING:
		if (!s->target->avoid_until_us)
			request_report_add_notice(p, s->target,
						  TARGET_NOTICE_LEAVING);
		target_state_draining(s->target, now_us, 1);
		break;
	default:
		target_state_failed(s->target, now_us,
				    result->code == ERR_TARGET_SHED);
	}
	metric_add(METRIC_TARGET_ERRORS, 1);
}

static void record_result(struct pipeline *p, struct subrequest *s,
			  const struct subrequest_result *result,
			  int64_t now_us)
{
	enum target_phase phase_before = s->target->phase;
	char instance_before[NAME_BYTES];

	util_copy_str(instance_before, sizeof(instance_before),
		      s->target->instance);
	if (result->code == ERR_OK) {
		target_state_answered(s->target, now_us, now_us - s->sent_us,
				      result->instance,
				      s->index_stats->hedge.mean_us);
		if (!s->is_cancelled && !s->is_hedge && !s->is_warm_up)
			hedge_delay_sample(&s->index_stats->hedge,
					   now_us - s->sent_us);
	} else {
		record_failure(p, s, result, now_us);
	}
	if (s->customer)
		customer_adjust_open(s->customer, s->target, -1);
	if (!s->is_cancelled && !s->is_warm_up)
		request_report_add_subrequest(p, s, result,
					      result->code != ERR_OK);
	if (phase_before == TARGET_WARM && s->target->phase == TARGET_COLD)
		warmup_schedule(p, now_us);
	if (strcmp(instance_before, s->target->instance) != 0)
		request_report_add_notice(p, s->target, TARGET_NOTICE_COLD);
	else if (phase_before != TARGET_WARM && s->target->phase == TARGET_WARM)
		request_report_add_notice(p, s->target, TARGET_NOTICE_WARM);
}

void pipeline_on_result(struct pipeline *p, struct subrequest_result *result,
			int64_t now_us)
{
	struct subrequest *s =
		g_hash_table_lookup(p->subrequests, &result->sub_id);
	struct shard_queue *queue;

	if (!s) {
		metric_add(METRIC_STRAY_ANSWERS, 1);
		subrequest_result_free(result);
		return;
	}
	if (result->code == ERR_OK)
		check_answer(s, result);
	record_result(p, s, result, now_us);
	queue = s->queue;
	g_hash_table_steal(p->subrequests, &result->sub_id);
	scatter_on_result(s, result, now_us);
	if (s->is_warm_up && result->code == ERR_OK)
		warmup_send_next(p, s, now_us);
	free_subrequest(s);
	subrequest_result_free(result);
	scatter_send_waiting(queue, now_us);
}

int pipeline_on_claim(struct pipeline *p, uint64_t req_no,
		      enum claim_result result, int64_t now_us)
{
	struct req *r = g_hash_table_lookup(p->reqs, &req_no);

	if (!r)
		return 0;
	switch (result) {
	case CLAIM_GRANTED:
		r->is_claimed = 1;
		break;
	case CLAIM_TAKEN:
		req_refuse(r, ERR_ALREADY_CLAIMED,
			   "the request ID was claimed before; ask "
			   "/v1/outcome");
		break;
	case CLAIM_UNAVAILABLE:
		req_refuse(r, ERR_ONCE_UNAVAILABLE,
			   "the request ID is not claimed: the store is "
			   "unavailable or its write limit is reached");
		break;
	case CLAIM_UNKNOWN:
		req_refuse(r, ERR_ONCE_UNAVAILABLE,
			   "the store did not confirm the claim of the request "
			   "ID");
		break;
	}
	if (r->err.code != ERR_OK)
		req_finish(r, now_us);
	else
		req_resume(r, now_us);
	return 1;
}

void pipeline_on_caller_gone(struct pipeline *p, uint64_t exchange_id,
			     int64_t now_us)
{
	struct req *r =
		g_hash_table_lookup(p->reqs_by_exchange_id, &exchange_id);

	if (!r)
		return;
	req_refuse(r, ERR_CANCELLED, "caller closed the connection");
	req_finish(r, now_us);
}

void pipeline_on_notice(struct pipeline *p, const struct target_notice *n,
			int64_t now_us)
{
	struct target_state *t = g_hash_table_lookup(p->targets, n->target);

	if (!t)
		return;
	if (n->kind == TARGET_NOTICE_LEAVING) {
		/* A process that started since does not leave. */
		if (strcmp(t->instance, n->instance) == 0)
			target_state_draining(t, now_us, 0);
		return;
	}
	target_state_announced(t, now_us, n->instance,
			       n->kind == TARGET_NOTICE_WARM);
	warmup_schedule(p, now_us);
}

void pipeline_drain(struct pipeline *p)
{
	p->is_draining = 1;
}

static int is_index_ready(const struct index_binding *b, int64_t now_us)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < b->layout->shard_count; i++) {
		const struct shard *s = &b->layout->shards[i];
		int is_live = 0;

		for (j = 0; j < s->replica_count; j++) {
			const struct target_binding *t =
				&b->targets[s->replicas[j]];

			is_live |=
				t->target->phase == TARGET_WARM &&
				target_state_accepts_work(t->target, now_us,
							  t->target->is_owner);
		}
		if (!is_live)
			return 0;
	}
	return 1;
}

int pipeline_ready(const struct pipeline *p, int64_t now_us)
{
	uint32_t i;

	if (!p->binding || p->is_draining)
		return 0;
	if (now_us - p->first_view_us >= READY_WAIT_US)
		return 1;
	for (i = 0; i < p->binding->view->layout_count; i++) {
		if (!is_index_ready(&p->binding->indexes[i], now_us))
			return 0;
	}
	return 1;
}

uint32_t pipeline_open_count(const struct pipeline *p)
{
	return g_hash_table_size(p->reqs);
}

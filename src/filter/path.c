#include "filter/path.h"

#include <string.h>

#include "base/metric.h"
#include "filter/req.h"

/* Two heartbeats and the ramp of a target that nobody has used yet. */
#define READY_WAIT_US (3 * US_PER_S)

static void free_customer(gpointer data)
{
	struct customer_stats *s = data;

	g_hash_table_destroy(s->open);
	free(s);
}

static void free_index(gpointer data)
{
	struct index_stats *s = data;

	free(s->warm_text);
	free(s);
}

static void free_sub(gpointer data)
{
	struct sub *s = data;

	target_state_unref(s->tgt);
	free(s);
}

static void unref_tgt(gpointer data)
{
	target_state_unref(data);
}

static void build_chain(struct path *p)
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

struct path *path_new(const struct path_ops *ops, struct tmr *timers,
		      const char *self, uint64_t seed)
{
	struct path *p = cu_alloc(1, sizeof(*p));

	p->ops = *ops;
	p->timers = timers;
	p->rng.state = seed;
	cu_copy(p->self, sizeof(p->self), self);
	p->reqs = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->handles = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->subs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					free_sub);
	p->tgts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_tgt);
	p->indexes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_index);
	p->customers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     free_customer);
	p->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	TAILQ_INIT(&p->busy_queues);
	p->notices = g_ptr_array_new_with_free_func(free);
	p->version_evidence =
		g_array_new(FALSE, TRUE, sizeof(struct version_evidence));
	p->next_req = 1;
	p->first_view_us = -1;
	/* Below 2^53 for targets that read it as a double. */
	p->next_sub = 1 + (rng_u64(&p->rng) & 0xfffffffffffULL);
	build_chain(p);
	return p;
}

static void abort_requests(struct path *p)
{
	g_autoptr(GList) open = g_hash_table_get_values(p->reqs);
	GList *i;

	for (i = open; i; i = i->next) {
		req_refuse(i->data, ERR_STOPPING, "host stopped");
		req_finish(i->data,
			   ((struct req *)i->data)->caller->received_us);
	}
}

void path_free(struct path *p)
{
	if (!p)
		return;
	abort_requests(p);
	tmr_cancel(p->timers, &p->sweep_timer);
	tmr_cancel(p->timers, &p->warm_timer);
	g_hash_table_destroy(p->subs);
	bound_view_unref(p->bound);
	g_hash_table_destroy(p->reqs);
	g_hash_table_destroy(p->handles);
	g_hash_table_destroy(p->ids);
	g_hash_table_destroy(p->tgts);
	g_hash_table_destroy(p->indexes);
	g_hash_table_destroy(p->customers);
	g_hash_table_destroy(p->queues);
	g_ptr_array_unref(p->notices);
	g_array_unref(p->version_evidence);
	free(p);
}

static void refresh_customer(struct path *p, const struct view *v,
			     struct customer_stats *s, int64_t now_us)
{
	const struct contract *c = view_contract(v, s->contract.customer);
	int same;

	if (!c)
		return;
	admission_configure(&s->adm, c, v->host_count, now_us);
	same = c->extra_load_permille == s->contract.extra_load_permille &&
	       c->rate_per_s == s->contract.rate_per_s;
	s->contract = *c;
	/* Each new start of the budget is full: only for a new budget. */
	if (same)
		return;
	extra_budget_init(&s->bgt, c->extra_load_permille, c->rate_per_s);
}

/* Drops statistics of targets that no view or sub-request refers to. */
static gboolean is_unused(gpointer key, gpointer value, gpointer ctx)
{
	const struct target_state *t = value;

	return t->refs == 1;
}

static int same_hosts(const struct view *a, const struct view *b)
{
	return a->host_count == b->host_count &&
	       (!a->host_count ||
		memcmp(a->hosts, b->hosts, a->host_count * NAME_BYTES) == 0);
}

uint32_t customer_open(struct customer_stats *c, struct target_state *t,
		       int32_t by)
{
	gpointer held = g_hash_table_lookup(c->open, t);
	uint32_t count = GPOINTER_TO_UINT(held) + (uint32_t)by;

	if (by && count)
		g_hash_table_insert(c->open, t, GUINT_TO_POINTER(count));
	else if (by)
		g_hash_table_remove(c->open, t);
	return count;
}

void path_view(struct path *p, struct view *v, int64_t now_us)
{
	struct bound_view *next = bound_view_new(p, v, now_us);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		refresh_customer(p, v, value, now_us);
	/* A host that joined knows no target yet. */
	if (p->first_view_us < 0)
		p->first_view_us = now_us;
	if (!p->bound || !same_hosts(p->bound->view, v))
		p->announce_at_us = now_us;
	bound_view_unref(p->bound);
	p->bound = next;
	g_hash_table_foreach_remove(p->tgts, is_unused, NULL);
	warm_start(p, now_us);
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
	return r->sent > r->not_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

static void count_answer(const struct answer *a)
{
	if (a->outcome == OUTCOME_NOT_RUN)
		metric_add(M_REFUSED_NOT_RUN, 1);
	else if (a->outcome == OUTCOME_UNKNOWN)
		metric_add(M_REFUSED_UNKNOWN, 1);
	else if (a->complete)
		metric_add(M_ANSWERS_COMPLETE, 1);
	else
		metric_add(M_ANSWERS_PARTIAL, 1);
}

void req_finish(struct req *r, int64_t now_us)
{
	struct path *p = r->path;
	struct answer *a = r->answer;

	g_hash_table_remove(p->reqs, &r->no);
	g_hash_table_remove(p->handles, &r->caller->handle);
	chain_finish(&p->chain, &r->pos, r, now_us);
	a->err = r->err;
	a->outcome = outcome_of(r);
	a->elapsed_us = now_us - r->caller->received_us;
	cu_copy(a->request_id, sizeof(a->request_id), r->in->id);
	count_answer(a);
	evidence_answer(r, a, now_us);
	metric_set(M_REQUESTS_OPEN, g_hash_table_size(p->reqs));
	r->caller->reply(r->caller->reply_ctx, a);
	hits_free(&r->hits);
	caller_request_free(r->caller);
	free(r);
}

void req_resume(struct req *r, int64_t now_us)
{
	/* The chain waits in gather: only the number of open shards matters. */
	if (r->pos.next == r->path->chain.count) {
		if (r->resolved == r->shard_count)
			gather_close(r, now_us);
		return;
	}
	if (chain_run(&r->path->chain, &r->pos, r, now_us) == FILTER_DONE) {
		req_finish(r, now_us);
		return;
	}
	if (r->shards && r->pos.next == r->path->chain.count &&
	    r->resolved == r->shard_count)
		gather_close(r, now_us);
}

void path_request(struct path *p, struct caller_request *c, int64_t now_us)
{
	struct req *r = cu_alloc(1, sizeof(*r));

	r->no = p->next_req++;
	r->path = p;
	r->caller = c;
	r->in = c->request;
	r->answer = cu_alloc(1, sizeof(*r->answer));
	g_hash_table_insert(p->reqs, &r->no, r);
	g_hash_table_insert(p->handles, &c->handle, r);
	metric_add(M_REQUESTS, 1);
	metric_set(M_REQUESTS_OPEN, g_hash_table_size(p->reqs));
	req_resume(r, now_us);
}

/*
 * Replaces the code of an answer that does not match what was asked. Of an
 * answer that nobody waits for only the IDs can be checked; it still counts
 * for the target's statistics.
 */
static void check_answer(const struct sub *s, struct sub_result *result)
{
	const struct layout *l = s->req ? s->req->index->layout : NULL;
	struct merge_expected expected = {
		.request_id = s->request_id,
		.sub_id = s->id,
		.shard = l ? l->shards[s->shard].name : result->shard,
		.snapshot = l ? l->snapshot : result->snapshot,
	};

	result->code = merge_check_answer(&expected, result);
	if (result->code != ERR_OK)
		metric_add(M_STRAY_ANSWERS, 1);
}

static void account_failure(struct path *p, struct sub *s,
			    const struct sub_result *result, int64_t now_us)
{
	switch (result->code) {
	case ERR_CANCELLED:
	case ERR_RING_FULL:
		/* Given up or not sent; says nothing about the target. */
		target_state_inconclusive(s->tgt);
		return;
	case ERR_TARGET_SNAPSHOT:
		target_state_inconclusive(s->tgt);
		break;
	case ERR_TARGET_TIMEOUT:
		/* A cancelled one says nothing beyond target_state_abandoned(). */
		if (s->cancelled)
			target_state_inconclusive(s->tgt);
		else
			target_state_failed(s->tgt, now_us, 0);
		break;
	case ERR_TARGET_DRAINING:
		if (!s->tgt->avoid_until_us)
			evidence_notice(p, s->tgt, NOTICE_LEAVING);
		target_state_draining(s->tgt, now_us, 1);
		break;
	default:
		target_state_failed(s->tgt, now_us,
				    result->code == ERR_TARGET_SHED);
	}
	metric_add(M_TARGET_ERRORS, 1);
}

static void account(struct path *p, struct sub *s,
		    const struct sub_result *result, int64_t now_us)
{
	enum target_phase before = s->tgt->phase;
	char instance[NAME_BYTES];

	cu_copy(instance, sizeof(instance), s->tgt->instance);
	if (result->code == ERR_OK) {
		target_state_answered(s->tgt, now_us, now_us - s->sent_us,
				      result->instance, s->index->hdg.mean_us);
		if (!s->cancelled && !s->is_hedge && !s->is_warm_up)
			hedge_delay_sample(&s->index->hdg, now_us - s->sent_us);
	} else {
		account_failure(p, s, result, now_us);
	}
	if (s->customer)
		customer_open(s->customer, s->tgt, -1);
	if (!s->cancelled && !s->is_warm_up)
		evidence_sub(p, s, result, result->code != ERR_OK);
	if (before == TARGET_WARM && s->tgt->phase == TARGET_COLD)
		warm_start(p, now_us);
	if (strcmp(instance, s->tgt->instance) != 0)
		evidence_notice(p, s->tgt, NOTICE_COLD);
	else if (before != TARGET_WARM && s->tgt->phase == TARGET_WARM)
		evidence_notice(p, s->tgt, NOTICE_WARM);
}

void path_result(struct path *p, struct sub_result *result, int64_t now_us)
{
	struct sub *s = g_hash_table_lookup(p->subs, &result->sub_id);
	struct shard_queue *queue;

	if (!s) {
		metric_add(M_STRAY_ANSWERS, 1);
		sub_result_free(result);
		return;
	}
	if (result->code == ERR_OK)
		check_answer(s, result);
	account(p, s, result, now_us);
	queue = s->queue;
	g_hash_table_steal(p->subs, &result->sub_id);
	scatter_result(s, result, now_us);
	if (s->is_warm_up && result->code == ERR_OK)
		warm_result(p, s, now_us);
	free_sub(s);
	sub_result_free(result);
	scatter_wake(queue, now_us);
}

int path_claimed(struct path *p, uint64_t req_no, enum claim_result result,
		 int64_t now_us)
{
	struct req *r = g_hash_table_lookup(p->reqs, &req_no);

	if (!r)
		return 0;
	switch (result) {
	case CLAIM_GRANTED:
		r->claimed = 1;
		break;
	case CLAIM_TAKEN:
		req_refuse(r, ERR_ALREADY_CLAIMED, "ask /v1/outcome");
		break;
	case CLAIM_UNAVAILABLE:
		req_refuse(r, ERR_ONCE_UNAVAILABLE, "the store is unavailable");
		break;
	case CLAIM_UNKNOWN:
		req_refuse(r, ERR_ONCE_UNAVAILABLE,
			   "the store did not confirm the claim");
		break;
	}
	if (r->err.code != ERR_OK)
		req_finish(r, now_us);
	else
		req_resume(r, now_us);
	return 1;
}

void path_caller_gone(struct path *p, uint64_t handle, int64_t now_us)
{
	struct req *r = g_hash_table_lookup(p->handles, &handle);

	if (!r)
		return;
	req_refuse(r, ERR_CANCELLED, "caller closed the connection");
	req_finish(r, now_us);
}

void path_notice(struct path *p, const struct target_notice *n, int64_t now_us)
{
	struct target_state *t = g_hash_table_lookup(p->tgts, n->target);

	if (!t)
		return;
	if (n->kind == NOTICE_LEAVING) {
		/* A process that started since does not leave. */
		if (strcmp(t->instance, n->instance) == 0)
			target_state_draining(t, now_us, 0);
		return;
	}
	target_state_announced(t, now_us, n->instance, n->kind == NOTICE_WARM);
	warm_start(p, now_us);
}

void path_leave(struct path *p)
{
	p->leaving = 1;
}

static int index_ready(const struct bound_index *b, int64_t now_us)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < b->layout->shard_count; i++) {
		const struct shard *s = &b->layout->shards[i];
		int live = 0;

		for (j = 0; j < s->replica_count; j++) {
			const struct bound_target *t =
				&b->targets[s->replicas[j]];

			live |= t->tgt->phase == TARGET_WARM &&
				target_state_accepts_work(t->tgt, now_us,
							  t->tgt->is_owner);
		}
		if (!live)
			return 0;
	}
	return 1;
}

int path_ready(const struct path *p, int64_t now_us)
{
	uint32_t i;

	if (!p->bound || p->leaving)
		return 0;
	if (now_us - p->first_view_us >= READY_WAIT_US)
		return 1;
	for (i = 0; i < p->bound->view->layout_count; i++) {
		if (!index_ready(&p->bound->indexes[i], now_us))
			return 0;
	}
	return 1;
}

uint32_t path_open(const struct path *p)
{
	return g_hash_table_size(p->reqs);
}

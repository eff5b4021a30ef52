/* CPU time of the request path per sub-request against shards per query. */
#include <stdio.h>
#include <string.h>

#include "base/util.h"
#include "cap.h"
#include "cap_layout.h"
#include "filter/pipeline.h"

#define REPLICAS 3
#define HITS_EACH 10
#define SUBS_MAX 4096
/* Sub-requests measured for each point. */
#define SUBS_MEASURED 60000
/* Targets are warm after some answers of each. */
#define WARM_UP_REQUESTS 200
#define SERVICE_US 5000

struct bench_path {
	struct pipeline *path;
	struct timer_queue *timers;
	int64_t now_us;
	uint32_t call_count;
	struct subrequest_msg *calls[SUBS_MAX];
	uint32_t answers;
};

static void keep_call(void *ctx, struct subrequest_msg *call)
{
	struct bench_path *b = ctx;

	if (call->is_cancel || b->call_count == SUBS_MAX) {
		subrequest_msg_free(call);
		return;
	}
	b->calls[b->call_count++] = call;
}

static void on_answer(void *ctx, struct answer *a)
{
	struct bench_path *b = ctx;

	b->answers += a->err.code == ERR_OK && a->complete;
	answer_free(a);
}

static struct caller_request *make_request(struct bench_path *b)
{
	struct caller_request *c = util_alloc(1, sizeof(*c));
	struct request *r = util_alloc(1, sizeof(*r));

	r->op = OP_SEARCH;
	util_copy_str(r->customer, sizeof(r->customer), "customer");
	util_copy_str(r->index, sizeof(r->index), "index-0");
	r->text = util_strdup("heron");
	r->limit = HITS_EACH;
	r->is_idempotent = 1;
	c->request = r;
	c->reply = on_answer;
	c->reply_ctx = b;
	c->received_us = b->now_us;
	return c;
}

static struct subrequest_result *make_result(const struct subrequest_msg *call)
{
	struct subrequest_result *r = util_alloc(1, sizeof(*r));
	uint32_t i;

	r->sub_id = call->sub_id;
	r->answer_sub_id = call->sub_id;
	util_copy_str(r->request_id, sizeof(r->request_id), call->request_id);
	util_copy_str(r->shard, sizeof(r->shard), call->shard);
	util_copy_str(r->snapshot, sizeof(r->snapshot), call->snapshot);
	util_copy_str(r->instance, sizeof(r->instance), "instance-1");
	r->service_us = SERVICE_US;
	for (i = 0; i < HITS_EACH; i++) {
		char id[NAME_BYTES];

		snprintf(id, sizeof(id), "%.50s-d%u", call->shard, i);
		hits_add(&r->hits, id, 10.0 / (i + 1), NULL);
	}
	return r;
}

/* One query from request to answer; returns the CPU time in us. */
static double one_query(struct bench_path *b)
{
	struct subrequest_result *results[SUBS_MAX];
	struct caller_request *c = make_request(b);
	uint32_t count;
	double start_us = cap_cpu_us();
	double spent_us;
	uint32_t i;

	pipeline_on_request(b->path, c, b->now_us);
	spent_us = cap_cpu_us() - start_us;
	count = b->call_count;
	for (i = 0; i < count; i++) {
		results[i] = make_result(b->calls[i]);
		subrequest_msg_free(b->calls[i]);
	}
	b->call_count = 0;
	b->now_us += SERVICE_US;
	start_us = cap_cpu_us();
	for (i = 0; i < count; i++)
		pipeline_on_result(b->path, results[i], b->now_us);
	spent_us += cap_cpu_us() - start_us;
	b->now_us += SERVICE_US;
	timer_queue_run(b->timers, b->now_us);
	return spent_us;
}

static struct view *make_view(uint32_t shards)
{
	struct view *v = view_new();
	struct contract *k = util_alloc(1, sizeof(*k));

	util_copy_str(k->customer, sizeof(k->customer), "customer");
	k->index_count = 1;
	util_copy_str(k->indexes[0], NAME_BYTES, "index-0");
	k->answer_ms = 94;
	k->rate_per_s = 1000000;
	k->target_share_permille = PERMILLE;
	k->extra_load_permille = 50;
	v->contracts = k;
	v->contract_count = 1;
	v->layouts = util_alloc(1, sizeof(*v->layouts));
	v->layouts[0] = cap_layout(0, shards, REPLICAS, 0);
	v->layout_count = 1;
	return v;
}

static double queries(void *ctx)
{
	uint32_t shards = *(uint32_t *)ctx;
	struct bench_path b = { .now_us = US_PER_S };
	struct pipeline_ops ops = { .send = keep_call, .ctx = &b };
	uint32_t count = SUBS_MEASURED / shards;
	double spent_us = 0;
	uint32_t i;

	b.timers = timer_queue_new();
	b.path = pipeline_new(&ops, b.timers, "entry-host-00000", 1);
	pipeline_set_view(b.path, make_view(shards), b.now_us);
	for (i = 0; i < WARM_UP_REQUESTS; i++)
		one_query(&b);
	b.answers = 0;
	for (i = 0; i < count; i++)
		spent_us += one_query(&b);
	if (b.answers != count)
		fprintf(stderr, "capacity: %u of %u queries complete\n",
			b.answers, count);
	pipeline_free(b.path);
	timer_queue_free(b.timers);
	for (i = 0; i < b.call_count; i++)
		subrequest_msg_free(b.calls[i]);
	return spent_us / count;
}

void cap_path(struct cap *c)
{
	static const uint32_t sizes[] = { 10, 60, 150, 300, 600 };
	struct cap_series *s =
		cap_start(c, "request path per query", "shard", "us");
	uint32_t i;

	for (i = 0; i < countof(sizes); i++) {
		uint32_t shards = sizes[i];

		cap_point(s, shards, cap_median(queries, &shards));
	}
	cap_fit(s);
}

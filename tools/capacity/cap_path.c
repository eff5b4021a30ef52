/* CPU time of the request path for one query against its number of shards. */
#include <stdio.h>
#include <string.h>

#include "base/util.h"
#include "cap.h"
#include "cap_layout.h"
#include "filter/pipeline.h"

#define REPLICAS 3
#define HITS_EACH 10
#define SUBREQUESTS_MAX 4096
/* Sub-requests of one run, whatever the number of shards. */
#define SUBREQUESTS_MEASURED 60000
/* Requests before the measurement; targets are warm after some answers. */
#define WARM_UP_REQUESTS 200
#define SERVICE_US 5000

struct path_run {
	struct pipeline *pipeline;
	struct timer_queue *timers;
	/* Virtual clock. */
	int64_t now_us;
	/* Sub-requests that the pipeline sent and that have no result yet. */
	uint32_t call_count;
	struct subrequest_msg *calls[SUBREQUESTS_MAX];
	/* Complete answers. */
	uint32_t answers;
};

static void keep_call(void *ctx, struct subrequest_msg *call)
{
	struct path_run *run = ctx;

	if (call->is_cancel || run->call_count == SUBREQUESTS_MAX) {
		subrequest_msg_free(call);
		return;
	}
	run->calls[run->call_count++] = call;
}

static void on_answer(void *ctx, struct answer *a)
{
	struct path_run *run = ctx;

	run->answers += a->err.code == ERR_OK && a->is_complete;
	answer_free(a);
}

static struct caller_request *make_request(struct path_run *run)
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
	c->reply_ctx = run;
	c->received_us = run->now_us;
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

/*
 * Runs one query from request to answer; returns the pipeline's CPU time in us.
 */
static double run_query(struct path_run *run)
{
	struct subrequest_result *results[SUBREQUESTS_MAX];
	struct caller_request *c = make_request(run);
	uint32_t count;
	double start_us = cap_cpu_us();
	double spent_us;
	uint32_t i;

	pipeline_on_request(run->pipeline, c, run->now_us);
	spent_us = cap_cpu_us() - start_us;
	count = run->call_count;
	for (i = 0; i < count; i++) {
		results[i] = make_result(run->calls[i]);
		subrequest_msg_free(run->calls[i]);
	}
	run->call_count = 0;
	run->now_us += SERVICE_US;
	start_us = cap_cpu_us();
	for (i = 0; i < count; i++)
		pipeline_on_result(run->pipeline, results[i], run->now_us);
	spent_us += cap_cpu_us() - start_us;
	run->now_us += SERVICE_US;
	timer_queue_run(run->timers, run->now_us);
	return spent_us;
}

static struct view *make_view(uint32_t shards)
{
	struct view *v = view_new();
	struct contract *contract = util_alloc(1, sizeof(*contract));

	util_copy_str(contract->customer, sizeof(contract->customer),
		      "customer");
	contract->index_count = 1;
	util_copy_str(contract->indexes[0], NAME_BYTES, "index-0");
	contract->answer_ms = 94;
	contract->rate_per_s = 1000000;
	contract->target_share_permille = PERMILLE;
	contract->extra_load_permille = 50;
	v->contracts = contract;
	v->contract_count = 1;
	v->layouts = util_alloc(1, sizeof(*v->layouts));
	v->layouts[0] = cap_layout(0, shards, REPLICAS, 0);
	v->layout_count = 1;
	return v;
}

static double query_cpu_us(void *ctx)
{
	uint32_t shards = *(uint32_t *)ctx;
	struct path_run run = { .now_us = US_PER_S };
	struct pipeline_ops ops = { .send = keep_call, .ctx = &run };
	uint32_t count = SUBREQUESTS_MEASURED / shards;
	double spent_us = 0;
	uint32_t i;

	run.timers = timer_queue_new();
	run.pipeline = pipeline_new(&ops, run.timers, "entry-host-00000", 1);
	pipeline_set_view(run.pipeline, make_view(shards), run.now_us);
	for (i = 0; i < WARM_UP_REQUESTS; i++)
		run_query(&run);
	run.answers = 0;
	for (i = 0; i < count; i++)
		spent_us += run_query(&run);
	if (run.answers != count)
		fprintf(stderr, "capacity: %u of %u queries complete\n",
			run.answers, count);
	pipeline_free(run.pipeline);
	timer_queue_free(run.timers);
	for (i = 0; i < run.call_count; i++)
		subrequest_msg_free(run.calls[i]);
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

		cap_point(s, shards, cap_median(query_cpu_us, &shards));
	}
	cap_fit(s);
}

/*
 * Scripted runs over the request path (src/filter) with a virtual clock. The
 * script takes the place of callers, targets, the store that holds claims, and
 * the controllers that publish views.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "filter/pipeline_internal.h"
#include "path_setup.h"
#include "script.h"

#define SEED 7
#define SELF "h1"

struct caller {
	struct path_ctx *ctx;
	/* Names the caller's connection to the pipeline; counts from 1. */
	uint64_t handle;
	/* Of its request; printed with the answer. */
	char id[REQUEST_ID_BYTES];
};

/* Position of a sub-request in the order of sending; scripts count from 1. */
static uint32_t position_of_sent(const struct path_ctx *c, uint64_t sub_id)
{
	uint32_t i;

	for (i = 0; i < c->sent_count; i++) {
		if (c->sent[i].call->sub_id == sub_id)
			break;
	}
	return i;
}

/* Finds the target by its port: TARGET_PORT and its position in the layout. */
static void target_name(const struct path_ctx *c,
			const struct subrequest_msg *call, char *out)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < c->next->layout_count; i++) {
		const struct layout *l = c->next->layouts[i];

		for (j = 0; j < l->target_count; j++) {
			if (l->targets[j].port == call->port)
				util_copy_str(out, NAME_BYTES,
					      l->targets[j].id);
		}
	}
}

static void on_send(void *ctx, struct subrequest_msg *call)
{
	struct path_ctx *c = ctx;
	struct sent *s;

	if (call->is_cancel) {
		buf_addf(c->out, "cancel %u\n",
			 position_of_sent(c, call->sub_id) + 1);
		subrequest_msg_free(call);
		return;
	}
	g_assert_cmpuint(c->sent_count, <, SUBS_MAX);
	s = &c->sent[c->sent_count++];
	s->call = call;
	target_name(c, call, s->target);
	buf_addf(c->out, "send %u %s to %s left_us=%" PRId64 "\n",
		 c->sent_count, call->shard, s->target,
		 call->deadline_us - c->now_us);
}

static void on_claim(void *ctx, uint64_t req_no, const char *customer,
		     const char *request_id)
{
	struct path_ctx *c = ctx;
	struct claim *claim = &c->claims[c->claim_count++];

	claim->req_no = req_no;
	util_copy_str(claim->request_id, sizeof(claim->request_id), request_id);
	buf_addf(c->out, "claim %s/%s\n", customer, request_id);
}

static void on_record(void *ctx, const char *customer, const char *request_id,
		      enum outcome outcome)
{
	struct path_ctx *c = ctx;

	buf_addf(c->out, "record %s/%s %s\n", customer, request_id,
		 outcome_name(outcome));
}

static void on_reply(void *ctx, struct answer *a)
{
	struct caller *caller = ctx;
	struct path_ctx *c = caller->ctx;
	uint32_t i;

	buf_addf(c->out, "answer %s %s %s", caller->id, err_name(a->err.code),
		 outcome_name(a->outcome));
	if (a->err.code == ERR_OK) {
		buf_addf(c->out, " %s %u/%u complete=%u", a->snapshot,
			 a->shards_answered, a->shards_total, a->is_complete);
		for (i = 0; i < a->missing_count; i++)
			buf_addf(c->out, " missing=%s", a->missing[i]);
		for (i = 0; i < a->hits.count; i++)
			buf_addf(c->out, " %s:%g", a->hits.items[i].id,
				 a->hits.items[i].score);
	}
	buf_addf(c->out, "\n");
	answer_free(a);
	g_hash_table_remove(c->callers, &caller->handle);
}

static void *path_ctx_new(void)
{
	struct path_ctx *c = util_alloc(1, sizeof(*c));
	struct pipeline_ops ops = { on_send, on_claim, on_record, c };

	c->timers = timer_queue_new();
	c->path = pipeline_new(&ops, c->timers, SELF, SEED);
	c->next = view_new();
	c->callers =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	return c;
}

static void path_ctx_free(void *ctx)
{
	struct path_ctx *c = ctx;
	struct buf rest CLEANUP_BUF = { 0 };
	uint32_t i;

	c->out = &rest;
	pipeline_free(c->path);
	timer_queue_free(c->timers);
	view_unref(c->next);
	for (i = 0; i < c->sent_count; i++)
		subrequest_msg_free(c->sent[i].call);
	g_hash_table_destroy(c->callers);
	free(c);
}

static void notice(struct path_ctx *c, const char *target, const char *instance,
		   enum target_notice_kind kind)
{
	struct target_notice n = { .kind = kind };

	util_copy_str(n.target, sizeof(n.target), target);
	util_copy_str(n.instance, sizeof(n.instance), instance);
	pipeline_on_notice(c->path, &n, c->now_us);
}

static enum target_notice_kind notice_kind(const char *name)
{
	if (strcmp(name, "cold") == 0)
		return TARGET_NOTICE_COLD;
	return strcmp(name, "leaving") == 0 ? TARGET_NOTICE_LEAVING
					    : TARGET_NOTICE_WARM;
}

static void cmd_notice(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	const char *kind = script_arg(argc, argv, "kind", "warm");

	((struct path_ctx *)ctx)->out = out;
	notice(ctx, script_arg(argc, argv, "target", ""),
	       script_arg(argc, argv, "instance", "i1"), notice_kind(kind));
}

/* Announces every target of the layout as warm. */
static void cmd_warm(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	const struct layout *l = c->next->layouts[0];
	uint32_t i;

	c->out = out;
	for (i = 0; i < l->target_count; i++)
		notice(c, l->targets[i].id, "i1", TARGET_NOTICE_WARM);
}

static void submit_request(struct path_ctx *c, struct request *r, uint32_t argc,
			   char **argv)
{
	struct caller *caller = util_alloc(1, sizeof(*caller));
	struct caller_request *incoming = util_alloc(1, sizeof(*incoming));

	util_copy_str(r->id, sizeof(r->id), script_arg(argc, argv, "id", ""));
	util_copy_str(r->customer, sizeof(r->customer),
		      script_arg(argc, argv, "customer", "c"));
	util_copy_str(r->index, sizeof(r->index),
		      script_arg(argc, argv, "index", "i"));
	r->timeout_ms = script_u32(argc, argv, "timeout_ms", 0);
	caller->ctx = c;
	caller->handle = ++c->next_handle;
	util_copy_str(caller->id, sizeof(caller->id), r->id);
	g_hash_table_insert(c->callers, &caller->handle, caller);
	incoming->request = r;
	incoming->reply = on_reply;
	incoming->reply_ctx = caller;
	incoming->exchange_id = caller->handle;
	incoming->received_us = c->now_us - script_int(argc, argv, "age_us", 0);
	pipeline_on_request(c->path, incoming, c->now_us);
}

static void cmd_search(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	struct request *r = util_alloc(1, sizeof(*r));

	c->out = out;
	r->op = OP_SEARCH;
	r->is_idempotent = 1;
	r->text = util_strdup("q");
	r->limit = script_u32(argc, argv, "limit", 10);
	submit_request(c, r, argc, argv);
}

static void cmd_lookup(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	struct request *r = util_alloc(1, sizeof(*r));

	c->out = out;
	r->op = OP_LOOKUP;
	r->is_idempotent = script_u32(argc, argv, "idempotent", 0);
	r->text = util_strdup(script_arg(argc, argv, "record", "w"));
	r->limit = 1;
	submit_request(c, r, argc, argv);
}

/*
 * Result of sub-request sub=N, with the fields that a correct answer has; the
 * script can replace each, and as=M names sub-request M in the answer.
 */
static struct subrequest_result *result_of(struct path_ctx *c, uint32_t argc,
					   char **argv)
{
	uint32_t n = script_u32(argc, argv, "sub", 1);
	const struct subrequest_msg *call;
	struct subrequest_result *r = util_alloc(1, sizeof(*r));

	g_assert_cmpuint(n, >=, 1);
	g_assert_cmpuint(n, <=, c->sent_count);
	call = c->sent[n - 1].call;
	r->sub_id = call->sub_id;
	r->answer_sub_id = call->sub_id;
	if (script_arg(argc, argv, "as", NULL))
		r->answer_sub_id = c->sent[script_u32(argc, argv, "as", 1) - 1]
					   .call->sub_id;
	util_copy_str(r->request_id, sizeof(r->request_id),
		      script_arg(argc, argv, "id", call->request_id));
	util_copy_str(r->shard, sizeof(r->shard),
		      script_arg(argc, argv, "shard", call->shard));
	util_copy_str(r->snapshot, sizeof(r->snapshot),
		      script_arg(argc, argv, "snapshot", call->snapshot));
	util_copy_str(r->instance, sizeof(r->instance),
		      script_arg(argc, argv, "instance", "i1"));
	return r;
}

static void add_hits(struct subrequest_result *r, const char *text)
{
	g_auto(GStrv) hits = g_strsplit(text, ",", -1);
	uint32_t i;

	for (i = 0; hits[i]; i++) {
		g_auto(GStrv) hit = g_strsplit(hits[i], ":", 2);

		hits_add(&r->hits, hit[0],
			 hit[1] ? g_ascii_strtod(hit[1], NULL) : 1, NULL);
	}
}

static void cmd_reply(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	struct subrequest_result *r = result_of(c, argc, argv);

	c->out = out;
	add_hits(r, script_arg(argc, argv, "hits", ""));
	pipeline_on_result(c->path, r, c->now_us);
}

struct code_search {
	const char *name;
	enum err_code code;
};

static void match_code(void *ctx, enum err_code code)
{
	struct code_search *s = ctx;

	if (strcmp(err_name(code), s->name) == 0)
		s->code = code;
}

static void cmd_fail(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	struct subrequest_result *r = result_of(c, argc, argv);
	struct code_search s = {
		.name = script_arg(argc, argv, "code", "TARGET_STATUS"),
		.code = ERR_OK,
	};

	err_each(match_code, &s);
	g_assert_cmpint(s.code, !=, ERR_OK);
	r->code = s.code;
	r->not_run = script_u32(argc, argv, "not_run", 0);
	c->out = out;
	pipeline_on_result(c->path, r, c->now_us);
}

/* Result of the claim of id=; prints 1 when the request still wants it. */
static void cmd_claimed(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	static const char *const names[] = { "granted", "taken", "unavailable",
					     "unknown" };
	struct path_ctx *c = ctx;
	const char *result = script_arg(argc, argv, "result", "granted");
	const char *id = script_arg(argc, argv, "id", "");
	uint32_t i;
	uint32_t j;

	c->out = out;
	for (i = 0; i < c->claim_count; i++) {
		if (strcmp(c->claims[i].request_id, id) == 0)
			break;
	}
	g_assert_cmpuint(i, <, c->claim_count);
	for (j = 0; j < countof(names); j++) {
		if (strcmp(names[j], result) == 0)
			buf_addf(out, "wanted %d\n",
				 pipeline_on_claim(c->path, c->claims[i].req_no,
						   (enum claim_result)j,
						   c->now_us));
	}
}

static void cmd_caller_gone(void *ctx, uint32_t argc, char **argv,
			    struct buf *out)
{
	struct path_ctx *c = ctx;

	c->out = out;
	pipeline_on_caller_gone(c->path,
				(uint64_t)script_int(argc, argv, "handle", 1),
				c->now_us);
}

/* Moves the clock by ms= and us= and runs the timers that are due. */
static void cmd_run(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	int64_t end_us = c->now_us + script_int(argc, argv, "us", 0) +
			 script_int(argc, argv, "ms", 0) * US_PER_MS;
	int64_t next_us;

	c->out = out;
	while ((next_us = timer_queue_next_us(c->timers)) >= 0 &&
	       next_us <= end_us) {
		c->now_us = util_max_i64(next_us, c->now_us);
		timer_queue_run(c->timers, c->now_us);
	}
	c->now_us = end_us;
}

static void cmd_drain(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	pipeline_drain(((struct path_ctx *)ctx)->path);
}

static void cmd_state(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	static const char *const phases[] = { "new", "cold", "warm" };
	struct path_ctx *c = ctx;
	const char *id = script_arg(argc, argv, "target", NULL);
	const struct target_state *t =
		id ? g_hash_table_lookup(c->path->targets, id) : NULL;

	if (script_arg(argc, argv, "customer", NULL)) {
		const struct customer_stats *stats = g_hash_table_lookup(
			c->path->customers,
			script_arg(argc, argv, "customer", NULL));

		buf_addf(out, "budget %u permille\n",
			 extra_budget_fill_permille(&stats->budget));
		return;
	}
	buf_addf(out, "open %u queued %d", pipeline_open_count(c->path),
		 !TAILQ_EMPTY(&c->path->nonempty_queues));
	if (t)
		buf_addf(out, " %s %s outstanding=%u avoided=%d", t->def.id,
			 phases[t->phase], t->outstanding,
			 t->avoid_until_us > c->now_us);
	buf_addf(out, "\n");
}

/*
 * Sends count= searches, each answered after gap_us=, and prints how many first
 * sub-requests went to each replica.
 */
static void cmd_spread(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	uint32_t count = script_u32(argc, argv, "count", 100);
	struct buf silent CLEANUP_BUF = { 0 };
	uint32_t by_replica[SHARD_REPLICAS_MAX] = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct request *r = util_alloc(1, sizeof(*r));
		uint32_t first = c->sent_count;
		struct subrequest_result *result;
		char sub[32];
		char *words[] = { sub };

		c->out = &silent;
		r->op = OP_SEARCH;
		r->is_idempotent = 1;
		r->text = util_strdup("q");
		r->limit = 1;
		submit_request(c, r, argc, argv);
		if (c->sent_count == first)
			continue;
		by_replica[c->sent[first].target[2] - 'a']++;
		snprintf(sub, sizeof(sub), "sub=%u", first + 1);
		c->now_us += script_int(argc, argv, "gap_us", 1000);
		result = result_of(c, 1, words);
		pipeline_on_result(c->path, result, c->now_us);
	}
	buf_addf(out, "a=%u b=%u c=%u\n", by_replica[0], by_replica[1],
		 by_replica[2]);
}

static void cmd_ready(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;

	buf_addf(out, "ready %d\n", pipeline_ready(c->path, c->now_us));
}

static void cmd_report(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	static const char *const kinds[] = { "cold", "warm", "leaving" };
	struct path_ctx *c = ctx;
	struct request_report *report =
		pipeline_take_report(c->path, c->now_us);
	uint32_t i;

	for (i = 0; i < report->version_count; i++)
		buf_addf(out, "version %s requests=%u failures=%u slow=%u\n",
			 report->versions[i].version,
			 report->versions[i].requests,
			 report->versions[i].failures,
			 report->versions[i].slow);
	for (i = 0; i < report->customer_count; i++)
		buf_addf(out,
			 "customer %s good=%u late=%u partial=%u refused=%u "
			 "lost=%u\n",
			 report->customers[i].customer,
			 report->customers[i].good, report->customers[i].late,
			 report->customers[i].partial,
			 report->customers[i].refused,
			 report->customers[i].lost);
	for (i = 0; i < report->notice_count; i++)
		buf_addf(out, "notice %s %s %s\n", report->notices[i].target,
			 report->notices[i].instance,
			 kinds[report->notices[i].kind]);
	request_report_free(report);
}

static const struct script_command commands[] = {
	{ "contract", path_cmd_contract },
	{ "layout", path_cmd_layout },
	{ "dc", path_cmd_dc },
	{ "version", path_cmd_version },
	{ "block", path_cmd_block },
	{ "hosts", path_cmd_hosts },
	{ "view", path_cmd_view },
	{ "notice", cmd_notice },
	{ "warm", cmd_warm },
	{ "search", cmd_search },
	{ "lookup", cmd_lookup },
	{ "reply", cmd_reply },
	{ "fail", cmd_fail },
	{ "claimed", cmd_claimed },
	{ "caller_gone", cmd_caller_gone },
	{ "run", cmd_run },
	{ "drain", cmd_drain },
	{ "state", cmd_state },
	{ "spread", cmd_spread },
	{ "report", cmd_report },
	{ "ready", cmd_ready },
};

static const struct script_area area = {
	.name = "path",
	.ctx_new = path_ctx_new,
	.ctx_free = path_ctx_free,
	.command_count = countof(commands),
	.commands = commands,
};

int main(int argc, char **argv)
{
	return script_main(argc, argv, &area, 1);
}

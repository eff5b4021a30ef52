/*
 * Scripted runs over the claims of request IDs; the script takes the store's
 * place on the rings. Each script names the failure that it guards against.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "duty/claims.h"
#include "script.h"

#define RING_CAPACITY 64
#define CALLS_MAX 64

struct claims_ctx {
	struct claims *claims;
	struct ring *store;
	struct ring *replies;
	struct timer_queue *timers;
	int64_t now_us;
	/* Return value of on_done(): 0 when the request has ended already. */
	int wanted;
	/* ID of the request that on_done() records as not run; NULL: none. */
	const char *record_when_told;
	/* Store calls so far; a script names them from 1. */
	uint32_t call_count;
	struct kv_request *calls[CALLS_MAX];
	struct buf *out;
};

static int on_done(void *ctx, uint64_t req_no, enum claim_result result)
{
	static const char *const results[] = { "granted", "taken",
					       "unavailable", "unknown" };
	struct claims_ctx *c = ctx;

	buf_addf(c->out, "done %" PRIu64 " %s\n", req_no, results[result]);
	if (c->record_when_told)
		claims_record(c->claims, "c", c->record_when_told,
			      OUTCOME_NOT_RUN);
	c->record_when_told = NULL;
	return c->wanted;
}

static void *claims_ctx_new(void)
{
	struct claims_ctx *c = util_alloc(1, sizeof(*c));

	c->wanted = 1;
	c->store = ring_new(RING_CAPACITY, NULL, NULL, NULL);
	c->replies = ring_new(RING_CAPACITY, NULL, NULL, NULL);
	c->timers = timer_queue_new();
	c->claims = claims_new("h1", 1, c->store, c->replies, c->timers,
			       on_done, c);
	return c;
}

static void claims_ctx_free(void *ctx)
{
	struct claims_ctx *c = ctx;
	uint32_t i;

	claims_free(c->claims);
	for (i = 0; i < c->call_count; i++)
		kv_request_free(c->calls[i]);
	ring_free(c->store);
	ring_free(c->replies);
	timer_queue_free(c->timers);
	free(c);
}

/*
 * Prints the calls to the store without the tokens of claims, which are random.
 */
static void take_calls(struct claims_ctx *c, struct buf *out)
{
	static const char *const ops[] = { "get",   "cas",   "delete", "watch",
					   "grant", "renew", "revoke", "hosts" };
	struct msg m;

	while (ring_take(c->store, &m, 1) == 1) {
		struct kv_request *r = m.body;
		const char *outcome = r->call.value
					      ? strstr(r->call.value, "outcome"
								      "\":")
					      : NULL;

		g_assert_cmpuint(c->call_count, <, CALLS_MAX);
		c->calls[c->call_count++] = r;
		buf_addf(out, "store %u %s %s", c->call_count, ops[r->call.op],
			 r->call.key);
		if (r->call.op == KV_CAS)
			buf_addf(out, " if_version=%" PRIu64 " lease=%" PRIu64,
				 r->call.rev, r->call.lease);
		buf_addf(out, " %s\n", outcome ? outcome : "");
	}
}

static void cmd_run(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct claims_ctx *c = ctx;

	c->out = out;
	c->now_us += script_int(argc, argv, "ms", 0) * US_PER_MS;
	timer_queue_run(c->timers, c->now_us);
	take_calls(c, out);
}

/* start [req=N] [id=ID]: request N claims ID. */
static void cmd_start(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct claims_ctx *c = ctx;

	c->out = out;
	claims_acquire(c->claims, (uint64_t)script_int(argc, argv, "req", 1),
		       "c", script_arg(argc, argv, "id", "k1"));
	take_calls(c, out);
}

/* record [id=ID] [outcome=N]: records the outcome of request ID. */
static void cmd_record(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct claims_ctx *c = ctx;

	c->out = out;
	claims_record(c->claims, "c", script_arg(argc, argv, "id", "k1"),
		      (enum outcome)script_int(argc, argv, "outcome", 0));
	take_calls(c, out);
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

/*
 * reply [call=N] [code=CODE] [version=N] [lease=N] [text=VALUE] [from=N]
 * [wanted=0|1] [record=ID]: answers store call N. The value is VALUE or, with
 * from=N, the one that store call N wrote.
 */
static void cmd_reply(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct claims_ctx *c = ctx;
	const struct kv_request *r =
		c->calls[script_int(argc, argv, "call", 1) - 1];
	int64_t from = script_int(argc, argv, "from", 0);
	const char *text = from ? c->calls[from - 1]->call.value
				: script_arg(argc, argv, "text", NULL);
	struct code_search s = {
		.name = script_arg(argc, argv, "code", "OK"),
		.code = ERR_INTERNAL,
	};
	struct kv_reply *reply = util_alloc(1, sizeof(*reply));

	err_each(match_code, &s);
	reply->call_id = r->call_id;
	reply->op = r->call.op;
	reply->result.err.code = s.code;
	reply->result.rev = (uint64_t)script_int(argc, argv, "version", 0);
	reply->result.lease = (uint64_t)script_int(argc, argv, "lease", 0);
	if (text) {
		reply->result.pair_count = 1;
		reply->result.pairs =
			util_alloc(1, sizeof(*reply->result.pairs));
		reply->result.pairs[0].value = util_strdup(text);
		reply->result.pairs[0].value_bytes = (uint32_t)strlen(text);
	}
	c->wanted = (int)script_int(argc, argv, "wanted", 1);
	c->record_when_told = script_arg(argc, argv, "record", NULL);
	c->out = out;
	claims_store_reply(c->claims, reply);
	kv_reply_free(reply);
	take_calls(c, out);
}

static void on_answer(void *ctx, struct answer *a)
{
	struct claims_ctx *c = ctx;

	buf_addf(c->out, "answer %s %s %s\n", a->request_id,
		 err_name(a->err.code), outcome_name(a->outcome));
	answer_free(a);
}

/* query [id=ID]: a caller asks for the outcome of request ID. */
static void cmd_query(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct claims_ctx *c = ctx;
	struct caller_request *r = util_alloc(1, sizeof(*r));

	r->request = util_alloc(1, sizeof(*r->request));
	r->request->op = OP_OUTCOME;
	util_copy_str(r->request->customer, NAME_BYTES, "c");
	util_copy_str(r->request->id, REQUEST_ID_BYTES,
		      script_arg(argc, argv, "id", "k1"));
	r->reply = on_answer;
	r->reply_ctx = c;
	c->out = out;
	claims_answer_outcome(c->claims, r);
	take_calls(c, out);
}

static const struct script_command commands[] = {
	{ "run", cmd_run },	  { "start", cmd_start },
	{ "record", cmd_record }, { "reply", cmd_reply },
	{ "query", cmd_query },
};

static const struct script_area area = {
	.name = "claims",
	.ctx_new = claims_ctx_new,
	.ctx_free = claims_ctx_free,
	.command_count = countof(commands),
	.commands = commands,
};

int main(int argc, char **argv)
{
	return script_main(argc, argv, &area, 1);
}

/*
 * Scripted runs over the JSON codecs of callers, targets and claims. The rest
 * of a script line is the body, with script_text().
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "codec/caller_json.h"
#include "codec/claim_json.h"
#include "codec/target_json.h"
#include "script.h"

static void *codec_new(void)
{
	return util_alloc(1, 1);
}

static void decode_request(enum request_op op, uint32_t argc, char **argv,
			   struct buf *out)
{
	struct buf body CLEANUP_BUF = { 0 };
	struct err err = { 0 };
	struct request *r;

	script_text(argc, argv, 0, &body);
	r = caller_json_decode(op, body.data ? body.data : "", body.len_bytes,
			       &err);
	if (!r) {
		char *text = caller_json_encode_error(&err);

		buf_addf(out, "%s %s\n%s\n", err_name(err.code), err.detail,
			 text);
		free(text);
		return;
	}
	buf_addf(out, "id=%s customer=%s index=%s text_bytes=%zu limit=%u",
		 r->id, r->customer, r->index, strlen(r->text), r->limit);
	buf_addf(out, " idempotent=%u timeout_ms=%u\n", r->is_idempotent,
		 r->timeout_ms);
	request_free(r);
}

static void cmd_search(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	decode_request(OP_SEARCH, argc, argv, out);
}

static void cmd_lookup(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	decode_request(OP_LOOKUP, argc, argv, out);
}

/* Encodes an answer to a caller; the script sets some of its fields. */
static void cmd_answer(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct answer *a = util_alloc(1, sizeof(*a));
	char *text;

	a->err.code = (enum err_code)script_int(argc, argv, "code", 0);
	util_copy_str(a->err.detail, sizeof(a->err.detail),
		      script_arg(argc, argv, "detail", ""));
	a->outcome = (enum outcome)script_int(argc, argv, "outcome", 0);
	a->outcome_only = (uint32_t)script_int(argc, argv, "only", 0);
	util_copy_str(a->request_id, sizeof(a->request_id), "r1");
	util_copy_str(a->snapshot, sizeof(a->snapshot), "s7");
	a->shards_total = 2;
	a->shards_answered = 1;
	a->missing = util_alloc(1, NAME_BYTES);
	a->missing_count = 1;
	util_copy_str(a->missing[0], NAME_BYTES, "s1");
	a->elapsed_us = 5321;
	hits_add(&a->hits, "d1", 4.5, util_strdup("{\"a\":[1,null]}"));
	hits_add(&a->hits, "d2", 1, NULL);
	hits_add(&a->hits, "d3", 0.5, util_strdup("{broken"));
	text = caller_json_encode(a);
	buf_addf(out, "%s\n", text);
	free(text);
	answer_free(a);
}

/* Encodes a sub-request to a target. */
static void cmd_call(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct subrequest_msg *c = util_alloc(1, sizeof(*c));
	char *text;

	c->sub_id = (uint64_t)script_int(argc, argv, "sub", 7);
	c->op = script_int(argc, argv, "lookup", 0) ? OP_LOOKUP : OP_SEARCH;
	c->is_idempotent = (uint32_t)script_int(argc, argv, "idempotent", 1);
	c->is_cancel = (uint32_t)script_int(argc, argv, "cancel", 0);
	util_copy_str(c->request_id, sizeof(c->request_id), "c1-41");
	util_copy_str(c->index, sizeof(c->index), "concept");
	util_copy_str(c->shard, sizeof(c->shard), "s0");
	util_copy_str(c->snapshot, sizeof(c->snapshot), "s7");
	c->text = util_strdup(script_arg(argc, argv, "text", "a\"b\\c"));
	c->limit = 10;
	text = target_json_encode(c, 80);
	buf_addf(out, "%s %s\n", target_json_path(c), text);
	free(text);
	subrequest_msg_free(c);
}

/* Decodes the answer of a target. */
static void cmd_target(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct subrequest_result *r = util_alloc(1, sizeof(*r));
	struct buf body CLEANUP_BUF = { 0 };
	uint32_t i;

	script_text(argc, argv, 1, &body);
	target_json_decode(r, (uint32_t)script_int(argc, argv, "status", 200),
			   body.data, body.len_bytes);
	buf_addf(out, "%s not_run=%u request=%s sub=%" PRIu64 " shard=%s",
		 err_name(r->code), r->not_run, r->request_id, r->answer_sub_id,
		 r->shard);
	buf_addf(out, " snapshot=%s instance=%s hits=%u\n", r->snapshot,
		 r->instance, r->hits.count);
	for (i = 0; r->code == ERR_OK && i < r->hits.count; i++)
		buf_addf(out, "hit %s %g %s\n", r->hits.items[i].id,
			 r->hits.items[i].score,
			 r->hits.items[i].doc ? r->hits.items[i].doc : "-");
	subrequest_result_free(r);
}

/* Decodes a claim document and encodes it again. */
static void cmd_claim(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf body CLEANUP_BUF = { 0 };
	struct once_claim claim = { .token = "" };
	char *text;

	script_text(argc, argv, 0, &body);
	if (!claim_json_decode(&claim, body.data ? body.data : "",
			       body.len_bytes)) {
		buf_addf(out, "refused\n");
		return;
	}
	text = claim_json_encode(&claim);
	buf_addf(out, "%s\n", text);
	free(text);
}

static const struct script_command commands[] = {
	{ "search", cmd_search }, { "lookup", cmd_lookup },
	{ "answer", cmd_answer }, { "call", cmd_call },
	{ "target", cmd_target }, { "claim", cmd_claim },
};

static const struct script_area area = {
	.name = "codec",
	.ctx_new = codec_new,
	.ctx_free = free,
	.command_count = countof(commands),
	.commands = commands,
};

/* Guards against an error answer without a body when input is not UTF-8. */
static void test_not_utf8(void)
{
	static const char *const bodies[] = { "{\"customer\":\"\xff\xfe\"}",
					      "\xc3", "{\"query\": \xe2\x82" };
	uint32_t i;

	for (i = 0; i < countof(bodies); i++) {
		struct err err = { 0 };
		char *text;

		g_assert_null(caller_json_decode(OP_SEARCH, bodies[i],
						 strlen(bodies[i]), &err));
		g_assert_cmpint(err.code, ==, ERR_BAD_JSON);
		text = caller_json_encode_error(&err);
		g_assert_nonnull(strstr(text, "\"code\":201"));
		free(text);
	}
}

/* Guards against a crash, or acceptance, of a prefix of a valid body. */
static void test_truncated(void)
{
	static const char search[] = "{\"customer\":\"c\",\"index\":\"i\","
				     "\"query\":\"\\u00e9\",\"limit\":10}";
	static const char target[] = "{\"request_id\":\"r\",\"sub_id\":7,"
				     "\"shard\":\"s0\","
				     "\"hits\":[{\"id\":\"d9\",\"score\":4.5,"
				     "\"doc\":{\"a\":1}}]}";
	size_t len;

	for (len = 0; len < sizeof(search) - 1; len++) {
		struct err err = { 0 };

		g_assert_null(caller_json_decode(OP_SEARCH, search, len, &err));
		g_assert_cmpint(err.code, ==, ERR_BAD_JSON);
	}
	for (len = 0; len < sizeof(target) - 1; len++) {
		struct subrequest_result *r = util_alloc(1, sizeof(*r));

		target_json_decode(r, 200, target, len);
		g_assert_cmpint(r->code, ==, ERR_TARGET_JSON);
		subrequest_result_free(r);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	script_register(&area, SCRIPT_DIR);
	g_test_add_func("/codec/not_utf8", test_not_utf8);
	g_test_add_func("/codec/truncated", test_truncated);
	return g_test_run();
}

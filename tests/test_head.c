/*
 * Scripted runs over the heads of HTTP/1.1 messages: what is read from callers,
 * targets and other hosts, and what is written for it. The rest of a script line is the
 * message, with script_text() and the escapes of C.
 */
#include <glib.h>
#include <string.h>

#include "codec/peer_msg_forward.h"
#include "platform/platform_http.h"
#include "script.h"

#define HEAD_BYTES_MAX 4096
#define BODY_BYTES_MAX 4096

static void *no_ctx(void)
{
	return NULL;
}

static void free_no_ctx(void *ctx)
{
}

/* The message of a script line, with its length in @len. */
static char *message_of(uint32_t argc, char **argv, size_t *len)
{
	struct buf text CLEANUP_BUF = { 0 };
	char *message;

	script_text(argc, argv, 0, &text);
	message = g_strcompress(text.data);
	*len = strlen(message);
	return message;
}

/* Prints @data on one line, with escapes. */
static void show(struct buf *out, const char *what, const char *data)
{
	g_autofree char *shown = g_strescape(data ? data : "", NULL);

	buf_addf(out, "%s %s\n", what, shown);
}

/* Reads a message; returns 0, and prints why, if it is refused or unfinished. */
static int read_message(struct http1_reader *h, enum http1_kind kind,
			uint32_t argc, char **argv, struct buf *out)
{
	struct http1_limits limits = { HEAD_BYTES_MAX, BODY_BYTES_MAX };
	size_t len;
	g_autofree char *message = message_of(argc, argv, &len);
	size_t used;

	http1_init(h, kind, &limits);
	used = http1_parse(h, message, len);
	if (h->state == HTTP1_COMPLETE) {
		if (used < len)
			buf_addf(out, "%zu bytes behind it\n", len - used);
		return 1;
	}
	if (h->state == HTTP1_BAD)
		buf_addf(out, "refused: %s\n", err_name(h->error));
	else
		buf_addf(out, "unfinished\n");
	return 0;
}

/* request TEXT: a caller's request, and the call to a target for it. */
static void cmd_request(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct exchange_request *r = util_alloc(1, sizeof(*r));
	struct target_call call = { .timeout_ms = 77, .target_id = "t1" };
	struct buf text CLEANUP_BUF = { 0 };
	struct http1_reader h;
	struct err err = { 0 };

	if (read_message(&h, HTTP1_REQUEST, argc, argv, out)) {
		if (platform_request_decode(&h, r, &err) != ERR_OK) {
			buf_addf(out, "%s %s\n", err_name(err.code),
				 err.detail);
		} else {
			call.message = r->message;
			g_assert_cmpint(platform_call_encode(&call, &text), ==,
					ERR_OK);
			show(out, "call", text.data);
		}
	}
	http1_clear(&h);
	exchange_request_free(r);
}

/* reply TEXT: a target's answer, and what is kept of it. */
static void cmd_reply(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct target_reply *r = util_alloc(1, sizeof(*r));
	struct http1_reader h;

	if (read_message(&h, HTTP1_RESPONSE, argc, argv, out)) {
		platform_reply_decode(&h, r);
		buf_addf(out,
			 "status %u stamp '%s' not run %u leaving %u pause %u "
			 "ms\n",
			 r->status, r->stamp, r->not_run, r->is_leaving,
			 r->pause_ms);
		show(out, "fields", r->fields.data);
		show(out, "body", r->body.data);
	}
	http1_clear(&h);
	target_reply_free(r);
}

/*
 * forward [method=TEXT] [uri=TEXT] FIELDS: another host's message that has a
 * request answered here.
 */
static void cmd_forward(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	uint32_t from = 0;
	g_autofree char *method =
		g_strcompress(script_arg(argc, argv, "method", "GET"));
	g_autofree char *uri =
		g_strcompress(script_arg(argc, argv, "uri", "/a"));
	g_autofree char *fields = NULL;
	struct buf text CLEANUP_BUF = { 0 };
	struct exchange_request *r;
	struct err err = { 0 };
	peer_forward x = { .id = "r1",
			   .host_name = "h",
			   .method = method,
			   .uri = uri,
			   .limit_ms = 100 };

	while (from < argc && (g_str_has_prefix(argv[from], "method=") ||
			       g_str_has_prefix(argv[from], "uri=")))
		from++;
	script_text(argc, argv, from, &text);
	fields = g_strcompress(text.data ? text.data : "");
	x.fields.fields_val = fields;
	x.fields.fields_len = (u_int)strlen(fields);
	r = peer_msg_to_forward(&x, &err);
	buf_addf(out, "%s\n", r ? "taken" : err.detail);
	if (r)
		exchange_request_free(r);
}

/* stamps TEXT: another host's merged answer with these stamps. */
static void cmd_stamps(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	peer_forwarded x = { .status = 200, .merged = 1 };
	struct exchange_answer *a;
	struct err err = { 0 };
	size_t len;
	g_autofree char *text = message_of(argc, argv, &len);

	x.stamps.stamps_val = text;
	x.stamps.stamps_len = (u_int)len;
	a = peer_msg_to_answer(&x, &err);
	buf_addf(out, "%s\n", a ? "taken" : err.detail);
	if (a)
		exchange_answer_free(a);
}

static const struct script_command commands[] = {
	{ "request", cmd_request },
	{ "reply", cmd_reply },
	{ "forward", cmd_forward },
	{ "stamps", cmd_stamps },
};

int main(int argc, char **argv)
{
	const struct script_area areas[] = {
		{ "head", no_ctx, free_no_ctx, countof(commands), commands },
	};

	return script_main(argc, argv, areas, countof(areas));
}

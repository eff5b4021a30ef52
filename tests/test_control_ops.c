/*
 * Scripted runs over the control duty with the operator's controllers (area
 * ops): the test plays the store and the other duties on one ring, operators'
 * calls go in as messages, and the published view is awaited.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "duty/controllers.h"
#include "duty/messages.h"
#include "duty/peer_messages.h"
#include "fake_kv.h"
#include "script.h"

/* Bounds the wait for what never comes, which is a failure. */
#define AWAIT_US (30 * (int64_t)US_PER_S)

struct controllers_ctx {
	struct control *control;
	struct controllers *ops;
	/* Inbound ring of all other duties. */
	struct ring *sink;
	struct fake_kv kv;
	struct view *view;
	struct heartbeat sent;
	uint64_t sequence;
	_Atomic uint32_t is_out;
	/* Reply to the last call. */
	uint32_t status;
	char *json;
};

struct call_reply {
	uint32_t status;
	char *json;
};

static void take_reply(struct controllers_ctx *c, struct call_reply *r)
{
	free(c->json);
	c->status = r->status;
	c->json = r->json;
	free(r);
}

static void take(struct controllers_ctx *c, struct msg *m)
{
	struct heartbeat_datagram *d = m->body;

	switch (m->type) {
	case MSG_KV_REQUEST:
		fake_kv_serve(&c->kv, m->body);
		break;
	case MSG_VIEW:
		view_unref(c->view);
		c->view = m->body;
		break;
	case MSG_HEARTBEAT_SEND:
		c->sent = d->heartbeat;
		heartbeat_datagram_free(d);
		break;
	case MSG_LOG_LINE:
		take_reply(c, m->body);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
	}
}

typedef int until_fn(struct controllers_ctx *c, uint32_t argc, char **argv);

static void pump(struct controllers_ctx *c, until_fn *fn, uint32_t argc,
		 char **argv)
{
	gint64 end_us = g_get_monotonic_time() + AWAIT_US;
	struct msg m;

	while (!fn(c, argc, argv)) {
		if (ring_wait(c->sink, &m, 1, US_PER_S))
			take(c, &m);
		if (g_get_monotonic_time() > end_us)
			g_error("what the script awaits does not come");
	}
}

static void on_out(void *ctx, uint32_t is_out)
{
	struct controllers_ctx *c = ctx;

	c->is_out = is_out;
}

static void *controllers_ctx_new(void)
{
	struct control_options o = { .host = "h1",
				     .data_centre = "a",
				     .address = "127.0.0.1",
				     .port = 6001,
				     .incarnation = 1000,
				     .rng_seed = 3,
				     .admin_call_received =
					     controllers_admin_call };
	struct controllers_ctx *c = util_alloc(1, sizeof(*c));
	struct err err = { 0 };

	fake_kv_init(&c->kv);
	c->sink = ring_new(4096, NULL, NULL, &err);
	o.store = o.request = o.peer_send = o.peer_fetch = o.peer_listen =
		c->sink;
	c->control = control_new(&o, &err);
	g_assert_nonnull(c->control);
	c->ops = controllers_new(c->control, "h1", "a", 7);
	controllers_on_out_of_service(c->ops, on_out, c);
	g_assert_cmpint(control_start(c->control, &err), ==, ERR_OK);
	return c;
}

static void drain(struct controllers_ctx *c)
{
	struct msg m;

	while (ring_take(c->sink, &m, 1)) {
		if (m.type == MSG_LOG_LINE)
			take_reply(c, m.body);
		else if (m.drop)
			m.drop(m.body);
	}
}

static void controllers_ctx_free(void *ctx)
{
	struct controllers_ctx *c = ctx;

	control_stop(c->control);
	control_join(c->control);
	control_free(c->control);
	controllers_free(c->ops);
	drain(c);
	view_unref(c->view);
	ring_free(c->sink);
	fake_kv_clear(&c->kv);
	free(c->json);
	free(c);
}

static void push(struct controllers_ctx *c, uint32_t type, void *body)
{
	struct msg m = { type, body, NULL };

	g_assert_cmpint(ring_push(control_ring(c->control), &m), ==, ERR_OK);
}

/* Runs on the control duty. */
static void on_reply(void *ctx, uint32_t http_status, const char *json)
{
	struct controllers_ctx *c = ctx;
	struct call_reply *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_LOG_LINE, r, NULL };

	r->status = http_status;
	r->json = util_strdup(json);
	g_assert_cmpint(ring_push(c->sink, &m), ==, ERR_OK);
}

static int has_reply(struct controllers_ctx *c, uint32_t argc, char **argv)
{
	return c->status != 0;
}

static void ask(struct controllers_ctx *c, const char *method, const char *path,
		const char *body)
{
	struct admin_call *call = util_alloc(1, sizeof(*call));

	util_copy_str(call->method, sizeof(call->method), method);
	util_copy_str(call->path, sizeof(call->path), path);
	util_copy_str(call->who, sizeof(call->who), "ana@127.0.0.1");
	call->body = body ? util_strdup(body) : NULL;
	call->reply = on_reply;
	call->reply_ctx = c;
	c->status = 0;
	push(c, MSG_ADMIN_CALL, call);
	pump(c, has_reply, 0, NULL);
}

/* call METHOD PATH [BODY] */
static void cmd_call(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct controllers_ctx *c = ctx;

	do {
		ask(c, argv[0], argv[1], argc > 2 ? argv[2] : NULL);
		/* An edit may come before the host list was read. */
	} while (strstr(c->json, "\"NO_CONFIG\""));
	buf_addf(out, "%u %s\n", c->status, c->json);
}

/* await PATH TEXT: asks until the answer contains TEXT. */
static void cmd_await(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	gint64 end_us = g_get_monotonic_time() + AWAIT_US;
	struct controllers_ctx *c = ctx;
	struct msg m;

	for (;;) {
		ask(c, "GET", argv[0], NULL);
		if (strstr(c->json, argv[1]))
			return;
		if (g_get_monotonic_time() > end_us)
			g_error("no answer with %s: %s", argv[1], c->json);
		/* Nothing changes without a message to another duty. */
		if (ring_wait(c->sink, &m, 1, US_PER_S))
			take(c, &m);
	}
}

static int view_matches(struct controllers_ctx *c, uint32_t argc, char **argv)
{
	uint32_t share = (uint32_t)script_int(argc, argv, "share", 0);
	const char *dc = script_arg(argc, argv, "dc", NULL);
	const char *version = script_arg(argc, argv, "version", NULL);
	const char *block = script_arg(argc, argv, "block", NULL);

	if (!c->view)
		return 0;
	if (dc)
		return view_dc_share(c->view, dc) == share;
	if (version)
		return view_version_share(c->view, "s", version) == share;
	return view_target_blocked(c->view, block);
}

/* view dc=D share=N, version=V share=N or block=TARGET: awaits such a view. */
static void cmd_view(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	pump(ctx, view_matches, argc, argv);
}

static int sent_matches(struct controllers_ctx *c, uint32_t argc, char **argv)
{
	uint32_t bad = (uint32_t)script_int(argc, argv, "bad", 0);
	uint64_t rev = (uint64_t)script_int(argc, argv, "out_rev", 0);
	uint32_t i;

	if (c->sent.dc_items_rev < rev)
		return 0;
	for (i = 0; i < c->sent.rollout_count; i++) {
		if (c->sent.rollouts[i].is_bad)
			return 1;
	}
	return !bad;
}

/* sent [bad=1] [out_rev=N]: awaits such a heartbeat. */
static void cmd_sent(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	pump(ctx, sent_matches, argc, argv);
}

/* "requests/failures" of a version */
static void version_arg(uint32_t argc, char **argv, const char *version,
			struct version_counts *e)
{
	const char *text = script_arg(argc, argv, version, "0/0");

	util_copy_str(e->service, NAME_BYTES, "s");
	util_copy_str(e->version, NAME_BYTES, version);
	g_assert_cmpint(sscanf(text, "%u/%u", &e->requests, &e->failures), ==,
			2);
}

/* evidence v1=R/F v2=R/F times=N */
static void cmd_evidence(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	int64_t times = script_int(argc, argv, "times", 1);

	while (times-- > 0) {
		struct request_report *e = util_alloc(1, sizeof(*e));

		e->versions = util_alloc(2, sizeof(*e->versions));
		e->version_count = 2;
		version_arg(argc, argv, "v1", &e->versions[0]);
		version_arg(argc, argv, "v2", &e->versions[1]);
		e->customers = util_alloc(1, sizeof(*e->customers));
		e->customer_count = 1;
		util_copy_str(e->customers[0].customer, NAME_BYTES, "blue");
		e->customers[0].good = 10;
		push(ctx, MSG_REQUEST_REPORT, e);
	}
}

/* heartbeat host=H dc=D [bad=VERSION] */
static void cmd_heartbeat(void *ctx, uint32_t argc, char **argv,
			  struct buf *out)
{
	struct heartbeat *h = util_alloc(1, sizeof(*h));
	const char *bad = script_arg(argc, argv, "bad", NULL);
	struct controllers_ctx *c = ctx;

	util_copy_str(h->host, NAME_BYTES,
		      script_arg(argc, argv, "host", "h2"));
	util_copy_str(h->data_centre, NAME_BYTES,
		      script_arg(argc, argv, "dc", "b"));
	util_copy_str(h->address, ADDRESS_BYTES, "127.0.0.1");
	h->port = 6002;
	h->incarnation = 1;
	h->sequence = ++c->sequence;
	if (bad) {
		h->rollout_count = 1;
		util_copy_str(h->rollouts[0].service, NAME_BYTES, "s");
		util_copy_str(h->rollouts[0].version, NAME_BYTES, bad);
		h->rollouts[0].is_bad = 1;
	}
	push(c, MSG_HEARTBEAT_RECEIVED, h);
}

static void cmd_out(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct controllers_ctx *c = ctx;

	buf_addf(out, "out %u\n", c->is_out);
}

static const struct script_command commands[] = {
	{ "call", cmd_call },	      { "await", cmd_await },
	{ "view", cmd_view },	      { "sent", cmd_sent },
	{ "evidence", cmd_evidence }, { "heartbeat", cmd_heartbeat },
	{ "out", cmd_out },
};

static const struct script_area area = {
	.name = "controllers",
	.ctx_new = controllers_ctx_new,
	.ctx_free = controllers_ctx_free,
	.command_count = countof(commands),
	.commands = commands,
};

/* Warnings of what the scripts cause on purpose. */
static void drop_line(void *ctx, const char *line)
{
}

int main(int argc, char **argv)
{
	log_init("h1", drop_line, NULL);
	return script_main(argc, argv, &area, 1);
}

/*
 * Scripted runs over the control duty with its controllers (area controllers):
 * the test takes the place of the store and of all other duties on one ring,
 * sends operators' calls as messages, and waits for the published view. Guards
 * against an operator's change or a report that does not reach the view, the
 * heartbeats or the store.
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

/* Longest wait for an answer, view or heartbeat; after that the test fails. */
#define AWAIT_US (30 * (int64_t)US_PER_S)

struct controllers_ctx {
	struct control *control;
	struct controllers *controllers;
	/* Inbound ring of all other duties. */
	struct ring *sink;
	struct fake_kv kv;
	/* Latest view and heartbeat that the control duty sent. */
	struct view *view;
	struct heartbeat sent;
	/* Sequence number of the latest heartbeat that the script sent. */
	uint64_t sequence;
	/*
	 * 1 while this host is out of service; set by the control duty's
	 * thread.
	 */
	_Atomic uint32_t is_out;
	/* HTTP status and body of the reply to the latest call; 0: none yet. */
	uint32_t status;
	char *json;
};

/* Reply to an operator's call, on its way to the test's thread. */
struct call_reply {
	uint32_t status;
	char *json;
};

static void store_reply(struct controllers_ctx *c, struct call_reply *r)
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
	/* Type that the control duty does not send here; see on_reply(). */
	case MSG_LOG_LINE:
		store_reply(c, m->body);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
	}
}

typedef int reached_fn(struct controllers_ctx *c, uint32_t argc, char **argv);

static void handle_until(struct controllers_ctx *c, reached_fn *fn,
			 uint32_t argc, char **argv)
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
	struct control_options options = { .host = "h1",
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
	options.store = options.request = options.peer_send =
		options.peer_fetch = options.peer_listen = c->sink;
	c->control = control_new(&options, &err);
	g_assert_nonnull(c->control);
	c->controllers = controllers_new(c->control, "h1", "a", 7);
	controllers_on_out_of_service(c->controllers, on_out, c);
	g_assert_cmpint(control_start(c->control, &err), ==, ERR_OK);
	return c;
}

static void drain(struct controllers_ctx *c)
{
	struct msg m;

	while (ring_take(c->sink, &m, 1)) {
		if (m.type == MSG_LOG_LINE)
			store_reply(c, m.body);
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
	controllers_free(c->controllers);
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

/* Runs on the control duty's thread; passes the reply on as MSG_LOG_LINE. */
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
	handle_until(c, has_reply, 0, NULL);
}

/* call METHOD PATH [BODY]: prints the status and body of the reply. */
static void cmd_call(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct controllers_ctx *c = ctx;

	do {
		ask(c, argv[0], argv[1], argc > 2 ? argv[2] : NULL);
		/* Until the host list was read, edits are refused. */
	} while (strstr(c->json, "\"NO_CONFIG\""));
	buf_addf(out, "%u %s\n", c->status, c->json);
}

/* await PATH TEXT: repeats GET PATH until the reply contains TEXT. */
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
		/* The state changes only with a message to another duty. */
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

/*
 * view dc=D share=N, version=V share=N or block=TARGET: waits for such a view.
 */
static void cmd_view(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	handle_until(ctx, view_matches, argc, argv);
}

static int sent_matches(struct controllers_ctx *c, uint32_t argc, char **argv)
{
	uint32_t bad = (uint32_t)script_int(argc, argv, "bad", 0);
	uint64_t rev = (uint64_t)script_int(argc, argv, "out_rev", 0);
	uint32_t i;

	if (c->sent.evacuation_rev < rev)
		return 0;
	for (i = 0; i < c->sent.rollout_count; i++) {
		if (c->sent.rollouts[i].is_bad)
			return 1;
	}
	return !bad;
}

/* sent [bad=1] [out_rev=N]: waits for such a heartbeat. */
static void cmd_sent(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	handle_until(ctx, sent_matches, argc, argv);
}

/* Reads the counts of @version from the form VERSION=REQUESTS/FAILURES. */
static void version_arg(uint32_t argc, char **argv, const char *version,
			struct version_counts *counts)
{
	const char *text = script_arg(argc, argv, version, "0/0");

	util_copy_str(counts->service, NAME_BYTES, "s");
	util_copy_str(counts->version, NAME_BYTES, version);
	g_assert_cmpint(sscanf(text, "%u/%u", &counts->requests,
			       &counts->failures),
			==, 2);
}

/* evidence v1=REQUESTS/FAILURES v2=... times=N: sends N reports of requests. */
static void cmd_evidence(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	int64_t times = script_int(argc, argv, "times", 1);

	while (times-- > 0) {
		struct request_report *report = util_alloc(1, sizeof(*report));

		report->versions = util_alloc(2, sizeof(*report->versions));
		report->version_count = 2;
		version_arg(argc, argv, "v1", &report->versions[0]);
		version_arg(argc, argv, "v2", &report->versions[1]);
		report->customers = util_alloc(1, sizeof(*report->customers));
		report->customer_count = 1;
		util_copy_str(report->customers[0].customer, NAME_BYTES,
			      "blue");
		report->customers[0].good = 10;
		push(ctx, MSG_REQUEST_REPORT, report);
	}
}

/* heartbeat host=H dc=D [bad=VERSION]: one comes from H. */
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

/* out: prints whether this host is out of service. */
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

/*
 * Drops the log lines: they are about faults that the scripts cause on purpose.
 */
static void drop_line(void *ctx, const char *line)
{
}

int main(int argc, char **argv)
{
	log_init("h1", drop_line, NULL);
	return script_main(argc, argv, &area, 1);
}

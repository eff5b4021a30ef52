/*
 * The control duty with one ring in place of all other duties: the test answers
 * store calls from memory and checks the messages that the duty sends. Guards
 * against an event after which a view, heartbeat or pull is missing.
 */
#include <apr_general.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "controller/cfg_revision.h"
#include "duty/control.h"
#include "duty/messages.h"
#include "duty/peer_messages.h"
#include "fake_kv.h"

/* Longest wait for a message; after that the test fails. */
#define MESSAGE_US (30 * (int64_t)US_PER_S)
#define CONTRACT                                            \
	"{\"customer\":\"blue\",\"indexes\":[\"concept\"]," \
	"\"answer_ms\":90,\"min_coverage_permille\":950,"   \
	"\"rate_per_s\":500,\"target_share_permille\":400," \
	"\"extra_load_permille\":100}"
#define HOSTS_ALONE "{\"revision\":1,\"hosts\":[]}"
#define HOSTS_LEAVING                                                 \
	"{\"revision\":2,\"hosts\":[{\"id\":\"t1\",\"address\":"      \
	"\"127.0.0.1\",\"port\":9001,\"data_centre\":\"a\",\"role\":" \
	"\"target\",\"state\":\"leaving\"}]}"

struct fixture {
	struct control *control;
	/* Inbound ring of all other duties. */
	struct ring *sink;
	struct fake_kv kv;
	/* Latest message of each type, owned by the fixture; NULL: none yet. */
	struct view *view;
	struct heartbeat_datagram *datagram;
	struct config_fetch *fetch;
	/* Number of edits that ended, and the result of the latest one. */
	uint32_t edits_done;
	struct err edit_err;
	uint64_t edit_rev;
	/* Number of calls of each hook. */
	_Atomic uint32_t items;
	_Atomic uint32_t ticks;
	_Atomic uint32_t reports;
	_Atomic uint32_t heartbeats;
};

/* Result of an edit on its way to the test's thread. */
struct edit_result {
	struct err err;
	uint64_t rev;
};

static void take_edit(struct fixture *f, struct edit_result *r)
{
	f->edit_err = r->err;
	f->edit_rev = r->rev;
	f->edits_done++;
	free(r);
}

static void take(struct fixture *f, struct msg *m)
{
	switch (m->type) {
	case MSG_KV_REQUEST:
		fake_kv_serve(&f->kv, m->body);
		break;
	case MSG_VIEW:
		view_unref(f->view);
		f->view = m->body;
		break;
	case MSG_HEARTBEAT_SEND:
		heartbeat_datagram_free(f->datagram);
		f->datagram = m->body;
		break;
	case MSG_CONFIG_FETCH:
		free(f->fetch);
		f->fetch = m->body;
		break;
	/* Type that the control duty does not send here; see on_edit(). */
	case MSG_LOG_LINE:
		take_edit(f, m->body);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
	}
}

typedef int reached_fn(struct fixture *f);

/* Handles messages until @fn returns 1. */
static void handle_until(struct fixture *f, reached_fn *fn)
{
	gint64 end_us = g_get_monotonic_time() + MESSAGE_US;
	struct msg m;

	while (!fn(f)) {
		if (ring_wait(f->sink, &m, 1, MESSAGE_US))
			take(f, &m);
		if (g_get_monotonic_time() > end_us)
			g_error("the awaited message does not come");
	}
}

/* Runs on the control duty's thread; passes the result on as MSG_LOG_LINE. */
static void on_edit(void *ctx, const struct err *err, uint64_t rev)
{
	struct fixture *f = ctx;
	struct edit_result *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_LOG_LINE, r, free };

	r->err = *err;
	r->rev = rev;
	g_assert_cmpint(ring_push(f->sink, &m), ==, ERR_OK);
}

/* Fixture of the running test, for on_admin(), which gets no context. */
static struct fixture *current;

/*
 * Handles an operator's call: its path names the item, its body is the
 * document.
 */
static void on_admin(struct control *c, struct admin_call *call)
{
	struct err err = { 0 };

	if (control_edit(c, call->path, call->body, call->who, 0, on_edit,
			 current, &err) != ERR_OK)
		on_edit(current, &err, 0);
	admin_call_free(call);
}

static void hook_item(void *ctx, int64_t now_us, const struct cfg_item *item)
{
	((struct fixture *)ctx)->items++;
}

static int hook_tick(void *ctx, int64_t now_us)
{
	((struct fixture *)ctx)->ticks++;
	return 0;
}

static int hook_evidence(void *ctx, int64_t now_us,
			 const struct request_report *report)
{
	((struct fixture *)ctx)->reports++;
	return 0;
}

static int hook_heartbeat(void *ctx, int64_t now_us, const struct heartbeat *h)
{
	((struct fixture *)ctx)->heartbeats++;
	return 0;
}

static void hook_fill_heartbeat(void *ctx, int64_t now_us, struct heartbeat *h)
{
	h->evacuation_rev = 77;
}

static void hook_fill_view(void *ctx, int64_t now_us, struct view *v)
{
	v->dcs = util_alloc(1, sizeof(*v->dcs));
	v->dc_count = 1;
	util_copy_str(v->dcs[0].data_centre, NAME_BYTES, "b");
	v->dcs[0].share_permille = 50;
}

static void fixture_start(struct fixture *f, const char *hosts)
{
	struct control_options options = { .host = "h1",
					   .data_centre = "a",
					   .address = "127.0.0.1",
					   .port = 6001,
					   .incarnation = 1000,
					   .rng_seed = 3,
					   .admin_call_received = on_admin };
	struct control_hooks hooks = { .apply_item = hook_item,
				       .tick = hook_tick,
				       .request_report_received = hook_evidence,
				       .heartbeat_received = hook_heartbeat,
				       .fill_heartbeat = hook_fill_heartbeat,
				       .fill_view = hook_fill_view,
				       .ctx = f };
	struct err err = { 0 };

	memset(f, 0, sizeof(*f));
	current = f;
	fake_kv_init(&f->kv);
	f->kv.hosts = hosts;
	f->sink = ring_new(4096, NULL, NULL, &err);
	options.store = options.request = options.peer_send =
		options.peer_fetch = options.peer_listen = f->sink;
	f->control = control_new(&options, &err);
	g_assert_nonnull(f->control);
	control_add_hooks(f->control, &hooks);
	g_assert_cmpint(control_start(f->control, &err), ==, ERR_OK);
}

static void fixture_stop(struct fixture *f)
{
	control_stop(f->control);
	control_join(f->control);
	control_free(f->control);
	view_unref(f->view);
	heartbeat_datagram_free(f->datagram);
	free(f->fetch);
	ring_free(f->sink);
	fake_kv_clear(&f->kv);
}

static void push(struct fixture *f, uint32_t type, void *body)
{
	struct msg m = { type, body, NULL };

	g_assert_cmpint(ring_push(control_ring(f->control), &m), ==, ERR_OK);
}

static void edit(struct fixture *f, const char *item, const char *json)
{
	struct admin_call *call = util_alloc(1, sizeof(*call));

	util_copy_str(call->path, sizeof(call->path), item);
	util_copy_str(call->who, sizeof(call->who), "operator");
	call->body = json ? util_strdup(json) : NULL;
	f->edits_done = 0;
	push(f, MSG_ADMIN_CALL, call);
}

static int edit_is_done(struct fixture *f)
{
	return f->edits_done > 0;
}

static int has_contract(struct fixture *f)
{
	return f->view && view_contract(f->view, "blue") != NULL;
}

/*
 * Repeats the edit while it is refused because the host list was not read yet.
 */
static void edit_until_ready(struct fixture *f, const char *item,
			     const char *json)
{
	do {
		edit(f, item, json);
		handle_until(f, edit_is_done);
	} while (f->edit_err.code == ERR_NO_CONFIG);
}

/* Guards against an accepted edit that does not reach the request duty. */
static void test_edit(void)
{
	struct fixture f;

	fixture_start(&f, HOSTS_ALONE);
	edit_until_ready(&f, "contract/blue", CONTRACT);
	g_assert_cmpint(f.edit_err.code, ==, ERR_OK);
	g_assert_cmpuint(f.edit_rev, ==, 1);
	handle_until(&f, has_contract);
	g_assert_cmpuint(f.view->config_rev, ==, 1);
	g_assert_cmpuint(view_dc_share(f.view, "b"), ==, 50);
	g_assert_cmpstr(f.view->self, ==, "h1");
	g_assert_cmpuint(f.items, ==, 1);
	edit(&f, "contract/blue", "{\"customer\":\"blue\"}");
	handle_until(&f, edit_is_done);
	g_assert_cmpint(f.edit_err.code, ==, ERR_CFG_FIELD);
	/*
	 * The host that makes an edit also removes the revision that it
	 * replaces.
	 */
	edit(&f, "contract/blue", CONTRACT);
	handle_until(&f, edit_is_done);
	g_assert_cmpuint(f.edit_rev, ==, 2);
	fixture_stop(&f);
}

static struct heartbeat *heartbeat(uint64_t sequence, uint64_t rev,
				   uint64_t change)
{
	struct heartbeat *h = util_alloc(1, sizeof(*h));

	util_copy_str(h->host, sizeof(h->host), "h2");
	util_copy_str(h->data_centre, sizeof(h->data_centre), "a");
	util_copy_str(h->address, sizeof(h->address), "127.0.0.1");
	h->port = 6002;
	h->incarnation = 1;
	h->sequence = sequence;
	h->config_rev = rev;
	h->config_change_id = change;
	return h;
}

static int is_fetching(struct fixture *f)
{
	return f->fetch != NULL;
}

static int has_two_hosts(struct fixture *f)
{
	return f->view && f->view->host_count == 2;
}

/*
 * Guards against a host that stays without configuration while the store is
 * down although a peer has one.
 */
static void test_pull(void)
{
	struct fixture f;
	struct config_fetch_result *result = util_alloc(1, sizeof(*result));
	struct cfg_delta *delta = util_alloc(1, sizeof(*delta));

	fixture_start(&f, HOSTS_ALONE);
	f.kv.down = 1;
	push(&f, MSG_HEARTBEAT_RECEIVED, heartbeat(1, 9, 0xab));
	handle_until(&f, is_fetching);
	g_assert_cmpuint(f.fetch->from.port, ==, 6002);
	g_assert_cmpuint(f.fetch->rev, ==, 0);
	delta->rev = 9;
	delta->is_full = 1;
	delta->recent_count = 1;
	delta->recent_change_ids[0] = 0xab;
	delta->items = util_alloc(1, sizeof(*delta->items));
	delta->items[0] =
		cfg_item_new("contract/blue", 9, 0xab, "op", CONTRACT);
	delta->item_count = 1;
	result->call_id = f.fetch->call_id;
	result->delta = delta;
	push(&f, MSG_CONFIG_FETCH_RESULT, result);
	handle_until(&f, has_contract);
	g_assert_cmpuint(f.view->config_rev, ==, 9);
	handle_until(&f, has_two_hosts);
	g_assert_cmpuint(f.heartbeats, ==, 1);
	fixture_stop(&f);
}

static int sends_notice(struct fixture *f)
{
	return f->datagram && f->datagram->heartbeat.notice_count == 1;
}

static int sends_leaving(struct fixture *f)
{
	return f->datagram && f->datagram->heartbeat.state == HOST_LEAVING;
}

/* Guards against notices, or a leave, that are missing in the heartbeats. */
static void test_heartbeat(void)
{
	struct fixture f;
	struct request_report *report = util_alloc(1, sizeof(*report));

	fixture_start(&f, HOSTS_ALONE);
	push(&f, MSG_HEARTBEAT_RECEIVED, heartbeat(1, 0, 0));
	report->notices = util_alloc(1, sizeof(*report->notices));
	report->notice_count = 1;
	util_copy_str(report->notices[0].target, NAME_BYTES, "t1");
	push(&f, MSG_REQUEST_REPORT, report);
	handle_until(&f, sends_notice);
	g_assert_cmpstr(f.datagram->heartbeat.notices[0].target, ==, "t1");
	g_assert_cmpuint(f.datagram->heartbeat.evacuation_rev, ==, 77);
	g_assert_cmpuint(f.datagram->receivers[0].port, ==, 6002);
	g_assert_cmpuint(f.reports, ==, 1);
	push(&f, MSG_LEAVE, NULL);
	handle_until(&f, sends_leaving);
	fixture_stop(&f);
}

static int blocks_target(struct fixture *f)
{
	return f->view && view_target_blocked(f->view, "t1");
}

/* Guards against new work for a target that the host list shows as leaving. */
static void test_leaving_target(void)
{
	struct fixture f;

	fixture_start(&f, HOSTS_LEAVING);
	handle_until(&f, blocks_target);
	fixture_stop(&f);
}

/* Takes the result of the edit; store calls that are left get no answer. */
static void take_last_edit(struct fixture *f)
{
	struct msg m;

	f->edits_done = 0;
	while (ring_take(f->sink, &m, 1)) {
		if (m.type == MSG_LOG_LINE)
			take_edit(f, m.body);
		else if (m.drop)
			m.drop(m.body);
	}
}

/* Guards against an edit that is never answered when the host stops. */
static void test_stop(void)
{
	struct fixture f;

	fixture_start(&f, HOSTS_ALONE);
	edit_until_ready(&f, "contract/blue", CONTRACT);
	f.kv.down = 1;
	edit(&f, "contract/blue", CONTRACT);
	control_stop(f.control);
	control_join(f.control);
	control_free(f.control);
	take_last_edit(&f);
	g_assert_cmpint(f.edit_err.code, ==, ERR_STOPPING);
	view_unref(f.view);
	heartbeat_datagram_free(f.datagram);
	ring_free(f.sink);
	fake_kv_clear(&f.kv);
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/control/edit", test_edit);
	g_test_add_func("/control/pull", test_pull);
	g_test_add_func("/control/heartbeat", test_heartbeat);
	g_test_add_func("/control/leaving-target", test_leaving_target);
	g_test_add_func("/control/stop", test_stop);
	return g_test_run();
}

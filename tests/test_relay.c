/*
 * The relay duty, which passes the state of the store between hosts, over
 * loopback sockets. The test is the control duty of each host. Each case waits
 * for messages or the end of a stream, none for a fixed time.
 */
#include <apr_general.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/log.h"
#include "codec/peer.h"
#include "codec/peer_msg_forward.h"
#include "codec/peer_msg_state.h"
#include "codec/peer_rpc.h"
#include "duty/messages.h"
#include "duty/relay.h"
#include "loopback.h"
#include "model/store_pos.h"

/* Longest wait for a message; after it the test fails. */
#define WAIT_US (20 * (int64_t)US_PER_S)
#define RING_SIZE 64

struct host {
	struct relay *relay;
	/* Rings to the control duty and to the request duty. */
	struct ring *control;
	struct ring *requests;
};

static void host_begin(struct host *h)
{
	struct err err = { 0 };

	h->control = ring_new(RING_SIZE, NULL, NULL, &err);
	h->requests = ring_new(RING_SIZE, NULL, NULL, &err);
	h->relay = relay_new("127.0.0.1", 0, &err);
	g_assert_nonnull(h->relay);
	g_assert_cmpint(relay_start(h->relay, h->control, h->requests, &err),
			==, ERR_OK);
}

static void host_end(struct host *h)
{
	relay_stop(h->relay);
	relay_free(h->relay);
	ring_free(h->control);
	ring_free(h->requests);
}

/* Waits for a message on @ring, which must be of @type; returns its body. */
static void *take_from(struct ring *ring, uint32_t type)
{
	struct msg m;

	g_assert_cmpuint(ring_wait(ring, &m, 1, WAIT_US), ==, 1);
	g_assert_cmpuint(m.type, ==, type);
	return m.body;
}

static void *take(struct host *h, uint32_t type)
{
	return take_from(h->control, type);
}

static void free_follow(void *body)
{
	follow_request_free(body);
}

/*
 * Has the relay duty call the host on @port, which may hold the call for
 * @hold_ms.
 */
static void follow(struct host *h, uint16_t port, uint32_t hold_ms)
{
	struct follow_request *f = util_alloc(1, sizeof(*f));
	struct msg m = { MSG_FOLLOW_REQUEST, f, free_follow };

	util_copy_str(f->host, sizeof(f->host), "other");
	util_copy_str(f->address, sizeof(f->address), "127.0.0.1");
	f->port = port;
	f->rev = store_pos(2, 4);
	f->hold_ms = hold_ms;
	f->report_count = 1;
	f->reports = util_alloc(1, sizeof(*f->reports));
	util_copy_str(f->reports->service, sizeof(f->reports->service), "s1");
	util_copy_str(f->reports->version, sizeof(f->reports->version), "v2");
	f->reports->requests = 9;
	g_assert_cmpint(ring_push(relay_ring(h->relay), &m), ==, ERR_OK);
}

/*
 * Two changes, "a" written and "b" deleted, known to be the store's 50 ms ago.
 */
static struct store_update *make_update(void)
{
	struct store_update *u = util_alloc(1, sizeof(*u));

	u->rev = store_pos(3, 7);
	u->confirmed_us = clock_now_us() - 50 * US_PER_MS;
	u->pair_count = 2;
	u->pairs = util_alloc(2, sizeof(u->pairs[0]));
	util_copy_str(u->pairs[0].key, sizeof(u->pairs[0].key), "a");
	u->pairs[0].rev = store_pos(3, 6);
	u->pairs[0].value = util_strdup("value");
	u->pairs[0].value_bytes = 5;
	util_copy_str(u->pairs[1].key, sizeof(u->pairs[1].key), "b");
	u->pairs[1].rev = store_pos(3, 7);
	return u;
}

/* Answers the held @call with make_update(). */
static void reply_to(struct host *h, const struct follower_call *call)
{
	struct follower_reply *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_FOLLOWER_REPLY, r, NULL };

	r->conn = call->conn;
	r->xid = call->xid;
	r->received_us = call->received_us;
	r->update = make_update();
	g_assert_cmpint(ring_push(relay_ring(h->relay), &m), ==, ERR_OK);
}

/*
 * Guards against changes that are altered on the way or look fresher than they
 * are.
 */
static void test_passes(void)
{
	struct host server;
	struct host client;
	struct follower_call *call;
	struct follow_result *f;
	int i;

	host_begin(&server);
	host_begin(&client);
	/* The second call uses the same connection. */
	for (i = 0; i < 2; i++) {
		follow(&client, relay_port(server.relay), 1000);
		call = take(&server, MSG_FOLLOWER_CALL);
		g_assert_cmpuint(call->rev, ==, store_pos(2, 4));
		g_assert_cmpuint(call->has_no_era, ==, 0);
		g_assert_cmpuint(call->hold_ms, ==, 1000);
		g_assert_cmpuint(call->conn, ==, 1);
		g_assert_cmpuint(call->report_count, ==, 1);
		g_assert_cmpuint(call->reports[0].requests, ==, 9);
		reply_to(&server, call);
		follower_call_free(call);
		f = take(&client, MSG_FOLLOW_RESULT);
		g_assert_cmpstr(f->host, ==, "other");
		g_assert_cmpuint(f->update->rev, ==, store_pos(3, 7));
		g_assert_cmpuint(f->update->is_full, ==, 0);
		g_assert_cmpuint(f->update->pair_count, ==, 2);
		g_assert_cmpstr(f->update->pairs[0].value, ==, "value");
		g_assert_cmpuint(f->update->pairs[0].rev, ==, store_pos(3, 6));
		g_assert_null(f->update->pairs[1].value);
		g_assert_cmpint(f->update->confirmed_us, <=,
				clock_now_us() - 50 * US_PER_MS);
		g_assert_cmpint(f->update->regained_us, ==, 0);
		follow_result_free(f);
	}
	host_end(&client);
	host_end(&server);
}

/*
 * Guards against a call that never ends because the other host does not answer.
 */
static void test_silent(void)
{
	struct host server;
	struct host client;
	struct follow_result *f;

	host_begin(&server);
	host_begin(&client);
	follow(&client, relay_port(server.relay), 1);
	follower_call_free(take(&server, MSG_FOLLOWER_CALL));
	f = take(&client, MSG_FOLLOW_RESULT);
	g_assert_null(f->update);
	g_assert_cmpint(f->err.code, ==, ERR_PEER_RPC);
	follow_result_free(f);
	host_end(&client);
	host_end(&server);
}

/*
 * Guards against waiting for a host that has stopped, during a call and when
 * the call is made.
 */
static void test_gone(void)
{
	struct host server;
	struct host client;
	struct follow_result *f;
	uint16_t port;

	host_begin(&server);
	host_begin(&client);
	port = relay_port(server.relay);
	follow(&client, port, 10000);
	follower_call_free(take(&server, MSG_FOLLOWER_CALL));
	host_end(&server);
	f = take(&client, MSG_FOLLOW_RESULT);
	g_assert_cmpint(f->err.code, ==, ERR_PEER_RPC);
	follow_result_free(f);
	follow(&client, port, 10000);
	f = take(&client, MSG_FOLLOW_RESULT);
	g_assert_cmpint(f->err.code, ==, ERR_PEER_RPC);
	follow_result_free(f);
	host_end(&client);
}

static void send_health(struct host *from, uint16_t port, uint32_t is_from_root)
{
	struct health_datagram *d = util_alloc(1, sizeof(*d));
	struct msg m = { MSG_HEALTH_SEND, d, free };

	util_copy_str(d->address, sizeof(d->address), "127.0.0.1");
	d->port = port;
	d->is_from_root = is_from_root;
	d->health.count = 1;
	d->health.entries[0] = (struct target_health){ 77, 5, 400, 3000 };
	g_assert_cmpint(ring_push(relay_ring(from->relay), &m), ==, ERR_OK);
}

/*
 * Guards against datagrams with target health that are altered on the way, or
 * that disturb the call in flight between the same hosts.
 */
static void test_health(void)
{
	struct host server;
	struct host client;
	struct health_datagram *d;
	struct follower_call *call;
	struct follow_result *f;
	uint32_t i;

	host_begin(&server);
	host_begin(&client);
	follow(&client, relay_port(server.relay), 10000);
	call = take(&server, MSG_FOLLOWER_CALL);
	for (i = 0; i < 2; i++) {
		send_health(&client, relay_port(server.relay), i);
		d = take(&server, MSG_HEALTH_RECEIVED);
		g_assert_cmpuint(d->is_from_root, ==, i);
		g_assert_cmpuint(d->health.count, ==, 1);
		g_assert_cmpuint(d->health.entries[0].key, ==, 77);
		g_assert_cmpuint(d->health.entries[0].calls, ==, 5);
		g_assert_cmpuint(d->health.entries[0].failed_permille, ==, 400);
		g_assert_cmpuint(d->health.entries[0].slowness_milli, ==, 3000);
		free(d);
	}
	reply_to(&server, call);
	f = take(&client, MSG_FOLLOW_RESULT);
	g_assert_nonnull(f->update);
	follow_result_free(f);
	follower_call_free(call);
	host_end(&client);
	host_end(&server);
}

static void put(int fd, const void *data, size_t len_bytes)
{
	g_assert_cmpint(send(fd, data, len_bytes, MSG_NOSIGNAL), ==,
			(int)len_bytes);
}

static void expect_end(int fd)
{
	char rest[64];

	while (recv(fd, rest, sizeof(rest), 0) > 0)
		;
	close(fd);
}

/*
 * Guards against using up memory for a client that is not a host of the gateway
 * and sends what no host sends: its connection is closed.
 */
static void test_garbage(void)
{
	/* Record mark of 1 MiB. */
	static const char long_record[] = { (char)0x80, 0x10, 0, 0 };
	static const char wrong_body[] = { (char)0x80, 0, 0, 8, 1, 2,
					   3,	       4, 5, 6, 7, 8 };
	struct buf calls CLEANUP_BUF = { 0 };
	peer_follow_args args = { .hold_ms = 60000 };
	struct host server;
	int fd;

	host_begin(&server);
	fd = loopback_connect(relay_port(server.relay));
	put(fd, "GET / HTTP/1.1\r\n\r\n", 18);
	expect_end(fd);
	fd = loopback_connect(relay_port(server.relay));
	put(fd, long_record, sizeof(long_record));
	expect_end(fd);
	fd = loopback_connect(relay_port(server.relay));
	put(fd, wrong_body, sizeof(wrong_body));
	expect_end(fd);
	/* A second call while the first one is held. */
	peer_rpc_add_call(&calls, 1, FOLLOW_STATE,
			  (xdrproc_t)xdr_peer_follow_args, &args);
	peer_rpc_add_call(&calls, 2, FOLLOW_STATE,
			  (xdrproc_t)xdr_peer_follow_args, &args);
	fd = loopback_connect(relay_port(server.relay));
	put(fd, calls.data, calls.len_bytes);
	expect_end(fd);
	follower_call_free(take(&server, MSG_FOLLOWER_CALL));
	host_end(&server);
}

/*
 * Guards against sending the answer for a follower that closed its connection
 * to another follower.
 */
static void test_left(void)
{
	struct buf call_bytes CLEANUP_BUF = { 0 };
	peer_follow_args args = { .rev = 4, .hold_ms = 60000 };
	struct host server;
	struct host client;
	struct follower_call *left;
	struct follower_call *call;
	struct follow_result *f;
	int fd;

	host_begin(&server);
	host_begin(&client);
	peer_rpc_add_call(&call_bytes, 1, FOLLOW_STATE,
			  (xdrproc_t)xdr_peer_follow_args, &args);
	fd = loopback_connect(relay_port(server.relay));
	put(fd, call_bytes.data, call_bytes.len_bytes);
	left = take(&server, MSG_FOLLOWER_CALL);
	/* The call of a host of an earlier build. */
	g_assert_cmpuint(left->has_no_era, ==, 1);
	g_assert_cmpuint(left->rev, ==, 4);
	close(fd);
	follow(&client, relay_port(server.relay), 10000);
	call = take(&server, MSG_FOLLOWER_CALL);
	reply_to(&server, left);
	reply_to(&server, call);
	f = take(&client, MSG_FOLLOW_RESULT);
	g_assert_nonnull(f->update);
	follow_result_free(f);
	follower_call_free(left);
	follower_call_free(call);
	host_end(&client);
	host_end(&server);
}

/*
 * Guards against hosts of an earlier build, which know no eras, that cannot read
 * a state of this build, or whose own is taken for one of a known era.
 */
static void test_builds(void)
{
	struct peer_msg_state sent = { .state = { .rev = 7 },
				       .era = 3,
				       .has_deletions = 1 };
	struct peer_msg_state received = { 0 };
	struct buf newer CLEANUP_BUF = { 0 };
	struct buf older CLEANUP_BUF = { 0 };
	peer_state state = { 0 };
	uint32_t xid;

	g_assert_true(peer_rpc_add_reply(&newer, 1,
					 (xdrproc_t)xdr_peer_msg_state, &sent));
	g_assert_true(peer_rpc_read_reply(newer.data + PEER_RPC_MARK_BYTES,
					  newer.len_bytes - PEER_RPC_MARK_BYTES,
					  &xid, (xdrproc_t)xdr_peer_state,
					  &state));
	g_assert_cmpuint(state.rev, ==, 7);
	g_assert_true(peer_rpc_read_reply(newer.data + PEER_RPC_MARK_BYTES,
					  newer.len_bytes - PEER_RPC_MARK_BYTES,
					  &xid, (xdrproc_t)xdr_peer_msg_state,
					  &received));
	g_assert_cmpuint(received.has_era, ==, 1);
	g_assert_cmpuint(received.era, ==, 3);
	g_assert_cmpuint(received.has_deletions, ==, 1);
	/* The build before this one ends its reply with the era. */
	g_assert_true(peer_rpc_read_reply(
		newer.data + PEER_RPC_MARK_BYTES,
		newer.len_bytes - PEER_RPC_MARK_BYTES - BYTES_PER_XDR_UNIT,
		&xid, (xdrproc_t)xdr_peer_msg_state, &received));
	g_assert_cmpuint(received.era, ==, 3);
	g_assert_cmpuint(received.has_deletions, ==, 0);
	g_assert_true(peer_rpc_add_reply(&older, 1, (xdrproc_t)xdr_peer_state,
					 &sent.state));
	g_assert_true(peer_rpc_read_reply(older.data + PEER_RPC_MARK_BYTES,
					  older.len_bytes - PEER_RPC_MARK_BYTES,
					  &xid, (xdrproc_t)xdr_peer_msg_state,
					  &received));
	g_assert_cmpuint(received.has_era, ==, 0);
	g_assert_cmpuint(received.era, ==, 0);
	g_assert_cmpuint(received.has_deletions, ==, 0);
}

/*
 * Guards against a state that a follower refuses, and the host that sent it for
 * seconds: a listing of several pages has the revision of its first page, and
 * later ones among its entries when keys were written meanwhile.
 */
static void test_pages(void)
{
	struct store_update *sent = make_update();
	struct store_update *received;
	struct peer_msg_state state;
	struct err err = { 0 };

	sent->is_full = 1;
	sent->pairs[0].rev = store_pos(3, 9);
	peer_msg_from_store_update(sent, 1, 2, &state);
	state.has_era = 1;
	received = peer_msg_to_store_update(&state, 1, 2, &err);
	g_assert_nonnull(received);
	g_assert_cmpuint(received->rev, ==, store_pos(3, 7));
	g_assert_cmpuint(received->pairs[0].rev, ==, store_pos(3, 9));
	store_update_free(received);
	peer_msg_state_free(&state);
	store_update_free(sent);
}

/* Drops log lines: GLib's harness ends the test at a warning that it sees. */
static void drop_line(void *ctx, const char *line)
{
}

/* Forwards request @call_id to the host on @port, or cancels that. */
static void forward(struct host *h, uint16_t port, uint64_t call_id,
		    int is_cancel)
{
	struct forward_call *c = util_alloc(1, sizeof(*c));
	struct msg m = { MSG_FORWARD_CALL, c, NULL };

	c->call_id = call_id;
	c->is_cancel = (uint32_t)is_cancel;
	util_copy_str(c->address, sizeof(c->address), "127.0.0.1");
	c->port = port;
	if (!is_cancel) {
		c->request = util_alloc(1, sizeof(*c->request));
		c->request->message = http_message_new();
		util_copy_str(c->request->message->method,
			      sizeof(c->request->message->method), "GET");
		c->request->message->uri = util_strdup("/all/x?y=z");
		buf_addf(&c->request->message->fields, "Host: h\r\n");
		util_copy_str(c->request->id, sizeof(c->request->id), "r1");
		util_copy_str(c->request->host_name,
			      sizeof(c->request->host_name), "h");
		c->request->caller_timeout_ms = 900;
		c->request->goal_ms = 90;
		c->request->config_version_min = 7;
	}
	g_assert_cmpint(ring_push(relay_ring(h->relay), &m), ==, ERR_OK);
}

/* Waits for a forwarded request and checks that it has come over whole. */
static uint64_t take_forwarded(struct host *h)
{
	struct exchange_request *r =
		take_from(h->requests, MSG_EXCHANGE_REQUEST);
	uint64_t conn_id = r->conn_id;

	g_assert_cmpstr(r->message->method, ==, "GET");
	g_assert_cmpstr(r->message->uri, ==, "/all/x?y=z");
	g_assert_cmpstr(r->message->fields.data, ==, "Host: h\r\n");
	g_assert_cmpstr(r->id, ==, "r1");
	g_assert_cmpstr(r->host_name, ==, "h");
	g_assert_cmpuint(r->caller_timeout_ms, ==, 900);
	g_assert_cmpuint(r->goal_ms, ==, 90);
	g_assert_cmpuint(r->config_version_min, ==, 7);
	g_assert_cmpuint(r->is_forwarded, ==, 1);
	g_assert_true((conn_id & EXCHANGE_CONN_FORWARDED) != 0);
	exchange_request_free(r);
	return conn_id;
}

/* Has the gatherer answer the request of @conn_id with two records. */
static void answer_forwarded(struct host *h, uint64_t conn_id)
{
	struct exchange_answer *a = util_alloc(1, sizeof(*a));
	struct msg m = { MSG_EXCHANGE_ANSWER, a, NULL };

	a->conn_id = conn_id;
	a->status = 200;
	a->is_merged = 1;
	a->missing_part_count = 1;
	buf_addf(&a->part_stamps, "s1, s2");
	buf_addf(&a->body, "records");
	g_assert_cmpint(ring_push(relay_ring(h->relay), &m), ==, ERR_OK);
}

/*
 * Guards against forwarded requests and answers that are altered or mixed up on
 * the way: two are open on one connection and are answered in reverse order.
 */
static void test_forward(void)
{
	struct host gatherer;
	struct host host;
	uint64_t conns[2];
	int64_t end_us;
	uint64_t i;

	host_begin(&gatherer);
	host_begin(&host);
	for (i = 0; i < 2; i++) {
		forward(&host, relay_port(gatherer.relay), i + 1, 0);
		conns[i] = take_forwarded(&gatherer);
	}
	g_assert_cmpuint(relay_forwarded_count(gatherer.relay), ==, 2);
	for (i = 2; i > 0; i--) {
		struct forward_reply *r;

		answer_forwarded(&gatherer, conns[i - 1]);
		r = take_from(host.requests, MSG_FORWARD_REPLY);
		g_assert_cmpuint(r->call_id, ==, i);
		g_assert_cmpint(r->code, ==, ERR_OK);
		g_assert_cmpstr(r->answer->part_stamps.data, ==, "s1, s2");
		g_assert_cmpstr(r->answer->body.data, ==, "records");
		g_assert_cmpuint(r->answer->missing_part_count, ==, 1);
		forward_reply_free(r);
	}
	/* The count falls once the answer is written, so it may come first. */
	end_us = clock_now_us() + WAIT_US;
	while (relay_forwarded_count(gatherer.relay))
		g_assert_cmpint(clock_now_us(), <, end_us);
	host_end(&host);
	host_end(&gatherer);
}

/*
 * Guards against targets that work on for a caller that has left, or for a host
 * that has ended, and against an answer that comes after the cancellation.
 */
static void test_forward_cancelled(void)
{
	struct exchange_caller_gone *gone;
	struct host gatherer;
	struct host host;
	uint64_t conn;

	host_begin(&gatherer);
	host_begin(&host);
	forward(&host, relay_port(gatherer.relay), 1, 0);
	conn = take_forwarded(&gatherer);
	forward(&host, 0, 1, 1);
	forward(&host, relay_port(gatherer.relay), 1, 1);
	gone = take_from(gatherer.requests, MSG_EXCHANGE_CALLER_GONE);
	g_assert_cmpuint(gone->conn, ==, conn);
	free(gone);
	answer_forwarded(&gatherer, conn);
	forward(&host, relay_port(gatherer.relay), 2, 0);
	conn = take_forwarded(&gatherer);
	host_end(&host);
	gone = take_from(gatherer.requests, MSG_EXCHANGE_CALLER_GONE);
	g_assert_cmpuint(gone->conn, ==, conn);
	free(gone);
	host_end(&gatherer);
}

/*
 * Guards against a request that is taken for not run although the gatherer may
 * have it, or the other way round: a port without a listener certainly got
 * nothing; a gatherer that ends may have begun.
 */
static void test_forward_fails(void)
{
	struct forward_reply *r;
	struct host gatherer;
	struct host host;
	uint16_t port;

	host_begin(&gatherer);
	host_begin(&host);
	port = relay_port(gatherer.relay);
	forward(&host, port, 1, 0);
	take_forwarded(&gatherer);
	host_end(&gatherer);
	r = take_from(host.requests, MSG_FORWARD_REPLY);
	g_assert_cmpint(r->code, ==, ERR_PEER_RPC);
	g_assert_cmpuint(r->not_sent, ==, 0);
	forward_reply_free(r);
	forward(&host, port, 2, 0);
	r = take_from(host.requests, MSG_FORWARD_REPLY);
	g_assert_cmpint(r->code, ==, ERR_PEER_RPC);
	g_assert_cmpuint(r->not_sent, ==, 1);
	g_assert_cmpuint(r->call_id, ==, 2);
	forward_reply_free(r);
	host_end(&host);
}

/* Reads one call from @fd and returns its RPC transaction ID. */
static uint32_t read_call(int fd)
{
	char data[4096];
	size_t len = 0;
	uint32_t xid = 0;
	uint32_t procedure = 0;
	XDR x;

	while (peer_rpc_record_bytes(data, len, sizeof(data)) == 0) {
		ssize_t n = recv(fd, data + len, sizeof(data) - len, 0);

		g_assert_cmpint(n, >, 0);
		len += (size_t)n;
	}
	g_assert_cmpint(peer_rpc_read_call(data + PEER_RPC_MARK_BYTES,
					   len - PEER_RPC_MARK_BYTES, &x, &xid,
					   &procedure),
			==, 1);
	g_assert_cmpuint(procedure, ==, FORWARD);
	xdr_destroy(&x);
	return xid;
}

/* Sends the first @bytes of an answer to call @xid; returns its whole length. */
static size_t send_answer(int fd, uint32_t xid, size_t bytes)
{
	struct exchange_answer a = { .status = 200, .is_merged = 1 };
	struct buf out CLEANUP_BUF = { 0 };
	peer_forwarded x;

	buf_addf(&a.part_stamps, "s1, s2");
	buf_addf(&a.body, "records");
	peer_msg_from_answer(&a, &x);
	g_assert_cmpint(peer_rpc_add_reply(&out, xid,
					   (xdrproc_t)xdr_peer_forwarded, &x),
			==, 1);
	put(fd, out.data, bytes < out.len_bytes ? bytes : out.len_bytes);
	buf_free(&a.part_stamps);
	buf_free(&a.body);
	return out.len_bytes;
}

/*
 * Guards against taking a merged answer that was cut off, at any byte, for a
 * whole one, or the request for not run.
 */
static void test_forward_cut(void)
{
	struct forward_reply *r;
	struct host host;
	size_t bytes = 0;
	size_t len;

	host_begin(&host);
	do {
		uint16_t port;
		int listener = loopback_listen(&port);
		int fd;

		forward(&host, port, bytes + 1, 0);
		fd = accept(listener, NULL, NULL);
		len = send_answer(fd, read_call(fd), bytes);
		close(fd);
		close(listener);
		r = take_from(host.requests, MSG_FORWARD_REPLY);
		g_assert_cmpuint(r->not_sent, ==, 0);
		g_assert_cmpint(r->code, ==,
				bytes < len ? ERR_PEER_RPC : ERR_OK);
		if (r->answer)
			g_assert_cmpstr(r->answer->body.data, ==, "records");
		forward_reply_free(r);
	} while (++bytes <= len);
	host_end(&host);
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	log_init("test", drop_line, NULL);
	g_test_add_func("/relay/passes", test_passes);
	g_test_add_func("/relay/silent", test_silent);
	g_test_add_func("/relay/gone", test_gone);
	g_test_add_func("/relay/garbage", test_garbage);
	g_test_add_func("/relay/left", test_left);
	g_test_add_func("/relay/builds", test_builds);
	g_test_add_func("/relay/pages", test_pages);
	g_test_add_func("/relay/health", test_health);
	g_test_add_func("/relay/forward", test_forward);
	g_test_add_func("/relay/forward-cancelled", test_forward_cancelled);
	g_test_add_func("/relay/forward-fails", test_forward_fails);
	g_test_add_func("/relay/forward-cut", test_forward_cut);
	return g_test_run();
}

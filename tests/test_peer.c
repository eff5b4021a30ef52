/*
 * The duties that exchange messages with peers (listen, send, fetch), over
 * loopback sockets; the test is the control duty. Guards against heartbeats
 * that a host which is down holds up, configuration fetches that do not end,
 * and messages that are accepted unchecked.
 */
#include <apr_general.h>
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/metric.h"
#include "codec/peer_msg.h"
#include "controller/cfg_revision.h"
#include "duty/messages.h"
#include "duty/peer_messages.h"
#include "duty/peer_fetch.h"
#include "duty/peer_listen.h"
#include "duty/peer_send.h"

#define ADDRESS "127.0.0.1"
/* Longest wait for a message; after it the test fails. */
#define MESSAGE_US (30 * (int64_t)US_PER_S)
/* Messages that each thread decodes in the test of two threads. */
#define DECODE_COUNT 2000
/* Items of the large configuration, and the size of each. */
#define BIG_ITEMS 3
#define BIG_BYTES 700000
/* These answers are more than the kernel buffers for one connection. */
#define UNREAD_ANSWERS 12

struct fixture {
	/* Ring to the control duty. */
	struct ring *control;
	struct peer_listen *listen;
	struct peer_send *send;
	struct peer_fetch *fetch;
};

static void fixture_start(struct fixture *f)
{
	struct err err = { 0 };

	f->control = ring_new(256, NULL, NULL, &err);
	f->listen = peer_listen_new(ADDRESS, 0, f->control, &err);
	g_assert_nonnull(f->listen);
	f->send = peer_send_new(&err);
	f->fetch = peer_fetch_new(&err);
	g_assert_cmpint(peer_listen_start(f->listen, &err), ==, ERR_OK);
	g_assert_cmpint(peer_send_start(f->send, &err), ==, ERR_OK);
	g_assert_cmpint(peer_fetch_start(f->fetch, &err), ==, ERR_OK);
}

static void fixture_stop(struct fixture *f)
{
	peer_send_stop(f->send);
	peer_fetch_stop(f->fetch);
	peer_listen_stop(f->listen);
	peer_send_join(f->send);
	peer_fetch_join(f->fetch);
	peer_listen_join(f->listen);
	peer_send_free(f->send);
	peer_fetch_free(f->fetch);
	peer_listen_free(f->listen);
	ring_free(f->control);
}

/* Waits for a message, which must be of @type; returns its body. */
static void *await(struct fixture *f, uint32_t type)
{
	struct msg m;

	g_assert_cmpuint(ring_wait(f->control, &m, 1, MESSAGE_US), ==, 1);
	g_assert_cmpuint(m.type, ==, type);
	return m.body;
}

static struct heartbeat_datagram *new_datagram(uint64_t sequence)
{
	struct heartbeat_datagram *d = util_alloc(1, sizeof(*d));
	struct heartbeat *h = &d->heartbeat;

	util_copy_str(h->host, sizeof(h->host), "h2");
	util_copy_str(h->data_centre, sizeof(h->data_centre), "a");
	util_copy_str(h->address, sizeof(h->address), ADDRESS);
	h->port = 6002;
	h->incarnation = UINT64_MAX;
	h->sequence = sequence;
	h->config_rev = 17;
	return d;
}

static void add_receiver(struct heartbeat_datagram *d, uint16_t port)
{
	d->receivers = util_grow(d->receivers, d->receiver_count + 1,
				 sizeof(*d->receivers));
	util_copy_str(d->receivers[d->receiver_count].address, ADDRESS_BYTES,
		      ADDRESS);
	d->receivers[d->receiver_count++].port = port;
}

static void push(struct ring *r, uint32_t type, void *body)
{
	struct msg m = { type, body, NULL };

	g_assert_cmpint(ring_push(r, &m), ==, ERR_OK);
}

/* Returns a port on which nothing listens. */
static uint16_t closed_port(void)
{
	struct sockaddr_storage at;
	socklen_t len = addr_parse(ADDRESS, 0, &at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	uint16_t port;

	g_assert_cmpint(bind(fd, (struct sockaddr *)&at, len), ==, 0);
	port = addr_local_port(fd);
	close(fd);
	return port;
}

/*
 * Guards against a receiver that is down: after its refusal the heartbeats to
 * the receivers behind it in the list must still be sent.
 */
static void test_heartbeats(void)
{
	struct fixture f;
	uint16_t down = closed_port();
	uint64_t i;

	fixture_start(&f);
	for (i = 1; i <= 50; i++) {
		struct heartbeat_datagram *d = new_datagram(i);
		struct heartbeat *h;

		add_receiver(d, down);
		add_receiver(d, peer_listen_port(f.listen));
		add_receiver(d, down);
		push(peer_send_ring(f.send), MSG_HEARTBEAT_SEND, d);
		h = await(&f, MSG_HEARTBEAT_RECEIVED);
		g_assert_cmpuint(h->sequence, ==, i);
		g_assert_cmpuint(h->incarnation, ==, UINT64_MAX);
		g_assert_cmpuint(h->config_rev, ==, 17);
		free(h);
	}
	fixture_stop(&f);
}

/* Writes a name of the greatest length. */
static void fill_name(char *out, char c)
{
	memset(out, c, NAME_BYTES - 1);
	out[NAME_BYTES - 1] = '\0';
}

/*
 * Guards against heartbeats that do not fit one datagram: findings on versions
 * are put in first, notices that do not fit are left out.
 */
static void test_size(void)
{
	struct fixture f;
	struct heartbeat_datagram *d = new_datagram(1);
	struct heartbeat *h = &d->heartbeat;
	struct peer_msg_heartbeat msg;
	uint32_t i;

	h->notice_count = HEARTBEAT_NOTICES_MAX;
	h->rollout_count = HEARTBEAT_ROLLOUTS_MAX;
	for (i = 0; i < HEARTBEAT_NOTICES_MAX; i++) {
		fill_name(h->notices[i].target, 't');
		fill_name(h->notices[i].instance, 'i');
	}
	for (i = 0; i < HEARTBEAT_ROLLOUTS_MAX; i++) {
		fill_name(h->rollouts[i].service, 's');
		fill_name(h->rollouts[i].version, 'v');
		h->rollouts[i].is_bad = 1;
	}
	g_assert_cmpuint(peer_msg_from_heartbeat(h, &msg), <=,
			 HEARTBEAT_BYTES_MAX);
	fixture_start(&f);
	add_receiver(d, peer_listen_port(f.listen));
	push(peer_send_ring(f.send), MSG_HEARTBEAT_SEND, d);
	h = await(&f, MSG_HEARTBEAT_RECEIVED);
	g_assert_cmpuint(h->rollout_count, ==, HEARTBEAT_ROLLOUTS_MAX);
	g_assert_cmpuint(h->notice_count, ==, 1);
	g_assert_cmpuint(h->rollouts[3].is_bad, ==, 1);
	free(h);
	fixture_stop(&f);
}

/* Sends a datagram of raw bytes to the listen duty. */
static void send_raw(const struct fixture *f, const void *data, size_t len)
{
	struct sockaddr_storage at;
	socklen_t size = addr_parse(ADDRESS, peer_listen_port(f->listen), &at);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	g_assert_cmpint(sendto(fd, data, len, 0, (struct sockaddr *)&at, size),
			==, (ssize_t)len);
	close(fd);
}

/*
 * Guards against heartbeats that are accepted without a check of their content.
 */
static void test_refused(void)
{
	struct fixture f;
	struct heartbeat_datagram *bad = new_datagram(1);
	struct heartbeat_datagram *good = new_datagram(2);
	struct heartbeat *h;
	uint64_t errors;
	char noise[600];

	fixture_start(&f);
	errors = metric_get(METRIC_PEER_ERRORS);
	memset(noise, 0x5a, sizeof(noise));
	send_raw(&f, noise, sizeof(noise));
	send_raw(&f, noise, 3);
	util_copy_str(bad->heartbeat.host, NAME_BYTES, "no/name");
	add_receiver(bad, peer_listen_port(f.listen));
	add_receiver(good, peer_listen_port(f.listen));
	push(peer_send_ring(f.send), MSG_HEARTBEAT_SEND, bad);
	push(peer_send_ring(f.send), MSG_HEARTBEAT_SEND, good);
	h = await(&f, MSG_HEARTBEAT_RECEIVED);
	g_assert_cmpuint(h->sequence, ==, 2);
	g_assert_cmpuint(metric_get(METRIC_PEER_ERRORS), ==, errors + 1);
	free(h);
	fixture_stop(&f);
}

/* A configuration of large items, each of which fills most of a page. */
static struct cfg_revision *big_config(void)
{
	struct cfg_head *head = cfg_head_new();
	struct cfg_revision *revision;
	char *json = util_alloc(BIG_BYTES + 1, 1);
	uint32_t i;

	memset(json, 'x', BIG_BYTES);
	for (i = 1; i <= BIG_ITEMS; i++) {
		struct cfg_head_entry e = { .rev = i, .change_id = i };

		snprintf(e.name, sizeof(e.name), "layout/l%u", i);
		cfg_head_put(head, &e);
		cfg_head_advance(head, i);
	}
	revision = cfg_revision_new(head);
	for (i = 0; i < BIG_ITEMS; i++) {
		struct cfg_head_entry *e = &head->entries[i];
		struct cfg_item *item = cfg_item_new(
			e->name, e->rev, e->change_id, "test", json);

		cfg_revision_put(revision, item);
		cfg_item_unref(item);
	}
	free(json);
	return revision;
}

/* Fetches what the host on @port has after @after_rev; waits for the result. */
static struct config_fetch_result *pull(struct fixture *f, uint16_t port,
					uint64_t after_rev)
{
	struct config_fetch *request = util_alloc(1, sizeof(*request));

	util_copy_str(request->from.address, ADDRESS_BYTES, ADDRESS);
	request->from.port = port;
	request->after_rev = after_rev;
	request->call_id = 5;
	request->reply_to = f->control;
	push(peer_fetch_ring(f->fetch), MSG_CONFIG_FETCH, request);
	return await(f, MSG_CONFIG_FETCH_RESULT);
}

/* Guards against pages that lose an item or exceed their size. */
static void test_pull(void)
{
	struct fixture f;
	uint64_t after_rev = 0;
	uint32_t i;

	fixture_start(&f);
	push(peer_listen_ring(f.listen), MSG_CONFIG, big_config());
	for (i = 1; i <= BIG_ITEMS; i++) {
		struct config_fetch_result *result =
			pull(&f, peer_listen_port(f.listen), after_rev);

		/*
		 * The listen duty may get the configuration after the first
		 * fetch.
		 */
		if (result->delta && result->delta->rev == 0) {
			i--;
			config_fetch_result_free(result);
			continue;
		}
		g_assert_nonnull(result->delta);
		g_assert_cmpuint(result->call_id, ==, 5);
		g_assert_cmpuint(result->delta->is_full, ==, 1);
		g_assert_cmpuint(result->delta->item_count, ==, 1);
		g_assert_cmpuint(result->delta->items[0]->rev, ==, i);
		g_assert_cmpuint(strlen(result->delta->items[0]->json), ==,
				 BIG_BYTES);
		g_assert_cmpuint(result->delta->has_more, ==, i < BIG_ITEMS);
		after_rev = result->delta->items[0]->rev;
		config_fetch_result_free(result);
	}
	fixture_stop(&f);
}

/*
 * Guards against a fetch that never ends because the host refuses the
 * connection or does not answer.
 */
static void test_pull_fails(void)
{
	struct fixture f;
	struct sockaddr_storage at;
	socklen_t len = addr_parse(ADDRESS, 0, &at);
	int silent = socket(AF_INET, SOCK_STREAM, 0);
	struct config_fetch_result *result;

	g_assert_cmpint(bind(silent, (struct sockaddr *)&at, len), ==, 0);
	g_assert_cmpint(listen(silent, 4), ==, 0);
	fixture_start(&f);
	result = pull(&f, closed_port(), 0);
	g_assert_null(result->delta);
	g_assert_cmpint(result->err.code, ==, ERR_PEER_RPC);
	config_fetch_result_free(result);
	result = pull(&f, addr_local_port(silent), 0);
	g_assert_null(result->delta);
	g_assert_cmpint(result->err.code, ==, ERR_PEER_RPC);
	config_fetch_result_free(result);
	fixture_stop(&f);
	close(silent);
}

/*
 * Guards against a TCP client that sends only a part of a request and so holds
 * up the heartbeats of others.
 */
static void test_stuck_client(void)
{
	struct fixture f;
	struct sockaddr_storage at;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct heartbeat_datagram *d = new_datagram(1);
	struct heartbeat *h;
	socklen_t len;

	fixture_start(&f);
	len = addr_parse(ADDRESS, peer_listen_port(f.listen), &at);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&at, len), ==, 0);
	/*
	 * The record mark of a 100-byte request, and two bytes of the request.
	 */
	g_assert_cmpint(send(fd, "\x80\0\0\x64\0\0", 6, 0), ==, 6);
	add_receiver(d, peer_listen_port(f.listen));
	push(peer_send_ring(f.send), MSG_HEARTBEAT_SEND, d);
	h = await(&f, MSG_HEARTBEAT_RECEIVED);
	free(h);
	fixture_stop(&f);
	close(fd);
}

/* Writes a whole FETCH_CONFIG call with its record mark to @fd. */
static void send_fetch(int fd)
{
	struct rpc_msg call = { .rm_xid = 1, .rm_direction = CALL };
	peer_fetch_args args = { 0 };
	char data[256];
	uint32_t bytes;
	uint32_t mark;
	XDR xdrs;

	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = COWSLIPPOINT_PEER;
	call.rm_call.cb_vers = PEER_V1;
	call.rm_call.cb_proc = FETCH_CONFIG;
	call.rm_call.cb_cred = _null_auth;
	call.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdrs, data + 4, sizeof(data) - 4, XDR_ENCODE);
	g_assert_true(xdr_callmsg(&xdrs, &call));
	g_assert_true(xdr_peer_fetch_args(&xdrs, &args));
	bytes = xdr_getpos(&xdrs);
	mark = htonl(0x80000000U | bytes);
	memcpy(data, &mark, sizeof(mark));
	g_assert_cmpint(send(fd, data, bytes + 4, 0), ==, bytes + 4);
}

/*
 * Guards against a TCP client that does not read its answers and so keeps the
 * listen duty from serving others.
 */
static void test_unread_answer(void)
{
	struct fixture f;
	struct sockaddr_storage at;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int small_bytes = 4096;
	struct heartbeat_datagram *d = new_datagram(1);
	struct config_fetch_result *result;
	uint64_t errors = metric_get(METRIC_PEER_ERRORS);
	uint64_t rev = 0;
	gint64 end_us;
	uint32_t i;

	fixture_start(&f);
	push(peer_listen_ring(f.listen), MSG_CONFIG, big_config());
	while (rev == 0) {
		result = pull(&f, peer_listen_port(f.listen), 0);
		rev = result->delta ? result->delta->rev : 0;
		config_fetch_result_free(result);
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small_bytes,
		   sizeof(small_bytes));
	g_assert_cmpint(
		connect(fd, (struct sockaddr *)&at,
			addr_parse(ADDRESS, peer_listen_port(f.listen), &at)),
		==, 0);
	for (i = 0; i < UNREAD_ANSWERS; i++)
		send_fetch(fd);
	end_us = g_get_monotonic_time() + MESSAGE_US;
	while (metric_get(METRIC_PEER_ERRORS) == errors) {
		g_assert_cmpint(g_get_monotonic_time(), <, end_us);
		config_fetch_result_free(
			pull(&f, peer_listen_port(f.listen), 0));
	}
	add_receiver(d, peer_listen_port(f.listen));
	push(peer_send_ring(f.send), MSG_HEARTBEAT_SEND, d);
	free(await(&f, MSG_HEARTBEAT_RECEIVED));
	fixture_stop(&f);
	close(fd);
}

/* Decodes the same heartbeat again and again. */
static void *decode_heartbeats(void *encoded)
{
	struct buf *message = encoded;
	uint32_t i;

	for (i = 0; i < DECODE_COUNT; i++) {
		peer_heartbeat x = { 0 };
		XDR xdrs;

		xdrmem_create(&xdrs, message->data, (u_int)message->len_bytes,
			      XDR_DECODE);
		g_assert_true(xdr_peer_heartbeat(&xdrs, &x));
		g_assert_cmpstr(x.host, ==, "h");
		xdr_destroy(&xdrs);
		xdr_free((xdrproc_t)xdr_peer_heartbeat, &x);
	}
	return NULL;
}

/*
 * Guards against decoders that write memory that all threads share: two duties
 * decode messages at the same time. ThreadSanitizer finds the fault.
 */
static void test_threads(void)
{
	char encoded[512];
	struct buf message = { .data = encoded };
	peer_heartbeat x = { .host = "h",
			     .data_centre = "a",
			     .address = "127.0.0.1" };
	GThread *threads[2];
	XDR xdrs;
	uint32_t i;

	xdrmem_create(&xdrs, encoded, sizeof(encoded), XDR_ENCODE);
	g_assert_true(xdr_peer_heartbeat(&xdrs, &x));
	message.len_bytes = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	for (i = 0; i < countof(threads); i++)
		threads[i] =
			g_thread_new("decode", decode_heartbeats, &message);
	for (i = 0; i < countof(threads); i++)
		g_thread_join(threads[i]);
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer/heartbeats", test_heartbeats);
	g_test_add_func("/peer/size", test_size);
	g_test_add_func("/peer/refused", test_refused);
	g_test_add_func("/peer/pull", test_pull);
	g_test_add_func("/peer/pull-fails", test_pull_fails);
	g_test_add_func("/peer/stuck-client", test_stuck_client);
	g_test_add_func("/peer/unread-answer", test_unread_answer);
	g_test_add_func("/peer/threads", test_threads);
	return g_test_run();
}

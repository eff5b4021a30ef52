/*
 * The peer duties over loopback. Guards against heartbeats held up by a host
 * that is down, pulls that do not end, and messages that are accepted unchecked.
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
/* Ends a test whose message never comes. */
#define MESSAGE_US (30 * (int64_t)US_PER_S)
#define BIG_ITEMS 3
#define BIG_BYTES 700000
/* More than the kernel buffers for one connection. */
#define UNREAD_ANSWERS 12

struct fixture {
	struct ring *control;
	struct peer_listen *listen;
	struct peer_send *send;
	struct peer_fetcher *fetch;
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

/* Port on which nothing listens. */
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
 * Guards against a host that is down: its refusal must not cost the heartbeats
 * to the hosts after it.
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

static void fill_name(char *out, char c)
{
	memset(out, c, NAME_BYTES - 1);
	out[NAME_BYTES - 1] = '\0';
}

/*
 * Guards against heartbeats above the size of one datagram: notices that do
 * not fit are left out, findings on versions go first.
 */
static void test_size(void)
{
	struct fixture f;
	struct heartbeat_datagram *d = new_datagram(1);
	struct heartbeat *h = &d->heartbeat;
	struct peer_msg_heartbeat x;
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
	g_assert_cmpuint(peer_msg_from_heartbeat(h, &x), <=,
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

/* Sends raw bytes to the UDP port. */
static void send_raw(const struct fixture *f, const void *data, size_t len)
{
	struct sockaddr_storage at;
	socklen_t size = addr_parse(ADDRESS, peer_listen_port(f->listen), &at);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	g_assert_cmpint(sendto(fd, data, len, 0, (struct sockaddr *)&at, size),
			==, (ssize_t)len);
	close(fd);
}

/* Guards against messages that are taken without their check. */
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

/* Set of large items, each of which fills most of a page. */
static struct cfg_revision *big_set(void)
{
	struct cfg_head *head = cfg_head_new();
	struct cfg_revision *s;
	char *json = util_alloc(BIG_BYTES + 1, 1);
	uint32_t i;

	memset(json, 'x', BIG_BYTES);
	for (i = 1; i <= BIG_ITEMS; i++) {
		struct cfg_head_entry e = { .rev = i, .change_id = i };

		snprintf(e.name, sizeof(e.name), "layout/l%u", i);
		cfg_head_put(head, &e);
		cfg_head_advance(head, i);
	}
	s = cfg_revision_new(head);
	for (i = 0; i < BIG_ITEMS; i++) {
		struct cfg_head_entry *e = &head->entries[i];
		struct cfg_item *item = cfg_item_new(
			e->name, e->rev, e->change_id, "test", json);

		cfg_revision_put(s, item);
		cfg_item_unref(item);
	}
	free(json);
	return s;
}

static struct config_fetch_result *pull(struct fixture *f, uint16_t port,
					uint64_t after_rev)
{
	struct config_fetch *p = util_alloc(1, sizeof(*p));

	util_copy_str(p->from.address, ADDRESS_BYTES, ADDRESS);
	p->from.port = port;
	p->after_rev = after_rev;
	p->call_id = 5;
	p->reply_to = f->control;
	push(peer_fetch_ring(f->fetch), MSG_CONFIG_FETCH, p);
	return await(f, MSG_CONFIG_FETCH_RESULT);
}

/* Guards against pages that lose an item or exceed their size. */
static void test_pull(void)
{
	struct fixture f;
	uint64_t after_rev = 0;
	uint32_t i;

	fixture_start(&f);
	push(peer_listen_ring(f.listen), MSG_CONFIG, big_set());
	for (i = 1; i <= BIG_ITEMS; i++) {
		struct config_fetch_result *p =
			pull(&f, peer_listen_port(f.listen), after_rev);

		/* The set may arrive after the first pull. */
		if (p->delta && p->delta->rev == 0) {
			i--;
			config_fetch_result_free(p);
			continue;
		}
		g_assert_nonnull(p->delta);
		g_assert_cmpuint(p->call_id, ==, 5);
		g_assert_cmpuint(p->delta->is_full, ==, 1);
		g_assert_cmpuint(p->delta->item_count, ==, 1);
		g_assert_cmpuint(p->delta->items[0]->rev, ==, i);
		g_assert_cmpuint(strlen(p->delta->items[0]->json), ==,
				 BIG_BYTES);
		g_assert_cmpuint(p->delta->has_more, ==, i < BIG_ITEMS);
		after_rev = p->delta->items[0]->rev;
		config_fetch_result_free(p);
	}
	fixture_stop(&f);
}

/* Guards against a pull that never ends: refused, and a silent host. */
static void test_pull_fails(void)
{
	struct fixture f;
	struct sockaddr_storage at;
	socklen_t len = addr_parse(ADDRESS, 0, &at);
	int silent = socket(AF_INET, SOCK_STREAM, 0);
	struct config_fetch_result *p;

	g_assert_cmpint(bind(silent, (struct sockaddr *)&at, len), ==, 0);
	g_assert_cmpint(listen(silent, 4), ==, 0);
	fixture_start(&f);
	p = pull(&f, closed_port(), 0);
	g_assert_null(p->delta);
	g_assert_cmpint(p->err.code, ==, ERR_PEER_RPC);
	config_fetch_result_free(p);
	p = pull(&f, addr_local_port(silent), 0);
	g_assert_null(p->delta);
	g_assert_cmpint(p->err.code, ==, ERR_PEER_RPC);
	config_fetch_result_free(p);
	fixture_stop(&f);
	close(silent);
}

/*
 * Guards against a TCP client that sends half a request, or takes no answer,
 * and so holds up the heartbeats of others.
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
	/* Record mark of a 100-byte request, and two bytes of it. */
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

/* Guards against a client that takes no answer and so stops the server. */
static void test_unread_answer(void)
{
	struct fixture f;
	struct sockaddr_storage at;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int small_bytes = 4096;
	struct heartbeat_datagram *d = new_datagram(1);
	struct config_fetch_result *p;
	uint64_t errors = metric_get(METRIC_PEER_ERRORS);
	uint64_t rev = 0;
	gint64 end_us;
	uint32_t i;

	fixture_start(&f);
	push(peer_listen_ring(f.listen), MSG_CONFIG, big_set());
	while (rev == 0) {
		p = pull(&f, peer_listen_port(f.listen), 0);
		rev = p->delta ? p->delta->rev : 0;
		config_fetch_result_free(p);
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
	return g_test_run();
}

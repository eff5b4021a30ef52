/*
 * Forwarded requests: calls of this host to gatherers, over one connection to
 * each, and calls of other hosts that this one gathers for.
 */
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "base/sock.h"
#include "codec/peer_msg.h"
#include "codec/peer_msg_forward.h"
#include "codec/peer_rpc.h"
#include "duty/relay_internal.h"

/* Longest answer that a gatherer sends. */
#define ANSWER_BYTES_MAX (PEER_JSON_MAX + PEER_STAMPS_MAX + 1024)
/* Time to connect; a host that can be reached accepts within a few ms. */
#define CONNECT_TIMEOUT_MS 60
/*
 * A connection without an answer for this long, on which a call is cancelled,
 * counts as silent and is closed.
 */
#define SILENT_US (150 * US_PER_MS)

/* Connection to a gatherer. */
struct forward_link {
	struct relay *relay;
	char key[ADDRESS_BYTES + 8];
	struct rpc_conn *conn;
	/* RPC transaction ID to struct link_call. */
	GHashTable *calls;
	/* Bytes given to the connection so far. */
	uint64_t added_bytes;
	/* Time of the last answer, or of the connection. */
	int64_t heard_us;
	/* Armed while connecting. */
	struct timer_entry connect_timer;
};

/* A call that waits for its answer. */
struct link_call {
	uint32_t xid;
	uint64_t call_id;
	/* Position of its first byte among those given to the connection. */
	uint64_t offset_bytes;
	int64_t sent_us;
};

/* A request of another host that this one gathers. */
struct forwarded {
	uint64_t conn_id;
	uint64_t follower;
	uint32_t xid;
};

static void drop_reply(void *body)
{
	forward_reply_free(body);
}

/* Takes ownership of @answer. */
static void push_reply(struct relay *r, uint64_t call_id, enum err_code code,
		       int not_sent, struct exchange_answer *answer)
{
	struct forward_reply *reply = util_alloc(1, sizeof(*reply));
	struct msg m = { MSG_FORWARD_REPLY, reply, drop_reply };

	*reply = (struct forward_reply){ .call_id = call_id,
					 .code = code,
					 .not_sent = (uint32_t)not_sent,
					 .answer = answer };
	if (code != ERR_OK)
		metric_add(METRIC_PEER_ERRORS, 1);
	if (ring_push(r->requests, &m) == ERR_OK)
		return;
	/* The request is then given up after a part of its time. */
	log_event(LOG_LEVEL_ERROR, "ring_full", "forwarded answer dropped");
	forward_reply_free(reply);
}

static uint64_t written_bytes(const struct forward_link *l)
{
	return l->added_bytes - rpc_conn_unsent_bytes(l->conn);
}

/* Closes the connection; all calls on it fail. */
static void link_close(struct forward_link *l)
{
	uint64_t written = l->conn ? written_bytes(l) : 0;
	GHashTableIter it;
	gpointer value;

	timer_queue_cancel(duty_timers(l->relay->duty), &l->connect_timer);
	rpc_conn_free(l->conn);
	l->conn = NULL;
	l->added_bytes = 0;
	g_hash_table_iter_init(&it, l->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct link_call *c = value;

		push_reply(l->relay, c->call_id, ERR_PEER_RPC,
			   c->offset_bytes >= written, NULL);
	}
	g_hash_table_remove_all(l->calls);
}

static void on_link_lost(void *ctx, int64_t now_us)
{
	link_close(ctx);
}

static void on_connect_timeout(void *ctx, int64_t now_us)
{
	struct forward_link *l = ctx;

	if (!written_bytes(l))
		link_close(l);
}

static void on_link_record(void *ctx, char *data, size_t len_bytes,
			   int64_t now_us)
{
	struct forward_link *l = ctx;
	peer_forwarded x = { 0 };
	struct exchange_answer *a = NULL;
	struct link_call *call = NULL;
	struct err err = { 0 };
	uint32_t xid = 0;

	metric_add(METRIC_PEER_MESSAGES_RECEIVED, 1);
	metric_add(METRIC_PEER_RECEIVED_BYTES, len_bytes);
	l->heard_us = now_us;
	if (peer_rpc_read_reply(data, len_bytes, &xid,
				(xdrproc_t)xdr_peer_forwarded, &x))
		a = peer_msg_to_answer(&x, &err);
	xdr_free((xdrproc_t)xdr_peer_forwarded, &x);
	if (!a) {
		link_close(l);
		return;
	}
	/* Nobody waits for the answer to a call that was cancelled. */
	call = g_hash_table_lookup(l->calls, &xid);
	if (!call) {
		exchange_answer_free(a);
		return;
	}
	push_reply(l->relay, call->call_id, ERR_OK, 0, a);
	g_hash_table_remove(l->calls, &xid);
}

static void link_free(gpointer p)
{
	struct forward_link *l = p;

	timer_queue_cancel(duty_timers(l->relay->duty), &l->connect_timer);
	rpc_conn_free(l->conn);
	g_hash_table_destroy(l->calls);
	free(l);
}

static struct forward_link *get_link(struct relay *r, const char *address,
				     uint16_t port)
{
	char key[ADDRESS_BYTES + 8];
	struct forward_link *l;

	snprintf(key, sizeof(key), "%s %u", address, port);
	l = g_hash_table_lookup(r->links, key);
	if (l)
		return l;
	l = util_alloc(1, sizeof(*l));
	l->relay = r;
	util_copy_str(l->key, sizeof(l->key), key);
	l->calls = g_hash_table_new_full(g_int_hash, g_int_equal, NULL, free);
	g_hash_table_insert(r->links, l->key, l);
	return l;
}

static int link_connect(struct forward_link *l, const struct forward_call *call,
			int64_t now_us)
{
	struct rpc_conn_ops ops = { on_link_record, on_link_lost, l,
				    ANSWER_BYTES_MAX };
	int fd;

	if (l->conn)
		return 1;
	fd = sock_start_connect(call->address, call->port);
	if (fd >= 0)
		l->conn = rpc_conn_new(l->relay->poller, fd, &ops);
	l->heard_us = now_us;
	if (l->conn)
		timer_queue_arm(duty_timers(l->relay->duty), &l->connect_timer,
				now_us + CONNECT_TIMEOUT_MS * US_PER_MS,
				on_connect_timeout, l);
	return l->conn != NULL;
}

/* Sends one call on @l; returns its transaction ID, or 0. */
static uint32_t link_send(struct forward_link *l, uint32_t procedure,
			  xdrproc_t encode, void *args)
{
	uint32_t xid = ++l->relay->last_xid;
	size_t before = rpc_conn_unsent_bytes(l->conn);

	if (!peer_rpc_add_call(rpc_conn_output(l->conn), xid, procedure, encode,
			       args))
		return 0;
	l->added_bytes += rpc_conn_unsent_bytes(l->conn) - before;
	metric_add(METRIC_PEER_MESSAGES_SENT, 1);
	metric_add(METRIC_PEER_SENT_BYTES,
		   rpc_conn_unsent_bytes(l->conn) - before);
	return xid;
}

static void start_call(struct relay *r, const struct forward_call *call,
		       int64_t now_us)
{
	struct forward_link *l = get_link(r, call->address, call->port);
	struct link_call *c = util_alloc(1, sizeof(*c));
	peer_forward x;

	if (!peer_msg_from_forward(call->request, &x) ||
	    !link_connect(l, call, now_us)) {
		free(c);
		push_reply(r, call->call_id, ERR_PEER_RPC, 1, NULL);
		return;
	}
	*c = (struct link_call){ .call_id = call->call_id,
				 .offset_bytes = l->added_bytes,
				 .sent_us = now_us };
	c->xid = link_send(l, FORWARD, (xdrproc_t)xdr_peer_forward, &x);
	if (!c->xid) {
		free(c);
		push_reply(r, call->call_id, ERR_PEER_RPC, 1, NULL);
		return;
	}
	g_hash_table_insert(l->calls, &c->xid, c);
	rpc_conn_flush(l->conn);
}

static gboolean has_call_id(gpointer key, gpointer value, gpointer call_id)
{
	const struct link_call *c = value;

	return c->call_id == *(uint64_t *)call_id;
}

static void cancel_call(struct relay *r, struct forward_call *call,
			int64_t now_us)
{
	struct forward_link *l = get_link(r, call->address, call->port);
	struct link_call *c =
		g_hash_table_find(l->calls, has_call_id, &call->call_id);
	u_int xid;

	if (!c)
		return;
	xid = c->xid;
	if (now_us - c->sent_us >= SILENT_US && l->heard_us < c->sent_us) {
		g_hash_table_remove(l->calls, &xid);
		metric_add(METRIC_SILENT_CONNECTIONS, 1);
		link_close(l);
		return;
	}
	g_hash_table_remove(l->calls, &xid);
	link_send(l, CANCEL_FORWARD, (xdrproc_t)xdr_u_int, &xid);
	rpc_conn_flush(l->conn);
}

void relay_forward_call(struct relay *r, struct forward_call *call,
			int64_t now_us)
{
	if (call->is_cancel)
		cancel_call(r, call, now_us);
	else
		start_call(r, call, now_us);
	forward_call_free(call);
}

static void set_forwarded_count(struct relay *r)
{
	r->forwarded_count = g_hash_table_size(r->forwarded);
}

static void add_forwarded(struct follower *f, struct forwarded *entry)
{
	g_hash_table_insert(f->forwarded, &entry->xid, entry);
	g_hash_table_insert(f->relay->forwarded, &entry->conn_id, entry);
	set_forwarded_count(f->relay);
}

/* Frees @entry. */
static void remove_forwarded(struct follower *f, struct forwarded *entry)
{
	g_hash_table_remove(f->forwarded, &entry->xid);
	g_hash_table_remove(f->relay->forwarded, &entry->conn_id);
	set_forwarded_count(f->relay);
}

static void drop_request(void *body)
{
	exchange_request_free(body);
}

int relay_forward_received(struct follower *f, uint32_t xid, XDR *x,
			   int64_t now_us)
{
	struct relay *r = f->relay;
	struct exchange_request *request = NULL;
	struct msg m = { MSG_EXCHANGE_REQUEST, NULL, drop_request };
	struct forwarded *entry;
	peer_forward forward = { 0 };
	struct err err = { 0 };

	if (xdr_peer_forward(x, &forward))
		request = peer_msg_to_forward(&forward, &err);
	xdr_free((xdrproc_t)xdr_peer_forward, &forward);
	if (!f->forwarded)
		f->forwarded = g_hash_table_new(g_int_hash, g_int_equal);
	if (!request || g_hash_table_contains(f->forwarded, &xid)) {
		exchange_request_free(request);
		return 0;
	}
	entry = util_alloc(1, sizeof(*entry));
	entry->conn_id = EXCHANGE_CONN_FORWARDED | ++r->last_forwarded_id;
	entry->follower = f->id;
	entry->xid = xid;
	request->conn_id = entry->conn_id;
	request->received_us = now_us;
	/* Counted before anybody can see it, for a host that is leaving. */
	add_forwarded(f, entry);
	m.body = request;
	if (ring_push(r->requests, &m) == ERR_OK)
		return 1;
	remove_forwarded(f, entry);
	exchange_request_free(request);
	return 0;
}

static void push_gone(struct relay *r, uint64_t conn_id)
{
	struct exchange_caller_gone *gone;
	struct msg m = { MSG_EXCHANGE_CALLER_GONE, NULL, free };

	if (r->is_freeing)
		return;
	gone = util_alloc(1, sizeof(*gone));
	gone->conn = conn_id;
	m.body = gone;
	if (ring_push(r->requests, &m) != ERR_OK)
		free(gone);
}

int relay_forward_cancelled(struct follower *f, XDR *x)
{
	struct forwarded *entry;
	u_int xid = 0;

	if (!xdr_u_int(x, &xid))
		return 0;
	entry = f->forwarded ? g_hash_table_lookup(f->forwarded, &xid) : NULL;
	/* The answer was sent before the cancellation arrived. */
	if (!entry)
		return 1;
	push_gone(f->relay, entry->conn_id);
	remove_forwarded(f, entry);
	return 1;
}

void relay_forward_lost(struct follower *f)
{
	GHashTableIter it;
	gpointer value;

	if (!f->forwarded)
		return;
	g_hash_table_iter_init(&it, f->forwarded);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct forwarded *entry = value;

		push_gone(f->relay, entry->conn_id);
		g_hash_table_remove(f->relay->forwarded, &entry->conn_id);
	}
	g_hash_table_destroy(f->forwarded);
	f->forwarded = NULL;
	set_forwarded_count(f->relay);
}

void relay_forward_answer(struct relay *r, struct exchange_answer *a)
{
	struct forwarded *entry =
		g_hash_table_lookup(r->forwarded, &a->conn_id);
	struct follower *f =
		entry ? g_hash_table_lookup(r->followers, &entry->follower)
		      : NULL;
	peer_forwarded x;

	/* The host that forwarded the request may have left meanwhile. */
	if (f) {
		peer_msg_from_answer(a, &x);
		if (peer_rpc_add_reply(rpc_conn_output(f->conn), entry->xid,
				       (xdrproc_t)xdr_peer_forwarded, &x)) {
			metric_add(METRIC_PEER_MESSAGES_SENT, 1);
			rpc_conn_flush(f->conn);
		}
		remove_forwarded(f, entry);
	}
	exchange_answer_free(a);
}

void relay_forward_init(struct relay *r)
{
	r->links =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	r->forwarded =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
}

void relay_forward_free(struct relay *r)
{
	g_hash_table_destroy(r->links);
	g_hash_table_destroy(r->forwarded);
}

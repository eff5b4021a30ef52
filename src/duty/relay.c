#include "duty/relay.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "base/poller.h"
#include "base/sock.h"
#include "codec/peer_rpc.h"
#include "codec/peer_msg.h"
#include "codec/peer_msg_state.h"
#include "duty/relay_internal.h"
#include "model/store_pos.h"

#define RING_CAPACITY 1024
#define LISTEN_QUEUE 128
/* Longest state: all keys of the largest deployment; see docs/CAPACITY.md. */
#define STATE_BYTES_MAX (16 * 1048576)
/* Longest call of a follower. */
#define CALL_BYTES_MAX 32768
/* Longest datagram received; it holds one list of target health. */
#define DATAGRAM_BYTES_MAX 1400
/*
 * The tree gives a host eight followers; when one of them fails, its followers
 * come to this host. A gatherer has a connection of each host that forwards.
 */
#define FOLLOWERS_MAX 2048
/* Time to connect, send and schedule, added to the hold time of a call. */
#define ANSWER_MARGIN_MS 400
/* A follower that leaves more than this unread is disconnected. */
#define UNSENT_BYTES_MAX (2 * STATE_BYTES_MAX)

void follow_request_free(struct follow_request *f)
{
	if (!f)
		return;
	free(f->reports);
	free(f);
}

void follower_call_free(struct follower_call *c)
{
	if (!c)
		return;
	free(c->reports);
	free(c);
}

void follow_result_free(struct follow_result *f)
{
	if (!f)
		return;
	store_update_free(f->update);
	free(f);
}

void follower_reply_free(struct follower_reply *r)
{
	if (!r)
		return;
	store_update_free(r->update);
	free(r);
}

static void drop_result(void *body)
{
	follow_result_free(body);
}

/* Ends the call in flight; takes ownership of @u, which is NULL on failure. */
static void end_call(struct relay *r, const struct err *err,
		     struct store_update *u)
{
	struct follow_result *f = util_alloc(1, sizeof(*f));
	struct msg m = { MSG_FOLLOW_RESULT, f, drop_result };

	memcpy(f->host, r->call_host, sizeof(f->host));
	f->sent_us = r->call_sent_us;
	f->update = u;
	if (!u) {
		f->err = *err;
		metric_add(METRIC_PEER_ERRORS, 1);
	}
	r->call_host[0] = '\0';
	timer_queue_cancel(duty_timers(r->duty), &r->call_timer);
	if (ring_push(r->control, &m) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "ring_full",
			  "state of another host dropped");
		follow_result_free(f);
	}
}

/* Closes the connection to the other host and fails the call in flight. */
static void fail_call(struct relay *r, const char *reason)
{
	struct err err = { 0 };

	rpc_conn_free(r->upstream);
	r->upstream = NULL;
	if (!r->call_host[0])
		return;
	err_set(&err, ERR_PEER_RPC, "%s: %s", r->call_host, reason);
	end_call(r, &err, NULL);
}

static void on_timeout(void *ctx, int64_t now_us)
{
	fail_call(ctx, "no answer in time");
}

static void on_upstream_lost(void *ctx, int64_t now_us)
{
	fail_call(ctx, "connection lost");
}

static void on_upstream_record(void *ctx, char *data, size_t len_bytes,
			       int64_t now_us)
{
	struct relay *r = ctx;
	struct peer_msg_state state = { 0 };
	struct store_update *u = NULL;
	struct err err = { 0 };
	uint32_t xid = 0;

	metric_add(METRIC_PEER_MESSAGES_RECEIVED, 1);
	metric_add(METRIC_PEER_RECEIVED_BYTES, len_bytes);
	if (peer_rpc_read_reply(data, len_bytes, &xid,
				(xdrproc_t)xdr_peer_msg_state, &state) &&
	    xid == r->call_xid && r->call_host[0])
		u = peer_msg_to_store_update(&state, r->call_sent_us, now_us,
					     &err);
	xdr_free((xdrproc_t)xdr_peer_msg_state, &state);
	if (u)
		end_call(r, NULL, u);
	else
		fail_call(r, "answer not understood");
}

/*
 * Connects to the host of @f, unless @upstream goes there already; 0 when it
 * cannot.
 */
static int connect_upstream(struct relay *r, const struct follow_request *f)
{
	struct rpc_conn_ops ops = { on_upstream_record, on_upstream_lost, r,
				    STATE_BYTES_MAX };
	int fd;

	if (r->upstream && r->upstream_port == f->port &&
	    strcmp(r->upstream_address, f->address) == 0)
		return 1;
	rpc_conn_free(r->upstream);
	r->upstream = NULL;
	fd = sock_start_connect(f->address, f->port);
	if (fd >= 0)
		r->upstream = rpc_conn_new(r->poller, fd, &ops);
	memcpy(r->upstream_address, f->address, sizeof(r->upstream_address));
	r->upstream_port = f->port;
	return r->upstream != NULL;
}

static int add_call(struct relay *r, const struct follow_request *f)
{
	peer_rollout *evidence CLEANUP_FREE =
		util_alloc(f->report_count, sizeof(*evidence));
	struct peer_msg_follow call = {
		.args = { store_pos_rev(f->rev),
			  f->hold_ms,
			  { f->report_count, evidence } },
		.era = store_pos_era(f->rev),
	};
	uint32_t i;

	for (i = 0; i < f->report_count; i++)
		peer_msg_from_rollout_report(&f->reports[i], &evidence[i]);
	r->call_xid = ++r->last_xid;
	return peer_rpc_add_call(rpc_conn_output(r->upstream), r->call_xid,
				 FOLLOW_STATE, (xdrproc_t)xdr_peer_msg_follow,
				 &call);
}

static void start_call(struct relay *r, const struct follow_request *f,
		       int64_t now_us)
{
	memcpy(r->call_host, f->host, sizeof(r->call_host));
	r->call_sent_us = now_us;
	if (!connect_upstream(r, f) || !add_call(r, f)) {
		fail_call(r, "cannot connect");
		return;
	}
	metric_add(METRIC_PEER_MESSAGES_SENT, 1);
	metric_add(METRIC_PEER_SENT_BYTES, rpc_conn_unsent_bytes(r->upstream));
	timer_queue_arm(duty_timers(r->duty), &r->call_timer,
			now_us + ((int64_t)f->hold_ms + ANSWER_MARGIN_MS) *
					 US_PER_MS,
			on_timeout, r);
	rpc_conn_flush(r->upstream);
}

static void on_follower_lost(void *ctx, int64_t now_us)
{
	struct follower *f = ctx;

	/* Frees @f; a later reply to its call finds no connection. */
	g_hash_table_remove(f->relay->followers, &f->id);
}

static void follower_free(gpointer p)
{
	struct follower *f = p;

	relay_forward_lost(f);
	rpc_conn_free(f->conn);
	free(f);
}

static void drop_call(void *body)
{
	follower_call_free(body);
}

/* NULL when a report in @args is refused. */
static struct follower_call *make_call(const struct follower *f, uint32_t xid,
				       const struct peer_msg_follow *m,
				       int64_t now_us)
{
	const peer_follow_args *args = &m->args;
	struct follower_call *call = util_alloc(1, sizeof(*call));
	uint32_t n = args->evidence.evidence_len;
	uint32_t i;

	*call = (struct follower_call){ .conn = f->id,
					.xid = xid,
					.rev = store_pos(m->era, args->rev),
					.has_no_era = !m->has_era,
					.hold_ms = args->hold_ms,
					.received_us = now_us };
	call->reports = util_alloc(n, sizeof(call->reports[0]));
	for (i = 0; i < n; i++) {
		if (!peer_msg_to_rollout_report(&args->evidence.evidence_val[i],
						&call->reports[i])) {
			follower_call_free(call);
			return NULL;
		}
		call->report_count++;
	}
	return call;
}

static int push_call(struct follower *f, struct follower_call *call)
{
	struct msg m = { MSG_FOLLOWER_CALL, call, drop_call };

	if (!call)
		return 0;
	if (ring_push(f->relay->control, &m) == ERR_OK)
		return 1;
	log_event(LOG_LEVEL_ERROR, "ring_full", "call of a follower dropped");
	follower_call_free(call);
	return 0;
}

/* FOLLOW_STATE of a host; 0 when it is not valid. */
static int take_follow_call(struct follower *f, uint32_t xid, XDR *x,
			    int64_t now_us)
{
	struct peer_msg_follow args = { 0 };
	int ok = !f->is_waiting && xdr_peer_msg_follow(x, &args) &&
		 args.args.rev <= STORE_REV_MAX &&
		 push_call(f, make_call(f, xid, &args, now_us));

	xdr_free((xdrproc_t)xdr_peer_msg_follow, &args);
	f->is_waiting |= ok;
	return ok;
}

static void on_follower_record(void *ctx, char *data, size_t len_bytes,
			       int64_t now_us)
{
	struct follower *f = ctx;
	uint32_t xid = 0;
	uint32_t procedure = 0;
	XDR x;
	int ok;

	metric_add(METRIC_PEER_MESSAGES_RECEIVED, 1);
	metric_add(METRIC_PEER_RECEIVED_BYTES, len_bytes);
	if (!peer_rpc_read_call(data, len_bytes, &x, &xid, &procedure))
		ok = 0;
	else if (procedure == FORWARD)
		ok = relay_forward_received(f, xid, &x, now_us);
	else if (procedure == CANCEL_FORWARD)
		ok = relay_forward_cancelled(f, &x);
	else
		ok = procedure == FOLLOW_STATE &&
		     take_follow_call(f, xid, &x, now_us);
	xdr_destroy(&x);
	if (ok)
		return;
	metric_add(METRIC_PEER_ERRORS, 1);
	on_follower_lost(f, now_us);
}

static void add_follower(struct relay *r, int fd)
{
	struct follower *f = util_alloc(1, sizeof(*f));
	struct rpc_conn_ops ops = { on_follower_record, on_follower_lost, f,
				    CALL_BYTES_MAX };

	f->relay = r;
	f->id = ++r->next_id;
	f->conn = rpc_conn_new(r->poller, fd, &ops);
	if (!f->conn) {
		free(f);
		return;
	}
	g_hash_table_insert(r->followers, &f->id, f);
}

static void on_listener(void *ctx, uint32_t events, int64_t now_us)
{
	struct relay *r = ctx;
	int fd = accept4(r->listener.fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0) {
		if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
			log_event(LOG_LEVEL_ERROR, "accept_failed", "%s",
				  strerror(errno));
		return;
	}
	if (g_hash_table_size(r->followers) >= FOLLOWERS_MAX) {
		/* The refused host then follows another one. */
		close(fd);
		return;
	}
	add_follower(r, fd);
}

static void answer(struct relay *r, const struct follower_reply *reply,
		   int64_t now_us)
{
	struct follower *f = g_hash_table_lookup(r->followers, &reply->conn);
	struct peer_msg_state state;

	if (!f)
		return;
	f->is_waiting = 0;
	peer_msg_from_store_update(reply->update, reply->received_us, now_us,
				   &state);
	if (peer_rpc_add_reply(rpc_conn_output(f->conn), reply->xid,
			       (xdrproc_t)xdr_peer_msg_state, &state) &&
	    rpc_conn_unsent_bytes(f->conn) <= UNSENT_BYTES_MAX) {
		metric_add(METRIC_PEER_MESSAGES_SENT, 1);
		metric_add(METRIC_PEER_SENT_BYTES,
			   rpc_conn_unsent_bytes(f->conn));
		rpc_conn_flush(f->conn);
	} else {
		metric_add(METRIC_PEER_ERRORS, 1);
		on_follower_lost(f, now_us);
	}
	peer_msg_state_free(&state);
}

static void send_health(struct relay *r, const struct health_datagram *d)
{
	peer_target targets[TARGET_HEALTH_MAX];
	peer_health health;
	struct buf out CLEANUP_BUF = { 0 };
	struct sockaddr_storage sa;
	socklen_t len = addr_parse(d->address, d->port, &sa);

	peer_msg_from_health(&d->health, targets, &health);
	if (!len ||
	    !peer_rpc_add_call(&out, ++r->last_xid,
			       d->is_from_root ? TELL_HEALTH : REPORT_HEALTH,
			       (xdrproc_t)xdr_peer_health, &health) ||
	    sendto(r->datagrams.fd, out.data + PEER_RPC_MARK_BYTES,
		   out.len_bytes - PEER_RPC_MARK_BYTES, MSG_DONTWAIT,
		   (struct sockaddr *)&sa, len) < 0) {
		/* Not repeated: the next period sends another datagram. */
		metric_add(METRIC_PEER_ERRORS, 1);
		return;
	}
	metric_add(METRIC_PEER_MESSAGES_SENT, 1);
	metric_add(METRIC_PEER_SENT_BYTES, out.len_bytes - PEER_RPC_MARK_BYTES);
}

static void take_datagram(struct relay *r, char *data, size_t len_bytes)
{
	struct health_datagram *d;
	struct msg m = { MSG_HEALTH_RECEIVED, NULL, free };
	peer_health health = { 0 };
	uint32_t xid = 0;
	uint32_t procedure = 0;
	XDR x;
	int ok = peer_rpc_read_call(data, len_bytes, &x, &xid, &procedure) &&
		 (procedure == TELL_HEALTH || procedure == REPORT_HEALTH) &&
		 xdr_peer_health(&x, &health);

	metric_add(METRIC_PEER_MESSAGES_RECEIVED, 1);
	metric_add(METRIC_PEER_RECEIVED_BYTES, len_bytes);
	if (ok) {
		d = util_alloc(1, sizeof(*d));
		d->is_from_root = procedure == TELL_HEALTH;
		peer_msg_to_health(&health, &d->health);
		m.body = d;
		if (ring_push(r->control, &m) != ERR_OK)
			free(d);
	} else {
		metric_add(METRIC_PEER_ERRORS, 1);
	}
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_peer_health, &health);
}

static void on_datagram(void *ctx, uint32_t events, int64_t now_us)
{
	struct relay *r = ctx;
	char data[DATAGRAM_BYTES_MAX];
	ssize_t n = recv(r->datagrams.fd, data, sizeof(data), MSG_DONTWAIT);

	if (n > 0)
		take_datagram(r, data, (size_t)n);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct relay *r = ctx;

	switch (m->type) {
	case MSG_FOLLOW_REQUEST:
		start_call(r, m->body, now_us);
		follow_request_free(m->body);
		break;
	case MSG_HEALTH_SEND:
		send_health(r, m->body);
		free(m->body);
		break;
	case MSG_FORWARD_CALL:
		relay_forward_call(r, m->body, now_us);
		break;
	case MSG_EXCHANGE_ANSWER:
		relay_forward_answer(r, m->body);
		break;
	case MSG_FOLLOWER_REPLY:
		answer(r, m->body, now_us);
		follower_reply_free(m->body);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
		break;
	}
}

static void run(void *ctx, struct duty *d)
{
	struct relay *r = ctx;

	duty_poll_loop(d, r->poller, on_message, r);
}

/* A socket bound to @address and @port, or -1. */
static int bound_socket(const char *address, uint16_t port, int type)
{
	struct sockaddr_storage sa;
	socklen_t len = addr_parse(address, port, &sa);
	int one = 1;
	int fd;

	if (!len)
		return -1;
	fd = socket(sa.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, len) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Opens the TCP listener and the UDP socket at the same port number. */
static enum err_code open_sockets(struct relay *r, const char *address,
				  uint16_t port, struct err *err)
{
	int tcp = bound_socket(address, port, SOCK_STREAM);
	int udp = tcp < 0 ? -1
			  : bound_socket(address, addr_local_port(tcp),
					 SOCK_DGRAM);

	r->listener =
		(struct poller_item){ .fd = tcp, .fn = on_listener, .ctx = r };
	r->datagrams =
		(struct poller_item){ .fd = udp, .fn = on_datagram, .ctx = r };
	if (tcp < 0 || udp < 0 || listen(tcp, LISTEN_QUEUE) < 0)
		return err_set(err, ERR_IO, "cannot listen on %s:%u: %s",
			       address, port, strerror(errno));
	if (poller_add(r->poller, &r->datagrams, EPOLLIN, err) != ERR_OK)
		return err->code;
	return poller_add(r->poller, &r->listener, EPOLLIN, err);
}

struct relay *relay_new(const char *address, uint16_t port, struct err *err)
{
	struct relay *r = util_alloc(1, sizeof(*r));

	r->listener.fd = -1;
	r->datagrams.fd = -1;
	relay_forward_init(r);
	r->followers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     follower_free);
	r->poller = poller_new(err);
	if (r->poller)
		r->duty = duty_new("relay", RING_CAPACITY, poller_wake,
				   r->poller, err);
	if (!r->duty || open_sockets(r, address, port, err) != ERR_OK) {
		relay_free(r);
		return NULL;
	}
	return r;
}

enum err_code relay_start(struct relay *r, struct ring *control,
			  struct ring *requests, struct err *err)
{
	r->control = control;
	r->requests = requests;
	return duty_start_loop(r->duty, run, r, err);
}

struct ring *relay_ring(struct relay *r)
{
	return duty_ring(r->duty);
}

uint32_t relay_forwarded_count(struct relay *r)
{
	return r->forwarded_count;
}

uint16_t relay_port(const struct relay *r)
{
	return addr_local_port(r->listener.fd);
}

void relay_stop(struct relay *r)
{
	duty_stop(r->duty);
	duty_join(r->duty);
}

void relay_free(struct relay *r)
{
	if (!r)
		return;
	r->is_freeing = 1;
	if (r->duty)
		timer_queue_cancel(duty_timers(r->duty), &r->call_timer);
	rpc_conn_free(r->upstream);
	g_hash_table_destroy(r->followers);
	relay_forward_free(r);
	if (r->listener.fd >= 0)
		close(r->listener.fd);
	if (r->datagrams.fd >= 0)
		close(r->datagrams.fd);
	duty_free(r->duty);
	poller_free(r->poller);
	free(r);
}

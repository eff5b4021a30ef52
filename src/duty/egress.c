#include "duty/egress.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "base/poller.h"
#include "base/sock.h"
#include "codec/http1.h"
#include "decide/reuse.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "platform/platform_http.h"

#define RING_CAPACITY 16384
#define READ_BYTES 16384
#define HEAD_BYTES_MAX 65536
#define BODY_BYTES_MAX (4 * 1048576)
/* Longest time to connect; a reachable target accepts within a few ms. */
#define CONNECT_TIMEOUT_MS 400
/* Idle time after which a connection is closed if the target states none. */
#define IDLE_TIMEOUT_MS_DEFAULT 5000
/*
 * An idle connection is closed this long before the target would close it, so
 * that no request is sent while the target closes it; if the target keeps it
 * for no more than twice this long, after half of that time.
 */
#define IDLE_MARGIN_MS 500
/*
 * A request that must not run twice cannot be repeated when the target has
 * closed the idle connection, so it is not sent on one that was idle longer.
 */
#define ONCE_IDLE_MS_MAX 500
/*
 * Bytes of unfinished answers on all connections together. Beyond that the
 * call with the longest one fails, so that targets which send without end do
 * not use up the memory of a small host.
 */
#define BUFFERED_BYTES_MAX (32 * 1048576)
/* TCP keep-alive: idle time before the first probe, also the probe interval. */
#define KEEPALIVE_S 1
/* Probes without an answer after which a connection counts as broken. */
#define KEEPALIVE_PROBES 2

/* Open connections to one target; freed with the last of them. */
struct conn_pool {
	char target_id[WIRE_ID_BYTES];
	uint32_t open_count;
	/* Idle connections, the most recently used first. */
	TAILQ_HEAD(idle_list, conn) idle;
};

enum conn_state { CONN_CONNECTING, CONN_BUSY, CONN_IDLE };

struct conn {
	struct egress *egress;
	struct conn_pool *pool;
	enum conn_state state;
	struct poller_item item;
	struct http1_reader h1;
	struct buf out;
	/* Bytes of @out that the socket has taken. */
	size_t out_sent_bytes;
	struct reuse reuse;
	/* The call in flight; NULL while idle. */
	struct target_call *call;
	/* Time at which the latest request was sent. */
	int64_t sent_us;
	/* Time since which the connection has been idle, when it is. */
	int64_t idle_since_us;
	/* The connection is closed after it was idle for this long. */
	uint32_t idle_timeout_ms;
	/* Bytes of the unfinished answer in @h1. */
	size_t buffered_bytes;
	/* End of the time to connect, of the call or of the idle time. */
	struct timer_entry timer;
	/* Place in the pool's list of idle connections. */
	TAILQ_ENTRY(conn) idle_link;
};

struct egress {
	struct duty *duty;
	struct poller *poller;
	struct ring *replies;
	/* Target ID to struct conn_pool. */
	GHashTable *pools;
	/* Call ID to the struct conn that carries the call. */
	GHashTable *calls;
	/* Sum of conn.buffered_bytes. */
	size_t buffered_bytes;
	/* Buffer that all connections receive into. */
	char scratch[READ_BYTES];
};

static struct timer_queue *timers(struct conn *c)
{
	return duty_timers(c->egress->duty);
}

static void drop_reply(void *body)
{
	target_reply_free(body);
}

static void push_reply(struct egress *e, struct target_reply *r)
{
	struct msg m = { MSG_TARGET_REPLY, r, drop_reply };

	if (ring_push(e->replies, &m) == ERR_OK)
		return;
	/* Unexpected: the ring holds more messages than calls may be open. */
	log_event(LOG_LEVEL_ERROR, "ring_full", "target answer dropped");
	target_reply_free(r);
}

static void reply_code(struct egress *e, uint64_t call_id, enum err_code code,
		       int not_run)
{
	struct target_reply *r = util_alloc(1, sizeof(*r));

	r->call_id = call_id;
	r->code = code;
	r->not_run = (uint32_t)not_run;
	r->warmup_left_ms = -1;
	push_reply(e, r);
}

static void set_buffered(struct conn *c, size_t bytes)
{
	c->egress->buffered_bytes += bytes - c->buffered_bytes;
	c->buffered_bytes = bytes;
}

/* Frees the call that @c carries and forgets its ID. */
static void detach_call(struct conn *c)
{
	g_hash_table_remove(c->egress->calls, &c->call->call_id);
	target_call_free(c->call);
	c->call = NULL;
}

static void conn_free(struct conn *c)
{
	struct egress *e = c->egress;
	struct conn_pool *p = c->pool;

	if (c->call)
		detach_call(c);
	if (c->state == CONN_IDLE)
		TAILQ_REMOVE(&p->idle, c, idle_link);
	timer_queue_cancel(timers(c), &c->timer);
	poller_remove(e->poller, &c->item);
	close(c->item.fd);
	set_buffered(c, 0);
	http1_clear(&c->h1);
	buf_free(&c->out);
	reuse_clear(&c->reuse);
	free(c);
	if (--p->open_count == 0)
		g_hash_table_remove(e->pools, p->target_id);
}

/* Closes the connection; the call on it, if any, fails with @code. */
static void conn_fail(struct conn *c, enum err_code code)
{
	if (c->call)
		reply_code(c->egress, c->call->call_id, code,
			   c->state == CONN_CONNECTING);
	conn_free(c);
}

static void on_idle_timeout(void *ctx, int64_t now_us)
{
	conn_free(ctx);
}

static void on_call_timeout(void *ctx, int64_t now_us)
{
	struct conn *c = ctx;

	if (c->state == CONN_CONNECTING) {
		conn_fail(c, ERR_TARGET_CONNECT);
		return;
	}
	metric_add(METRIC_SILENT_CONNECTIONS, 1);
	conn_fail(c, ERR_TARGET_TIMEOUT);
}

static void make_idle(struct conn *c, int64_t now_us)
{
	uint32_t timeout_ms = c->idle_timeout_ms;

	if (c->call->idle_timeout_ms)
		timeout_ms = util_min_u32(timeout_ms, c->call->idle_timeout_ms);
	detach_call(c);
	http1_reset(&c->h1);
	set_buffered(c, 0);
	c->state = CONN_IDLE;
	c->idle_since_us = now_us;
	TAILQ_INSERT_HEAD(&c->pool->idle, c, idle_link);
	timer_queue_arm(timers(c), &c->timer,
			now_us + (int64_t)timeout_ms * US_PER_MS,
			on_idle_timeout, c);
}

static void update_idle_timeout(struct conn *c)
{
	uint32_t ms = platform_reply_idle_ms(&c->h1);

	if (ms)
		c->idle_timeout_ms =
			ms > 2 * IDLE_MARGIN_MS ? ms - IDLE_MARGIN_MS : ms / 2;
}

/* Hash of the answer's stamp; 0 if it has none. */
static uint64_t stamp_hash(const struct conn *c)
{
	const char *stamp = platform_reply_stamp(&c->h1);

	return stamp ? XXH3_64bits(stamp, strlen(stamp)) : 0;
}

/* Whose request ID the answer repeats. */
static enum reuse_id id_of_answer(const struct conn *c)
{
	const char *id = platform_reply_request_id(&c->h1);

	if (!id)
		return REUSE_ID_NONE;
	return strcmp(id, c->call->request_id) == 0 ? REUSE_ID_OWN
						    : REUSE_ID_OTHER;
}

/* The answer ends the call; @is_certain: it belongs to no earlier request. */
static void finish_call(struct conn *c, int is_certain, int64_t now_us)
{
	struct target_reply *r = util_alloc(1, sizeof(*r));

	r->call_id = c->call->call_id;
	platform_reply_decode(&c->h1, r);
	r->not_run = r->not_run && is_certain;
	r->service_us = now_us - c->sent_us;
	push_reply(c->egress, r);
	if (!c->reuse.is_written)
		metric_add(METRIC_EARLY_ANSWERS, 1);
}

/*
 * Takes the answer that was read; bytes behind it have come if @has_extra.
 * Returns 1 if the call waits on, and 0 when it has ended.
 */
static int on_answer(struct conn *c, int has_extra, int64_t now_us)
{
	struct reuse_answer answer = {
		.id = id_of_answer(c),
		.stamp = stamp_hash(c),
		.keep_alive = (uint32_t)http1_keep_alive(&c->h1),
		.has_extra = (uint32_t)has_extra,
	};
	enum reuse_step step = reuse_answered(&c->reuse, &answer);

	switch (step) {
	case REUSE_KEEP:
		finish_call(c, 1, now_us);
		update_idle_timeout(c);
		make_idle(c, now_us);
		return 0;
	case REUSE_CLOSE:
	case REUSE_DOUBT:
		if (step == REUSE_DOUBT)
			metric_add(METRIC_STRAY_ANSWERS, 1);
		finish_call(c, step == REUSE_CLOSE, now_us);
		conn_free(c);
		return 0;
	case REUSE_SKIP:
		metric_add(METRIC_STRAY_ANSWERS, 1);
		http1_reset(&c->h1);
		return 1;
	case REUSE_FAIL:
		metric_add(METRIC_STRAY_ANSWERS, 1);
		conn_fail(c, ERR_TARGET_ID);
		return 0;
	}
	return 0;
}

/* Fails the call whose unfinished answer is the longest one. */
static void drop_longest(struct egress *e)
{
	struct conn *longest = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct conn *c = value;

		if (!longest || c->buffered_bytes > longest->buffered_bytes)
			longest = c;
	}
	if (longest)
		conn_fail(longest, ERR_TARGET_SIZE);
}

static void parse_input(struct conn *c, const char *data, size_t len,
			int64_t now_us)
{
	struct egress *e = c->egress;
	size_t used = 0;

	do {
		used += http1_parse(&c->h1, data + used, len - used);
		if (c->h1.state == HTTP1_BAD) {
			conn_fail(c, c->h1.error == ERR_TOO_LARGE
					     ? ERR_TARGET_SIZE
					     : ERR_TARGET_CLOSED);
			return;
		}
		if (c->h1.state != HTTP1_COMPLETE) {
			set_buffered(c, c->h1.body.len_bytes +
						c->h1.field_text.len_bytes);
			if (e->buffered_bytes > BUFFERED_BYTES_MAX)
				drop_longest(e);
			return;
		}
		if (!on_answer(c, used < len, now_us))
			return;
	} while (used < len);
}

static void on_eof(struct conn *c, int64_t now_us)
{
	if (c->state != CONN_BUSY) {
		conn_fail(c, ERR_TARGET_CLOSED);
		return;
	}
	http1_eof(&c->h1);
	/* Nothing follows an answer that ends with the connection. */
	if (c->h1.state != HTTP1_COMPLETE || on_answer(c, 0, now_us))
		conn_fail(c, ERR_TARGET_CLOSED);
}

static void on_readable(struct conn *c, int64_t now_us)
{
	struct egress *e = c->egress;
	ssize_t n = recv(c->item.fd, e->scratch, READ_BYTES, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		conn_fail(c, ERR_TARGET_CLOSED);
		return;
	}
	if (n == 0) {
		on_eof(c, now_us);
		return;
	}
	if (c->state == CONN_IDLE) {
		/* The target sent bytes although no call is in flight. */
		metric_add(METRIC_STRAY_ANSWERS, 1);
		conn_free(c);
		return;
	}
	parse_input(c, e->scratch, (size_t)n, now_us);
}

/* Writes the rest of @out; returns 0 when the connection was freed. */
static int flush(struct conn *c)
{
	while (c->out_sent_bytes < c->out.len_bytes) {
		ssize_t n = send(c->item.fd, c->out.data + c->out_sent_bytes,
				 c->out.len_bytes - c->out_sent_bytes,
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			poller_set_events(c->egress->poller, &c->item,
					  EPOLLIN | EPOLLRDHUP | EPOLLOUT);
			return 1;
		}
		if (n < 0) {
			conn_fail(c, ERR_TARGET_CLOSED);
			return 0;
		}
		c->out_sent_bytes += (size_t)n;
		reuse_written(&c->reuse, c->out_sent_bytes == c->out.len_bytes);
	}
	poller_set_events(c->egress->poller, &c->item, EPOLLIN | EPOLLRDHUP);
	return 1;
}

static void send_call(struct conn *c, int64_t now_us)
{
	c->state = CONN_BUSY;
	c->sent_us = now_us;
	c->out.len_bytes = 0;
	c->out_sent_bytes = 0;
	reuse_begin(&c->reuse);
	http1_reset(&c->h1);
	c->h1.is_head_response = strcmp(c->call->message->method, "HEAD") == 0;
	platform_call_encode(c->call, &c->out);
	timer_queue_arm(timers(c), &c->timer, c->call->deadline_us,
			on_call_timeout, c);
	flush(c);
}

static void on_connected(struct conn *c, int64_t now_us)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(c->item.fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 ||
	    error) {
		conn_fail(c, ERR_TARGET_CONNECT);
		return;
	}
	send_call(c, now_us);
}

static void on_conn(void *ctx, uint32_t events, int64_t now_us)
{
	struct conn *c = ctx;

	if (c->state == CONN_CONNECTING) {
		on_connected(c, now_us);
		return;
	}
	if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
		on_readable(c, now_us);
		return;
	}
	if (events & EPOLLOUT)
		flush(c);
}

static void set_socket_options(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	sock_set_keepalive(fd, KEEPALIVE_S, KEEPALIVE_S, KEEPALIVE_PROBES);
}

static int open_socket(const struct target_call *call)
{
	int fd = sock_start_connect(call->address, call->port);

	if (fd >= 0)
		set_socket_options(fd);
	return fd;
}

static struct conn_pool *pool_of(struct egress *e, const char *id)
{
	struct conn_pool *p = g_hash_table_lookup(e->pools, id);

	if (p)
		return p;
	p = util_alloc(1, sizeof(*p));
	util_copy_str(p->target_id, sizeof(p->target_id), id);
	TAILQ_INIT(&p->idle);
	g_hash_table_insert(e->pools, p->target_id, p);
	return p;
}

static void connect_call(struct egress *e, struct target_call *call,
			 int64_t now_us)
{
	struct http1_limits limits = { HEAD_BYTES_MAX, BODY_BYTES_MAX };
	struct err err = { 0 };
	int fd = open_socket(call);
	struct conn *c;

	metric_add(METRIC_TARGET_CONNECTS, 1);
	if (fd < 0) {
		reply_code(e, call->call_id, ERR_TARGET_CONNECT, 1);
		target_call_free(call);
		return;
	}
	c = util_alloc(1, sizeof(*c));
	c->egress = e;
	c->pool = pool_of(e, call->target_id);
	c->pool->open_count++;
	c->call = call;
	c->idle_timeout_ms = IDLE_TIMEOUT_MS_DEFAULT;
	c->item = (struct poller_item){ .fd = fd, .fn = on_conn, .ctx = c };
	http1_init(&c->h1, HTTP1_RESPONSE, &limits);
	g_hash_table_insert(e->calls, &call->call_id, c);
	if (poller_add(e->poller, &c->item, EPOLLOUT, &err) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "connect_failed", "%s", err.detail);
		conn_fail(c, ERR_TARGET_CONNECT);
		return;
	}
	timer_queue_arm(timers(c), &c->timer,
			util_min_i64(now_us + CONNECT_TIMEOUT_MS * US_PER_MS,
				     call->deadline_us),
			on_call_timeout, c);
}

static struct conn *find_idle(struct egress *e, const struct target_call *call,
			      int64_t now_us)
{
	struct conn_pool *p = g_hash_table_lookup(e->pools, call->target_id);
	struct conn *c = p ? TAILQ_FIRST(&p->idle) : NULL;

	if (c && call->at_most_once &&
	    now_us - c->idle_since_us > ONCE_IDLE_MS_MAX * US_PER_MS)
		return NULL;
	return c;
}

/*
 * Closes the connection that was idle for longest if this host has as many
 * connections to the target as it may have.
 */
static void make_room(struct egress *e, const struct target_call *call)
{
	struct conn_pool *p = g_hash_table_lookup(e->pools, call->target_id);

	if (p && p->open_count >= call->connection_limit &&
	    !TAILQ_EMPTY(&p->idle))
		conn_free(TAILQ_LAST(&p->idle, idle_list));
}

static void start_call(struct egress *e, struct target_call *call,
		       int64_t now_us)
{
	struct conn *c = find_idle(e, call, now_us);

	if (!c) {
		make_room(e, call);
		connect_call(e, call, now_us);
		return;
	}
	TAILQ_REMOVE(&c->pool->idle, c, idle_link);
	c->call = call;
	g_hash_table_insert(e->calls, &call->call_id, c);
	send_call(c, now_us);
}

static void cancel_call(struct egress *e, struct target_call *call)
{
	struct conn *c = g_hash_table_lookup(e->calls, &call->call_id);

	if (c)
		conn_fail(c, ERR_CANCELLED);
	target_call_free(call);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct target_call *call = m->body;

	if (m->type != MSG_TARGET_CALL) {
		if (m->drop)
			m->drop(m->body);
		return;
	}
	if (call->is_cancel)
		cancel_call(ctx, call);
	else
		start_call(ctx, call, now_us);
}

static void run(void *ctx, struct duty *d)
{
	struct egress *e = ctx;

	duty_poll_loop(d, e->poller, on_message, e);
}

struct egress *egress_new(struct err *err)
{
	struct egress *e = util_alloc(1, sizeof(*e));

	e->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	e->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	e->poller = poller_new(err);
	if (e->poller)
		e->duty = duty_new("egress", RING_CAPACITY, poller_wake,
				   e->poller, err);
	if (!e->duty) {
		egress_free(e);
		return NULL;
	}
	return e;
}

enum err_code egress_start(struct egress *e, struct ring *replies,
			   struct err *err)
{
	e->replies = replies;
	return duty_start_loop(e->duty, run, e, err);
}

struct ring *egress_ring(struct egress *e)
{
	return duty_ring(e->duty);
}

void egress_stop(struct egress *e)
{
	duty_stop(e->duty);
	duty_join(e->duty);
}

static void free_conns(struct egress *e)
{
	GList *all = g_hash_table_get_values(e->calls);
	GList *pools = g_hash_table_get_values(e->pools);
	GList *at;
	struct conn *c;

	for (at = pools; at; at = at->next) {
		const struct conn_pool *p = at->data;

		TAILQ_FOREACH(c, &p->idle, idle_link)
		all = g_list_prepend(all, c);
	}
	/* The last connection of a pool frees the pool. */
	for (at = all; at; at = at->next)
		conn_free(at->data);
	g_list_free(all);
	g_list_free(pools);
}

void egress_free(struct egress *e)
{
	if (!e)
		return;
	free_conns(e);
	g_hash_table_destroy(e->pools);
	g_hash_table_destroy(e->calls);
	duty_free(e->duty);
	poller_free(e->poller);
	free(e);
}

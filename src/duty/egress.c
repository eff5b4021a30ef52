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

#include "base/addr.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "base/poller.h"
#include "base/sock.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "duty/target_conn.h"

#define RING_CAPACITY 16384
#define READ_BYTES 16384
/* Longest time to connect; a reachable target accepts within a few ms. */
#define CONNECT_TIMEOUT_MS 400
/*
 * A request that must not run twice cannot be repeated when the target has
 * closed the idle connection, so it is not sent on one that was idle longer.
 */
#define ONCE_IDLE_MS_MAX 500
/* Interval at which connections on which reading waits are looked at again. */
#define RESUME_MS 20
/* TCP keep-alive: idle time before the first probe, also the probe interval. */
#define KEEPALIVE_S 1
/* Probes without an answer after which a connection counts as broken. */
#define KEEPALIVE_PROBES 2

/* Open connections to one target; freed with the last of them. */
struct conn_pool {
	char target_id[WIRE_ID_BYTES];
	char service[NAME_BYTES];
	uint32_t open_count;
	/* Idle connections, the most recently used first. */
	TAILQ_HEAD(idle_list, conn) idle;
};

struct conn {
	struct egress *egress;
	struct conn_pool *pool;
	struct poller_item item;
	struct target_conn tc;
	/* Time since which the connection has been idle, when it is. */
	int64_t idle_since_us;
	/* 1 while it is in the pool's list of idle connections. */
	int is_listed;
	/* Memory that the unfinished answer holds. */
	size_t buffered_bytes;
	/* What the connection holds of the memory for messages. */
	struct memory_hold hold;
	/* 1: nothing is read until there is memory. */
	int is_paused;
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
	/* NULL: only unfinished answers are bounded. */
	struct memory_account *account;
	/* Armed while a connection is paused. */
	struct timer_entry resume_timer;
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

/* Replies that no connection can be opened for @call. */
static void reply_unsent(struct egress *e, const struct target_call *call)
{
	struct target_reply *r = util_alloc(1, sizeof(*r));

	r->call_id = call->call_id;
	r->code = ERR_TARGET_CONNECT;
	r->not_run = 1;
	r->warmup_left_ms = -1;
	push_reply(e, r);
}

/* The call that connection @ctx carries has ended. */
static void on_reply(void *ctx, struct target_reply *r)
{
	struct conn *c = ctx;

	g_hash_table_remove(c->egress->calls, &r->call_id);
	memory_hold_set(&r->hold, c->egress->account,
			r->body.cap_bytes + r->fields.cap_bytes);
	push_reply(c->egress, r);
}

static void set_buffered(struct conn *c, size_t bytes)
{
	c->egress->buffered_bytes += bytes - c->buffered_bytes;
	c->buffered_bytes = bytes;
}

static void unlist(struct conn *c)
{
	if (c->is_listed)
		TAILQ_REMOVE(&c->pool->idle, c, idle_link);
	c->is_listed = 0;
}

static void conn_free(struct conn *c)
{
	struct egress *e = c->egress;
	struct conn_pool *p = c->pool;

	if (c->tc.call)
		g_hash_table_remove(e->calls, &c->tc.call->call_id);
	unlist(c);
	timer_queue_cancel(timers(c), &c->timer);
	poller_remove(e->poller, &c->item);
	close(c->item.fd);
	set_buffered(c, 0);
	memory_hold_release(&c->hold);
	target_conn_clear(&c->tc);
	free(c);
	if (--p->open_count == 0)
		g_hash_table_remove(e->pools, p->target_id);
}

/* Closes the connection; the call on it, if any, fails with @code. */
static void conn_fail(struct conn *c, enum err_code code)
{
	target_conn_fail(&c->tc, code);
	conn_free(c);
}

static void on_idle_timeout(void *ctx, int64_t now_us)
{
	conn_free(ctx);
}

static void on_call_timeout(void *ctx, int64_t now_us)
{
	struct conn *c = ctx;

	if (c->tc.state == TARGET_CONN_CONNECTING) {
		conn_fail(c, ERR_TARGET_CONNECT);
		return;
	}
	metric_add(METRIC_SILENT_CONNECTIONS, 1);
	conn_fail(c, ERR_TARGET_TIMEOUT);
}

static void list_idle(struct conn *c, int64_t now_us)
{
	c->idle_since_us = now_us;
	c->is_listed = 1;
	TAILQ_INSERT_HEAD(&c->pool->idle, c, idle_link);
	timer_queue_arm(timers(c), &c->timer,
			now_us + (int64_t)c->tc.idle_timeout_ms * US_PER_MS,
			on_idle_timeout, c);
}

/* Number of @service among those that @services holds; adds it if needed. */
static uint32_t service_number(GHashTable *services, const char *service)
{
	gpointer number;

	if (g_hash_table_lookup_extended(services, service, NULL, &number))
		return GPOINTER_TO_UINT(number);
	number = GUINT_TO_POINTER(g_hash_table_size(services));
	g_hash_table_insert(services, (gpointer)service, number);
	return GPOINTER_TO_UINT(number);
}

/* The connection whose unfinished answer is given up; NULL: there is none. */
static struct conn *pick_answer(struct egress *e)
{
	uint32_t n = g_hash_table_size(e->calls);
	struct memory_claim *claims CLEANUP_FREE =
		util_alloc(n, sizeof(claims[0]));
	struct conn **conns CLEANUP_FREE = util_alloc(n, sizeof(conns[0]));
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t service_count;
	GHashTableIter it;
	gpointer value;
	uint32_t i = 0;

	g_hash_table_iter_init(&it, e->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		conns[i] = value;
		claims[i].service =
			service_number(services, conns[i]->pool->service);
		claims[i].bytes = conns[i]->buffered_bytes;
		i++;
	}
	service_count = g_hash_table_size(services);
	g_hash_table_destroy(services);
	return n ? conns[memory_pick(claims, n, service_count)] : NULL;
}

static void bound_answers(struct egress *e)
{
	while (e->buffered_bytes > memory_unfinished_max(e->account)) {
		struct conn *c = pick_answer(e);

		if (!c)
			return;
		conn_fail(c, ERR_TARGET_SIZE);
	}
}

/* Waits for input, if there is memory for it, and for @events. */
static void set_events(struct conn *c, uint32_t events)
{
	c->is_paused = !memory_may_read(c->egress->account, c->buffered_bytes);
	if (!c->is_paused)
		events |= EPOLLIN | EPOLLRDHUP;
	poller_set_events(c->egress->poller, &c->item, events);
}

static void on_resume(void *ctx, int64_t now_us);

static void arm_resume(struct egress *e, int64_t now_us)
{
	timer_queue_arm(duty_timers(e->duty), &e->resume_timer,
			now_us + RESUME_MS * US_PER_MS, on_resume, e);
}

/* Reads on where there is memory again. */
static void on_resume(void *ctx, int64_t now_us)
{
	struct egress *e = ctx;
	GHashTableIter it;
	gpointer value;
	int is_any = 0;

	g_hash_table_iter_init(&it, e->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct conn *c = value;

		if (c->is_paused)
			set_events(c, c->item.events & EPOLLOUT);
		is_any |= c->is_paused;
	}
	if (is_any)
		arm_resume(e, now_us);
}

/* Follows the connection's state after bytes or the end of the stream came. */
static void after_input(struct conn *c, int64_t now_us)
{
	struct egress *e = c->egress;

	if (c->tc.state == TARGET_CONN_CLOSED) {
		conn_free(c);
		return;
	}
	if (c->tc.state == TARGET_CONN_IDLE && !c->is_listed)
		list_idle(c, now_us);
	set_buffered(c, target_conn_buffered_bytes(&c->tc));
	memory_hold_set(&c->hold, e->account, target_conn_held_bytes(&c->tc));
	set_events(c, c->item.events & EPOLLOUT);
	if (c->is_paused && !e->resume_timer.armed_pos)
		arm_resume(e, now_us);
	bound_answers(e);
}

static void on_readable(struct conn *c, int64_t now_us)
{
	struct egress *e = c->egress;
	ssize_t n = recv(c->item.fd, e->scratch, READ_BYTES, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0)
		target_conn_fail(&c->tc, ERR_TARGET_CLOSED);
	else if (n == 0)
		target_conn_ended(&c->tc, now_us);
	else
		target_conn_received(&c->tc, e->scratch, (size_t)n, now_us);
	after_input(c, now_us);
}

/* Writes what the socket takes of the bytes to be sent. */
static void flush(struct conn *c)
{
	uint32_t events = 0;
	const char *data;
	size_t len;

	for (data = target_conn_unsent(&c->tc, &len); len > 0;
	     data = target_conn_unsent(&c->tc, &len)) {
		ssize_t n = send(c->item.fd, data, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0) {
			/*
			 * If the connection has failed, the poller reports it;
			 * an answer that came before is read first.
			 */
			if (errno == EAGAIN)
				events |= EPOLLOUT;
			break;
		}
		target_conn_written(&c->tc, (size_t)n);
	}
	set_events(c, events);
}

static void arm_deadline(struct conn *c)
{
	timer_queue_arm(timers(c), &c->timer, c->tc.call->deadline_us,
			on_call_timeout, c);
}

/* Writes the request that the connection has now, or closes it. */
static void after_send(struct conn *c)
{
	if (c->tc.state == TARGET_CONN_CLOSED) {
		conn_free(c);
		return;
	}
	arm_deadline(c);
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
	target_conn_connected(&c->tc, now_us);
	after_send(c);
}

static void on_conn(void *ctx, uint32_t events, int64_t now_us)
{
	struct conn *c = ctx;

	if (c->tc.state == TARGET_CONN_CONNECTING) {
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

static struct conn_pool *pool_of(struct egress *e,
				 const struct target_call *call)
{
	const char *id = call->target_id;
	struct conn_pool *p = g_hash_table_lookup(e->pools, id);

	if (p)
		return p;
	p = util_alloc(1, sizeof(*p));
	util_copy_str(p->target_id, sizeof(p->target_id), id);
	util_copy_str(p->service, sizeof(p->service), call->service);
	TAILQ_INIT(&p->idle);
	g_hash_table_insert(e->pools, p->target_id, p);
	return p;
}

static void connect_call(struct egress *e, struct target_call *call,
			 int64_t now_us)
{
	struct err err = { 0 };
	int fd = open_socket(call);
	struct conn *c;

	metric_add(METRIC_TARGET_CONNECTS, 1);
	if (fd < 0) {
		reply_unsent(e, call);
		target_call_free(call);
		return;
	}
	c = util_alloc(1, sizeof(*c));
	c->egress = e;
	c->pool = pool_of(e, call);
	c->pool->open_count++;
	c->item = (struct poller_item){ .fd = fd, .fn = on_conn, .ctx = c };
	target_conn_init(&c->tc, call, on_reply, c);
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
	unlist(c);
	g_hash_table_insert(e->calls, &call->call_id, c);
	target_conn_send(&c->tc, call, now_us);
	after_send(c);
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

void egress_set_account(struct egress *e, struct memory_account *a)
{
	e->account = a;
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

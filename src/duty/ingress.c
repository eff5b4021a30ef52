#include "duty/ingress.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "base/poller.h"
#include "base/series.h"
#include "decide/grace.h"
#include "duty/caller_conn.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "platform/platform_http.h"

#define RING_CAPACITY 4096
#define LISTEN_QUEUE 1024
#define READ_BYTES 16384
/* Connections accepted in a row before open ones are served again. */
#define ACCEPT_BATCH 32
/* Wait before the next attempt to accept when no connection can be added. */
#define ACCEPT_RETRY_MS 50
/*
 * When this host leaves, a connection that was accepted less than this long ago
 * and brought no request yet stays open for as long: its first request may be
 * on the way.
 */
#define FIRST_REQUEST_MS 500
/* Limits until a configuration is known. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT 262144
#define HEAD_TIMEOUT_MS_DEFAULT 3000
#define IDLE_TIMEOUT_MS_DEFAULT 15000
/* A connection is closed when an answer makes no progress for this long. */
#define WRITE_TIMEOUT_MS 10000
/*
 * After its last answer, a caller that is still sending has this long to read
 * the answer and to close the connection.
 */
#define LINGER_MS 500
/* Interval at which connections on which reading waits are looked at again. */
#define RESUME_MS 20
/* Callers that are refused for want of memory may try again after this time. */
#define MEMORY_RETRY_MS 1000

enum listener_kind {
	LISTENER_CALLER,
	LISTENER_READY,
	LISTENER_METRICS,
	LISTENER_COUNT
};

struct listener {
	struct ingress *in;
	enum listener_kind kind;
	struct poller_item item;
	/* Armed while no connection can be added. */
	struct timer_entry retry_timer;
};

struct conn {
	struct ingress *in;
	uint64_t id;
	enum listener_kind kind;
	struct poller_item item;
	struct caller_conn cc;
	/* Round trip to the caller as the kernel measures it; 0: unknown. */
	uint32_t rtt_us;
	/* Requests of this connection that were decoded. */
	uint32_t requests;
	/* What the connection holds of the memory for messages. */
	struct memory_hold hold;
	/* 1: nothing is read until there is memory. */
	int is_paused;
	int64_t accepted_us;
	/*
	 * Closes a connection that is idle, receives a request, sends an answer
	 * or lingers for too long. Not armed while an answer is awaited from
	 * the request duty.
	 */
	struct timer_entry timer;
};

struct ingress {
	struct duty *duty;
	struct poller *poller;
	struct ingress_options opt;
	struct listener listeners[LISTENER_COUNT];
	/* struct conn.id to struct conn, for all listeners. */
	GHashTable *conns;
	uint64_t next_id;
	/* Limits of callers; set by ingress_set_limits() on any thread. */
	_Atomic uint32_t head_bytes_max;
	_Atomic uint32_t body_bytes_max;
	_Atomic uint32_t head_timeout_ms;
	_Atomic uint32_t idle_timeout_ms;
	/* Open caller connections. */
	_Atomic uint32_t caller_count;
	/* 1 once MSG_LEAVE was handled. */
	_Atomic int has_left;
	/* 1 once ingress_drain() was called. */
	_Atomic int is_draining;
	/* 1 once MSG_CLOSE was handled: requests are refused. */
	int is_closing;
	/* Armed while a connection is paused. */
	struct timer_entry resume_timer;
	/* Buffer that all connections receive into. */
	char scratch[READ_BYTES];
};

static struct timer_queue *timers(struct conn *c)
{
	return duty_timers(c->in->duty);
}

static void conn_free(struct conn *c)
{
	struct ingress *in = c->in;

	if (c->kind == LISTENER_CALLER)
		atomic_fetch_sub(&in->caller_count, 1);
	timer_queue_cancel(timers(c), &c->timer);
	poller_remove(in->poller, &c->item);
	close(c->item.fd);
	g_hash_table_remove(in->conns, &c->id);
	memory_hold_release(&c->hold);
	caller_conn_clear(&c->cc);
	free(c);
}

static void push_caller_gone(struct conn *c)
{
	struct exchange_caller_gone *g = util_alloc(1, sizeof(*g));
	struct msg m = { MSG_EXCHANGE_CALLER_GONE, g, free };

	g->conn = c->id;
	if (ring_push(c->in->opt.requests, &m) != ERR_OK) {
		log_event(LOG_LEVEL_WARNING, "ring_full",
			  "closing of a caller connection not reported");
		free(g);
	}
}

/* Frees a connection that the caller closed or that has failed. */
static void conn_lost(struct conn *c)
{
	if (c->cc.state == CALLER_CONN_WAITING)
		push_caller_gone(c);
	conn_free(c);
}

static void on_timeout(void *ctx, int64_t now_us)
{
	conn_free(ctx);
}

static void arm_timeout(struct conn *c, int64_t now_us, uint32_t ms)
{
	timer_queue_arm(timers(c), &c->timer, now_us + (int64_t)ms * US_PER_MS,
			on_timeout, c);
}

static struct http1_limits limits_of(const struct ingress *in)
{
	return (struct http1_limits){ in->head_bytes_max, in->body_bytes_max };
}

/* 1 if bytes wait in the socket; their request is still to be served. */
static int has_input(const struct conn *c)
{
	char byte;

	return recv(c->item.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/*
 * 1 if no request is read any more after the one that is answered. What the
 * caller has sent ahead is: it was not told before that the connection ends.
 */
static int is_last_request(const struct conn *c)
{
	return c->in->is_draining && c->kind == LISTENER_CALLER &&
	       !has_input(c);
}

static void on_resume(void *ctx, int64_t now_us);

/*
 * Waits for input, if there is room and memory for it, for the end of the
 * stream, and for @events.
 */
static void set_events(struct conn *c, uint32_t events, int64_t now_us)
{
	struct ingress *in = c->in;
	size_t held_bytes = caller_conn_held_bytes(&c->cc);

	memory_hold_set(&c->hold, in->opt.account, held_bytes);
	c->is_paused = c->cc.state == CALLER_CONN_READING &&
		       !memory_may_read(in->opt.account, held_bytes);
	if (c->is_paused && !in->resume_timer.armed_pos)
		timer_queue_arm(timers(c), &in->resume_timer,
				now_us + RESUME_MS * US_PER_MS, on_resume, in);
	if (caller_conn_has_room(&c->cc) && !c->is_paused)
		events |= EPOLLIN;
	poller_set_events(in->poller, &c->item, events | EPOLLRDHUP);
}

/* Reads on where there is memory again. */
static void on_resume(void *ctx, int64_t now_us)
{
	struct ingress *in = ctx;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, in->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct conn *c = value;

		if (c->is_paused)
			set_events(c, 0, now_us);
	}
}

/* Writes what the socket takes of the answer; 0 if the connection has failed. */
static int flush(struct conn *c, int64_t now_us)
{
	const char *data;
	size_t len;

	for (data = caller_conn_unsent(&c->cc, &len); len > 0;
	     data = caller_conn_unsent(&c->cc, &len)) {
		ssize_t n = send(c->item.fd, data, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			set_events(c, EPOLLOUT, now_us);
			arm_timeout(c, now_us, WRITE_TIMEOUT_MS);
			return 1;
		}
		if (n < 0)
			return 0;
		caller_conn_written(&c->cc, (size_t)n, is_last_request(c));
	}
	set_events(c, 0, now_us);
	arm_timeout(c, now_us, c->in->idle_timeout_ms);
	return 1;
}

static void respond(struct conn *c, const struct exchange_answer *a)
{
	int is_last = c->kind == LISTENER_CALLER ? is_last_request(c)
						 : c->in->is_draining;

	caller_conn_answer(&c->cc, a, is_last);
}

static void refuse_stopping(struct conn *c)
{
	struct exchange_answer a = { .status = 503,
				     .code = ERR_STOPPING,
				     .retry_after_ms = GRACE_RETRY_MS };

	respond(c, &a);
}

static void refuse_full(struct conn *c)
{
	struct exchange_answer a = { .status = 503,
				     .code = ERR_OVERLOADED,
				     .retry_after_ms = MEMORY_RETRY_MS };

	metric_add(METRIC_MEMORY_REFUSALS, 1);
	respond(c, &a);
}

static void respond_error(struct conn *c, uint32_t status, enum err_code code)
{
	struct exchange_answer a = { .status = status, .code = code };

	respond(c, &a);
}

/* HTTP status for a request that @h refused. */
static uint32_t bad_status(const struct http1_reader *h)
{
	if (h->error != ERR_TOO_LARGE)
		return 400;
	return h->head_too_large ? 431 : 413;
}

static void refuse_input(struct conn *c)
{
	const struct http1_reader *h = &c->cc.h1;

	log_event(LOG_LEVEL_WARNING, "request_malformed",
		  "status %u, code %d, %u header bytes", bad_status(h),
		  (int)h->error, h->head_bytes);
	respond_error(c, bad_status(h), h->error);
}

static void answer_ready(struct conn *c)
{
	struct exchange_answer a = { .status = 200 };

	if (c->in->is_draining || !c->in->opt.is_ready(c->in->opt.ready_ctx)) {
		a.status = 503;
		a.code = c->in->is_draining ? ERR_STOPPING : ERR_NO_CONFIG;
	}
	respond(c, &a);
}

static void answer_metrics(struct conn *c)
{
	struct exchange_answer a = { .status = 200 };

	if (c->in->opt.account)
		metric_set(METRIC_MEMORY_HELD,
			   (uint64_t)c->in->opt.account->held_bytes);
	metric_write(&a.body);
	series_write(&a.body);
	buf_addf(&a.fields, "Content-Type: text/plain; version=0.0.4\r\n");
	respond(c, &a);
	buf_free(&a.body);
	buf_free(&a.fields);
}

static void drop_request(void *body)
{
	exchange_request_free(body);
}

static void forward(struct conn *c, int64_t now_us)
{
	struct exchange_request *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_EXCHANGE_REQUEST, r, drop_request };
	struct err err = { 0 };
	enum err_code code;

	r->conn_id = c->id;
	r->received_us = now_us;
	r->rtt_us = c->rtt_us;
	r->is_first_on_conn = c->requests++ == 0;
	if (platform_request_decode(&c->cc.h1, r, &err) != ERR_OK) {
		log_event(LOG_LEVEL_WARNING, "request_malformed", "%s",
			  err.detail);
		exchange_request_free(r);
		respond_error(c, 400, ERR_BAD_FIELD);
		return;
	}
	memory_hold_set(&r->message->hold, c->in->opt.account,
			r->message->body.cap_bytes +
				r->message->fields.cap_bytes);
	timer_queue_cancel(timers(c), &c->timer);
	code = ring_push(c->in->opt.requests, &m);
	if (code != ERR_OK) {
		exchange_request_free(r);
		respond_error(c, 503, code);
	}
}

/* Handles what was read: passes a request on, or answers it at once. */
static void on_request(struct conn *c, int64_t now_us)
{
	if (c->cc.h1.state == HTTP1_BAD)
		refuse_input(c);
	else if (c->kind == LISTENER_READY)
		answer_ready(c);
	else if (c->kind == LISTENER_METRICS)
		answer_metrics(c);
	else if (c->in->is_closing)
		refuse_stopping(c);
	else if (!memory_may_begin(c->in->opt.account))
		refuse_full(c);
	else
		forward(c, now_us);
}

/* Reads on; returns 1 if a request came. */
static int read_request(struct conn *c, int64_t now_us)
{
	struct http1_limits limits = limits_of(c->in);
	int was_idle = caller_conn_is_idle(&c->cc);

	if (!caller_conn_parse(&c->cc, &limits)) {
		if (was_idle && !caller_conn_is_idle(&c->cc))
			arm_timeout(c, now_us, c->in->head_timeout_ms);
		return 0;
	}
	on_request(c, now_us);
	return 1;
}

/* The answer is written; lets the caller read it before the socket is closed. */
static void linger(struct conn *c, int64_t now_us)
{
	shutdown(c->item.fd, SHUT_WR);
	poller_set_events(c->in->poller, &c->item, EPOLLIN);
	arm_timeout(c, now_us, c->in->is_closing ? 0 : LINGER_MS);
}

/* Goes on as far as the input and the socket allow. May free @c. */
static void advance(struct conn *c, int64_t now_us)
{
	for (;;) {
		switch (c->cc.state) {
		case CALLER_CONN_READING:
			if (read_request(c, now_us))
				break;
			set_events(c, 0, now_us);
			return;
		case CALLER_CONN_WAITING:
			set_events(c, 0, now_us);
			return;
		case CALLER_CONN_WRITING:
			if (!flush(c, now_us)) {
				conn_free(c);
				return;
			}
			if (c->cc.state == CALLER_CONN_WRITING)
				return;
			break;
		case CALLER_CONN_LINGERING:
			linger(c, now_us);
			return;
		case CALLER_CONN_CLOSED:
			conn_free(c);
			return;
		}
	}
}

static void on_readable(struct conn *c, int64_t now_us)
{
	ssize_t n = recv(c->item.fd, c->in->scratch, READ_BYTES, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		conn_lost(c);
		return;
	}
	caller_conn_received(&c->cc, c->in->scratch, (size_t)n);
	/* Nothing follows for a connection that lingers. */
	if (c->cc.state != CALLER_CONN_LINGERING)
		advance(c, now_us);
}

static void on_conn(void *ctx, uint32_t events, int64_t now_us)
{
	struct conn *c = ctx;

	if (events & EPOLLIN) {
		on_readable(c, now_us);
		return;
	}
	if (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) {
		conn_lost(c);
		return;
	}
	if (events & EPOLLOUT)
		advance(c, now_us);
}

static uint32_t measure_rtt_us(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
		return 0;
	return info.tcpi_rtt;
}

static void add_conn(struct listener *l, int fd, int64_t now_us)
{
	struct ingress *in = l->in;
	struct conn *c = util_alloc(1, sizeof(*c));
	struct err err = { 0 };
	int one = 1;

	c->in = in;
	c->id = ++in->next_id;
	c->kind = l->kind;
	c->accepted_us = now_us;
	c->item = (struct poller_item){ .fd = fd, .fn = on_conn, .ctx = c };
	caller_conn_init(&c->cc);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (l->kind == LISTENER_CALLER) {
		atomic_fetch_add(&in->caller_count, 1);
		c->rtt_us = measure_rtt_us(fd);
	}
	g_hash_table_insert(in->conns, &c->id, c);
	if (poller_add(in->poller, &c->item, EPOLLIN | EPOLLRDHUP, &err) !=
	    ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "accept_failed", "%s", err.detail);
		conn_free(c);
		return;
	}
	arm_timeout(c, now_us, in->idle_timeout_ms);
}

enum accept_result { ACCEPT_DONE, ACCEPT_NONE, ACCEPT_FAILED };

static enum accept_result accept_one(struct listener *l, int64_t now_us)
{
	int fd = accept4(l->item.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0) {
		add_conn(l, fd, now_us);
		return ACCEPT_DONE;
	}
	if (errno == EINTR || errno == ECONNABORTED)
		return ACCEPT_DONE;
	if (errno == EAGAIN)
		return ACCEPT_NONE;
	log_event(LOG_LEVEL_ERROR, "accept_failed", "%s", strerror(errno));
	return ACCEPT_FAILED;
}

static void on_accept_retry(void *ctx, int64_t now_us)
{
	struct listener *l = ctx;

	poller_set_events(l->in->poller, &l->item, EPOLLIN);
}

/* Waits before the next attempt; the listener would wake the poller at once. */
static void delay_accept(struct listener *l, int64_t now_us)
{
	poller_set_events(l->in->poller, &l->item, 0);
	timer_queue_arm(duty_timers(l->in->duty), &l->retry_timer,
			now_us + ACCEPT_RETRY_MS * US_PER_MS, on_accept_retry,
			l);
}

static int is_full(const struct listener *l)
{
	return l->kind == LISTENER_CALLER &&
	       g_hash_table_size(l->in->conns) >= l->in->opt.connections_max;
}

static void on_listener(void *ctx, uint32_t events, int64_t now_us)
{
	struct listener *l = ctx;
	enum accept_result result = ACCEPT_DONE;
	int i;

	for (i = 0; i < ACCEPT_BATCH && result == ACCEPT_DONE; i++)
		result = is_full(l) ? ACCEPT_FAILED : accept_one(l, now_us);
	if (result == ACCEPT_FAILED)
		delay_accept(l, now_us);
}

static void on_answer(struct ingress *in, struct exchange_answer *a,
		      int64_t now_us)
{
	struct conn *c = g_hash_table_lookup(in->conns, &a->conn_id);

	/* The caller may have closed the connection meanwhile. */
	if (c && c->cc.state == CALLER_CONN_WAITING) {
		respond(c, a);
		advance(c, now_us);
	}
	exchange_answer_free(a);
}

/* 1 if the first request on @c may be on the way. */
static int is_new(const struct conn *c, int64_t now_us)
{
	return !c->requests &&
	       now_us - c->accepted_us < FIRST_REQUEST_MS * US_PER_MS;
}

/*
 * Closes the caller connections that wait for a request, new ones soon. When the
 * process is about to end, those with a part of a request are closed as well.
 */
static void close_idle(struct ingress *in, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *idle = g_ptr_array_new();
	uint32_t i;

	g_hash_table_iter_init(&it, in->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct conn *c = value;

		if (c->kind != LISTENER_CALLER ||
		    c->cc.state != CALLER_CONN_READING || has_input(c))
			continue;
		if (!caller_conn_is_idle(&c->cc) && !in->is_closing)
			continue;
		if (is_new(c, now_us) && !in->is_closing)
			arm_timeout(c, now_us, FIRST_REQUEST_MS);
		else
			g_ptr_array_add(idle, c);
	}
	for (i = 0; i < idle->len; i++)
		conn_free(g_ptr_array_index(idle, i));
	g_ptr_array_free(idle, TRUE);
}

static void close_listener(struct ingress *in, struct listener *l)
{
	if (l->item.fd < 0)
		return;
	timer_queue_cancel(duty_timers(in->duty), &l->retry_timer);
	poller_remove(in->poller, &l->item);
	close(l->item.fd);
	l->item.fd = -1;
}

/*
 * Accepts all connections that wait in the listen queue, because closing the
 * listener resets those left in it.
 */
static void leave(struct ingress *in, int64_t now_us)
{
	struct listener *l = &in->listeners[LISTENER_CALLER];

	while (l->item.fd >= 0 && accept_one(l, now_us) == ACCEPT_DONE)
		;
	close_listener(in, l);
	close_idle(in, now_us);
	in->has_left = 1;
}

/* Has idle connections end by the idle time-out that holds now, if it is less. */
static void shorten_idle(struct ingress *in, int64_t now_us)
{
	int64_t due_us = now_us + (int64_t)in->idle_timeout_ms * US_PER_MS;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, in->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct conn *c = value;

		if (caller_conn_is_idle(&c->cc) && c->timer.due_us > due_us)
			arm_timeout(c, now_us, in->idle_timeout_ms);
	}
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct ingress *in = ctx;

	switch (m->type) {
	case MSG_EXCHANGE_ANSWER:
		on_answer(in, m->body, now_us);
		break;
	case MSG_CALLER_LIMITS:
		shorten_idle(in, now_us);
		break;
	case MSG_LEAVE:
		leave(in, now_us);
		break;
	case MSG_CLOSE:
		in->is_closing = 1;
		close_idle(in, now_us);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
		break;
	}
}

static void run(void *ctx, struct duty *d)
{
	struct ingress *in = ctx;

	duty_poll_loop(d, in->poller, on_message, in);
}

static enum err_code open_listener(struct ingress *in, enum listener_kind kind,
				   const struct ingress_endpoint *at,
				   struct err *err)
{
	struct listener *l = &in->listeners[kind];
	struct sockaddr_storage sa;
	socklen_t len = addr_parse(at->address, at->port, &sa);
	int one = 1;
	int fd;

	if (!len)
		return err_set(err, ERR_SETTING, "'%s' is not an IP address",
			       at->address);
	fd = socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	*l = (struct listener){
		.in = in,
		.kind = kind,
		.item = { .fd = fd, .fn = on_listener, .ctx = l }
	};
	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) < 0 ||
	    bind(fd, (struct sockaddr *)&sa, len) < 0 ||
	    listen(fd, LISTEN_QUEUE) < 0)
		return err_set(err, ERR_IO, "cannot listen on %s:%u: %s",
			       at->address, at->port, strerror(errno));
	return poller_add(in->poller, &l->item, EPOLLIN, err);
}

static enum err_code open_listeners(struct ingress *in, struct err *err)
{
	const struct ingress_endpoint *at[LISTENER_COUNT] = {
		[LISTENER_CALLER] = &in->opt.caller,
		[LISTENER_READY] = &in->opt.ready,
		[LISTENER_METRICS] = &in->opt.metrics,
	};
	int i;

	for (i = 0; i < LISTENER_COUNT; i++) {
		if (at[i]->port == 0)
			continue;
		if (open_listener(in, (enum listener_kind)i, at[i], err) !=
		    ERR_OK)
			return err->code;
	}
	return ERR_OK;
}

struct ingress *ingress_new(const struct ingress_options *o, struct err *err)
{
	struct ingress *in = util_alloc(1, sizeof(*in));
	int i;

	in->opt = *o;
	for (i = 0; i < LISTENER_COUNT; i++)
		in->listeners[i].item.fd = -1;
	in->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
	in->head_bytes_max = HEAD_BYTES_DEFAULT;
	in->body_bytes_max = BODY_BYTES_DEFAULT;
	in->head_timeout_ms = HEAD_TIMEOUT_MS_DEFAULT;
	in->idle_timeout_ms = IDLE_TIMEOUT_MS_DEFAULT;
	in->poller = poller_new(err);
	if (in->poller)
		in->duty = duty_new("ingress", RING_CAPACITY, poller_wake,
				    in->poller, err);
	if (!in->duty || open_listeners(in, err) != ERR_OK) {
		ingress_free(in);
		return NULL;
	}
	return in;
}

enum err_code ingress_start(struct ingress *in, struct err *err)
{
	return duty_start_loop(in->duty, run, in, err);
}

struct ring *ingress_ring(struct ingress *in)
{
	return duty_ring(in->duty);
}

void ingress_set_limits(struct ingress *in, const struct caller_limits *l)
{
	struct msg m = { MSG_CALLER_LIMITS, NULL, NULL };

	if (l->header_bytes_max)
		in->head_bytes_max = l->header_bytes_max;
	if (l->body_bytes_max)
		in->body_bytes_max = l->body_bytes_max;
	if (l->header_timeout_ms)
		in->head_timeout_ms = l->header_timeout_ms;
	if (l->idle_timeout_ms)
		in->idle_timeout_ms = l->idle_timeout_ms;
	if (ring_push(duty_ring(in->duty), &m) != ERR_OK)
		log_event(LOG_LEVEL_WARNING, "ring_full",
			  "idle connections keep their time-out");
}

void ingress_drain(struct ingress *in)
{
	in->is_draining = 1;
}

uint32_t ingress_caller_count(struct ingress *in)
{
	return in->caller_count;
}

int ingress_is_finished(struct ingress *in)
{
	return in->has_left && !in->caller_count;
}

void ingress_stop(struct ingress *in)
{
	duty_stop(in->duty);
	duty_join(in->duty);
}

static void free_conns(struct ingress *in)
{
	GList *all = g_hash_table_get_values(in->conns);
	GList *at;

	for (at = all; at; at = at->next)
		conn_free(at->data);
	g_list_free(all);
	g_hash_table_destroy(in->conns);
}

void ingress_free(struct ingress *in)
{
	int i;

	if (!in)
		return;
	if (in->duty)
		free_conns(in);
	else
		g_hash_table_destroy(in->conns);
	for (i = 0; i < LISTENER_COUNT; i++)
		close_listener(in, &in->listeners[i]);
	duty_free(in->duty);
	poller_free(in->poller);
	free(in);
}

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
#include "codec/http1.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "platform/platform_http.h"

#define RING_CAPACITY 4096
#define LISTEN_QUEUE 1024
#define READ_BYTES 16384
/* Connections taken per wake-up, so that open ones are served between. */
#define ACCEPT_BATCH 32
/* Limits before a configuration is known. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT 262144
#define HEAD_MS_DEFAULT 3000
#define IDLE_MS_DEFAULT 15000
/* Bytes of a next request kept while one is answered. */
#define AHEAD_BYTES_MAX 65536
/* Answer that the caller does not read is given up after this. */
#define WRITE_MS 10000

enum page { PAGE_CALLER, PAGE_READY, PAGE_METRICS, PAGE_COUNT };

struct listener {
	struct ingress *in;
	enum page page;
	struct poller_item item;
};

enum conn_state { CONN_READING, CONN_WAITING, CONN_WRITING };

struct conn {
	struct ingress *in;
	uint64_t id;
	enum page page;
	enum conn_state state;
	struct poller_item item;
	struct http1_reader h1;
	/* Read but not yet taken by h1. */
	struct buf ahead;
	struct buf out;
	size_t out_done;
	/* The connection ends once @out is written. */
	int closing;
	/* Round trip to the caller as the kernel measures it; 0: unknown. */
	uint32_t rtt_us;
	uint32_t requests;
	/* Armed while a head is incomplete or the connection is idle. */
	struct timer_entry timer;
};

struct ingress {
	struct duty *duty;
	struct poller *poller;
	struct ingress_options opt;
	struct listener listeners[PAGE_COUNT];
	GHashTable *conns;
	uint64_t next_id;
	_Atomic uint32_t head_bytes;
	_Atomic uint32_t body_bytes;
	_Atomic uint32_t head_ms;
	_Atomic uint32_t idle_ms;
	/* Open connections of callers. */
	_Atomic uint32_t callers;
	/* MSG_LEAVE was handled. */
	_Atomic int has_left;
	_Atomic int draining;
	char scratch[READ_BYTES];
};

static struct timer_queue *timers(struct conn *c)
{
	return duty_timers(c->in->duty);
}

static void conn_free(struct conn *c)
{
	struct ingress *in = c->in;

	if (c->page == PAGE_CALLER)
		atomic_fetch_sub(&in->callers, 1);
	timer_queue_cancel(timers(c), &c->timer);
	poller_remove(in->poller, &c->item);
	close(c->item.fd);
	g_hash_table_remove(in->conns, &c->id);
	http1_clear(&c->h1);
	buf_free(&c->ahead);
	buf_free(&c->out);
	free(c);
}

static void push_gone(struct conn *c)
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

/* The caller closed or broke the connection. */
static void conn_lost(struct conn *c)
{
	if (c->state == CONN_WAITING)
		push_gone(c);
	conn_free(c);
}

static void on_timeout(void *ctx, int64_t now_us)
{
	conn_free(ctx);
}

static void arm(struct conn *c, int64_t now_us, uint32_t ms)
{
	timer_queue_arm(timers(c), &c->timer, now_us + (int64_t)ms * US_PER_MS,
			on_timeout, c);
}

static int take_input(struct conn *c, int64_t now_us);

/* Returns 0 when the connection is gone. */
static int next_request(struct conn *c, int64_t now_us)
{
	if (c->closing || (c->in->draining && c->page == PAGE_CALLER)) {
		conn_free(c);
		return 0;
	}
	c->state = CONN_READING;
	http1_reset(&c->h1);
	c->h1.limits =
		(struct http1_limits){ c->in->head_bytes, c->in->body_bytes };
	arm(c, now_us, c->in->idle_ms);
	return c->ahead.len_bytes ? take_input(c, now_us) : 1;
}

static int flush(struct conn *c, int64_t now_us)
{
	while (c->out_done < c->out.len_bytes) {
		ssize_t n = send(c->item.fd, c->out.data + c->out_done,
				 c->out.len_bytes - c->out_done, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			poller_set_events(c->in->poller, &c->item,
					  EPOLLIN | EPOLLRDHUP | EPOLLOUT);
			arm(c, now_us, WRITE_MS);
			return 1;
		}
		if (n < 0) {
			conn_free(c);
			return 0;
		}
		c->out_done += (size_t)n;
	}
	c->out.len_bytes = 0;
	c->out_done = 0;
	poller_set_events(c->in->poller, &c->item, EPOLLIN | EPOLLRDHUP);
	return next_request(c, now_us);
}

static int respond(struct conn *c, const struct exchange_answer *a,
		   int64_t now_us)
{
	if (!http1_keep_alive(&c->h1) || c->in->draining)
		c->closing = 1;
	c->state = CONN_WRITING;
	platform_answer_encode(a, c->closing, &c->out);
	return flush(c, now_us);
}

static int respond_error(struct conn *c, uint32_t status, enum err_code code,
			 int64_t now_us)
{
	struct exchange_answer a = { .status = status, .error = code };

	return respond(c, &a, now_us);
}

static uint32_t bad_status(const struct http1_reader *h)
{
	if (h->error != ERR_TOO_LARGE)
		return 400;
	return h->head_too_large ? 431 : 413;
}

static int refuse_input(struct conn *c, int64_t now_us)
{
	log_event(LOG_LEVEL_WARNING, "request_malformed",
		  "status %u, code %d, %u header bytes", bad_status(&c->h1),
		  (int)c->h1.error, c->h1.head_bytes);
	c->closing = 1;
	return respond_error(c, bad_status(&c->h1), c->h1.error, now_us);
}

static int page_ready(struct conn *c, int64_t now_us)
{
	struct exchange_answer a = { .status = 200 };

	if (c->in->draining || !c->in->opt.is_ready(c->in->opt.ready_ctx)) {
		a.status = 503;
		a.error = c->in->draining ? ERR_STOPPING : ERR_NO_CONFIG;
	}
	return respond(c, &a, now_us);
}

static int page_metrics(struct conn *c, int64_t now_us)
{
	struct exchange_answer a = { .status = 200 };
	int alive;

	metric_write(&a.body);
	series_write(&a.body);
	buf_addf(&a.fields, "Content-Type: text/plain; version=0.0.4\r\n");
	alive = respond(c, &a, now_us);
	buf_free(&a.body);
	buf_free(&a.fields);
	return alive;
}

static void drop_request(void *body)
{
	exchange_request_free(body);
}

static int forward(struct conn *c, int64_t now_us)
{
	struct exchange_request *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_EXCHANGE_REQUEST, r, drop_request };
	struct err err = { 0 };
	enum err_code code;

	r->conn_id = c->id;
	r->received_us = now_us;
	r->rtt_us = c->rtt_us;
	r->is_first_on_conn = c->requests++ == 0;
	if (platform_request_decode(&c->h1, r, &err) != ERR_OK) {
		log_event(LOG_LEVEL_WARNING, "request_malformed", "%s",
			  err.detail);
		exchange_request_free(r);
		return respond_error(c, 400, ERR_BAD_FIELD, now_us);
	}
	timer_queue_cancel(timers(c), &c->timer);
	code = ring_push(c->in->opt.requests, &m);
	if (code != ERR_OK) {
		exchange_request_free(r);
		return respond_error(c, 503, code, now_us);
	}
	c->state = CONN_WAITING;
	return 1;
}

static int on_request(struct conn *c, int64_t now_us)
{
	switch (c->page) {
	case PAGE_READY:
		return page_ready(c, now_us);
	case PAGE_METRICS:
		return page_metrics(c, now_us);
	default:
		return forward(c, now_us);
	}
}

/* Feeds what was read to the parser; returns 0 when the connection is gone. */
static int take_input(struct conn *c, int64_t now_us)
{
	int was_idle = c->h1.state == HTTP1_IDLE;
	size_t used;

	if (c->state != CONN_READING)
		return 1;
	used = http1_parse(&c->h1, c->ahead.data, c->ahead.len_bytes);
	memmove(c->ahead.data, c->ahead.data + used, c->ahead.len_bytes - used);
	c->ahead.len_bytes -= used;
	if (c->h1.state == HTTP1_BAD)
		return refuse_input(c, now_us);
	if (c->h1.state == HTTP1_COMPLETE)
		return on_request(c, now_us);
	if (was_idle)
		arm(c, now_us, c->in->head_ms);
	return 1;
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
	buf_add(&c->ahead, c->in->scratch, (size_t)n);
	if (c->state != CONN_READING && c->ahead.len_bytes > AHEAD_BYTES_MAX) {
		log_event(LOG_LEVEL_WARNING, "caller_flood",
			  "%zu bytes sent ahead of an answer",
			  c->ahead.len_bytes);
		conn_lost(c);
		return;
	}
	take_input(c, now_us);
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
		flush(c, now_us);
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
	struct http1_limits limits = { in->head_bytes, in->body_bytes };
	struct conn *c = util_alloc(1, sizeof(*c));
	struct err err = { 0 };
	int one = 1;

	c->in = in;
	c->id = ++in->next_id;
	c->page = l->page;
	c->item = (struct poller_item){ .fd = fd, .fn = on_conn, .ctx = c };
	http1_init(&c->h1, HTTP1_REQUEST, &limits);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (l->page == PAGE_CALLER) {
		atomic_fetch_add(&in->callers, 1);
		c->rtt_us = measure_rtt_us(fd);
	}
	g_hash_table_insert(in->conns, &c->id, c);
	if (poller_add(in->poller, &c->item, EPOLLIN | EPOLLRDHUP, &err) !=
	    ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "accept_failed", "%s", err.detail);
		conn_free(c);
		return;
	}
	arm(c, now_us, in->idle_ms);
}

static void on_listener(void *ctx, uint32_t events, int64_t now_us)
{
	struct listener *l = ctx;
	int i;

	for (i = 0; i < ACCEPT_BATCH; i++) {
		int fd;

		if (l->page == PAGE_CALLER &&
		    g_hash_table_size(l->in->conns) >=
			    l->in->opt.connections_max)
			return;
		fd = accept4(l->item.fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			if (errno != EAGAIN && errno != EINTR &&
			    errno != ECONNABORTED)
				log_event(LOG_LEVEL_ERROR, "accept_failed",
					  "%s", strerror(errno));
			return;
		}
		add_conn(l, fd, now_us);
	}
}

static void on_answer(struct ingress *in, struct exchange_answer *a,
		      int64_t now_us)
{
	struct conn *c = g_hash_table_lookup(in->conns, &a->conn_id);

	/* The caller may have gone while the answer was on its way. */
	if (c && c->state == CONN_WAITING)
		respond(c, a, now_us);
	exchange_answer_free(a);
}

/* A request that is there but not read yet is served. */
static int has_input(const struct conn *c)
{
	char byte;

	return recv(c->item.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static void close_idle(struct ingress *in)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *idle = g_ptr_array_new();
	uint32_t i;

	g_hash_table_iter_init(&it, in->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct conn *c = value;

		if (c->page == PAGE_CALLER && c->state == CONN_READING &&
		    c->h1.state == HTTP1_IDLE && !has_input(c))
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
	poller_remove(in->poller, &l->item);
	close(l->item.fd);
	l->item.fd = -1;
}

/* Connections that wait to be accepted are taken, so that none is reset. */
static void leave(struct ingress *in, int64_t now_us)
{
	struct listener *l = &in->listeners[PAGE_CALLER];

	if (l->item.fd >= 0)
		on_listener(l, EPOLLIN, now_us);
	close_listener(in, l);
	close_idle(in);
	in->has_left = 1;
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct ingress *in = ctx;

	switch (m->type) {
	case MSG_EXCHANGE_ANSWER:
		on_answer(in, m->body, now_us);
		break;
	case MSG_LEAVE:
		leave(in, now_us);
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

static enum err_code open_listener(struct ingress *in, enum page page,
				   const struct ingress_endpoint *at,
				   struct err *err)
{
	struct listener *l = &in->listeners[page];
	struct sockaddr_storage sa;
	socklen_t len = addr_parse(at->address, at->port, &sa);
	int one = 1;
	int fd;

	if (!len)
		return err_set(err, ERR_SETTING, "'%s' is no IP number",
			       at->address);
	fd = socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	*l = (struct listener){ in, page, { .fd = fd, .fn = on_listener } };
	l->item.ctx = l;
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
	const struct ingress_endpoint *at[PAGE_COUNT] = {
		[PAGE_CALLER] = &in->opt.caller,
		[PAGE_READY] = &in->opt.ready,
		[PAGE_METRICS] = &in->opt.metrics,
	};
	int i;

	for (i = 0; i < PAGE_COUNT; i++) {
		if (at[i]->port == 0)
			continue;
		if (open_listener(in, (enum page)i, at[i], err) != ERR_OK)
			return err->code;
	}
	return ERR_OK;
}

struct ingress *ingress_new(const struct ingress_options *o, struct err *err)
{
	struct ingress *in = util_alloc(1, sizeof(*in));
	int i;

	in->opt = *o;
	for (i = 0; i < PAGE_COUNT; i++)
		in->listeners[i].item.fd = -1;
	in->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
	in->head_bytes = HEAD_BYTES_DEFAULT;
	in->body_bytes = BODY_BYTES_DEFAULT;
	in->head_ms = HEAD_MS_DEFAULT;
	in->idle_ms = IDLE_MS_DEFAULT;
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
	if (l->header_bytes_max)
		in->head_bytes = l->header_bytes_max;
	if (l->body_bytes_max)
		in->body_bytes = l->body_bytes_max;
	if (l->header_timeout_ms)
		in->head_ms = l->header_timeout_ms;
	if (l->idle_timeout_ms)
		in->idle_ms = l->idle_timeout_ms;
}

void ingress_drain(struct ingress *in)
{
	in->draining = 1;
}

uint32_t ingress_caller_count(struct ingress *in)
{
	return in->callers;
}

int ingress_is_finished(struct ingress *in)
{
	return in->has_left && !in->callers;
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
	for (i = 0; i < PAGE_COUNT; i++)
		close_listener(in, &in->listeners[i]);
	duty_free(in->duty);
	poller_free(in->poller);
	free(in);
}

#include "http_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "base/clock.h"

#define EVENTS_PER_WAIT 128
#define READ_BYTES 16384
#define NS_PER_US 1000

/* A server on a loopback port. */
struct origin {
	uint16_t port;
	/* Connections without a call, the last used one first. */
	struct conn *idle;
};

struct conn {
	struct http_client *client;
	struct origin *origin;
	/* Next in the origin's idle list or in the client's closed list. */
	struct conn *next;
	/* NULL while idle. */
	struct http_client_call *call;
	int fd;
	struct buf out;
	size_t sent_bytes;
	struct buf in;
};

struct http_client_call {
	struct conn *conn;
	http_client_done_fn *done;
	void *ctx;
};

struct http_client {
	int epoll;
	/*
	 * timerfd; the timeout of epoll_wait() has steps of 1 ms, too coarse.
	 */
	int timer;
	struct timer_queue *timers;
	/* Port to struct origin. */
	GHashTable *origins;
	/* Set of all connections. */
	GHashTable *conns;
	/*
	 * Closed in this round of http_client_run(); events for them may be
	 * pending.
	 */
	struct conn *closed;
};

static void conn_free(gpointer data)
{
	struct conn *c = data;

	free(c->call);
	buf_free(&c->out);
	buf_free(&c->in);
	if (c->fd >= 0)
		close(c->fd);
	free(c);
}

struct http_client *http_client_new(struct err *err)
{
	struct http_client *h = util_alloc(1, sizeof(*h));
	struct epoll_event ev = { .events = EPOLLIN, .data.ptr = NULL };

	h->timers = timer_queue_new();
	h->origins = g_hash_table_new_full(NULL, NULL, NULL, free);
	h->conns = g_hash_table_new_full(NULL, NULL, conn_free, NULL);
	h->epoll = epoll_create1(EPOLL_CLOEXEC);
	h->timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (h->epoll < 0 || h->timer < 0 ||
	    epoll_ctl(h->epoll, EPOLL_CTL_ADD, h->timer, &ev) < 0) {
		err_set(err, ERR_IO, "cannot set up epoll and its timer: %s",
			strerror(errno));
		http_client_free(h);
		return NULL;
	}
	return h;
}

void http_client_free(struct http_client *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->conns);
	g_hash_table_destroy(h->origins);
	timer_queue_free(h->timers);
	if (h->epoll >= 0)
		close(h->epoll);
	if (h->timer >= 0)
		close(h->timer);
	free(h);
}

struct timer_queue *http_client_timers(struct http_client *h)
{
	return h->timers;
}

static struct origin *find_origin(struct http_client *h, uint16_t port)
{
	gpointer key = GUINT_TO_POINTER(port);
	struct origin *o = g_hash_table_lookup(h->origins, key);

	if (o)
		return o;
	o = util_alloc(1, sizeof(*o));
	o->port = port;
	g_hash_table_insert(h->origins, key, o);
	return o;
}

static void watch(struct conn *c, int op, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = c };

	epoll_ctl(c->client->epoll, op, c->fd, &ev);
}

/*
 * Closes the descriptor; the memory is freed after this round of
 * http_client_run().
 */
static void conn_close(struct conn *c)
{
	struct conn **at = &c->origin->idle;

	while (*at && *at != c)
		at = &(*at)->next;
	if (*at)
		*at = c->next;
	close(c->fd);
	c->fd = -1;
	c->next = c->client->closed;
	c->client->closed = c;
}

static void free_closed(struct http_client *h)
{
	while (h->closed) {
		struct conn *c = h->closed;

		h->closed = c->next;
		g_hash_table_remove(h->conns, c);
	}
}

/* Calls back and frees the call. */
static void end_call(struct conn *c, uint32_t status, const char *body,
		     size_t body_bytes)
{
	struct http_client_call *call = c->call;

	c->call = NULL;
	call->done(call->ctx, status, body, body_bytes, clock_now_us());
	free(call);
}

static void conn_fail(struct conn *c)
{
	conn_close(c);
	if (c->call)
		end_call(c, 0, NULL, 0);
}

static struct conn *conn_open(struct http_client *h, struct origin *o)
{
	struct conn *c = util_alloc(1, sizeof(*c));
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(o->port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int one = 1;

	c->client = h;
	c->origin = o;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_hash_table_add(h->conns, c);
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/* A refused connection shows as an event on the descriptor. */
	if (connect(c->fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
	    errno != EINPROGRESS)
		shutdown(c->fd, SHUT_RDWR);
	watch(c, EPOLL_CTL_ADD, EPOLLIN | EPOLLOUT);
	return c;
}

static void send_out(struct conn *c)
{
	while (c->sent_bytes < c->out.len_bytes) {
		ssize_t n = send(c->fd, c->out.data + c->sent_bytes,
				 c->out.len_bytes - c->sent_bytes,
				 MSG_NOSIGNAL);

		if (n < 0)
			return;
		c->sent_bytes += (size_t)n;
	}
	watch(c, EPOLL_CTL_MOD, EPOLLIN);
}

struct http_client_call *http_client_send(struct http_client *h, uint16_t port,
					  const char *method, const char *path,
					  const char *body,
					  http_client_done_fn *done, void *ctx)
{
	struct origin *o = find_origin(h, port);
	struct conn *c = o->idle;
	struct http_client_call *call = util_alloc(1, sizeof(*call));

	if (c) {
		o->idle = c->next;
		watch(c, EPOLL_CTL_MOD, EPOLLIN | EPOLLOUT);
	} else {
		c = conn_open(h, o);
	}
	*call = (struct http_client_call){ c, done, ctx };
	c->next = NULL;
	c->call = call;
	c->in.len_bytes = 0;
	c->out.len_bytes = 0;
	c->sent_bytes = 0;
	buf_addf(&c->out,
		 "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
		 "Content-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 method, path, body ? strlen(body) : 0, body ? body : "");
	return call;
}

void http_client_abort(struct http_client_call *call)
{
	struct conn *c = call->conn;

	c->call = NULL;
	free(call);
	conn_close(c);
}

/* Bytes of the answer's header section, or 0 while it is not complete. */
static size_t head_bytes(const struct conn *c)
{
	const char *end;

	if (!c->in.len_bytes)
		return 0;
	end = strstr(c->in.data, "\r\n\r\n");
	return end ? (size_t)(end - c->in.data) + 4 : 0;
}

static size_t body_bytes_of(const struct conn *c, size_t head)
{
	g_autofree char *text = g_ascii_strdown(c->in.data, (gssize)head);
	const char *field = strstr(text, "\r\ncontent-length:");

	return field ? strtoul(field + strlen("\r\ncontent-length:"), NULL, 10)
		     : 0;
}

static int has_connection_close(const struct conn *c, size_t head)
{
	g_autofree char *text = g_ascii_strdown(c->in.data, (gssize)head);

	return strstr(text, "\r\nconnection: close") != NULL;
}

/* Ends the call when its answer is complete. */
static void parse_answer(struct conn *c)
{
	size_t head = head_bytes(c);
	size_t body;
	uint32_t status;

	if (!head)
		return;
	body = body_bytes_of(c, head);
	if (c->in.len_bytes < head + body)
		return;
	status = (uint32_t)strtoul(c->in.data + strlen("HTTP/1.1 "), NULL, 10);
	if (has_connection_close(c, head)) {
		conn_close(c);
	} else {
		c->next = c->origin->idle;
		c->origin->idle = c;
	}
	if (status != 0) {
		struct buf in CLEANUP_BUF = c->in;

		/*
		 * The callback may send its next call on this connection, so
		 * the answer must not stay in the connection's buffer.
		 */
		c->in = (struct buf){ 0 };
		end_call(c, status, in.data + head, body);
	}
}

static void receive(struct conn *c)
{
	char data[READ_BYTES];
	ssize_t n;

	while (c->fd >= 0 && (n = recv(c->fd, data, sizeof(data), 0)) != 0) {
		if (n < 0) {
			if (errno != EAGAIN && errno != EINTR)
				conn_fail(c);
			return;
		}
		if (!c->call) {
			conn_fail(c);
			return;
		}
		buf_add(&c->in, data, (size_t)n);
		parse_answer(c);
	}
	if (c->fd >= 0)
		conn_fail(c);
}

static void on_event(struct conn *c, uint32_t events)
{
	if (c->fd < 0)
		return;
	if (events & EPOLLOUT)
		send_out(c);
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		receive(c);
}

static void set_timer(struct http_client *h, int64_t until_us)
{
	int64_t next_us = timer_queue_next_us(h->timers);
	int64_t at_us = next_us < 0 ? until_us
				    : util_min_i64(next_us, until_us);
	struct itimerspec at = { 0 };

	at_us = util_max_i64(at_us, 1);
	at.it_value.tv_sec = at_us / US_PER_S;
	at.it_value.tv_nsec = at_us % US_PER_S * NS_PER_US;
	timerfd_settime(h->timer, TFD_TIMER_ABSTIME, &at, NULL);
}

void http_client_run(struct http_client *h, const int *running,
		     int64_t until_us)
{
	struct epoll_event events[EVENTS_PER_WAIT];
	uint64_t expirations;
	int count;
	int i;

	while (*running && clock_now_us() < until_us) {
		set_timer(h, until_us);
		count = epoll_wait(h->epoll, events, EVENTS_PER_WAIT, -1);
		for (i = 0; i < count; i++) {
			if (events[i].data.ptr)
				on_event(events[i].data.ptr, events[i].events);
			else if (read(h->timer, &expirations,
				      sizeof(expirations)) < 0)
				continue;
		}
		timer_queue_run(h->timers, clock_now_us());
		free_closed(h);
	}
}

struct blocking_call {
	int running;
	uint32_t status;
	struct buf *out;
};

static void on_blocking_done(void *ctx, uint32_t status, const char *body,
			     size_t body_bytes, int64_t now_us)
{
	struct blocking_call *blocking = ctx;

	blocking->running = 0;
	blocking->status = status;
	if (blocking->out && body_bytes)
		buf_add(blocking->out, body, body_bytes);
}

uint32_t http_client_wait(struct http_client *h, uint16_t port,
			  const char *method, const char *path,
			  const char *body, int64_t wait_us, struct buf *out)
{
	struct blocking_call blocking = { 1, 0, out };
	struct http_client_call *call = http_client_send(
		h, port, method, path, body, on_blocking_done, &blocking);

	http_client_run(h, &blocking.running, clock_now_us() + wait_us);
	if (blocking.running)
		http_client_abort(call);
	return blocking.status;
}

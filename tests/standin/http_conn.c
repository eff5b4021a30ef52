/*
 * Connections of the stand-ins' HTTP server: parsing requests, sending answers.
 */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "http_conn.h"

#define HEAD_BYTES_MAX 16384
#define READ_BYTES 65536

static void watch_events(struct http_conn *c, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = c };

	if (events == c->events)
		return;
	c->events = events;
	epoll_ctl(http_epoll(c->listener->http), EPOLL_CTL_MOD, c->fd, &ev);
}

static uint32_t wanted_events(const struct http_conn *c)
{
	if (c->silent || c->start.armed_pos)
		return EPOLLRDHUP;
	if (c->out_sent_bytes < c->out.len_bytes)
		return EPOLLIN | EPOLLOUT;
	return EPOLLIN;
}

void conn_close(struct http_conn *c, int reset)
{
	struct http_listener *l = c->listener;
	struct linger abort_now = { .l_onoff = 1, .l_linger = 0 };

	if (c->closed)
		return;
	c->closed = 1;
	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &abort_now,
			   sizeof(abort_now));
	/*
	 * close() alone does not end the events: a child that was just forked
	 * keeps the socket open.
	 */
	epoll_ctl(http_epoll(l->http), EPOLL_CTL_DEL, c->fd, NULL);
	close(c->fd);
	timer_queue_cancel(http_timers(l->http), &c->start);
	if (c->prev)
		c->prev->next = c->next;
	else
		l->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	l->counters.open--;
	if (c->busy && l->service.gone)
		l->service.gone(l->service.ctx, c);
	http_defer_free(l->http, c);
}

void conn_free(struct http_conn *c)
{
	buf_free(&c->in);
	buf_free(&c->out);
	free(c);
}

static void flush_out(struct http_conn *c)
{
	while (c->out_sent_bytes < c->out.len_bytes) {
		ssize_t n = send(c->fd, c->out.data + c->out_sent_bytes,
				 c->out.len_bytes - c->out_sent_bytes,
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (n < 0) {
			conn_close(c, 0);
			return;
		}
		c->out_sent_bytes += (size_t)n;
	}
	if (c->out_sent_bytes == c->out.len_bytes) {
		c->out.len_bytes = 0;
		c->out_sent_bytes = 0;
		if (c->discard) {
			/*
			 * Closing a socket with unread input sends a reset,
			 * which could discard the answer.
			 */
			shutdown(c->fd, SHUT_WR);
		} else if (c->close_after) {
			conn_close(c, 0);
			return;
		}
	}
	watch_events(c, wanted_events(c));
}

/* Finds the value of header @name in @head; it ends at '\r'. NULL: absent. */
static const char *header(const char *head, const char *name)
{
	size_t len = strlen(name);
	const char *line = strstr(head, "\r\n");

	while (line && line[2] != '\r') {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			line += len + 1;
			return line + strspn(line, " \t");
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

/* Answers a request that cannot be handled, and closes after the answer. */
static void refuse(struct http_conn *c, uint32_t status, const char *why)
{
	c->close_after = 1;
	c->discard = 1;
	c->in.len_bytes = 0;
	http_replyf(c, status, "{\"error\":\"%s\"}", why);
}

/* Splits "METHOD /path?query HTTP/1.1" in place; 0 for a malformed line. */
static int split_line(char *head, struct http_request *r)
{
	char *path = strchr(head, ' ');
	char *end = path ? strchr(path + 1, ' ') : NULL;
	char *query;

	if (!path || !end || path[1] != '/')
		return 0;
	*path++ = '\0';
	*end = '\0';
	query = strchr(path, '?');
	if (query)
		*query++ = '\0';
	r->method = head;
	r->path = path;
	r->query = query ? query : "";
	r->head = end + 1;
	return 1;
}

static void dispatch(struct http_conn *c, size_t head_bytes, size_t body_bytes)
{
	struct http_listener *l = c->listener;
	struct http_request r = { .body_bytes = body_bytes };
	size_t used_bytes = head_bytes + body_bytes;
	char *body = c->in.data + head_bytes;
	/* Replaced by NUL below; it may belong to the next request. */
	char saved = c->in.data[used_bytes];

	body[body_bytes] = '\0';
	r.body = body;
	c->busy = 1;
	c->sent_continue = 0;
	if (!split_line(c->in.data, &r)) {
		refuse(c, 400, "bad_request_line");
		return;
	}
	l->service.request(l->service.ctx, c, &r);
	if (c->closed || c->in.len_bytes < used_bytes)
		return;
	c->in.data[used_bytes] = saved;
	memmove(c->in.data, c->in.data + used_bytes,
		c->in.len_bytes - used_bytes + 1);
	c->in.len_bytes -= used_bytes;
}

/* Handles one complete request in the buffer; 0 when there is none. */
static int parse_one(struct http_conn *c)
{
	char *end = c->in.len_bytes ? strstr(c->in.data, "\r\n\r\n") : NULL;
	const char *value;
	size_t head_bytes;
	size_t body_bytes = 0;

	if (!end) {
		if (c->in.len_bytes > HEAD_BYTES_MAX)
			refuse(c, 431, "head_too_large");
		return 0;
	}
	head_bytes = (size_t)(end - c->in.data) + 4;
	value = header(c->in.data, "Content-Length");
	if (value)
		body_bytes = strtoul(value, NULL, 10);
	if (header(c->in.data, "Transfer-Encoding")) {
		refuse(c, 411, "length_required");
		return 0;
	}
	if (body_bytes > HTTP_BODY_BYTES_MAX) {
		refuse(c, 413, "body_too_large");
		return 0;
	}
	if (c->in.len_bytes < head_bytes + body_bytes) {
		if (!c->sent_continue && header(c->in.data, "Expect")) {
			c->sent_continue = 1;
			buf_addf(&c->out, "HTTP/1.1 100 Continue\r\n\r\n");
			flush_out(c);
		}
		return 0;
	}
	dispatch(c, head_bytes, body_bytes);
	return 1;
}

static void parse(struct http_conn *c)
{
	if (c->parsing)
		return;
	c->parsing = 1;
	while (!c->closed && !c->busy && !c->silent && !c->close_after &&
	       parse_one(c))
		;
	c->parsing = 0;
}

static void read_in(struct http_conn *c)
{
	char chunk[READ_BYTES];
	ssize_t n = recv(c->fd, chunk, sizeof(chunk), 0);

	if (n < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (n <= 0) {
		conn_close(c, 0);
		return;
	}
	if (c->discard)
		return;
	buf_add(&c->in, chunk, (size_t)n);
	parse(c);
}

void conn_event(struct http_conn *c, uint32_t events)
{
	if (c->closed)
		return;
	if (c->silent || c->start.armed_pos) {
		if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
			conn_close(c, 0);
		return;
	}
	if (events & EPOLLOUT)
		flush_out(c);
	if (!c->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		read_in(c);
}

static void start_due(void *ctx, int64_t now_us)
{
	struct http_conn *c = ctx;

	watch_events(c, wanted_events(c));
}

struct http_conn *conn_new(struct http_listener *l, int fd, int silent)
{
	struct http_conn *c = util_alloc(1, sizeof(*c));
	struct epoll_event ev = { .events = EPOLLRDHUP, .data.ptr = c };

	c->kind = HTTP_KIND_CONN;
	c->fd = fd;
	c->listener = l;
	c->next = l->conns;
	if (c->next)
		c->next->prev = c;
	l->conns = c;
	c->events = EPOLLRDHUP;
	epoll_ctl(http_epoll(l->http), EPOLL_CTL_ADD, fd, &ev);
	c->silent = silent != 0;
	if (l->service.connect_us)
		timer_queue_arm(http_timers(l->http), &c->start,
				clock_now_us() + l->service.connect_us,
				start_due, c);
	else
		watch_events(c, wanted_events(c));
	return c;
}

static void add_answer(struct http_conn *c, uint32_t status, const char *fields,
		       const char *body, size_t body_bytes, size_t sent_bytes)
{
	buf_addf(&c->out,
		 "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n%s%s\r\n",
		 status, status < 400 ? "OK" : "Error", body_bytes, fields,
		 c->close_after ? "Connection: close\r\n" : "");
	buf_add(&c->out, body, sent_bytes);
}

int http_request_field(const struct http_request *r, const char *name,
		       char *out, size_t size_bytes)
{
	const char *value = header(r->head, name);
	size_t len = value ? strcspn(value, "\r") : 0;

	if (!value || len >= size_bytes)
		return 0;
	memcpy(out, value, len);
	out[len] = '\0';
	return 1;
}

void http_reply(struct http_conn *c, uint32_t status, const char *body,
		size_t body_bytes, enum http_manner manner)
{
	http_reply_fields(c, status, "", body, body_bytes, manner);
}

void http_reply_fields(struct http_conn *c, uint32_t status, const char *fields,
		       const char *body, size_t body_bytes,
		       enum http_manner manner)
{
	if (c->closed)
		return;
	c->busy = 0;
	c->user = NULL;
	if (c->silent)
		return;
	add_answer(c, status, fields, body, body_bytes,
		   manner == HTTP_HALF ? body_bytes / 2 : body_bytes);
	if (manner == HTTP_TWICE)
		add_answer(c, status, fields, body, body_bytes, body_bytes);
	if (manner == HTTP_HALF)
		c->close_after = 1;
	flush_out(c);
	if (!c->closed)
		parse(c);
}

void http_replyf(struct http_conn *c, uint32_t status, const char *fmt, ...)
{
	char text[1024];
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (len < 0)
		len = 0;
	if ((size_t)len >= sizeof(text))
		len = sizeof(text) - 1;
	http_reply(c, status, text, (size_t)len, HTTP_WHOLE);
}

void http_drop(struct http_conn *c)
{
	c->busy = 0;
	c->user = NULL;
	conn_close(c, 1);
}

void http_silence(struct http_conn *c)
{
	if (c->closed)
		return;
	c->silent = 1;
	watch_events(c, wanted_events(c));
}

void http_set_user(struct http_conn *c, void *user)
{
	c->user = user;
}

void *http_user(const struct http_conn *c)
{
	return c->user;
}

#include "duty/caller_duty.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/tcp.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "codec/caller_json.h"
#include "duty/duty.h"
#include "duty/messages.h"

/*
 * Interval at which suspended connections are checked for a close by the
 * caller; libmicrohttpd does not watch their sockets.
 */
#define CHECK_PERIOD_MS 50
#define IDLE_TIMEOUT_S 60
#define CONNECTIONS_MAX 16384
#define OUTCOME_PREFIX "/v1/outcome/"

/* Type of a message that only this file uses: the answer to one exchange. */
#define MSG_ANSWER 0x1000

/* What was taken from one connection of a caller. */
struct caller_link {
	/* Heads and bodies of the requests that were answered. */
	uint64_t taken_bytes;
	/* 1: a body came in chunks, whose size on the wire is not known. */
	int uncounted;
};

/* One request of a caller and its answer. */
struct exchange {
	struct caller_duty *caller;
	struct MHD_Connection *connection;
	uint64_t exchange_id;
	struct buf body;
	/* Size of the body, also when it is not kept. */
	uint64_t body_bytes;
	/* 1: the body exceeds CALLER_JSON_BODY_BYTES_MAX. */
	int too_large;
	/* 1 from the push to the request duty until its answer is taken. */
	int suspended;
	/* 1 once MSG_CALLER_GONE was sent. */
	int gone;
	/* JSON text of the answer or refusal; NULL before there is one. */
	char *response;
	uint32_t http_status;
	TAILQ_ENTRY(exchange) link;
};

/* Body of MSG_ANSWER. */
struct answer_message {
	struct exchange *exchange;
	struct answer *answer;
};

struct caller_duty {
	struct caller_options options;
	struct duty *duty;
	struct MHD_Daemon *daemon;
	/* eventfd that ends the poll call of the thread. */
	int event_fd;
	/* ID of the latest exchange. */
	uint64_t last_exchange_id;
	/* Requests pushed to the request duty whose answer is not taken yet. */
	_Atomic uint32_t open;
	_Atomic int draining;
	/* Exchanges that wait for their answer. */
	TAILQ_HEAD(, exchange) suspended;
};

static void wake(void *ctx)
{
	struct caller_duty *c = ctx;
	uint64_t one = 1;
	ssize_t n = write(c->event_fd, &one, sizeof(one));

	/*
	 * The write fails only if the counter is full, which wakes the thread
	 * too.
	 */
	(void)n;
}

static struct caller_link *link_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void count_request(struct caller_link *link, const struct exchange *x)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		x->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

	if (info)
		link->taken_bytes += info->header_size;
	link->taken_bytes += x->body_bytes;
	if (MHD_lookup_connection_value(x->connection, MHD_HEADER_KIND,
					MHD_HTTP_HEADER_TRANSFER_ENCODING))
		link->uncounted = 1;
}

/*
 * 1 if the caller has sent more than the requests that were answered.
 * libmicrohttpd reads ahead and does not say how far; the kernel does.
 */
static int more_came(const struct caller_link *link,
		     struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct tcp_info tcp = { 0 };
	socklen_t len = sizeof(tcp);

	if (link->uncounted || !info ||
	    getsockopt(info->connect_fd, IPPROTO_TCP, TCP_INFO, &tcp, &len) < 0)
		return 0;
	return tcp.tcpi_bytes_received > link->taken_bytes;
}

/*
 * 1 if the connection closes after the answer to @x: the host leaves, and
 * libmicrohttpd, which drops what it has read ahead, has read nothing more.
 */
static int closes_after(const struct exchange *x)
{
	struct caller_link *link = link_of(x->connection);

	if (!link)
		return x->caller->draining;
	count_request(link, x);
	return x->caller->draining && !more_came(link, x->connection);
}

static enum MHD_Result respond(struct exchange *x)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(x->response), x->response, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	if (closes_after(x))
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(x->connection, x->http_status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result refuse(struct exchange *x, const struct err *err)
{
	x->http_status = err_http_status(err->code);
	x->response = caller_json_encode_error(err);
	return respond(x);
}

/* Runs on the request duty. */
static void on_answer(void *ctx, struct answer *answer)
{
	struct exchange *x = ctx;
	struct answer_message *body = util_alloc(1, sizeof(*body));
	struct msg m = { MSG_ANSWER, body, NULL };

	body->exchange = x;
	body->answer = answer;
	/*
	 * The ring has a place for each request in flight: open_max is its
	 * capacity.
	 */
	if (ring_push(duty_ring(x->caller->duty), &m) != ERR_OK) {
		answer_free(answer);
		free(body);
	}
}

static enum MHD_Result submit(struct exchange *x, struct request *request)
{
	struct caller_duty *c = x->caller;
	struct caller_request *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_CALLER_REQUEST, r, NULL };
	struct err err = { 0 };

	r->request = request;
	r->reply = on_answer;
	r->reply_ctx = x;
	r->exchange_id = x->exchange_id;
	r->received_us = clock_now_us();
	if (c->open < c->options.open_max &&
	    ring_push(c->options.request, &m) == ERR_OK) {
		c->open++;
		x->suspended = 1;
		TAILQ_INSERT_TAIL(&c->suspended, x, link);
		MHD_suspend_connection(x->connection);
		return MHD_YES;
	}
	caller_request_free(r);
	err_set(&err, ERR_OVERLOADED, "too many requests in flight");
	return refuse(x, &err);
}

static struct request *parse_outcome(const char *path, struct err *err)
{
	const char *slash = strchr(path, '/');
	struct request *r = util_alloc(1, sizeof(*r));

	r->op = OP_OUTCOME;
	if (slash && slash - path < NAME_BYTES) {
		memcpy(r->customer, path, (size_t)(slash - path));
		util_copy_str(r->id, sizeof(r->id), slash + 1);
	}
	if (slash && util_name_ok(r->customer, NAME_BYTES - 1) &&
	    util_name_ok(slash + 1, NAME_BYTES - 1))
		return r;
	request_free(r);
	err_set(err, ERR_BAD_FIELD,
		"path must be " OUTCOME_PREFIX "CUSTOMER/REQUEST_ID");
	return NULL;
}

static struct request *parse_post(const struct exchange *x, const char *url,
				  struct err *err)
{
	enum request_op op;

	if (strcmp(url, "/v1/search") == 0) {
		op = OP_SEARCH;
	} else if (strcmp(url, "/v1/lookup") == 0) {
		op = OP_LOOKUP;
	} else {
		err_set(err, ERR_NOT_FOUND,
			"no such path, accepted /v1/search and /v1/lookup");
		return NULL;
	}
	if (x->too_large) {
		err_set(err, ERR_TOO_LARGE, "body exceeds %d bytes",
			CALLER_JSON_BODY_BYTES_MAX);
		return NULL;
	}
	return caller_json_decode(op, x->body.data ? x->body.data : "",
				  x->body.len_bytes, err);
}

static struct request *parse(const struct exchange *x, const char *method,
			     const char *url, struct err *err)
{
	int is_outcome = strncmp(url, OUTCOME_PREFIX, strlen(OUTCOME_PREFIX)) ==
			 0;

	if (strcmp(method, "GET") == 0 && is_outcome)
		return parse_outcome(url + strlen(OUTCOME_PREFIX), err);
	if (strcmp(method, "POST") == 0 && !is_outcome)
		return parse_post(x, url, err);
	err_set(err, ERR_METHOD, "method %.16s is not accepted for path %.64s",
		method, url);
	return NULL;
}

static struct exchange *exchange_new(struct caller_duty *c,
				     struct MHD_Connection *connection)
{
	struct exchange *x = util_alloc(1, sizeof(*x));

	x->caller = c;
	x->connection = connection;
	x->exchange_id = ++c->last_exchange_id;
	return x;
}

static void collect(struct exchange *x, const char *data, size_t len_bytes)
{
	x->body_bytes += len_bytes;
	if (x->body.len_bytes + len_bytes > CALLER_JSON_BODY_BYTES_MAX)
		x->too_large = 1;
	else
		buf_add(&x->body, data, len_bytes);
}

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *data_bytes, void **state)
{
	struct caller_duty *c = ctx;
	struct exchange *x = *state;
	struct request *request;
	struct err err = { 0 };

	if (!x) {
		*state = exchange_new(c, connection);
		return MHD_YES;
	}
	if (*data_bytes > 0) {
		collect(x, data, *data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (x->response)
		return respond(x);
	request = parse(x, method, url, &err);
	return request ? submit(x, request) : refuse(x, &err);
}

static void exchange_free(struct exchange *x)
{
	buf_free(&x->body);
	free(x->response);
	free(x);
}

static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	struct exchange *x = *state;

	if (x)
		exchange_free(x);
	*state = NULL;
}

static void on_connection(void *ctx, struct MHD_Connection *connection,
			  void **link, enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*link = util_alloc(1, sizeof(struct caller_link));
	} else {
		free(*link);
		*link = NULL;
	}
}

static enum err_code start_daemon(struct caller_duty *c, struct err *err)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };

	addr.sin_port = htons(c->options.port);
	if (inet_pton(AF_INET, c->options.address, &addr.sin_addr) != 1)
		return err_set(err, ERR_SETTING,
			       "caller address is '%s', accepted an IPv4 "
			       "number",
			       c->options.address);
	c->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
		c->options.port, NULL, NULL, on_access, c, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&addr, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, c, MHD_OPTION_NOTIFY_CONNECTION, on_connection, c,
		MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_END);
	if (!c->daemon)
		return err_set(err, ERR_IO, "cannot listen on %s:%u: %s",
			       c->options.address, c->options.port,
			       strerror(errno));
	return ERR_OK;
}

struct caller_duty *caller_duty_new(const struct caller_options *options,
				    struct err *err)
{
	struct caller_duty *c = util_alloc(1, sizeof(*c));

	c->options = *options;
	TAILQ_INIT(&c->suspended);
	c->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	c->duty = duty_new("caller", options->open_max, wake, c, err);
	if (!c->duty || start_daemon(c, err) != ERR_OK) {
		caller_duty_free(c);
		return NULL;
	}
	return c;
}

uint16_t caller_duty_port(const struct caller_duty *c)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(c->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}

uint32_t caller_duty_open_count(const struct caller_duty *c)
{
	return c->open;
}

static void take_answer(struct caller_duty *c, struct answer_message *body)
{
	struct exchange *x = body->exchange;
	struct answer *answer = body->answer;

	TAILQ_REMOVE(&c->suspended, x, link);
	x->suspended = 0;
	c->open--;
	x->http_status = err_http_status(answer->err.code);
	x->response = caller_json_encode(answer);
	answer_free(answer);
	free(body);
	MHD_resume_connection(x->connection);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	if (m->type == MSG_ANSWER)
		take_answer(ctx, m->body);
}

static int caller_closed(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;
	ssize_t n;

	if (!info)
		return 0;
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static void report_gone(struct exchange *x)
{
	struct caller_gone *body = util_alloc(1, sizeof(*body));
	struct msg m = { MSG_CALLER_GONE, body, free };

	body->exchange_id = x->exchange_id;
	if (ring_push(x->caller->options.request, &m) == ERR_OK)
		x->gone = 1;
	else
		free(body);
}

/* Tells the request duty which callers have closed their connection. */
static void check_suspended(struct caller_duty *c)
{
	struct exchange *x;

	TAILQ_FOREACH(x, &c->suspended, link)
	{
		if (!x->gone && caller_closed(x->connection))
			report_gone(x);
	}
}

static int poll_timeout_ms(struct caller_duty *c)
{
	MHD_UNSIGNED_LONG_LONG mhd_ms = 0;
	int has_timeout = MHD_get_timeout(c->daemon, &mhd_ms) == MHD_YES;
	int limit_ms = TAILQ_EMPTY(&c->suspended) ? -1 : CHECK_PERIOD_MS;

	if (!has_timeout)
		return limit_ms;
	if (limit_ms < 0 || mhd_ms < (MHD_UNSIGNED_LONG_LONG)limit_ms)
		return (int)mhd_ms;
	return limit_ms;
}

static void run(void *ctx, struct duty *d)
{
	struct caller_duty *c = ctx;
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(c->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	struct pollfd fds[2] = { { info->epoll_fd, POLLIN, 0 },
				 { c->event_fd, POLLIN, 0 } };
	int64_t check_at_us = 0;
	uint64_t count;

	while (!duty_stopping(d)) {
		poll(fds, countof(fds), poll_timeout_ms(c));
		if (fds[1].revents &&
		    read(c->event_fd, &count, sizeof(count)) < 0 &&
		    errno != EAGAIN)
			log_event(LOG_LEVEL_ERROR, "wake_failed", "caller: %s",
				  strerror(errno));
		duty_poll(d, on_message, c);
		MHD_run(c->daemon);
		if (clock_now_us() >= check_at_us) {
			check_suspended(c);
			check_at_us =
				clock_now_us() + CHECK_PERIOD_MS * US_PER_MS;
		}
	}
	MHD_run(c->daemon);
}

enum err_code caller_duty_start(struct caller_duty *c, struct err *err)
{
	return duty_start_loop(c->duty, run, c, err);
}

void caller_duty_drain(struct caller_duty *c)
{
	c->draining = 1;
}

void caller_duty_stop(struct caller_duty *c)
{
	duty_stop(c->duty);
	duty_join(c->duty);
}

void caller_duty_free(struct caller_duty *c)
{
	struct exchange *x;

	if (!c)
		return;
	/* libmicrohttpd refuses to stop with suspended connections. */
	while ((x = TAILQ_FIRST(&c->suspended)) != NULL) {
		TAILQ_REMOVE(&c->suspended, x, link);
		MHD_resume_connection(x->connection);
	}
	if (c->daemon)
		MHD_stop_daemon(c->daemon);
	duty_free(c->duty);
	close(c->event_fd);
	free(c);
}

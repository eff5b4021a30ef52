/*
 * The gateway's ingress and egress duties over loopback sockets. The test is
 * the callers, the targets and the request duty. Each case waits for messages
 * or bytes, none for a fixed time.
 */
#include <apr_general.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "duty/egress.h"
#include "duty/ingress.h"
#include "duty/messages.h"
#include "loopback.h"

/* Longest wait for a message; after it the test fails. */
#define WAIT_US (20 * (int64_t)US_PER_S)
#define RING_SIZE 256

static void put(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
			(int)strlen(text));
}

/* Reads until @text was received; fails at the end of the stream. */
static void expect(int fd, const char *text)
{
	char seen[8192] = "";
	size_t len = 0;

	while (!strstr(seen, text)) {
		ssize_t n = recv(fd, seen + len, sizeof(seen) - 1 - len, 0);

		if (n <= 0)
			g_error("expected '%s', received '%s'", text, seen);
		len += (size_t)n;
		seen[len] = '\0';
	}
}

/*
 * Reads up to the end of @text, where what was received must end; what comes
 * first may differ.
 */
static void expect_bytes(int fd, const char *text)
{
	char seen[1024] = "";
	size_t len = 0;

	while (!strstr(seen, text)) {
		ssize_t n = recv(fd, seen + len, sizeof(seen) - 1 - len, 0);

		g_assert_cmpint(n, >, 0);
		len += (size_t)n;
		seen[len] = '\0';
	}
	g_assert_true(g_str_has_suffix(seen, text));
	g_assert_true(g_str_has_prefix(seen, "HTTP/1.1 "));
}

/* Reads until the stream ends and closes it. */
static void expect_end(int fd)
{
	char rest[512];

	while (recv(fd, rest, sizeof(rest), 0) > 0)
		;
	close(fd);
}

/* Waits for a message, which must be of @type; returns its body. */
static void *take(struct ring *r, uint32_t type)
{
	struct msg m;

	g_assert_cmpuint(ring_wait(r, &m, 1, WAIT_US), ==, 1);
	g_assert_cmpuint(m.type, ==, type);
	return m.body;
}

struct egress_case {
	struct egress *egress;
	struct ring *replies;
	/* Listening socket of the target and its port. */
	int listener;
	uint16_t port;
	/* ID of the last call. */
	uint64_t last_call_id;
	/* Method of the calls that follow. */
	const char *method;
	/* Target ID and service of the calls that follow. */
	const char *target_id;
	const char *service;
	/* idle_timeout_ms of the calls that follow; 0: as the target says. */
	uint32_t idle_timeout_ms;
};

static void egress_begin_with(struct egress_case *c,
			      struct memory_account *account)
{
	struct err err = { 0 };

	memset(c, 0, sizeof(*c));
	c->method = "GET";
	c->target_id = "t1";
	c->service = "s1";
	c->replies = ring_new(RING_SIZE, NULL, NULL, &err);
	c->egress = egress_new(&err);
	g_assert_nonnull(c->egress);
	egress_set_account(c->egress, account);
	g_assert_cmpint(egress_start(c->egress, c->replies, &err), ==, ERR_OK);
	c->listener = loopback_listen(&c->port);
}

static void egress_begin(struct egress_case *c)
{
	egress_begin_with(c, NULL);
}

static void egress_end(struct egress_case *c)
{
	egress_stop(c->egress);
	egress_free(c->egress);
	ring_free(c->replies);
	close(c->listener);
}

/*
 * Has the egress duty call the target with a body of @body_bytes; returns the
 * ID of the call.
 */
static uint64_t call_with_body(struct egress_case *c, const char *request_id,
			       int at_most_once, size_t body_bytes)
{
	struct target_call *call = util_alloc(1, sizeof(*call));
	struct msg m = { MSG_TARGET_CALL, call, NULL };

	call->call_id = ++c->last_call_id;
	call->message = http_message_new();
	util_copy_str(call->message->method, sizeof(call->message->method),
		      c->method);
	call->message->uri = util_strdup("/a/b?c=d");
	buf_addf(&call->message->fields, "Host: h\r\n");
	if (body_bytes) {
		char *body CLEANUP_FREE = util_alloc(body_bytes, 1);

		memset(body, 'b', body_bytes);
		buf_add(&call->message->body, body, body_bytes);
		call->message->has_body = 1;
	}
	util_copy_str(call->request_id, sizeof(call->request_id), request_id);
	util_copy_str(call->target_id, sizeof(call->target_id), c->target_id);
	util_copy_str(call->service, sizeof(call->service), c->service);
	util_copy_str(call->address, sizeof(call->address), "127.0.0.1");
	call->port = c->port;
	call->deadline_us = clock_now_us() + WAIT_US;
	call->timeout_ms = 77;
	call->connection_limit = 4;
	call->idle_timeout_ms = c->idle_timeout_ms;
	call->at_most_once = (uint32_t)at_most_once;
	g_assert_cmpint(ring_push(egress_ring(c->egress), &m), ==, ERR_OK);
	return c->last_call_id;
}

static uint64_t call(struct egress_case *c, const char *request_id,
		     int at_most_once)
{
	return call_with_body(c, request_id, at_most_once, 0);
}

/* Waits for the reply to a call. */
static struct target_reply *reply(struct egress_case *c)
{
	return take(c->replies, MSG_TARGET_REPLY);
}

#define HEAD_OK "HTTP/1.1 200 OK\r\nCowslippoint-Server-Stamp: st\r\n"

/*
 * Guards against a request that reaches the target with other bytes than it
 * should.
 */
static void test_request(void)
{
	struct egress_case c;
	struct target_reply *r;
	int fd;

	egress_begin(&c);
	call(&c, "r1", 0);
	fd = accept(c.listener, NULL, NULL);
	expect(fd, "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
		   "Cowslippoint-Deadline-Ms: 77\r\n"
		   "Cowslippoint-Expect-Instance: t1\r\n\r\n");
	put(fd, HEAD_OK "Content-Length: 4\r\n\r\nbo");
	put(fd, "dy");
	r = reply(&c);
	g_assert_cmpint(r->code, ==, ERR_OK);
	g_assert_cmpstr(r->stamp, ==, "st");
	g_assert_cmpstr(r->body.data, ==, "body");
	target_reply_free(r);
	egress_end(&c);
	close(fd);
}

/*
 * Guards against a target ID whose line break ends the head of the request, so
 * that the target runs it without its body: the call fails as not run, and
 * nothing of it is sent.
 */
static void test_odd_id(void)
{
	struct egress_case c;
	struct target_reply *r;
	char byte;
	int fd;

	egress_begin(&c);
	c.target_id = "t1\r\n";
	call_with_body(&c, "r1", 0, 20);
	fd = accept(c.listener, NULL, NULL);
	r = reply(&c);
	g_assert_cmpint(r->code, ==, ERR_BAD_FIELD);
	g_assert_cmpuint(r->not_run, ==, 1);
	target_reply_free(r);
	g_assert_cmpint(recv(fd, &byte, 1, 0), ==, 0);
	egress_end(&c);
	close(fd);
}

/*
 * Guards against taking an answer to an earlier request, which arrives late on
 * the same connection, for the answer to this one.
 */
static void test_stray(void)
{
	struct egress_case c;
	struct target_reply *r;
	int fd;

	egress_begin(&c);
	call(&c, "r1", 0);
	fd = accept(c.listener, NULL, NULL);
	expect(fd, "\r\n\r\n");
	put(fd, HEAD_OK "Cowslippoint-Request-Id: r0\r\n"
			"Content-Length: 3\r\n\r\nold");
	put(fd, HEAD_OK "Cowslippoint-Request-Id: r1\r\n"
			"Content-Length: 3\r\n\r\nnew");
	r = reply(&c);
	g_assert_cmpstr(r->body.data, ==, "new");
	target_reply_free(r);
	egress_end(&c);
	close(fd);
}

/*
 * Guards against further use of a connection on which bytes came beyond the end
 * of an answer.
 */
static void test_extra(void)
{
	struct egress_case c;
	int fd;

	egress_begin(&c);
	call(&c, "r1", 0);
	fd = accept(c.listener, NULL, NULL);
	expect(fd, "\r\n\r\n");
	put(fd, HEAD_OK "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
	target_reply_free(reply(&c));
	expect_end(fd);
	/* The next call uses a new connection. */
	call(&c, "r2", 0);
	fd = accept(c.listener, NULL, NULL);
	expect(fd, "\r\n\r\n");
	put(fd, HEAD_OK "Content-Length: 0\r\n\r\n");
	target_reply_free(reply(&c));
	/* Bytes that come while the connection is idle end it as well. */
	put(fd, "HTTP/1.1 200 OK\r\n");
	expect_end(fd);
	egress_end(&c);
}

/* Longer than what both sockets of a connection buffer. */
#define UNREAD_BODY_BYTES (24 * 1048576)

/* Reads to the end of the stream; what comes must be bytes of the body only. */
static void expect_body_only(int fd)
{
	uint8_t bytes[16384];
	ssize_t n;

	while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
		ssize_t i;

		for (i = 0; i < n; i++)
			g_assert_cmpint(bytes[i], ==, 'b');
	}
	close(fd);
}

/*
 * Guards against a request that is sent where the rest of an earlier one is
 * due: a target answers a long request, with a refusal or a success, before it
 * has read the body, keeps the connection and reads on later.
 */
static void test_early(void)
{
	static const char *const heads[] = {
		"HTTP/1.1 503 Busy\r\nCowslippoint-Not-Executed: 1\r\n",
		HEAD_OK,
	};
	uint64_t counted = metric_get(METRIC_EARLY_ANSWERS);
	struct egress_case c;
	uint32_t i;

	egress_begin(&c);
	for (i = 0; i < countof(heads); i++) {
		g_autofree char *text = g_strdup_printf("%sCowslippoint-"
							"Request-Id: r1\r\n"
							"Content-Length: "
							"2\r\n\r\nok",
							heads[i]);
		struct target_reply *r;
		int early;
		int fd;

		call_with_body(&c, "r1", 0, UNREAD_BODY_BYTES);
		early = accept(c.listener, NULL, NULL);
		expect(early, "\r\n\r\n");
		put(early, text);
		r = reply(&c);
		g_assert_cmpint(r->code, ==, ERR_OK);
		g_assert_cmpstr(r->body.data, ==, "ok");
		target_reply_free(r);
		call(&c, "r2", 0);
		expect_body_only(early);
		fd = accept(c.listener, NULL, NULL);
		expect(fd, "GET /a/b?c=d HTTP/1.1\r\n");
		put(fd, HEAD_OK "Content-Length: 0\r\nConnection: "
				"close\r\n\r\n");
		target_reply_free(reply(&c));
		close(fd);
	}
	egress_end(&c);
	g_assert_cmpuint(metric_get(METRIC_EARLY_ANSWERS), ==,
			 counted + countof(heads));
}

/*
 * Guards against taking a second copy of an answer, which arrives while the next
 * request is in flight on the same connection, for the answer to that request.
 * The answers carry no request ID, as those of parts.
 */
static void test_copy(void)
{
	static const char first[] = "HTTP/1.1 200 OK\r\n"
				    "Cowslippoint-Server-Stamp: s1\r\n"
				    "Content-Length: 3\r\n\r\nold";
	struct egress_case c;
	struct target_reply *r;
	int fd;

	egress_begin(&c);
	call(&c, "r1", 0);
	fd = accept(c.listener, NULL, NULL);
	expect(fd, "\r\n\r\n");
	put(fd, first);
	target_reply_free(reply(&c));
	call(&c, "r2", 0);
	expect(fd, "\r\n\r\n");
	put(fd, first);
	put(fd, "HTTP/1.1 200 OK\r\nCowslippoint-Server-Stamp: s2\r\n"
		"Content-Length: 3\r\n\r\nnew");
	r = reply(&c);
	g_assert_cmpstr(r->stamp, ==, "s2");
	g_assert_cmpstr(r->body.data, ==, "new");
	target_reply_free(r);
	egress_end(&c);
	close(fd);
}

/* Answers between an answer and its copy, more than a few. */
#define ANSWERS_BETWEEN 20

/*
 * Guards against taking a late second copy of a part for the answer to another
 * request, however many answers came between the two.
 */
static void test_copy_late(void)
{
	struct egress_case c;
	struct target_reply *r;
	uint32_t i;
	int fd = -1;

	egress_begin(&c);
	for (i = 0; i <= ANSWERS_BETWEEN; i++) {
		g_autofree char *text = g_strdup_printf("HTTP/1.1 200 "
							"OK\r\nCowslippoint-"
							"Server-Stamp: s%u\r\n"
							"Content-Length: "
							"3\r\n\r\nold",
							i);

		call(&c, "r1", 0);
		if (fd < 0)
			fd = accept(c.listener, NULL, NULL);
		expect(fd, "\r\n\r\n");
		put(fd, text);
		target_reply_free(reply(&c));
	}
	call(&c, "r2", 0);
	expect(fd, "\r\n\r\n");
	put(fd, "HTTP/1.1 200 OK\r\nCowslippoint-Server-Stamp: s0\r\n"
		"Content-Length: 3\r\n\r\nold");
	put(fd, "HTTP/1.1 200 OK\r\nCowslippoint-Server-Stamp: s\r\n"
		"Content-Length: 3\r\n\r\nnew");
	r = reply(&c);
	g_assert_cmpstr(r->body.data, ==, "new");
	target_reply_free(r);
	egress_end(&c);
	close(fd);
}

/*
 * Guards against a second copy of a refusal without an ID and a stamp, which is
 * taken for the answer to the next request while that one runs: the request
 * after it would get the answer that is still due.
 */
static void test_copy_refusal(void)
{
	static const char busy[] = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
				   "Cowslippoint-Not-Executed: 1\r\n\r\n";
	struct egress_case c;
	struct target_reply *r;
	int first;
	int second;

	egress_begin(&c);
	call(&c, "r1", 0);
	first = accept(c.listener, NULL, NULL);
	expect(first, "\r\n\r\n");
	put(first, busy);
	r = reply(&c);
	g_assert_cmpuint(r->not_run, ==, 1);
	target_reply_free(r);
	call(&c, "r2", 0);
	expect(first, "\r\n\r\n");
	put(first, busy);
	r = reply(&c);
	/* The target may be at work on it. */
	g_assert_cmpuint(r->not_run, ==, 0);
	target_reply_free(r);
	expect_end(first);
	call(&c, "r3", 0);
	second = accept(c.listener, NULL, NULL);
	expect(second, "\r\n\r\n");
	put(second, HEAD_OK "Content-Length: 2\r\n\r\nr3");
	r = reply(&c);
	g_assert_cmpstr(r->body.data, ==, "r3");
	target_reply_free(r);
	egress_end(&c);
	close(second);
}

/* Sends @text again and again until the other end has closed @fd. */
static void put_until_closed(int fd, const char *text)
{
	int64_t end_us = clock_now_us() + WAIT_US;

	while (send(fd, text, strlen(text), MSG_NOSIGNAL) > 0)
		g_assert_cmpint(clock_now_us(), <, end_us);
	close(fd);
}

/*
 * Guards against answers that never end: in each place in which a target can
 * send bytes without end, the call fails and the connection is closed long
 * before the call's deadline.
 */
static void test_endless(void)
{
	static const struct {
		/* Sent once, and then without end. */
		const char *begin;
		const char *repeat;
	} answers[] = {
		{ "", "\r\n" },
		{ "", "no answer at all " },
		{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "HTTP/1.1 200 ", "very " },
		{ "HTTP/1.1 200 OK\r\nX-", "Name" },
		{ "HTTP/1.1 200 OK\r\nX: ", "value " },
		{ "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
		{ HEAD_OK "\r\n", "body without a length " },
		{ HEAD_OK "Content-Length: 99999999999\r\n\r\n", "body " },
		{ HEAD_OK "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r"
								"\n" },
		{ HEAD_OK "Transfer-Encoding: chunked\r\n\r\n4;", "x=y;" },
		{ HEAD_OK "Transfer-Encoding: chunked\r\n\r\n", "1;extension-"
								"of-a-chunk="
								"that-is-much-"
								"longer-than-"
								"it\r\nb\r\n" },
		{ HEAD_OK "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: "
								     "y\r\n" },
		{ HEAD_OK "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "value"
									" " },
		{ HEAD_OK "Content-Length: 2\r\n\r\nok", "after the answer" },
	};
	uint32_t i;

	for (i = 0; i < countof(answers); i++) {
		struct egress_case c;
		struct target_reply *r;
		int64_t from_us = clock_now_us();
		int fd;

		egress_begin(&c);
		call(&c, "r1", 0);
		fd = accept(c.listener, NULL, NULL);
		expect(fd, "\r\n\r\n");
		put(fd, answers[i].begin);
		put_until_closed(fd, answers[i].repeat);
		r = reply(&c);
		if (i + 1 < countof(answers))
			g_assert_cmpint(r->code, !=, ERR_OK);
		else
			g_assert_cmpstr(r->body.data, ==, "ok");
		g_assert_cmpint(r->code, !=, ERR_TARGET_TIMEOUT);
		g_assert_cmpuint(r->not_run, ==, 0);
		target_reply_free(r);
		g_assert_cmpint(clock_now_us() - from_us, <, WAIT_US);
		egress_end(&c);
	}
}

/* Bytes of unfinished answers that the duty keeps at most. */
#define BUFFERED_MAX (32 * 1048576)
/* Calls whose answers together are longer than what the duty may keep. */
#define LONG_ANSWERS 12
/* Bytes of each of them, below the limit for one answer. */
#define LONG_ANSWER_BYTES (3 * 1048576 + 524288)

/* Calls of the service in trouble, and the bytes of each unfinished answer. */
#define TROUBLED_CALLS 6
#define TROUBLED_BYTES 2000000
/* Bytes of the unfinished answer of another service; the longest of all. */
#define SOUND_BYTES 3000000

/* Sends @len bytes of the body of an answer. */
static void put_body(int fd, size_t len)
{
	g_autofree char *body = g_strnfill(len, 'x');
	size_t sent = 0;
	ssize_t n;

	while (sent < len &&
	       (n = send(fd, body + sent, len - sent, MSG_NOSIGNAL)) > 0)
		sent += (size_t)n;
}

/*
 * Guards against a service whose targets send much, and do not end, and which
 * uses up the memory for the answers of others: it loses its own.
 */
static void test_service_memory(void)
{
	struct memory_account account = { .limit_bytes = 24 * 1048576 };
	int fds[TROUBLED_CALLS + 1];
	struct egress_case c;
	struct target_reply *r;
	uint64_t sound;
	uint32_t i;

	egress_begin_with(&c, &account);
	c.target_id = "t2";
	c.service = "s2";
	sound = call(&c, "r1", 0);
	fds[0] = accept(c.listener, NULL, NULL);
	expect(fds[0], "\r\n\r\n");
	put(fds[0], HEAD_OK "Content-Length: 3000001\r\n\r\n");
	put_body(fds[0], SOUND_BYTES);
	c.target_id = "t1";
	c.service = "s1";
	for (i = 1; i <= TROUBLED_CALLS; i++) {
		call(&c, "r1", 0);
		fds[i] = accept(c.listener, NULL, NULL);
		expect(fds[i], "\r\n\r\n");
		put(fds[i], HEAD_OK "Content-Length: 4000000\r\n\r\n");
		put_body(fds[i], TROUBLED_BYTES);
	}
	r = reply(&c);
	g_assert_cmpuint(r->call_id, !=, sound);
	g_assert_cmpint(r->code, ==, ERR_TARGET_SIZE);
	target_reply_free(r);
	put(fds[0], "x");
	do {
		r = reply(&c);
		if (r->call_id != sound)
			g_assert_cmpint(r->code, ==, ERR_TARGET_SIZE);
		else
			g_assert_cmpint(r->code, ==, ERR_OK);
		i = r->call_id == sound;
		target_reply_free(r);
	} while (!i);
	egress_end(&c);
	g_assert_cmpint(account.held_bytes, ==, 0);
	for (i = 0; i <= TROUBLED_CALLS; i++)
		close(fds[i]);
}

/*
 * Guards against unfinished answers of many targets that together use up the
 * memory of the host: some of the calls fail, and those that are left may go
 * on.
 */
static void test_many_long(void)
{
	char *bytes CLEANUP_FREE = util_alloc(LONG_ANSWER_BYTES, 1);
	int fds[LONG_ANSWERS];
	struct egress_case c;
	uint32_t failed = 0;
	uint32_t i;

	egress_begin(&c);
	for (i = 0; i < LONG_ANSWERS; i++)
		call(&c, "r1", 0);
	for (i = 0; i < LONG_ANSWERS; i++) {
		fds[i] = accept(c.listener, NULL, NULL);
		expect(fds[i], "\r\n\r\n");
		put(fds[i], HEAD_OK "Content-Length: 4000000\r\n\r\n");
	}
	for (i = 0; i < LONG_ANSWERS; i++) {
		size_t sent = 0;

		while (sent < LONG_ANSWER_BYTES) {
			ssize_t n = send(fds[i], bytes + sent,
					 LONG_ANSWER_BYTES - sent,
					 MSG_NOSIGNAL);

			if (n <= 0)
				break;
			sent += (size_t)n;
		}
	}
	while (failed * LONG_ANSWER_BYTES <
	       LONG_ANSWERS * LONG_ANSWER_BYTES - BUFFERED_MAX) {
		struct target_reply *r = reply(&c);

		g_assert_cmpint(r->code, ==, ERR_TARGET_SIZE);
		target_reply_free(r);
		failed++;
	}
	g_assert_cmpuint(failed, <, LONG_ANSWERS);
	egress_end(&c);
	for (i = 0; i < LONG_ANSWERS; i++)
		close(fds[i]);
}

/*
 * Guards against overlooking what a target says of itself: that it is leaving,
 * in any answer, and for how long it wants no call, in a 503. A time that is
 * not valid is ignored and counted.
 */
static void test_notices(void)
{
	static const struct {
		const char *head;
		uint32_t is_leaving;
		uint32_t pause_ms;
		uint32_t ignored;
	} answers[] = {
		{ "200 OK\r\nServer-Leaving: 1", 1, 0, 0 },
		{ "500 Failed\r\nserver-leaving: 1", 1, 0, 0 },
		{ "503 Busy\r\nServer-Leaving: 0", 0, 0, 0 },
		{ "503 Busy\r\nRetry-After: 2\r\nServer-Leaving: 1", 1, 2000,
		  0 },
		{ "503 Busy\r\nRetry-After: 0.25", 0, 250, 0 },
		{ "503 Busy\r\nRetry-After: 0.0004", 0, 1, 0 },
		{ "503 Busy\r\nRetry-After: 0", 0, 0, 0 },
		{ "503 Busy\r\nRetry-After: 99999999999999999999", 0,
		  UINT32_MAX, 0 },
		{ "503 Busy\r\nRetry-After: -1", 0, 0, 1 },
		{ "503 Busy\r\nRetry-After: soon", 0, 0, 1 },
		{ "503 Busy\r\nRetry-After: 1e9", 0, 0, 1 },
		{ "503 Busy\r\nRetry-After: nan", 0, 0, 1 },
		{ "503 Busy\r\nRetry-After: 1.2.3", 0, 0, 1 },
		{ "503 Busy\r\nRetry-After:", 0, 0, 1 },
		{ "503 Busy\r\nRetry-After: Fri, 31 Dec 1999 23:59:59 GMT", 0,
		  0, 1 },
		{ "429 Busy\r\nRetry-After: 2", 0, 0, 0 },
		{ "200 OK\r\nRetry-After: 2", 0, 0, 0 },
	};
	struct egress_case c;
	uint32_t i;
	int fd = -1;

	egress_begin(&c);
	for (i = 0; i < countof(answers); i++) {
		g_autofree char *text = g_strdup_printf("HTTP/1.1 "
							"%s\r\nCowslippoint-"
							"Request-Id: r1\r\n"
							"Content-Length: "
							"0\r\n\r\n",
							answers[i].head);
		uint64_t ignored = metric_get(METRIC_TARGET_PAUSES_IGNORED);
		struct target_reply *r;

		call(&c, "r1", 0);
		if (fd < 0)
			fd = accept(c.listener, NULL, NULL);
		expect(fd, "\r\n\r\n");
		put(fd, text);
		r = reply(&c);
		g_assert_cmpuint(r->is_leaving, ==, answers[i].is_leaving);
		g_assert_cmpuint(r->pause_ms, ==, answers[i].pause_ms);
		g_assert_cmpuint(metric_get(METRIC_TARGET_PAUSES_IGNORED), ==,
				 ignored + answers[i].ignored);
		/* Callers are not told that a target is leaving. */
		g_assert_true(!r->fields.data ||
			      !strcasestr(r->fields.data, "server-leaving"));
		target_reply_free(r);
	}
	egress_end(&c);
	close(fd);
}

/* Guards against taking an answer that was cut off for a complete one. */
static void test_cut(void)
{
	static const char *const answers[] = {
		HEAD_OK "Content-Length: 9\r\n\r\nhalf",
		HEAD_OK "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nCowslip",
		"not an answer\r\n\r\n",
		"",
	};
	struct egress_case c;
	uint32_t i;

	egress_begin(&c);
	for (i = 0; i < countof(answers); i++) {
		struct target_reply *r;
		int fd;

		call(&c, "r1", 0);
		fd = accept(c.listener, NULL, NULL);
		expect(fd, "\r\n\r\n");
		put(fd, answers[i]);
		close(fd);
		r = reply(&c);
		g_assert_cmpint(r->code, ==, ERR_TARGET_CLOSED);
		g_assert_cmpuint(r->not_run, ==, 0);
		target_reply_free(r);
	}
	egress_end(&c);
}

/*
 * Guards against waiting for the body of an answer that has none, whatever
 * length it states: to HEAD, and with the status 204 or 304.
 */
static void test_no_body(void)
{
	static const struct {
		const char *method;
		const char *head;
		uint64_t length_bytes;
	} answers[] = {
		{ "HEAD", "200 OK\r\nContent-Length: 5", 5 },
		{ "HEAD", "404 None\r\nTransfer-Encoding: chunked", 0 },
		{ "GET", "304 Same\r\nContent-Length: 7", 7 },
		{ "GET", "304 Same", 0 },
		{ "GET", "204 None", 0 },
	};
	struct egress_case c;
	uint32_t i;
	int fd = -1;

	egress_begin(&c);
	for (i = 0; i < countof(answers); i++) {
		g_autofree char *text = g_strdup_printf("HTTP/1.1 "
							"%s\r\nCowslippoint-"
							"Request-Id: "
							"r1\r\n\r\n",
							answers[i].head);
		struct target_reply *r;

		c.method = answers[i].method;
		call(&c, "r1", 0);
		/* All calls use one connection. */
		if (fd < 0)
			fd = accept(c.listener, NULL, NULL);
		expect(fd, "\r\n\r\n");
		put(fd, text);
		r = reply(&c);
		g_assert_cmpint(r->code, ==, ERR_OK);
		g_assert_cmpuint(r->body.len_bytes, ==, 0);
		g_assert_cmpuint(r->has_length, ==,
				 answers[i].length_bytes > 0);
		g_assert_cmpuint(r->length_bytes, ==, answers[i].length_bytes);
		target_reply_free(r);
	}
	egress_end(&c);
	close(fd);
}

/*
 * Guards against refusing an answer without a length: it is complete when its
 * connection ends.
 */
static void test_no_length(void)
{
	struct egress_case c;
	struct target_reply *r;
	int fd;

	egress_begin(&c);
	call(&c, "r1", 0);
	fd = accept(c.listener, NULL, NULL);
	expect(fd, "\r\n\r\n");
	put(fd, HEAD_OK "\r\nwhole");
	close(fd);
	r = reply(&c);
	g_assert_cmpint(r->code, ==, ERR_OK);
	g_assert_cmpstr(r->body.data, ==, "whole");
	target_reply_free(r);
	egress_end(&c);
}

/*
 * Guards against trusting a "not run" that may belong to an earlier request: on
 * a connection that was used before, an answer without a request ID says
 * nothing about this request.
 */
static void test_not_run(void)
{
	static const char busy[] = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
				   "Cowslippoint-Not-Executed: 1\r\n\r\n";
	struct egress_case c;
	struct target_reply *r;
	uint32_t i;
	int fd = -1;

	egress_begin(&c);
	for (i = 0; i < 2; i++) {
		call(&c, "r1", 1);
		if (fd < 0)
			fd = accept(c.listener, NULL, NULL);
		expect(fd, "\r\n\r\n");
		put(fd, busy);
		r = reply(&c);
		g_assert_cmpuint(r->status, ==, 503);
		g_assert_cmpuint(r->not_run, ==, i == 0);
		target_reply_free(r);
	}
	egress_end(&c);
	close(fd);
}

/*
 * Guards against idle connections that stay open to targets that accept few
 * connections. Here the target does not close the connection by itself.
 */
static void test_idle(void)
{
	struct egress_case c;
	struct target_reply *r;
	int fd;

	egress_begin(&c);
	c.idle_timeout_ms = 1;
	call(&c, "r1", 0);
	fd = accept(c.listener, NULL, NULL);
	expect(fd, "\r\n\r\n");
	put(fd, HEAD_OK "Content-Length: 1\r\n\r\nx");
	r = reply(&c);
	g_assert_cmpint(r->code, ==, ERR_OK);
	target_reply_free(r);
	expect_end(fd);
	egress_end(&c);
}

/*
 * Guards against calls that get no reply after a cancellation or a refused
 * connection.
 */
static void test_ends(void)
{
	struct egress_case c;
	struct target_call *cancel = util_alloc(1, sizeof(*cancel));
	struct msg m = { MSG_TARGET_CALL, cancel, NULL };
	struct target_reply *r;
	int fd;

	egress_begin(&c);
	cancel->call_id = call(&c, "r1", 0);
	cancel->is_cancel = 1;
	fd = accept(c.listener, NULL, NULL);
	expect(fd, "\r\n\r\n");
	g_assert_cmpint(ring_push(egress_ring(c.egress), &m), ==, ERR_OK);
	r = reply(&c);
	g_assert_cmpint(r->code, ==, ERR_CANCELLED);
	target_reply_free(r);
	expect_end(fd);
	close(c.listener);
	call(&c, "r2", 0);
	r = reply(&c);
	g_assert_cmpint(r->code, ==, ERR_TARGET_CONNECT);
	g_assert_cmpuint(r->not_run, ==, 1);
	target_reply_free(r);
	c.listener = loopback_listen(&c.port);
	egress_end(&c);
}

struct ingress_case {
	struct ingress *ingress;
	struct ring *requests;
	struct memory_account memory;
	uint16_t caller_port;
	uint16_t ready_port;
	_Atomic int is_ready;
};

/* Readiness of the host, as the ingress duty asks for it. */
static int is_ready(void *ctx)
{
	struct ingress_case *c = ctx;

	return c->is_ready;
}

/* Returns a free port; another process may take it before it is used. */
static uint16_t free_port(void)
{
	uint16_t port;

	close(loopback_listen(&port));
	return port;
}

/* Idle time-out until a configuration states one. */
#define IDLE_DEFAULT_US (15 * (int64_t)US_PER_S)
/* Callers that the ingress duty serves at the same time. */
#define CONNECTIONS_MAX 64

/* Memory for messages. */
#define MEMORY_LIMIT (64 * 1048576)

/* Opens the listeners; nothing is accepted until the duty is started. */
static void ingress_open(struct ingress_case *c)
{
	struct ingress_options options = { .connections_max = CONNECTIONS_MAX,
					   .is_ready = is_ready,
					   .ready_ctx = c };
	struct err err = { 0 };

	memset(c, 0, sizeof(*c));
	c->requests = ring_new(RING_SIZE, NULL, NULL, &err);
	c->caller_port = free_port();
	c->ready_port = free_port();
	util_copy_str(options.caller.address, sizeof(options.caller.address),
		      "127.0.0.1");
	util_copy_str(options.ready.address, sizeof(options.ready.address),
		      "127.0.0.1");
	options.caller.port = c->caller_port;
	options.ready.port = c->ready_port;
	options.requests = c->requests;
	options.account = &c->memory;
	c->memory.limit_bytes = MEMORY_LIMIT;
	c->ingress = ingress_new(&options, &err);
	g_assert_nonnull(c->ingress);
}

static void ingress_begin(struct ingress_case *c)
{
	struct err err = { 0 };

	ingress_open(c);
	g_assert_cmpint(ingress_start(c->ingress, &err), ==, ERR_OK);
}

static void ingress_end(struct ingress_case *c)
{
	ingress_stop(c->ingress);
	ingress_free(c->ingress);
	ring_free(c->requests);
}

/* Sends @a, which the ingress duty frees. */
static void push_answer(struct ingress_case *c, struct exchange_answer *a)
{
	struct msg m = { MSG_EXCHANGE_ANSWER, a, NULL };

	g_assert_cmpint(ring_push(ingress_ring(c->ingress), &m), ==, ERR_OK);
}

/* Answers the request of connection @conn with 200 and @body. */
static void answer(struct ingress_case *c, uint64_t conn, const char *body)
{
	struct exchange_answer *a = util_alloc(1, sizeof(*a));

	a->conn_id = conn;
	a->status = 200;
	buf_addf(&a->fields, "X-Kept: 1\r\n");
	buf_addf(&a->body, "%s", body);
	push_answer(c, a);
}

#define HEAD_GET                    \
	"GET /p/q HTTP/1.1\r\n"     \
	"Host: shop.example:80\r\n" \
	"Cowslippoint-Request-Id: r1\r\n"

/*
 * Guards against requests and answers that the ingress duty changes, except for
 * the headers that belong to one connection or to the gateway.
 */
static void test_exchange(void)
{
	struct ingress_case c;
	struct exchange_request *r;
	uint32_t i;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	for (i = 0; i < 2; i++) {
		put(fd, HEAD_GET "Cowslippoint-Deadline-Ms: 900\r\nX-A: b\r\n"
				 "Connection: keep-alive\r\n"
				 "Content-Length: 2\r\n\r\nhi");
		r = take(c.requests, MSG_EXCHANGE_REQUEST);
		g_assert_cmpstr(r->host_name, ==, "shop.example");
		g_assert_cmpstr(r->id, ==, "r1");
		g_assert_cmpuint(r->caller_timeout_ms, ==, 900);
		g_assert_cmpstr(r->message->uri, ==, "/p/q");
		g_assert_cmpstr(r->message->body.data, ==, "hi");
		g_assert_nonnull(strstr(r->message->fields.data, "X-A: b\r\n"));
		g_assert_null(strstr(r->message->fields.data, "Deadline"));
		g_assert_null(strstr(r->message->fields.data, "Connection"));
		g_assert_cmpuint(r->is_first_on_conn, ==, i == 0);
		answer(&c, r->conn_id, "bytes");
		exchange_request_free(r);
		expect(fd, "X-Kept: 1\r\nContent-Length: 5\r\n\r\nbytes");
	}
	close(fd);
	ingress_end(&c);
}

/*
 * Guards against refusing a request for the number of its header fields: only
 * the bytes of the head are limited. All fields are passed on.
 */
static void test_many_fields(void)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct ingress_case c;
	struct exchange_request *r;
	uint32_t i;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	buf_addf(&text, HEAD_GET);
	for (i = 0; i < 1000; i++)
		buf_addf(&text, "X-%u: %u\r\n", i, i % 7);
	buf_addf(&text, "X-Empty:\r\nX-Last: z\r\n\r\n");
	put(fd, text.data);
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	g_assert_nonnull(strstr(r->message->fields.data, "X-0: 0\r\n"));
	g_assert_nonnull(strstr(r->message->fields.data, "X-999: 5\r\n"));
	g_assert_nonnull(strstr(r->message->fields.data, "X-Empty: \r\nX-Last: "
							 "z\r\n"));
	exchange_request_free(r);
	close(fd);
	ingress_end(&c);
}

/*
 * Guards against a time in a header field that is too large for its member and
 * turns into a short one.
 */
static void test_large_times(void)
{
	struct egress_case e;
	struct ingress_case c;
	struct exchange_request *r;
	struct target_reply *reply_of_target;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	put(fd, HEAD_GET "Cowslippoint-Deadline-Ms: 4294967297\r\n\r\n");
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	g_assert_cmpuint(r->caller_timeout_ms, ==, UINT32_MAX);
	exchange_request_free(r);
	close(fd);
	ingress_end(&c);
	egress_begin(&e);
	call(&e, "r1", 0);
	fd = accept(e.listener, NULL, NULL);
	expect(fd, "\r\n\r\n");
	put(fd, HEAD_OK "Cowslippoint-Warmup-Ms: 4294967297\r\n"
			"Content-Length: 0\r\n\r\n");
	reply_of_target = reply(&e);
	g_assert_cmpint(reply_of_target->warmup_left_ms, ==, INT32_MAX);
	target_reply_free(reply_of_target);
	egress_end(&e);
	close(fd);
}

/*
 * Guards against a body where the caller expects its next answer: answers to
 * HEAD have none, be they a target's or errors of the gateway, and neither have
 * those with the status 204 or 304. The next answer on the connection follows.
 */
static void test_answer_no_body(void)
{
	static const struct {
		const char *method;
		uint32_t status;
		enum err_code code;
		/* Length that the target's answer states; 0: none. */
		uint64_t length_bytes;
		const char *expected;
	} answers[] = {
		{ "HEAD", 503, ERR_NO_REPLICA, 0,
		  "HTTP/1.1 503 Service Unavailable\r\n"
		  "Content-Type: application/json\r\n"
		  "Content-Length: 22\r\n\r\n" },
		{ "HEAD", 200, ERR_OK, 9,
		  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" },
		{ "HEAD", 200, ERR_OK, 0, "HTTP/1.1 200 OK\r\n\r\n" },
		{ "GET", 304, ERR_OK, 9,
		  "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n" },
		{ "GET", 304, ERR_OK, 0, "HTTP/1.1 304 Not Modified\r\n\r\n" },
		{ "GET", 204, ERR_OK, 9, "HTTP/1.1 204 No Content\r\n\r\n" },
		{ "GET", 503, ERR_NO_REPLICA, 0,
		  "Content-Length: 22\r\n\r\n{\"error\":\"NO_REPLICA\"}" },
	};
	struct ingress_case c;
	uint32_t i;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	for (i = 0; i < countof(answers); i++) {
		g_autofree char *text = g_strdup_printf("%s /p/q "
							"HTTP/1.1\r\nHost: "
							"h\r\n"
							"Cowslippoint-Request-"
							"Id: r1\r\n\r\n",
							answers[i].method);
		struct exchange_answer *a = util_alloc(1, sizeof(*a));
		struct exchange_request *r;

		put(fd, text);
		r = take(c.requests, MSG_EXCHANGE_REQUEST);
		a->conn_id = r->conn_id;
		a->status = answers[i].status;
		a->code = answers[i].code;
		a->has_length = answers[i].length_bytes > 0;
		a->length_bytes = answers[i].length_bytes;
		push_answer(&c, a);
		exchange_request_free(r);
		expect_bytes(fd, answers[i].expected);
	}
	close(fd);
	ingress_end(&c);
}

/*
 * Guards against work for a request that goes on because the ingress duty did
 * not report that its caller closed the connection.
 */
static void test_gone(void)
{
	struct ingress_case c;
	struct exchange_request *r;
	struct exchange_caller_gone *gone;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	put(fd, HEAD_GET "\r\n");
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	close(fd);
	gone = take(c.requests, MSG_EXCHANGE_CALLER_GONE);
	g_assert_cmpuint(gone->conn, ==, r->conn_id);
	/* An answer for the closed connection is dropped. */
	answer(&c, r->conn_id, "late");
	free(gone);
	exchange_request_free(r);
	ingress_end(&c);
}

/*
 * Guards against malformed input of callers that is passed on or ends the
 * process.
 */
static void test_malformed(void)
{
	g_autofree char *fill = g_strnfill(20000, 'x');
	g_autofree char *large =
		g_strdup_printf("GET / HTTP/1.1\r\nX-Large: %s\r\n\r\n", fill);
	const struct {
		const char *request;
		const char *status;
	} cases[] = {
		{ "nonsense\r\n\r\n", " 400 " },
		{ "GET / HTTP/1.1\r\nHost: h\r\n\r\n", " 400 " },
		{ "GET / HTTP/1.1\r\nCowslippoint-Request-Id: r\r\n\r\n", " 400"
									  " " },
		{ HEAD_GET "Content-Length: 999999999\r\n\r\n", NULL },
		{ large, " 431 " },
	};
	struct ingress_case c;
	uint32_t i;

	ingress_begin(&c);
	for (i = 0; i < countof(cases); i++) {
		int fd = loopback_connect(c.caller_port);

		put(fd, cases[i].request);
		if (cases[i].status)
			expect(fd, cases[i].status);
		close(fd);
	}
	ingress_end(&c);
}

/* Longer than what callers may send. */
#define LONG_REQUEST_BYTES 4000000

/*
 * Guards against a refusal that is lost: a caller that is still sending the body
 * of a request when it is refused reads the refusal, and then the end of the
 * stream instead of a reset, which may discard what it has not read yet.
 */
static void test_refused_long(void)
{
	char *body CLEANUP_FREE = util_alloc(LONG_REQUEST_BYTES, 1);
	struct ingress_case c;
	size_t sent = 0;
	int fd;

	memset(body, 'b', LONG_REQUEST_BYTES);
	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	put(fd, HEAD_GET "Content-Length: 4000000\r\n\r\n");
	while (sent < LONG_REQUEST_BYTES) {
		ssize_t n = send(fd, body + sent, LONG_REQUEST_BYTES - sent,
				 MSG_NOSIGNAL);

		g_assert_cmpint(n, >, 0);
		sent += (size_t)n;
	}
	expect(fd, "HTTP/1.1 413 Payload Too Large\r\n");
	g_assert_cmpint(recv(fd, body, 1, 0), ==, 0);
	close(fd);
	ingress_end(&c);
}

/*
 * Guards against a host that the load balancer still uses while the host
 * drains.
 */
static void test_ready(void)
{
	static const char get[] = "GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n";
	struct ingress_case c;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.ready_port);
	put(fd, get);
	expect(fd, "NO_CONFIG");
	c.is_ready = 1;
	put(fd, get);
	expect(fd, " 200 ");
	ingress_drain(c.ingress);
	put(fd, get);
	expect(fd, " 503 ");
	expect_end(fd);
	ingress_end(&c);
}

/*
 * Guards against a host that ends before a request that it has read is
 * answered, and against one that still accepts connections while it drains
 * (soak seed 22).
 */
static void test_leave(void)
{
	struct ingress_case c;
	struct msg m = { MSG_LEAVE, NULL, NULL };
	struct exchange_answer *a = util_alloc(1, sizeof(*a));
	struct msg answer = { MSG_EXCHANGE_ANSWER, a, NULL };
	struct exchange_request *r;
	struct sockaddr_storage sa;
	socklen_t len;
	int idle;
	int busy;
	int late;

	ingress_begin(&c);
	idle = loopback_connect(c.caller_port);
	busy = loopback_connect(c.caller_port);
	put(busy, HEAD_GET "\r\n");
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	ingress_drain(c.ingress);
	g_assert_false(ingress_is_finished(c.ingress));
	g_assert_cmpint(ring_push(ingress_ring(c.ingress), &m), ==, ERR_OK);
	expect_end(idle);
	g_assert_false(ingress_is_finished(c.ingress));
	len = addr_parse("127.0.0.1", c.caller_port, &sa);
	late = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(connect(late, (struct sockaddr *)&sa, len), !=, 0);
	close(late);
	a->conn_id = r->conn_id;
	a->status = 503;
	a->code = ERR_STOPPING;
	g_assert_cmpint(ring_push(ingress_ring(c.ingress), &answer), ==,
			ERR_OK);
	expect(busy, "STOPPING");
	expect_end(busy);
	g_assert_true(ingress_is_finished(c.ingress));
	exchange_request_free(r);
	ingress_end(&c);
}

/*
 * Guards against a planned stop that drops requests which a caller has sent
 * behind the one that is answered: all of them are answered, and the last answer
 * says that the connection ends.
 */
static void test_leave_ahead(void)
{
	struct ingress_case c;
	struct msg m = { MSG_LEAVE, NULL, NULL };
	uint32_t i;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	put(fd, HEAD_GET "\r\n" HEAD_GET "\r\n" HEAD_GET "\r\n");
	for (i = 0; i < 3; i++) {
		struct exchange_request *r =
			take(c.requests, MSG_EXCHANGE_REQUEST);

		if (i == 0) {
			ingress_drain(c.ingress);
			g_assert_cmpint(ring_push(ingress_ring(c.ingress), &m),
					==, ERR_OK);
		}
		answer(&c, r->conn_id, "body");
		expect_bytes(fd, i < 2 ? "HTTP/1.1 200 OK\r\nX-Kept: 1\r\n"
					 "Content-Length: 4\r\n\r\nbody"
				       : "HTTP/1.1 200 OK\r\nX-Kept: 1\r\n"
					 "Connection: close\r\n"
					 "Content-Length: 4\r\n\r\nbody");
		exchange_request_free(r);
	}
	expect_end(fd);
	ingress_end(&c);
}

/*
 * Guards against kept connections on which the limits of an earlier
 * configuration hold: here a larger body, and a longer head, and then smaller
 * ones.
 */
static void test_changed_limits(void)
{
	static const struct {
		struct caller_limits limits;
		uint32_t body_bytes;
		/* Expected status; 0: the request is passed on. */
		uint32_t status;
	} steps[] = {
		{ { 16384, 1000, 0, 0 }, 1000, 0 },
		{ { 16384, 3000, 0, 0 }, 3000, 0 },
		{ { 16384, 2000, 0, 0 }, 2000, 0 },
		{ { 16384, 2000, 0, 0 }, 2001, 413 },
	};
	struct ingress_case c;
	uint32_t i;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	for (i = 0; i < countof(steps); i++) {
		g_autofree char *body = g_strnfill(steps[i].body_bytes, 'x');
		g_autofree char *text =
			g_strdup_printf("POST /p/q HTTP/1.1\r\nHost: "
					"shop.example\r\n"
					"Cowslippoint-Request-Id: r\r\n"
					"Content-Length: %u\r\n\r\n%s",
					steps[i].body_bytes, body);
		struct exchange_request *r;

		/* The connection is idle: its last answer was read. */
		ingress_set_limits(c.ingress, &steps[i].limits);
		put(fd, text);
		if (steps[i].status) {
			expect(fd, "HTTP/1.1 413 ");
			break;
		}
		r = take(c.requests, MSG_EXCHANGE_REQUEST);
		answer(&c, r->conn_id, "body");
		expect(fd, "body");
		exchange_request_free(r);
	}
	close(fd);
	ingress_end(&c);
}

/*
 * Guards against idle connections that outlast the idle time-out of the
 * configuration in force: here it falls from 15 s to 50 ms.
 */
static void test_changed_idle(void)
{
	static const struct caller_limits shorter = { 0, 0, 0, 50 };
	struct ingress_case c;
	struct exchange_request *r;
	int64_t from_us = clock_now_us();
	int used;
	int unused;

	ingress_begin(&c);
	unused = loopback_connect(c.caller_port);
	used = loopback_connect(c.caller_port);
	put(used, HEAD_GET "\r\n");
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	answer(&c, r->conn_id, "body");
	expect(used, "body");
	ingress_set_limits(c.ingress, &shorter);
	expect_end(used);
	expect_end(unused);
	g_assert_cmpint(clock_now_us() - from_us, <, IDLE_DEFAULT_US);
	exchange_request_free(r);
	ingress_end(&c);
}

/*
 * Guards against a head within its limit that is refused because it exceeds one
 * of the parser.
 */
static void test_long_head(void)
{
	static const struct caller_limits limits = { 200000, 1000, 0, 0 };
	g_autofree char *value = g_strnfill(150000, 'v');
	struct ingress_case c;
	struct exchange_request *r;
	int fd;

	ingress_begin(&c);
	ingress_set_limits(c.ingress, &limits);
	fd = loopback_connect(c.caller_port);
	put(fd, HEAD_GET "X-Long: ");
	put(fd, value);
	put(fd, "\r\n\r\n");
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	g_assert_cmpuint(r->message->fields.len_bytes, >, 150000);
	answer(&c, r->conn_id, "body");
	expect(fd, "body");
	exchange_request_free(r);
	put(fd, HEAD_GET "X-Long: ");
	put(fd, value);
	put(fd, value);
	expect(fd, "HTTP/1.1 431 ");
	close(fd);
	ingress_end(&c);
}

/*
 * Guards against a body within its limit that is refused because its chunks are
 * small; and against framing that has no bound.
 */
static void test_small_chunks(void)
{
	static const struct caller_limits limits = { 16384, 100000, 0, 0 };
	g_autoptr(GString) text = g_string_new("POST /p/q HTTP/1.1\r\nHost: "
					       "shop.example\r\n"
					       "Cowslippoint-Request-Id: r\r\n"
					       "Transfer-Encoding: "
					       "chunked\r\n\r\n");
	struct ingress_case c;
	struct exchange_request *r;
	uint32_t i;
	int fd;

	ingress_begin(&c);
	ingress_set_limits(c.ingress, &limits);
	fd = loopback_connect(c.caller_port);
	put(fd, text->str);
	for (i = 0; i < limits.body_bytes_max; i++)
		put(fd, "1\r\nx\r\n");
	put(fd, "0\r\n\r\n");
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	g_assert_cmpuint(r->message->body.len_bytes, ==, limits.body_bytes_max);
	answer(&c, r->conn_id, "body");
	expect(fd, "body");
	exchange_request_free(r);
	g_string_append(text, "1;");
	for (i = 0; i < 100000; i++)
		g_string_append(text, "x");
	put(fd, text->str);
	expect(fd, "HTTP/1.1 413 ");
	close(fd);
	ingress_end(&c);
}

/* Bytes of a body that is sent ahead; more than is kept. */
#define AHEAD_BODY_BYTES 200000

/* Waits until @a holds @bytes or more, or none if @bytes is 0. */
static void wait_held(struct memory_account *a, int64_t bytes)
{
	int64_t end_us = clock_now_us() + WAIT_US;

	while (bytes ? a->held_bytes < bytes : a->held_bytes != 0) {
		g_assert_cmpint(clock_now_us(), <, end_us);
		g_usleep(1000);
	}
}

/*
 * Guards against a process that takes in more than its memory bears: a large
 * body waits at its caller, and a new request is refused as not run. What was
 * taken in is given back in the end.
 */
static void test_memory(void)
{
	g_autofree char *body = g_strnfill(AHEAD_BODY_BYTES, 'x');
	struct memory_hold other = { 0 };
	struct ingress_case c;
	struct exchange_request *r;
	int large;
	int small;

	ingress_begin(&c);
	large = loopback_connect(c.caller_port);
	small = loopback_connect(c.caller_port);
	/* Others hold so much that no large message is read on. */
	memory_hold_set(&other, &c.memory, MEMORY_LIMIT / 10 * 8);
	put(large, "POST /p/q HTTP/1.1\r\nHost: h\r\n"
		   "Cowslippoint-Request-Id: r2\r\nContent-Length: 200000"
		   "\r\n\r\n");
	put(large, body);
	put(small, HEAD_GET "\r\n");
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	g_assert_cmpstr(r->id, ==, "r1");
	answer(&c, r->conn_id, "body");
	expect(small, "body");
	exchange_request_free(r);
	/* All of the memory. */
	memory_hold_set(&other, &c.memory, MEMORY_LIMIT);
	put(small, HEAD_GET "\r\n");
	expect(small, "HTTP/1.1 503 ");
	memory_hold_release(&other);
	r = take(c.requests, MSG_EXCHANGE_REQUEST);
	g_assert_cmpstr(r->id, ==, "r2");
	g_assert_cmpuint(r->message->body.len_bytes, ==, AHEAD_BODY_BYTES);
	wait_held(&c.memory, AHEAD_BODY_BYTES);
	answer(&c, r->conn_id, "body");
	expect(large, "body");
	exchange_request_free(r);
	wait_held(&c.memory, 0);
	close(large);
	close(small);
	ingress_end(&c);
}

/* Requests with such a body that are sent ahead. */
#define AHEAD_REQUESTS 5
/* Time in which a caller that has sent too much would be disconnected. */
#define AHEAD_WAIT_MS 200

/*
 * Guards against a caller that sends much ahead of an answer and is disconnected
 * without the answers that are due. What it sends is read as answers are
 * written.
 */
static void test_ahead(void)
{
	g_autofree char *body = g_strnfill(AHEAD_BODY_BYTES, 'x');
	g_autofree char *post = g_strdup_printf("POST /p/q HTTP/1.1\r\nHost: "
						"shop.example\r\n"
						"Cowslippoint-Request-Id: "
						"r2\r\nContent-Length: "
						"%u\r\n\r\n%s",
						AHEAD_BODY_BYTES, body);
	struct ingress_case c;
	struct pollfd end;
	size_t sent = 0;
	uint32_t answered = 0;
	uint32_t i = 0;
	int fd;

	ingress_begin(&c);
	fd = loopback_connect(c.caller_port);
	end = (struct pollfd){ .fd = fd, .events = POLLIN };
	put(fd, HEAD_GET "\r\n");
	while (answered <= AHEAD_REQUESTS) {
		struct exchange_request *r;

		/* As much as the sockets take. */
		while (i < AHEAD_REQUESTS) {
			ssize_t n = send(fd, post + sent, strlen(post) - sent,
					 MSG_NOSIGNAL | MSG_DONTWAIT);

			if (n < 0)
				break;
			sent += (size_t)n;
			if (sent < strlen(post))
				continue;
			sent = 0;
			i++;
		}
		r = take(c.requests, MSG_EXCHANGE_REQUEST);
		g_assert_cmpuint(r->message->body.len_bytes, ==,
				 answered ? AHEAD_BODY_BYTES : 0);
		/* The connection would end meanwhile. */
		if (!answered)
			g_assert_cmpint(poll(&end, 1, AHEAD_WAIT_MS), ==, 0);
		answer(&c, r->conn_id, "body");
		expect(fd, "body");
		exchange_request_free(r);
		answered++;
	}
	close(fd);
	ingress_end(&c);
}

/* Callers that connect just before the host leaves. */
#define LEAVE_CALLERS 100

/*
 * Guards against a planned stop under load that cuts off requests whose
 * connections wait to be accepted, or were accepted just before: here all of
 * them connect before the ingress duty runs, every other one sends its request
 * only when the host has left.
 */
static void test_leave_accepted(void)
{
	struct msg m = { MSG_LEAVE, NULL, NULL };
	int fds[LEAVE_CALLERS];
	struct ingress_case c;
	struct err err = { 0 };
	uint32_t i;

	ingress_open(&c);
	for (i = 0; i < LEAVE_CALLERS; i++) {
		fds[i] = loopback_connect(c.caller_port);
		if (i % 2 == 0)
			put(fds[i], HEAD_GET "\r\n");
	}
	ingress_drain(c.ingress);
	g_assert_cmpint(ring_push(ingress_ring(c.ingress), &m), ==, ERR_OK);
	g_assert_cmpint(ingress_start(c.ingress, &err), ==, ERR_OK);
	for (i = 0; i < LEAVE_CALLERS / 2; i++)
		exchange_request_free(take(c.requests, MSG_EXCHANGE_REQUEST));
	for (i = 1; i < LEAVE_CALLERS; i += 2)
		put(fds[i], HEAD_GET "\r\n");
	for (i = 0; i < LEAVE_CALLERS / 2; i++)
		exchange_request_free(take(c.requests, MSG_EXCHANGE_REQUEST));
	ingress_end(&c);
	for (i = 0; i < LEAVE_CALLERS; i++)
		close(fds[i]);
}

/*
 * Guards against a duty that spins while it can accept no connection: with all
 * connections taken, another caller waits until one of them is closed.
 */
static void test_full(void)
{
	int fds[CONNECTIONS_MAX];
	struct ingress_case c;
	int64_t cpu_us;
	uint32_t i;
	int late;

	ingress_begin(&c);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		fds[i] = loopback_connect(c.caller_port);
	while (ingress_caller_count(c.ingress) < CONNECTIONS_MAX)
		g_usleep(1000);
	late = loopback_connect(c.caller_port);
	put(late, HEAD_GET "\r\n");
	cpu_us = clock_cpu_us();
	g_usleep(300 * US_PER_MS);
	g_assert_cmpint(clock_cpu_us() - cpu_us, <, 100 * US_PER_MS);
	close(fds[0]);
	exchange_request_free(take(c.requests, MSG_EXCHANGE_REQUEST));
	ingress_end(&c);
	for (i = 1; i < CONNECTIONS_MAX; i++)
		close(fds[i]);
	close(late);
}

/* Drops log lines: GLib's harness ends the test at a warning that it sees. */
static void drop_line(void *ctx, const char *line)
{
}

int main(int argc, char **argv)
{
	apr_initialize();
	log_init("test", drop_line, NULL);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/egress/request", test_request);
	g_test_add_func("/egress/odd-id", test_odd_id);
	g_test_add_func("/egress/stray", test_stray);
	g_test_add_func("/egress/early", test_early);
	g_test_add_func("/egress/copy", test_copy);
	g_test_add_func("/egress/copy-late", test_copy_late);
	g_test_add_func("/egress/copy-refusal", test_copy_refusal);
	g_test_add_func("/egress/endless", test_endless);
	g_test_add_func("/egress/many-long", test_many_long);
	g_test_add_func("/egress/service-memory", test_service_memory);
	g_test_add_func("/egress/notices", test_notices);
	g_test_add_func("/egress/extra", test_extra);
	g_test_add_func("/egress/cut", test_cut);
	g_test_add_func("/egress/no-body", test_no_body);
	g_test_add_func("/egress/no-length", test_no_length);
	g_test_add_func("/egress/not-run", test_not_run);
	g_test_add_func("/egress/idle", test_idle);
	g_test_add_func("/egress/ends", test_ends);
	g_test_add_func("/ingress/exchange", test_exchange);
	g_test_add_func("/ingress/many-fields", test_many_fields);
	g_test_add_func("/ingress/large-times", test_large_times);
	g_test_add_func("/ingress/no-body", test_answer_no_body);
	g_test_add_func("/ingress/gone", test_gone);
	g_test_add_func("/ingress/malformed", test_malformed);
	g_test_add_func("/ingress/refused-long", test_refused_long);
	g_test_add_func("/ingress/ready", test_ready);
	g_test_add_func("/ingress/leave", test_leave);
	g_test_add_func("/ingress/changed-limits", test_changed_limits);
	g_test_add_func("/ingress/changed-idle", test_changed_idle);
	g_test_add_func("/ingress/long-head", test_long_head);
	g_test_add_func("/ingress/small-chunks", test_small_chunks);
	g_test_add_func("/ingress/memory", test_memory);
	g_test_add_func("/ingress/ahead", test_ahead);
	g_test_add_func("/ingress/leave-ahead", test_leave_ahead);
	g_test_add_func("/ingress/leave-accepted", test_leave_accepted);
	g_test_add_func("/ingress/full", test_full);
	return g_test_run();
}

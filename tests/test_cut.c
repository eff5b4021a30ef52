/*
 * Answers that are cut off: each reader of answers gets every beginning of a
 * whole answer, after which the connection is closed. Guards against a cut
 * answer that is taken for a whole one, or for a statement that it may not make;
 * and, for targets of serve, against a copied one, and against a request that
 * runs twice because the target ended on a connection that was used before.
 */
#include <apr_general.h>
#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "decide/kv_limiter.h"
#include "duty/egress.h"
#include "duty/messages.h"
#include "duty/target_duty.h"
#include "fake_http.h"
#include "loopback.h"
#include "platform/kv_http.h"

/* Longest wait for a result; after it the test fails. */
#define WAIT_US (20 * (int64_t)US_PER_S)
#define RING_SIZE 256
#define STORE_TIMEOUT_MS 10000
/* Bytes of unfinished answers that serve keeps at most. */
#define SUM_BYTES_MAX (32 * 1048576)
/* Calls whose answers together are longer, each below the limit for one. */
#define SUM_ANSWERS 40
#define SUM_ANSWER_BYTES 1000000

/* The answer of the server, and how many bytes of it are sent. */
struct cut_answer {
	const char *text;
	size_t sent_bytes;
};

static enum fake_action cut(void *ctx, const struct fake_request *r,
			    uint32_t *status, struct buf *out)
{
	const struct cut_answer *a = ctx;

	buf_add(out, a->text, a->sent_bytes);
	return FAKE_RAW;
}

/*
 * Bytes of @text with which libcurl takes it for whole. It does not wait for the
 * line feed that ends the trailer: a chunked body is whole with its last chunk,
 * which comes before (RFC 9112, section 8).
 */
static size_t whole_bytes(const char *text)
{
	size_t len = strlen(text);

	return g_str_has_suffix(text, "\r\n0\r\n\r\n") ? len - 1 : len;
}

/* Waits for a message, which must be of @type; returns its body. */
static void *take(struct ring *ring, uint32_t type)
{
	struct msg m;

	g_assert_cmpuint(ring_wait(ring, &m, 1, WAIT_US), ==, 1);
	g_assert_cmpuint(m.type, ==, type);
	return m.body;
}

#define HEAD_STAMP "HTTP/1.1 200 OK\r\nCowslippoint-Server-Stamp: s1\r\n"

/* Calls a target through @e; 1 if it answered. */
static int egress_call(struct egress *e, struct ring *replies, uint16_t port)
{
	struct target_call *call = util_alloc(1, sizeof(*call));
	struct msg m = { MSG_TARGET_CALL, call, NULL };
	struct target_reply *r;
	int is_answered;

	call->call_id = 1;
	call->message = http_message_new();
	util_copy_str(call->message->method, sizeof(call->message->method),
		      "GET");
	call->message->uri = util_strdup("/a");
	buf_addf(&call->message->fields, "Host: h\r\n");
	util_copy_str(call->request_id, sizeof(call->request_id), "r1");
	util_copy_str(call->target_id, sizeof(call->target_id), "t1");
	util_copy_str(call->address, sizeof(call->address), "127.0.0.1");
	call->port = port;
	call->deadline_us = clock_now_us() + WAIT_US;
	call->connection_limit = 4;
	g_assert_cmpint(ring_push(egress_ring(e), &m), ==, ERR_OK);
	r = take(replies, MSG_TARGET_REPLY);
	is_answered = r->code == ERR_OK;
	if (is_answered)
		g_assert_cmpstr(r->body.data, ==, "records");
	else
		g_assert_cmpuint(r->not_run, ==, 0);
	target_reply_free(r);
	return is_answered;
}

/* Reported of a similar system: a head that is cut made a 200 without a body. */
static void test_egress(void)
{
	static const char *const texts[] = {
		HEAD_STAMP "Content-Length: 7\r\n\r\nrecords",
		HEAD_STAMP "Transfer-Encoding: chunked\r\n\r\n"
			   "3\r\nrec\r\n4\r\nords\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" HEAD_STAMP "Content-Length: "
		"7\r\n\r\nrecords",
	};
	struct err err = { 0 };
	struct ring *replies = ring_new(RING_SIZE, NULL, NULL, &err);
	struct egress *e = egress_new(&err);
	uint32_t i;

	g_assert_cmpint(egress_start(e, replies, &err), ==, ERR_OK);
	for (i = 0; i < countof(texts); i++) {
		struct cut_answer a = { .text = texts[i] };
		size_t len = strlen(a.text);

		for (a.sent_bytes = 0; a.sent_bytes <= len; a.sent_bytes++) {
			struct fake_http *server = fake_http_new(cut, &a);

			g_assert_cmpint(egress_call(e, replies,
						    fake_http_port(server)),
					==, a.sent_bytes == len);
			fake_http_free(server);
		}
	}
	egress_stop(e);
	egress_free(e);
	ring_free(replies);
}

/* Has serve send a target sub-request @sub_id. */
static void target_send(struct target_duty *t, uint64_t sub_id, uint16_t port,
			int is_idempotent)
{
	struct subrequest_msg *sub = util_alloc(1, sizeof(*sub));
	struct msg m = { MSG_SUBREQUEST, sub, NULL };

	sub->sub_id = sub_id;
	sub->op = OP_SEARCH;
	sub->text = util_strdup("q");
	sub->limit = 3;
	sub->is_idempotent = (uint32_t)is_idempotent;
	util_copy_str(sub->request_id, sizeof(sub->request_id), "r1");
	util_copy_str(sub->address, sizeof(sub->address), "127.0.0.1");
	sub->port = port;
	sub->deadline_us = clock_now_us() + WAIT_US;
	sub->connection_limit = SUM_ANSWERS;
	g_assert_cmpint(ring_push(target_duty_ring(t), &m), ==, ERR_OK);
}

/* The same; returns the code of the result. */
static enum err_code target_ask(struct target_duty *t, struct ring *results,
				uint16_t port, int is_idempotent,
				uint32_t *not_run)
{
	struct subrequest_result *r;
	enum err_code code;

	target_send(t, 1, port, is_idempotent);
	r = take(results, MSG_SUBREQUEST_RESULT);
	code = r->code;
	*not_run = r->not_run;
	subrequest_result_free(r);
	return code;
}

/* Has serve search a target; returns the code of the result. */
static enum err_code target_call(struct target_duty *t, struct ring *results,
				 uint16_t port, uint32_t *not_run)
{
	return target_ask(t, results, port, 1, not_run);
}

/* A fake target that answers all requests alike, over kept connections. */
static enum fake_action busy(void *ctx, const struct fake_request *r,
			     uint32_t *status, struct buf *out)
{
	const char *body = ctx;

	*status = 429;
	buf_addf(out, "%s", body);
	return FAKE_REPLY;
}

/*
 * Guards against a "not run" that a second copy of an earlier error may have
 * said: on a connection that was used before, only an error with the ID of the
 * sub-request says it.
 */
static void test_target_error(void)
{
	static const struct {
		const char *body;
		enum err_code code;
		/* On a new connection, and on the same one again. */
		uint32_t first_not_run;
		uint32_t next_not_run;
	} errors[] = {
		{ "{\"error\":\"shed\",\"sub_id\":1}", ERR_TARGET_SHED, 1, 1 },
		{ "{\"error\":\"shed\"}", ERR_TARGET_SHED, 1, 0 },
		{ "{\"error\":\"shed\",\"sub_id\":2}", ERR_TARGET_ID, 0, 0 },
		{ "shed", ERR_TARGET_SHED, 0, 0 },
	};
	struct err err = { 0 };
	struct ring *results = ring_new(RING_SIZE, NULL, NULL, &err);
	struct target_duty *t = target_duty_new(RING_SIZE, results, &err);
	uint32_t not_run;
	uint32_t i;

	g_assert_cmpint(target_duty_start(t, &err), ==, ERR_OK);
	for (i = 0; i < countof(errors); i++) {
		struct fake_http *server =
			fake_http_new(busy, (void *)(uintptr_t)errors[i].body);
		uint16_t port = fake_http_port(server);

		g_assert_cmpint(target_call(t, results, port, &not_run), ==,
				errors[i].code);
		g_assert_cmpuint(not_run, ==, errors[i].first_not_run);
		g_assert_cmpint(target_call(t, results, port, &not_run), ==,
				errors[i].code);
		g_assert_cmpuint(not_run, ==, errors[i].next_not_run);
		fake_http_free(server);
	}
	target_duty_stop(t);
	target_duty_free(t);
	ring_free(results);
}

/* libcurl reports success when the connection ends within the head. */
static void test_target(void)
{
	static const struct {
		const char *text;
		enum err_code code;
		uint32_t not_run;
	} answers[] = {
		{ "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 11\r\n\r\n"
		  "{\"hits\":[]}",
		  ERR_OK, 0 },
		{ "HTTP/1.1 429 Busy\r\nX-A: b\r\nContent-Length: 16\r\n\r\n"
		  "{\"error\":\"shed\"}",
		  ERR_TARGET_SHED, 1 },
		{ "HTTP/1.1 404 Gone\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "19\r\n{\"error\":\"snapshot_gone\"}\r\n0\r\n\r\n",
		  ERR_TARGET_SNAPSHOT, 1 },
	};
	struct err err = { 0 };
	struct ring *results = ring_new(RING_SIZE, NULL, NULL, &err);
	struct target_duty *t = target_duty_new(RING_SIZE, results, &err);
	uint32_t not_run;
	uint32_t i;

	g_assert_cmpint(target_duty_start(t, &err), ==, ERR_OK);
	for (i = 0; i < countof(answers); i++) {
		struct cut_answer a = { .text = answers[i].text };

		for (; a.sent_bytes <= strlen(a.text); a.sent_bytes++) {
			int is_whole = a.sent_bytes >= whole_bytes(a.text);
			struct fake_http *server = fake_http_new(cut, &a);

			g_assert_cmpint(
				target_call(t, results, fake_http_port(server),
					    &not_run),
				==,
				is_whole ? answers[i].code : ERR_TARGET_CLOSED);
			g_assert_cmpuint(not_run, ==,
					 is_whole ? answers[i].not_run : 0);
			fake_http_free(server);
		}
	}
	target_duty_stop(t);
	target_duty_free(t);
	ring_free(results);
}

#define HITS "Content-Length: 11\r\n\r\n{\"hits\":[]}"
#define ANSWER "HTTP/1.1 200 OK\r\n" HITS
#define SHED                                              \
	"HTTP/1.1 429 Busy\r\nContent-Length: 27\r\n\r\n" \
	"{\"error\":\"shed\",\"sub_id\":1}"

/*
 * Answers whose status is none, some with a whole answer behind them, and what
 * the calls end with.
 */
static const struct {
	const char *text;
	enum err_code target_code;
	enum err_code read_code;
} no_status[] = {
	{ "HTTP/1.1 000 X\r\n" HITS, ERR_TARGET_CLOSED, ERR_STORE_DOWN },
	{ "HTTP/1.1 000 X\r\n\r\n" ANSWER, ERR_TARGET_CLOSED, ERR_STORE_DOWN },
	{ "HTTP/1.1 099 X\r\n" HITS, ERR_TARGET_CLOSED, ERR_STORE_DOWN },
	{ "HTTP/1.1 099 X\r\n\r\n" ANSWER, ERR_TARGET_CLOSED, ERR_STORE_DOWN },
	{ "HTTP/1.1 101 X\r\n\r\n" ANSWER, ERR_TARGET_STATUS,
	  ERR_STORE_ANSWER },
	{ "HTTP/1.1 600 X\r\n" HITS, ERR_TARGET_STATUS, ERR_STORE_ANSWER },
	{ "HTTP/1.1 999 X\r\n" HITS, ERR_TARGET_STATUS, ERR_STORE_ANSWER },
	{ "HTTP/1.1 1000 X\r\n" HITS, ERR_TARGET_CLOSED, ERR_STORE_DOWN },
};

/* Reported of a similar system: an answer with status 000 was passed on. */
static void test_target_status(void)
{
	struct err err = { 0 };
	struct ring *results = ring_new(RING_SIZE, NULL, NULL, &err);
	struct target_duty *t = target_duty_new(RING_SIZE, results, &err);
	uint32_t not_run;
	uint32_t i;

	g_assert_cmpint(target_duty_start(t, &err), ==, ERR_OK);
	for (i = 0; i < countof(no_status); i++) {
		struct cut_answer a = { no_status[i].text,
					strlen(no_status[i].text) };
		struct fake_http *server = fake_http_new(cut, &a);

		g_assert_cmpint(target_call(t, results, fake_http_port(server),
					    &not_run),
				==, no_status[i].target_code);
		g_assert_cmpuint(not_run, ==, 0);
		fake_http_free(server);
	}
	target_duty_stop(t);
	target_duty_free(t);
	ring_free(results);
}

/*
 * A target that answers a request, and ends its connection when it has run the
 * next one. It then takes no connections, or refuses what comes on a new one as
 * not run.
 */
struct ending_target {
	int takes_connections;
	int listener;
	/* Requests received after the first one. */
	uint32_t received_count;
	GThread *thread;
};

static void *run_ending(void *ctx)
{
	struct ending_target *e = ctx;
	int fd = accept(e->listener, NULL, NULL);
	char request[4096];

	g_assert_cmpint(recv(fd, request, sizeof(request), 0), >, 0);
	send(fd, ANSWER, strlen(ANSWER), MSG_NOSIGNAL);
	e->received_count = recv(fd, request, sizeof(request), 0) > 0;
	if (!e->takes_connections)
		close(e->listener);
	close(fd);
	if (!e->takes_connections)
		return NULL;
	fd = accept(e->listener, NULL, NULL);
	if (recv(fd, request, sizeof(request), 0) > 0) {
		e->received_count++;
		send(fd, SHED, strlen(SHED), MSG_NOSIGNAL);
	}
	close(fd);
	close(e->listener);
	return NULL;
}

/*
 * Guards against a request that runs twice, or is said not to have run, because
 * libcurl sends it again by itself when a connection that was used before ends
 * without an answer: what the new connection ends with tells nothing of the
 * request sent before.
 */
static void test_target_resend(void)
{
	static const struct {
		int takes_connections;
		int is_idempotent;
		uint32_t received_count;
		enum err_code code;
	} rows[] = {
		{ 0, 0, 1, ERR_TARGET_CLOSED },
		{ 0, 1, 1, ERR_TARGET_CLOSED },
		{ 1, 0, 1, ERR_TARGET_CLOSED },
		{ 1, 1, 2, ERR_TARGET_SHED },
	};
	struct err err = { 0 };
	struct ring *results = ring_new(RING_SIZE, NULL, NULL, &err);
	struct target_duty *t = target_duty_new(RING_SIZE, results, &err);
	uint32_t not_run;
	uint32_t i;

	g_assert_cmpint(target_duty_start(t, &err), ==, ERR_OK);
	for (i = 0; i < countof(rows); i++) {
		struct ending_target e = { .takes_connections =
						   rows[i].takes_connections };
		uint16_t port;
		int is_idempotent = rows[i].is_idempotent;

		e.listener = loopback_listen(&port);
		e.thread = g_thread_new("ending", run_ending, &e);
		g_assert_cmpint(target_ask(t, results, port, is_idempotent,
					   &not_run),
				==, ERR_OK);
		g_assert_cmpint(target_ask(t, results, port, is_idempotent,
					   &not_run),
				==, rows[i].code);
		g_assert_cmpuint(not_run, ==, 0);
		g_thread_join(e.thread);
		g_assert_cmpuint(e.received_count, ==, rows[i].received_count);
		if (rows[i].takes_connections)
			continue;
		/* Nothing was sent: no connection can be opened. */
		g_assert_cmpint(target_ask(t, results, port, is_idempotent,
					   &not_run),
				==, ERR_TARGET_CONNECT);
		g_assert_cmpuint(not_run, ==, 1);
	}
	target_duty_stop(t);
	target_duty_free(t);
	ring_free(results);
}

struct store_result {
	int is_done;
	enum err_code code;
	uint64_t rev;
};

static void on_done(void *ctx, const struct kv_result *r)
{
	struct store_result *out = ctx;

	out->is_done = 1;
	out->code = r->err.code;
	out->rev = r->rev;
}

/* Makes one call of @op to the store at @port. */
static struct store_result call_store(enum kv_op op, uint16_t port)
{
	struct kv_call call = { .op = op,
				.timeout_ms = STORE_TIMEOUT_MS,
				.lease = 5 };
	struct store_result result = { 0 };
	int64_t end_us = clock_now_us() + WAIT_US;
	struct err err = { 0 };
	struct kv_http *http = kv_http_new("127.0.0.1", port, &err);
	struct kv_driver driver = kv_http_driver(http);

	util_copy_str(call.key, sizeof(call.key), "k");
	if (op == KV_CAS) {
		call.value = util_strdup("v");
		call.value_bytes = 1;
	}
	driver.start(driver.driver_ctx, &call, on_done, &result);
	while (!result.is_done) {
		g_assert_cmpint(clock_now_us(), <, end_us);
		kv_http_poll(http, 100);
	}
	kv_http_free(http);
	return result;
}

/* Makes one call of @op to a store that answers as @a says. */
static struct store_result store_call(enum kv_op op, struct cut_answer *a)
{
	struct fake_http *server = fake_http_new(cut, a);
	struct store_result result = call_store(op, fake_http_port(server));

	fake_http_free(server);
	return result;
}

/*
 * Of a condition that failed, a cut answer would say that the key does not
 * exist.
 */
static void test_store(void)
{
	static const struct {
		enum kv_op op;
		const char *text;
		enum err_code code;
		uint64_t rev;
	} answers[] = {
		{ KV_CAS,
		  "HTTP/1.1 412 No\r\nContent-Length: 31\r\n\r\n"
		  "{\"items\":[{\"key\":\"k\",\"rev\":7}]}",
		  ERR_STORE_CONFLICT, 7 },
		{ KV_CAS,
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "a\r\n{\"rev\":13}\r\n0\r\n\r\n",
		  ERR_OK, 13 },
		{ KV_GET,
		  "HTTP/1.1 404 None\r\nX-A: b\r\nContent-Length: 2\r\n\r\n"
		  "{}",
		  ERR_STORE_NOT_FOUND, 0 },
		{ KV_GET,
		  "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 34\r\n\r\n"
		  "{\"key\":\"k\",\"rev\":3,\"value\":\"dg==\"}",
		  ERR_OK, 3 },
		{ KV_WATCH,
		  "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 22\r\n\r\n"
		  "{\"items\":[],\"atRev\":9}",
		  ERR_OK, 9 },
		{ KV_LEASE_RENEW,
		  "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n"
		  "{}",
		  ERR_OK, 0 },
		{ KV_LEASE_RENEW,
		  "HTTP/1.1 404 None\r\nX-A: b\r\nContent-Length: 2\r\n\r\n"
		  "{}",
		  ERR_STORE_NOT_FOUND, 0 },
	};
	uint32_t i;

	for (i = 0; i < countof(answers); i++) {
		struct cut_answer a = { .text = answers[i].text };
		enum err_code cut_code = kv_op_is_write(answers[i].op)
						 ? ERR_STORE_UNKNOWN
						 : ERR_STORE_DOWN;

		for (; a.sent_bytes <= strlen(a.text); a.sent_bytes++) {
			int is_whole = a.sent_bytes >= whole_bytes(a.text);
			struct store_result r = store_call(answers[i].op, &a);

			g_assert_cmpint(r.code, ==,
					is_whole ? answers[i].code : cut_code);
			if (is_whole)
				g_assert_cmpuint(r.rev, ==, answers[i].rev);
		}
	}
}

/* Drops log lines: GLib's harness ends the test at a warning that it sees. */
static void drop_line(void *ctx, const char *line)
{
}

/* The same of the store's answers; nothing is known of a write then. */
static void test_store_status(void)
{
	uint32_t i;

	for (i = 0; i < countof(no_status); i++) {
		struct cut_answer a = { no_status[i].text,
					strlen(no_status[i].text) };
		struct store_result r = store_call(KV_CAS, &a);

		g_assert_cmpint(r.code, ==, ERR_STORE_UNKNOWN);
		r = store_call(KV_GET, &a);
		g_assert_cmpint(r.code, ==, no_status[i].read_code);
	}
}

/* Places in an answer at which bytes may come without end. */
static const struct {
	/* Sent once, and then without end. */
	const char *begin;
	const char *repeat;
} endless[] = {
	{ "", "\r\n" },
	{ "", "no answer at all " },
	{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
	{ "", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n" },
	{ "HTTP/1.1 200 ", "very " },
	{ "HTTP/1.1 200 OK\r\nX-", "Name" },
	{ "HTTP/1.1 200 OK\r\nX: ", "value " },
	{ "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
	{ "HTTP/1.1 200 OK\r\n\r\n", "body without a length " },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "body " },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r"
								   "\n" },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: "
									"y\r"
									"\n" },
};

/*
 * Bytes of an answer that a client may read before it gives up: 16 MB, the
 * largest answer of the store, in chunks of four bytes, with what the sockets
 * hold.
 */
#define ENDLESS_BYTES_MAX (48 * 1048576)

struct endless_server {
	int listener;
	uint16_t port;
	/* Position in endless. */
	uint32_t row;
	/* Bytes that the server could send until the client closed. */
	_Atomic uint64_t sent_bytes;
	GThread *thread;
};

static gpointer run_endless(gpointer data)
{
	struct endless_server *s = data;
	g_autofree char *block = NULL;
	GString *text = g_string_new(NULL);
	int fd = accept(s->listener, NULL, NULL);
	char request[4096];
	ssize_t n;

	while (text->len < 16384)
		g_string_append(text, endless[s->row].repeat);
	block = g_string_free(text, FALSE);
	g_assert_cmpint(recv(fd, request, sizeof(request), 0), >, 0);
	send(fd, endless[s->row].begin, strlen(endless[s->row].begin),
	     MSG_NOSIGNAL);
	while (s->sent_bytes < 2 * (uint64_t)ENDLESS_BYTES_MAX &&
	       (n = send(fd, block, strlen(block), MSG_NOSIGNAL)) > 0)
		s->sent_bytes += (uint64_t)n;
	close(fd);
	return NULL;
}

static void endless_begin(struct endless_server *s, uint32_t row)
{
	s->row = row;
	s->sent_bytes = 0;
	s->listener = loopback_listen(&s->port);
	s->thread = g_thread_new("endless", run_endless, s);
}

/* The client has closed, after no more bytes than it may keep. */
static void endless_end(struct endless_server *s)
{
	g_thread_join(s->thread);
	close(s->listener);
	g_test_message("row %u: %lu bytes", s->row,
		       (unsigned long)s->sent_bytes);
	g_assert_cmpuint(s->sent_bytes, <, ENDLESS_BYTES_MAX);
}

/* Reported of a similar system: it kept bytes without end, and ran out of memory. */
static void test_target_endless(void)
{
	struct err err = { 0 };
	struct ring *results = ring_new(RING_SIZE, NULL, NULL, &err);
	struct target_duty *t = target_duty_new(RING_SIZE, results, &err);
	struct endless_server s;
	uint32_t not_run;
	uint32_t i;

	g_assert_cmpint(target_duty_start(t, &err), ==, ERR_OK);
	for (i = 0; i < countof(endless); i++) {
		enum err_code code;

		endless_begin(&s, i);
		code = target_call(t, results, s.port, &not_run);
		g_test_message("row %u: %s", i, err_name(code));
		g_assert_cmpint(code, !=, ERR_OK);
		g_assert_cmpint(code, !=, ERR_TARGET_TIMEOUT);
		g_assert_cmpuint(not_run, ==, 0);
		endless_end(&s);
	}
	target_duty_stop(t);
	target_duty_free(t);
	ring_free(results);
}

/* Accepts SUM_ANSWERS requests; each answer lacks its last byte. */
static void begin_answers(int listener, int *fds)
{
	g_autofree char *spaces = g_strnfill(SUM_ANSWER_BYTES, ' ');
	char request[4096];
	uint32_t i;

	for (i = 0; i < SUM_ANSWERS; i++) {
		fds[i] = accept(listener, NULL, NULL);
		g_assert_cmpint(recv(fds[i], request, sizeof(request), 0), >,
				0);
	}
	for (i = 0; i < SUM_ANSWERS; i++) {
		g_autofree char *head = g_strdup_printf("HTTP/1.1 200 "
							"OK\r\nContent-Length: "
							"%u\r\n\r\n"
							"{\"hits\":[]",
							SUM_ANSWER_BYTES + 11);
		size_t sent = 0;
		ssize_t n;

		send(fds[i], head, strlen(head), MSG_NOSIGNAL);
		while (sent < SUM_ANSWER_BYTES &&
		       (n = send(fds[i], spaces + sent, SUM_ANSWER_BYTES - sent,
				 MSG_NOSIGNAL)) > 0)
			sent += (size_t)n;
	}
}

/*
 * Guards against unfinished answers of many targets that together use up the
 * memory of the host: some sub-requests fail, and the others get theirs.
 */
static void test_target_sum(void)
{
	struct err err = { 0 };
	struct ring *results = ring_new(RING_SIZE, NULL, NULL, &err);
	struct target_duty *t = target_duty_new(RING_SIZE, results, &err);
	int fds[SUM_ANSWERS];
	uint32_t answered = 0;
	uint32_t failed = 0;
	uint16_t port;
	int listener = loopback_listen(&port);
	uint32_t i;

	g_assert_cmpint(target_duty_start(t, &err), ==, ERR_OK);
	for (i = 0; i < SUM_ANSWERS; i++)
		target_send(t, i + 1, port, 1);
	begin_answers(listener, fds);
	while ((SUM_ANSWERS - failed) * (uint64_t)SUM_ANSWER_BYTES >
	       SUM_BYTES_MAX) {
		struct subrequest_result *r =
			take(results, MSG_SUBREQUEST_RESULT);

		g_assert_cmpint(r->code, ==, ERR_TARGET_SIZE);
		g_assert_cmpuint(r->not_run, ==, 0);
		subrequest_result_free(r);
		failed++;
	}
	for (i = 0; i < SUM_ANSWERS; i++)
		send(fds[i], "}", 1, MSG_NOSIGNAL);
	for (i = failed; i < SUM_ANSWERS; i++) {
		struct subrequest_result *r =
			take(results, MSG_SUBREQUEST_RESULT);

		answered += r->code == ERR_OK;
		subrequest_result_free(r);
	}
	/* All that fit into the bound, but for what one receive adds. */
	g_assert_cmpuint(answered, >=, SUM_BYTES_MAX / SUM_ANSWER_BYTES - 1);
	for (i = 0; i < SUM_ANSWERS; i++)
		close(fds[i]);
	close(listener);
	target_duty_stop(t);
	target_duty_free(t);
	ring_free(results);
}

/* The same of the store's answers. */
static void test_store_endless(void)
{
	struct endless_server s;
	uint32_t i;

	for (i = 0; i < countof(endless); i++) {
		int64_t from_us = clock_now_us();
		struct store_result r;

		endless_begin(&s, i);
		r = call_store(KV_CAS, s.port);
		g_assert_cmpint(r.code, ==, ERR_STORE_UNKNOWN);
		endless_end(&s);
		/* Not only at the call's time limit. */
		g_assert_cmpint(clock_now_us() - from_us, <,
				STORE_TIMEOUT_MS * US_PER_MS);
	}
}

int main(int argc, char **argv)
{
	apr_initialize();
	curl_global_init(CURL_GLOBAL_NOTHING);
	log_init("test", drop_line, NULL);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cut/egress", test_egress);
	g_test_add_func("/cut/target", test_target);
	g_test_add_func("/copy/target-error", test_target_error);
	g_test_add_func("/resend/target", test_target_resend);
	g_test_add_func("/cut/store", test_store);
	g_test_add_func("/endless/target", test_target_endless);
	g_test_add_func("/endless/target-sum", test_target_sum);
	g_test_add_func("/endless/store", test_store_endless);
	g_test_add_func("/cut/target-status", test_target_status);
	g_test_add_func("/cut/store-status", test_store_status);
	return g_test_run();
}

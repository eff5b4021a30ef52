/*
 * Every order of events on one connection, to a bounded depth, and random walks
 * beyond it. Guards against bytes of one request where another's are due, an
 * answer that goes to the wrong call, a "not run" that is not true, and a call
 * without an end: on a connection to a target that may answer early, twice, in
 * pieces or not at all, and on one of a caller that may send ahead, in pieces or
 * too much. Both ends are played in memory; the other end is a plain model.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "duty/caller_conn.h"
#include "duty/target_conn.h"
#include "sim.h"

/*
 * Events of a path that is explored exhaustively, for each kind of connection;
 * longer ones by hand: CONN_DEEPER=1 adds an event (ten times the paths).
 */
#define TARGET_DEPTH (SIM_SEEDS_DIVISOR > 1 ? 6 : 7)
#define CALLER_DEPTH (SIM_SEEDS_DIVISOR > 1 ? 5 : 6)
/* Random walks, CONN_WALKS of them by hand, and the events of each. */
#define WALKS (20000 / SIM_SEEDS_DIVISOR)
#define WALK_EVENTS 60
#define WALK_SEED 1
#define CALLS_MAX (WALK_EVENTS + 1)
#define BODY_BYTES 40

/* Names the first rule that a path has broken; NULL: none. */
static const char *broken;

/* Number in the environment variable @name, or @fallback. */
static uint32_t env_number(const char *name, uint32_t fallback)
{
	const char *text = g_getenv(name);

	return text ? (uint32_t)strtoul(text, NULL, 10) : fallback;
}

static void check(int ok, const char *rule)
{
	if (!ok && !broken)
		broken = rule;
}

/* Appends "NAME: VALUE<number>" as a header line. */
static void add_number(struct buf *out, const char *name, uint32_t number)
{
	buf_addf(out, "%s%u\r\n", name, number);
}

/*
 * A target: what it knows of the requests is only what it has read.
 */

struct target_call_state {
	const char *method;
	/* The target has read its head, and has answered it. */
	int is_read;
	int is_answered;
	/* The target's answer says that it was not run. */
	int is_refused;
	uint32_t replies;
};

struct target_world {
	struct target_conn conn;
	/* 1 to play bytes one by one, else as many as there are. */
	int is_bytewise;
	/* Bytes that the target has received, and those that it has read. */
	struct buf wire;
	size_t read_bytes;
	/* Bytes of the body of the request in hand that are still due. */
	size_t body_due;
	/* Requests that the target has begun to read, and calls begun. */
	uint32_t read_count;
	uint32_t call_count;
	struct target_call_state calls[CALLS_MAX + 1];
	/* The first and the latest answer that were sent whole. */
	struct buf first;
	struct buf latest;
	/* Rest of an answer of which a half was sent. */
	struct buf rest;
};

static void on_reply(void *ctx, struct target_reply *r)
{
	struct target_world *w = ctx;
	struct target_call_state *call = &w->calls[r->call_id];
	g_autofree char *stamp = g_strdup_printf("s%u", (uint32_t)r->call_id);
	g_autofree char *body = g_strdup_printf("b%u", (uint32_t)r->call_id);

	check(++call->replies == 1, "a call has ended twice");
	if (r->code == ERR_OK && r->status == 200) {
		check(call->is_answered && strcmp(r->stamp, stamp) == 0,
		      "a success of another call");
		check(strcmp(call->method, "HEAD") == 0 ||
			      (r->body.data && strcmp(r->body.data, body) == 0),
		      "the body of another call");
	}
	check(!r->not_run || call->is_refused ||
		      w->conn.state == TARGET_CONN_CONNECTING,
	      "not run, though the target may "
	      "run it");
	target_reply_free(r);
}

static struct target_call *make_call(struct target_world *w, const char *method)
{
	struct target_call *c = util_alloc(1, sizeof(*c));
	uint32_t number = ++w->call_count;

	w->calls[number].method = method;
	c->call_id = number;
	c->message = http_message_new();
	util_copy_str(c->message->method, sizeof(c->message->method), method);
	c->message->uri = g_strdup_printf("/%u", number);
	if (strcmp(method, "POST") == 0) {
		char body[BODY_BYTES];

		memset(body, 'x', sizeof(body));
		buf_add(&c->message->body, body, sizeof(body));
		c->message->has_body = 1;
	}
	snprintf(c->request_id, sizeof(c->request_id), "r%u", number);
	return c;
}

static void target_init(struct target_world *w, int is_bytewise)
{
	*w = (struct target_world){ .is_bytewise = is_bytewise };
	/* The first call begins with the connection. */
	target_conn_init(&w->conn, make_call(w, "GET"), on_reply, w);
	w->call_count = 0;
}

static void target_free(struct target_world *w)
{
	target_conn_clear(&w->conn);
	buf_free(&w->wire);
	buf_free(&w->first);
	buf_free(&w->latest);
	buf_free(&w->rest);
}

/* The socket takes up to @max of the bytes to be sent. */
static void write_bytes(struct target_world *w, size_t max)
{
	size_t len;
	const char *data = target_conn_unsent(&w->conn, &len);

	if (len > max)
		len = max;
	buf_add(&w->wire, data, len);
	if (len)
		target_conn_written(&w->conn, len);
}

/* Begins a call and writes all of it, or all but the end of its body. */
static int begin_call(struct target_world *w, const char *method, int is_whole)
{
	size_t len;

	if (w->call_count == CALLS_MAX ||
	    (w->conn.state != TARGET_CONN_CONNECTING &&
	     w->conn.state != TARGET_CONN_IDLE))
		return 0;
	if (w->conn.state == TARGET_CONN_CONNECTING) {
		target_call_free(w->conn.call);
		w->conn.call = make_call(w, method);
		target_conn_connected(&w->conn, 0);
	} else {
		target_conn_send(&w->conn, make_call(w, method), 0);
	}
	target_conn_unsent(&w->conn, &len);
	write_bytes(w, is_whole ? len : len - BODY_BYTES / 2);
	return 1;
}

static int write_rest(struct target_world *w)
{
	size_t len;

	target_conn_unsent(&w->conn, &len);
	write_bytes(w, len);
	return len > 0;
}

/* The target reads what is left of the body in hand, then a head. */
static void target_read(struct target_world *w)
{
	g_autofree char *line = NULL;
	const char *at;
	const char *end;
	size_t i;

	while (w->body_due && w->read_bytes < w->wire.len_bytes) {
		check(w->wire.data[w->read_bytes++] == 'x', "bytes of another "
							    "request in a "
							    "body");
		w->body_due--;
	}
	at = w->wire.data + w->read_bytes;
	if (w->body_due || w->read_bytes == w->wire.len_bytes)
		return;
	end = strstr(at, "\r\n\r\n");
	i = w->read_count + 1;
	check(w->read_count < w->call_count, "bytes that no call has sent");
	if (broken || !end)
		return;
	line = g_strdup_printf("%s /%zu HTTP/1.1\r\n", w->calls[i].method, i);
	check(g_str_has_prefix(at, line), "a request begins with other bytes");
	w->read_count++;
	w->calls[i].is_read = 1;
	w->read_bytes = (size_t)(end + 4 - w->wire.data);
	w->body_due = strcmp(w->calls[i].method, "POST") == 0 ? BODY_BYTES : 0;
	target_read(w);
}

static void deliver(struct target_world *w, const char *data, size_t len)
{
	size_t step = w->is_bytewise ? 1 : len;
	size_t i;

	for (i = 0; i < len && w->conn.state != TARGET_CONN_CLOSED; i += step)
		target_conn_received(&w->conn, data + i, step, 0);
}

enum answer_kind {
	ANSWER_ID,
	ANSWER_STAMP,
	ANSWER_UNFRAMED,
	ANSWER_EXTRA,
	ANSWER_HALF,
	ANSWER_304,
	REFUSE_ID,
	REFUSE_BARE
};

/* The call that the target has read and not answered; NULL: none. */
static struct target_call_state *call_in_hand(struct target_world *w)
{
	struct target_call_state *call = &w->calls[w->read_count];

	return w->read_count && !call->is_answered ? call : NULL;
}

static void make_answer(struct target_world *w, enum answer_kind kind,
			struct buf *out)
{
	uint32_t number = w->read_count;
	g_autofree char *body = g_strdup_printf("b%u", number);
	int is_refusal = kind == REFUSE_ID || kind == REFUSE_BARE;

	buf_addf(out, "HTTP/1.1 %s\r\n",
		 is_refusal	      ? "503 Busy"
		 : kind == ANSWER_304 ? "304 Same"
				      : "200 OK");
	if (kind != ANSWER_STAMP && kind != REFUSE_BARE)
		add_number(out, "Cowslippoint-Request-Id: r", number);
	if (is_refusal)
		buf_addf(out, "Cowslippoint-Not-Executed: 1\r\n");
	else
		add_number(out, "Cowslippoint-Server-Stamp: s", number);
	if (kind != ANSWER_UNFRAMED)
		buf_addf(out, "Content-Length: %zu\r\n",
			 is_refusal ? 0 : strlen(body));
	buf_addf(out, "\r\n");
	/* A 304 states the length of a body that it does not have. */
	if (!is_refusal && kind != ANSWER_304 &&
	    strcmp(w->calls[number].method, "HEAD") != 0)
		buf_addf(out, "%s", body);
}

static int send_answer(struct target_world *w, enum answer_kind kind)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct target_call_state *call;

	target_read(w);
	call = call_in_hand(w);
	if (!call || w->rest.len_bytes)
		return 0;
	make_answer(w, kind, &text);
	call->is_answered = 1;
	call->is_refused = kind == REFUSE_ID || kind == REFUSE_BARE;
	if (kind == ANSWER_HALF) {
		buf_add(&w->rest, text.data + text.len_bytes / 2,
			text.len_bytes - text.len_bytes / 2);
		deliver(w, text.data, text.len_bytes / 2);
		return 1;
	}
	if (!w->first.len_bytes)
		buf_add(&w->first, text.data, text.len_bytes);
	w->latest.len_bytes = 0;
	buf_add(&w->latest, text.data, text.len_bytes);
	if (kind == ANSWER_EXTRA)
		buf_addf(&text, "more");
	deliver(w, text.data, text.len_bytes);
	if (kind == ANSWER_UNFRAMED && w->conn.state != TARGET_CONN_CLOSED)
		target_conn_ended(&w->conn, 0);
	check(call->replies == 1, "a whole answer that ends no call");
	return 1;
}

/* A second copy of an answer; a part of one ends the answer in hand. */
static int send_copy(struct target_world *w, const struct buf *copy)
{
	if (!copy->len_bytes || w->rest.len_bytes)
		return 0;
	deliver(w, copy->data, copy->len_bytes);
	return 1;
}

static int send_rest(struct target_world *w)
{
	if (!w->rest.len_bytes)
		return 0;
	deliver(w, w->rest.data, w->rest.len_bytes);
	w->rest.len_bytes = 0;
	return 1;
}

static int send_interim(struct target_world *w)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (w->rest.len_bytes)
		return 0;
	deliver(w, interim, strlen(interim));
	return 1;
}

static int fail(struct target_world *w, enum err_code code)
{
	if (w->conn.state != TARGET_CONN_BUSY)
		return 0;
	target_conn_fail(&w->conn, code);
	return 1;
}

enum target_event {
	EVENT_GET,
	EVENT_HEAD,
	EVENT_POST,
	EVENT_POST_PART,
	EVENT_WRITE_REST,
	EVENT_ANSWER_ID,
	EVENT_ANSWER_STAMP,
	EVENT_ANSWER_UNFRAMED,
	EVENT_ANSWER_EXTRA,
	EVENT_ANSWER_HALF,
	EVENT_ANSWER_304,
	EVENT_REFUSE_ID,
	EVENT_REFUSE_BARE,
	EVENT_REST,
	EVENT_COPY_FIRST,
	EVENT_COPY_LATEST,
	EVENT_INTERIM,
	EVENT_END,
	EVENT_TIMEOUT,
	TARGET_EVENT_COUNT
};

/* Returns 0 if @event cannot happen now. */
static int target_apply(void *world, uint32_t event)
{
	struct target_world *w = world;

	if (w->conn.state == TARGET_CONN_CLOSED)
		return 0;
	switch ((enum target_event)event) {
	case EVENT_GET:
		return begin_call(w, "GET", 1);
	case EVENT_HEAD:
		return begin_call(w, "HEAD", 1);
	case EVENT_POST:
		return begin_call(w, "POST", 1);
	case EVENT_POST_PART:
		return begin_call(w, "POST", 0);
	case EVENT_WRITE_REST:
		return write_rest(w);
	case EVENT_ANSWER_ID:
		return send_answer(w, ANSWER_ID);
	case EVENT_ANSWER_STAMP:
		return send_answer(w, ANSWER_STAMP);
	case EVENT_ANSWER_UNFRAMED:
		return send_answer(w, ANSWER_UNFRAMED);
	case EVENT_ANSWER_EXTRA:
		return send_answer(w, ANSWER_EXTRA);
	case EVENT_ANSWER_HALF:
		return send_answer(w, ANSWER_HALF);
	case EVENT_ANSWER_304:
		return send_answer(w, ANSWER_304);
	case EVENT_REFUSE_ID:
		return send_answer(w, REFUSE_ID);
	case EVENT_REFUSE_BARE:
		return send_answer(w, REFUSE_BARE);
	case EVENT_REST:
		return send_rest(w);
	case EVENT_COPY_FIRST:
		return send_copy(w, &w->first);
	case EVENT_COPY_LATEST:
		return send_copy(w, &w->latest);
	case EVENT_INTERIM:
		return send_interim(w);
	case EVENT_END:
		target_conn_ended(&w->conn, 0);
		return 1;
	case EVENT_TIMEOUT:
		return fail(w, ERR_TARGET_TIMEOUT);
	case TARGET_EVENT_COUNT:
		break;
	}
	return 0;
}

/* The path ends: the target reads all there is, the call times out. */
static void target_finish(void *world)
{
	struct target_world *w = world;
	uint32_t i;

	target_read(w);
	fail(w, ERR_TARGET_TIMEOUT);
	for (i = 1; i <= w->call_count; i++)
		check(w->calls[i].replies == 1, "a call without an end");
}

/*
 * A caller: it knows what it has sent, and by that how long each answer is.
 */

struct caller_request_state {
	const char *method;
	int is_answered;
};

struct caller_world {
	struct caller_conn conn;
	int is_bytewise;
	/* Set as in a host that begins to leave. */
	int is_draining;
	/* Requests that were sent whole, read by the host, and answered. */
	uint32_t sent_count;
	uint32_t read_count;
	uint32_t answered_count;
	struct caller_request_state requests[CALLS_MAX + 1];
	/* End of a request of which the beginning was sent. */
	struct buf rest;
	/* What the caller has received and not read. */
	struct buf wire;
	/* 1: no more requests are sent, since the connection ends. */
	int has_ended;
	/* 1: bytes were sent that are refused, and end the connection. */
	int has_refused;
	/*
	 * Requests that were sent whole before the caller was told that the
	 * connection ends: each is due an answer.
	 */
	uint32_t due_count;
};

static const struct http1_limits caller_limits = { 256, 2 * BODY_BYTES };

static void caller_init_world(struct caller_world *w, int is_bytewise)
{
	*w = (struct caller_world){ .is_bytewise = is_bytewise };
	caller_conn_init(&w->conn);
}

static void caller_free(struct caller_world *w)
{
	caller_conn_clear(&w->conn);
	buf_free(&w->rest);
	buf_free(&w->wire);
}

/* Reads one answer if it is there to its end; returns 1 if so. */
static int caller_read(struct caller_world *w)
{
	const struct caller_request_state *r =
		&w->requests[w->answered_count + 1];
	const char *end;
	const char *length;
	uint32_t status;
	size_t bytes;
	size_t seen = w->wire.len_bytes < 9 ? w->wire.len_bytes : 9;

	if (!w->wire.len_bytes)
		return 0;
	check(strncmp(w->wire.data, "HTTP/1.1 ", seen) == 0, "bytes that are "
							     "no answer");
	end = strstr(w->wire.data, "\r\n\r\n");
	if (broken || !end)
		return 0;
	status = (uint32_t)strtoul(w->wire.data + 9, NULL, 10);
	length = strstr(w->wire.data, "Content-Length: ");
	bytes = (size_t)(end + 4 - w->wire.data);
	/* A refused request was perhaps not sent to its end. */
	check(w->answered_count < w->sent_count || status >= 400, "a success "
								  "with no "
								  "request "
								  "waiting");
	if (!(r->method && strcmp(r->method, "HEAD") == 0) && status != 204 &&
	    status != 304) {
		check(length && length < end, "an answer without a length");
		if (broken)
			return 0;
		bytes += strtoul(length + strlen("Content-Length: "), NULL, 10);
	}
	if (w->wire.len_bytes < bytes)
		return 0;
	w->answered_count++;
	memmove(w->wire.data, w->wire.data + bytes, w->wire.len_bytes - bytes);
	w->wire.len_bytes -= bytes;
	if (w->wire.data)
		w->wire.data[w->wire.len_bytes] = '\0';
	return 1;
}

/* The socket takes up to @max bytes of the answer. */
static void caller_write(struct caller_world *w, size_t max)
{
	size_t len;
	const char *data = caller_conn_unsent(&w->conn, &len);

	if (len > max)
		len = max;
	buf_add(&w->wire, data, len);
	if (len)
		caller_conn_written(&w->conn, len, w->is_draining);
	while (caller_read(w))
		;
}

static void answer(struct caller_world *w, uint32_t status, enum err_code code,
		   const char *body)
{
	struct exchange_answer a = { .status = status, .code = code };

	buf_addf(&a.body, "%s", body);
	if (status == 304) {
		a.has_length = 1;
		a.length_bytes = 9;
	}
	caller_conn_answer(&w->conn, &a, w->is_draining);
	buf_free(&a.body);
}

/* What the ingress duty does until it has to wait. */
static void host_advance(struct caller_world *w)
{
	while (caller_conn_parse(&w->conn, &caller_limits)) {
		const struct http1_reader *h = &w->conn.h1;
		g_autofree char *uri = NULL;

		w->read_count++;
		if (h->state == HTTP1_BAD) {
			answer(w, 400, ERR_BAD_FIELD, "");
			caller_write(w, SIZE_MAX);
			w->has_ended = 1;
			return;
		}
		uri = g_strdup_printf("/%u", w->read_count);
		check(w->read_count <= w->sent_count &&
			      h->url.len_bytes == strlen(uri) &&
			      strncmp(h->url.data, uri, strlen(uri)) == 0 &&
			      strcmp(http1_method(h),
				     w->requests[w->read_count].method) == 0,
		      "another request than the one that was sent");
	}
}

/* The caller sends bytes that end a request, unless it goes on in w->rest. */
static void caller_deliver(struct caller_world *w, const char *data, size_t len)
{
	size_t step = w->is_bytewise ? 1 : len;
	int is_told = w->conn.state == CALLER_CONN_WRITING && w->conn.is_last;
	size_t i;

	if (!w->rest.len_bytes && !w->has_refused && !is_told)
		w->due_count = w->sent_count;

	for (i = 0; i < len; i += step) {
		check(caller_conn_has_room(&w->conn), "no room for a few "
						      "bytes");
		caller_conn_received(&w->conn, data + i, step);
		host_advance(w);
	}
}

/* Sends a request; @share: thousandths of it, the rest is sent later. */
static int send_request(struct caller_world *w, const char *method,
			size_t body_bytes, uint32_t share)
{
	struct buf text CLEANUP_BUF = { 0 };
	size_t len;
	size_t i;

	if (w->has_ended || w->rest.len_bytes || w->sent_count == CALLS_MAX)
		return 0;
	w->requests[++w->sent_count].method = method;
	buf_addf(&text, "%s /%u HTTP/1.1\r\nHost: h\r\n", method,
		 w->sent_count);
	if (body_bytes)
		buf_addf(&text, "Content-Length: %zu\r\n", body_bytes);
	buf_addf(&text, "\r\n");
	for (i = 0; i < body_bytes; i++)
		buf_add(&text, "x", 1);
	len = text.len_bytes * share / 1000;
	buf_add(&w->rest, text.data + len, text.len_bytes - len);
	caller_deliver(w, text.data, len);
	return 1;
}

/* Sends a request with a body above the limit. */
static int send_long(struct caller_world *w)
{
	if (w->has_ended || w->rest.len_bytes || w->sent_count == CALLS_MAX)
		return 0;
	w->has_refused = 1;
	return send_request(w, "POST", 3 * BODY_BYTES, 1000);
}

static int send_text(struct caller_world *w, const char *text)
{
	if (w->has_ended || w->rest.len_bytes || w->sent_count == CALLS_MAX)
		return 0;
	w->requests[++w->sent_count].method = "GET";
	w->has_refused = 1;
	caller_deliver(w, text, strlen(text));
	return 1;
}

static int send_caller_rest(struct caller_world *w)
{
	struct buf text CLEANUP_BUF = w->rest;

	w->rest = (struct buf){ 0 };
	if (text.len_bytes)
		caller_deliver(w, text.data, text.len_bytes);
	return text.len_bytes > 0;
}

/* The host answers the request in hand; the socket takes a part, or all. */
static int host_answer(struct caller_world *w, uint32_t status,
		       enum err_code code, const char *body)
{
	if (w->conn.state != CALLER_CONN_WAITING)
		return 0;
	answer(w, status, code, body);
	caller_write(w, 7);
	return 1;
}

static int host_write(struct caller_world *w)
{
	size_t len;

	caller_conn_unsent(&w->conn, &len);
	if (!len)
		return 0;
	caller_write(w, SIZE_MAX);
	host_advance(w);
	return 1;
}

enum caller_event {
	EVENT_SEND_GET,
	EVENT_SEND_HEAD,
	EVENT_SEND_POST,
	EVENT_SEND_PART,
	EVENT_SEND_REST,
	EVENT_SEND_LONG,
	EVENT_SEND_GARBAGE,
	EVENT_HOST_OK,
	EVENT_HOST_304,
	EVENT_HOST_204,
	EVENT_HOST_ERROR,
	EVENT_HOST_WRITE,
	EVENT_HOST_DRAINS,
	CALLER_EVENT_COUNT
};

static int caller_apply(void *world, uint32_t event)
{
	struct caller_world *w = world;

	if (w->conn.state == CALLER_CONN_CLOSED ||
	    w->conn.state == CALLER_CONN_LINGERING)
		return 0;
	switch ((enum caller_event)event) {
	case EVENT_SEND_GET:
		return send_request(w, "GET", 0, 1000);
	case EVENT_SEND_HEAD:
		return send_request(w, "HEAD", 0, 1000);
	case EVENT_SEND_POST:
		return send_request(w, "POST", BODY_BYTES, 1000);
	case EVENT_SEND_PART:
		return send_request(w, "POST", BODY_BYTES, 500);
	case EVENT_SEND_REST:
		return send_caller_rest(w);
	case EVENT_SEND_LONG:
		return send_long(w);
	case EVENT_SEND_GARBAGE:
		return send_text(w, "what is this\r\n\r\n");
	case EVENT_HOST_OK:
		return host_answer(w, 200, ERR_OK, "body");
	case EVENT_HOST_304:
		return host_answer(w, 304, ERR_OK, "");
	case EVENT_HOST_204:
		return host_answer(w, 204, ERR_OK, "");
	case EVENT_HOST_ERROR:
		return host_answer(w, 503, ERR_NO_REPLICA, "");
	case EVENT_HOST_WRITE:
		return host_write(w);
	case EVENT_HOST_DRAINS:
		if (w->is_draining)
			return 0;
		w->is_draining = 1;
		return 1;
	case CALLER_EVENT_COUNT:
		break;
	}
	return 0;
}

/* The path ends: all requests that were sent are answered. */
static void caller_finish(void *world)
{
	struct caller_world *w = world;

	do {
		if (w->conn.state == CALLER_CONN_WAITING)
			answer(w, 200, ERR_OK, "body");
		caller_write(w, SIZE_MAX);
		host_advance(w);
	} while (w->conn.state == CALLER_CONN_WAITING);
	check(w->answered_count >= w->due_count, "a request that was sent "
						 "ahead without an answer");
	check(w->answered_count == w->read_count, "a request without an "
						  "answer, or an answer too "
						  "many");
	check(w->wire.len_bytes == 0, "bytes behind an answer");
}

/* Bytes of a large body, and those that an idle connection may hold. */
#define LARGE_BYTES 3000000
#define IDLE_HELD_BYTES 32768

/* The message "@head, LARGE_BYTES of body". */
static void make_large(struct buf *out, const char *head)
{
	g_autofree char *body = g_strnfill(LARGE_BYTES, 'x');

	buf_addf(out, "%sContent-Length: %u\r\n\r\n", head, LARGE_BYTES);
	buf_add(out, body, LARGE_BYTES);
}

/*
 * Guards against idle connections that hold the memory of the largest message
 * that they ever carried: many of them use up that of the process.
 */
static void test_caller_idle(void)
{
	static const struct http1_limits limits = { 1024, LARGE_BYTES };
	struct buf text CLEANUP_BUF = { 0 };
	struct exchange_answer a = { .status = 200 };
	struct caller_conn c;
	size_t len;

	make_large(&text, "POST / HTTP/1.1\r\nHost: h\r\n");
	make_large(&a.body, "");
	caller_conn_init(&c);
	caller_conn_received(&c, text.data, text.len_bytes);
	g_assert_true(caller_conn_parse(&c, &limits));
	caller_conn_answer(&c, &a, 0);
	caller_conn_unsent(&c, &len);
	g_assert_cmpuint(caller_conn_held_bytes(&c), >, 2 * LARGE_BYTES);
	caller_conn_written(&c, len, 0);
	g_assert_true(caller_conn_is_idle(&c));
	g_assert_cmpuint(caller_conn_held_bytes(&c), <, IDLE_HELD_BYTES);
	buf_free(&a.body);
	caller_conn_clear(&c);
}

static void test_target_idle(void)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct target_world w;
	struct target_call *call;
	size_t len;

	make_large(&text, "HTTP/1.1 200 OK\r\n"
			  "Cowslippoint-Request-Id: r1\r\n"
			  "Cowslippoint-Server-Stamp: s1\r\n");
	target_init(&w, 0);
	call = w.conn.call;
	buf_add(&call->message->body, text.data, text.len_bytes);
	call->message->has_body = 1;
	target_conn_connected(&w.conn, 0);
	target_conn_unsent(&w.conn, &len);
	target_conn_written(&w.conn, len);
	w.calls[1].is_answered = 1;
	w.calls[1].method = "HEAD";
	target_conn_received(&w.conn, text.data, text.len_bytes, 0);
	g_assert_cmpint(w.conn.state, ==, TARGET_CONN_IDLE);
	g_assert_cmpuint(target_conn_held_bytes(&w.conn), <, IDLE_HELD_BYTES);
	/* The model of the target expects another body. */
	broken = NULL;
	target_free(&w);
}

/* One of the two kinds of connection. */
struct model {
	uint32_t depth;
	uint32_t event_count;
	int (*apply)(void *world, uint32_t event);
	void (*finish)(void *world);
	size_t world_bytes;
	void (*init)(void *world, int is_bytewise);
	void (*free)(void *world);
};

static void target_init_any(void *w, int is_bytewise)
{
	target_init(w, is_bytewise);
}

static void target_free_any(void *w)
{
	target_free(w);
}

static void caller_init_any(void *w, int is_bytewise)
{
	caller_init_world(w, is_bytewise);
}

static void caller_free_any(void *w)
{
	caller_free(w);
}

static const struct model target_model = {
	TARGET_DEPTH,	TARGET_EVENT_COUNT,	     target_apply,
	target_finish,	sizeof(struct target_world), target_init_any,
	target_free_any
};

static const struct model caller_model = {
	CALLER_DEPTH,	CALLER_EVENT_COUNT,	     caller_apply,
	caller_finish,	sizeof(struct caller_world), caller_init_any,
	caller_free_any
};

struct path {
	uint32_t count;
	uint32_t events[WALK_EVENTS];
};

static void report(const struct path *p, int is_bytewise)
{
	struct buf text CLEANUP_BUF = { 0 };
	uint32_t i;

	for (i = 0; i < p->count; i++)
		buf_addf(&text, " %u", p->events[i]);
	g_error("%s; events%s%s", broken, text.data,
		is_bytewise ? ", byte by byte" : "");
}

/* Plays the path; returns 0 if its last event cannot happen. */
static int play(const struct model *m, const struct path *p, int is_bytewise)
{
	void *world CLEANUP_FREE = util_alloc(1, m->world_bytes);
	int is_possible = 1;
	uint32_t i;

	m->init(world, is_bytewise);
	for (i = 0; i < p->count && is_possible; i++)
		is_possible = m->apply(world, p->events[i]);
	if (is_possible && !broken)
		m->finish(world);
	if (broken)
		report(p, is_bytewise);
	m->free(world);
	return is_possible;
}

static void explore(const struct model *m, struct path *p, uint32_t depth,
		    int is_bytewise, uint64_t *paths)
{
	uint32_t event;

	if (p->count == depth)
		return;
	for (event = 0; event < m->event_count; event++) {
		p->events[p->count++] = event;
		if (play(m, p, is_bytewise)) {
			++*paths;
			explore(m, p, depth, is_bytewise, paths);
		}
		p->count--;
	}
}

static void test_all(gconstpointer data)
{
	const struct model *m = data;
	uint32_t depth = m->depth + env_number("CONN_DEEPER", 0);
	int is_bytewise;

	for (is_bytewise = 0; is_bytewise <= 1; is_bytewise++) {
		struct path p = { 0 };
		uint64_t paths = 0;

		explore(m, &p, depth, is_bytewise, &paths);
		g_test_message("%llu paths of up to %u events",
			       (unsigned long long)paths, depth);
		g_assert_cmpuint(paths, >, 1000);
	}
}

static void test_walks(gconstpointer data)
{
	const struct model *m = data;
	GRand *rand = g_rand_new_with_seed(WALK_SEED);
	uint32_t walks = env_number("CONN_WALKS", WALKS);
	uint32_t i;

	for (i = 0; i < walks; i++) {
		void *world CLEANUP_FREE = util_alloc(1, m->world_bytes);
		struct path p = { 0 };
		int is_bytewise = (int)(i % 2);
		uint32_t tries = 0;

		m->init(world, is_bytewise);
		while (p.count < WALK_EVENTS && !broken &&
		       tries++ < 20 * WALK_EVENTS) {
			uint32_t event = (uint32_t)g_rand_int_range(
				rand, 0, (gint32)m->event_count);

			p.events[p.count] = event;
			p.count += (uint32_t)m->apply(world, event);
		}
		if (!broken)
			m->finish(world);
		if (broken)
			report(&p, is_bytewise);
		m->free(world);
	}
	g_rand_free(rand);
}

/*
 * Guards against rules that are kept only because each connection is closed: a
 * target that answers each request once, with or without IDs, keeps its own.
 */
static void test_kept(void)
{
	static const uint32_t answers[] = { EVENT_ANSWER_ID, EVENT_ANSWER_STAMP,
					    EVENT_REFUSE_ID };
	uint32_t i;

	for (i = 0; i < countof(answers); i++) {
		struct target_world w;
		uint32_t k;

		target_init(&w, 0);
		for (k = 0; k < CALLS_MAX; k++) {
			g_assert_true(target_apply(&w, EVENT_GET));
			g_assert_true(target_apply(&w, answers[i]));
			g_assert_cmpint(w.conn.state, ==, TARGET_CONN_IDLE);
		}
		target_free(&w);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/conn/target-all", &target_model, test_all);
	g_test_add_data_func("/conn/caller-all", &caller_model, test_all);
	g_test_add_data_func("/conn/target-walks", &target_model, test_walks);
	g_test_add_data_func("/conn/caller-walks", &caller_model, test_walks);
	g_test_add_func("/conn/target-kept", test_kept);
	g_test_add_func("/conn/caller-idle", test_caller_idle);
	g_test_add_func("/conn/target-idle", test_target_idle);
	return g_test_run();
}

#include "duty/target_conn.h"

#include <string.h>
#include <xxhash.h>

#include "base/metric.h"
#include "platform/platform_http.h"

#define HEAD_BYTES_MAX 65536
#define BODY_BYTES_MAX (4 * 1048576)
/* Idle time after which a connection is closed if the target states none. */
#define IDLE_TIMEOUT_MS_DEFAULT 5000
/*
 * An idle connection is closed this long before the target would close it, so
 * that no request is sent while the target closes it; if the target keeps it
 * for no more than twice this long, after half of that time.
 */
#define IDLE_MARGIN_MS 500

void target_conn_init(struct target_conn *c, struct target_call *call,
		      target_conn_reply_fn *reply, void *ctx)
{
	struct http1_limits limits = { HEAD_BYTES_MAX, BODY_BYTES_MAX };

	*c = (struct target_conn){ .state = TARGET_CONN_CONNECTING,
				   .call = call,
				   .idle_timeout_ms = IDLE_TIMEOUT_MS_DEFAULT,
				   .reply = reply,
				   .reply_ctx = ctx };
	http1_init(&c->h1, HTTP1_RESPONSE, &limits);
}

void target_conn_clear(struct target_conn *c)
{
	target_call_free(c->call);
	http1_clear(&c->h1);
	buf_free(&c->out);
	reuse_clear(&c->reuse);
}

/* Ends the call with @r; the connection has none then. */
static void end_call(struct target_conn *c, struct target_reply *r)
{
	r->call_id = c->call->call_id;
	c->reply(c->reply_ctx, r);
	target_call_free(c->call);
	c->call = NULL;
}

static void fail(struct target_conn *c, enum err_code code, int not_run)
{
	struct target_reply *r;

	if (c->call) {
		r = util_alloc(1, sizeof(*r));
		r->code = code;
		r->not_run = (uint32_t)not_run;
		r->warmup_left_ms = -1;
		end_call(c, r);
	}
	c->state = TARGET_CONN_CLOSED;
}

void target_conn_fail(struct target_conn *c, enum err_code code)
{
	fail(c, code, c->state == TARGET_CONN_CONNECTING);
}

static void send_request(struct target_conn *c, int64_t now_us)
{
	c->out.len_bytes = 0;
	c->out_sent_bytes = 0;
	if (platform_call_encode(c->call, &c->out) != ERR_OK) {
		/* Nothing of the request is sent. */
		fail(c, ERR_BAD_FIELD, 1);
		return;
	}
	c->state = TARGET_CONN_BUSY;
	c->sent_us = now_us;
	reuse_begin(&c->reuse);
	http1_reset(&c->h1);
	c->h1.is_head_response = strcmp(c->call->message->method, "HEAD") == 0;
}

void target_conn_connected(struct target_conn *c, int64_t now_us)
{
	send_request(c, now_us);
}

void target_conn_send(struct target_conn *c, struct target_call *call,
		      int64_t now_us)
{
	c->call = call;
	send_request(c, now_us);
}

const char *target_conn_unsent(const struct target_conn *c, size_t *len)
{
	*len = c->state == TARGET_CONN_BUSY
		       ? c->out.len_bytes - c->out_sent_bytes
		       : 0;
	return c->out.data + c->out_sent_bytes;
}

void target_conn_written(struct target_conn *c, size_t len)
{
	c->out_sent_bytes += len;
	reuse_written(&c->reuse, c->out_sent_bytes == c->out.len_bytes);
}

size_t target_conn_held_bytes(const struct target_conn *c)
{
	return http1_held_bytes(&c->h1) + c->out.cap_bytes;
}

size_t target_conn_buffered_bytes(const struct target_conn *c)
{
	return c->state == TARGET_CONN_BUSY ? http1_held_bytes(&c->h1) : 0;
}

static void update_idle_timeout(struct target_conn *c)
{
	uint32_t ms = platform_reply_idle_ms(&c->h1);

	if (ms)
		c->idle_timeout_ms =
			ms > 2 * IDLE_MARGIN_MS ? ms - IDLE_MARGIN_MS : ms / 2;
	if (c->call->idle_timeout_ms)
		c->idle_timeout_ms = util_min_u32(c->idle_timeout_ms,
						  c->call->idle_timeout_ms);
}

/* Hash of the answer's stamp; 0 if it has none. */
static uint64_t stamp_hash(const struct target_conn *c)
{
	const char *stamp = platform_reply_stamp(&c->h1);

	return stamp ? XXH3_64bits(stamp, strlen(stamp)) : 0;
}

/* Whose request ID the answer repeats. */
static enum reuse_id id_of_answer(const struct target_conn *c)
{
	const char *id = platform_reply_request_id(&c->h1);

	if (!id)
		return REUSE_ID_NONE;
	return strcmp(id, c->call->request_id) == 0 ? REUSE_ID_OWN
						    : REUSE_ID_OTHER;
}

/* The answer ends the call; @is_certain: it belongs to no earlier request. */
static void finish_call(struct target_conn *c, int is_certain, int64_t now_us)
{
	struct target_reply *r = util_alloc(1, sizeof(*r));

	platform_reply_decode(&c->h1, r);
	r->not_run = r->not_run && is_certain;
	r->service_us = now_us - c->sent_us;
	if (!c->reuse.is_written)
		metric_add(METRIC_EARLY_ANSWERS, 1);
	end_call(c, r);
}

/*
 * Takes the answer that was read; bytes behind it have come if @has_extra.
 * Returns 1 if the call waits on, and 0 when it has ended.
 */
static int take_answer(struct target_conn *c, int has_extra, int64_t now_us)
{
	struct reuse_answer answer = {
		.id = id_of_answer(c),
		.stamp = stamp_hash(c),
		.keep_alive = (uint32_t)http1_keep_alive(&c->h1),
		.has_extra = (uint32_t)has_extra,
	};
	enum reuse_step step = reuse_answered(&c->reuse, &answer);

	if (step != REUSE_KEEP && step != REUSE_CLOSE)
		metric_add(METRIC_STRAY_ANSWERS, 1);
	switch (step) {
	case REUSE_KEEP:
		update_idle_timeout(c);
		finish_call(c, 1, now_us);
		http1_reset(&c->h1);
		buf_reset(&c->out);
		c->out_sent_bytes = 0;
		c->state = TARGET_CONN_IDLE;
		return 0;
	case REUSE_CLOSE:
	case REUSE_DOUBT:
		finish_call(c, step == REUSE_CLOSE, now_us);
		c->state = TARGET_CONN_CLOSED;
		return 0;
	case REUSE_SKIP:
		http1_reset(&c->h1);
		return 1;
	case REUSE_FAIL:
		target_conn_fail(c, ERR_TARGET_ID);
		return 0;
	}
	return 0;
}

void target_conn_received(struct target_conn *c, const char *data, size_t len,
			  int64_t now_us)
{
	size_t used = 0;

	if (c->state != TARGET_CONN_BUSY) {
		/* Bytes that belong to no call. */
		metric_add(METRIC_STRAY_ANSWERS, 1);
		target_conn_fail(c, ERR_TARGET_CLOSED);
		return;
	}
	do {
		used += http1_parse(&c->h1, data + used, len - used);
		if (c->h1.state == HTTP1_BAD) {
			target_conn_fail(c, c->h1.error == ERR_TOO_LARGE
						    ? ERR_TARGET_SIZE
						    : ERR_TARGET_CLOSED);
			return;
		}
		if (c->h1.state != HTTP1_COMPLETE ||
		    !take_answer(c, used < len, now_us))
			return;
	} while (used < len);
}

void target_conn_ended(struct target_conn *c, int64_t now_us)
{
	if (c->state == TARGET_CONN_BUSY) {
		http1_eof(&c->h1);
		/* Such an answer has no length; nothing follows it. */
		if (c->h1.state == HTTP1_COMPLETE)
			take_answer(c, 0, now_us);
	}
	target_conn_fail(c, ERR_TARGET_CLOSED);
}

/* Calls of the store stand-in: limits, faults, effect and answer. */
#include "store.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"

/* A burst may use one part in this many of the calls of a second. */
#define BURST_PARTS 10

static const struct {
	const char *name;
	uint32_t write;
} ops[] = {
#define DEF(id, name, write) { name, write },
	STORE_OPS(DEF)
#undef DEF
};

const char *store_op_name(enum store_op op)
{
	return ops[op].name;
}

static void call_free(struct store_call *c)
{
	struct store *s = c->store;

	timer_queue_cancel(http_timers(s->http), &c->timer);
	if (c->prev)
		c->prev->next = c->next;
	else
		s->calls = c->next;
	if (c->next)
		c->next->prev = c->prev;
	if (c->is_watching)
		s->watches--;
	buf_free(&c->body);
	free(c->value);
	free(c);
}

static struct store_call *call_new(struct store *s, struct http_conn *conn)
{
	struct store_call *c = util_alloc(1, sizeof(*c));

	c->store = s;
	c->conn = conn;
	c->if_version = KVS_ANY_VERSION;
	c->next = s->calls;
	if (c->next)
		c->next->prev = c;
	s->calls = c;
	http_set_user(conn, c);
	return c;
}

static int fires(struct store_call *c, enum store_fault id, int64_t now_us)
{
	struct store *s = c->store;

	return fault_fires(&s->faults[id], &s->rng, ops[c->op].name, s->watches,
			   now_us);
}

static void send_now(struct store_call *c)
{
	struct http_conn *conn = c->conn;
	struct buf body = c->body;
	uint32_t status = c->status;
	char fields[48];

	snprintf(fields, sizeof(fields), "Store-Era: %" PRIu64 "\r\n",
		 c->store->era);
	memset(&c->body, 0, sizeof(c->body));
	call_free(c);
	if (conn)
		http_reply_fields(conn, status, fields, body.data,
				  body.len_bytes, HTTP_WHOLE);
	buf_free(&body);
}

static void delayed_due(void *ctx, int64_t now_us)
{
	send_now(ctx);
}

void store_finish(struct store_call *c, int64_t now_us)
{
	struct store *s = c->store;
	struct http_conn *conn = c->conn;

	timer_queue_cancel(http_timers(s->http), &c->timer);
	if (fires(c, STORE_FAULT_LOST_ANSWER, now_us)) {
		s->counters.answers_lost++;
		call_free(c);
		if (conn)
			http_drop(conn);
	} else if (fires(c, STORE_FAULT_SILENT_ANSWER, now_us)) {
		s->counters.answers_lost++;
		if (conn) {
			http_set_user(conn, NULL);
			http_silence(conn);
		}
		call_free(c);
	} else if (fires(c, STORE_FAULT_SLOW, now_us)) {
		timer_queue_arm(
			http_timers(s->http), &c->timer,
			now_us + (int64_t)s->faults[STORE_FAULT_SLOW].delay_ms *
					 US_PER_MS,
			delayed_due, c);
	} else {
		send_now(c);
	}
}

static void answer(struct store_call *c, uint32_t status, const char *text)
{
	c->status = status;
	buf_addf(&c->body, "%s", text);
}

/* Sets the answer of a write that took effect at revision @version. */
static void answer_written(struct store_call *c, uint64_t version)
{
	c->status = 200;
	buf_addf(&c->body, "{\"rev\":%" PRIu64 "}", version);
}

/*
 * Sets the answer of a write whose condition does not hold. @version is the
 * key's present one, 0 when there is no such key.
 */
static void answer_conflict(struct store_call *c, uint64_t version)
{
	c->status = 412;
	buf_addf(&c->body, "{\"items\":[");
	if (version)
		buf_addf(&c->body, "{\"key\":\"%s\",\"rev\":%" PRIu64 "}",
			 c->key, version);
	buf_addf(&c->body, "]}");
}

struct kvs *store_read_state(struct store *s)
{
	return s->faults[STORE_FAULT_STALE].on && s->stale ? s->stale : s->kvs;
}

static void run_write(struct store_call *c)
{
	struct store *s = c->store;
	uint64_t version = 0;
	enum err_code code;

	if (c->op == STORE_OP_PUT)
		code = kvs_put(s->kvs, c->key, c->value, c->value_bytes,
			       c->if_version, c->lease, &version);
	else
		code = kvs_delete(s->kvs, c->key, c->if_version, &version);
	if (code == ERR_OK) {
		answer_written(c, version);
	} else if (code == ERR_STORE_CONFLICT) {
		s->counters.conflicts++;
		answer_conflict(c, version);
	} else if (code == ERR_STORE_SIZE) {
		answer(c, 413, "{\"error\":\"value_too_large\"}");
	} else if (c->op == STORE_OP_PUT) {
		answer(c, 404, "{\"error\":\"lease_expired\"}");
	} else if (c->if_version == KVS_ANY_VERSION || c->if_version == 0) {
		/* The key does not exist, which meets the condition. */
		answer_written(c, s->kvs->revision);
	} else {
		s->counters.conflicts++;
		answer_conflict(c, 0);
	}
}

static void run_lease(struct store_call *c, int64_t now_us)
{
	struct store *s = c->store;
	enum err_code code;

	if (c->op == STORE_OP_GRANT) {
		c->status = 200;
		buf_addf(&c->body, "{\"lease\":%" PRIu64 ",\"ttlMs\":%u}",
			 kvs_grant(s->kvs, c->ttl_ms, now_us), c->ttl_ms);
		return;
	}
	code = c->op == STORE_OP_RENEW ? kvs_renew(s->kvs, c->lease, now_us)
				       : kvs_revoke(s->kvs, c->lease);
	if (code == ERR_OK)
		answer(c, 200, "{}");
	else
		answer(c, 404, "{\"error\":\"lease_expired\"}");
}

static void run_call(struct store_call *c, int64_t now_us)
{
	struct store *s = c->store;

	store_expire(s, now_us);
	switch (c->op) {
	case STORE_OP_GET:
		store_get(c);
		break;
	case STORE_OP_RANGE:
		store_range(c);
		break;
	case STORE_OP_PUT:
	case STORE_OP_DELETE:
		run_write(c);
		break;
	case STORE_OP_HOSTS:
		answer(c, 200,
		       store_hosts_text(
			       s->hosts,
			       (int)s->faults[STORE_FAULT_HOSTS_FROZEN].on,
			       now_us));
		break;
	case STORE_OP_WATCH:
		store_watch(c, now_us);
		return;
	default:
		run_lease(c, now_us);
		break;
	}
	store_finish(c, now_us);
	store_expire(s, now_us);
	store_wake_watches(s, now_us);
}

static void effect_due(void *ctx, int64_t now_us)
{
	run_call(ctx, now_us);
}

static void lease_due(void *ctx, int64_t now_us)
{
	struct store *s = ctx;

	store_expire(s, now_us);
	store_wake_watches(s, now_us);
}

void store_expire(struct store *s, int64_t now_us)
{
	int64_t next_us = kvs_expire(s->kvs, now_us);

	if (next_us < 0)
		timer_queue_cancel(http_timers(s->http), &s->lease_timer);
	else
		timer_queue_arm(http_timers(s->http), &s->lease_timer, next_us,
				lease_due, s);
}

static void count_call(struct store *s, enum store_op op, int64_t now_us)
{
	s->counters.calls[op]++;
	if (now_us - s->second_us >= US_PER_S) {
		s->second_us = now_us;
		s->second_calls = 0;
	}
	s->second_calls++;
	if (s->second_calls > s->counters.calls_per_s_peak)
		s->counters.calls_per_s_peak = s->second_calls;
}

/* Takes one token of the rate that limits @op; 0 when there is none left. */
static int within_rate(struct store *s, enum store_op op, int64_t now_us)
{
	struct store_rate *r = &s->rates[ops[op].write];
	double burst = util_max_u32(1, r->per_s / BURST_PARTS);

	if (r->per_s == 0)
		return 1;
	r->tokens += (double)(now_us - r->filled_us) * r->per_s / US_PER_S;
	r->filled_us = now_us;
	if (r->tokens > burst)
		r->tokens = burst;
	if (r->tokens < 1)
		return 0;
	r->tokens -= 1;
	return 1;
}

/* Ends the call without an effect if a fault or limit demands it: then 1. */
static int refuse(struct store_call *c, int64_t now_us)
{
	struct store *s = c->store;
	struct http_conn *conn = c->conn;

	if (fires(c, STORE_FAULT_SILENT_REQUEST, now_us)) {
		http_set_user(conn, NULL);
		call_free(c);
		s->counters.calls_lost++;
		http_silence(conn);
	} else if (fires(c, STORE_FAULT_LOST_CALL, now_us)) {
		s->counters.calls_lost++;
		call_free(c);
		http_drop(conn);
	} else if (fires(c, STORE_FAULT_OUTAGE, now_us)) {
		s->counters.refused++;
		answer(c, 503, "{\"error\":\"outage\"}");
		send_now(c);
	} else if (!within_rate(s, c->op, now_us)) {
		s->counters.limited++;
		answer(c, 429, "{\"error\":\"rate_limit\"}");
		send_now(c);
	} else {
		return 0;
	}
	return 1;
}

static void serve(void *ctx, struct http_conn *conn,
		  const struct http_request *r)
{
	struct store *s = ctx;
	int64_t now_us = clock_now_us();
	struct store_call *c = call_new(s, conn);
	int decoded = store_decode(c, r);

	if (decoded != 1) {
		answer(c, decoded ? 404 : 400,
		       decoded ? "{\"error\":\"no_such_path\"}"
			       : "{\"error\":\"bad_field\"}");
		send_now(c);
		return;
	}
	count_call(s, c->op, now_us);
	if (refuse(c, now_us))
		return;
	if (fires(c, STORE_FAULT_LATE_EFFECT, now_us))
		timer_queue_arm(
			http_timers(s->http), &c->timer,
			now_us + (int64_t)s->faults[STORE_FAULT_LATE_EFFECT]
						 .delay_ms *
					 US_PER_MS,
			effect_due, c);
	else
		run_call(c, now_us);
}

static void client_gone(void *ctx, struct http_conn *conn)
{
	struct store_call *c = http_user(conn);

	if (!c)
		return;
	if (c->is_watching)
		call_free(c);
	else
		c->conn = NULL;
}

static void free_state(gpointer state)
{
	kvs_free(state);
}

struct store *store_new(struct http *h, uint64_t seed)
{
	struct store *s = util_alloc(1, sizeof(*s));

	s->http = h;
	s->era = 1;
	s->kvs = kvs_new();
	s->saved = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_state);
	s->hosts = store_hosts_new(0);
	s->rng.state = seed;
	return s;
}

static void free_calls(struct store *s)
{
	struct store_call *c = s->calls;

	while (c) {
		struct store_call *next = c->next;

		timer_queue_cancel(http_timers(s->http), &c->timer);
		buf_free(&c->body);
		free(c->value);
		free(c);
		c = next;
	}
}

void store_free(struct store *s)
{
	if (!s)
		return;
	waiters_free(s->waiters);
	free_calls(s);
	timer_queue_cancel(http_timers(s->http), &s->lease_timer);
	kvs_free(s->kvs);
	kvs_free(s->stale);
	g_hash_table_destroy(s->saved);
	store_hosts_free(s->hosts);
	free(s);
}

enum err_code store_listen(struct store *s, const char *address, uint16_t port,
			   struct err *err)
{
	struct http_service service = { .request = serve,
					.gone = client_gone,
					.ctx = s };

	s->listener = http_listen(s->http, address, port, &service, err);
	return s->listener ? ERR_OK : err->code;
}

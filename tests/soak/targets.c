#include "targets.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/rng.h"
#include "standin/http.h"

#define SERVICE_US (4 * US_PER_MS)
#define SLOT_COUNT 4
#define QUEUE_MAX 16
/* More than the 4 MB that a host reads of one answer. */
#define ENDLESS_BYTES (5 * 1048576)
#define RUN_S 3600
/* Interval at which changes of is_down and stopping are noticed. */
#define ROUND_US (5 * US_PER_MS)

struct job;

/* A target with its listener and its requests. */
struct server {
	struct target_entry entry;
	struct targets *targets;
	struct http_listener *listener;
	int is_closed;
	uint32_t running;
	/* Elements are struct job that waits for a slot. */
	GQueue *queue;
};

struct targets {
	struct http *http;
	struct ledger *ledger;
	struct proxy *proxy;
	struct rng rng;
	pthread_t thread;
	int is_started;
	GPtrArray *servers;
	struct timer_entry timer;
	_Atomic int stopping;
};

/* One request that waits or runs; freed when its connection closes. */
struct job {
	struct server *server;
	struct http_conn *conn;
	char id[LEDGER_REQUEST_ID_BYTES];
	char stamp[LEDGER_STAMP_BYTES];
	/* 1: one shard of a gathered answer, which consists of records. */
	int is_part;
	int is_running;
	struct timer_entry timer;
};

void targets_entry_id(const struct target_entry *s, char out[NAME_BYTES])
{
	g_snprintf(out, NAME_BYTES, "%s-%s-%s-%u", s->service, s->data_centre,
		   s->version, s->instance);
}

void targets_records(const char *service, const char *id,
		     char out[TARGET_RECORDS * TARGET_RECORD_BYTES])
{
	uint64_t seed = XXH64(service, strlen(service), 1);
	uint32_t i;

	for (i = 0; i < TARGET_RECORDS; i++) {
		char *r = out + i * TARGET_RECORD_BYTES;

		snprintf(r, TARGET_RECORD_BYTES, "%015llx",
			 (unsigned long long)XXH64(id, strlen(id), seed + i) >>
				 4);
		r[TARGET_RECORD_BYTES - 1] = '.';
	}
}

static void start_queued(struct server *s);

static void job_free(struct job *j)
{
	struct server *s = j->server;

	timer_queue_cancel(http_timers(s->targets->http), &j->timer);
	if (j->is_running)
		s->running--;
	else
		g_queue_remove(s->queue, j);
	free(j);
	start_queued(s);
}

static int draw_permille(struct server *s, uint32_t permille)
{
	return rng_below(&s->targets->rng, PERMILLE) < permille;
}

/*
 * Begins an answer that is longer than any host reads; the connection ends when
 * the host closes it.
 */
static void send_endless(struct http_conn *c)
{
	char *body CLEANUP_FREE = util_alloc(ENDLESS_BYTES, 1);

	http_reply_fields(c, 200, "", body, ENDLESS_BYTES, HTTP_WHOLE);
}

static void send_answer(struct job *j)
{
	struct server *s = j->server;
	char records[TARGET_RECORDS * TARGET_RECORD_BYTES];
	struct buf fields CLEANUP_BUF = { 0 };
	struct buf body CLEANUP_BUF = { 0 };
	int failed = draw_permille(s, s->entry.fail_permille);

	http_set_user(j->conn, NULL);
	if (draw_permille(s, s->entry.endless_permille)) {
		send_endless(j->conn);
		return;
	}
	buf_addf(&fields, "Cowslippoint-Server-Stamp: %s\r\n", j->stamp);
	if (s->entry.says_leaving)
		buf_addf(&fields, "Server-Leaving: 1\r\n");
	if (!j->is_part)
		buf_addf(&fields, "Cowslippoint-Request-Id: %s\r\n", j->id);
	if (j->is_part) {
		targets_records(s->entry.service, j->id, records);
		buf_add(&body, records, sizeof(records));
	} else {
		buf_addf(&body, "id=%s stamp=%s", j->id, j->stamp);
	}
	http_reply_fields(j->conn, failed ? 500 : 200, fields.data, body.data,
			  body.len_bytes,
			  s->entry.answers_twice ? HTTP_TWICE : HTTP_WHOLE);
}

static void on_done(void *ctx, int64_t now_us)
{
	struct job *j = ctx;
	struct http_conn *c = j->conn;

	if (draw_permille(j->server, j->server->entry.lost_permille)) {
		http_set_user(c, NULL);
		http_drop(c);
	} else {
		send_answer(j);
	}
	job_free(j);
}

static void job_start(struct job *j)
{
	struct server *s = j->server;
	int64_t now_us = clock_now_us();
	uint32_t us = SERVICE_US / 2 + rng_below(&s->targets->rng, SERVICE_US);

	j->is_running = 1;
	s->running++;
	s->entry.run_count++;
	s->entry.last_run_us = now_us;
	ledger_run(s->targets->ledger, j->id, s->entry.service, j->stamp);
	timer_queue_arm(http_timers(s->targets->http), &j->timer,
			now_us + (int64_t)us * s->entry.slowdown, on_done, j);
}

static void start_queued(struct server *s)
{
	while (s->running < SLOT_COUNT && !g_queue_is_empty(s->queue))
		job_start(g_queue_pop_head(s->queue));
}

static void refuse(struct http_conn *c, uint32_t status)
{
	http_reply_fields(c, status, "Cowslippoint-Not-Executed: 1\r\n", "", 0,
			  HTTP_WHOLE);
}

/* Asks the host for a pause. */
static void refuse_for(struct http_conn *c, uint32_t pause_ms)
{
	struct buf fields CLEANUP_BUF = { 0 };

	buf_addf(&fields,
		 "Cowslippoint-Not-Executed: 1\r\nRetry-After: %u.%03u\r\n",
		 pause_ms / MS_PER_S, pause_ms % MS_PER_S);
	http_reply_fields(c, 503, fields.data, "", 0, HTTP_WHOLE);
}

static void count_late(struct target_entry *e)
{
	int64_t from_us = e->late_from_us;

	if (from_us && clock_now_us() >= from_us)
		e->late_count++;
}

static void on_request(void *ctx, struct http_conn *c,
		       const struct http_request *r)
{
	struct server *s = ctx;
	char own[NAME_BYTES];
	char expected[NAME_BYTES] = "";
	struct job *j;

	targets_entry_id(&s->entry, own);
	j = util_alloc(1, sizeof(*j));
	j->server = s;
	j->conn = c;
	if (!http_request_field(r, "Cowslippoint-Request-Id", j->id,
				sizeof(j->id))) {
		free(j);
		refuse(c, 400);
		return;
	}
	http_request_field(r, "Cowslippoint-Expect-Instance", expected,
			   sizeof(expected));
	if (expected[0] && strcmp(expected, own) != 0) {
		free(j);
		refuse(c, 421);
		return;
	}
	ledger_arrived(s->targets->ledger, j->id, s->entry.service);
	count_late(&s->entry);
	if (s->entry.pause_ms) {
		free(j);
		refuse_for(c, s->entry.pause_ms);
		return;
	}
	if (g_queue_get_length(s->queue) >= QUEUE_MAX) {
		free(j);
		refuse(c, 503);
		return;
	}
	j->is_part = strncmp(r->path, "/all/", strlen("/all/")) == 0;
	http_set_user(c, j);
	g_queue_push_tail(s->queue, j);
	start_queued(s);
}

/* The host closed the connection before the answer: the request is dropped. */
static void on_gone(void *ctx, struct http_conn *c)
{
	struct job *j = http_user(c);

	if (j)
		job_free(j);
}

static void apply_is_down(struct server *s)
{
	struct err err = { 0 };

	if (s->entry.is_down && !s->is_closed) {
		s->is_closed = 1;
		http_shut(s->listener);
	} else if (!s->entry.is_down && s->is_closed) {
		s->is_closed = http_reopen(s->listener, &err) != ERR_OK;
	}
}

static void on_round(void *ctx, int64_t now_us)
{
	struct targets *s = ctx;
	guint i;

	for (i = 0; i < s->servers->len; i++)
		apply_is_down(g_ptr_array_index(s->servers, i));
	if (s->stopping)
		http_stop(s->http);
	timer_queue_arm(http_timers(s->http), &s->timer, now_us + ROUND_US,
			on_round, s);
}

struct targets *targets_new(struct ledger *l, struct proxy *p, uint64_t seed,
			    struct err *err)
{
	struct targets *s = util_alloc(1, sizeof(*s));

	s->ledger = l;
	s->proxy = p;
	s->rng.state = seed;
	s->servers = g_ptr_array_new();
	s->http = http_new(err);
	if (!s->http) {
		targets_free(s);
		return NULL;
	}
	return s;
}

struct target_entry *targets_add(struct targets *targets, const char *service,
				 const char *data_centre, const char *version,
				 struct err *err)
{
	struct server *s = util_alloc(1, sizeof(*s));
	struct http_service h = { .request = on_request,
				  .gone = on_gone,
				  .ctx = s };

	s->targets = targets;
	s->queue = g_queue_new();
	util_copy_str(s->entry.service, NAME_BYTES, service);
	util_copy_str(s->entry.data_centre, NAME_BYTES, data_centre);
	util_copy_str(s->entry.version, NAME_BYTES, version);
	s->entry.slowdown = 1;
	g_ptr_array_add(targets->servers, s);
	s->listener = http_listen(targets->http, "127.0.0.1", 0, &h, err);
	if (s->listener)
		s->entry.link = proxy_add(targets->proxy, "127.0.0.1", 0,
					  http_port(s->listener), err);
	return s->entry.link ? &s->entry : NULL;
}

static void *run(void *ctx)
{
	struct targets *s = ctx;

	http_run(s->http, RUN_S);
	return NULL;
}

void targets_start(struct targets *s)
{
	on_round(s, clock_now_us());
	s->is_started = 1;
	pthread_create(&s->thread, NULL, run, s);
}

void targets_free(struct targets *s)
{
	guint i;

	if (!s)
		return;
	s->stopping = 1;
	if (s->is_started)
		pthread_join(s->thread, NULL);
	if (s->http) {
		timer_queue_cancel(http_timers(s->http), &s->timer);
		http_close(s->http);
		http_free(s->http);
	}
	for (i = 0; i < s->servers->len; i++) {
		struct server *one = g_ptr_array_index(s->servers, i);

		g_queue_free(one->queue);
		free(one);
	}
	g_ptr_array_free(s->servers, TRUE);
	free(s);
}

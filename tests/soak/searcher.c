#include "searcher.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/rng.h"
#include "standin/http.h"

#define SERVICE_US (4 * US_PER_MS)
#define SLOTS 4
#define QUEUE 16
#define RUN_S 3600
/* Switches of other threads are seen this often. */
#define ROUND_US (5 * US_PER_MS)

struct job;

struct server {
	struct target_entry pub;
	struct searchers *all;
	struct http_listener *listener;
	int is_shut;
	uint32_t running;
	/* struct job that waits for a slot. */
	GQueue *queue;
};

struct searchers {
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

/* One request; its connection is gone once @conn is NULL. */
struct job {
	struct server *server;
	struct http_conn *conn;
	char id[LEDGER_ID_BYTES];
	char stamp[LEDGER_STAMP_BYTES];
	int is_part;
	int is_running;
	struct timer_entry timer;
};

void searcher_id(const struct target_entry *s, char out[NAME_BYTES])
{
	g_snprintf(out, NAME_BYTES, "%s-%s-%s-%u", s->service, s->data_centre,
		   s->version, s->instance);
}

void searcher_records(const char *service, const char *id,
		      char out[SEARCHER_RECORDS * SEARCHER_RECORD_BYTES])
{
	uint64_t seed = XXH64(service, strlen(service), 1);
	uint32_t i;

	for (i = 0; i < SEARCHER_RECORDS; i++) {
		char *r = out + i * SEARCHER_RECORD_BYTES;

		snprintf(r, SEARCHER_RECORD_BYTES, "%015llx",
			 (unsigned long long)XXH64(id, strlen(id), seed + i) >>
				 4);
		r[SEARCHER_RECORD_BYTES - 1] = '.';
	}
}

static void start_queued(struct server *s);

static void job_free(struct job *j)
{
	struct server *s = j->server;

	timer_queue_cancel(http_timers(s->all->http), &j->timer);
	if (j->is_running)
		s->running--;
	else
		g_queue_remove(s->queue, j);
	free(j);
	start_queued(s);
}

static int happens(struct server *s, uint32_t permille)
{
	return rng_below(&s->all->rng, PERMILLE) < permille;
}

static void send_answer(struct job *j)
{
	struct server *s = j->server;
	char records[SEARCHER_RECORDS * SEARCHER_RECORD_BYTES];
	struct buf fields CLEANUP_BUF = { 0 };
	struct buf body CLEANUP_BUF = { 0 };
	int failed = happens(s, s->pub.fail_permille);

	buf_addf(&fields, "Cowslippoint-Server-Stamp: %s\r\n", j->stamp);
	if (!j->is_part)
		buf_addf(&fields, "Cowslippoint-Request-Id: %s\r\n", j->id);
	if (j->is_part) {
		searcher_records(s->pub.service, j->id, records);
		buf_add(&body, records, sizeof(records));
	} else {
		buf_addf(&body, "id=%s stamp=%s", j->id, j->stamp);
	}
	http_set_user(j->conn, NULL);
	http_reply_fields(j->conn, failed ? 500 : 200, fields.data, body.data,
			  body.len_bytes,
			  s->pub.is_doubling ? HTTP_TWICE : HTTP_WHOLE);
}

static void on_done(void *ctx, int64_t now_us)
{
	struct job *j = ctx;
	struct http_conn *c = j->conn;

	if (happens(j->server, j->server->pub.lost_permille)) {
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
	uint32_t us = SERVICE_US / 2 + rng_below(&s->all->rng, SERVICE_US);

	j->is_running = 1;
	s->running++;
	s->pub.runs++;
	s->pub.last_run_us = now_us;
	ledger_run(s->all->ledger, j->id, s->pub.service, j->stamp);
	timer_queue_arm(http_timers(s->all->http), &j->timer,
			now_us + (int64_t)us * s->pub.slow, on_done, j);
}

static void start_queued(struct server *s)
{
	while (s->running < SLOTS && !g_queue_is_empty(s->queue))
		job_start(g_queue_pop_head(s->queue));
}

static void refuse(struct http_conn *c, uint32_t status)
{
	http_reply_fields(c, status, "Cowslippoint-Not-Executed: 1\r\n", "", 0,
			  HTTP_WHOLE);
}

static void on_request(void *ctx, struct http_conn *c,
		       const struct http_request *r)
{
	struct server *s = ctx;
	char own[NAME_BYTES];
	char expected[NAME_BYTES] = "";
	struct job *j;

	searcher_id(&s->pub, own);
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
	ledger_arrived(s->all->ledger, j->id, s->pub.service);
	if (g_queue_get_length(s->queue) >= QUEUE) {
		free(j);
		refuse(c, 503);
		return;
	}
	j->is_part = strncmp(r->path, "/all/", strlen("/all/")) == 0;
	http_set_user(c, j);
	g_queue_push_tail(s->queue, j);
	start_queued(s);
}

/* The host closed the connection: the work stops. */
static void on_gone(void *ctx, struct http_conn *c)
{
	struct job *j = http_user(c);

	if (j)
		job_free(j);
}

static void apply_switch(struct server *s)
{
	struct err err = { 0 };

	if (s->pub.is_down && !s->is_shut) {
		s->is_shut = 1;
		http_shut(s->listener);
	} else if (!s->pub.is_down && s->is_shut) {
		s->is_shut = http_reopen(s->listener, &err) != ERR_OK;
	}
}

static void on_round(void *ctx, int64_t now_us)
{
	struct searchers *s = ctx;
	guint i;

	for (i = 0; i < s->servers->len; i++)
		apply_switch(g_ptr_array_index(s->servers, i));
	if (s->stopping)
		http_stop(s->http);
	timer_queue_arm(http_timers(s->http), &s->timer, now_us + ROUND_US,
			on_round, s);
}

struct searchers *searchers_new(struct ledger *l, struct proxy *p,
				uint64_t seed, struct err *err)
{
	struct searchers *s = util_alloc(1, sizeof(*s));

	s->ledger = l;
	s->proxy = p;
	s->rng.state = seed;
	s->servers = g_ptr_array_new();
	s->http = http_new(err);
	if (!s->http) {
		searchers_free(s);
		return NULL;
	}
	return s;
}

struct target_entry *searchers_add(struct searchers *all, const char *service,
				   const char *data_centre, const char *version,
				   struct err *err)
{
	struct server *s = util_alloc(1, sizeof(*s));
	struct http_service h = { .request = on_request,
				  .gone = on_gone,
				  .ctx = s };

	s->all = all;
	s->queue = g_queue_new();
	util_copy_str(s->pub.service, NAME_BYTES, service);
	util_copy_str(s->pub.data_centre, NAME_BYTES, data_centre);
	util_copy_str(s->pub.version, NAME_BYTES, version);
	s->pub.slow = 1;
	g_ptr_array_add(all->servers, s);
	s->listener = http_listen(all->http, "127.0.0.1", 0, &h, err);
	if (s->listener)
		s->pub.link = proxy_add(all->proxy, "127.0.0.1", 0,
					http_port(s->listener), err);
	return s->pub.link ? &s->pub : NULL;
}

static void *run(void *ctx)
{
	struct searchers *s = ctx;

	http_run(s->http, RUN_S);
	return NULL;
}

void searchers_start(struct searchers *s)
{
	on_round(s, clock_now_us());
	s->is_started = 1;
	pthread_create(&s->thread, NULL, run, s);
}

void searchers_free(struct searchers *s)
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

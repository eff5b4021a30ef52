#include "fleet.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/clock.h"
#include "corpus.h"
#include "fleet_answer.h"

#define SUB_ID_MAX (1LL << 53)
#define DEADLINE_MS_MAX 60000

/* An ended request whose answer the fault "late" delays. */
struct delayed_answer {
	struct delayed_answer *next;
	/* The pointer to this one in the list. */
	struct delayed_answer **link;
	struct endpoint *endpoint;
	struct job *job;
	enum job_end end;
	struct timer_entry timer;
};

static void deliver(struct endpoint *p, struct job *j, enum job_end end,
		    int64_t now_us)
{
	struct http_conn *c = j->conn;

	if (c) {
		http_set_user(c, NULL);
		answer_send(p, c, j, end, now_us);
	} else {
		p->target.counters.abandoned++;
	}
	job_free(j);
}

static void delayed_free(struct delayed_answer *l)
{
	*l->link = l->next;
	if (l->next)
		l->next->link = l->link;
	free(l);
}

static void delayed_due(void *ctx, int64_t now_us)
{
	struct delayed_answer *l = ctx;
	struct endpoint *p = l->endpoint;
	struct job *j = l->job;
	enum job_end end = l->end;

	delayed_free(l);
	deliver(p, j, end, now_us);
}

static void delay_answer(struct endpoint *p, struct job *j, enum job_end end,
			 int64_t now_us)
{
	struct fleet *f = p->fleet;
	struct delayed_answer *l = util_alloc(1, sizeof(*l));

	*l = (struct delayed_answer){ .next = f->delayed,
				      .link = &f->delayed,
				      .endpoint = p,
				      .job = j,
				      .end = end };
	if (l->next)
		l->next->link = &l->next;
	f->delayed = l;
	timer_queue_arm(
		http_timers(f->http), &l->timer,
		now_us + (int64_t)p->target.faults[TARGET_FAULT_LATE].delay_ms *
				 US_PER_MS,
		delayed_due, l);
}

static void job_done(void *ctx, struct job *j, enum job_end end, int64_t now_us)
{
	struct endpoint *p = ctx;

	if (end == JOB_DONE &&
	    target_fires(&p->target, TARGET_FAULT_LATE, job_route(j), now_us))
		delay_answer(p, j, end, now_us);
	else
		deliver(p, j, end, now_us);
}

static int decode_name(json_t *body, const char *field, char *out,
		       size_t size_bytes)
{
	const char *text = json_string_value(json_object_get(body, field));

	return util_name_ok(text, size_bytes - 1) &&
	       util_copy_str(out, size_bytes, text);
}

static int decode_int(json_t *body, const char *field, int64_t least,
		      int64_t most, int64_t *out)
{
	json_t *value = json_object_get(body, field);

	if (!json_is_integer(value))
		return 0;
	*out = json_integer_value(value);
	return *out >= least && *out <= most;
}

/*
 * Decodes the fields that only a search or only a lookup has. NULL, or the name
 * of the field that is missing or out of range.
 */
static const char *decode_op(json_t *body, struct job *j)
{
	const char *field = j->op == OP_SEARCH ? "query" : "record";
	const char *text = json_string_value(json_object_get(body, field));
	json_t *idempotent = json_object_get(body, "idempotent");
	int64_t limit = 0;

	if (!text || !text[0] || strlen(text) >= QUERY_BYTES_MAX)
		return field;
	j->text = util_strdup(text);
	j->idempotent = 1;
	if (j->op == OP_SEARCH) {
		if (!decode_int(body, "limit", 1, HITS_MAX, &limit))
			return "limit";
		j->limit = (uint32_t)limit;
		return NULL;
	}
	if (!util_name_ok(text, NAME_BYTES - 1))
		return "record";
	if (!json_is_boolean(idempotent))
		return "idempotent";
	j->idempotent = json_is_true(idempotent);
	return NULL;
}

/*
 * Decodes a request. NULL, or the name of the field that is missing or out of
 * range.
 */
static const char *decode_job(json_t *body, struct job *j, int64_t now_us)
{
	int64_t sub_id;
	int64_t deadline_ms;

	if (!decode_name(body, "request_id", j->request_id,
			 sizeof(j->request_id)))
		return "request_id";
	if (!decode_name(body, "index", j->index, sizeof(j->index)))
		return "index";
	if (!decode_name(body, "shard", j->shard, sizeof(j->shard)))
		return "shard";
	if (!decode_name(body, "snapshot", j->snapshot, sizeof(j->snapshot)))
		return "snapshot";
	if (!decode_int(body, "sub_id", 1, SUB_ID_MAX - 1, &sub_id))
		return "sub_id";
	if (!decode_int(body, "deadline_ms", 1, DEADLINE_MS_MAX, &deadline_ms))
		return "deadline_ms";
	j->sub_id = (uint64_t)sub_id;
	j->deadline_us = now_us + deadline_ms * US_PER_MS;
	return decode_op(body, j);
}

static void serve_job(struct endpoint *p, struct http_conn *c,
		      const struct http_request *r, enum request_op op)
{
	struct target *t = &p->target;
	int64_t now_us = clock_now_us();
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);
	struct job *j = util_alloc(1, sizeof(*j));
	const char *bad;

	j->op = op;
	bad = body ? decode_job(body, j, now_us) : "body";
	json_decref(body);
	if (bad) {
		job_free(j);
		http_replyf(c, 400,
			    "{\"error\":\"bad_field\",\"field\":\"%s\"}", bad);
		return;
	}
	if (target_fires(t, TARGET_FAULT_SILENT_REQUEST, job_route(j),
			 now_us)) {
		job_free(j);
		t->counters.silenced++;
		http_silence(c);
		return;
	}
	if (target_fires(t, TARGET_FAULT_CLOSE_BEFORE, job_route(j), now_us)) {
		job_free(j);
		http_drop(c);
		return;
	}
	j->conn = c;
	http_set_user(c, j);
	target_submit(t, j, now_us);
}

static void serve_cancel(struct endpoint *p, struct http_conn *c,
			 const struct http_request *r)
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);
	char request_id[REQUEST_ID_BYTES];
	int64_t sub_id;

	if (decode_name(body, "request_id", request_id, sizeof(request_id)) &&
	    decode_int(body, "sub_id", 1, SUB_ID_MAX - 1, &sub_id))
		target_cancel(&p->target, request_id, (uint64_t)sub_id,
			      clock_now_us());
	json_decref(body);
	http_replyf(c, 200, "{}");
}

static const char *state_name(const struct target *t)
{
	if (t->faults[TARGET_FAULT_DRAIN].on)
		return "draining";
	return t->is_cold ? "cold" : "warm";
}

/* Takes a new sample unless the last is younger than the delay of "lag". */
static void sample(struct endpoint *p)
{
	struct target *t = &p->target;
	struct fault *lag = &t->faults[TARGET_FAULT_LAG];
	int64_t now_us = clock_now_us();

	if (lag->on && p->sampled_us &&
	    now_us - p->sampled_us < (int64_t)lag->delay_ms * US_PER_MS)
		return;
	p->sampled_us = now_us;
	p->sample_active = t->running.count;
	p->sample_queued = t->queued.count;
	util_copy_str(p->sample_state, sizeof(p->sample_state), state_name(t));
	util_copy_str(p->sample_instance, sizeof(p->sample_instance),
		      t->instance);
}

static void serve_health(struct endpoint *p, struct http_conn *c)
{
	struct fault *f = &p->target.faults[TARGET_FAULT_HEALTH];

	sample(p);
	http_replyf(c, 200,
		    "{\"instance\":\"%s\",\"version\":\"%s\",\"state\":\"%s\"}",
		    p->sample_instance, p->target.spec.version,
		    f->on ? f->value : p->sample_state);
}

static void serve_load(struct endpoint *p, struct http_conn *c)
{
	struct fault *f = &p->target.faults[TARGET_FAULT_LOAD];

	sample(p);
	http_replyf(c, 200, "{\"active\":%u,\"queued\":%u}",
		    f->on ? f->active : p->sample_active,
		    f->on ? f->queued : p->sample_queued);
}

static void serve(void *ctx, struct http_conn *c, const struct http_request *r)
{
	struct endpoint *p = ctx;
	int post = strcmp(r->method, "POST") == 0;
	int get = strcmp(r->method, "GET") == 0;

	if (post && strcmp(r->path, "/v1/search") == 0)
		serve_job(p, c, r, OP_SEARCH);
	else if (post && strcmp(r->path, "/v1/lookup") == 0)
		serve_job(p, c, r, OP_LOOKUP);
	else if (post && strcmp(r->path, "/v1/cancel") == 0)
		serve_cancel(p, c, r);
	else if (get && strcmp(r->path, "/health") == 0)
		serve_health(p, c);
	else if (get && strcmp(r->path, "/load") == 0)
		serve_load(p, c);
	else
		http_replyf(c, 404, "{\"error\":\"no_such_path\"}");
}

/* The request goes on without its client, as on a real target. */
static void client_gone(void *ctx, struct http_conn *c)
{
	struct job *j = http_user(c);

	if (j)
		j->conn = NULL;
}

void fleet_init(struct fleet *f, struct http *h)
{
	memset(f, 0, sizeof(*f));
	f->http = h;
	f->once = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void free_delayed(struct fleet *f)
{
	struct delayed_answer *l = f->delayed;

	while (l) {
		struct delayed_answer *next = l->next;

		timer_queue_cancel(http_timers(f->http), &l->timer);
		job_free(l->job);
		free(l);
		l = next;
	}
}

void fleet_clear(struct fleet *f)
{
	uint32_t i;

	waiters_free(f->waiters);
	free_delayed(f);
	for (i = 0; i < f->count; i++) {
		target_clear(&f->endpoints[i]->target);
		buf_free(&f->endpoints[i]->last_answer);
		free(f->endpoints[i]);
	}
	free(f->endpoints);
	g_hash_table_destroy(f->once);
}

enum err_code fleet_add(struct fleet *f, const struct target_spec *spec,
			const char *run, struct err *err)
{
	struct endpoint *p = util_alloc(1, sizeof(*p));
	struct http_service s = { .request = serve,
				  .gone = client_gone,
				  .ctx = p,
				  .connections_max = spec->connections,
				  .connect_us = spec->connect_us };

	p->fleet = f;
	p->listener = http_listen(f->http, spec->address, (uint16_t)spec->port,
				  &s, err);
	if (!p->listener) {
		free(p);
		return err->code;
	}
	target_init(&p->target, spec, run, http_timers(f->http), f->once,
		    job_done, p);
	f->endpoints = util_grow(f->endpoints, f->count + 1,
				 sizeof(struct endpoint *));
	f->endpoints[f->count++] = p;
	return ERR_OK;
}

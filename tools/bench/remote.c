/* The cowslippoint policy: each request goes to the next host. */
#include <inttypes.h>
#include <jansson.h>

#include "base/clock.h"
#include "bench.h"
#include "hc.h"
#include "stage.h"

struct remote {
	uint32_t next_host;
	uint64_t next_request;
	struct ask *open;
};

struct ask {
	struct ask *next;
	struct ask **at;
	struct run *run;
	struct sample *sample;
	struct hc_call *call;
	struct timer_entry limit;
};

void *remote_new(void)
{
	return util_alloc(1, sizeof(struct remote));
}

static void ask_free(struct ask *a)
{
	timer_queue_cancel(hc_timers(a->run->client), &a->limit);
	*a->at = a->next;
	if (a->next)
		a->next->at = a->at;
	free(a);
}

void remote_free(void *remote)
{
	struct remote *m = remote;
	struct ask *a;
	struct ask *next;

	for (a = m->open; a; a = next) {
		next = a->next;
		timer_queue_cancel(hc_timers(a->run->client), &a->limit);
		free(a);
	}
	free(m);
}

static uint32_t field(json_t *body, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(body, name));
}

static void on_reply(void *ctx, uint32_t status, const char *body,
		     size_t body_bytes, int64_t now_us)
{
	struct ask *a = ctx;
	struct sample *s = a->sample;
	json_t *json = json_loadb(body ? body : "", body_bytes, 0, NULL);

	if (json) {
		s->replied = 1;
		s->code = field(json, "code");
		s->shards_total = field(json, "shards_total");
		s->shards_answered = field(json, "shards_answered");
	}
	json_decref(json);
	run_ended(a->run, s, now_us);
	ask_free(a);
}

static void on_limit(void *ctx, int64_t now_us)
{
	struct ask *a = ctx;

	hc_abort(a->call);
	run_ended(a->run, a->sample, now_us);
	ask_free(a);
}

static void write_body(struct buf *b, struct remote *m,
		       const struct scenario *s, const struct sample *sample)
{
	uint64_t no = ++m->next_request;

	buf_addf(b, "{\"customer\":\"%s\",\"index\":\"%s\",", s->customer,
		 s->index);
	if (sample->is_lookup)
		buf_addf(b,
			 "\"record\":\"r%" PRIu64 "\",\"idempotent\":false,"
			 "\"request_id\":\"b%" PRIu64 "\"}",
			 no, no);
	else
		buf_addf(b, "\"query\":\"heron\",\"limit\":%d}", HITS_WANTED);
}

void remote_submit(void *ctx, struct run *r, struct sample *s)
{
	struct remote *m = ctx;
	struct stage *st = r->stage;
	struct ask *a = util_alloc(1, sizeof(*a));
	struct buf b CLEANUP_BUF = { 0 };
	uint16_t port = st->host_ports[m->next_host++ % st->host_count];

	a->run = r;
	a->sample = s;
	a->next = m->open;
	a->at = &m->open;
	if (a->next)
		a->next->at = &a->next;
	m->open = a;
	write_body(&b, m, r->scenario, s);
	timer_queue_arm(hc_timers(r->client), &a->limit,
			r->start_us + s->at_us +
				(int64_t)(ANSWER_MS + LOST_AFTER_MS) *
					US_PER_MS,
			on_limit, a);
	a->call = hc_send(r->client, port, "POST",
			  s->is_lookup ? "/v1/lookup" : "/v1/search", b.data,
			  on_reply, a);
}

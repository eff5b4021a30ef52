/* The cowslippoint policy: the requests go to the hosts in turn. */
#include <inttypes.h>
#include <jansson.h>

#include "base/clock.h"
#include "bench.h"
#include "http_client.h"
#include "setup.h"

struct remote {
	/* Taken modulo the number of hosts. */
	uint32_t next_host;
	/* Number in the record and ID of the last request. */
	uint64_t last_request;
	/* List of requests without a reply. */
	struct remote_request *open;
};

/* A request without a reply yet. */
struct remote_request {
	struct remote_request *next;
	/* The pointer that points to this request. */
	struct remote_request **prev_next;
	struct run *run;
	struct sample *sample;
	struct http_client_call *call;
	/* Due LOST_AFTER_MS after the deadline. */
	struct timer_entry lost_timer;
};

void *remote_new(void)
{
	return util_alloc(1, sizeof(struct remote));
}

static void remote_request_free(struct remote_request *q)
{
	timer_queue_cancel(http_client_timers(q->run->client), &q->lost_timer);
	*q->prev_next = q->next;
	if (q->next)
		q->next->prev_next = q->prev_next;
	free(q);
}

void remote_free(void *remote)
{
	struct remote *state = remote;
	struct remote_request *q;
	struct remote_request *next;

	for (q = state->open; q; q = next) {
		next = q->next;
		timer_queue_cancel(http_client_timers(q->run->client),
				   &q->lost_timer);
		free(q);
	}
	free(state);
}

static uint32_t field(json_t *body, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(body, name));
}

static void on_reply(void *ctx, uint32_t status, const char *body,
		     size_t body_bytes, int64_t now_us)
{
	struct remote_request *q = ctx;
	struct sample *s = q->sample;
	json_t *json = json_loadb(body ? body : "", body_bytes, 0, NULL);

	if (json) {
		s->replied = 1;
		s->code = field(json, "code");
		s->shards_total = field(json, "shards_total");
		s->shards_answered = field(json, "shards_answered");
	}
	json_decref(json);
	run_ended(q->run, s, now_us);
	remote_request_free(q);
}

static void on_lost(void *ctx, int64_t now_us)
{
	struct remote_request *q = ctx;

	http_client_abort(q->call);
	run_ended(q->run, q->sample, now_us);
	remote_request_free(q);
}

static void write_body(struct buf *b, struct remote *state,
		       const struct scenario *s, const struct sample *sample)
{
	uint64_t number = ++state->last_request;

	buf_addf(b, "{\"customer\":\"%s\",\"index\":\"%s\",", s->customer,
		 s->index);
	if (sample->is_lookup)
		buf_addf(b,
			 "\"record\":\"r%" PRIu64 "\",\"idempotent\":false,"
			 "\"request_id\":\"b%" PRIu64 "\"}",
			 number, number);
	else
		buf_addf(b, "\"query\":\"heron\",\"limit\":%d}", HITS_WANTED);
}

void remote_submit(void *ctx, struct run *r, struct sample *s)
{
	struct remote *state = ctx;
	struct bench_setup *st = r->stage;
	struct remote_request *q = util_alloc(1, sizeof(*q));
	struct buf b CLEANUP_BUF = { 0 };
	uint16_t port = st->host_ports[state->next_host++ % st->host_count];

	q->run = r;
	q->sample = s;
	q->next = state->open;
	q->prev_next = &state->open;
	if (q->next)
		q->next->prev_next = &q->next;
	state->open = q;
	write_body(&b, state, r->scenario, s);
	timer_queue_arm(http_client_timers(r->client), &q->lost_timer,
			r->start_us + s->at_us +
				(int64_t)(ANSWER_MS + LOST_AFTER_MS) *
					US_PER_MS,
			on_lost, q);
	q->call = http_client_send(r->client, port, "POST",
				   s->is_lookup ? "/v1/lookup" : "/v1/search",
				   b.data, on_reply, q);
}

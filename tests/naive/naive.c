/*
 * The naive policy of the benchmark: asks one random replica of every shard
 * directly and waits until the deadline; no limits, hedges or retries.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "bench/bench.h"
#include "bench/http_client.h"
#include "bench/setup.h"

struct naive {
	struct rng rng;
	/* IDs that were used last. */
	uint64_t next_sub;
	uint64_t next_request;
	/* List of the queries in flight. */
	struct query *open;
};

/* The call to one shard of a query. */
struct shard_call {
	struct query *query;
	/* NULL once it has ended. */
	struct http_client_call *call;
};

/* One request of the benchmark. */
struct query {
	struct query *next;
	/* Pointer of the list that points to this query. */
	struct query **prev_next;
	struct naive *naive;
	struct run *run;
	struct sample *sample;
	struct timer_entry deadline;
	/* Calls without an answer yet. */
	uint32_t open;
	uint32_t call_count;
	struct shard_call calls[];
};

void *naive_new(uint64_t seed)
{
	struct naive *n = util_alloc(1, sizeof(*n));

	n->rng.state = seed;
	return n;
}

static void query_free(struct query *q)
{
	*q->prev_next = q->next;
	if (q->next)
		q->next->prev_next = q->prev_next;
	free(q);
}

void naive_free(void *naive)
{
	struct naive *n = naive;
	struct query *q;
	struct query *next;

	for (q = n->open; q; q = next) {
		next = q->next;
		timer_queue_cancel(http_client_timers(q->run->client),
				   &q->deadline);
		free(q);
	}
	free(n);
}

static void end_query(struct query *q, int64_t now_us)
{
	struct sample *s = q->sample;

	timer_queue_cancel(http_client_timers(q->run->client), &q->deadline);
	/* Without any answered shard there is no reply to the caller. */
	s->replied = s->shards_answered > 0;
	run_ended(q->run, s, now_us);
	query_free(q);
}

static void on_answer(void *ctx, uint32_t status, const char *body,
		      size_t body_bytes, int64_t now_us)
{
	struct shard_call *call = ctx;
	struct query *q = call->query;

	call->call = NULL;
	if (status == 200)
		q->sample->shards_answered++;
	if (--q->open == 0)
		end_query(q, now_us);
}

static void on_deadline(void *ctx, int64_t now_us)
{
	struct query *q = ctx;
	uint32_t i;

	for (i = 0; i < q->call_count; i++) {
		if (q->calls[i].call)
			http_client_abort(q->calls[i].call);
	}
	end_query(q, now_us);
}

static void send_call(struct query *q, uint32_t i, uint32_t shard)
{
	struct naive *n = q->naive;
	const struct layout *l = q->run->stage->layout;
	const struct shard *layout_shard = &l->shards[shard];
	const struct target *t = &l->targets[layout_shard->replicas[rng_below(
		&n->rng, layout_shard->replica_count)]];
	const char *what = q->sample->is_lookup ? "\"record\":\"r1\","
						  "\"idempotent\":false"
						: "\"query\":\"heron\","
						  "\"limit\":10";
	struct buf b CLEANUP_BUF = { 0 };

	buf_addf(&b,
		 "{\"request_id\":\"n%" PRIu64 "\",\"sub_id\":%" PRIu64
		 ",\"index\":\"%s\",\"shard\":\"%s\",\"snapshot\":\"%s\",%s,"
		 "\"deadline_ms\":%d}",
		 n->next_request, ++n->next_sub, l->index, layout_shard->name,
		 l->snapshot, what, ANSWER_MS);
	q->calls[i].query = q;
	q->calls[i].call = http_client_send(q->run->client, t->port, "POST",
					    q->sample->is_lookup ? "/v1/lookup"
								 : "/v1/search",
					    b.data, on_answer, &q->calls[i]);
}

void naive_submit(void *ctx, struct run *r, struct sample *s)
{
	struct naive *n = ctx;
	uint32_t count = s->is_lookup ? 1 : r->scenario->shards;
	struct query *q =
		util_alloc(1, sizeof(*q) + count * sizeof(struct shard_call));
	uint32_t i;

	q->naive = n;
	q->run = r;
	q->sample = s;
	q->call_count = count;
	q->open = count;
	q->next = n->open;
	q->prev_next = &n->open;
	if (q->next)
		q->next->prev_next = &q->next;
	n->open = q;
	n->next_request++;
	s->shards_total = count;
	for (i = 0; i < count; i++)
		send_call(q, i,
			  s->is_lookup ? rng_below(&n->rng, r->scenario->shards)
				       : i);
	timer_queue_arm(http_client_timers(r->client), &q->deadline,
			r->start_us + s->at_us + (int64_t)ANSWER_MS * US_PER_MS,
			on_deadline, q);
}

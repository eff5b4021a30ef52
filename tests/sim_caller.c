/* Simulated callers: arrivals, repeated lookups, and checks of answers. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_impl.h"

/* How often a caller repeats a failed lookup, each time through any host. */
#define TRIES_MAX 3
/* Lookups that are sent twice at once, and callers that disconnect. */
#define TWICE_PERMILLE 100
#define GONE_PERMILLE 20
/* An answer may come this long after the deadline. */
#define REPLY_SLACK_US (2 * US_PER_MS)

static void submit(struct sim *s, struct sim_attempt *a);

static void count_part(GArray *counts, uint64_t part)
{
	if (part >= counts->len)
		g_array_set_size(counts, (guint)part + 1);
	g_array_index(counts, uint64_t, part)++;
}

static int is_measured(const struct sim *s, const struct sim_attempt *a)
{
	return a->sent_us >= s->o.warm_up_us;
}

/*
 * Checks that the hits are exactly those of the shards that answered, all of
 * one snapshot, and that the other shards are named as missing.
 */
static void check_hits(struct sim_attempt *a, const struct answer *answer)
{
	struct sim *s = a->sim;
	uint32_t expected = answer->shards_answered;
	uint32_t i;

	if (answer->shards_answered + answer->missing_count !=
	    answer->shards_total)
		sim_violate(s, "%s: %u answered and %u missing of %u", a->id,
			    answer->shards_answered, answer->missing_count,
			    answer->shards_total);
	if (answer->is_complete != (answer->missing_count == 0))
		sim_violate(s, "%s: complete contradicts the missing shards",
			    a->id);
	if (answer->hits.count != expected)
		sim_violate(s, "%s: %u hits of %u shards", a->id,
			    answer->hits.count, expected);
	for (i = 0; i < answer->hits.count; i++) {
		const struct hit *h = &answer->hits.items[i];
		uint32_t shard = (uint32_t)h->score - 1;
		char id[2 * NAME_BYTES];
		uint32_t j;

		snprintf(id, sizeof(id), "s%u-%s", shard, answer->snapshot);
		if (strcmp(id, h->id) != 0)
			sim_violate(s, "%s: hit %s in an answer of snapshot %s",
				    a->id, h->id, answer->snapshot);
		snprintf(id, sizeof(id), "s%u", shard);
		for (j = 0; j < answer->missing_count; j++) {
			if (strcmp(answer->missing[j], id) == 0)
				sim_violate(s,
					    "%s: %s has a hit but is named as "
					    "missing",
					    a->id, id);
		}
	}
}

static void measure(struct sim_attempt *a, const struct answer *answer)
{
	struct sim *s = a->sim;
	struct sim_result *r = s->result;
	int64_t elapsed_us = s->now_us - a->sent_us;
	uint32_t shards = a->op == OP_LOOKUP ? 1 : s->o.shards;
	uint64_t is_complete = answer->err.code == ERR_OK &&
			       answer->is_complete;
	uint32_t i;

	g_array_index(r->complete_by_request, uint64_t, a->seq) = is_complete;
	g_array_index(r->shards_by_request, uint64_t, a->seq) =
		answer->err.code == ERR_OK ? answer->shards_answered : 0;
	for (i = 0; i < answer->missing_count; i++) {
		uint32_t shard = (uint32_t)atoi(answer->missing[i] + 1);

		if (sim_host_all_cold(s, a->host, shard))
			g_array_index(r->shards_by_request, uint64_t, a->seq) =
				SIM_ALL_COLD;
	}
	if (is_complete && s->o.part_us)
		count_part(r->complete_by_part,
			   (uint64_t)(a->sent_us / s->o.part_us));
	if (!is_measured(s, a))
		return;
	r->shards_wanted += shards;
	if (answer->err.code != ERR_OK) {
		r->refused[a->customer]++;
		r->refused_code[answer->err.code]++;
		return;
	}
	r->shards_answered += answer->shards_answered;
	if (answer->is_complete)
		r->complete[a->customer]++;
	else
		r->partial[a->customer]++;
	g_array_append_val(r->latency_us[a->customer], elapsed_us);
}

static void repeat(struct sim *s, void *arg)
{
	if (s->stopping)
		free(arg);
	else
		submit(s, arg);
}

/* Sends a lookup again after up to 50 ms, unless TRIES_MAX is reached. */
static void maybe_repeat(struct sim_attempt *a)
{
	struct sim *s = a->sim;
	struct sim_attempt *next;

	if (a->op != OP_LOOKUP || a->tries >= TRIES_MAX)
		return;
	next = util_alloc(1, sizeof(*next));
	next->sim = s;
	next->customer = a->customer;
	next->op = a->op;
	next->idempotent = a->idempotent;
	next->tries = a->tries + 1;
	util_copy_str(next->id, sizeof(next->id), a->id);
	sim_after(s, rng_below(&s->rng, 50 * US_PER_MS), repeat, next);
}

void sim_caller_answered(struct sim_attempt *a, const struct answer *answer)
{
	struct sim *s = a->sim;

	if (a->replies++) {
		sim_violate(s, "%s was answered twice", a->id);
		return;
	}
	if (s->now_us > a->deadline_us + REPLY_SLACK_US)
		sim_violate(s, "%s was answered late", a->id);
	if (answer->err.code == ERR_OK && s->o.policy == SIM_COWSLIPPOINT)
		check_hits(a, answer);
	if (answer->outcome == OUTCOME_NOT_RUN) {
		a->said_not_run = 1;
		if (a->runs)
			sim_violate(s,
				    "%s: answered not_run although a target "
				    "ran it",
				    a->id);
	}
	measure(a, answer);
	if (answer->err.code != ERR_OK && answer->err.code != ERR_CANCELLED)
		maybe_repeat(a);
}

static void on_reply(void *ctx, struct answer *answer)
{
	struct sim_attempt *a = ctx;

	/* The caller of a dead host gets no answer. */
	if (a->sim->hosts[a->host].alive)
		sim_caller_answered(a, answer);
	else
		sim_caller_lost(a);
	answer_free(answer);
}

void sim_caller_lost(struct sim_attempt *a)
{
	a->replies++;
	g_array_index(a->sim->result->shards_by_request, uint64_t, a->seq) =
		SIM_LOST;
	maybe_repeat(a);
}

/* The platform's load balancer prefers hosts that say they are ready. */
static uint32_t pick_host(struct sim *s, struct rng *rng)
{
	uint32_t no = rng_below(rng, s->o.hosts);
	uint32_t i;

	g_assert(s->o.hosts > 0);
	for (i = 0; i < s->o.hosts; i++) {
		if (sim_host_ready(s, (no + i) % s->o.hosts))
			return (no + i) % s->o.hosts;
	}
	while (!s->hosts[no].alive)
		no = (no + 1) % s->o.hosts;
	return no;
}

static void disconnect(struct sim *s, void *arg)
{
	struct sim_attempt *a = arg;

	if (!a->replies)
		sim_host_caller_gone(s, a);
}

static struct caller_request *make_request(struct sim_attempt *a)
{
	struct caller_request *c = util_alloc(1, sizeof(*c));
	struct request *r = util_alloc(1, sizeof(*r));

	c->request = r;
	c->reply = on_reply;
	c->reply_ctx = a;
	c->exchange_id = a->seq + 1;
	c->received_us = a->sent_us;
	r->op = a->op;
	r->is_idempotent = (uint32_t)a->idempotent;
	r->limit = 100;
	r->text = util_strdup(a->id);
	util_copy_str(r->id, sizeof(r->id), a->id);
	snprintf(r->customer, sizeof(r->customer), "c%u", a->customer);
	util_copy_str(r->index, sizeof(r->index), "i");
	return c;
}

static void submit(struct sim *s, struct sim_attempt *a)
{
	struct sim_result *r = s->result;
	uint64_t none = 0;

	g_ptr_array_add(s->attempts, a);
	a->seq = s->next_seq++;
	a->host = pick_host(s, &s->caller_rng);
	a->host_incarnation = s->hosts[a->host].incarnation;
	a->sent_us = s->now_us;
	a->deadline_us = s->now_us + (int64_t)s->o.answer_ms * US_PER_MS;
	if (!a->id[0])
		snprintf(a->id, sizeof(a->id), "r%u", a->seq);
	g_array_append_val(r->complete_by_request, none);
	g_array_append_val(r->shards_by_request, none);
	if (is_measured(s, a))
		r->requests[a->customer]++;
	if (s->o.part_us)
		count_part(r->requests_by_part,
			   (uint64_t)(a->sent_us / s->o.part_us));
	if (s->o.policy != SIM_COWSLIPPOINT) {
		sim_naive_submit(s, a);
		return;
	}
	sim_host_submit(s, a, make_request(a));
	if (sim_has(s, SIM_GONE) && sim_chance(s, GONE_PERMILLE))
		sim_after(s, 3 * US_PER_MS, disconnect, a);
}

static struct sim_attempt *new_attempt(struct sim *s, uint32_t customer)
{
	struct sim_attempt *a = util_alloc(1, sizeof(*a));

	a->sim = s;
	a->customer = customer;
	a->op = OP_SEARCH;
	a->idempotent = 1;
	if (rng_below(&s->caller_rng, 1000) < s->o.lookup_permille) {
		a->op = OP_LOOKUP;
		a->idempotent = 0;
	}
	return a;
}

static int64_t next_gap_us(struct sim *s, uint32_t customer)
{
	double rate = s->o.customers[customer].offered_per_s;

	if (s->o.surge_permille && s->now_us >= s->o.surge_from_us &&
	    s->now_us < s->o.surge_to_us)
		rate = rate * s->o.surge_permille / PERMILLE;
	return 1 +
	       (int64_t)(-log(1 - rng_unit(&s->caller_rng)) * US_PER_S / rate);
}

/* The stream of requests of one customer. */
struct arrivals {
	uint32_t customer;
};

static void arrive(struct sim *s, void *arg)
{
	struct arrivals *arrivals = arg;
	struct sim_attempt *a;

	if (s->now_us >= s->o.duration_us) {
		free(arrivals);
		return;
	}
	a = new_attempt(s, arrivals->customer);
	submit(s, a);
	/*
	 * The caller sends the same lookup again without waiting for an answer.
	 */
	if (a->op == OP_LOOKUP && sim_chance(s, TWICE_PERMILLE))
		maybe_repeat(a);
	sim_after(s, next_gap_us(s, arrivals->customer), arrive, arrivals);
}

void sim_callers_start(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->o.customer_count; i++) {
		struct arrivals *arrivals = util_alloc(1, sizeof(*arrivals));

		arrivals->customer = i;
		sim_after(s, next_gap_us(s, i), arrive, arrivals);
	}
}

void sim_callers_check(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->attempts->len; i++) {
		const struct sim_attempt *a = s->attempts->pdata[i];

		if (a->replies != 1)
			sim_violate(s, "%s has %u answers", a->id, a->replies);
	}
}

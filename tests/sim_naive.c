/*
 * The naive policy: asks one random replica of each shard and waits until the
 * deadline. The oracle asks the replica with the shortest true queue instead.
 */
#include <stdio.h>
#include <string.h>

#include "sim_impl.h"

static uint32_t pick(struct sim *s, uint32_t shard)
{
	uint32_t first = shard * s->o.replicas;
	uint32_t best = first + rng_below(&s->pick_rng, s->o.replicas);
	uint32_t i;

	if (s->o.policy == SIM_NAIVE)
		return best;
	for (i = first; i < first + s->o.replicas; i++) {
		const struct sim_target *t = &s->targets[i];
		const struct sim_target *shortest = &s->targets[best];

		if (t->down)
			continue;
		if (shortest->down ||
		    t->running + t->queue.length <
			    shortest->running + shortest->queue.length)
			best = i;
	}
	return best;
}

/* All shards answered, or the deadline passed: answers the caller. */
static void close_naive(void *ctx, int64_t now_us)
{
	struct sim_attempt *a = ctx;
	struct sim *s = a->sim;
	struct answer answer = { .shards_total = s->o.shards };
	const struct sim_host *h = &s->hosts[a->host];
	uint32_t i;

	if (!h->alive || h->incarnation != a->host_incarnation) {
		sim_caller_lost(a);
		return;
	}

	for (i = 0; i < s->o.shards; i++)
		answer.shards_answered += a->answered_mask >> i & 1;
	answer.is_complete = answer.shards_answered == s->o.shards;
	if (!answer.shards_answered)
		answer.err.code = ERR_INCOMPLETE;
	sim_caller_answered(a, &answer);
}

void sim_naive_submit(struct sim *s, struct sim_attempt *a)
{
	struct subrequest_msg call = { .op = a->op,
				       .deadline_us = a->deadline_us };
	uint32_t i;

	util_copy_str(call.request_id, sizeof(call.request_id), a->id);
	snprintf(call.snapshot, sizeof(call.snapshot), "n%u",
		 s->hosts[a->host].snapshot);
	timer_queue_arm(s->timers, &a->close, a->deadline_us, close_naive, a);
	for (i = 0; i < s->o.shards; i++) {
		uint32_t target = pick(s, i);

		call.sub_id = ++s->next_sub;
		sim_sub_send(s, a->host, a, &call, target);
	}
}

void sim_naive_result(struct sim_sub *sub, const struct subrequest_result *r)
{
	struct sim_attempt *a = sub->attempt;
	struct sim *s = sub->sim;

	/* A crossed answer (its hit is called "crossed") does not count. */
	if (a->replies || r->code != ERR_OK || r->hits.items[0].id[0] == 'c')
		return;
	a->answered_mask |= 1U << sub->shard;
	if (a->answered_mask != (uint32_t)((1ULL << s->o.shards) - 1))
		return;
	timer_queue_cancel(s->timers, &a->close);
	close_naive(a, s->now_us);
}

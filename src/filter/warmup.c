/*
 * Warm-up: the owner of a cold target repeats a caller's search to it within
 * the cold limit, so that the target becomes warm whichever hosts callers
 * reach.
 */
#include <inttypes.h>
#include <stdio.h>

#include "filter/pipeline_internal.h"

/* Cold targets appear by view, notice and answer; all are looked for here. */
#define WARM_PERIOD_US (20 * US_PER_MS)
/* Cold answers are slow; one that takes longer is a failure. */
#define WARM_ANSWER_US (1 * US_PER_S)

/* Until a caller's search is known. */
#define WARM_TEXT "warm-up"

static int is_wanted(const struct target_binding *t, int64_t now_us)
{
	return t->target->is_owner && t->target->phase != TARGET_WARM &&
	       !t->blocked && t->dc_share_permille > 0 &&
	       target_state_is_usable(t->target, now_us, 1);
}

static struct subrequest_msg *make_call(const struct pipeline *p,
					const struct subrequest *s,
					const struct layout *l, int64_t now_us)
{
	struct subrequest_msg *c = util_alloc(1, sizeof(*c));

	c->sub_id = s->id;
	c->op = OP_SEARCH;
	util_copy_str(c->request_id, sizeof(c->request_id), s->request_id);
	util_copy_str(c->index, sizeof(c->index), l->index);
	util_copy_str(c->shard, sizeof(c->shard), l->shards[s->shard_pos].name);
	util_copy_str(c->snapshot, sizeof(c->snapshot), l->snapshot);
	util_copy_str(c->address, sizeof(c->address), s->target->def.address);
	c->port = s->target->def.port;
	c->text = util_strdup(s->index_stats->warmup_text
				      ? s->index_stats->warmup_text
				      : WARM_TEXT);
	c->limit = s->index_stats->warmup_limit;
	c->is_idempotent = 1;
	c->deadline_us = now_us + WARM_ANSWER_US;
	c->connection_limit = target_connections_per_host(&s->target->def);
	return c;
}

static void send_warm_up(struct pipeline *p, struct index_binding *b,
			 struct target_binding *t, int64_t now_us)
{
	struct subrequest *s = util_alloc(1, sizeof(*s));

	s->id = p->next_subrequest_id++;
	s->pipeline = p;
	s->is_warm_up = 1;
	s->shard_pos = t->first_shard;
	s->target = target_state_ref(t->target);
	s->index_stats = b->stats;
	s->queue = b->queues[t->first_shard];
	s->sent_us = now_us;
	snprintf(s->request_id, sizeof(s->request_id), "warm-%.30s-%" PRIu64,
		 p->self, s->id);
	g_hash_table_insert(p->subrequests, &s->id, s);
	target_state_sent(s->target, now_us);
	p->ops.send(p->ops.ctx, make_call(p, s, b->layout, now_us));
}

static void look(void *ctx, int64_t now_us)
{
	struct pipeline *p = ctx;
	int is_left = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < p->binding->view->layout_count; i++) {
		struct index_binding *b = &p->binding->indexes[i];

		for (j = 0; j < b->layout->target_count; j++) {
			struct target_binding *t = &b->targets[j];

			if (is_wanted(t, now_us))
				send_warm_up(p, b, t, now_us);
			is_left |= t->target->is_owner &&
				   t->target->phase != TARGET_WARM;
		}
	}
	if (is_left)
		timer_queue_arm(p->timers, &p->warmup_timer,
				now_us + WARM_PERIOD_US, look, p);
}

void warmup_schedule(struct pipeline *p, int64_t now_us)
{
	if (p->binding && !p->warmup_timer.armed_pos)
		timer_queue_arm(p->timers, &p->warmup_timer,
				now_us + WARM_PERIOD_US, look, p);
}

void warmup_save_search(struct pipeline *p, const struct req *r, int64_t now_us)
{
	struct index_stats *s = r->index->stats;

	if (r->request->op != OP_SEARCH || s->warmup_text)
		return;
	s->warmup_text = util_strdup(r->request->text);
	s->warmup_limit = r->request->limit;
	warmup_schedule(p, now_us);
}

void warmup_send_next(struct pipeline *p, const struct subrequest *s,
		      int64_t now_us)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; p->binding && i < p->binding->view->layout_count; i++) {
		struct index_binding *b = &p->binding->indexes[i];

		for (j = 0; j < b->layout->target_count; j++) {
			if (b->targets[j].target == s->target &&
			    is_wanted(&b->targets[j], now_us))
				send_warm_up(p, b, &b->targets[j], now_us);
		}
	}
}

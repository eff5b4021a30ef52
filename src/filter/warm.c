/*
 * Warm-up: the owner of a cold target repeats a caller's search to it within
 * the cold limit, so that the target becomes warm whichever hosts callers
 * reach.
 */
#include <inttypes.h>
#include <stdio.h>

#include "filter/req.h"

/* Cold targets appear by view, notice and answer; all are looked for here. */
#define WARM_PERIOD_US (20 * US_PER_MS)
/* Cold answers are slow; one that takes longer is a failure. */
#define WARM_ANSWER_US (1 * US_PER_S)

/* Until a caller's search is known. */
#define WARM_TEXT "warm-up"

static int is_wanted(const struct bound_target *t, int64_t now_us)
{
	return t->tgt->is_owner && t->tgt->phase != TARGET_WARM &&
	       !t->blocked && t->dc_share_permille > 0 &&
	       target_state_is_usable(t->tgt, now_us, 1);
}

static struct sub_call *make_call(const struct path *p, const struct sub *s,
				  const struct layout *l, int64_t now_us)
{
	struct sub_call *c = cu_alloc(1, sizeof(*c));

	c->sub_id = s->id;
	c->op = OP_SEARCH;
	cu_copy(c->request_id, sizeof(c->request_id), s->request_id);
	cu_copy(c->index, sizeof(c->index), l->index);
	cu_copy(c->shard, sizeof(c->shard), l->shards[s->shard].name);
	cu_copy(c->snapshot, sizeof(c->snapshot), l->snapshot);
	cu_copy(c->address, sizeof(c->address), s->tgt->def.address);
	c->port = s->tgt->def.port;
	c->text = cu_strdup(s->index->warm_text ? s->index->warm_text
						: WARM_TEXT);
	c->limit = s->index->warm_limit;
	c->idempotent = 1;
	c->deadline_us = now_us + WARM_ANSWER_US;
	c->connection_share = target_connection_share(&s->tgt->def);
	return c;
}

static void send_warm_up(struct path *p, struct bound_index *b,
			 struct bound_target *t, int64_t now_us)
{
	struct sub *s = cu_alloc(1, sizeof(*s));

	s->id = p->next_sub++;
	s->path = p;
	s->is_warm_up = 1;
	s->shard = t->shard;
	s->tgt = target_state_ref(t->tgt);
	s->index = b->stats;
	s->queue = b->queues[t->shard];
	s->sent_us = now_us;
	snprintf(s->request_id, sizeof(s->request_id), "warm-%.30s-%" PRIu64,
		 p->self, s->id);
	g_hash_table_insert(p->subs, &s->id, s);
	target_state_sent(s->tgt, now_us);
	p->ops.send(p->ops.ctx, make_call(p, s, b->layout, now_us));
}

static void look(void *ctx, int64_t now_us)
{
	struct path *p = ctx;
	int is_left = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < p->bound->view->layout_count; i++) {
		struct bound_index *b = &p->bound->indexes[i];

		for (j = 0; j < b->layout->target_count; j++) {
			struct bound_target *t = &b->targets[j];

			if (is_wanted(t, now_us))
				send_warm_up(p, b, t, now_us);
			is_left |= t->tgt->is_owner &&
				   t->tgt->phase != TARGET_WARM;
		}
	}
	if (is_left)
		tmr_arm(p->timers, &p->warm_timer, now_us + WARM_PERIOD_US,
			look, p);
}

void warm_start(struct path *p, int64_t now_us)
{
	if (p->bound && !p->warm_timer.pos)
		tmr_arm(p->timers, &p->warm_timer, now_us + WARM_PERIOD_US,
			look, p);
}

void warm_learn(struct path *p, const struct req *r, int64_t now_us)
{
	struct index_stats *s = r->index->stats;

	if (r->in->op != OP_SEARCH || s->warm_text)
		return;
	s->warm_text = cu_strdup(r->in->text);
	s->warm_limit = r->in->limit;
	warm_start(p, now_us);
}

void warm_result(struct path *p, const struct sub *s, int64_t now_us)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; p->bound && i < p->bound->view->layout_count; i++) {
		struct bound_index *b = &p->bound->indexes[i];

		for (j = 0; j < b->layout->target_count; j++) {
			if (b->targets[j].tgt == s->tgt &&
			    is_wanted(&b->targets[j], now_us))
				send_warm_up(p, b, &b->targets[j], now_us);
		}
	}
}

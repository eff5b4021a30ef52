/*
 * Warm-up: the owner of a cold target repeats a caller's search to it within
 * the cold limit, so that the target becomes warm whichever hosts the callers
 * send to.
 */
#include <inttypes.h>
#include <stdio.h>

#include "filter/pipeline_internal.h"

/*
 * Time between two runs of on_warmup_timer(), which looks for cold targets. A
 * view, a notice or an answer can make a target cold; the timer finds them all.
 */
#define WARMUP_PERIOD_US (20 * US_PER_MS)
/* Cold targets answer slowly; an answer that takes longer is a failure. */
#define WARMUP_TIMEOUT_US (1 * US_PER_S)

/* Search text until a caller has sent a search. */
#define WARMUP_TEXT "warm-up"

static int needs_warmup(const struct target_binding *t, int64_t now_us)
{
	return t->target->is_owner && t->target->phase != TARGET_WARM &&
	       !t->is_blocked && t->dc_share_permille > 0 &&
	       target_state_is_usable(t->target, now_us, 1);
}

static struct subrequest_msg *make_msg(const struct pipeline *p,
				       const struct subrequest *s,
				       const struct layout *l, int64_t now_us)
{
	struct subrequest_msg *msg = util_alloc(1, sizeof(*msg));

	msg->sub_id = s->id;
	msg->op = OP_SEARCH;
	util_copy_str(msg->request_id, sizeof(msg->request_id), s->request_id);
	util_copy_str(msg->index, sizeof(msg->index), l->index);
	util_copy_str(msg->shard, sizeof(msg->shard),
		      l->shards[s->shard_pos].name);
	util_copy_str(msg->snapshot, sizeof(msg->snapshot), l->snapshot);
	util_copy_str(msg->address, sizeof(msg->address),
		      s->target->def.address);
	msg->port = s->target->def.port;
	msg->text = util_strdup(s->index_stats->warmup_text
					? s->index_stats->warmup_text
					: WARMUP_TEXT);
	msg->limit = s->index_stats->warmup_limit;
	msg->is_idempotent = 1;
	msg->deadline_us = now_us + WARMUP_TIMEOUT_US;
	msg->connection_limit = target_connections_per_host(&s->target->def);
	return msg;
}

static void send_warmup(struct pipeline *p, struct index_binding *b,
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
	p->ops.send(p->ops.ctx, make_msg(p, s, b->layout, now_us));
}

static void on_warmup_timer(void *ctx, int64_t now_us)
{
	struct pipeline *p = ctx;
	int is_left = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < p->binding->view->layout_count; i++) {
		struct index_binding *b = &p->binding->indexes[i];

		for (j = 0; j < b->layout->target_count; j++) {
			struct target_binding *t = &b->targets[j];

			if (needs_warmup(t, now_us))
				send_warmup(p, b, t, now_us);
			is_left |= t->target->is_owner &&
				   t->target->phase != TARGET_WARM;
		}
	}
	if (is_left)
		timer_queue_arm(p->timers, &p->warmup_timer,
				now_us + WARMUP_PERIOD_US, on_warmup_timer, p);
}

void warmup_schedule(struct pipeline *p, int64_t now_us)
{
	if (p->binding && !p->warmup_timer.armed_pos)
		timer_queue_arm(p->timers, &p->warmup_timer,
				now_us + WARMUP_PERIOD_US, on_warmup_timer, p);
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
			    needs_warmup(&b->targets[j], now_us))
				send_warmup(p, b, &b->targets[j], now_us);
		}
	}
}

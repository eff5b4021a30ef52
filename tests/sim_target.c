/* Simulated targets: slots, queue, cold start, stragglers and faults. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "sim_impl.h"

/* Service times are the sum of this many exponential parts. */
#define SERVICE_PARTS 4
#define STRAGGLE_FACTOR 20
/* Cold answers take longer until this many were served. */
#define COLD_FACTOR 4
#define COLD_ANSWERS 20
#define FAULT_PERMILLE 30

static uint64_t mix(uint64_t a, uint64_t b)
{
	struct rng r = { a * 0x9e3779b97f4a7c15ULL + b };

	return rng_u64(&r);
}

/* The same for each policy: drawn from the request, the shard and the try. */
static int64_t service_us(const struct sim_sub *sub)
{
	const struct sim *s = sub->sim;
	const struct sim_target *t = &s->targets[sub->target];
	uint64_t key = sub->attempt ? sub->attempt->seq : sub->sub_id;
	struct rng r = { mix(mix(s->o.seed, key), sub->shard * 64 + sub->nth) };
	double sum = 0;
	int64_t us;
	uint32_t i;

	for (i = 0; i < SERVICE_PARTS; i++)
		sum -= log(1 - rng_unit(&r));
	us = (int64_t)(sum * (double)s->o.mean_us / SERVICE_PARTS);
	if (rng_below(&r, 1000) < s->o.straggle_permille &&
	    s->o.policy != SIM_ORACLE)
		us = s->o.mean_us * STRAGGLE_FACTOR;
	if (t->cold && t->served < COLD_ANSWERS)
		us *= COLD_FACTOR;
	return util_max_i64(us, 1);
}

static struct subrequest_result *
make_result(const struct sim_sub *sub, enum err_code code, uint32_t not_run)
{
	const struct sim_target *t = &sub->sim->targets[sub->target];
	struct subrequest_result *r = util_alloc(1, sizeof(*r));
	char id[NAME_BYTES];

	r->sub_id = sub->sub_id;
	r->code = code;
	r->not_run = not_run;
	if (code != ERR_OK)
		return r;
	r->answer_sub_id = sub->sub_id;
	util_copy_str(r->request_id, sizeof(r->request_id), sub->request_id);
	snprintf(r->shard, sizeof(r->shard), "s%u", sub->shard);
	snprintf(r->snapshot, sizeof(r->snapshot), "n%u", sub->snapshot);
	snprintf(r->instance, sizeof(r->instance), "t%u-%u", sub->target,
		 t->life);
	snprintf(id, sizeof(id), "s%u-n%u", sub->shard, sub->snapshot);
	hits_add(&r->hits, id, sub->shard + 1, NULL);
	return r;
}

static void deliver(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;
	struct subrequest_result *r = sub->result;

	sub->result = NULL;
	sim_host_result(sub, r);
}

/* The same answer a second time. */
static void deliver_again(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;

	sim_host_result(sub, make_result(sub, ERR_OK, 0));
}

/* Makes @r an answer to something else. */
static void cross(struct sim_sub *sub, struct subrequest_result *r)
{
	struct sim *s = sub->sim;

	switch (rng_below(&s->rng, 4)) {
	case 0:
		r->answer_sub_id++;
		break;
	case 1:
		util_copy_str(r->request_id, sizeof(r->request_id), "another");
		break;
	case 2:
		util_copy_str(r->snapshot, sizeof(r->snapshot), "n0");
		break;
	default:
		timer_queue_arm(s->timers, &sub->again,
				s->now_us + s->o.net_us * 3, deliver_again,
				sub);
		return;
	}
	hits_free(&r->hits);
	hits_add(&r->hits, "crossed", 99, NULL);
}

static void answer(struct sim_sub *sub, enum err_code code, uint32_t not_run)
{
	struct sim *s = sub->sim;

	sub->state = SUB_ENDED;
	timer_queue_cancel(s->timers, &sub->end);
	timer_queue_cancel(s->timers, &sub->cancel);
	if (s->targets[sub->target].silent)
		return;
	if (sim_has(s, SIM_LOSS) && sim_chance(s, FAULT_PERMILLE))
		return;
	if (code == ERR_OK && sim_has(s, SIM_FAIL) &&
	    sim_chance(s, FAULT_PERMILLE))
		code = ERR_TARGET_STATUS;
	sub->result = make_result(sub, code, not_run);
	if (code == ERR_OK && sim_has(s, SIM_CROSS) &&
	    sim_chance(s, FAULT_PERMILLE))
		cross(sub, sub->result);
	timer_queue_arm(s->timers, &sub->answer, s->now_us + s->o.net_us,
			deliver, sub);
}

static void pump(struct sim *s, uint32_t target);

static void leave_slot(struct sim_sub *sub)
{
	struct sim_target *t = &sub->sim->targets[sub->target];

	t->running--;
	g_ptr_array_remove_fast(t->running_subs, sub);
}

static void served(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;
	struct sim_target *t = &sub->sim->targets[sub->target];

	leave_slot(sub);
	t->served++;
	if (t->served >= COLD_ANSWERS)
		t->cold = 0;
	answer(sub, ERR_OK, 0);
	pump(sub->sim, sub->target);
}

static void count_run(struct sim *s, struct sim_sub *sub)
{
	struct sim_attempt *a = sub->attempt;
	gpointer runs;

	if (!a)
		return;
	a->runs++;
	if (a->said_not_run)
		sim_violate(s, "%s runs after not_run was said", a->id);
	if (a->op != OP_LOOKUP || a->idempotent)
		return;
	runs = g_hash_table_lookup(s->runs, a->id);
	g_hash_table_insert(s->runs, a->id,
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(runs) + 1));
	if (runs)
		sim_violate(s, "lookup %s ran more than once", a->id);
}

static void pump(struct sim *s, uint32_t target)
{
	struct sim_target *t = &s->targets[target];

	while (t->running < s->o.slots && !g_queue_is_empty(&t->queue)) {
		struct sim_sub *sub = g_queue_pop_head(&t->queue);

		if (sub->deadline_us <= s->now_us) {
			answer(sub, ERR_TARGET_TIMEOUT, 1);
			continue;
		}
		t->running++;
		g_ptr_array_add(t->running_subs, sub);
		sub->state = SUB_RUNS;
		count_run(s, sub);
		timer_queue_arm(s->timers, &sub->end,
				s->now_us + service_us(sub), served, sub);
	}
}

void sim_target_arrive(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;
	struct sim *s = sub->sim;
	struct sim_target *t = &s->targets[sub->target];

	if (t->down) {
		answer(sub, ERR_TARGET_CONNECT, 1);
	} else if (sub->snapshot != t->snapshot) {
		answer(sub, ERR_TARGET_SNAPSHOT, 1);
	} else if (s->o.queue_max && t->queue.length >= s->o.queue_max) {
		answer(sub, ERR_TARGET_SHED, 1);
	} else {
		sub->state = SUB_QUEUED;
		g_queue_push_tail(&t->queue, sub);
		pump(s, sub->target);
	}
}

void sim_target_cancel(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;
	struct sim *s = sub->sim;

	if (sub->state == SUB_QUEUED) {
		g_queue_remove(&s->targets[sub->target].queue, sub);
		answer(sub, ERR_CANCELLED, 1);
	} else if (sub->state == SUB_RUNS) {
		leave_slot(sub);
		answer(sub, ERR_CANCELLED, 0);
		pump(s, sub->target);
	}
}

void sim_target_break(struct sim *s, uint32_t target)
{
	struct sim_target *t = &s->targets[target];
	struct sim_sub *sub;

	while ((sub = g_queue_pop_head(&t->queue)) != NULL)
		answer(sub, ERR_TARGET_CLOSED, 0);
	while (t->running_subs->len > 0) {
		sub = t->running_subs->pdata[0];
		leave_slot(sub);
		answer(sub, ERR_TARGET_CLOSED, 0);
	}
}

void sim_target_restart(struct sim *s, uint32_t target)
{
	struct sim_target *t = &s->targets[target];

	sim_target_break(s, target);
	t->life++;
	t->cold = 1;
	t->served = 0;
	t->good = 0;
}

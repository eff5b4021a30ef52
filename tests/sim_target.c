/* Simulated targets: slots, queue, cold start, stragglers and faults. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "sim_impl.h"

/* A service time is the sum of this many exponentially distributed parts. */
#define SERVICE_PARTS 4
/* Service time of a straggler, as a multiple of the mean. */
#define STRAGGLE_FACTOR 20
/* A cold target takes this many times as long until it has served so many. */
#define COLD_FACTOR 4
#define COLD_ANSWERS 20
/* Answers hit by each of SIM_FAIL, SIM_LOSS and SIM_CROSS. */
#define FAULT_PERMILLE 30

static uint64_t hash_pair(uint64_t a, uint64_t b)
{
	struct rng r = { a * 0x9e3779b97f4a7c15ULL + b };

	return rng_u64(&r);
}

/*
 * Drawn from the request, the shard and the number of the sub-request, so that
 * it is the same for each policy.
 */
static int64_t service_us(const struct sim_sub *sub)
{
	const struct sim *s = sub->sim;
	const struct sim_target *t = &s->targets[sub->target];
	uint64_t key = sub->attempt ? sub->attempt->seq : sub->sub_id;
	struct rng r = { hash_pair(hash_pair(s->o.seed, key),
				   sub->shard * 64 + sub->nth) };
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
		 t->incarnation);
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

/* Sends the same answer a second time. */
static void deliver_again(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;

	sim_host_result(sub, make_result(sub, ERR_OK, 0));
}

/* Makes @r an answer to something else, or has it sent twice. */
static void cross_answer(struct sim_sub *sub, struct subrequest_result *r)
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

static void send_answer(struct sim_sub *sub, enum err_code code,
			uint32_t not_run)
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
		cross_answer(sub, sub->result);
	timer_queue_arm(s->timers, &sub->answer, s->now_us + s->o.net_us,
			deliver, sub);
}

static void start_queued(struct sim *s, uint32_t target);

static void leave_slot(struct sim_sub *sub)
{
	struct sim_target *t = &sub->sim->targets[sub->target];

	t->running--;
	g_ptr_array_remove_fast(t->running_subs, sub);
}

/* The service time is over. */
static void on_served(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;
	struct sim_target *t = &sub->sim->targets[sub->target];

	leave_slot(sub);
	t->served++;
	if (t->served >= COLD_ANSWERS)
		t->cold = 0;
	send_answer(sub, ERR_OK, 0);
	start_queued(sub->sim, sub->target);
}

/*
 * Called when a target begins to run @sub. Reports a violation if the caller
 * was already answered not_run, or if a lookup that is not idempotent has run
 * before, on any target (counted by request ID).
 */
static void count_run(struct sim *s, struct sim_sub *sub)
{
	struct sim_attempt *a = sub->attempt;
	gpointer runs;

	if (!a)
		return;
	a->runs++;
	if (a->said_not_run)
		sim_violate(s, "%s runs although it was answered not_run",
			    a->id);
	if (a->op != OP_LOOKUP || a->idempotent)
		return;
	runs = g_hash_table_lookup(s->runs, a->id);
	g_hash_table_insert(s->runs, a->id,
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(runs) + 1));
	if (runs)
		sim_violate(s, "lookup %s ran more than once", a->id);
}

static void start_queued(struct sim *s, uint32_t target)
{
	struct sim_target *t = &s->targets[target];

	while (t->running < s->o.slots && !g_queue_is_empty(&t->queue)) {
		struct sim_sub *sub = g_queue_pop_head(&t->queue);

		if (sub->deadline_us <= s->now_us) {
			send_answer(sub, ERR_TARGET_TIMEOUT, 1);
			continue;
		}
		t->running++;
		g_ptr_array_add(t->running_subs, sub);
		sub->state = SUB_RUNS;
		count_run(s, sub);
		timer_queue_arm(s->timers, &sub->end,
				s->now_us + service_us(sub), on_served, sub);
	}
}

void sim_target_arrive(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;
	struct sim *s = sub->sim;
	struct sim_target *t = &s->targets[sub->target];

	if (t->down) {
		send_answer(sub, ERR_TARGET_CONNECT, 1);
	} else if (sub->snapshot != t->snapshot) {
		send_answer(sub, ERR_TARGET_SNAPSHOT, 1);
	} else if (s->o.queue_max && t->queue.length >= s->o.queue_max) {
		send_answer(sub, ERR_TARGET_SHED, 1);
	} else {
		sub->state = SUB_QUEUED;
		g_queue_push_tail(&t->queue, sub);
		start_queued(s, sub->target);
	}
}

void sim_target_cancel(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;
	struct sim *s = sub->sim;

	if (sub->state == SUB_QUEUED) {
		g_queue_remove(&s->targets[sub->target].queue, sub);
		send_answer(sub, ERR_CANCELLED, 1);
	} else if (sub->state == SUB_RUNS) {
		leave_slot(sub);
		send_answer(sub, ERR_CANCELLED, 0);
		start_queued(s, sub->target);
	}
}

void sim_target_break(struct sim *s, uint32_t target)
{
	struct sim_target *t = &s->targets[target];
	struct sim_sub *sub;

	while ((sub = g_queue_pop_head(&t->queue)) != NULL)
		send_answer(sub, ERR_TARGET_CLOSED, 0);
	while (t->running_subs->len > 0) {
		sub = t->running_subs->pdata[0];
		leave_slot(sub);
		if (s->o.broken == SIM_BROKEN_SENT)
			send_answer(sub, ERR_TARGET_CONNECT, 1);
		else
			send_answer(sub, ERR_TARGET_CLOSED, 0);
	}
}

void sim_target_restart(struct sim *s, uint32_t target)
{
	struct sim_target *t = &s->targets[target];

	sim_target_break(s, target);
	t->incarnation++;
	t->cold = 1;
	t->served = 0;
	t->good = 0;
}

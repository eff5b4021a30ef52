#include "target.h"

#include <stdio.h>
#include <string.h>

static void list_add(struct job_list *l, struct job *j)
{
	j->prev = l->last;
	j->next = NULL;
	if (l->last)
		l->last->next = j;
	else
		l->first = j;
	l->last = j;
	l->count++;
}

static void list_remove(struct job_list *l, struct job *j)
{
	if (j->prev)
		j->prev->next = j->next;
	else
		l->first = j->next;
	if (j->next)
		j->next->prev = j->prev;
	else
		l->last = j->prev;
	l->count--;
}

void job_free(struct job *j)
{
	if (!j)
		return;
	free(j->text);
	free(j);
}

const char *job_route(const struct job *j)
{
	return j->op == OP_SEARCH ? "search" : "lookup";
}

uint32_t target_load(const struct target *t)
{
	return t->running.count + t->queued.count;
}

int target_fires(struct target *t, enum target_fault id, const char *route,
		 int64_t now_us)
{
	return fault_fires(&t->faults[id], &t->rng, route, target_load(t),
			   now_us);
}

static uint32_t slots_now(const struct target *t)
{
	return t->is_cold ? t->spec.cold_slots : t->spec.slots;
}

static int64_t service_time_us(struct target *t, const struct job *j,
			       int64_t now_us)
{
	int64_t base_us = t->spec.service_us;
	int64_t spread_us = base_us * t->spec.spread_permille / PERMILLE;
	int64_t us = base_us - spread_us +
		     rng_below(&t->rng, (uint32_t)(2 * spread_us + 1));

	if (target_fires(t, TARGET_FAULT_STRAGGLE, job_route(j), now_us))
		us *= t->faults[TARGET_FAULT_STRAGGLE].factor;
	if (target_fires(t, TARGET_FAULT_SLOW, job_route(j), now_us))
		us *= t->faults[TARGET_FAULT_SLOW].factor;
	if (t->is_cold)
		us *= t->spec.cold_factor;
	return us;
}

/* Counts the execution of a non-idempotent request. */
static void count_once(struct target *t, const struct job *j)
{
	uintptr_t n;

	if (j->idempotent)
		return;
	n = (uintptr_t)g_hash_table_lookup(t->once, j->request_id) + 1;
	g_hash_table_insert(t->once, g_strdup(j->request_id), (void *)n);
	t->counters.once_executed++;
	if (n > 1)
		t->counters.once_repeated++;
}

static void job_due(void *ctx, int64_t now_us);

static void arm_running(struct job *j)
{
	struct target *t = j->target;
	int64_t at_us = util_min_i64(j->finish_us, j->deadline_us);

	if (t->faults[TARGET_FAULT_HOLD].on)
		at_us = j->deadline_us;
	timer_queue_arm(t->timers, &j->timer, at_us, job_due, j);
}

static void start_job(struct target *t, struct job *j, int64_t now_us)
{
	struct target_counters *counters = &t->counters;

	counters->executed++;
	count_once(t, j);
	/*
	 * Faults count the other requests only, so they come before list_add().
	 */
	j->status = 0;
	if (target_fires(t, TARGET_FAULT_FAIL, job_route(j), now_us))
		j->status = t->faults[TARGET_FAULT_FAIL].status;
	j->finish_us = now_us + service_time_us(t, j, now_us);
	j->state = JOB_RUNNING;
	list_add(&t->running, j);
	arm_running(j);
}

/* Ends a request whose deadline passed before it could start. */
static void expire_queued(struct target *t, struct job *j, int64_t now_us)
{
	timer_queue_cancel(t->timers, &j->timer);
	j->state = JOB_ENDED;
	t->counters.expired++;
	t->done(t->done_ctx, j, JOB_EXPIRED_QUEUED, now_us);
}

static void fill_slots(struct target *t, int64_t now_us)
{
	while (t->queued.first && t->running.count < slots_now(t)) {
		struct job *j = t->queued.first;

		list_remove(&t->queued, j);
		if (now_us >= j->deadline_us)
			expire_queued(t, j, now_us);
		else
			start_job(t, j, now_us);
	}
}

static void finish(struct target *t, struct job *j, enum job_end end,
		   int64_t now_us)
{
	timer_queue_cancel(t->timers, &j->timer);
	if (j->state == JOB_RUNNING)
		list_remove(&t->running, j);
	else if (j->state == JOB_QUEUED)
		list_remove(&t->queued, j);
	j->state = JOB_ENDED;
	if ((end == JOB_DONE || end == JOB_FAILED) && t->is_cold &&
	    --t->cold_left == 0)
		t->is_cold = 0;
	/* Slots are filled before done(), which may submit further requests. */
	fill_slots(t, now_us);
	t->done(t->done_ctx, j, end, now_us);
}

static void job_due(void *ctx, int64_t now_us)
{
	struct job *j = ctx;
	struct target *t = j->target;

	if (j->state == JOB_QUEUED || now_us >= j->deadline_us) {
		t->counters.expired++;
		finish(t, j,
		       j->state == JOB_QUEUED ? JOB_EXPIRED_QUEUED
					      : JOB_EXPIRED_RUNNING,
		       now_us);
	} else if (j->status) {
		t->counters.failed++;
		finish(t, j, JOB_FAILED, now_us);
	} else {
		finish(t, j, JOB_DONE, now_us);
	}
}

static void count_received(struct target *t)
{
	struct target_counters *counters = &t->counters;
	/* Includes the request that is being received. */
	uint64_t load = target_load(t) + 1;

	counters->received++;
	if (load > counters->peak_concurrent)
		counters->peak_concurrent = load;
	if (!t->is_cold)
		return;
	counters->cold_received++;
	if (load > counters->cold_peak)
		counters->cold_peak = load;
}

/* How @j ends if it is refused before it has any effect; JOB_DONE: accepted. */
static enum job_end refusal(struct target *t, const struct job *j,
			    int64_t now_us)
{
	if (target_fires(t, TARGET_FAULT_DRAIN, job_route(j), now_us)) {
		t->counters.drained++;
		return JOB_DRAINING;
	}
	if (t->spec.snapshot[0] && strcmp(t->spec.snapshot, j->snapshot) != 0) {
		t->counters.snapshot_gone++;
		return JOB_SNAPSHOT_GONE;
	}
	if (t->queued.count >= t->spec.queue &&
	    t->running.count >= slots_now(t)) {
		t->counters.shed++;
		return JOB_SHED;
	}
	if (target_fires(t, TARGET_FAULT_SHED, job_route(j), now_us)) {
		t->counters.shed++;
		return JOB_SHED;
	}
	return JOB_DONE;
}

void target_submit(struct target *t, struct job *j, int64_t now_us)
{
	enum job_end end;

	j->target = t;
	count_received(t);
	end = refusal(t, j, now_us);
	if (end != JOB_DONE) {
		finish(t, j, end, now_us);
		return;
	}
	if (t->running.count < slots_now(t)) {
		start_job(t, j, now_us);
		return;
	}
	j->state = JOB_QUEUED;
	list_add(&t->queued, j);
	timer_queue_arm(t->timers, &j->timer, j->deadline_us, job_due, j);
}

static struct job *find_job(const struct job_list *l, const char *request_id,
			    uint64_t sub_id)
{
	struct job *j;

	for (j = l->first; j; j = j->next) {
		if (j->sub_id == sub_id &&
		    strcmp(j->request_id, request_id) == 0)
			return j;
	}
	return NULL;
}

void target_cancel(struct target *t, const char *request_id, uint64_t sub_id,
		   int64_t now_us)
{
	struct job *j = find_job(&t->queued, request_id, sub_id);
	enum job_end end = JOB_CANCELLED_QUEUED;

	if (!j) {
		j = find_job(&t->running, request_id, sub_id);
		end = JOB_CANCELLED_RUNNING;
	}
	if (!j)
		return;
	t->counters.cancelled++;
	finish(t, j, end, now_us);
}

static void forget_jobs(struct target *t, struct job_list *l)
{
	struct job *j = l->first;

	while (j) {
		struct job *next = j->next;

		timer_queue_cancel(t->timers, &j->timer);
		job_free(j);
		j = next;
	}
	*l = (struct job_list){ 0 };
}

void target_renew(struct target *t, int cold)
{
	t->starts++;
	t->is_cold = cold && t->spec.cold_requests > 0;
	t->cold_left = t->spec.cold_requests;
	if (t->is_cold)
		t->counters.cold_starts++;
	snprintf(t->instance, sizeof(t->instance), "%s-%s-%u", t->spec.id,
		 t->run, t->starts);
}

void target_restart(struct target *t, int cold)
{
	forget_jobs(t, &t->running);
	forget_jobs(t, &t->queued);
	target_renew(t, cold);
}

void target_release(struct target *t, int64_t now_us)
{
	struct job *j;

	for (j = t->running.first; j; j = j->next)
		arm_running(j);
}

void target_init(struct target *t, const struct target_spec *spec,
		 const char *run, struct timer_queue *timers, GHashTable *once,
		 job_done_fn *done, void *done_ctx)
{
	t->spec = *spec;
	t->timers = timers;
	t->once = once;
	t->rng.state = spec->seed;
	t->done = done;
	t->done_ctx = done_ctx;
	util_copy_str(t->run, sizeof(t->run), run);
	target_restart(t, (int)spec->cold);
}

void target_clear(struct target *t)
{
	forget_jobs(t, &t->running);
	forget_jobs(t, &t->queued);
}

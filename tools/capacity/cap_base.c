/* CPU time of timers and rings. */
#include <apr_thread_proc.h>
#include <stdlib.h>

#include "base/util.h"
#include "base/ring.h"
#include "base/rng.h"
#include "base/timer_queue.h"
#include "cap.h"

#define RING_CAPACITY 4096
#define TAKE_MAX 64

static void ignore_timer(void *ctx, int64_t now_us)
{
}

/* Arms timers, cancels half of them and runs the rest; returns the CPU time. */
static double run_timers(void *ctx)
{
	uint32_t count = *(uint32_t *)ctx;
	struct timer_entry *entries = util_alloc(count, sizeof(*entries));
	struct timer_queue *t = timer_queue_new();
	struct rng rng = { 1 };
	double cpu_us = cap_cpu_us();
	uint32_t i;

	for (i = 0; i < count; i++)
		timer_queue_arm(t, &entries[i], rng_below(&rng, US_PER_S),
				ignore_timer, NULL);
	for (i = 0; i < count; i += 2)
		timer_queue_cancel(t, &entries[i]);
	timer_queue_run(t, US_PER_S);
	cpu_us = cap_cpu_us() - cpu_us;
	timer_queue_free(t);
	free(entries);
	return cpu_us;
}

/* Work of the pushing thread. */
struct pushes {
	struct ring *ring;
	uint32_t count;
};

static void *APR_THREAD_FUNC push_all(apr_thread_t *thread, void *ctx)
{
	struct pushes *p = ctx;
	struct msg m = { 0 };
	uint32_t i = 0;

	while (i < p->count) {
		if (ring_push(p->ring, &m) == ERR_OK)
			i++;
		else
			apr_thread_yield();
	}
	return NULL;
}

/*
 * Another thread pushes messages and this one takes them; returns the CPU time
 * of both.
 */
static double push_and_take(void *ctx)
{
	struct err err = { 0 };
	struct pushes p = { ring_new(RING_CAPACITY, NULL, NULL, &err),
			    *(uint32_t *)ctx };
	struct msg out[TAKE_MAX];
	apr_pool_t *pool = NULL;
	apr_thread_t *thread = NULL;
	apr_status_t status;
	double cpu_us = cap_cpu_us();
	uint32_t taken = 0;

	apr_pool_create(&pool, NULL);
	if (apr_thread_create(&thread, NULL, push_all, &p, pool) != APR_SUCCESS)
		abort();
	while (taken < p.count)
		taken += ring_wait(p.ring, out, TAKE_MAX, -1);
	apr_thread_join(&status, thread);
	cpu_us = cap_cpu_us() - cpu_us;
	apr_pool_destroy(pool);
	ring_free(p.ring);
	return cpu_us;
}

void cap_base(struct cap *c)
{
	static const uint32_t timer_sizes[] = { 10000, 50000, 100000, 200000 };
	static const uint32_t ring_sizes[] = { 20000, 50000, 100000, 200000 };
	struct cap_series *s = cap_start(c, "timer", "timer", "us");
	uint32_t i;

	for (i = 0; i < countof(timer_sizes); i++) {
		uint32_t count = timer_sizes[i];

		cap_point(s, count, cap_median(run_timers, &count));
	}
	cap_fit(s);
	s = cap_start(c, "ring between threads", "message", "us");
	for (i = 0; i < countof(ring_sizes); i++) {
		uint32_t count = ring_sizes[i];

		cap_point(s, count, cap_median(push_and_take, &count));
	}
	cap_fit(s);
}

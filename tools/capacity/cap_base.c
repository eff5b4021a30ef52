/* Timers and rings. */
#include <apr_thread_proc.h>
#include <stdlib.h>

#include "base/util.h"
#include "base/ring.h"
#include "base/rng.h"
#include "base/timer_queue.h"
#include "cap.h"

#define RING_CAPACITY 4096
#define TAKE_MAX 64

static void ignore_due(void *ctx, int64_t now_us)
{
}

/* Arms @count timers, cancels half and runs the rest. */
static double timers(void *ctx)
{
	uint32_t count = *(uint32_t *)ctx;
	struct timer_entry *subs = util_alloc(count, sizeof(*subs));
	struct timer_queue *t = timer_queue_new();
	struct rng rng = { 1 };
	double start_us = cap_cpu_us();
	uint32_t i;

	for (i = 0; i < count; i++)
		timer_queue_arm(t, &subs[i], rng_below(&rng, US_PER_S),
				ignore_due, NULL);
	for (i = 0; i < count; i += 2)
		timer_queue_cancel(t, &subs[i]);
	timer_queue_run(t, US_PER_S);
	start_us = cap_cpu_us() - start_us;
	timer_queue_free(t);
	free(subs);
	return start_us;
}

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

/* One thread pushes, this one takes. */
static double ring(void *ctx)
{
	struct err err = { 0 };
	struct pushes p = { ring_new(RING_CAPACITY, NULL, NULL, &err),
			    *(uint32_t *)ctx };
	struct msg out[TAKE_MAX];
	apr_pool_t *pool = NULL;
	apr_thread_t *thread = NULL;
	apr_status_t status;
	double start_us = cap_cpu_us();
	uint32_t taken = 0;

	apr_pool_create(&pool, NULL);
	if (apr_thread_create(&thread, NULL, push_all, &p, pool) != APR_SUCCESS)
		abort();
	while (taken < p.count)
		taken += ring_wait(p.ring, out, TAKE_MAX, -1);
	apr_thread_join(&status, thread);
	start_us = cap_cpu_us() - start_us;
	apr_pool_destroy(pool);
	ring_free(p.ring);
	return start_us;
}

void cap_base(struct cap *c)
{
	static const uint32_t timer_sizes[] = { 10000, 50000, 100000, 200000 };
	static const uint32_t ring_sizes[] = { 20000, 50000, 100000, 200000 };
	struct cap_series *s = cap_start(c, "timer", "timer", "us");
	uint32_t i;

	for (i = 0; i < countof(timer_sizes); i++) {
		uint32_t count = timer_sizes[i];

		cap_point(s, count, cap_median(timers, &count));
	}
	cap_fit(s);
	s = cap_start(c, "ring between threads", "message", "us");
	for (i = 0; i < countof(ring_sizes); i++) {
		uint32_t count = ring_sizes[i];

		cap_point(s, count, cap_median(ring, &count));
	}
	cap_fit(s);
}

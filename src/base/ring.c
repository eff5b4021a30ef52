#include "base/ring.h"

#include <pthread.h>
#include <time.h>

#define RING_CAPACITY_MAX 1048576
#define NS_PER_US 1000
#define NS_PER_S 1000000000

struct ring {
	/* Protects the members from head on. */
	pthread_mutex_t lock;
	/*
	 * Signalled by a push onto an empty ring and by ring_close(). It waits
	 * by the monotonic clock; a condition variable of APR waits by the time
	 * of day, which may jump, and would hold up the timers of its duty.
	 */
	pthread_cond_t ready;
	ring_wake_fn *wake;
	void *wake_ctx;
	uint32_t capacity;
	/* Position of the oldest message in slots. */
	uint32_t head;
	uint32_t count;
	int closed;
	struct msg slots[];
};

struct ring *ring_new(uint32_t capacity, ring_wake_fn *wake, void *ctx,
		      struct err *err)
{
	pthread_condattr_t attr;
	struct ring *r;

	if (capacity < 1 || capacity > RING_CAPACITY_MAX) {
		err_set(err, ERR_SETTING, "ring capacity %u, accepted 1 to %u",
			capacity, RING_CAPACITY_MAX);
		return NULL;
	}
	r = util_alloc(1, sizeof(*r) + capacity * sizeof(r->slots[0]));
	r->capacity = capacity;
	r->wake = wake;
	r->wake_ctx = ctx;
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->ready, &attr);
	pthread_condattr_destroy(&attr);
	return r;
}

void ring_free(struct ring *r)
{
	struct msg m;

	if (!r)
		return;
	while (ring_take(r, &m, 1)) {
		if (m.drop)
			m.drop(m.body);
	}
	pthread_cond_destroy(&r->ready);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

enum err_code ring_push(struct ring *r, const struct msg *m)
{
	enum err_code code = ERR_OK;
	int was_empty = 0;

	pthread_mutex_lock(&r->lock);
	if (r->closed) {
		code = ERR_STOPPING;
	} else if (r->count == r->capacity) {
		code = ERR_RING_FULL;
	} else {
		was_empty = r->count == 0;
		r->slots[(r->head + r->count) % r->capacity] = *m;
		r->count++;
		if (was_empty)
			pthread_cond_signal(&r->ready);
	}
	pthread_mutex_unlock(&r->lock);
	if (was_empty && r->wake)
		r->wake(r->wake_ctx);
	return code;
}

static uint32_t take_locked(struct ring *r, struct msg *out, uint32_t max)
{
	uint32_t n = 0;

	while (n < max && r->count > 0) {
		out[n++] = r->slots[r->head];
		r->head = (r->head + 1) % r->capacity;
		r->count--;
	}
	return n;
}

uint32_t ring_take(struct ring *r, struct msg *out, uint32_t max)
{
	uint32_t n;

	pthread_mutex_lock(&r->lock);
	n = take_locked(r, out, max);
	pthread_mutex_unlock(&r->lock);
	return n;
}

static void timed_wait(struct ring *r, int64_t wait_us)
{
	struct timespec until;
	int64_t until_ns;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until_ns = until.tv_nsec + wait_us % US_PER_S * NS_PER_US;
	until.tv_sec += wait_us / US_PER_S + until_ns / NS_PER_S;
	until.tv_nsec = until_ns % NS_PER_S;
	pthread_cond_timedwait(&r->ready, &r->lock, &until);
}

uint32_t ring_wait(struct ring *r, struct msg *out, uint32_t max,
		   int64_t wait_us)
{
	uint32_t n;

	pthread_mutex_lock(&r->lock);
	while (r->count == 0 && !r->closed && wait_us != 0) {
		if (wait_us < 0) {
			pthread_cond_wait(&r->ready, &r->lock);
			continue;
		}
		/* One timed wait is enough: the caller rechecks its timers. */
		timed_wait(r, wait_us);
		break;
	}
	n = take_locked(r, out, max);
	pthread_mutex_unlock(&r->lock);
	return n;
}

void ring_close(struct ring *r)
{
	pthread_mutex_lock(&r->lock);
	r->closed = 1;
	pthread_cond_signal(&r->ready);
	pthread_mutex_unlock(&r->lock);
	if (r->wake)
		r->wake(r->wake_ctx);
}

int ring_closed_and_empty(struct ring *r)
{
	int closed;

	pthread_mutex_lock(&r->lock);
	closed = r->closed && r->count == 0;
	pthread_mutex_unlock(&r->lock);
	return closed;
}

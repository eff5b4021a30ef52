#include "base/ring.h"

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>

#define RING_CAPACITY_MAX 1048576

struct ring {
	apr_pool_t *pool;
	/* Protects the members from head on. */
	apr_thread_mutex_t *lock;
	/* Signalled by a push onto an empty ring and by ring_close(). */
	apr_thread_cond_t *ready;
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
	if (apr_pool_create(&r->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&r->lock, APR_THREAD_MUTEX_DEFAULT,
				    r->pool) != APR_SUCCESS ||
	    apr_thread_cond_create(&r->ready, r->pool) != APR_SUCCESS) {
		err_set(err, ERR_INTERNAL,
			"cannot create a ring's mutex or condition variable");
		free(r);
		return NULL;
	}
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
	apr_pool_destroy(r->pool);
	free(r);
}

enum err_code ring_push(struct ring *r, const struct msg *m)
{
	enum err_code code = ERR_OK;
	int was_empty = 0;

	apr_thread_mutex_lock(r->lock);
	if (r->closed) {
		code = ERR_STOPPING;
	} else if (r->count == r->capacity) {
		code = ERR_RING_FULL;
	} else {
		was_empty = r->count == 0;
		r->slots[(r->head + r->count) % r->capacity] = *m;
		r->count++;
		if (was_empty)
			apr_thread_cond_signal(r->ready);
	}
	apr_thread_mutex_unlock(r->lock);
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

	apr_thread_mutex_lock(r->lock);
	n = take_locked(r, out, max);
	apr_thread_mutex_unlock(r->lock);
	return n;
}

uint32_t ring_wait(struct ring *r, struct msg *out, uint32_t max,
		   int64_t wait_us)
{
	uint32_t n;

	apr_thread_mutex_lock(r->lock);
	while (r->count == 0 && !r->closed && wait_us != 0) {
		if (wait_us < 0) {
			apr_thread_cond_wait(r->ready, r->lock);
			continue;
		}
		/* One timed wait is enough: the caller rechecks its timers. */
		apr_thread_cond_timedwait(r->ready, r->lock, wait_us);
		break;
	}
	n = take_locked(r, out, max);
	apr_thread_mutex_unlock(r->lock);
	return n;
}

void ring_close(struct ring *r)
{
	apr_thread_mutex_lock(r->lock);
	r->closed = 1;
	apr_thread_cond_signal(r->ready);
	apr_thread_mutex_unlock(r->lock);
	if (r->wake)
		r->wake(r->wake_ctx);
}

int ring_closed_and_empty(struct ring *r)
{
	int closed;

	apr_thread_mutex_lock(r->lock);
	closed = r->closed && r->count == 0;
	apr_thread_mutex_unlock(r->lock);
	return closed;
}

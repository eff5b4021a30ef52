#include "duty/duty.h"

#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <pthread.h>

#include "base/clock.h"
#include "base/util.h"

/* Messages handled before due timers are run again. */
#define DUTY_BATCH 64

struct duty {
	char name[16];
	struct ring *ring;
	struct timer_queue *timers;
	apr_pool_t *pool;
	apr_thread_t *thread;
	/* Message handler of the standard loop. */
	duty_message_fn *on_message;
	/* The duty's own loop; NULL: the standard loop runs. */
	duty_run_fn *run;
	void *ctx;
};

struct duty *duty_new(const char *name, uint32_t capacity, ring_wake_fn *wake,
		      void *wake_ctx, struct err *err)
{
	struct duty *d = util_alloc(1, sizeof(*d));

	util_copy_str(d->name, sizeof(d->name), name);
	d->ring = ring_new(capacity, wake, wake_ctx, err);
	if (!d->ring) {
		free(d);
		return NULL;
	}
	d->timers = timer_queue_new();
	return d;
}

void duty_free(struct duty *d)
{
	if (!d)
		return;
	ring_free(d->ring);
	timer_queue_free(d->timers);
	if (d->pool)
		apr_pool_destroy(d->pool);
	free(d);
}

struct ring *duty_ring(struct duty *d)
{
	return d->ring;
}

struct timer_queue *duty_timers(struct duty *d)
{
	return d->timers;
}

const char *duty_name(const struct duty *d)
{
	return d->name;
}

int duty_stopping(struct duty *d)
{
	return ring_closed_and_empty(d->ring);
}

static int64_t next_timer_wait_us(struct duty *d)
{
	int64_t next_us = timer_queue_next_us(d->timers);

	if (next_us < 0)
		return -1;
	return util_max_i64(0, next_us - clock_now_us());
}

static void handle_messages(duty_message_fn *fn, void *ctx, struct msg *m,
			    uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		fn(ctx, clock_now_us(), &m[i]);
}

int64_t duty_poll(struct duty *d, duty_message_fn *fn, void *ctx)
{
	struct msg batch[DUTY_BATCH];
	uint32_t n;

	do {
		n = ring_take(d->ring, batch, DUTY_BATCH);
		handle_messages(fn, ctx, batch, n);
		timer_queue_run(d->timers, clock_now_us());
	} while (n == DUTY_BATCH);
	return next_timer_wait_us(d);
}

void duty_poll_loop(struct duty *d, struct poller *p, duty_message_fn *fn,
		    void *ctx)
{
	while (!duty_stopping(d)) {
		int64_t wait_us = duty_poll(d, fn, ctx);

		if (!duty_stopping(d))
			poller_wait(p, wait_us);
	}
}

static void message_loop(struct duty *d)
{
	struct msg batch[DUTY_BATCH];

	while (!ring_closed_and_empty(d->ring)) {
		uint32_t n = ring_wait(d->ring, batch, DUTY_BATCH,
				       next_timer_wait_us(d));

		handle_messages(d->on_message, d->ctx, batch, n);
		timer_queue_run(d->timers, clock_now_us());
	}
}

static void *APR_THREAD_FUNC thread_main(apr_thread_t *thread, void *arg)
{
	struct duty *d = arg;

	(void)thread;
	pthread_setname_np(pthread_self(), d->name);
	if (d->run)
		d->run(d->ctx, d);
	else
		message_loop(d);
	return NULL;
}

static enum err_code start_thread(struct duty *d, struct err *err)
{
	if (apr_pool_create(&d->pool, NULL) != APR_SUCCESS ||
	    apr_thread_create(&d->thread, NULL, thread_main, d, d->pool) !=
		    APR_SUCCESS)
		return err_set(err, ERR_INTERNAL, "cannot start thread %s",
			       d->name);
	return ERR_OK;
}

enum err_code duty_start(struct duty *d, duty_message_fn *fn, void *ctx,
			 struct err *err)
{
	d->on_message = fn;
	d->ctx = ctx;
	return start_thread(d, err);
}

enum err_code duty_start_loop(struct duty *d, duty_run_fn *fn, void *ctx,
			      struct err *err)
{
	d->run = fn;
	d->ctx = ctx;
	return start_thread(d, err);
}

void duty_stop(struct duty *d)
{
	ring_close(d->ring);
}

void duty_join(struct duty *d)
{
	apr_status_t result;

	if (d->thread)
		apr_thread_join(&result, d->thread);
	d->thread = NULL;
}

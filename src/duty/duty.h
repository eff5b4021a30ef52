/*
 * A duty: a thread with one responsibility, an inbound ring and a timer queue.
 * A duty that waits for sockets in a poll call runs a loop of its own; the
 * ring's wake callback ends that call when a message was pushed.
 */
#ifndef DUTY_H
#define DUTY_H

#include <stdint.h>

#include "base/err.h"
#include "base/poller.h"
#include "base/ring.h"
#include "base/timer_queue.h"

struct duty;

/* Handles one message and frees its body. */
typedef void duty_message_fn(void *ctx, int64_t now_us, struct msg *m);
/* A duty's own loop, run on its thread; returns once duty_stopping() is 1. */
typedef void duty_run_fn(void *ctx, struct duty *d);

/*
 * Creates a duty without starting it. @capacity: ring size in messages.
 * @wake may be NULL; see ring_new().
 */
struct duty *duty_new(const char *name, uint32_t capacity, ring_wake_fn *wake,
		      void *wake_ctx, struct err *err);
void duty_free(struct duty *d);

struct ring *duty_ring(struct duty *d);
struct timer_queue *duty_timers(struct duty *d);
const char *duty_name(const struct duty *d);

/* Starts the thread with the standard loop: messages, then due timers. */
enum err_code duty_start(struct duty *d, duty_message_fn *fn, void *ctx,
			 struct err *err);
/* Starts the thread with a loop of its own. */
enum err_code duty_start_loop(struct duty *d, duty_run_fn *fn, void *ctx,
			      struct err *err);
/* Closes the ring; the thread ends after handling what was already pushed. */
void duty_stop(struct duty *d);
/* Waits until the thread has ended. */
void duty_join(struct duty *d);
/* 1 once duty_stop() was called and all messages were taken. */
int duty_stopping(struct duty *d);

/*
 * For duty_start_loop(): handles the messages in the ring and the due timers
 * without waiting. Returns the time until the next timer in us, -1 for none.
 */
int64_t duty_poll(struct duty *d, duty_message_fn *fn, void *ctx);
/*
 * For duty_start_loop(): handles messages, due timers and the sockets of @p
 * until the duty stops. The ring's wake callback has to be poller_wake() on @p.
 */
void duty_poll_loop(struct duty *d, struct poller *p, duty_message_fn *fn,
		    void *ctx);

#endif

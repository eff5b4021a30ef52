/*
 * Timer service that parts subscribe to. It reads no clock: the owner passes
 * the time in, so tests drive it with a virtual clock. One thread owns it.
 */
#ifndef TIMER_QUEUE_H
#define TIMER_QUEUE_H

#include <stdint.h>

struct timer_queue;

typedef void timer_fn(void *ctx, int64_t now_us);

/* Subscription; embedded in the subscriber and zeroed before first use. */
struct timer_entry {
	int64_t due_us;
	uint64_t order;
	timer_fn *fn;
	void *ctx;
	/* Heap position plus one; 0 when not armed. */
	uint32_t armed_pos;
};

struct timer_queue *timer_queue_new(void);
void timer_queue_free(struct timer_queue *t);

/* Arms @sub for @at_us, or moves it when it is already armed. */
void timer_queue_arm(struct timer_queue *t, struct timer_entry *sub,
		     int64_t at_us, timer_fn *fn, void *ctx);
/* Does nothing when @sub is not armed. */
void timer_queue_cancel(struct timer_queue *t, struct timer_entry *sub);
/* Time of the next subscription in us, or -1 when there is none. */
int64_t timer_queue_next_us(const struct timer_queue *t);
/* Runs what is due at @now_us in order of time, then of arming. */
void timer_queue_run(struct timer_queue *t, int64_t now_us);

#endif

/*
 * Queue of timers, for one thread. It reads no clock: its owner passes the time
 * in, so that tests can run it on a virtual clock.
 */
#ifndef TIMER_QUEUE_H
#define TIMER_QUEUE_H

#include <stdint.h>

struct timer_queue;

typedef void timer_fn(void *ctx, int64_t now_us);

/* One timer; embedded in the struct that uses it, zeroed before first use. */
struct timer_entry {
	/* Monotonic time at which fn is called. */
	int64_t due_us;
	/* Number of the arming, which orders timers with the same due_us. */
	uint64_t arm_order;
	timer_fn *fn;
	void *ctx;
	/* Position in the heap plus one; 0: not armed. */
	uint32_t armed_pos;
};

struct timer_queue *timer_queue_new(void);
void timer_queue_free(struct timer_queue *t);

/* Arms @entry for @due_us, or moves it there if it is armed already. */
void timer_queue_arm(struct timer_queue *t, struct timer_entry *entry,
		     int64_t due_us, timer_fn *fn, void *ctx);
/* Disarms @entry; does nothing if it is not armed. */
void timer_queue_cancel(struct timer_queue *t, struct timer_entry *entry);
/* Time at which the next timer is due, in us; -1 if none is armed. */
int64_t timer_queue_next_us(const struct timer_queue *t);
/*
 * Disarms each timer that is due at @now_us and calls its fn, in the order of
 * due times and, where these are equal, of arming.
 */
void timer_queue_run(struct timer_queue *t, int64_t now_us);

#endif

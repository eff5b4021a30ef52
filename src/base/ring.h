/*
 * Bounded ring that joins duty threads: many producers, one consumer. Pushing
 * hands the ownership of the body to the consumer; a refused push leaves it
 * with the producer.
 */
#ifndef RING_H
#define RING_H

#include <stdint.h>

#include "base/err.h"

struct msg {
	uint32_t type;
	void *body;
	/* Frees @body when the message is dropped unread; NULL if not owned. */
	void (*drop)(void *body);
};

/* Called after a push onto an empty ring; wakes a consumer in a poll call. */
typedef void ring_wake_fn(void *ctx);

struct ring;

/* @capacity: 1 to 1048576 messages. @wake may be NULL. */
struct ring *ring_new(uint32_t capacity, ring_wake_fn *wake, void *ctx,
		      struct err *err);
/* Drops what is left with each message's drop callback. */
void ring_free(struct ring *r);

/* ERR_OK, ERR_RING_FULL, or ERR_STOPPING after ring_close(). */
enum err_code ring_push(struct ring *r, const struct msg *m) MUST_CHECK;
/* Takes up to @max messages without waiting; returns the number taken. */
uint32_t ring_take(struct ring *r, struct msg *out, uint32_t max);
/*
 * Like ring_take(), but waits up to @wait_us for a first message; a negative
 * @wait_us waits without limit. Returns 0 on timeout or when closed and empty.
 */
uint32_t ring_wait(struct ring *r, struct msg *out, uint32_t max,
		   int64_t wait_us);
/* Refuses further pushes and wakes the consumer. */
void ring_close(struct ring *r);
int ring_closed_and_empty(struct ring *r);

#endif

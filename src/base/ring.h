/*
 * Bounded ring that joins duty threads, with many producers and one consumer. A
 * push passes the ownership of the message's body to the consumer; if it is
 * refused, the body still belongs to the producer.
 */
#ifndef RING_H
#define RING_H

#include <stdint.h>

#include "base/err.h"

struct msg {
	/* One of the types that the producer and the consumer agree on. */
	uint32_t type;
	void *body;
	/* Frees body if nobody takes the message; NULL: nothing to free. */
	void (*drop)(void *body);
};

/*
 * Wakes a consumer that waits in a poll call. Called on the producer's thread
 * after a push onto an empty ring, and by ring_close().
 */
typedef void ring_wake_fn(void *ctx);

struct ring;

/*
 * @capacity: 1 to 1048576 messages. @wake may be NULL. Returns NULL with @err
 * set on failure.
 */
struct ring *ring_new(uint32_t capacity, ring_wake_fn *wake, void *ctx,
		      struct err *err);
/* Passes the messages that are left to their drop callbacks. */
void ring_free(struct ring *r);

/* Does not wait: ERR_OK, ERR_RING_FULL, or ERR_STOPPING after ring_close(). */
enum err_code ring_push(struct ring *r, const struct msg *m) MUST_CHECK;
/* Takes up to @max messages without waiting; returns the number taken. */
uint32_t ring_take(struct ring *r, struct msg *out, uint32_t max);
/*
 * Like ring_take(), but waits up to @wait_us for a first message; a negative
 * @wait_us waits without limit. Returns 0 on timeout, or if the ring is closed
 * and empty.
 */
uint32_t ring_wait(struct ring *r, struct msg *out, uint32_t max,
		   int64_t wait_us);
/* Refuses further pushes and wakes the consumer. */
void ring_close(struct ring *r);
int ring_closed_and_empty(struct ring *r);

#endif

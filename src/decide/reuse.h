/*
 * Decides whether a connection may carry another request, as seen by the side
 * that sends the requests. It does no input or output: its user tells it what
 * was sent and read.
 */
#ifndef REUSE_H
#define REUSE_H

#include <stdint.h>

/* State of one connection. */
struct reuse {
	/* 1 once all bytes of the latest request were written. */
	uint32_t is_written;
};

/* What was read of an answer, from its first to its last byte. */
struct reuse_answer {
	/* 1 if the protocol lets the connection go on after the answer. */
	uint32_t keep_alive;
	/* Bytes that came behind the answer. */
	uint32_t has_extra;
};

/* A request is being sent; none of it was written. */
void reuse_begin(struct reuse *c);
/* The last byte of the request was written. */
void reuse_written(struct reuse *c);
/*
 * The answer to the latest request was read. Returns 1 if the next request may
 * be sent on the connection, 0 if it has to be closed.
 *
 * A target may answer before it has read the whole request and go on reading
 * later. It takes what is sent then as the rest of that request, so the
 * connection of a request that was not written to its end is closed.
 */
int reuse_answered(const struct reuse *c, const struct reuse_answer *a);

#endif

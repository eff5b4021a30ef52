/*
 * Decides whether an HTTP/1.1 connection may carry another request, and to which
 * request an answer on it belongs, as seen by the side that sends the requests.
 * It does no input or output: its user tells it what was written and read.
 *
 * A target may answer twice, the second time in place of the answer to a later
 * request; it may answer before it has read a request and read on later. Most
 * answers repeat the ID of their request. Of one without an ID, a stamp that came
 * before on the connection shows that it is a second copy. One with neither may
 * be a copy of an earlier one of its kind.
 */
#ifndef REUSE_H
#define REUSE_H

#include <stdint.h>

/* State of one connection; zeroed before its first request. */
struct reuse {
	/* 1 once a byte of the latest request, or all of it, was written. */
	uint32_t is_started;
	uint32_t is_written;
	/* Answers that were dropped since the latest request was sent. */
	uint32_t skipped_count;
	/* 1 once an answer came that has neither ID nor stamp. */
	uint32_t had_unmarked;
	/* Hashes of the stamps of the answers without an ID. */
	uint64_t *stamps;
	uint32_t stamp_count;
	uint32_t stamp_capacity;
};

/* Whose request ID an answer repeats. */
enum reuse_id { REUSE_ID_NONE, REUSE_ID_OWN, REUSE_ID_OTHER };

/* An answer that was read to its end. */
struct reuse_answer {
	enum reuse_id id;
	/* Hash of its stamp; 0: it has none. */
	uint64_t stamp;
	/* 1 if the protocol lets the connection go on after the answer. */
	uint32_t keep_alive;
	/* 1 if bytes came behind it. */
	uint32_t has_extra;
};

enum reuse_step {
	/* It answers the request; the connection may carry the next one. */
	REUSE_KEEP,
	/* It answers the request; the connection has to be closed. */
	REUSE_CLOSE,
	/*
	 * It may answer the request or an earlier one: the request has failed,
	 * and what the answer says of it is not certain. Close.
	 */
	REUSE_DOUBT,
	/* It belongs to an earlier request: drop it, the answer is still due. */
	REUSE_SKIP,
	/* It cannot belong to the request, and nothing more can. Close. */
	REUSE_FAIL
};

void reuse_clear(struct reuse *c);
/* A request is about to be sent; none of it was written. */
void reuse_begin(struct reuse *c);
/* Bytes of the request were written; @is_last: all of them now. */
void reuse_written(struct reuse *c, int is_last);
/* An answer was read. The user does what the result says. */
enum reuse_step reuse_answered(struct reuse *c, const struct reuse_answer *a);

#endif

/*
 * One HTTP/1.1 connection of a caller without its socket: which bytes make up a
 * request, which bytes answer it, and whether another request may follow. The
 * ingress duty moves the bytes and closes the socket; tests play both ends in
 * memory.
 */
#ifndef CALLER_CONN_H
#define CALLER_CONN_H

#include <stdint.h>

#include "codec/http1.h"
#include "model/exchange.h"

enum caller_conn_state {
	/* No request, or a part of one, was read. */
	CALLER_CONN_READING,
	/* A request was read, or refused, and its answer is due. */
	CALLER_CONN_WAITING,
	CALLER_CONN_WRITING,
	/*
	 * The last answer was written. The caller may still be sending; if the
	 * socket were closed now, the answer could be lost. What comes is
	 * dropped until the caller closes.
	 */
	CALLER_CONN_LINGERING,
	/* The socket has to be closed. */
	CALLER_CONN_CLOSED
};

struct caller_conn {
	enum caller_conn_state state;
	struct http1_reader h1;
	/* Bytes that were received and not parsed yet. */
	struct buf unparsed;
	struct buf out;
	/* Bytes of @out that the socket has taken. */
	size_t out_sent_bytes;
	/* 1: no request follows the one that is answered. */
	int is_last;
};

void caller_conn_init(struct caller_conn *c);
void caller_conn_clear(struct caller_conn *c);

/* Memory that the connection holds for messages; a few KB while it is idle. */
size_t caller_conn_held_bytes(const struct caller_conn *c);
/* Takes bytes from the caller. */
void caller_conn_received(struct caller_conn *c, const char *data, size_t len);
/*
 * 0 if the caller has sent so much ahead of an answer that no more is to be
 * read until the answer is written.
 */
int caller_conn_has_room(const struct caller_conn *c);
/*
 * Reads on in what was received, a request that begins now within @limits.
 * Returns 1 if the state is CALLER_CONN_WAITING from now on: c->h1 holds a
 * request, or in state HTTP1_BAD says why the bytes are refused.
 */
int caller_conn_parse(struct caller_conn *c, const struct http1_limits *limits);
/* 1 if the next request may be on the way, but no byte of it was read. */
int caller_conn_is_idle(const struct caller_conn *c);
/*
 * Answers the request; @is_last: the connection is closed after it, also if the
 * caller wants to go on. Requests that were received before are still read and
 * answered.
 */
void caller_conn_answer(struct caller_conn *c, const struct exchange_answer *a,
			int is_last);
/* Bytes that are to be sent now; their number goes to @len. */
const char *caller_conn_unsent(const struct caller_conn *c, size_t *len);
/*
 * The socket has taken @len more bytes. After the last one, the next request is
 * read, unless the answer was the last one, or @is_last and no byte of another
 * request was received.
 */
void caller_conn_written(struct caller_conn *c, size_t len, int is_last);

#endif

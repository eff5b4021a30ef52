/* A caller's connection to a host, used for one request at a time. */
#ifndef CALLER_H
#define CALLER_H

#include <stdint.h>

#include "codec/http1.h"

enum caller_result {
	CALLER_OK,
	/* Nothing listens at the address, or accepting took too long. */
	CALLER_REFUSED,
	/* The connection ended before the first byte of an answer. */
	CALLER_CLOSED,
	/* The connection ended within an answer. */
	CALLER_BROKEN,
	/* The answer is not valid HTTP/1.1, or data follows it. */
	CALLER_GARBAGE,
	CALLER_TIMEOUT
};

struct caller {
	int fd;
	struct http1_reader answer;
};

void caller_init(struct caller *c);
/* Closes the connection, if there is one. */
void caller_close(struct caller *c);
/* Closes the connection and frees the answer. */
void caller_clear(struct caller *c);
/* Connects unless that was done; CALLER_OK or CALLER_REFUSED. */
enum caller_result caller_open(struct caller *c, const char *address,
			       uint16_t port);
/*
 * Reads the answer to the request that was sent on c->fd; see
 * caller_exchange().
 */
enum caller_result caller_read(struct caller *c, uint32_t timeout_ms);
/*
 * Sends @text over the open connection, or else a new one to @address, and
 * reads the answer into c->answer; blocks for up to @timeout_ms. The connection
 * stays open only after a valid answer that allows it.
 */
enum caller_result caller_exchange(struct caller *c, const char *address,
				   uint16_t port, const char *text,
				   uint32_t timeout_ms);

#endif

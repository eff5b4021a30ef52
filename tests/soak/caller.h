/* A caller's connection to a host: blocking, one request at a time. */
#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <stdint.h>

#include "codec/http1.h"

enum caller_result {
	CALLER_OK,
	/* Nothing listens there, or it does not accept in time. */
	CALLER_REFUSED,
	/* The connection ended before any byte of an answer, or within one. */
	CALLER_CLOSED,
	CALLER_BROKEN,
	/* The answer is no HTTP, or bytes follow it. */
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
void caller_clear(struct caller *c);
/*
 * Sends @text over the open connection or a new one to @address, and reads the
 * answer into c->answer. The connection stays open where the host keeps it.
 */
enum caller_result caller_exchange(struct caller *c, const char *address,
				   uint16_t port, const char *text,
				   uint32_t timeout_ms);

#endif

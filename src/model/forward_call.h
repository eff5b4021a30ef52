/*
 * Messages by which a host has a gathered request answered by another host, the
 * gatherer, and what comes back.
 */
#ifndef FORWARD_CALL_H
#define FORWARD_CALL_H

#include <stdint.h>

#include "model/exchange.h"

/* Request for a gatherer, or the cancellation of one. */
struct forward_call {
	uint64_t call_id;
	/* 1: nobody waits for the answer of call call_id any more. */
	uint32_t is_cancel;
	/* Address of the gatherer; set in a cancellation as well. */
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Message, id, host_name and caller_timeout_ms are set, and the next. */
	struct exchange_request *request;
};

/* What came back for a forward_call, or why nothing did. */
struct forward_reply {
	uint64_t call_id;
	/* ERR_OK: the gatherer decided on @answer, which may be a refusal. */
	enum err_code code;
	/* 1: it is certain that no byte of the call has left this host. */
	uint32_t not_sent;
	/* NULL unless code is ERR_OK; conn_id is not set. */
	struct exchange_answer *answer;
};

void forward_call_free(struct forward_call *c);
void forward_reply_free(struct forward_reply *r);

#endif

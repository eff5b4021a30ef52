/* Conversion of forwarded requests and their answers to and from XDR form. */
#ifndef PEER_MSG_FORWARD_H
#define PEER_MSG_FORWARD_H

#include "base/err.h"
#include "codec/peer.h"
#include "model/exchange.h"

/* Fills @out from @r, which must outlive it; 0 if @r is too long. */
int peer_msg_from_forward(struct exchange_request *r, peer_forward *out);
/*
 * NULL with ERR_PEER_MESSAGE in @err when a field is missing or out of range.
 * conn_id and received_us are not set.
 */
struct exchange_request *peer_msg_to_forward(const peer_forward *x,
					     struct err *err);
/* Fills @out from @a, which must outlive it. */
void peer_msg_from_answer(const struct exchange_answer *a, peer_forwarded *out);
/* NULL with ERR_PEER_MESSAGE in @err when a field is out of range. */
struct exchange_answer *peer_msg_to_answer(const peer_forwarded *x,
					   struct err *err);

#endif

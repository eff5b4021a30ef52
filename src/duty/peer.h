/* Bodies of the messages between the control duty and the peer duties. */
#ifndef PEER_DUTY_H
#define PEER_DUTY_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "model/config.h"
#include "model/heartbeat.h"

struct peer_address {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

/* MSG_PEER_SEND: one heartbeat for several hosts. */
struct peer_datagram {
	struct heartbeat heartbeat;
	uint32_t to_count;
	struct peer_address *to;
};

/* MSG_PEER_FETCH: pull of configuration from one host. */
struct peer_fetch {
	char host[NAME_BYTES];
	struct peer_address from;
	uint64_t rev;
	uint64_t change;
	uint64_t after_rev;
	/* Repeated in the answer. */
	uint64_t token;
	struct ring *reply_to;
};

/* MSG_PEER_ITEMS: answer to a peer_fetch; @delta NULL with @err set. */
struct peer_items {
	uint64_t token;
	char host[NAME_BYTES];
	struct err err;
	struct cfg_delta *delta;
};

/*
 * The RPC library writes to TCP sockets in a way that raises SIGPIPE when the
 * other side closed; blocked on the calling thread, the write fails instead.
 */
void peer_block_sigpipe(void);

void peer_datagram_free(struct peer_datagram *d);
void peer_items_free(struct peer_items *p);

#endif

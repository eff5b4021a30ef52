/* Bodies of the messages between the control duty and the peer duties. */
#ifndef PEER_MESSAGES_H
#define PEER_MESSAGES_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "model/config.h"
#include "model/heartbeat.h"

struct peer_address {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

/* MSG_HEARTBEAT_SEND: one heartbeat for several hosts. */
struct heartbeat_datagram {
	struct heartbeat heartbeat;
	uint32_t receiver_count;
	struct peer_address *receivers;
};

/* MSG_CONFIG_FETCH: pull of configuration from one host. */
struct config_fetch {
	char host[NAME_BYTES];
	struct peer_address from;
	uint64_t rev;
	uint64_t change;
	uint64_t after_rev;
	/* Repeated in the answer. */
	uint64_t call_id;
	struct ring *reply_to;
};

/* MSG_CONFIG_FETCH_RESULT: answer to a peer_fetch; @delta NULL with @err set. */
struct config_fetch_result {
	uint64_t call_id;
	char host[NAME_BYTES];
	struct err err;
	struct cfg_delta *delta;
};

/*
 * The RPC library writes to TCP sockets in a way that raises SIGPIPE when the
 * other side closed; blocked on the calling thread, the write fails instead.
 */
void peer_block_sigpipe(void);

void heartbeat_datagram_free(struct heartbeat_datagram *d);
void config_fetch_result_free(struct config_fetch_result *p);

#endif

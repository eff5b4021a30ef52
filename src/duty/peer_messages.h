/* Bodies of the messages between the control duty and the peer_* duties. */
#ifndef PEER_MESSAGES_H
#define PEER_MESSAGES_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "model/config.h"
#include "model/heartbeat.h"

/* Where a peer's peer_listen duty can be reached. */
struct peer_address {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

/* MSG_HEARTBEAT_SEND: one heartbeat for several peers. */
struct heartbeat_datagram {
	struct heartbeat heartbeat;
	uint32_t receiver_count;
	struct peer_address *receivers;
};

/* MSG_CONFIG_FETCH: pull of configuration from the peer @host. */
struct config_fetch {
	char host[NAME_BYTES];
	struct peer_address from;
	/*
	 * This host's configuration revision and the ID of the change that made
	 * it.
	 */
	uint64_t rev;
	uint64_t change_id;
	/* Highest revision of the page before; 0 for the first page. */
	uint64_t after_rev;
	/* Repeated in the result. */
	uint64_t call_id;
	/* Ring that gets the result. */
	struct ring *reply_to;
};

/* MSG_CONFIG_FETCH_RESULT: result of a config_fetch. */
struct config_fetch_result {
	uint64_t call_id;
	char host[NAME_BYTES];
	struct err err;
	/* NULL, with @err set, if the pull failed. */
	struct cfg_delta *delta;
};

/*
 * Blocks SIGPIPE on the calling thread. The RPC library writes to TCP sockets
 * in a way that raises SIGPIPE when the peer has closed the connection; with
 * the signal blocked, the write fails instead.
 */
void peer_block_sigpipe(void);

void heartbeat_datagram_free(struct heartbeat_datagram *d);
void config_fetch_result_free(struct config_fetch_result *result);

#endif

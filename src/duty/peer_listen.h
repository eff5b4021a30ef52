/*
 * The peer_listen duty: ONC RPC server on the peer address, UDP for
 * heartbeats (passed on as MSG_HEARTBEAT_RECEIVED) and TCP for pulls of
 * configuration, which it answers from the set last received as MSG_CONFIG.
 * The RPC library keeps its transports per process, so there is one of these.
 */
#ifndef PEER_LISTEN_H
#define PEER_LISTEN_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"

struct peer_listen;

/*
 * Binds @address (an IP number); @port 0 takes a free one. Messages go to
 * @control.
 */
struct peer_listen *peer_listen_new(const char *address, uint16_t port,
				    struct ring *control, struct err *err);
uint16_t peer_listen_port(const struct peer_listen *p);
enum err_code peer_listen_start(struct peer_listen *p, struct err *err);
struct ring *peer_listen_ring(struct peer_listen *p);
void peer_listen_stop(struct peer_listen *p);
void peer_listen_join(struct peer_listen *p);
void peer_listen_free(struct peer_listen *p);

#endif

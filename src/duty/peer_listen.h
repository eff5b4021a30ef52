/*
 * The peer_listen duty: ONC RPC server on the peer address. Over UDP it
 * receives heartbeats, which it passes on as MSG_HEARTBEAT_RECEIVED. Over TCP
 * it answers pulls of configuration from the revision that it last received as
 * MSG_CONFIG. The RPC library keeps its transports per process, so a process
 * has one peer_listen duty at most.
 */
#ifndef PEER_LISTEN_H
#define PEER_LISTEN_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"

struct peer_listen;

/*
 * Binds @address (an IP number) and @port, where 0 takes any free port.
 * @control: ring of the control duty.
 */
struct peer_listen *peer_listen_new(const char *address, uint16_t port,
				    struct ring *control, struct err *err);
/* Port that the server listens on, UDP and TCP. */
uint16_t peer_listen_port(const struct peer_listen *p);
enum err_code peer_listen_start(struct peer_listen *p, struct err *err);
struct ring *peer_listen_ring(struct peer_listen *p);
void peer_listen_stop(struct peer_listen *p);
void peer_listen_join(struct peer_listen *p);
void peer_listen_free(struct peer_listen *p);

#endif

/*
 * The peer_send duty: sends heartbeats (MSG_HEARTBEAT_SEND) over UDP without
 * waiting for replies, so a host that does not answer delays no heartbeat.
 */
#ifndef PEER_SEND_H
#define PEER_SEND_H

#include "base/err.h"
#include "base/ring.h"

struct peer_send;

struct peer_send *peer_send_new(struct err *err);
enum err_code peer_send_start(struct peer_send *p, struct err *err);
struct ring *peer_send_ring(struct peer_send *p);
void peer_send_stop(struct peer_send *p);
void peer_send_join(struct peer_send *p);
void peer_send_free(struct peer_send *p);

#endif

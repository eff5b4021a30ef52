/*
 * The peer_fetch duty: pulls configuration from peers over TCP. It answers each
 * MSG_CONFIG_FETCH with one MSG_CONFIG_FETCH_RESULT. Each pull uses a
 * connection of its own and ends after a bounded time.
 */
#ifndef PEER_FETCH_H
#define PEER_FETCH_H

#include "base/err.h"
#include "base/ring.h"

/* Longest wait for the connection, and for each read of the answer. */
#define PEER_FETCH_CONNECT_MS 1000
#define PEER_FETCH_ANSWER_MS 2000

struct peer_fetch;

struct peer_fetch *peer_fetch_new(struct err *err);
enum err_code peer_fetch_start(struct peer_fetch *p, struct err *err);
struct ring *peer_fetch_ring(struct peer_fetch *p);
void peer_fetch_stop(struct peer_fetch *p);
void peer_fetch_join(struct peer_fetch *p);
void peer_fetch_free(struct peer_fetch *p);

#endif

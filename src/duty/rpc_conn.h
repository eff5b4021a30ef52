/*
 * A non-blocking TCP connection that carries ONC RPC records, driven by a
 * poller. One thread owns it.
 */
#ifndef RPC_CONN_H
#define RPC_CONN_H

#include <stdint.h>

#include "base/poller.h"
#include "model/name.h"

struct rpc_conn;

struct rpc_conn_ops {
	/*
	 * A record came; @data begins after the record mark. The handler may
	 * free the connection.
	 */
	void (*on_record)(void *ctx, char *data, size_t len_bytes,
			  int64_t now_us);
	/* The connection ended or failed; the handler frees it. */
	void (*on_lost)(void *ctx, int64_t now_us);
	void *ctx;
	/* Longest record that is accepted; a longer one ends the connection. */
	uint32_t record_bytes_max;
};

/*
 * Takes ownership of the connected or connecting socket @fd; closes it and
 * returns NULL when it cannot be polled.
 */
struct rpc_conn *rpc_conn_new(struct poller *p, int fd,
			      const struct rpc_conn_ops *ops);
/* Closes the socket; bytes that wait to be written are lost. */
void rpc_conn_free(struct rpc_conn *c);
/* Buffer that records are appended to before rpc_conn_flush(). */
struct buf *rpc_conn_output(struct rpc_conn *c);
/* Bytes that wait to be written. */
size_t rpc_conn_unsent_bytes(const struct rpc_conn *c);
/* Writes what the socket takes now; the poller writes the rest later. */
void rpc_conn_flush(struct rpc_conn *c);

#endif

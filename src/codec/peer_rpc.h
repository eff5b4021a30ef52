/*
 * ONC RPC messages over TCP (RFC 5531, record marking of one fragment) for
 * duties that poll their sockets themselves. Headers and bodies are encoded by
 * the XDR library.
 */
#ifndef PEER_RPC_H
#define PEER_RPC_H

#include <rpc/rpc.h>
#include <stdint.h>

#include "base/util.h"

/* Bytes of the mark that precedes each record. */
#define PEER_RPC_MARK_BYTES 4

/*
 * Length in bytes, mark included, of the record that @data begins with; 0
 * while it is incomplete, -1 when it is no record of up to @max_bytes.
 */
int64_t peer_rpc_record_bytes(const char *data, size_t len_bytes,
			  uint32_t max_bytes);

/*
 * Append a record; 0 when the body cannot be encoded. Without its mark it is
 * a datagram.
 */
int peer_rpc_add_call(struct buf *out, uint32_t xid, uint32_t procedure,
		  xdrproc_t encode, void *args);
int peer_rpc_add_reply(struct buf *out, uint32_t xid, xdrproc_t encode,
		   void *result);

/*
 * Open a record without its mark for reading; @x stands at the body. 0 when
 * it is no call of this program.
 */
int peer_rpc_read_call(char *data, size_t len_bytes, XDR *x, uint32_t *xid,
		   uint32_t *procedure);
/* Decodes a whole reply; 0 when it is none, or no success. */
int peer_rpc_read_reply(char *data, size_t len_bytes, uint32_t *xid,
		    xdrproc_t decode, void *result);

#endif

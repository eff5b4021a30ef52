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

/* Size of the record mark, which precedes each record. */
#define PEER_RPC_MARK_BYTES 4

/*
 * Length in bytes, mark included, of the record at the start of @data; 0 if
 * the record is not complete yet, -1 if it has several fragments or more than
 * @max_bytes bytes after the mark.
 */
int64_t peer_rpc_record_bytes(const char *data, size_t len_bytes,
			      uint32_t max_bytes);

/*
 * Append a call or a reply to @out as one record; return 0 when the body cannot
 * be encoded. The bytes after the mark can be sent as a datagram.
 */
int peer_rpc_add_call(struct buf *out, uint32_t xid, uint32_t procedure,
		      xdrproc_t encode, void *args);
int peer_rpc_add_reply(struct buf *out, uint32_t xid, xdrproc_t encode,
		       void *result);

/*
 * Decodes the header of the call in @data, a record without its mark, and
 * leaves @x at the body. Returns 0 if it is not a call of this program and its
 * version, else 1.
 */
int peer_rpc_read_call(char *data, size_t len_bytes, XDR *x, uint32_t *xid,
		       uint32_t *procedure);
/*
 * Decodes the reply in @data, a record without its mark, and its body into
 * @result. Returns 0 if it is not a reply, does not report success or cannot be
 * decoded, else 1.
 */
int peer_rpc_read_reply(char *data, size_t len_bytes, uint32_t *xid,
			xdrproc_t decode, void *result);

#endif

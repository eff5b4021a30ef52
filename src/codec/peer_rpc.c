#include "codec/peer_rpc.h"

#include <arpa/inet.h>
#include <string.h>

#include "codec/peer.h"

#define LAST_FRAGMENT 0x80000000u
/* More than the header of a call or a reply without credentials needs. */
#define HEADER_BYTES 128

int64_t peer_rpc_record_bytes(const char *data, size_t len_bytes,
			      uint32_t max_bytes)
{
	uint32_t mark;

	if (len_bytes < PEER_RPC_MARK_BYTES)
		return 0;
	memcpy(&mark, data, sizeof(mark));
	mark = ntohl(mark);
	if (!(mark & LAST_FRAGMENT) || (mark & ~LAST_FRAGMENT) > max_bytes)
		return -1;
	mark &= ~LAST_FRAGMENT;
	return len_bytes >= PEER_RPC_MARK_BYTES + (size_t)mark
		       ? PEER_RPC_MARK_BYTES + (int64_t)mark
		       : 0;
}

static void add_record(struct buf *out, const char *data, uint32_t len_bytes)
{
	uint32_t mark = htonl(LAST_FRAGMENT | len_bytes);

	buf_add(out, &mark, sizeof(mark));
	buf_add(out, data, len_bytes);
}

int peer_rpc_add_call(struct buf *out, uint32_t xid, uint32_t procedure,
		      xdrproc_t encode, void *args)
{
	size_t room_bytes = HEADER_BYTES + xdr_sizeof(encode, args);
	char *data CLEANUP_FREE = util_alloc(room_bytes, 1);
	struct rpc_msg m = { .rm_xid = xid, .rm_direction = CALL };
	XDR x;
	int ok;

	m.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	m.rm_call.cb_prog = COWSLIPPOINT_PEER;
	m.rm_call.cb_vers = PEER_V1;
	m.rm_call.cb_proc = procedure;
	m.rm_call.cb_cred = _null_auth;
	m.rm_call.cb_verf = _null_auth;
	xdrmem_create(&x, data, (u_int)room_bytes, XDR_ENCODE);
	ok = xdr_callmsg(&x, &m) && encode(&x, args);
	if (ok)
		add_record(out, data, xdr_getpos(&x));
	xdr_destroy(&x);
	return ok;
}

int peer_rpc_add_reply(struct buf *out, uint32_t xid, xdrproc_t encode,
		       void *result)
{
	size_t room_bytes = HEADER_BYTES + xdr_sizeof(encode, result);
	char *data CLEANUP_FREE = util_alloc(room_bytes, 1);
	struct rpc_msg m = { .rm_xid = xid, .rm_direction = REPLY };
	XDR x;
	int ok;

	m.rm_reply.rp_stat = MSG_ACCEPTED;
	m.acpted_rply.ar_verf = _null_auth;
	m.acpted_rply.ar_stat = SUCCESS;
	m.acpted_rply.ar_results.proc = encode;
	m.acpted_rply.ar_results.where = result;
	xdrmem_create(&x, data, (u_int)room_bytes, XDR_ENCODE);
	ok = xdr_replymsg(&x, &m);
	if (ok)
		add_record(out, data, xdr_getpos(&x));
	xdr_destroy(&x);
	return ok;
}

int peer_rpc_read_call(char *data, size_t len_bytes, XDR *x, uint32_t *xid,
		       uint32_t *procedure)
{
	char credentials[2 * MAX_AUTH_BYTES];
	struct rpc_msg m = { 0 };

	m.rm_call.cb_cred.oa_base = credentials;
	m.rm_call.cb_verf.oa_base = credentials + MAX_AUTH_BYTES;
	xdrmem_create(x, data, (u_int)len_bytes, XDR_DECODE);
	if (!xdr_callmsg(x, &m) || m.rm_call.cb_prog != COWSLIPPOINT_PEER ||
	    m.rm_call.cb_vers != PEER_V1)
		return 0;
	*xid = m.rm_xid;
	*procedure = m.rm_call.cb_proc;
	return 1;
}

int peer_rpc_read_reply(char *data, size_t len_bytes, uint32_t *xid,
			xdrproc_t decode, void *result)
{
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg m = { 0 };
	XDR x;
	int ok;

	m.acpted_rply.ar_verf.oa_base = verifier;
	m.acpted_rply.ar_results.proc = decode;
	m.acpted_rply.ar_results.where = result;
	xdrmem_create(&x, data, (u_int)len_bytes, XDR_DECODE);
	ok = xdr_replymsg(&x, &m) && m.rm_reply.rp_stat == MSG_ACCEPTED &&
	     m.acpted_rply.ar_stat == SUCCESS;
	*xid = m.rm_xid;
	xdr_destroy(&x);
	return ok;
}

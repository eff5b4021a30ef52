#include "duty/peer_send.h"

#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/metric.h"
#include "codec/peer_msg.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "duty/peer_messages.h"

/* Room for the heartbeats of several seconds. */
#define RING_CAPACITY 64

enum { FAMILY_V4, FAMILY_V6, FAMILY_COUNT };

struct peer_send {
	struct duty *duty;
	/*
	 * One socket per address family, opened when first needed; 0 or -1:
	 * none.
	 */
	int sockets[FAMILY_COUNT];
	/* RPC transaction ID of the last call. */
	uint32_t xid;
};

/*
 * Encodes a one-way call with @x into @out. Only the encoding of the RPC
 * library is used, because its client calls wait at least 1 ms for a reply.
 * Returns the size in bytes, 0 on failure.
 */
static uint32_t encode(struct peer_send *p, peer_heartbeat *x, char *out,
		       uint32_t size_bytes)
{
	struct rpc_msg call = {
		.rm_xid = ++p->xid,
		.rm_direction = CALL,
	};
	uint32_t bytes = 0;
	XDR xdrs;

	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = COWSLIPPOINT_PEER;
	call.rm_call.cb_vers = PEER_V1;
	call.rm_call.cb_proc = HEARTBEAT;
	call.rm_call.cb_cred = _null_auth;
	call.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdrs, out, size_bytes, XDR_ENCODE);
	if (xdr_callmsg(&xdrs, &call) && xdr_peer_heartbeat(&xdrs, x))
		bytes = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return bytes;
}

static int socket_for(struct peer_send *p,
		      const struct sockaddr_storage *address)
{
	int *fd = &p->sockets[address->ss_family == AF_INET6 ? FAMILY_V6
							     : FAMILY_V4];

	if (*fd <= 0)
		*fd = socket(address->ss_family,
			     SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	return *fd;
}

static void send_one(struct peer_send *p, const struct peer_address *to,
		     const char *data, uint32_t bytes)
{
	struct sockaddr_storage address;
	socklen_t len = addr_parse(to->address, to->port, &address);

	if (bytes && len &&
	    sendto(socket_for(p, &address), data, bytes, 0,
		   (struct sockaddr *)&address, len) == (ssize_t)bytes) {
		metric_add(METRIC_PEER_MESSAGES_SENT, 1);
		metric_add(METRIC_PEER_SENT_BYTES, bytes);
	} else {
		metric_add(METRIC_PEER_ERRORS, 1);
	}
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct peer_send *p = ctx;
	struct heartbeat_datagram *d = m->body;
	struct peer_msg_heartbeat x;
	char data[HEARTBEAT_BYTES_MAX];
	uint32_t bytes;
	uint32_t i;

	if (m->type != MSG_HEARTBEAT_SEND) {
		if (m->drop)
			m->drop(m->body);
		return;
	}
	peer_msg_from_heartbeat(&d->heartbeat, &x);
	bytes = encode(p, &x.xdr, data, sizeof(data));
	for (i = 0; i < d->receiver_count; i++)
		send_one(p, &d->receivers[i], data, bytes);
	heartbeat_datagram_free(d);
}

struct peer_send *peer_send_new(struct err *err)
{
	struct peer_send *p = util_alloc(1, sizeof(*p));

	p->duty = duty_new("peer_send", RING_CAPACITY, NULL, NULL, err);
	if (!p->duty) {
		free(p);
		return NULL;
	}
	return p;
}

enum err_code peer_send_start(struct peer_send *p, struct err *err)
{
	return duty_start(p->duty, on_message, p, err);
}

struct ring *peer_send_ring(struct peer_send *p)
{
	return duty_ring(p->duty);
}

void peer_send_stop(struct peer_send *p)
{
	duty_stop(p->duty);
}

void peer_send_join(struct peer_send *p)
{
	duty_join(p->duty);
}

void peer_send_free(struct peer_send *p)
{
	uint32_t i;

	if (!p)
		return;
	for (i = 0; i < FAMILY_COUNT; i++) {
		if (p->sockets[i] > 0)
			close(p->sockets[i]);
	}
	duty_free(p->duty);
	free(p);
}

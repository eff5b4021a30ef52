#include "duty/peer_send.h"

#include <netinet/in.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/metric.h"
#include "codec/pxdr.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "duty/peer.h"

/* Heartbeats of several seconds. */
#define RING_CAPACITY 64

enum { FAMILY_V4, FAMILY_V6, FAMILY_COUNT };

struct peer_send {
	struct duty *duty;
	/* One handle per address family, made when first needed. */
	CLIENT *clients[FAMILY_COUNT];
};

/*
 * Without IP_RECVERR off, the refusal by one host that is down would be
 * reported to, and end, the next sending to another host.
 */
static void ignore_refusals(int fd, int family)
{
	int off = 0;

	if (family == AF_INET)
		setsockopt(fd, IPPROTO_IP, IP_RECVERR, &off, sizeof(off));
	else
		setsockopt(fd, IPPROTO_IPV6, IPV6_RECVERR, &off, sizeof(off));
}

static CLIENT *client_new(struct sockaddr_storage *at, socklen_t len)
{
	struct netbuf to = { sizeof(*at), len, at };
	int fd = socket(at->ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	CLIENT *c;

	if (fd < 0)
		return NULL;
	c = clnt_dg_create(fd, &to, COWSLIPPOINT_PEER, PEER_V1, 0, 0);
	if (!c) {
		close(fd);
		return NULL;
	}
	clnt_control(c, CLSET_FD_CLOSE, NULL);
	ignore_refusals(fd, at->ss_family);
	return c;
}

static CLIENT *client_for(struct peer_send *p, const struct peer_address *to)
{
	struct sockaddr_storage at;
	socklen_t len = addr_fill(to->address, to->port, &at);
	struct netbuf buf = { sizeof(at), len, &at };
	CLIENT **c;

	if (!len)
		return NULL;
	c = &p->clients[at.ss_family == AF_INET6 ? FAMILY_V6 : FAMILY_V4];
	if (!*c)
		*c = client_new(&at, len);
	if (!*c || !clnt_control(*c, CLSET_SVC_ADDR, (char *)&buf))
		return NULL;
	return *c;
}

static void send_one(struct peer_send *p, const struct peer_address *to,
		     peer_heartbeat *x, uint32_t bytes)
{
	/* No wait: the call returns as timed out once it was sent. */
	struct timeval no_wait = { 0, 0 };
	CLIENT *c = client_for(p, to);

	if (c && clnt_call(c, HEARTBEAT, (xdrproc_t)xdr_peer_heartbeat, x,
			   PXDR_NO_BODY, NULL, no_wait) == RPC_TIMEDOUT) {
		metric_add(M_PEER_SENT, 1);
		metric_add(M_PEER_SENT_BYTES, bytes);
	} else {
		metric_add(M_PEER_ERRORS, 1);
	}
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct peer_send *p = ctx;
	struct peer_datagram *d = m->body;
	struct pxdr_heartbeat x;
	uint32_t bytes;
	uint32_t i;

	if (m->type != MSG_PEER_SEND) {
		if (m->drop)
			m->drop(m->body);
		return;
	}
	bytes = pxdr_from_heartbeat(&d->heartbeat, &x);
	for (i = 0; i < d->to_count; i++)
		send_one(p, &d->to[i], &x.xdr, bytes);
	peer_datagram_free(d);
}

struct peer_send *peer_send_new(struct err *err)
{
	struct peer_send *p = cu_alloc(1, sizeof(*p));

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
		if (p->clients[i])
			clnt_destroy(p->clients[i]);
	}
	duty_free(p->duty);
	free(p);
}

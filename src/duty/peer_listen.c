#include "duty/peer_listen.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <rpc/rpc_com.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/sock.h"
#include "base/metric.h"
#include "codec/peer_msg.h"
#include "controller/cfg_revision.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "duty/peer_messages.h"

/* Room for messages with configuration revisions; only the last one counts. */
#define RING_CAPACITY 64
/* Longest request over TCP; the requests of this protocol are much smaller. */
#define REQUEST_BYTES_MAX 4096
/* Longest wait of one write over TCP; the RPC library gives up after 2 s. */
#define WRITE_TIMEOUT_MS 500
/* With these values a TCP peer that vanished is noticed after about 20 s. */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_PROBES 2
/* TCP connections that wait to be accepted. */
#define BACKLOG 64
/* UDP receive buffer: room for the peers' heartbeats of many seconds. */
#define RECEIVE_BUFFER_BYTES (1024 * 1024)
/* Attempts with port 0 to find a port that is free for UDP and TCP. */
#define BIND_ATTEMPTS 16

struct peer_listen {
	struct duty *duty;
	struct ring *control;
	/* Configuration revision that pulls are answered from. */
	struct cfg_revision *revision;
	SVCXPRT *udp;
	SVCXPRT *tcp;
	/* eventfd that ends the poll call of the thread. */
	int wake_fd;
	uint16_t port;
};

/*
 * The duty of this process or NULL; the RPC library calls dispatch() without a
 * context.
 */
static struct peer_listen *only_listener;

static void drop_heartbeat(void *body)
{
	free(body);
}

static void receive_heartbeat(struct peer_listen *p, SVCXPRT *xprt)
{
	peer_heartbeat x = { 0 };
	struct heartbeat *h = util_alloc(1, sizeof(*h));
	struct msg m = { MSG_HEARTBEAT_RECEIVED, h, drop_heartbeat };
	int decoded = svc_getargs(xprt, (xdrproc_t)xdr_peer_heartbeat, &x);

	if (decoded) {
		metric_add(METRIC_PEER_MESSAGES_RECEIVED, 1);
		metric_add(METRIC_PEER_RECEIVED_BYTES,
			   PEER_MSG_CALL_HEADER_BYTES +
				   xdr_sizeof((xdrproc_t)xdr_peer_heartbeat,
					      &x));
	}
	/* A lost heartbeat is replaced by the next one. */
	if (!decoded || peer_msg_to_heartbeat(&x, h, NULL) != ERR_OK ||
	    ring_push(p->control, &m) != ERR_OK) {
		metric_add(METRIC_PEER_ERRORS, 1);
		free(h);
	}
	svc_freeargs(xprt, (xdrproc_t)xdr_peer_heartbeat, &x);
}

/*
 * The RPC library repeats a write without a pause while the socket would block.
 * With a blocking socket and a send timeout, each of these writes waits.
 */
static bool_t send_reply(SVCXPRT *xprt, peer_config *config)
{
	struct timeval wait = { WRITE_TIMEOUT_MS / MS_PER_S,
				WRITE_TIMEOUT_MS % MS_PER_S * US_PER_MS };
	int flags = fcntl(xprt->xp_fd, F_GETFL);
	bool_t sent;

	setsockopt(xprt->xp_fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
	fcntl(xprt->xp_fd, F_SETFL, flags & ~O_NONBLOCK);
	sent = svc_sendreply(xprt, (xdrproc_t)xdr_peer_config, config);
	fcntl(xprt->xp_fd, F_SETFL, flags);
	/* A connection that takes no answer is shut down. */
	if (!sent)
		shutdown(xprt->xp_fd, SHUT_RDWR);
	return sent;
}

static void answer_fetch(struct peer_listen *p, SVCXPRT *xprt)
{
	peer_fetch_args args = { 0 };
	peer_config config;
	struct cfg_delta *delta;

	if (!svc_getargs(xprt, (xdrproc_t)xdr_peer_fetch_args, &args)) {
		metric_add(METRIC_PEER_ERRORS, 1);
		svcerr_decode(xprt);
		return;
	}
	metric_add(METRIC_PEER_MESSAGES_RECEIVED, 1);
	metric_add(METRIC_PEER_RECEIVED_BYTES,
		   PEER_MSG_CALL_HEADER_BYTES + sizeof(args));
	delta = cfg_revision_delta(p->revision, args.rev, args.change,
				   args.after_rev, PEER_MSG_PAGE_BYTES);
	peer_msg_from_delta(delta, &config);
	if (send_reply(xprt, &config)) {
		metric_add(METRIC_PEER_MESSAGES_SENT, 1);
		metric_add(METRIC_PEER_SENT_BYTES,
			   xdr_sizeof((xdrproc_t)xdr_peer_config, &config));
	} else {
		metric_add(METRIC_PEER_ERRORS, 1);
	}
	peer_msg_config_free(&config);
	cfg_delta_free(delta);
	svc_freeargs(xprt, (xdrproc_t)xdr_peer_fetch_args, &args);
}

static void dispatch(struct svc_req *request, SVCXPRT *xprt)
{
	int over_udp = xprt == only_listener->udp;

	if (request->rq_proc == HEARTBEAT && over_udp)
		receive_heartbeat(only_listener, xprt);
	else if (request->rq_proc == FETCH_CONFIG && !over_udp)
		answer_fetch(only_listener, xprt);
	else if (request->rq_proc == NULLPROC)
		svc_sendreply(xprt, PEER_MSG_NO_BODY, NULL);
	else
		svcerr_noproc(xprt);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct peer_listen *p = ctx;

	if (m->type == MSG_CONFIG) {
		cfg_revision_unref(p->revision);
		p->revision = m->body;
	} else if (m->drop) {
		m->drop(m->body);
	}
}

static void clear_wake(struct peer_listen *p)
{
	uint64_t count;

	while (read(p->wake_fd, &count, sizeof(count)) > 0)
		;
}

/* Copies the RPC library's poll set behind a first entry for wake_fd. */
static struct pollfd *poll_set(const struct peer_listen *p, nfds_t *count)
{
	struct pollfd *set =
		util_alloc((size_t)svc_max_pollfd + 1, sizeof(*set));

	set[0] = (struct pollfd){ .fd = p->wake_fd, .events = POLLIN };
	if (svc_max_pollfd > 0)
		memcpy(&set[1], svc_pollfd,
		       (size_t)svc_max_pollfd * sizeof(*set));
	*count = (nfds_t)svc_max_pollfd + 1;
	return set;
}

static void run(void *ctx, struct duty *d)
{
	struct peer_listen *p = ctx;

	peer_block_sigpipe();
	while (!duty_stopping(d)) {
		struct pollfd *set CLEANUP_FREE = NULL;
		nfds_t count;
		int ready;

		duty_poll(d, on_message, p);
		if (duty_stopping(d))
			break;
		set = poll_set(p, &count);
		ready = poll(set, count, -1);
		if (ready <= 0)
			continue;
		if (set[0].revents) {
			clear_wake(p);
			ready--;
		}
		if (ready > 0)
			svc_getreq_poll(&set[1], ready);
	}
}

static void wake(void *ctx)
{
	struct peer_listen *p = ctx;
	uint64_t one = 1;

	/*
	 * The write fails only if the counter is full, which wakes the thread
	 * too.
	 */
	if (write(p->wake_fd, &one, sizeof(one)) < 0)
		return;
}

static int bound_socket(const char *address, uint16_t port, int type)
{
	struct sockaddr_storage name;
	socklen_t len = addr_parse(address, port, &name);
	int enabled = 1;
	int fd;

	if (!len)
		return -1;
	fd = socket(name.ss_family, type | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	/* Lets a restarted host bind its port again at once. */
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled,
			   sizeof(enabled));
	if (bind(fd, (struct sockaddr *)&name, len) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Accepted connections inherit the options of the listening socket. */
static void set_tcp_options(int fd)
{
	sock_set_keepalive(fd, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S,
			   KEEPALIVE_PROBES);
}

/*
 * Binds a UDP and a TCP socket to the same port number, with @port 0 to any
 * that is free for both. Returns 1, or 0 if that fails.
 */
static int open_sockets(const char *address, uint16_t port, int *udp, int *tcp)
{
	uint32_t i;

	for (i = 0; i < (port ? 1 : BIND_ATTEMPTS); i++) {
		*tcp = bound_socket(address, port, SOCK_STREAM);
		if (*tcp < 0)
			return 0;
		*udp = bound_socket(address, addr_local_port(*tcp), SOCK_DGRAM);
		if (*udp >= 0)
			return 1;
		close(*tcp);
	}
	return 0;
}

static enum err_code open_transports(struct peer_listen *p, const char *address,
				     uint16_t port, struct err *err)
{
	int request_bytes = REQUEST_BYTES_MAX;
	int buffer_bytes = RECEIVE_BUFFER_BYTES;
	int udp = -1;
	int tcp = -1;

	if (!open_sockets(address, port, &udp, &tcp))
		return err_set(err, ERR_IO,
			       "cannot bind UDP and TCP sockets to %s port %u",
			       address, port);
	set_tcp_options(tcp);
	setsockopt(udp, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	/* With this limit reads never wait for the rest of a request. */
	rpc_control(RPC_SVC_CONNMAXREC_SET, &request_bytes);
	if (listen(tcp, BACKLOG) == 0) {
		p->udp = svc_dg_create(udp, 0, 0);
		p->tcp = svc_vc_create(tcp, 0, 0);
	}
	if (!p->udp)
		close(udp);
	if (!p->tcp)
		close(tcp);
	if (!p->udp || !p->tcp ||
	    !svc_reg(p->udp, COWSLIPPOINT_PEER, PEER_V1, dispatch, NULL) ||
	    !svc_reg(p->tcp, COWSLIPPOINT_PEER, PEER_V1, dispatch, NULL))
		return err_set(err, ERR_IO,
			       "cannot create the RPC server on %s port %u",
			       address, port);
	p->port = addr_local_port(udp);
	return ERR_OK;
}

struct peer_listen *peer_listen_new(const char *address, uint16_t port,
				    struct ring *control, struct err *err)
{
	struct peer_listen *p;

	if (only_listener) {
		err_set(err, ERR_INTERNAL,
			"this process has a peer_listen duty already");
		return NULL;
	}
	p = util_alloc(1, sizeof(*p));
	only_listener = p;
	p->control = control;
	p->revision = cfg_revision_new(cfg_head_new());
	p->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (p->wake_fd < 0)
		err_set(err, ERR_IO, "cannot create an eventfd");
	else
		p->duty = duty_new("peer_listen", RING_CAPACITY, wake, p, err);
	if (!p->duty || open_transports(p, address, port, err) != ERR_OK) {
		peer_listen_free(p);
		return NULL;
	}
	return p;
}

uint16_t peer_listen_port(const struct peer_listen *p)
{
	return p->port;
}

enum err_code peer_listen_start(struct peer_listen *p, struct err *err)
{
	return duty_start_loop(p->duty, run, p, err);
}

struct ring *peer_listen_ring(struct peer_listen *p)
{
	return duty_ring(p->duty);
}

void peer_listen_stop(struct peer_listen *p)
{
	duty_stop(p->duty);
}

void peer_listen_join(struct peer_listen *p)
{
	duty_join(p->duty);
}

void peer_listen_free(struct peer_listen *p)
{
	if (!p)
		return;
	svc_unreg(COWSLIPPOINT_PEER, PEER_V1);
	if (p->udp)
		svc_destroy(p->udp);
	if (p->tcp)
		svc_destroy(p->tcp);
	duty_free(p->duty);
	if (p->wake_fd >= 0)
		close(p->wake_fd);
	cfg_revision_unref(p->revision);
	only_listener = NULL;
	free(p);
}

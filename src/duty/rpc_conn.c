#include "duty/rpc_conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/sock.h"
#include "codec/peer_rpc.h"

#define READ_BYTES 16384
/* A peer that went away without closing is noticed within seconds. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

struct rpc_conn {
	struct poller *poller;
	struct poller_item item;
	struct rpc_conn_ops ops;
	struct buf in;
	struct buf out;
	/* Bytes of @out that the socket has taken. */
	size_t out_sent_bytes;
	/*
	 * Flag that rpc_conn_free() sets; NULL except while a record is
	 * handled.
	 */
	int *is_freed;
};

void rpc_conn_free(struct rpc_conn *c)
{
	if (!c)
		return;
	if (c->is_freed)
		*c->is_freed = 1;
	poller_remove(c->poller, &c->item);
	close(c->item.fd);
	buf_free(&c->in);
	buf_free(&c->out);
	free(c);
}

struct buf *rpc_conn_output(struct rpc_conn *c)
{
	return &c->out;
}

size_t rpc_conn_unsent_bytes(const struct rpc_conn *c)
{
	return c->out.len_bytes - c->out_sent_bytes;
}

void rpc_conn_flush(struct rpc_conn *c)
{
	while (c->out_sent_bytes < c->out.len_bytes) {
		ssize_t n = send(c->item.fd, c->out.data + c->out_sent_bytes,
				 c->out.len_bytes - c->out_sent_bytes,
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		/* If the connection has failed, the poller reports it. */
		if (n < 0)
			break;
		c->out_sent_bytes += (size_t)n;
	}
	if (c->out_sent_bytes == c->out.len_bytes) {
		/* The buffer of a large answer must not be kept. */
		buf_free(&c->out);
		c->out_sent_bytes = 0;
		poller_set_events(c->poller, &c->item, EPOLLIN | EPOLLRDHUP);
		return;
	}
	poller_set_events(c->poller, &c->item, EPOLLIN | EPOLLRDHUP | EPOLLOUT);
}

/*
 * Passes on each complete record. Returns 0 when a handler has freed @c: for a
 * record, or in on_lost() after a record that is not accepted; else 1.
 */
static int handle_records(struct rpc_conn *c, int64_t now_us)
{
	size_t used = 0;
	int is_freed = 0;
	int64_t n;

	while ((n = peer_rpc_record_bytes(c->in.data + used,
					  c->in.len_bytes - used,
					  c->ops.record_bytes_max)) > 0) {
		char *data = c->in.data + used + PEER_RPC_MARK_BYTES;

		used += (size_t)n;
		c->is_freed = &is_freed;
		c->ops.on_record(c->ops.ctx, data,
				 (size_t)n - PEER_RPC_MARK_BYTES, now_us);
		if (is_freed)
			return 0;
		c->is_freed = NULL;
	}
	if (n < 0) {
		c->ops.on_lost(c->ops.ctx, now_us);
		return 0;
	}
	if (used == c->in.len_bytes) {
		buf_free(&c->in);
		return 1;
	}
	memmove(c->in.data, c->in.data + used, c->in.len_bytes - used);
	c->in.len_bytes -= used;
	return 1;
}

static void on_readable(struct rpc_conn *c, int64_t now_us)
{
	char data[READ_BYTES];
	ssize_t n = recv(c->item.fd, data, sizeof(data), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		c->ops.on_lost(c->ops.ctx, now_us);
		return;
	}
	buf_add(&c->in, data, (size_t)n);
	handle_records(c, now_us);
}

static void on_event(void *ctx, uint32_t events, int64_t now_us)
{
	struct rpc_conn *c = ctx;

	if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		on_readable(c, now_us);
	else if (events & EPOLLOUT)
		rpc_conn_flush(c);
}

struct rpc_conn *rpc_conn_new(struct poller *p, int fd,
			      const struct rpc_conn_ops *ops)
{
	struct rpc_conn *c = util_alloc(1, sizeof(*c));
	struct err err = { 0 };
	int one = 1;

	c->poller = p;
	c->ops = *ops;
	c->item = (struct poller_item){ .fd = fd, .fn = on_event, .ctx = c };
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	sock_set_keepalive(fd, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S,
			   KEEPALIVE_PROBES);
	if (poller_add(p, &c->item, EPOLLIN | EPOLLRDHUP, &err) != ERR_OK) {
		close(fd);
		free(c);
		return NULL;
	}
	return c;
}

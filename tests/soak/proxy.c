#include "proxy.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/poller.h"

#define READ_BYTES 16384
/* Interval at which new modes are applied and delayed data is written. */
#define ROUND_US (2 * US_PER_MS)
/* Limit of the unwritten data of one direction; above it, a pair is reset. */
#define PENDING_MAX (1024 * 1024)

/* One of the two sockets of a pair. */
struct pipe_end {
	struct pair *pair;
	struct poller_item item;
	/* Data read from the other end, to be written here from due_us on. */
	struct buf out;
	int64_t due_us;
	int is_open;
};

/*
 * A connection through a link: ends[0] is the client's, ends[1] the server's.
 */
struct pair {
	struct proxy_link *link;
	struct pipe_end ends[2];
	/* 1: drops all data, for as long as it is open. */
	int is_silent;
};

struct proxy_link {
	struct proxy *proxy;
	struct poller_item listener;
	uint16_t port;
	uint16_t to_port;
	_Atomic int mode;
	_Atomic uint32_t delay_ms;
	/* Last mode that was applied to the open connections. */
	int applied_mode;
	/* Elements are struct pair. */
	GPtrArray *pairs;
};

struct proxy {
	struct poller *poller;
	pthread_t thread;
	pthread_mutex_t lock;
	_Atomic int stopping;
	/* Elements are struct proxy_link. */
	GPtrArray *links;
};

static const char *const mode_names[PROXY_MODE_COUNT] = {
#define DEF(id, name) name,
	PROXY_MODES(DEF)
#undef DEF
};

const char *proxy_mode_name(enum proxy_mode mode)
{
	return mode_names[mode];
}

static void end_close(struct pipe_end *e, int reset)
{
	struct linger abort_now = { .l_onoff = 1, .l_linger = 0 };

	if (!e->is_open)
		return;
	e->is_open = 0;
	if (reset)
		setsockopt(e->item.fd, SOL_SOCKET, SO_LINGER, &abort_now,
			   sizeof(abort_now));
	poller_remove(e->pair->link->proxy->poller, &e->item);
	close(e->item.fd);
	buf_free(&e->out);
}

static void pair_close(struct pair *p, int reset)
{
	end_close(&p->ends[0], reset);
	end_close(&p->ends[1], reset);
}

static void write_out(struct pipe_end *e, int64_t now_us)
{
	ssize_t n;

	if (!e->is_open || !e->out.len_bytes || now_us < e->due_us)
		return;
	n = send(e->item.fd, e->out.data, e->out.len_bytes,
		 MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0 && errno != EAGAIN) {
		pair_close(e->pair, 1);
		return;
	}
	if (n <= 0)
		return;
	memmove(e->out.data, e->out.data + n, e->out.len_bytes - (size_t)n);
	e->out.len_bytes -= (size_t)n;
}

static int drops_data(const struct pair *p, int from_caller)
{
	int mode = p->link->mode;

	return p->is_silent || mode == PROXY_CUT ||
	       (mode == PROXY_ONE_WAY && !from_caller);
}

static void on_end(void *ctx, uint32_t events, int64_t now_us)
{
	struct pipe_end *e = ctx;
	struct pair *p = e->pair;
	int from_caller = e == &p->ends[0];
	struct pipe_end *other = &p->ends[from_caller];
	char data[READ_BYTES];
	ssize_t n = recv(e->item.fd, data, sizeof(data), MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (drops_data(p, from_caller)) {
		/* The other end does not learn of a close either. */
		if (n <= 0)
			end_close(e, 0);
		return;
	}
	if (n <= 0) {
		/* Data that was read before the close is delivered first. */
		other->due_us = 0;
		write_out(other, now_us);
		pair_close(p, n < 0);
		return;
	}
	if (other->out.len_bytes > PENDING_MAX) {
		pair_close(p, 1);
		return;
	}
	if (!other->out.len_bytes)
		other->due_us = now_us + (p->link->mode == PROXY_DELAY
						  ? p->link->delay_ms *
							    (int64_t)US_PER_MS
						  : 0);
	buf_add(&other->out, data, (size_t)n);
	write_out(other, now_us);
}

static int connect_to(uint16_t port)
{
	struct sockaddr_storage sa;
	socklen_t len = addr_parse("127.0.0.1", port, &sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0 && connect(fd, (struct sockaddr *)&sa, len) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

static void add_end(struct pair *p, int i, int fd)
{
	struct pipe_end *e = &p->ends[i];
	struct err err = { 0 };

	e->pair = p;
	e->item = (struct poller_item){ .fd = fd, .fn = on_end, .ctx = e };
	e->is_open = poller_add(p->link->proxy->poller, &e->item, EPOLLIN,
				&err) == ERR_OK;
	if (!e->is_open)
		close(fd);
}

static void on_listener(void *ctx, uint32_t events, int64_t now_us)
{
	struct proxy_link *l = ctx;
	int fd = accept4(l->listener.fd, NULL, NULL, SOCK_CLOEXEC);
	struct pair *p;
	int to;

	if (fd < 0)
		return;
	to = l->mode == PROXY_RESET ? -1 : connect_to(l->to_port);
	p = util_alloc(1, sizeof(*p));
	p->link = l;
	add_end(p, 0, fd);
	if (to >= 0)
		add_end(p, 1, to);
	else
		end_close(&p->ends[0], 1);
	g_ptr_array_add(l->pairs, p);
}

static void apply_mode(struct proxy_link *l)
{
	int mode = l->mode;
	guint i;

	if (mode == l->applied_mode)
		return;
	l->applied_mode = mode;
	for (i = 0; i < l->pairs->len; i++) {
		struct pair *p = g_ptr_array_index(l->pairs, i);

		if (mode == PROXY_RESET)
			pair_close(p, 1);
		else if (mode == PROXY_SILENT)
			p->is_silent = 1;
	}
}

static void serve_link(struct proxy_link *l, int64_t now_us)
{
	guint i = 0;

	apply_mode(l);
	while (i < l->pairs->len) {
		struct pair *p = g_ptr_array_index(l->pairs, i);

		write_out(&p->ends[0], now_us);
		write_out(&p->ends[1], now_us);
		if (p->ends[0].is_open || p->ends[1].is_open) {
			i++;
			continue;
		}
		free(p);
		g_ptr_array_remove_index_fast(l->pairs, i);
	}
}

static void *run(void *ctx)
{
	struct proxy *p = ctx;
	guint i;

	while (!p->stopping) {
		poller_wait(p->poller, ROUND_US);
		pthread_mutex_lock(&p->lock);
		for (i = 0; i < p->links->len; i++)
			serve_link(g_ptr_array_index(p->links, i),
				   clock_now_us());
		pthread_mutex_unlock(&p->lock);
	}
	return NULL;
}

struct proxy *proxy_new(struct err *err)
{
	struct proxy *p = util_alloc(1, sizeof(*p));

	p->poller = poller_new(err);
	p->links = g_ptr_array_new();
	pthread_mutex_init(&p->lock, NULL);
	pthread_create(&p->thread, NULL, run, p);
	return p;
}

static void link_free(struct proxy_link *l)
{
	guint i;

	for (i = 0; i < l->pairs->len; i++) {
		pair_close(g_ptr_array_index(l->pairs, i), 1);
		free(g_ptr_array_index(l->pairs, i));
	}
	g_ptr_array_free(l->pairs, TRUE);
	poller_remove(l->proxy->poller, &l->listener);
	close(l->listener.fd);
	free(l);
}

void proxy_free(struct proxy *p)
{
	guint i;

	p->stopping = 1;
	pthread_join(p->thread, NULL);
	for (i = 0; i < p->links->len; i++)
		link_free(g_ptr_array_index(p->links, i));
	g_ptr_array_free(p->links, TRUE);
	poller_free(p->poller);
	pthread_mutex_destroy(&p->lock);
	free(p);
}

struct proxy_link *proxy_add(struct proxy *p, const char *address,
			     uint16_t port, uint16_t to_port, struct err *err)
{
	struct proxy_link *l = util_alloc(1, sizeof(*l));
	struct sockaddr_storage sa;
	socklen_t len = addr_parse(address, port, &sa);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	l->proxy = p;
	l->to_port = to_port;
	l->pairs = g_ptr_array_new();
	l->listener =
		(struct poller_item){ .fd = fd, .fn = on_listener, .ctx = l };
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, len) < 0 || listen(fd, 256) < 0 ||
	    poller_add(p->poller, &l->listener, EPOLLIN, err) != ERR_OK) {
		err_set(err, ERR_IO, "proxy cannot listen on %s:%u: %s",
			address, port, strerror(errno));
		close(fd);
		g_ptr_array_free(l->pairs, TRUE);
		free(l);
		return NULL;
	}
	l->port = addr_local_port(fd);
	pthread_mutex_lock(&p->lock);
	g_ptr_array_add(p->links, l);
	pthread_mutex_unlock(&p->lock);
	return l;
}

uint16_t proxy_port(const struct proxy_link *l)
{
	return l->port;
}

void proxy_set(struct proxy_link *l, enum proxy_mode mode, uint32_t delay_ms)
{
	l->delay_ms = delay_ms;
	l->mode = mode;
}

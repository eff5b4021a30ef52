#include "fake_http.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/addr.h"

#define CONNECTIONS_MAX 256
#define READ_BYTES 65536

struct connection {
	int fd;
	uint32_t requests;
	struct buf in;
};

struct fake_http {
	fake_http_fn *fn;
	void *ctx;
	int listen_fd;
	int stop_fd;
	uint32_t connection_count;
	struct connection connections[CONNECTIONS_MAX];
	uint32_t requests;
	pthread_t thread;
};

static void close_connection(struct connection *c)
{
	close(c->fd);
	c->fd = -1;
	buf_free(&c->in);
}

static void send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		data += n;
		len -= (size_t)n;
	}
}

/* Handles the whole request in the buffer of @c, whose body begins at @body. */
static void answer(struct fake_http *f, struct connection *c, char *body)
{
	struct buf fields CLEANUP_BUF = { 0 };
	struct fake_request r = { .connection = (uint32_t)(c - f->connections),
				  .on_connection = c->requests++,
				  .number = f->requests++,
				  .body = body,
				  .fields = &fields };
	struct buf out CLEANUP_BUF = { 0 };
	struct buf head CLEANUP_BUF = { 0 };
	uint32_t status = 200;
	char *end = strstr(c->in.data, " HTTP/");

	if (end)
		*end = '\0';
	util_copy_str(r.line, sizeof(r.line), c->in.data);
	switch (f->fn(f->ctx, &r, &status, &out)) {
	case FAKE_REPLY:
		buf_addf(&head,
			 "HTTP/1.1 %u X\r\n%sContent-Length: %zu\r\n\r\n",
			 status, fields.data ? fields.data : "", out.len_bytes);
		send_all(c->fd, head.data, head.len_bytes);
		send_all(c->fd, out.data, out.len_bytes);
		break;
	case FAKE_RAW:
		send_all(c->fd, out.data, out.len_bytes);
		close_connection(c);
		break;
	case FAKE_CLOSE:
		close_connection(c);
		break;
	case FAKE_SILENT:
		break;
	}
	buf_free(&c->in);
}

/* Reads from @c and handles its request if it is complete. */
static void take_input(struct fake_http *f, struct connection *c)
{
	char data[READ_BYTES];
	ssize_t n = recv(c->fd, data, sizeof(data), 0);
	const char *length;
	char *body;
	size_t body_bytes = 0;

	if (n <= 0) {
		close_connection(c);
		return;
	}
	buf_add(&c->in, data, (size_t)n);
	body = strstr(c->in.data, "\r\n\r\n");
	if (!body)
		return;
	body += 4;
	length = strstr(c->in.data, "Content-Length: ");
	if (length && length < body)
		body_bytes = g_ascii_strtoull(length + 16, NULL, 10);
	if (c->in.len_bytes - (size_t)(body - c->in.data) >= body_bytes)
		answer(f, c, body);
}

static void take_connection(struct fake_http *f)
{
	int fd = accept(f->listen_fd, NULL, NULL);

	if (fd < 0 || f->connection_count == CONNECTIONS_MAX)
		g_error("fake HTTP server cannot accept");
	f->connections[f->connection_count++] = (struct connection){ .fd = fd };
}

static void *run(void *arg)
{
	struct fake_http *f = arg;

	for (;;) {
		struct pollfd set[CONNECTIONS_MAX + 2] = {
			{ .fd = f->stop_fd, .events = POLLIN },
			{ .fd = f->listen_fd, .events = POLLIN },
		};
		uint32_t n = f->connection_count;
		uint32_t i;

		for (i = 0; i < n; i++)
			set[i + 2] = (struct pollfd){ f->connections[i].fd,
						      POLLIN, 0 };
		poll(set, n + 2, -1);
		if (set[0].revents)
			return NULL;
		for (i = 0; i < n; i++) {
			if (set[i + 2].revents)
				take_input(f, &f->connections[i]);
		}
		if (set[1].revents)
			take_connection(f);
	}
}

struct fake_http *fake_http_new(fake_http_fn *fn, void *ctx)
{
	struct fake_http *f = util_alloc(1, sizeof(*f));
	struct sockaddr_storage at;
	socklen_t len = addr_parse("127.0.0.1", 0, &at);

	f->fn = fn;
	f->ctx = ctx;
	f->stop_fd = eventfd(0, EFD_CLOEXEC);
	f->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(f->listen_fd, (struct sockaddr *)&at, len) != 0 ||
	    listen(f->listen_fd, CONNECTIONS_MAX) != 0)
		g_error("fake HTTP server cannot listen");
	if (pthread_create(&f->thread, NULL, run, f) != 0)
		g_error("fake HTTP server cannot start");
	return f;
}

uint16_t fake_http_port(const struct fake_http *f)
{
	return addr_local_port(f->listen_fd);
}

void fake_http_free(struct fake_http *f)
{
	uint64_t one = 1;
	uint32_t i;

	if (write(f->stop_fd, &one, sizeof(one)) != sizeof(one))
		g_error("fake HTTP server cannot stop");
	pthread_join(f->thread, NULL);
	for (i = 0; i < f->connection_count; i++) {
		if (f->connections[i].fd >= 0)
			close_connection(&f->connections[i]);
	}
	close(f->listen_fd);
	close(f->stop_fd);
	free(f);
}

#include "caller.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/clock.h"

#define HEAD_BYTES_MAX 65536
#define BODY_BYTES_MAX 1048576
#define CONNECT_MS 1000

void caller_init(struct caller *c)
{
	struct http1_limits limits = { HEAD_BYTES_MAX, BODY_BYTES_MAX };

	c->fd = -1;
	http1_init(&c->answer, HTTP1_RESPONSE, &limits);
}

void caller_close(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

void caller_clear(struct caller *c)
{
	caller_close(c);
	http1_clear(&c->answer);
}

static int wait_for(int fd, short events, int64_t until_us)
{
	struct pollfd p = { fd, events, 0 };
	int64_t left_us = until_us - clock_now_us();

	return left_us > 0 && poll(&p, 1, (int)(left_us / US_PER_MS) + 1) == 1;
}

static int open_socket(const char *address, uint16_t port)
{
	struct sockaddr_storage sa;
	socklen_t len = addr_parse(address, port, &sa);
	socklen_t error_len = sizeof(int);
	int error = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if ((connect(fd, (struct sockaddr *)&sa, len) == 0 ||
	     errno == EINPROGRESS) &&
	    wait_for(fd, POLLOUT, clock_now_us() + CONNECT_MS * US_PER_MS) &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &error_len) == 0 &&
	    !error)
		return fd;
	close(fd);
	return -1;
}

static enum caller_result read_answer(struct caller *c, int64_t until_us)
{
	char data[16384];
	size_t got = 0;

	while (wait_for(c->fd, POLLIN, until_us)) {
		ssize_t n = recv(c->fd, data, sizeof(data), 0);
		size_t used;

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n <= 0)
			return got ? CALLER_BROKEN : CALLER_CLOSED;
		got += (size_t)n;
		used = http1_parse(&c->answer, data, (size_t)n);
		if (c->answer.state == HTTP1_BAD || used < (size_t)n)
			return CALLER_GARBAGE;
		if (c->answer.state == HTTP1_COMPLETE)
			return CALLER_OK;
	}
	return CALLER_TIMEOUT;
}

enum caller_result caller_open(struct caller *c, const char *address,
			       uint16_t port)
{
	if (c->fd < 0)
		c->fd = open_socket(address, port);
	return c->fd < 0 ? CALLER_REFUSED : CALLER_OK;
}

enum caller_result caller_read(struct caller *c, uint32_t timeout_ms)
{
	int64_t until_us = clock_now_us() + (int64_t)timeout_ms * US_PER_MS;
	enum caller_result result;

	http1_reset(&c->answer);
	result = read_answer(c, until_us);
	if (result != CALLER_OK || !http1_keep_alive(&c->answer))
		caller_close(c);
	return result;
}

enum caller_result caller_exchange(struct caller *c, const char *address,
				   uint16_t port, const char *text,
				   uint32_t timeout_ms)
{
	if (caller_open(c, address, port) != CALLER_OK)
		return CALLER_REFUSED;
	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL) < 0) {
		caller_close(c);
		return CALLER_CLOSED;
	}
	return caller_read(c, timeout_ms);
}

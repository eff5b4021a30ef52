#include "loopback.h"

#include <glib.h>
#include <sys/socket.h>

#include "base/addr.h"

#define LISTEN_QUEUE 16

int loopback_listen(uint16_t *port)
{
	struct sockaddr_storage sa;
	socklen_t len = addr_parse("127.0.0.1", 0, &sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, len), ==, 0);
	g_assert_cmpint(listen(fd, LISTEN_QUEUE), ==, 0);
	*port = addr_local_port(fd);
	return fd;
}

int loopback_connect(uint16_t port)
{
	struct sockaddr_storage sa;
	socklen_t len = addr_parse("127.0.0.1", port, &sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, len), ==, 0);
	return fd;
}

#include "loopback.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"

#define LISTEN_QUEUE 16
/* Ports below those that the kernel gives to outgoing connections. */
#define FREE_PORTS_FIRST 20000
#define FREE_PORTS_COUNT 12000
/* Processes with numbers that follow each other begin this far apart. */
#define FREE_PORTS_STEP 16

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

static int is_free(uint16_t port, int type)
{
	struct sockaddr_storage sa;
	socklen_t len = addr_parse("127.0.0.1", port, &sa);
	int fd = socket(AF_INET, type, 0);
	int result = bind(fd, (struct sockaddr *)&sa, len);

	close(fd);
	return result == 0;
}

static int are_free(uint16_t first, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint16_t port = (uint16_t)(first + i);

		if (!is_free(port, SOCK_STREAM) || !is_free(port, SOCK_DGRAM))
			return 0;
	}
	return 1;
}

uint16_t loopback_free_ports(uint32_t count)
{
	uint32_t start = (uint32_t)getpid() * FREE_PORTS_STEP;
	uint32_t i;

	for (i = 0; i < FREE_PORTS_COUNT; i += FREE_PORTS_STEP) {
		uint16_t first = (uint16_t)(FREE_PORTS_FIRST +
					    (start + i) % FREE_PORTS_COUNT);

		if (are_free(first, count))
			return first;
	}
	g_error("no %u free ports", count);
	return 0;
}

#include "base/sock.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"

void sock_set_keepalive(int fd, int32_t idle_s, int32_t interval_s,
			int32_t probes)
{
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

int sock_start_connect(const char *address, uint16_t port)
{
	struct sockaddr_storage sa;
	socklen_t len = addr_parse(address, port, &sa);
	int fd;

	if (!len)
		return -1;
	fd = socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&sa, len) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

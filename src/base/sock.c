#include "base/sock.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void sock_keepalive(int fd, int32_t idle_s, int32_t interval_s, int32_t probes)
{
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

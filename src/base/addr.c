#include "base/addr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

socklen_t addr_fill(const char *address, uint16_t port,
		    struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, address, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		return sizeof(*v4);
	}
	if (inet_pton(AF_INET6, address, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		return sizeof(*v6);
	}
	return 0;
}

uint16_t addr_port(int fd)
{
	struct sockaddr_storage at;
	socklen_t len = sizeof(at);

	if (getsockname(fd, (struct sockaddr *)&at, &len) != 0)
		return 0;
	if (at.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&at)->sin6_port);
	return ntohs(((struct sockaddr_in *)&at)->sin_port);
}

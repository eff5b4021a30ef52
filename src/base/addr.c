#include "base/addr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

socklen_t addr_parse(const char *address, uint16_t port,
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

uint16_t addr_parse_port(const char *text)
{
	size_t digits = strspn(text, "0123456789");
	unsigned long port;

	/* Five digits cannot overflow the number. */
	if (!digits || digits > 5 || text[digits])
		return 0;
	port = strtoul(text, NULL, 10);
	return port <= UINT16_MAX ? (uint16_t)port : 0;
}

int addr_is_numeric(const char *address)
{
	struct sockaddr_storage sa;

	return addr_parse(address, 0, &sa) > 0;
}

uint16_t addr_local_port(int fd)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} local = { .v6 = { 0 } };
	socklen_t len = sizeof(local);

	if (getsockname(fd, &local.any, &len) != 0)
		return 0;
	if (local.any.sa_family == AF_INET6)
		return ntohs(local.v6.sin6_port);
	return ntohs(local.v4.sin_port);
}

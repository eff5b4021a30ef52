/* Socket addresses from numeric IPv4 and IPv6 addresses. */
#ifndef ADDR_H
#define ADDR_H

#include <stdint.h>
#include <sys/socket.h>

#include "base/err.h"

/* Fills @out; returns its size in bytes, or 0 if @address is not numeric. */
socklen_t addr_parse(const char *address, uint16_t port,
		     struct sockaddr_storage *out);
/* Local port of socket @fd; 0 if it is not bound. */
uint16_t addr_local_port(int fd);

#endif

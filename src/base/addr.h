/* Socket addresses from IP numbers. */
#ifndef ADDR_H
#define ADDR_H

#include <stdint.h>
#include <sys/socket.h>

#include "base/err.h"

/* Fills @out; returns its size in bytes, or 0 when @address is no IP number. */
socklen_t addr_parse(const char *address, uint16_t port,
		     struct sockaddr_storage *out);
/* Port that @fd is bound to; 0 when there is none. */
uint16_t addr_local_port(int fd);

#endif

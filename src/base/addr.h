/* Socket addresses from numeric IPv4 and IPv6 addresses. */
#ifndef ADDR_H
#define ADDR_H

#include <stdint.h>
#include <sys/socket.h>

#include "base/err.h"

/* Fills @out; returns its size in bytes, or 0 if @address is not numeric. */
socklen_t addr_parse(const char *address, uint16_t port,
		     struct sockaddr_storage *out);
/*
 * Reads a port, 1 to 65535 in decimal digits only, or returns 0 if @text is
 * none.
 */
uint16_t addr_parse_port(const char *text);
/* 1 if @address is a numeric IPv4 or IPv6 address, else 0. */
int addr_is_numeric(const char *address);
/* Local port of socket @fd; 0 if it is not bound. */
uint16_t addr_local_port(int fd);

#endif

/* Sockets on loopback for tests; a failure ends the test. */
#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <stdint.h>

/* Listens on a free port, which is written to @port. */
int loopback_listen(uint16_t *port);
int loopback_connect(uint16_t port);
/*
 * Returns the first of @count consecutive ports that nobody uses now, neither
 * for UDP nor for TCP, and that the kernel does not give to outgoing
 * connections. Processes that ask at the same time get different ones.
 */
uint16_t loopback_free_ports(uint32_t count);

#endif

/* Sockets on loopback for tests; a failure ends the test. */
#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <stdint.h>

/* Listens on a free port, which is written to @port. */
int loopback_listen(uint16_t *port);
int loopback_connect(uint16_t port);

#endif

/* Sockets and socket options that several duties use. */
#ifndef SOCK_H
#define SOCK_H

#include <stdint.h>

/*
 * Turns on keepalive probes of a TCP connection: the first one after @idle_s
 * without traffic, then one every @interval_s. The connection fails after
 * @probes probes without an answer.
 */
void sock_set_keepalive(int fd, int32_t idle_s, int32_t interval_s,
			int32_t probes);

/*
 * Starts to connect to @address, a numeric IP address, without waiting. Returns
 * the socket, or -1 if it cannot start. The connection is set up or has failed
 * once the socket is writable.
 */
int sock_start_connect(const char *address, uint16_t port);

#endif

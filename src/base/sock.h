/* Sockets and socket options that several duties use. */
#ifndef SOCK_H
#define SOCK_H

#include <stdint.h>

/*
 * Probes a TCP connection without traffic after @idle_s, then every
 * @interval_s; it fails after @probes without an answer.
 */
void sock_set_keepalive(int fd, int32_t idle_s, int32_t interval_s,
			int32_t probes);

/*
 * Socket that connects to @address, an IP number, without waiting; -1 when it
 * cannot. Whether it did shows when it can be written to.
 */
int sock_start_connect(const char *address, uint16_t port);

#endif

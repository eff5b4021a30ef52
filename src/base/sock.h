/* Socket options that several duties set. */
#ifndef SOCK_H
#define SOCK_H

#include <stdint.h>

/*
 * Probes a TCP connection without traffic after @idle_s, then every
 * @interval_s; it fails after @probes without an answer.
 */
void sock_keepalive(int fd, int32_t idle_s, int32_t interval_s, int32_t probes);

#endif

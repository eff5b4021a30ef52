/*
 * The store duty: sends each MSG_KV_REQUEST to the platform's key-value service
 * and answers it with one MSG_KV_REPLY. It keeps to this host's part of the
 * store's rates, backs off during outages, and sends a read that got no answer
 * once more, because its connection may be silent. It repeats a watch that is
 * not one-shot, from the last revision, until something has changed, the
 * store's revision went back or timeout_ms is over.
 */
#ifndef STORE_H
#define STORE_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"

struct store;

struct store_options {
	/* IP number and port of the store. */
	char address[46];
	uint16_t port;
	/* Calls per second that the store grants to all hosts together. */
	uint32_t reads_per_s;
	uint32_t writes_per_s;
	uint64_t rng_seed;
};

struct store *store_new(const struct store_options *options, struct err *err);
enum err_code store_start(struct store *s, struct err *err);
struct ring *store_ring(struct store *s);
/* Sets the number of hosts that share the rates. Any thread. */
void store_set_host_count(struct store *s, uint32_t host_count);
void store_stop(struct store *s);
void store_join(struct store *s);
/* Drops the calls in flight; nothing is sent to their rings any more. */
void store_free(struct store *s);

#endif

/*
 * Changes of the platform's store as one host of the gateway passes them on to
 * another, and the entry by which such a host is known in the store.
 */
#ifndef STORE_UPDATE_H
#define STORE_UPDATE_H

#include <stdint.h>

#include "model/kv.h"
#include "model/name.h"

struct store_update {
	/* Position of the store (store_pos.h) once the pairs are applied. */
	uint64_t rev;
	/* 1: the pairs are all keys; a key not among them is deleted. */
	uint32_t is_full;
	/*
	 * 1: each key that was deleted since the position that was asked for is
	 * among the pairs, or the update is full and its source has missed no
	 * deletion. Hosts of earlier builds do not state it.
	 */
	uint32_t has_deletions;
	/* Monotonic time at which the store was last known to be at rev. */
	int64_t confirmed_us;
	/* Monotonic time of the store's return after an outage; 0: none. */
	int64_t regained_us;
	uint32_t pair_count;
	/* Pairs without a value are deleted keys. */
	struct kv_pair *pairs;
};

void store_update_free(struct store_update *u);

/* A host of the gateway, as its entry in the store describes it. */
struct host_entry {
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	/* Address for other hosts' calls; port 0: it takes none. */
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Processor time that the host has; 1000: one whole core. */
	uint32_t core_permille;
	/* Rate of its link; 0: unknown, and it takes no forwarded requests. */
	uint32_t link_mbps;
};

#endif

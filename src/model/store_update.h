/*
 * Keys of the platform's store as one host passes them on to another, and the
 * entry by which a host of the gateway makes itself known there.
 */
#ifndef STORE_UPDATE_H
#define STORE_UPDATE_H

#include <stdint.h>

#include "model/kv.h"
#include "model/name.h"

struct store_update {
	/* Revision of the store that the pairs lead to. */
	uint64_t rev;
	/* 1: the pairs are all keys; one that is not among them is gone. */
	uint32_t is_full;
	/* Steady time at which the store was known to be at @rev. */
	int64_t confirmed_us;
	/* Steady time at which the store came back into reach; 0: not lately. */
	int64_t regained_us;
	uint32_t pair_count;
	/* A NULL value is a key that was deleted. */
	struct kv_pair *pairs;
};

void store_update_free(struct store_update *u);

/* A host of the gateway, as its entry in the store describes it. */
struct host_entry {
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	/* Where other hosts reach it; port 0: nowhere. */
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Part of a processor core that it has. */
	uint32_t core_permille;
};

#endif

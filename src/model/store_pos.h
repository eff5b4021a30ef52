/*
 * Position in the history of the store. The store may come back from a copy that
 * is some seconds old; its revisions then go back and are given out again, and
 * its era rises by one. A position is the era and the revision in one number, so
 * that later positions are larger ones. Era 0 stands for a store, or a host, that
 * states none; its positions are its revisions.
 *
 * In the gateway's control duty, and in what it keeps and passes on, members
 * called rev hold positions. The calls to the store and the messages between
 * hosts have revisions, and eras beside them.
 */
#ifndef STORE_POS_H
#define STORE_POS_H

#include <stdint.h>

#define STORE_REV_BITS 44
#define STORE_REV_MAX ((1ULL << STORE_REV_BITS) - 1)
/* Positions fit into signed numbers. */
#define STORE_ERA_MAX ((1ULL << (63 - STORE_REV_BITS)) - 1)

/* @era up to STORE_ERA_MAX, @rev up to STORE_REV_MAX. */
static inline uint64_t store_pos(uint64_t era, uint64_t rev)
{
	return era << STORE_REV_BITS | rev;
}

static inline uint64_t store_pos_era(uint64_t pos)
{
	return pos >> STORE_REV_BITS;
}

static inline uint64_t store_pos_rev(uint64_t pos)
{
	return pos & STORE_REV_MAX;
}

#endif

/*
 * Which source a host follows for changes of the store. The hosts of a data
 * centre form a tree that each of them computes from the same entries: the
 * root watches the store, every other host follows its parent. A host that
 * cannot use its parent goes to the parent's parent and in the end to the
 * store; one that the store turns away goes to any other host. Pure; the time
 * comes in.
 */
#ifndef FLW_H
#define FLW_H

#include <stdint.h>

#include "model/store_update.h"

/* Hosts that follow one; bounds what a change costs its link. */
#define FLW_FANOUT 8
/* Hosts that may act for all, one after the other. */
#define FLW_RANKS 6
/* A host that failed or was behind is left alone for this long. */
#define FLW_PEER_AVOID_US (3 * (int64_t)US_PER_S)
/* The store is tried again this long after a failure. */
#define FLW_STORE_AVOID_US (1 * (int64_t)US_PER_S)

struct flw;

/* @self: this host as it makes itself known. */
struct flw *flw_new(const struct gw_host *self);
void flw_free(struct flw *f);

/* Adds a host or what changed of it; @h->name tells which. */
void flw_put(struct flw *f, const struct gw_host *h);
void flw_remove(struct flw *f, const char *name);
/*
 * A host to ask while no entries are known; its name is not. Settings may name
 * this host, too, which is ignored.
 */
void flw_seed(struct flw *f, const char *address, uint16_t port);

/* Host to follow at @now_us, or NULL for the store. */
const struct gw_host *flw_choose(struct flw *f, int64_t now_us);
/*
 * Hosts that act for all before this one does: the roots of the data centres
 * by name, then their next hosts. UINT32_MAX beyond FLW_RANKS, or while the
 * entry of this host is missing.
 */
uint32_t flw_rank(const struct flw *f, int64_t now_us);
/* The host that acts first, or NULL when it is this one or none is known. */
const struct gw_host *flw_chief(const struct flw *f, int64_t now_us);
/*
 * Root of this data centre as far as it is in reach, or NULL when it is this
 * host or none is known.
 */
const struct gw_host *flw_root(const struct flw *f, int64_t now_us);
/* Calls @fn for each other host of this data centre. */
void flw_each_near(const struct flw *f,
		   void (*fn)(void *ctx, const struct gw_host *h), void *ctx);
/* @name gave no answer, or one that is too old. */
void flw_peer_failed(struct flw *f, const char *name, int64_t now_us);
void flw_store_failed(struct flw *f, int64_t now_us);
void flw_store_ok(struct flw *f);

#endif

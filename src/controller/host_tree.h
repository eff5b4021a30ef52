/*
 * Which source a host follows for changes of the store. The hosts of a data
 * centre form a tree that each of them computes from the same entries: the
 * root watches the store, every other host follows its parent. A host that
 * cannot use its parent goes to the parent's parent and in the end to the
 * store; one that the store turns away goes to any other host. Pure; the time
 * comes in.
 */
#ifndef HOST_TREE_H
#define HOST_TREE_H

#include <stdint.h>

#include "model/store_update.h"

/* Hosts that follow one; bounds what a change costs its link. */
#define HOST_TREE_FANOUT 8
/* Hosts that may act for all, one after the other. */
#define HOST_TREE_RANKS_MAX 6
/* A host that failed or was behind is left alone for this long. */
#define HOST_TREE_PEER_AVOID_US (3 * (int64_t)US_PER_S)
/* The store is tried again this long after a failure. */
#define HOST_TREE_STORE_AVOID_US (1 * (int64_t)US_PER_S)

struct host_tree;

/* @self: this host as it makes itself known. */
struct host_tree *host_tree_new(const struct host_entry *self);
void host_tree_free(struct host_tree *f);

/* Adds a host or what changed of it; @h->name tells which. */
void host_tree_put(struct host_tree *f, const struct host_entry *h);
void host_tree_remove(struct host_tree *f, const char *name);
/*
 * A host to ask while no entries are known; its name is not. Settings may name
 * this host, too, which is ignored.
 */
void host_tree_add_seed(struct host_tree *f, const char *address,
			uint16_t port);

/* Host to follow at @now_us, or NULL for the store. */
const struct host_entry *host_tree_choose_source(struct host_tree *f,
						 int64_t now_us);
/*
 * Hosts that act for all before this one does: the roots of the data centres
 * by name, then their next hosts. UINT32_MAX beyond HOST_TREE_RANKS_MAX, or while the
 * entry of this host is missing.
 */
uint32_t host_tree_rank(const struct host_tree *f, int64_t now_us);
/* The host that acts first, or NULL when it is this one or none is known. */
const struct host_entry *host_tree_first_ranked(const struct host_tree *f,
						int64_t now_us);
/*
 * Root of this data centre as far as it is in reach, or NULL when it is this
 * host or none is known.
 */
const struct host_entry *host_tree_root(const struct host_tree *f,
					int64_t now_us);
/* Calls @fn for each other host of this data centre. */
void host_tree_each_dc_peer(const struct host_tree *f,
			    void (*fn)(void *ctx, const struct host_entry *h),
			    void *ctx);
/* @name gave no answer, or one that is too old. */
void host_tree_peer_failed(struct host_tree *f, const char *name,
			   int64_t now_us);
void host_tree_store_failed(struct host_tree *f, int64_t now_us);
void host_tree_store_ok(struct host_tree *f);

#endif

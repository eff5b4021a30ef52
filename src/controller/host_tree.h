/*
 * Chooses the source from which this host gets the changes of the store. The
 * hosts of a data centre form a tree that each of them computes from the same
 * host entries: the root watches the store, and every other host follows its
 * parent. A host that cannot reach its parent follows the parent's parent, and
 * so on up to the store; a host that cannot use the store either follows any
 * other host. Pure: the time is passed in.
 */
#ifndef HOST_TREE_H
#define HOST_TREE_H

#include <stdint.h>

#include "model/store_update.h"

/* Children of a host; bounds the network load of a change on the host. */
#define HOST_TREE_FANOUT 8
/* Hosts with a rank: the order in which they act for rollouts. */
#define HOST_TREE_RANKS_MAX 6
/*
 * A host whose answers may lack deletions is not followed for this long while
 * the store, or another host, can be.
 */
#define HOST_TREE_UNSOUND_AVOID_US (30 * (int64_t)US_PER_S)
/* A host that gave no answer or an old one is not used for this long. */
#define HOST_TREE_PEER_AVOID_US (3 * (int64_t)US_PER_S)
/* The store is not used for this long after a failure. */
#define HOST_TREE_STORE_AVOID_US (1 * (int64_t)US_PER_S)

struct host_tree;

/* @self: entry of this host, as the other hosts find it in the store. */
struct host_tree *host_tree_new(const struct host_entry *self);
void host_tree_free(struct host_tree *t);

/* Adds host @entry->name or replaces its entry, which was written. */
void host_tree_put(struct host_tree *t, const struct host_entry *entry,
		   int64_t now_us);
void host_tree_remove(struct host_tree *t, const char *name);
/*
 * Adds the address of a host to follow while no entries are known; it is named
 * ADDRESS:PORT until then. The address of this host, which settings may
 * contain, is ignored.
 */
void host_tree_add_seed(struct host_tree *t, const char *address,
			uint16_t port);

/*
 * Host to follow at @now_us, or NULL for the store; also NULL when no host can
 * be used either.
 */
const struct host_entry *host_tree_choose_source(struct host_tree *t,
						 int64_t now_us);
/*
 * Rank of this host: the number of hosts in reach that act for all hosts before
 * this one does. First come the roots of the data centres by name of the data
 * centre, then the hosts next to the roots. UINT32_MAX when the rank would be
 * HOST_TREE_RANKS_MAX or more, or while the entry of this host is missing.
 */
uint32_t host_tree_rank(const struct host_tree *t, int64_t now_us);
/* The host of rank 0, or NULL when it is this host or none is known. */
const struct host_entry *host_tree_first_ranked(const struct host_tree *t,
						int64_t now_us);
/*
 * Root of this data centre among the hosts in reach, or NULL when it is this
 * host or none is known.
 */
const struct host_entry *host_tree_root_peer(const struct host_tree *t,
					     int64_t now_us);
uint32_t host_tree_count(const struct host_tree *t);
/* Writes the entries of all hosts, this one included, to @out. */
void host_tree_fill(const struct host_tree *t, struct host_entry *out);
/* Calls @fn for each other host of this data centre that has a port. */
void host_tree_each_dc_peer(const struct host_tree *t,
			    void (*fn)(void *ctx,
				       const struct host_entry *host),
			    void *ctx);
/*
 * Host @name gave no answer to a call that was sent at @sent_us, or one that is
 * too old. It says nothing of a host whose entry was written since, for it may
 * have been restarted.
 */
void host_tree_peer_failed(struct host_tree *t, const char *name,
			   int64_t sent_us, int64_t now_us);
/*
 * The answers of host @name may lack deletions. It goes on counting as a host in
 * reach.
 */
void host_tree_peer_unsound(struct host_tree *t, const char *name,
			    int64_t now_us);
/* The store could not be read, or could be read again. */
void host_tree_store_failed(struct host_tree *t, int64_t now_us);
void host_tree_store_ok(struct host_tree *t);

#endif

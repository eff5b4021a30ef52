/*
 * Store state: this host's copy of the store's keys with their revisions.
 * Pure; the owner feeds it updates from the store and from other hosts, in
 * any order, and takes from it what another host lacks.
 */
#ifndef STORE_MIRROR_H
#define STORE_MIRROR_H

#include <stdint.h>

#include "model/store_update.h"

/*
 * Deleted keys that are remembered. A host that is further behind gets all
 * keys instead of the changes.
 */
#define STORE_MIRROR_DELETED_MAX 1024

struct store_mirror;

/* A key was written or, with value NULL, deleted. */
typedef void store_mirror_changed_fn(void *ctx, const struct kv_pair *p);

struct store_mirror *store_mirror_new(void);
void store_mirror_free(struct store_mirror *s);

/* Store revision up to which all changes are known; 0: nothing is known. */
uint64_t store_mirror_rev(const struct store_mirror *s);
/*
 * Takes what @u has beyond what is known and calls @fn for each such key. A
 * change that is older than the known one of its key is ignored, and so is a
 * full update that is older than the whole.
 */
void store_mirror_apply(struct store_mirror *s, const struct store_update *u,
			store_mirror_changed_fn *fn, void *ctx);
/* The changes after @rev, or all keys; the caller frees the result. */
struct store_update *store_mirror_changes_since(const struct store_mirror *s,
						uint64_t rev);

#endif

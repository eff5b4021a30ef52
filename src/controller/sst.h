/*
 * Store state: this host's copy of the store's keys with their revisions.
 * Pure; the owner feeds it updates from the store and from other hosts, in
 * any order, and takes from it what another host lacks.
 */
#ifndef SST_H
#define SST_H

#include <stdint.h>

#include "model/store_update.h"

/*
 * Deleted keys that are remembered. A host that is further behind gets all
 * keys instead of the changes.
 */
#define SST_DELETED_MAX 1024

struct sst;

/* A key was written or, with value NULL, deleted. */
typedef void sst_changed_fn(void *ctx, const struct kv_pair *p);

struct sst *sst_new(void);
void sst_free(struct sst *s);

/* Store revision up to which all changes are known; 0: nothing is known. */
uint64_t sst_rev(const struct sst *s);
/*
 * Takes what @u has beyond what is known and calls @fn for each such key. A
 * change that is older than the known one of its key is ignored, and so is a
 * full update that is older than the whole.
 */
void sst_apply(struct sst *s, const struct store_update *u, sst_changed_fn *fn,
	       void *ctx);
/* The changes after @rev, or all keys; the caller frees the result. */
struct store_update *sst_since(const struct sst *s, uint64_t rev);

#endif

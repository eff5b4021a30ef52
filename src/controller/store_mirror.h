/*
 * This host's copy of the store's keys with their revisions. Pure: the owner
 * applies updates from the store and from other hosts to it, in any order, and
 * takes from it the changes that another host lacks.
 */
#ifndef STORE_MIRROR_H
#define STORE_MIRROR_H

#include <stdint.h>

#include "model/store_update.h"

/*
 * Deleted keys that are remembered; when there are more, all of them are
 * forgotten. A host that lacks a deletion which is no longer remembered gets
 * all keys instead of the changes.
 */
#define STORE_MIRROR_DELETED_MAX 1024

struct store_mirror;

/* Key @p->key was written or, with @p->value NULL, deleted. */
typedef void store_mirror_changed_fn(void *ctx, const struct kv_pair *p);

struct store_mirror *store_mirror_new(void);
void store_mirror_free(struct store_mirror *m);

/* Position up to which the copy has all changes; 0: it is empty. */
uint64_t store_mirror_rev(const struct store_mirror *m);
/*
 * Applies those changes of @u that are newer than the copy's version of their
 * key, and calls @fn for each of them. A full update also deletes the keys that
 * it does not list, unless they are newer; one that is older than the copy's
 * position is ignored as a whole.
 *
 * If the update is of a later era, what it lists holds at once, but a key that
 * is missing from it may only be so because its writer has not written it again:
 * it stays until store_mirror_drop_missing(), unless it is written or deleted
 * before. Such an update has to be full; another one is ignored.
 */
void store_mirror_apply(struct store_mirror *m, const struct store_update *u,
			store_mirror_changed_fn *fn, void *ctx);
/* Keys that were missing when the store came back and are still kept. */
uint32_t store_mirror_missing_count(const struct store_mirror *m);
/* 1 if the missing key @key is to be deleted now. */
typedef int store_mirror_choose_fn(const char *key);
/*
 * Deletes the keys of these that @choose takes, all if it is NULL, and calls @fn
 * for each of them.
 */
void store_mirror_drop_missing(struct store_mirror *m,
			       store_mirror_choose_fn *choose,
			       store_mirror_changed_fn *fn, void *ctx);
/*
 * The changes after position @rev, or all keys when @rev is 0, of an earlier era,
 * older than the deletions remembered or than the latest listing that was ahead of
 * the copy. Keys that are missing are left out. The caller frees the result.
 */
struct store_update *store_mirror_changes_since(const struct store_mirror *m,
						uint64_t rev);

#endif

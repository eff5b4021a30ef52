/*
 * One revision of the whole configuration: the head and the stored item of each
 * of its entries. Immutable once complete, and reference-counted, so that other
 * duties can serve it.
 */
#ifndef CFG_REVISION_H
#define CFG_REVISION_H

#include <stdint.h>

#include "model/config.h"

struct cfg_revision {
	_Atomic uint32_t refs;
	struct cfg_head *head;
	/* items[i] is that of head->entries[i]; NULL: missing. */
	struct cfg_item **items;
};

/* Revision of @head without its items. Takes ownership of @head. */
struct cfg_revision *cfg_revision_new(struct cfg_head *head);
struct cfg_revision *cfg_revision_ref(struct cfg_revision *r);
/* Drops one reference; the last one frees. NULL is ignored. */
void cfg_revision_unref(struct cfg_revision *r);
/*
 * Item @name; its json is NULL when it was deleted. NULL if the head has no
 * entry for it or the item is missing.
 */
struct cfg_item *cfg_revision_find(const struct cfg_revision *r,
				   const char *name);
/*
 * Stores a reference to @item and returns 1 if the head has an entry with its
 * name, revision and change; else returns 0.
 */
int cfg_revision_put(struct cfg_revision *r, struct cfg_item *item);
/* 1 when no item is missing. */
int cfg_revision_is_complete(const struct cfg_revision *r);

/*
 * One page of what changed since revision @rev of @change, or of the whole
 * configuration when that revision is not part of this one's recent history.
 * @after_rev: highest revision of the page before, 0 for the first page.
 * @max_bytes: limit for the size of a page's items, which only a page of one
 * item may exceed.
 */
struct cfg_delta *cfg_revision_delta(const struct cfg_revision *r, uint64_t rev,
				     uint64_t change, uint64_t after_rev,
				     size_t max_bytes);
/*
 * Revision that results from applying @d, all pages joined, to @base (NULL for
 * a full delta); NULL when items are missing.
 */
struct cfg_revision *cfg_revision_apply(const struct cfg_revision *base,
					const struct cfg_delta *d);

#endif

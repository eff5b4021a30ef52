/*
 * One whole configuration revision: the head with the stored item of each
 * entry. Immutable and reference-counted, so other duties can serve it.
 */
#ifndef CFG_REVISION_H
#define CFG_REVISION_H

#include <stdint.h>

#include "model/config.h"

struct cfg_revision {
	_Atomic uint32_t refs;
	struct cfg_head *head;
	/* Item of head->entries[i]; a deleted one has no JSON. */
	struct cfg_item **items;
};

/* Takes ownership of @head; all items are missing. */
struct cfg_revision *cfg_revision_new(struct cfg_head *head);
struct cfg_revision *cfg_revision_ref(struct cfg_revision *s);
/* Drops one reference; the last one frees. NULL is ignored. */
void cfg_revision_unref(struct cfg_revision *s);
/* Stored item or NULL; deleted items are found too. */
struct cfg_item *cfg_revision_find(const struct cfg_revision *s,
				   const char *name);
/* Sets the item whose name, revision and change are in the head; else 0. */
int cfg_revision_put(struct cfg_revision *s, struct cfg_item *item);
/* 1 when no item is missing. */
int cfg_revision_is_complete(const struct cfg_revision *s);

/*
 * What changed since revision @rev of @change, or the whole configuration
 * when that revision is not part of this one's recent history. @after_rev:
 * highest revision of the page before, 0 for the first page. @max_bytes:
 * JSON text per page; a page has at least one item.
 */
struct cfg_delta *cfg_revision_delta(const struct cfg_revision *s, uint64_t rev,
				     uint64_t change, uint64_t after_rev,
				     size_t max_bytes);
/*
 * Set that results from applying @d, all pages joined, to @base (NULL for a
 * full delta); NULL when items are missing.
 */
struct cfg_revision *cfg_revision_apply(const struct cfg_revision *base,
					const struct cfg_delta *d);

#endif

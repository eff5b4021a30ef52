/*
 * One whole configuration revision: the head with the stored item of each
 * entry. Immutable and reference-counted, so other duties can serve it.
 */
#ifndef CFG_SET_H
#define CFG_SET_H

#include <stdint.h>

#include "model/config.h"

struct cfg_set {
	_Atomic uint32_t refs;
	struct cfg_head *head;
	/* Item of head->entries[i]; a deleted one has no JSON. */
	struct cfg_item **items;
};

/* Takes ownership of @head; all items are missing. */
struct cfg_set *cfg_set_new(struct cfg_head *head);
struct cfg_set *cfg_set_ref(struct cfg_set *s);
/* Drops one reference; the last one frees. NULL is ignored. */
void cfg_set_unref(struct cfg_set *s);
/* Stored item or NULL; deleted items are found too. */
struct cfg_item *cfg_set_find(const struct cfg_set *s, const char *name);
/* Sets the item whose name, revision and change are in the head; else 0. */
int cfg_set_put(struct cfg_set *s, struct cfg_item *item);
/* 1 when no item is missing. */
int cfg_set_complete(const struct cfg_set *s);

/*
 * What changed since revision @rev of @change, or the whole configuration
 * when that revision is not part of this one's recent history. @after_rev:
 * highest revision of the page before, 0 for the first page. @max_bytes:
 * JSON text per page; a page has at least one item.
 */
struct cfg_delta *cfg_set_delta(const struct cfg_set *s, uint64_t rev,
				uint64_t change, uint64_t after_rev,
				size_t max_bytes);
/*
 * Set that results from applying @d, all pages joined, to @base (NULL for a
 * full delta); NULL when items are missing.
 */
struct cfg_set *cfg_set_apply(const struct cfg_set *base,
			      const struct cfg_delta *d);

#endif

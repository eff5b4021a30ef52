#include "controller/cfg_revision.h"

#include <string.h>

struct cfg_revision *cfg_revision_new(struct cfg_head *head)
{
	struct cfg_revision *r = util_alloc(1, sizeof(*r));

	r->refs = 1;
	r->head = head;
	r->items = util_alloc(head->entry_count, sizeof(struct cfg_item *));
	return r;
}

struct cfg_revision *cfg_revision_ref(struct cfg_revision *r)
{
	r->refs++;
	return r;
}

void cfg_revision_unref(struct cfg_revision *r)
{
	uint32_t i;

	if (!r || --r->refs)
		return;
	for (i = 0; i < r->head->entry_count; i++)
		cfg_item_unref(r->items[i]);
	free(r->items);
	cfg_head_free(r->head);
	free(r);
}

struct cfg_item *cfg_revision_find(const struct cfg_revision *r,
				   const char *name)
{
	const struct cfg_head_entry *entry = cfg_head_find(r->head, name);

	return entry ? r->items[entry - r->head->entries] : NULL;
}

int cfg_revision_put(struct cfg_revision *r, struct cfg_item *item)
{
	const struct cfg_head_entry *entry = cfg_head_find(r->head, item->name);
	uint32_t pos;

	if (!entry || entry->rev != item->rev ||
	    entry->change_id != item->change_id)
		return 0;
	pos = (uint32_t)(entry - r->head->entries);
	cfg_item_unref(r->items[pos]);
	r->items[pos] = cfg_item_ref(item);
	return 1;
}

/* 1 if revision @rev of @change is one of the head's recent changes. */
static int is_in_history(const struct cfg_head *h, uint64_t rev,
			 uint64_t change)
{
	uint64_t distance = h->rev - rev;

	return rev > 0 && rev <= h->rev && distance < h->recent_count &&
	       h->recent_change_ids[distance] == change;
}

static int compare_items(const void *a, const void *b)
{
	const struct cfg_item *x = *(struct cfg_item *const *)a;
	const struct cfg_item *y = *(struct cfg_item *const *)b;

	if (x->rev != y->rev)
		return x->rev < y->rev ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Keeps the items that fit into one page; the rest is for the next page. */
static void cut_page(struct cfg_delta *d, size_t max_bytes)
{
	size_t used_bytes = 0;
	uint32_t kept_count = 0;
	uint32_t i;

	for (i = 0; i < d->item_count; i++) {
		const struct cfg_item *item = d->items[i];
		size_t bytes = sizeof(*item);

		bytes += item->json ? strlen(item->json) : 0;
		if (kept_count && used_bytes + bytes > max_bytes)
			break;
		used_bytes += bytes;
		kept_count++;
	}
	d->has_more = kept_count < d->item_count;
	for (i = kept_count; i < d->item_count; i++)
		cfg_item_unref(d->items[i]);
	d->item_count = kept_count;
}

struct cfg_delta *cfg_revision_delta(const struct cfg_revision *r, uint64_t rev,
				     uint64_t change, uint64_t after_rev,
				     size_t max_bytes)
{
	struct cfg_delta *d = util_alloc(1, sizeof(*d));
	const struct cfg_head *h = r->head;
	uint64_t since_rev;
	uint32_t i;

	d->rev = h->rev;
	d->recent_count = h->recent_count;
	memcpy(d->recent_change_ids, h->recent_change_ids,
	       sizeof(d->recent_change_ids));
	d->is_full = !is_in_history(h, rev, change);
	since_rev = d->is_full || rev < after_rev ? after_rev : rev;
	d->items = util_alloc(h->entry_count, sizeof(struct cfg_item *));
	for (i = 0; i < h->entry_count; i++) {
		if (h->entries[i].rev > since_rev && r->items[i])
			d->items[d->item_count++] = cfg_item_ref(r->items[i]);
	}
	/* Each revision changes one item, so a page ends between revisions. */
	qsort(d->items, d->item_count, sizeof(*d->items), compare_items);
	cut_page(d, max_bytes);
	return d;
}

int cfg_revision_is_complete(const struct cfg_revision *r)
{
	uint32_t i;

	for (i = 0; i < r->head->entry_count; i++) {
		if (!r->items[i])
			return 0;
	}
	return 1;
}

struct cfg_revision *cfg_revision_apply(const struct cfg_revision *base,
					const struct cfg_delta *d)
{
	struct cfg_head *head = base ? cfg_head_copy(base->head)
				     : cfg_head_new();
	struct cfg_revision *r;
	uint32_t i;

	head->rev = d->rev;
	head->recent_count = d->recent_count;
	memcpy(head->recent_change_ids, d->recent_change_ids,
	       sizeof(head->recent_change_ids));
	for (i = 0; i < d->item_count; i++) {
		const struct cfg_item *item = d->items[i];
		struct cfg_head_entry entry = { .rev = item->rev,
						.change_id = item->change_id,
						.is_deleted = !item->json };

		util_copy_str(entry.name, sizeof(entry.name), item->name);
		cfg_head_put(head, &entry);
	}
	cfg_head_prune_deletions(head);
	r = cfg_revision_new(head);
	for (i = 0; base && i < base->head->entry_count; i++) {
		if (base->items[i])
			cfg_revision_put(r, base->items[i]);
	}
	for (i = 0; i < d->item_count; i++)
		cfg_revision_put(r, d->items[i]);
	if (cfg_revision_is_complete(r))
		return r;
	cfg_revision_unref(r);
	return NULL;
}

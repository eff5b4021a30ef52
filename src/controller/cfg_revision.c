#include "controller/cfg_revision.h"

#include <string.h>

struct cfg_revision *cfg_revision_new(struct cfg_head *head)
{
	struct cfg_revision *s = util_alloc(1, sizeof(*s));

	s->refs = 1;
	s->head = head;
	s->items = util_alloc(head->entry_count, sizeof(struct cfg_item *));
	return s;
}

struct cfg_revision *cfg_revision_ref(struct cfg_revision *s)
{
	s->refs++;
	return s;
}

void cfg_revision_unref(struct cfg_revision *s)
{
	uint32_t i;

	if (!s || --s->refs)
		return;
	for (i = 0; i < s->head->entry_count; i++)
		cfg_item_unref(s->items[i]);
	free(s->items);
	cfg_head_free(s->head);
	free(s);
}

struct cfg_item *cfg_revision_find(const struct cfg_revision *s,
				   const char *name)
{
	const struct cfg_head_entry *e = cfg_head_find(s->head, name);

	return e ? s->items[e - s->head->entries] : NULL;
}

int cfg_revision_put(struct cfg_revision *s, struct cfg_item *item)
{
	const struct cfg_head_entry *e = cfg_head_find(s->head, item->name);
	uint32_t at;

	if (!e || e->rev != item->rev || e->change_id != item->change_id)
		return 0;
	at = (uint32_t)(e - s->head->entries);
	cfg_item_unref(s->items[at]);
	s->items[at] = cfg_item_ref(item);
	return 1;
}

static int has_history(const struct cfg_head *h, uint64_t rev, uint64_t change)
{
	uint64_t back = h->rev - rev;

	return rev > 0 && rev <= h->rev && back < h->recent_count &&
	       h->recent_change_ids[back] == change;
}

static int compare_revs(const void *a, const void *b)
{
	const struct cfg_item *x = *(struct cfg_item *const *)a;
	const struct cfg_item *y = *(struct cfg_item *const *)b;

	if (x->rev != y->rev)
		return x->rev < y->rev ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Keeps the items that fit into one page; the rest is for the next one. */
static void cut_page(struct cfg_delta *d, size_t max_bytes)
{
	size_t used_bytes = 0;
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < d->item_count; i++) {
		const struct cfg_item *item = d->items[i];
		size_t bytes = sizeof(*item);

		bytes += item->json ? strlen(item->json) : 0;
		if (kept && used_bytes + bytes > max_bytes)
			break;
		used_bytes += bytes;
		kept++;
	}
	d->has_more = kept < d->item_count;
	for (i = kept; i < d->item_count; i++)
		cfg_item_unref(d->items[i]);
	d->item_count = kept;
}

struct cfg_delta *cfg_revision_delta(const struct cfg_revision *s, uint64_t rev,
				     uint64_t change, uint64_t after_rev,
				     size_t max_bytes)
{
	struct cfg_delta *d = util_alloc(1, sizeof(*d));
	const struct cfg_head *h = s->head;
	uint64_t floor_rev;
	uint32_t i;

	d->rev = h->rev;
	d->recent_count = h->recent_count;
	memcpy(d->recent_change_ids, h->recent_change_ids,
	       sizeof(d->recent_change_ids));
	d->is_full = !has_history(h, rev, change);
	floor_rev = d->is_full || rev < after_rev ? after_rev : rev;
	d->items = util_alloc(h->entry_count, sizeof(struct cfg_item *));
	for (i = 0; i < h->entry_count; i++) {
		if (h->entries[i].rev > floor_rev && s->items[i])
			d->items[d->item_count++] = cfg_item_ref(s->items[i]);
	}
	/* Each revision changes one item, so a page ends between revisions. */
	qsort(d->items, d->item_count, sizeof(*d->items), compare_revs);
	cut_page(d, max_bytes);
	return d;
}

int cfg_revision_is_complete(const struct cfg_revision *s)
{
	uint32_t i;

	for (i = 0; i < s->head->entry_count; i++) {
		if (!s->items[i])
			return 0;
	}
	return 1;
}

struct cfg_revision *cfg_revision_apply(const struct cfg_revision *base,
					const struct cfg_delta *d)
{
	struct cfg_head *head = base ? cfg_head_copy(base->head)
				     : cfg_head_new();
	struct cfg_revision *s;
	uint32_t i;

	head->rev = d->rev;
	head->recent_count = d->recent_count;
	memcpy(head->recent_change_ids, d->recent_change_ids,
	       sizeof(head->recent_change_ids));
	for (i = 0; i < d->item_count; i++) {
		const struct cfg_item *item = d->items[i];
		struct cfg_head_entry e = { .rev = item->rev,
					    .change_id = item->change_id,
					    .deleted = !item->json };

		util_copy_str(e.name, sizeof(e.name), item->name);
		cfg_head_put(head, &e);
	}
	cfg_head_prune_deletions(head);
	s = cfg_revision_new(head);
	for (i = 0; base && i < base->head->entry_count; i++) {
		if (base->items[i])
			cfg_revision_put(s, base->items[i]);
	}
	for (i = 0; i < d->item_count; i++)
		cfg_revision_put(s, d->items[i]);
	if (cfg_revision_is_complete(s))
		return s;
	cfg_revision_unref(s);
	return NULL;
}

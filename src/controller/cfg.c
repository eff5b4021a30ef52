#include "controller/cfg.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "controller/cfg_internal.h"

/*
 * Items read at once: a host that starts with many items stays within its part
 * of the store's read rate.
 */
#define READS_MAX 16
/* First wait after a failure; each further failure in a row doubles it. */
#define RETRY_MIN_US (100 * US_PER_MS)
/* Longest wait; leaves several attempts within the 10 s of a change. */
#define RETRY_MAX_US (1600 * US_PER_MS)
/*
 * An item that the head names and the store lacks for this long is isolated;
 * this host hears of a peer that has the item, and pulls it, sooner than that.
 * Happens when a write of the head arrives after the store was restored and
 * lost the item.
 */
#define MISSING_US (3 * (int64_t)US_PER_S)

/*
 * Items that could not be read are read again, during the first minute often
 * enough to be in effect within 10 s if the store only answered from an older
 * state, and then rarely, since an item that is really lost stays so on all
 * hosts.
 */
#define REREAD_US (4 * (int64_t)US_PER_S)
#define REREAD_RARE_US (30 * (int64_t)US_PER_S)
#define REREAD_OFTEN_FOR_US (60 * (int64_t)US_PER_S)

static void free_item(gpointer item)
{
	cfg_item_unref(item);
}

struct cfg *cfg_new(const struct cfg_ops *ops, uint64_t seed)
{
	struct cfg *c = util_alloc(1, sizeof(*c));

	c->ops = *ops;
	c->compare = cfg_compare_revs;
	c->rng.state = seed;
	c->current = cfg_revision_new(cfg_head_new());
	c->effective =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
	return c;
}

/* Frees what the present activity has gathered. */
static void drop_pending(struct cfg *c)
{
	cfg_revision_unref(c->pending);
	cfg_head_free(c->store_head);
	c->pending = NULL;
	c->store_head = NULL;
}

void cfg_free(struct cfg *c)
{
	if (!c)
		return;
	cfg_drop_edits_internal(c);
	cfg_end_pull_internal(c);
	drop_pending(c);
	cfg_revision_unref(c->current);
	g_hash_table_destroy(c->effective);
	free(c);
}

void cfg_use_compare_internal(struct cfg *c, cfg_compare_fn *fn)
{
	c->compare = fn;
}

uint64_t cfg_rev(const struct cfg *c)
{
	return c->current->head->rev;
}

uint64_t cfg_change_id(const struct cfg *c)
{
	return cfg_head_change_id(c->current->head);
}

struct cfg_revision *cfg_current(const struct cfg *c)
{
	return c->current;
}

const struct cfg_item *cfg_item_in_effect(const struct cfg *c, const char *name)
{
	return g_hash_table_lookup(c->effective, name);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

void cfg_each_in_effect(const struct cfg *c,
			void (*fn)(void *ctx, const struct cfg_item *item),
			void *ctx)
{
	GList *keys = g_hash_table_get_keys(c->effective);
	GList *at;

	keys = g_list_sort(keys, compare_keys);
	for (at = keys; at; at = at->next)
		fn(ctx, g_hash_table_lookup(c->effective, at->data));
	g_list_free(keys);
}

/* Positive if @h is newer than the head in effect, 0 if it is the same. */
static int compare_head(const struct cfg *c, const struct cfg_head *h)
{
	return c->compare(h->rev, cfg_head_change_id(h), cfg_rev(c),
			  cfg_change_id(c));
}

/* Puts the item in effect if it passes its check. */
static void put_in_effect(struct cfg *c, struct cfg_item *item)
{
	struct err err = { 0 };

	if (c->ops.check(c->ops.ctx, item->name, item->json, &err) != ERR_OK) {
		c->ops.item_refused(c->ops.ctx, item, &err);
		return;
	}
	g_hash_table_replace(c->effective, item->name, cfg_item_ref(item));
	c->ops.item_changed(c->ops.ctx, item);
}

static void take_out_of_effect(struct cfg *c, const char *name, uint64_t rev)
{
	struct cfg_item *deleted_item;

	if (!g_hash_table_contains(c->effective, name))
		return;
	deleted_item = cfg_item_new(name, rev, 0, "", NULL);
	g_hash_table_remove(c->effective, name);
	c->ops.item_changed(c->ops.ctx, deleted_item);
	cfg_item_unref(deleted_item);
}

/* An empty document stands for a stored item that could not be read. */
static int is_unreadable(const struct cfg_item *item)
{
	return item && item->json && !item->json[0];
}

static int is_same_item(const struct cfg_item *a, const struct cfg_item *b)
{
	return a && b && a->rev == b->rev && a->change_id == b->change_id &&
	       is_unreadable(a) == is_unreadable(b);
}

static uint32_t count_unreadable(const struct cfg_revision *r)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < r->head->entry_count; i++)
		n += is_unreadable(r->items[i]);
	return n;
}

/* Puts the differences between @old and the current revision in effect. */
static void apply_changes(struct cfg *c, const struct cfg_revision *old)
{
	const struct cfg_head *h = c->current->head;
	uint32_t i;

	for (i = 0; i < old->head->entry_count; i++) {
		const char *name = old->head->entries[i].name;

		if (!cfg_head_find(h, name))
			take_out_of_effect(c, name, h->rev);
	}
	for (i = 0; i < h->entry_count; i++) {
		struct cfg_item *item = c->current->items[i];

		if (is_same_item(cfg_revision_find(old, item->name), item))
			continue;
		if (item->json)
			put_in_effect(c, item);
		else
			take_out_of_effect(c, item->name, item->rev);
	}
}

void cfg_adopt_internal(struct cfg *c, struct cfg_revision *r)
{
	struct cfg_revision *old = c->current;
	int order = compare_head(c, r->head);
	uint32_t unreadable = count_unreadable(r);

	if (order == 0 && unreadable < c->unreadable_count) {
		c->unreadable_count = unreadable;
		c->current = r;
		apply_changes(c, old);
		cfg_revision_unref(old);
		return;
	}
	if (order <= 0) {
		cfg_revision_unref(r);
		return;
	}
	c->unreadable_count = unreadable;
	c->current = r;
	c->loaded = 1;
	apply_changes(c, old);
	cfg_revision_unref(old);
	c->ops.adopted(c->ops.ctx, r);
}

void cfg_read_head_internal(struct cfg *c)
{
	drop_pending(c);
	c->want_head = 0;
	c->activity = CFG_READ_HEAD;
	c->ops.read_head(c->ops.ctx);
}

void cfg_next_internal(struct cfg *c, int64_t now_us)
{
	drop_pending(c);
	c->activity = CFG_IDLE;
	c->retries = 0;
	if (c->want_head || c->edits)
		cfg_read_head_internal(c);
}

void cfg_retry_internal(struct cfg *c, int64_t now_us)
{
	int64_t wait_us = RETRY_MIN_US;
	uint32_t i;

	drop_pending(c);
	for (i = 0; i < c->retries && wait_us < RETRY_MAX_US; i++)
		wait_us *= 2;
	c->retries++;
	wait_us = wait_us / 2 + rng_below(&c->rng, (uint32_t)(wait_us / 2));
	c->activity = CFG_WAIT;
	c->retry_us = now_us + wait_us;
}

void cfg_refresh(struct cfg *c, int64_t now_us)
{
	c->want_head = 1;
	if (c->activity == CFG_IDLE)
		cfg_read_head_internal(c);
}

void cfg_allow_edits(struct cfg *c)
{
	c->edits_allowed = 1;
}

/* Adopts the pending revision, which has all its items now. */
static void finish_reading(struct cfg *c, int64_t now_us)
{
	struct cfg_revision *r = c->pending;
	int is_newer = compare_head(c, r->head) > 0;

	c->pending = NULL;
	cfg_adopt_internal(c, r);
	/* The store's head is the one just adopted; an edit can build on it. */
	if (is_newer && !c->want_head && c->edits) {
		c->retries = 0;
		cfg_edit_step_internal(c, now_us);
		return;
	}
	cfg_next_internal(c, now_us);
}

/*
 * Reads the items that the pending revision lacks; deleted ones are made from
 * the head. Ends the activity when no answer is awaited.
 */
static void read_items(struct cfg *c, int64_t now_us)
{
	const struct cfg_head *h = c->pending->head;

	while (c->next_entry < h->entry_count && c->open_reads < READS_MAX &&
	       !c->read_failed) {
		uint32_t at = c->next_entry++;
		const struct cfg_head_entry *entry = &h->entries[at];

		if (c->pending->items[at])
			continue;
		if (entry->is_deleted) {
			c->pending->items[at] =
				cfg_item_new(entry->name, entry->rev,
					     entry->change_id, "", NULL);
			continue;
		}
		c->open_reads++;
		c->ops.read_item(c->ops.ctx, entry);
	}
	if (c->open_reads)
		return;
	if (c->read_failed || !cfg_revision_is_complete(c->pending))
		cfg_retry_internal(c, now_us);
	else
		finish_reading(c, now_us);
}

/* Reads the items of @head that differ from those of the current revision. */
static void start_reading(struct cfg *c, int64_t now_us, struct cfg_head *head,
			  uint64_t version)
{
	uint32_t i;

	drop_pending(c);
	c->activity = CFG_READ_ITEMS;
	c->pending = cfg_revision_new(head);
	c->version = version;
	c->next_entry = 0;
	c->open_reads = 0;
	c->read_failed = 0;
	if (head->rev != c->missing_rev ||
	    cfg_head_change_id(head) != c->missing_change_id) {
		c->missing_rev = head->rev;
		c->missing_change_id = cfg_head_change_id(head);
		c->missing_since_us = 0;
	}
	for (i = 0; i < c->current->head->entry_count; i++) {
		if (!is_unreadable(c->current->items[i]))
			cfg_revision_put(c->pending, c->current->items[i]);
	}
	read_items(c, now_us);
}

/* Reads the unreadable items once more when that is due, without the head. */
static void reread_unreadable(struct cfg *c, int64_t now_us)
{
	if (!c->unreadable_count) {
		c->reread_us = 0;
		return;
	}
	if (!c->reread_us) {
		c->unreadable_since_us = now_us;
		c->reread_us = now_us + REREAD_US;
		return;
	}
	if (now_us < c->reread_us)
		return;
	c->reread_us = now_us + REREAD_RARE_US;
	if (now_us - c->unreadable_since_us < REREAD_OFTEN_FOR_US)
		c->reread_us = now_us + REREAD_US;
	start_reading(c, now_us, cfg_head_copy(c->current->head), c->version);
}

void cfg_tick(struct cfg *c, int64_t now_us)
{
	if (c->activity == CFG_IDLE)
		reread_unreadable(c, now_us);
	if (c->activity != CFG_WAIT)
		return;
	cfg_edit_expire_internal(c, now_us);
	if (now_us >= c->retry_us)
		cfg_read_head_internal(c);
}

/* Starts what follows from the head that the store has. */
static void apply_head(struct cfg *c, int64_t now_us, struct cfg_head *head,
		       uint64_t version)
{
	int order = compare_head(c, head);

	c->loaded = 1;
	/* Unreadable items are tried again each time the head is read. */
	if (order > 0 || (order == 0 && !c->edits && c->unreadable_count)) {
		start_reading(c, now_us, head, version);
		return;
	}
	if (order < 0) {
		cfg_repair_internal(c, now_us, head, version);
		return;
	}
	cfg_head_free(head);
	c->version = version;
	c->retries = 0;
	if (c->edits)
		cfg_edit_step_internal(c, now_us);
	else
		cfg_next_internal(c, now_us);
}

void cfg_on_head(struct cfg *c, int64_t now_us, enum err_code code,
		 struct cfg_head *head, uint64_t version)
{
	if (c->activity != CFG_READ_HEAD) {
		cfg_head_free(head);
		return;
	}
	if (code == ERR_STORE_NOT_FOUND) {
		cfg_head_free(head);
		head = cfg_head_new();
		version = 0;
	} else if (code != ERR_OK) {
		cfg_head_free(head);
		cfg_edit_failed_internal(c, now_us, code);
		cfg_retry_internal(c, now_us);
		return;
	}
	apply_head(c, now_us, head, version);
}

void cfg_on_watch(struct cfg *c, int64_t now_us, struct cfg_head *head,
		  uint64_t version)
{
	int order = compare_head(c, head);

	if (order > 0 && c->activity == CFG_IDLE) {
		start_reading(c, now_us, head, version);
		return;
	}
	cfg_head_free(head);
	if (order != 0)
		cfg_refresh(c, now_us);
}

/* Item with an empty document, which fails its check and so is isolated. */
static struct cfg_item *make_unreadable_item(const struct cfg_revision *r,
					     const char *name)
{
	const struct cfg_head_entry *entry = cfg_head_find(r->head, name);

	return entry ? cfg_item_new(name, entry->rev, entry->change_id, "", "")
		     : NULL;
}

/* 1 when the item has to be isolated, 0 when it is to be read again. */
static int must_isolate(struct cfg *c, int64_t now_us, enum err_code code)
{
	if (code == ERR_CFG_FIELD || code == ERR_BAD_JSON)
		return 1;
	if (code != ERR_STORE_NOT_FOUND)
		return 0;
	/* The item is isolated already and was only tried again. */
	if (compare_head(c, c->pending->head) == 0)
		return 1;
	if (!c->missing_since_us)
		c->missing_since_us = now_us;
	return now_us - c->missing_since_us >= MISSING_US;
}

void cfg_on_item(struct cfg *c, int64_t now_us, const char *name,
		 enum err_code code, struct cfg_item *item)
{
	struct cfg_item *isolated = NULL;

	if (c->activity != CFG_READ_ITEMS || c->open_reads == 0)
		return;
	c->open_reads--;
	if (code != ERR_OK && must_isolate(c, now_us, code))
		item = isolated = make_unreadable_item(c->pending, name);
	/*
	 * An item that is not found belongs to a head that was replaced, so
	 * that the head is to be read again.
	 */
	if (!item || !cfg_revision_put(c->pending, item))
		c->read_failed = 1;
	cfg_item_unref(isolated);
	read_items(c, now_us);
}

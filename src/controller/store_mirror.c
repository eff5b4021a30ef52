#include "controller/store_mirror.h"

#include <glib.h>
#include <string.h>

#include "model/store_pos.h"

struct store_mirror {
	/* Position up to which the pairs are known. */
	uint64_t rev;
	/* Deletions up to this position may have been forgotten. */
	uint64_t forgotten_rev;
	/* Position of the latest listing: it has every key of that time. */
	uint64_t listed_rev;
	/* Number of pairs whose key is deleted. */
	uint32_t deleted_count;
	/* Key to struct kv_pair, which holds the key; deleted: value NULL. */
	GHashTable *pairs;
	/* Set of keys that the store lacked when it came back. */
	GHashTable *missing;
};

static void pair_free(gpointer p)
{
	struct kv_pair *pair = p;

	free(pair->value);
	free(pair);
}

struct store_mirror *store_mirror_new(void)
{
	struct store_mirror *m = util_alloc(1, sizeof(*m));

	m->pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pair_free);
	m->missing = g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
	return m;
}

void store_mirror_free(struct store_mirror *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->pairs);
	g_hash_table_destroy(m->missing);
	free(m);
}

uint64_t store_mirror_rev(const struct store_mirror *m)
{
	return m->rev;
}

static void pair_copy(struct kv_pair *to, const struct kv_pair *from)
{
	*to = *from;
	if (!from->value)
		return;
	to->value = util_alloc(from->value_bytes + 1, 1);
	memcpy(to->value, from->value, from->value_bytes);
}

/*
 * Stores @p and returns 1 if it is newer than the latest listing and the known
 * version of its key, or its key is unknown and it is no deletion that was
 * forgotten; else returns 0.
 */
static int put_pair(struct store_mirror *m, const struct kv_pair *p)
{
	struct kv_pair *known = g_hash_table_lookup(m->pairs, p->key);
	struct kv_pair *copy;

	if (p->rev <= m->listed_rev ||
	    (known ? p->rev <= known->rev
		   : p->rev <= m->forgotten_rev && !p->value))
		return 0;
	m->deleted_count += !p->value;
	if (known)
		m->deleted_count -= !known->value;
	copy = util_alloc(1, sizeof(*copy));
	pair_copy(copy, p);
	g_hash_table_remove(m->missing, p->key);
	g_hash_table_replace(m->pairs, copy->key, copy);
	return 1;
}

static gboolean is_deleted(gpointer key, gpointer value, gpointer ctx)
{
	const struct kv_pair *p = value;

	return !p->value;
}

static void forget_deleted(struct store_mirror *m)
{
	g_hash_table_foreach_remove(m->pairs, is_deleted, NULL);
	m->deleted_count = 0;
	m->forgotten_rev = m->rev;
}

static void delete_pair(struct store_mirror *m, struct kv_pair *p, uint64_t rev)
{
	free(p->value);
	p->value = NULL;
	p->value_bytes = 0;
	p->rev = rev;
	m->deleted_count++;
}

/*
 * Marks the keys that the full update @u does not list as deleted and calls @fn
 * for each of them; if @u is of a later era, notes that they are missing.
 */
static void delete_missing(struct store_mirror *m, const struct store_update *u,
			   int is_later_era, store_mirror_changed_fn *fn,
			   void *ctx)
{
	GHashTable *listed_keys = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer value;
	uint32_t i;

	for (i = 0; i < u->pair_count; i++)
		g_hash_table_add(listed_keys, u->pairs[i].key);
	g_hash_table_iter_init(&it, m->pairs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct kv_pair *p = value;

		/* A key written after the listing was taken is not deleted. */
		if (!p->value || p->rev > u->rev ||
		    g_hash_table_contains(listed_keys, p->key) ||
		    g_hash_table_contains(m->missing, p->key))
			continue;
		if (is_later_era) {
			g_hash_table_add(m->missing, util_strdup(p->key));
			continue;
		}
		delete_pair(m, p, u->rev);
		fn(ctx, p);
	}
	g_hash_table_destroy(listed_keys);
}

uint32_t store_mirror_missing_count(const struct store_mirror *m)
{
	return g_hash_table_size(m->missing);
}

void store_mirror_drop_missing(struct store_mirror *m,
			       store_mirror_choose_fn *choose,
			       store_mirror_changed_fn *fn, void *ctx)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, m->missing);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct kv_pair *p = g_hash_table_lookup(m->pairs, key);

		if (choose && !choose(p->key))
			continue;
		g_hash_table_iter_remove(&it);
		delete_pair(m, p, m->rev);
		fn(ctx, p);
	}
}

void store_mirror_apply(struct store_mirror *m, const struct store_update *u,
			store_mirror_changed_fn *fn, void *ctx)
{
	int is_later_era = m->rev &&
			   store_pos_era(u->rev) > store_pos_era(m->rev);
	uint32_t i;

	if (u->is_full ? u->rev < m->rev
		       : is_later_era ||
				 store_pos_era(u->rev) < store_pos_era(m->rev))
		return;
	if (u->is_full)
		delete_missing(m, u, is_later_era, fn, ctx);
	/*
	 * Keys that were written and deleted since the copy's position, or in the
	 * era before, are not in a listing; a host that knows one has to get all
	 * keys.
	 */
	if (u->is_full && u->rev > m->rev)
		m->forgotten_rev = u->rev;
	for (i = 0; i < u->pair_count; i++) {
		if (put_pair(m, &u->pairs[i]))
			fn(ctx, &u->pairs[i]);
	}
	if (u->is_full)
		m->listed_rev = u->rev;
	if (u->rev > m->rev)
		m->rev = u->rev;
	if (m->deleted_count > STORE_MIRROR_DELETED_MAX)
		forget_deleted(m);
}

struct store_update *store_mirror_changes_since(const struct store_mirror *m,
						uint64_t rev)
{
	struct store_update *changes = util_alloc(1, sizeof(*changes));
	GHashTableIter it;
	gpointer value;

	changes->rev = m->rev;
	changes->is_full = rev < m->forgotten_rev || rev == 0;
	changes->pairs = util_alloc(g_hash_table_size(m->pairs),
				    sizeof(changes->pairs[0]));
	g_hash_table_iter_init(&it, m->pairs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct kv_pair *p = value;

		if (changes->is_full
			    ? p->value &&
				      !g_hash_table_contains(m->missing, p->key)
			    : p->rev > rev)
			pair_copy(&changes->pairs[changes->pair_count++], p);
	}
	return changes;
}

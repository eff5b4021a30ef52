#include "controller/store_mirror.h"

#include <glib.h>
#include <string.h>

struct store_mirror {
	uint64_t rev;
	/* Deletions up to this revision are forgotten. */
	uint64_t floor;
	uint32_t deleted_count;
	/* Key to struct kv_pair; its key is inside the value. */
	GHashTable *pairs;
};

static void pair_free(gpointer p)
{
	struct kv_pair *pair = p;

	free(pair->value);
	free(pair);
}

struct store_mirror *store_mirror_new(void)
{
	struct store_mirror *s = util_alloc(1, sizeof(*s));

	s->pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pair_free);
	return s;
}

void store_mirror_free(struct store_mirror *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->pairs);
	free(s);
}

uint64_t store_mirror_rev(const struct store_mirror *s)
{
	return s->rev;
}

static void pair_copy(struct kv_pair *to, const struct kv_pair *from)
{
	*to = *from;
	if (!from->value)
		return;
	to->value = util_alloc(from->value_bytes + 1, 1);
	memcpy(to->value, from->value, from->value_bytes);
}

/* Returns 1 if @p is newer than what is known of its key. */
static int put(struct store_mirror *s, const struct kv_pair *p)
{
	struct kv_pair *old = g_hash_table_lookup(s->pairs, p->key);
	struct kv_pair *copy;

	if (old ? p->version <= old->version
		: p->version <= s->floor && !p->value)
		return 0;
	s->deleted_count += !p->value;
	if (old)
		s->deleted_count -= !old->value;
	copy = util_alloc(1, sizeof(*copy));
	pair_copy(copy, p);
	g_hash_table_replace(s->pairs, copy->key, copy);
	return 1;
}

static gboolean is_deleted(gpointer key, gpointer value, gpointer ctx)
{
	const struct kv_pair *p = value;

	return !p->value;
}

static void forget_deleted(struct store_mirror *s)
{
	g_hash_table_foreach_remove(s->pairs, is_deleted, NULL);
	s->deleted_count = 0;
	s->floor = s->rev;
}

/* Keys that are not among those of the full update @u are gone. */
static void drop_missing(struct store_mirror *s, const struct store_update *u,
			 store_mirror_changed_fn *fn, void *ctx)
{
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer value;
	uint32_t i;

	for (i = 0; i < u->pair_count; i++)
		g_hash_table_add(named, u->pairs[i].key);
	g_hash_table_iter_init(&it, s->pairs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct kv_pair *p = value;

		/* One written after the listing was taken is not missing. */
		if (!p->value || p->version > u->rev ||
		    g_hash_table_contains(named, p->key))
			continue;
		free(p->value);
		p->value = NULL;
		p->value_bytes = 0;
		p->version = u->rev;
		s->deleted_count++;
		fn(ctx, p);
	}
	g_hash_table_destroy(named);
}

void store_mirror_apply(struct store_mirror *s, const struct store_update *u,
			store_mirror_changed_fn *fn, void *ctx)
{
	uint32_t i;

	if (u->is_full && u->rev < s->rev)
		return;
	if (u->is_full)
		drop_missing(s, u, fn, ctx);
	for (i = 0; i < u->pair_count; i++) {
		if (put(s, &u->pairs[i]))
			fn(ctx, &u->pairs[i]);
	}
	if (u->rev > s->rev)
		s->rev = u->rev;
	if (s->deleted_count > STORE_MIRROR_DELETED_MAX)
		forget_deleted(s);
}

struct store_update *store_mirror_changes_since(const struct store_mirror *s,
						uint64_t rev)
{
	struct store_update *u = util_alloc(1, sizeof(*u));
	GHashTableIter it;
	gpointer value;

	u->rev = s->rev;
	u->is_full = rev < s->floor || rev == 0;
	u->pairs = util_alloc(g_hash_table_size(s->pairs), sizeof(u->pairs[0]));
	g_hash_table_iter_init(&it, s->pairs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct kv_pair *p = value;

		if (u->is_full ? p->value != NULL : p->version > rev)
			pair_copy(&u->pairs[u->pair_count++], p);
	}
	return u;
}

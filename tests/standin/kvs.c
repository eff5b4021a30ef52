#include "kvs.h"

#include <string.h>

static int compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

static void pair_free(gpointer p)
{
	struct kvs_pair *pair = p;

	free(pair->value);
	free(pair);
}

struct kvs *kvs_new(void)
{
	struct kvs *s = util_alloc(1, sizeof(*s));

	s->pairs = g_tree_new_full(compare_keys, NULL, free, pair_free);
	s->leases =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	return s;
}

void kvs_free(struct kvs *s)
{
	if (!s)
		return;
	g_tree_destroy(s->pairs);
	g_hash_table_destroy(s->leases);
	free(s);
}

static gboolean copy_pair(gpointer key, gpointer value, gpointer data)
{
	struct kvs *to = data;
	const struct kvs_pair *from = value;
	struct kvs_pair *pair = util_alloc(1, sizeof(*pair));

	*pair = *from;
	pair->value = from->value ? util_strdup(from->value) : NULL;
	g_tree_insert(to->pairs, util_strdup(key), pair);
	return FALSE;
}

struct kvs *kvs_copy(const struct kvs *s)
{
	struct kvs *to = kvs_new();
	GHashTableIter at;
	gpointer lease;

	to->revision = s->revision;
	to->last_lease = s->last_lease;
	g_tree_foreach(s->pairs, copy_pair, to);
	g_hash_table_iter_init(&at, s->leases);
	while (g_hash_table_iter_next(&at, NULL, &lease)) {
		struct kvs_lease *l = util_alloc(1, sizeof(*l));

		*l = *(struct kvs_lease *)lease;
		g_hash_table_insert(to->leases, &l->id, l);
	}
	return to;
}

int kvs_key_ok(const char *key)
{
	size_t len = strlen(key);

	return len >= 1 && len <= KVS_KEY_BYTES_MAX &&
	       strspn(key, "abcdefghijklmnopqrstuvwxyz"
			   "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/-") == len;
}

const struct kvs_pair *kvs_get(const struct kvs *s, const char *key)
{
	const struct kvs_pair *pair = g_tree_lookup(s->pairs, key);

	return pair && pair->value ? pair : NULL;
}

static void set_pair(struct kvs *s, const char *key, char *value,
		     uint64_t lease)
{
	struct kvs_pair *pair = util_alloc(1, sizeof(*pair));

	pair->version = ++s->revision;
	pair->lease = lease;
	pair->value = value;
	g_tree_replace(s->pairs, util_strdup(key), pair);
}

enum err_code kvs_put(struct kvs *s, const char *key, const char *value,
		      size_t value_bytes, uint64_t if_version, uint64_t lease,
		      uint64_t *version)
{
	const struct kvs_pair *pair = kvs_get(s, key);
	char *copy;

	*version = pair ? pair->version : 0;
	if (value_bytes > KVS_VALUE_BYTES_MAX)
		return ERR_STORE_SIZE;
	if (lease && !g_hash_table_contains(s->leases, &lease))
		return ERR_STORE_NOT_FOUND;
	if (if_version != KVS_ANY_VERSION && if_version != *version)
		return ERR_STORE_CONFLICT;
	copy = util_alloc(value_bytes + 1, 1);
	memcpy(copy, value, value_bytes);
	set_pair(s, key, copy, lease);
	*version = s->revision;
	return ERR_OK;
}

enum err_code kvs_delete(struct kvs *s, const char *key, uint64_t if_version,
			 uint64_t *version)
{
	const struct kvs_pair *pair = kvs_get(s, key);

	if (!pair)
		return ERR_STORE_NOT_FOUND;
	*version = pair->version;
	if (if_version != KVS_ANY_VERSION && if_version != pair->version)
		return ERR_STORE_CONFLICT;
	set_pair(s, key, NULL, 0);
	*version = s->revision;
	return ERR_OK;
}

void kvs_changed(const struct kvs *s, const char *prefix, uint64_t after,
		 void (*fn)(void *ctx, const char *key,
			    const struct kvs_pair *pair),
		 void *ctx)
{
	GTreeNode *node = g_tree_lower_bound(s->pairs, prefix);

	for (; node; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);
		const struct kvs_pair *pair = g_tree_node_value(node);

		if (strncmp(key, prefix, strlen(prefix)) != 0)
			break;
		if (pair->version > after)
			fn(ctx, key, pair);
	}
}

uint64_t kvs_grant(struct kvs *s, uint32_t ttl_ms, int64_t now_us)
{
	struct kvs_lease *l = util_alloc(1, sizeof(*l));

	l->id = ++s->last_lease;
	l->ttl_ms = ttl_ms;
	l->expires_us = now_us + (int64_t)ttl_ms * US_PER_MS;
	g_hash_table_insert(s->leases, &l->id, l);
	return l->id;
}

enum err_code kvs_renew(struct kvs *s, uint64_t lease, int64_t now_us)
{
	struct kvs_lease *l = g_hash_table_lookup(s->leases, &lease);

	if (!l)
		return ERR_STORE_NOT_FOUND;
	l->expires_us = now_us + (int64_t)l->ttl_ms * US_PER_MS;
	return ERR_OK;
}

/* Collects the keys of one lease. */
struct lease_keys {
	uint64_t lease;
	GPtrArray *keys;
};

static gboolean collect_key(gpointer key, gpointer value, gpointer data)
{
	const struct kvs_pair *pair = value;
	struct lease_keys *k = data;

	if (pair->value && pair->lease == k->lease)
		g_ptr_array_add(k->keys, util_strdup(key));
	return FALSE;
}

enum err_code kvs_revoke(struct kvs *s, uint64_t lease)
{
	struct lease_keys k = { lease, g_ptr_array_new_with_free_func(free) };
	enum err_code code = ERR_STORE_NOT_FOUND;
	uint32_t i;

	if (g_hash_table_remove(s->leases, &lease)) {
		code = ERR_OK;
		g_tree_foreach(s->pairs, collect_key, &k);
		for (i = 0; i < k.keys->len; i++)
			set_pair(s, g_ptr_array_index(k.keys, i), NULL, 0);
	}
	g_ptr_array_unref(k.keys);
	return code;
}

/* The lease that ends first, NULL when there is none. */
static struct kvs_lease *first_lease(const struct kvs *s)
{
	struct kvs_lease *first = NULL;
	GHashTableIter at;
	gpointer lease;

	g_hash_table_iter_init(&at, s->leases);
	while (g_hash_table_iter_next(&at, NULL, &lease)) {
		struct kvs_lease *l = lease;

		if (!first || l->expires_us < first->expires_us)
			first = l;
	}
	return first;
}

int64_t kvs_expire(struct kvs *s, int64_t now_us)
{
	struct kvs_lease *l;

	while ((l = first_lease(s)) != NULL && l->expires_us <= now_us)
		kvs_revoke(s, l->id);
	return l ? l->expires_us : -1;
}

void kvs_shift_leases(struct kvs *s, int64_t by_us)
{
	GHashTableIter at;
	gpointer lease;

	g_hash_table_iter_init(&at, s->leases);
	while (g_hash_table_iter_next(&at, NULL, &lease))
		((struct kvs_lease *)lease)->expires_us += by_us;
}

#include "controller/host_tree.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "decide/rendezvous.h"

struct entry {
	struct host_entry def;
	int64_t avoid_until_us;
};

struct host_tree {
	struct host_entry self;
	int64_t store_avoid_until_us;
	/* Name to struct entry. */
	GHashTable *hosts;
	/* struct entry: of this data centre in tree order, then the others. */
	GPtrArray *order;
	/* Entries of this data centre at the front of the order. */
	uint32_t near_count;
	/* struct entry: used while no host is known. */
	GPtrArray *seeds;
};

struct host_tree *host_tree_new(const struct host_entry *self)
{
	struct host_tree *f = util_alloc(1, sizeof(*f));

	f->self = *self;
	f->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	f->order = g_ptr_array_new();
	f->seeds = g_ptr_array_new_with_free_func(free);
	return f;
}

void host_tree_free(struct host_tree *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->hosts);
	g_ptr_array_free(f->order, TRUE);
	g_ptr_array_free(f->seeds, TRUE);
	free(f);
}

/* Strong hosts come first, since they serve others. */
static gint compare(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct host_tree *f = ctx;
	const struct host_entry *x = &(*(struct entry *const *)a)->def;
	const struct host_entry *y = &(*(struct entry *const *)b)->def;
	int x_far = strcmp(x->data_centre, f->self.data_centre) != 0;
	int y_far = strcmp(y->data_centre, f->self.data_centre) != 0;

	int dc = strcmp(x->data_centre, y->data_centre);

	if (x_far != y_far)
		return x_far - y_far;
	if (dc)
		return dc;
	if (x->core_permille != y->core_permille)
		return x->core_permille > y->core_permille ? -1 : 1;
	return rendezvous_before(x->data_centre, x->name, y->name) ? -1 : 1;
}

static void sort(struct host_tree *f)
{
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(f->order, 0);
	f->near_count = 0;
	g_hash_table_iter_init(&it, f->hosts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct entry *e = value;

		g_ptr_array_add(f->order, e);
		f->near_count +=
			strcmp(e->def.data_centre, f->self.data_centre) == 0;
	}
	g_ptr_array_sort_with_data(f->order, compare, f);
}

void host_tree_put(struct host_tree *f, const struct host_entry *h)
{
	struct entry *e = g_hash_table_lookup(f->hosts, h->name);

	if (!e) {
		e = util_alloc(1, sizeof(*e));
		util_copy_str(e->def.name, sizeof(e->def.name), h->name);
		g_hash_table_insert(f->hosts, e->def.name, e);
	}
	/* A host that was started again may be in reach again. */
	e->avoid_until_us = 0;
	e->def = *h;
	sort(f);
}

void host_tree_remove(struct host_tree *f, const char *name)
{
	if (g_hash_table_remove(f->hosts, name))
		sort(f);
}

void host_tree_add_seed(struct host_tree *f, const char *address, uint16_t port)
{
	struct entry *e;

	if (port == f->self.port && strcmp(address, f->self.address) == 0)
		return;
	e = util_alloc(1, sizeof(*e));
	snprintf(e->def.name, sizeof(e->def.name), "%s:%u", address, port);
	util_copy_str(e->def.address, sizeof(e->def.address), address);
	e->def.port = port;
	g_ptr_array_add(f->seeds, e);
}

static int is_usable(const struct host_tree *f, const struct entry *e,
		     int64_t now_us)
{
	return e->def.port && now_us >= e->avoid_until_us &&
	       strcmp(e->def.name, f->self.name) != 0;
}

/* Position of this host; behind all others while its entry is missing. */
static uint32_t own_position(const struct host_tree *f)
{
	uint32_t i;

	for (i = 0; i < f->near_count; i++) {
		const struct entry *e = g_ptr_array_index(f->order, i);

		if (strcmp(e->def.name, f->self.name) == 0)
			return i;
	}
	return f->near_count;
}

static const struct host_entry *first_usable(const struct host_tree *f,
					     const GPtrArray *list,
					     uint32_t from, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < list->len; i++) {
		const struct entry *e =
			g_ptr_array_index(list, (from + i) % list->len);

		if (is_usable(f, e, now_us))
			return &e->def;
	}
	return NULL;
}

const struct host_entry *host_tree_choose_source(struct host_tree *f,
						 int64_t now_us)
{
	uint32_t self = own_position(f);
	uint32_t at = self;

	while (at > 0) {
		const struct entry *e;

		at = (at - 1) / HOST_TREE_FANOUT;
		e = g_ptr_array_index(f->order, at);
		if (is_usable(f, e, now_us))
			return &e->def;
	}
	if (now_us >= f->store_avoid_until_us)
		return NULL;
	if (f->order->len)
		return first_usable(f, f->order, self + 1, now_us);
	return first_usable(f, f->seeds, 0, now_us);
}

const struct host_entry *host_tree_root(const struct host_tree *f,
					int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < f->near_count; i++) {
		const struct entry *e = g_ptr_array_index(f->order, i);

		if (strcmp(e->def.name, f->self.name) == 0)
			return NULL;
		if (is_usable(f, e, now_us))
			return &e->def;
	}
	return NULL;
}

void host_tree_each_dc_peer(const struct host_tree *f,
			    void (*fn)(void *ctx, const struct host_entry *h),
			    void *ctx)
{
	uint32_t i;

	for (i = 0; i < f->near_count; i++) {
		const struct entry *e = g_ptr_array_index(f->order, i);

		if (e->def.port && strcmp(e->def.name, f->self.name) != 0)
			fn(ctx, &e->def);
	}
}

/* Position of the entry at @index within its data centre. */
static uint32_t depth(const struct host_tree *f, uint32_t index)
{
	const struct entry *e = g_ptr_array_index(f->order, index);
	uint32_t n = 0;

	while (n < index) {
		const struct entry *before =
			g_ptr_array_index(f->order, index - n - 1);

		if (strcmp(before->def.data_centre, e->def.data_centre) != 0)
			break;
		n++;
	}
	return n;
}

struct turn {
	const struct entry *entry;
	uint32_t depth;
};

static gint compare_turns(gconstpointer a, gconstpointer b)
{
	const struct turn *x = a;
	const struct turn *y = b;

	if (x->depth != y->depth)
		return x->depth < y->depth ? -1 : 1;
	return strcmp(x->entry->def.data_centre, y->entry->def.data_centre);
}

/* The hosts that are in reach, this one included, in the order of turns. */
static GArray *turns(const struct host_tree *f, int64_t now_us)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct turn));
	uint32_t i;

	for (i = 0; i < f->order->len; i++) {
		const struct entry *e = g_ptr_array_index(f->order, i);
		struct turn t = { e, depth(f, i) };

		if (t.depth < HOST_TREE_RANKS_MAX &&
		    (is_usable(f, e, now_us) ||
		     strcmp(e->def.name, f->self.name) == 0))
			g_array_append_val(list, t);
	}
	g_array_sort(list, compare_turns);
	return list;
}

uint32_t host_tree_rank(const struct host_tree *f, int64_t now_us)
{
	GArray *list = turns(f, now_us);
	uint32_t rank = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < list->len && i < HOST_TREE_RANKS_MAX; i++) {
		const struct turn *t = &g_array_index(list, struct turn, i);

		if (strcmp(t->entry->def.name, f->self.name) == 0)
			rank = i;
	}
	g_array_free(list, TRUE);
	return rank;
}

const struct host_entry *host_tree_first_ranked(const struct host_tree *f,
						int64_t now_us)
{
	GArray *list = turns(f, now_us);
	const struct entry *first =
		list->len ? g_array_index(list, struct turn, 0).entry : NULL;

	g_array_free(list, TRUE);
	if (!first || strcmp(first->def.name, f->self.name) == 0)
		return NULL;
	return &first->def;
}

void host_tree_peer_failed(struct host_tree *f, const char *name,
			   int64_t now_us)
{
	struct entry *e = g_hash_table_lookup(f->hosts, name);
	uint32_t i;

	for (i = 0; !e && i < f->seeds->len; i++) {
		struct entry *seed = g_ptr_array_index(f->seeds, i);

		if (strcmp(seed->def.name, name) == 0)
			e = seed;
	}
	if (e)
		e->avoid_until_us = now_us + HOST_TREE_PEER_AVOID_US;
}

void host_tree_store_failed(struct host_tree *f, int64_t now_us)
{
	f->store_avoid_until_us = now_us + HOST_TREE_STORE_AVOID_US;
}

void host_tree_store_ok(struct host_tree *f)
{
	f->store_avoid_until_us = 0;
}

#include "controller/host_tree.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "decide/rendezvous.h"

struct tree_host {
	struct host_entry def;
	/* The host is not used before this time; 0: it may be used. */
	int64_t avoid_until_us;
	/* It is followed before this time only if nothing else can be. */
	int64_t unsound_until_us;
	/* Time at which this host learned of its entry; 0: a seed. */
	int64_t written_us;
};

struct host_tree {
	struct host_entry self;
	/* The store is not used before this time; 0: it may be used. */
	int64_t store_avoid_until_us;
	/* Name of the host to struct tree_host. */
	GHashTable *hosts;
	/*
	 * All struct tree_host: those of this data centre first, then the
	 * others by data centre; within one the root comes first, and the
	 * parent of position i is at position (i - 1) / HOST_TREE_FANOUT.
	 */
	GPtrArray *order;
	/* Hosts of this data centre, at the front of the order. */
	uint32_t dc_host_count;
	/* struct tree_host of the seeds, used while no host is known. */
	GPtrArray *seeds;
};

struct host_tree *host_tree_new(const struct host_entry *self)
{
	struct host_tree *t = util_alloc(1, sizeof(*t));

	t->self = *self;
	t->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	t->order = g_ptr_array_new();
	t->seeds = g_ptr_array_new_with_free_func(free);
	return t;
}

void host_tree_free(struct host_tree *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->hosts);
	g_ptr_array_free(t->order, TRUE);
	g_ptr_array_free(t->seeds, TRUE);
	free(t);
}

/*
 * Within a data centre hosts with more processor power come first, since they
 * serve others.
 */
static gint compare_hosts(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct host_tree *t = ctx;
	const struct host_entry *x = &(*(struct tree_host *const *)a)->def;
	const struct host_entry *y = &(*(struct tree_host *const *)b)->def;
	int x_is_remote = strcmp(x->data_centre, t->self.data_centre) != 0;
	int y_is_remote = strcmp(y->data_centre, t->self.data_centre) != 0;

	int dc = strcmp(x->data_centre, y->data_centre);

	if (x_is_remote != y_is_remote)
		return x_is_remote - y_is_remote;
	if (dc)
		return dc;
	if (x->core_permille != y->core_permille)
		return x->core_permille > y->core_permille ? -1 : 1;
	return rendezvous_before(x->data_centre, x->name, y->name) ? -1 : 1;
}

static void sort_hosts(struct host_tree *t)
{
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(t->order, 0);
	t->dc_host_count = 0;
	g_hash_table_iter_init(&it, t->hosts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct tree_host *host = value;

		g_ptr_array_add(t->order, host);
		t->dc_host_count +=
			strcmp(host->def.data_centre, t->self.data_centre) == 0;
	}
	g_ptr_array_sort_with_data(t->order, compare_hosts, t);
}

void host_tree_put(struct host_tree *t, const struct host_entry *entry,
		   int64_t now_us)
{
	struct tree_host *host = g_hash_table_lookup(t->hosts, entry->name);

	if (!host) {
		host = util_alloc(1, sizeof(*host));
		util_copy_str(host->def.name, sizeof(host->def.name),
			      entry->name);
		g_hash_table_insert(t->hosts, host->def.name, host);
	}
	/* The host wrote its entry: it may have been restarted. */
	host->avoid_until_us = 0;
	host->unsound_until_us = 0;
	host->written_us = now_us;
	host->def = *entry;
	sort_hosts(t);
}

void host_tree_remove(struct host_tree *t, const char *name)
{
	if (g_hash_table_remove(t->hosts, name))
		sort_hosts(t);
}

void host_tree_add_seed(struct host_tree *t, const char *address, uint16_t port)
{
	struct tree_host *host;

	if (port == t->self.port && strcmp(address, t->self.address) == 0)
		return;
	host = util_alloc(1, sizeof(*host));
	snprintf(host->def.name, sizeof(host->def.name), "%s:%u", address,
		 port);
	util_copy_str(host->def.address, sizeof(host->def.address), address);
	host->def.port = port;
	g_ptr_array_add(t->seeds, host);
}

static int is_usable(const struct host_tree *t, const struct tree_host *host,
		     int64_t now_us)
{
	return host->def.port && now_us >= host->avoid_until_us &&
	       strcmp(host->def.name, t->self.name) != 0;
}

/* 1 if @host is usable and its answers name all deletions. */
static int is_sound(const struct host_tree *t, const struct tree_host *host,
		    int64_t now_us)
{
	return is_usable(t, host, now_us) && now_us >= host->unsound_until_us;
}

/*
 * Position of this host in its data centre; behind all others while its entry
 * is missing.
 */
static uint32_t self_position(const struct host_tree *t)
{
	uint32_t i;

	for (i = 0; i < t->dc_host_count; i++) {
		const struct tree_host *host = g_ptr_array_index(t->order, i);

		if (strcmp(host->def.name, t->self.name) == 0)
			return i;
	}
	return t->dc_host_count;
}

/*
 * First usable host of @list in circular order from position @from, sound ones
 * first; NULL: none.
 */
static const struct host_entry *first_usable(const struct host_tree *t,
					     const GPtrArray *list,
					     uint32_t from, int64_t now_us)
{
	const struct host_entry *unsound = NULL;
	uint32_t i;

	for (i = 0; i < list->len; i++) {
		const struct tree_host *host =
			g_ptr_array_index(list, (from + i) % list->len);

		if (is_sound(t, host, now_us))
			return &host->def;
		if (!unsound && is_usable(t, host, now_us))
			unsound = &host->def;
	}
	return unsound;
}

const struct host_entry *host_tree_choose_source(struct host_tree *t,
						 int64_t now_us)
{
	uint32_t self = self_position(t);
	uint32_t at = self;

	while (at > 0) {
		const struct tree_host *host;

		at = (at - 1) / HOST_TREE_FANOUT;
		host = g_ptr_array_index(t->order, at);
		if (is_sound(t, host, now_us))
			return &host->def;
	}
	if (now_us >= t->store_avoid_until_us)
		return NULL;
	if (t->order->len)
		return first_usable(t, t->order, self + 1, now_us);
	return first_usable(t, t->seeds, 0, now_us);
}

const struct host_entry *host_tree_root_peer(const struct host_tree *t,
					     int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < t->dc_host_count; i++) {
		const struct tree_host *host = g_ptr_array_index(t->order, i);

		if (strcmp(host->def.name, t->self.name) == 0)
			return NULL;
		if (is_usable(t, host, now_us))
			return &host->def;
	}
	return NULL;
}

uint32_t host_tree_count(const struct host_tree *t)
{
	return t->order->len;
}

void host_tree_fill(const struct host_tree *t, struct host_entry *out)
{
	uint32_t i;

	for (i = 0; i < t->order->len; i++) {
		const struct tree_host *host = g_ptr_array_index(t->order, i);

		out[i] = host->def;
	}
}

void host_tree_each_dc_peer(const struct host_tree *t,
			    void (*fn)(void *ctx,
				       const struct host_entry *host),
			    void *ctx)
{
	uint32_t i;

	for (i = 0; i < t->dc_host_count; i++) {
		const struct tree_host *host = g_ptr_array_index(t->order, i);

		if (host->def.port && strcmp(host->def.name, t->self.name) != 0)
			fn(ctx, &host->def);
	}
}

/* Position within its data centre of the host at @index of the order. */
static uint32_t dc_position(const struct host_tree *t, uint32_t index)
{
	const struct tree_host *host = g_ptr_array_index(t->order, index);
	uint32_t n = 0;

	while (n < index) {
		const struct tree_host *previous =
			g_ptr_array_index(t->order, index - n - 1);

		if (strcmp(previous->def.data_centre, host->def.data_centre) !=
		    0)
			break;
		n++;
	}
	return n;
}

struct candidate {
	const struct tree_host *host;
	uint32_t dc_position;
};

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->dc_position != y->dc_position)
		return x->dc_position < y->dc_position ? -1 : 1;
	return strcmp(x->host->def.data_centre, y->host->def.data_centre);
}

/*
 * The hosts in reach, this one included, in the order of their ranks; of each
 * data centre only the first HOST_TREE_RANKS_MAX. The caller frees the array.
 */
static GArray *candidates(const struct host_tree *t, int64_t now_us)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	uint32_t i;

	for (i = 0; i < t->order->len; i++) {
		const struct tree_host *host = g_ptr_array_index(t->order, i);
		struct candidate c = { host, dc_position(t, i) };

		if (c.dc_position < HOST_TREE_RANKS_MAX &&
		    (is_usable(t, host, now_us) ||
		     strcmp(host->def.name, t->self.name) == 0))
			g_array_append_val(list, c);
	}
	g_array_sort(list, compare_candidates);
	return list;
}

uint32_t host_tree_rank(const struct host_tree *t, int64_t now_us)
{
	GArray *list = candidates(t, now_us);
	uint32_t rank = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < list->len && i < HOST_TREE_RANKS_MAX; i++) {
		const struct candidate *c =
			&g_array_index(list, struct candidate, i);

		if (strcmp(c->host->def.name, t->self.name) == 0)
			rank = i;
	}
	g_array_free(list, TRUE);
	return rank;
}

const struct host_entry *host_tree_first_ranked(const struct host_tree *t,
						int64_t now_us)
{
	GArray *list = candidates(t, now_us);
	const struct tree_host *first =
		list->len ? g_array_index(list, struct candidate, 0).host
			  : NULL;

	g_array_free(list, TRUE);
	if (!first || strcmp(first->def.name, t->self.name) == 0)
		return NULL;
	return &first->def;
}

/* The host or seed @name, or NULL. */
static struct tree_host *find_host(const struct host_tree *t, const char *name)
{
	struct tree_host *host = g_hash_table_lookup(t->hosts, name);
	uint32_t i;

	for (i = 0; !host && i < t->seeds->len; i++) {
		struct tree_host *seed = g_ptr_array_index(t->seeds, i);

		if (strcmp(seed->def.name, name) == 0)
			host = seed;
	}
	return host;
}

void host_tree_peer_failed(struct host_tree *t, const char *name,
			   int64_t sent_us, int64_t now_us)
{
	struct tree_host *host = find_host(t, name);

	if (host && sent_us >= host->written_us)
		host->avoid_until_us = now_us + HOST_TREE_PEER_AVOID_US;
}

void host_tree_peer_unsound(struct host_tree *t, const char *name,
			    int64_t now_us)
{
	struct tree_host *host = find_host(t, name);

	if (host)
		host->unsound_until_us = now_us + HOST_TREE_UNSOUND_AVOID_US;
}

void host_tree_store_failed(struct host_tree *t, int64_t now_us)
{
	t->store_avoid_until_us = now_us + HOST_TREE_STORE_AVOID_US;
}

void host_tree_store_ok(struct host_tree *t)
{
	t->store_avoid_until_us = 0;
}

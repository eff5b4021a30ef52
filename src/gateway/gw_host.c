/*
 * What the gateway knows of the other hosts, and who of them gathers requests
 * for the others.
 */
#include <string.h>

#include "gateway/gw_internal.h"

#define MILLI 1000
/*
 * Part of a shard's limits that the gatherers share; the rest is for hosts that
 * gather a request themselves, because no gatherer took it.
 */
#define GATHERER_PERMILLE 700
/* Assumed until an answer was seen. */
#define PART_BYTES_DEFAULT 1400
/* A request with few parts does not tell gatherers from other hosts. */
#define PARTS_TYPICAL 64
/*
 * A gatherer that has failed is not asked again for FORWARD_AVOID_MIN_US,
 * doubled with each failure in a row, at most FORWARD_AVOID_MAX_US.
 */
#define FORWARD_AVOID_MIN_US (500 * US_PER_MS)
#define FORWARD_AVOID_MAX_US (4 * US_PER_S)
#define FORWARD_DOUBLINGS_MAX 3
/* As long as the control duty counts a host whose entry is gone. */
#define SHARE_GRACE_US (60 * (int64_t)US_PER_S)

static struct forward_power power_of(const struct host_entry *e)
{
	return (struct forward_power){ e->core_permille, e->link_mbps };
}

struct forward_power gw_host_power(const struct gw *g)
{
	return (struct forward_power){ g->opt.tuning.core_permille,
				       g->opt.tuning.link_mbps };
}

struct forward_load gw_host_load(const struct gw_req *r)
{
	return (struct forward_load){ r->route->part_count,
				      r->stats->part_bytes
					      ? r->stats->part_bytes
					      : PART_BYTES_DEFAULT };
}

static struct gw_host *get_host(struct gw *g, const struct host_entry *e)
{
	struct gw_host *h = g_hash_table_lookup(g->hosts, e->name);

	if (!h) {
		h = util_alloc(1, sizeof(*h));
		h->def = *e;
		g_hash_table_insert(g->hosts, h->def.name, h);
	}
	h->def = *e;
	h->is_known = 1;
	return h;
}

static void forget_hosts(struct gw *g)
{
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(g->gatherers, 0);
	g_hash_table_iter_init(&it, g->hosts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct gw_host *)value)->is_known = 0;
}

static gboolean is_unused(gpointer key, gpointer value, gpointer ctx)
{
	const struct gw_host *h = value;

	return !h->is_known && !h->open_count;
}

/* The host of @v that gathers fastest; NULL if one does not state its link. */
static const struct host_entry *find_best(const struct gw_view *v,
					  const struct forward_load *load)
{
	const struct host_entry *best = NULL;
	int64_t best_us = INT64_MAX;
	uint32_t i;

	for (i = 0; i < v->entry_count; i++) {
		struct forward_power power = power_of(&v->entries[i]);
		int64_t us = forward_gather_us(&power, load, 0);

		if (us == INT64_MAX || !v->entries[i].port)
			return NULL;
		if (us < best_us)
			best = &v->entries[i];
		best_us = util_min_i64(best_us, us);
	}
	return best;
}

/* Finds the gatherers among the hosts of @v, the fastest of which is @best. */
static void find_gatherers(struct gw *g, const struct gw_view *v,
			   const struct host_entry *best,
			   const struct forward_load *load)
{
	struct forward_power best_power = power_of(best);
	struct forward_power self = gw_host_power(g);
	uint32_t i;

	g->is_gatherer = forward_is_gatherer(&self, &best_power, load);
	for (i = 0; i < v->entry_count; i++) {
		const struct host_entry *e = &v->entries[i];
		struct forward_power power = power_of(e);

		if (!forward_is_gatherer(&power, &best_power, load))
			continue;
		g->gatherer_count++;
		if (strcmp(e->name, g->opt.host) != 0)
			g_ptr_array_add(g->gatherers, get_host(g, e));
	}
}

static void set_share_count(struct gw *g, int64_t now_us)
{
	if (g->gatherer_count < g->gatherer_share_count &&
	    now_us < g->gatherer_share_until_us)
		return;
	g->gatherer_share_count = g->gatherer_count;
	g->gatherer_share_until_us = now_us + SHARE_GRACE_US;
}

/* Places of the hosts follow from the order of their names. */
static void set_turn(struct gw *g, const struct gw_view *v)
{
	uint32_t before = 0;
	uint32_t i;

	for (i = 0; i < v->entry_count; i++)
		before += strcmp(v->entries[i].name, g->opt.host) < 0;
	g->turn_permille = v->entry_count ? before * PERMILLE /
						    util_max_u32(v->entry_count,
								 before + 1)
					  : 0;
}

void gw_host_bind(struct gw *g, const struct gw_view *v, int64_t now_us)
{
	struct forward_load load = { PARTS_TYPICAL, PART_BYTES_DEFAULT };
	const struct host_entry *best = find_best(v, &load);

	forget_hosts(g);
	g->gatherer_count = 0;
	g->is_gatherer = 1;
	if (best && g->opt.host[0])
		find_gatherers(g, v, best, &load);
	/* All hosts are alike, or nearly. */
	if (g->gatherer_count == v->entry_count) {
		g->gatherer_count = 0;
		g_ptr_array_set_size(g->gatherers, 0);
	}
	set_share_count(g, now_us);
	set_turn(g, v);
	g_hash_table_foreach_remove(g->hosts, is_unused, NULL);
}

uint64_t gw_host_divisor_milli(const struct gw *g, const struct gw_service *s)
{
	if (!g->gatherer_count || !s->is_shard)
		return (uint64_t)g->host_count * MILLI;
	if (g->is_gatherer)
		return (uint64_t)g->gatherer_share_count * MILLI * PERMILLE /
		       GATHERER_PERMILLE;
	return (uint64_t)g->host_count * MILLI * PERMILLE /
	       (PERMILLE - GATHERER_PERMILLE);
}

static int has_target_in(const struct gw_service *s, const char *data_centre)
{
	uint32_t i;

	for (i = 0; i < s->targets->len; i++) {
		const struct gw_target *t = g_ptr_array_index(s->targets, i);

		if (t->is_usable &&
		    strcmp(t->def.data_centre, data_centre) == 0)
			return 1;
	}
	return 0;
}

uint32_t gw_host_remote_count(const struct gw_req *r, const char *data_centre)
{
	GHashTable *counts = r->stats->remote_counts;
	gpointer known;
	uint32_t n = 0;
	uint32_t i;

	if (g_hash_table_lookup_extended(counts, data_centre, NULL, &known))
		return GPOINTER_TO_UINT(known);
	for (i = 0; i < r->route->part_count; i++)
		n += !has_target_in(
			r->binding->services[r->route->parts[i].service],
			data_centre);
	g_hash_table_insert(counts, util_strdup(data_centre),
			    GUINT_TO_POINTER(n));
	return n;
}

void gw_host_answered(struct gw_host *h, int64_t now_us)
{
	h->answered_us = now_us;
	h->failures_in_row = 0;
	h->avoid_until_us = 0;
}

void gw_host_failed(struct gw_host *h, int64_t sent_us, int64_t now_us)
{
	uint32_t doublings;

	if (sent_us < h->answered_us)
		return;
	doublings = util_min_u32(h->failures_in_row++, FORWARD_DOUBLINGS_MAX);
	h->avoid_until_us =
		now_us + util_min_i64(FORWARD_AVOID_MIN_US << doublings,
				      FORWARD_AVOID_MAX_US);
}

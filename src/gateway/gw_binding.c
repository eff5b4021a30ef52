/* Binds the view in force to the state that is kept across views. */
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "gateway/gw_internal.h"

/* Calls to a new target are expected to take the mean answer time. */
#define SLOWNESS_START_MILLI 1000
/*
 * Part of a target's connections that hosts may keep open while they are idle;
 * if it is less than one for each host, idle connections are closed early.
 * After a loss of power targets hold the connections of the dead processes for
 * seconds, and there has to be room for new ones.
 */
#define SCARCE_PERMILLE 600
/*
 * Part of the shared allowance for extra calls that the hosts use, each of them
 * by its own counts.
 */
#define ALLOWANCE_PERMILLE 900
#define MILLI 1000

/*
 * The platform allows a fifth of the requests and a fixed number as extra
 * calls. One host may send only a few of them to a service, so that one call is
 * a large part of the host's allowance.
 */
static const struct hedge_delay_policy hedge_policy = {
	.factor_start_milli = 2000,
	.factor_min_milli = 1500,
	.fill_low_permille = 450,
	.fill_high_permille = 600
};

static struct gw_service *get_service(struct gw *g, const char *name)
{
	struct gw_service *s = g_hash_table_lookup(g->services, name);

	if (s)
		return s;
	s = util_alloc(1, sizeof(*s));
	util_copy_str(s->name, sizeof(s->name), name);
	s->targets = g_ptr_array_new();
	s->series = series_get(SERIES_SERVICE, name);
	TAILQ_INIT(&s->waiting);
	g_hash_table_insert(g->services, s->name, s);
	return s;
}

static struct gw_route_stats *get_route_stats(struct gw *g,
					      const struct route *r)
{
	struct gw_route_stats *s = g_hash_table_lookup(g->routes, r->name);

	if (s)
		return s;
	s = util_alloc(1, sizeof(*s));
	hedge_delay_init(&s->hedge, &hedge_policy);
	s->series = series_get(SERIES_ROUTE, r->name);
	s->remote_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
	/* Assumed until there are answers: a goal leaves time for several. */
	s->hedge.mean_us = (int64_t)r->goal_ms * US_PER_MS / 8;
	g_hash_table_insert(g->routes, util_strdup(r->name), s);
	return s;
}

void gw_binding_unref(struct gw_binding *b)
{
	if (!b || --b->refs > 0)
		return;
	route_config_unref(b->config);
	free(b->services);
	free(b->routes);
	free(b);
}

/* Takes ownership of @c. */
static struct gw_binding *binding_new(struct gw *g, struct route_config *c)
{
	struct gw_binding *b = util_alloc(1, sizeof(*b));
	uint32_t i;

	b->refs = 1;
	b->config = c;
	b->services = util_alloc(c->service_count, sizeof(b->services[0]));
	b->routes = util_alloc(c->route_count, sizeof(b->routes[0]));
	for (i = 0; i < c->service_count; i++)
		b->services[i] = get_service(g, c->services[i].name);
	for (i = 0; i < c->route_count; i++)
		b->routes[i] = get_route_stats(g, &c->routes[i]);
	return b;
}

static struct gw_target *get_target(struct gw *g,
				    const struct target_entry *def)
{
	char key[WIRE_ID_BYTES + 32];
	struct gw_target *t;

	snprintf(key, sizeof(key), "%s/%lld", def->id,
		 (long long)def->started_ms);
	t = g_hash_table_lookup(g->targets, key);
	if (t)
		return t;
	t = util_alloc(1, sizeof(*t));
	t->refs = 1;
	t->slowness_milli = SLOWNESS_START_MILLI;
	t->connection_limit = 1;
	TAILQ_INIT(&t->calls);
	g_hash_table_insert(g->targets, util_strdup(key), t);
	return t;
}

static void bind_target(struct gw *g, const struct target_entry *def,
			int64_t now_us)
{
	struct gw_target *t = get_target(g, def);
	uint32_t previous_ms = t->def.warmup_left_ms;

	if (strcmp(t->def.address, def->address) != 0 ||
	    t->def.port != def->port)
		t->misdirected_until_us = 0;
	t->def = *def;
	gw_target_bind_warmup(g, t, previous_ms, now_us);
	g->target_count += !def->is_draining && !def->is_evacuated;
	t->is_usable = !def->is_draining && !def->is_evacuated &&
		       !t->is_leaving;
	gw_target_keep_leaving(t, now_us);
	if (t->is_usable)
		g_ptr_array_add(get_service(g, def->service)->targets, t);
}

static gboolean is_unused(gpointer key, gpointer value, gpointer ctx)
{
	const struct gw_target *t = value;
	const int64_t *now_us = ctx;

	return !t->is_usable && t->outstanding == 0 &&
	       *now_us >= t->kept_until_us;
}

static void unbind_targets(struct gw *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_service *s = value;

		g_ptr_array_set_size(s->targets, 0);
	}
	g_hash_table_iter_init(&it, g->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_target *t = value;

		t->is_usable = 0;
	}
}

static void set_limits(struct gw *g, const struct service *def,
		       struct gw_service *s)
{
	uint64_t divisor_milli = gw_host_divisor_milli(g, s);
	uint32_t slack_milli =
		(uint32_t)((uint64_t)g->opt.tuning.extra_call_slack *
			   ALLOWANCE_PERMILLE * MILLI / divisor_milli);
	uint32_t i;

	extra_window_configure(&s->extra_calls,
			       g->opt.tuning.extra_call_permille *
				       ALLOWANCE_PERMILLE / PERMILLE,
			       slack_milli,
			       g->opt.started_us + EXTRA_WINDOW_US);
	for (i = 0; i < s->targets->len; i++) {
		struct gw_target *t = g_ptr_array_index(s->targets, i);

		t->connection_limit = util_max_u32(
			1, (uint32_t)((uint64_t)def->target_connections_max *
				      MILLI / divisor_milli));
		t->has_scarce_connections =
			def->target_connections_max &&
			(uint64_t)def->target_connections_max *
					SCARCE_PERMILLE <
				divisor_milli;
		if (!t->concurrency_limit_milli)
			t->concurrency_limit_milli =
				t->connection_limit * MILLI;
	}
}

/* Marks the services that are parts of routes that gather. */
static void mark_shards(struct gw *g, const struct route_config *c)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->service_count; i++)
		g->binding->services[i]->is_shard = 0;
	for (i = 0; i < c->route_count; i++) {
		const struct route *r = &c->routes[i];

		g_hash_table_remove_all(g->binding->routes[i]->remote_counts);
		for (k = 0; r->is_gather && k < r->part_count; k++)
			g->binding->services[r->parts[k].service]->is_shard = 1;
	}
}

/* What the targets need to know of their services when they are bound. */
static void bind_services(struct gw *g)
{
	const struct route_config *c = g->binding ? g->binding->config : NULL;
	uint32_t i;

	if (!c)
		return;
	mark_shards(g, c);
	for (i = 0; i < c->service_count; i++)
		g->binding->services[i]->cold_rate_milli =
			c->services[i].cold_rate_milli;
}

static void set_all_limits(struct gw *g)
{
	const struct route_config *c = g->binding ? g->binding->config : NULL;
	uint32_t i;

	for (i = 0; c && i < c->service_count; i++)
		set_limits(g, &c->services[i], g->binding->services[i]);
}

void gw_tune(struct gw *g, const struct gw_tuning *tuning)
{
	g->opt.tuning = *tuning;
	set_all_limits(g);
}

void gw_bind(struct gw *g, struct gw_view *v, int64_t now_us)
{
	uint32_t i;

	g->host_count = util_max_u32(1, v->host_count);
	unbind_targets(g);
	g->target_count = 0;
	if (v->config && (!g->binding || g->binding->config != v->config)) {
		gw_binding_unref(g->binding);
		g->binding = binding_new(g, route_config_ref(v->config));
		log_event(LOG_LEVEL_INFO, "config_in_force",
			  "version %llu, %u routes, %u services",
			  (unsigned long long)v->config->version,
			  v->config->route_count, v->config->service_count);
	}
	gw_host_bind(g, v, now_us);
	bind_services(g);
	for (i = 0; i < v->target_count; i++)
		bind_target(g, &v->targets[i], now_us);
	set_all_limits(g);
	gw_version_bind(g, v, now_us);
	g_hash_table_foreach_remove(g->targets, is_unused, &now_us);
}

void gw_free_state(struct gw *g)
{
	GHashTableIter it;
	gpointer value;

	gw_binding_unref(g->binding);
	g_hash_table_iter_init(&it, g->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_service *s = value;

		timer_queue_cancel(g->timers, &s->next_call_timer);
		g_ptr_array_free(s->targets, TRUE);
		free(s);
	}
	g_hash_table_iter_init(&it, g->routes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_route_stats *s = value;

		g_hash_table_destroy(s->remote_counts);
		free(s->credit);
		free(s);
	}
}

#include "model/route.h"

#include <math.h>
#include <stdatomic.h>
#include <string.h>

#define TIMEOUT_MS_MAX 600000
#define ATTEMPTS_MAX 64

static void free_array(gpointer p)
{
	g_ptr_array_free(p, TRUE);
}

struct route_config *route_config_new(uint32_t route_count,
				      uint32_t service_count)
{
	struct route_config *c = util_alloc(1, sizeof(*c));

	c->refs = 1;
	c->route_count = route_count;
	c->routes = util_alloc(route_count, sizeof(c->routes[0]));
	c->service_count = service_count;
	c->services = util_alloc(service_count, sizeof(c->services[0]));
	c->by_host_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_array);
	return c;
}

struct route_config *route_config_ref(struct route_config *c)
{
	atomic_fetch_add(&c->refs, 1);
	return c;
}

void route_config_unref(struct route_config *c)
{
	uint32_t i;

	if (!c || atomic_fetch_sub(&c->refs, 1) != 1)
		return;
	g_hash_table_destroy(c->by_host_name);
	for (i = 0; i < c->route_count; i++) {
		free(c->routes[i].name);
		free(c->routes[i].host_name);
		free(c->routes[i].prefix);
		free(c->routes[i].parts);
	}
	for (i = 0; i < c->service_count; i++)
		free(c->services[i].name);
	free(c->routes);
	free(c->services);
	free(c);
}

static enum err_code check_route(const struct route_config *c,
				 const struct route *r, struct err *err)
{
	size_t len = r->prefix ? strlen(r->prefix) : 0;
	double weight_sum = 0;
	uint32_t i;

	if (!r->name || !r->host_name || !len || r->prefix[0] != '/' ||
	    r->prefix[len - 1] != '/')
		return err_set(err, ERR_CFG_FIELD,
			       "route '%.64s': name, host and a prefix that "
			       "begins and ends with '/' are required",
			       r->name ? r->name : "");
	if (r->timeout_ms < 1 || r->timeout_ms > TIMEOUT_MS_MAX ||
	    r->goal_ms < 1 || r->attempts_max < 1 ||
	    r->attempts_max > ATTEMPTS_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "route '%.64s': timeout %u ms, goal %u ms, "
			       "attempts %u; accepted 1 to 600000, 1 or more, "
			       "1 to 64",
			       r->name, r->timeout_ms, r->goal_ms,
			       r->attempts_max);
	if (!r->part_count || (r->is_gather && r->parts_min > r->part_count))
		return err_set(err, ERR_CFG_FIELD,
			       "route '%.64s': accepted at least one service, "
			       "and not more required parts than services",
			       r->name);
	for (i = 0; i < r->part_count; i++) {
		if (r->parts[i].service >= c->service_count)
			return err_set(err, ERR_CFG_FIELD,
				       "route '%.64s' names a service that is "
				       "not defined",
				       r->name);
		if (!(r->parts[i].weight >= 0))
			weight_sum = NAN;
		weight_sum += r->parts[i].weight;
	}
	if (!(weight_sum > 0 && isfinite(weight_sum)))
		return err_set(err, ERR_CFG_FIELD,
			       "route '%.64s': accepted weights of 0 or more, "
			       "and a sum above 0",
			       r->name);
	return ERR_OK;
}

static gint compare_longest_first(gconstpointer a, gconstpointer b)
{
	const struct route *route_a = *(const struct route *const *)a;
	const struct route *route_b = *(const struct route *const *)b;
	size_t a_len = strlen(route_a->prefix);
	size_t b_len = strlen(route_b->prefix);

	return a_len < b_len ? 1 : a_len > b_len ? -1 : 0;
}

static void sort_routes(gpointer key, gpointer value, gpointer ctx)
{
	g_ptr_array_sort(value, compare_longest_first);
}

enum err_code route_config_finish(struct route_config *c, struct err *err)
{
	uint32_t i;

	for (i = 0; i < c->route_count; i++) {
		struct route *r = &c->routes[i];
		GPtrArray *list;

		if (check_route(c, r, err) != ERR_OK)
			return err->code;
		list = g_hash_table_lookup(c->by_host_name, r->host_name);
		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(c->by_host_name, r->host_name,
					    list);
		}
		g_ptr_array_add(list, r);
	}
	g_hash_table_foreach(c->by_host_name, sort_routes, NULL);
	return ERR_OK;
}

const struct route *route_find(const struct route_config *c,
			       const char *host_name, const char *path)
{
	const GPtrArray *list = g_hash_table_lookup(c->by_host_name, host_name);
	uint32_t i;

	for (i = 0; list && i < list->len; i++) {
		const struct route *r = g_ptr_array_index(list, i);

		if (strncmp(path, r->prefix, strlen(r->prefix)) == 0)
			return r;
	}
	return NULL;
}

uint32_t route_config_find_service(const struct route_config *c,
				   const char *name)
{
	uint32_t i;

	for (i = 0; i < c->service_count; i++) {
		if (strcmp(c->services[i].name, name) == 0)
			return i;
	}
	return UINT32_MAX;
}

/* Filter 4: selects the services that the request asks. */
#include "decide/weighted.h"
#include "gateway/gw_internal.h"

/* Chooses a part of a route that splits its requests by weights. */
static uint32_t choose_part(struct gw_req *r)
{
	const struct route *route = r->route;
	struct gw_route_stats *s = r->stats;
	double *weights CLEANUP_FREE = NULL;
	uint32_t i;

	if (route->part_count == 1)
		return 0;
	if (s->credit_count != route->part_count) {
		free(s->credit);
		s->credit = util_alloc(route->part_count, sizeof(s->credit[0]));
		s->credit_count = route->part_count;
	}
	weights = util_alloc(route->part_count, sizeof(weights[0]));
	for (i = 0; i < route->part_count; i++)
		weights[i] = route->parts[i].weight;
	return weighted_choose(weights, s->credit, route->part_count);
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;
	const struct route *route = r->route;
	uint32_t first = route->is_gather ? 0 : choose_part(r);
	uint32_t i;

	r->part_count = route->is_gather ? route->part_count : 1;
	r->parts = util_alloc(r->part_count, sizeof(r->parts[0]));
	for (i = 0; i < r->part_count; i++) {
		r->parts[i].req = r;
		r->parts[i].service =
			r->binding->services[route->parts[first + i].service];
	}
	return FILTER_NEXT;
}

struct filter gw_filter_plan(struct gw *g)
{
	return (struct filter){ "plan", enter, NULL, g };
}

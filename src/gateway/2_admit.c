/* Filter 2: refuses at once what cannot be sent in time. */
#include "gateway/gw_internal.h"

/* Requests that may wait for each connection of a service's targets. */
#define WAITING_PER_CONNECTION 2
#define OVERLOAD_RETRY_MS 100

static uint32_t connections(const struct gw_service *s)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < s->targets->len; i++) {
		const struct gw_target *t = g_ptr_array_index(s->targets, i);

		sum += t->connection_limit;
	}
	return sum;
}

static int is_full(const struct gw_service *s)
{
	return s->waiting_count &&
	       s->waiting_count >= WAITING_PER_CONNECTION * connections(s);
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;
	const struct route *route = r->route;
	uint32_t full = 0;
	uint32_t i;

	for (i = 0; i < route->part_count; i++)
		full += (uint32_t)is_full(
			r->binding->services[route->parts[i].service]);
	if (route->is_gather ? route->part_count - full < route->parts_min
			     : full == route->part_count)
		return gw_req_refuse(r, 503, ERR_OVERLOADED, OVERLOAD_RETRY_MS);
	return FILTER_NEXT;
}

struct filter gw_filter_admit(struct gw *g)
{
	return (struct filter){ "admit", enter, NULL, g };
}

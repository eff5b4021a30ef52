/* Filter 2: refuses at once a request that would wait too long for a target. */
#include "gateway/gw_internal.h"

/*
 * Parts that may wait at a service, for each connection that this host may have
 * open to its targets.
 */
#define WAITING_PER_CONNECTION 2
#define OVERLOAD_RETRY_MS 100

static uint32_t connection_limit_sum(const struct gw_service *s)
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
	       s->waiting_count >=
		       WAITING_PER_CONNECTION * connection_limit_sum(s);
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;
	const struct route *route = r->route;
	uint32_t full_count = 0;
	uint32_t i;

	for (i = 0; i < route->part_count; i++)
		full_count += (uint32_t)is_full(
			r->binding->services[route->parts[i].service]);
	if (route->is_gather ? route->part_count - full_count < route->parts_min
			     : full_count == route->part_count)
		return gw_req_refuse(r, 503, ERR_OVERLOADED, OVERLOAD_RETRY_MS);
	return FILTER_NEXT;
}

struct filter gw_filter_admit(struct gw *g)
{
	return (struct filter){ "admit", enter, NULL, g };
}

/*
 * Filter 2: refuses at once a request that would wait too long for a target, or
 * for which too few services have a target that may be called in its time.
 */
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

static int compare_times(const void *a, const void *b)
{
	const int64_t *a_us = a;
	const int64_t *b_us = b;

	return *a_us < *b_us ? -1 : *a_us > *b_us;
}

/*
 * Time at which enough services have a target that may be called; on a host that
 * leaves, including the time for those that wait already.
 */
static int64_t first_call_us(const struct gw_req *r, uint32_t services_min,
			     int64_t now_us)
{
	const struct route *route = r->route;
	int64_t *times_us CLEANUP_FREE =
		util_alloc(route->part_count, sizeof(*times_us));
	uint32_t i;

	for (i = 0; i < route->part_count; i++) {
		const struct gw_service *s =
			r->binding->services[route->parts[i].service];

		times_us[i] = r->gw->stop_us
				      ? gw_leave_call_us(s, r, now_us)
				      : gw_target_first_call_us(s, now_us);
	}
	qsort(times_us, route->part_count, sizeof(*times_us), compare_times);
	return times_us[services_min - 1];
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct gw_req *r = item;
	const struct route *route = r->route;
	uint32_t services_min = route->is_gather ? route->parts_min : 1;
	uint32_t full_count = 0;
	uint32_t i;
	int64_t at_us;

	for (i = 0; i < route->part_count; i++)
		full_count += (uint32_t)is_full(
			r->binding->services[route->parts[i].service]);
	if (route->part_count - full_count < services_min)
		return gw_req_refuse(r, 503, ERR_OVERLOADED, OVERLOAD_RETRY_MS);
	at_us = first_call_us(r, services_min, now_us);
	if (at_us > gw_leave_last_call_us(r))
		return gw_leave_refuse(r);
	if (!gw_req_has_time(r, at_us) && at_us > now_us)
		return gw_req_refuse(r, 503, ERR_NO_REPLICA,
				     gw_req_retry_ms(at_us, now_us));
	/* Parts that would come too late are not needed if there are enough. */
	r->wait_until_us = route->is_gather && at_us <= now_us
				   ? r->partial_after_us
				   : r->deadline_us;
	return FILTER_NEXT;
}

struct filter gw_filter_admit(struct gw *g)
{
	return (struct filter){ "admit", enter, NULL, g };
}

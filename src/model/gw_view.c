#include "model/gw_view.h"

#include <stdatomic.h>
#include <string.h>

int searcher_equal(const struct searcher *a, const struct searcher *b)
{
	return strcmp(a->id, b->id) == 0 &&
	       strcmp(a->service, b->service) == 0 &&
	       strcmp(a->address, b->address) == 0 && a->port == b->port &&
	       strcmp(a->data_centre, b->data_centre) == 0 &&
	       strcmp(a->version, b->version) == 0 && a->slots == b->slots &&
	       a->is_draining == b->is_draining &&
	       a->warmup_left_ms == b->warmup_left_ms &&
	       a->born_ms == b->born_ms;
}

struct gw_view *gw_view_new(uint32_t searcher_count)
{
	struct gw_view *v = cu_alloc(1, sizeof(*v));

	v->refs = 1;
	v->searcher_count = searcher_count;
	v->searchers = cu_alloc(searcher_count, sizeof(v->searchers[0]));
	return v;
}

void gw_view_unref(struct gw_view *v)
{
	if (!v || atomic_fetch_sub(&v->refs, 1) != 1)
		return;
	route_config_unref(v->config);
	free(v->searchers);
	free(v);
}

#include "model/gw_view.h"

#include <stdatomic.h>
#include <string.h>

int target_entry_equal(const struct target_entry *a,
		       const struct target_entry *b)
{
	return strcmp(a->id, b->id) == 0 &&
	       strcmp(a->service, b->service) == 0 &&
	       strcmp(a->address, b->address) == 0 && a->port == b->port &&
	       strcmp(a->data_centre, b->data_centre) == 0 &&
	       strcmp(a->version, b->version) == 0 && a->slots == b->slots &&
	       a->is_draining == b->is_draining &&
	       a->warmup_left_ms == b->warmup_left_ms &&
	       a->started_ms == b->started_ms;
}

enum target_entry_order target_entry_order(const struct target_entry *entry,
					   const struct target_entry *known)
{
	if (!entry->started_ms || !known->started_ms ||
	    entry->started_ms > known->started_ms)
		return TARGET_ENTRY_LATER;
	if (entry->started_ms < known->started_ms)
		return TARGET_ENTRY_OLD_PROCESS;
	return entry->write_no < known->write_no ? TARGET_ENTRY_EARLIER
						 : TARGET_ENTRY_LATER;
}

struct gw_view *gw_view_new(uint32_t target_count)
{
	struct gw_view *v = util_alloc(1, sizeof(*v));

	v->refs = 1;
	v->target_count = target_count;
	v->targets = util_alloc(target_count, sizeof(v->targets[0]));
	return v;
}

void gw_view_unref(struct gw_view *v)
{
	if (!v || atomic_fetch_sub(&v->refs, 1) != 1)
		return;
	route_config_unref(v->config);
	free(v->targets);
	free(v->entries);
	free(v->shares);
	free(v);
}

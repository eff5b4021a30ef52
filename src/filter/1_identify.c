/* Filter 1: gives the request its ID and refuses one that is in flight. */
#include <inttypes.h>
#include <stdio.h>

#include "filter/req.h"

static char *id_key(const struct req *r)
{
	return g_strdup_printf("%s/%s", r->in->customer, r->in->id);
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct path *p = ctx;
	g_autofree char *key = NULL;

	if (p->leaving)
		return req_refuse(r, ERR_STOPPING, "send to another host");
	if (!r->in->id[0])
		snprintf(r->in->id, sizeof(r->in->id), "%.40s-%016" PRIx64,
			 p->self, rng_u64(&p->rng));
	if (!req_is_once(r))
		return FILTER_NEXT;
	key = id_key(r);
	if (g_hash_table_contains(p->ids, key))
		return req_refuse(r, ERR_DUPLICATE, "in flight on this host");
	g_hash_table_add(p->ids, g_steal_pointer(&key));
	return FILTER_NEXT;
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct path *p = ctx;
	g_autofree char *key = NULL;

	if (!req_is_once(r))
		return;
	key = id_key(r);
	g_hash_table_remove(p->ids, key);
}

struct filter filter_identify(struct path *p)
{
	return (struct filter){ "identify", enter, leave, p };
}

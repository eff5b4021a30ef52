/*
 * Filter 1: gives a request without an ID one, and refuses all requests while
 * this host drains and a non-idempotent request whose ID is in flight on it.
 */
#include <inttypes.h>
#include <stdio.h>

#include "filter/pipeline_internal.h"

static char *at_most_once_key(const struct req *r)
{
	return g_strdup_printf("%s/%s", r->request->customer, r->request->id);
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct pipeline *p = ctx;
	g_autofree char *key = NULL;

	if (p->is_draining)
		return req_refuse(r, ERR_STOPPING,
				  "this host is shutting down; send to another "
				  "host");
	if (!r->request->id[0])
		snprintf(r->request->id, sizeof(r->request->id),
			 "%.40s-%016" PRIx64, p->self, rng_u64(&p->rng));
	if (!req_at_most_once(r))
		return FILTER_NEXT;
	key = at_most_once_key(r);
	if (g_hash_table_contains(p->at_most_once_ids, key))
		return req_refuse(r, ERR_DUPLICATE,
				  "a request with this ID is in flight on this "
				  "host");
	g_hash_table_add(p->at_most_once_ids, g_steal_pointer(&key));
	return FILTER_NEXT;
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct pipeline *p = ctx;
	g_autofree char *key = NULL;

	if (!req_at_most_once(r))
		return;
	key = at_most_once_key(r);
	g_hash_table_remove(p->at_most_once_ids, key);
}

struct filter filter_identify(struct pipeline *p)
{
	return (struct filter){ "identify", enter, leave, p };
}

/*
 * Filter 5: pins the request to one view, and so to one layout and snapshot,
 * and draws the version and the data centres that it may use.
 */
#include <string.h>

#include "filter/pipeline_internal.h"

/*
 * Draws each listed version of @service with the probability of its share, and
 * VERSION_UNLISTED with the rest; VERSION_ANY if none is listed.
 */
static uint32_t draw_version(struct pipeline *p, const struct view *v,
			     const char *service)
{
	uint32_t draw = rng_below(&p->rng, PERMILLE);
	uint32_t version = VERSION_ANY;
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < v->version_count; i++) {
		if (strcmp(v->versions[i].service, service) != 0)
			continue;
		sum += v->versions[i].share_permille;
		if (draw < sum)
			return i;
		version = VERSION_UNLISTED;
	}
	return version;
}

static void select_shards(struct req *r)
{
	const struct layout *l = r->index->layout;
	uint32_t i;

	r->shard_first = 0;
	r->shard_count = l->shard_count;
	if (r->request->op == OP_LOOKUP) {
		r->shard_first = layout_shard_of(l, r->request->text);
		r->shard_count = 1;
	}
	r->shards = util_alloc(r->shard_count, sizeof(*r->shards));
	for (i = 0; i < r->shard_count; i++) {
		r->shards[i].req = r;
		r->shards[i].shard_pos = r->shard_first + i;
	}
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct pipeline *p = ctx;

	r->binding = p->binding;
	r->binding->refs++;
	r->index = view_binding_find_index(r->binding, r->request->index);
	if (!r->index) {
		view_binding_unref(r->binding);
		r->binding = NULL;
		return req_refuse(r, ERR_UNKNOWN_INDEX, r->request->index);
	}
	r->dc_draw_permille = rng_below(&p->rng, PERMILLE);
	r->version =
		draw_version(p, r->binding->view, r->index->layout->service);
	select_shards(r);
	warmup_save_search(p, r, now_us);
	return FILTER_NEXT;
}

void pin_release(struct req *r)
{
	free(r->shards);
	r->shards = NULL;
	if (r->binding)
		view_binding_unref(r->binding);
	r->binding = NULL;
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	pin_release(r);
}

struct filter filter_pin(struct pipeline *p)
{
	return (struct filter){ "pin", enter, leave, p };
}

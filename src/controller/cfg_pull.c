/*
 * Pulls of a newer configuration from another host, in pages; see cfg.h. One
 * pull at a time is in progress.
 */
#include <string.h>

#include "controller/cfg_internal.h"

void cfg_end_pull_internal(struct cfg *c)
{
	cfg_delta_free(c->pulled_delta);
	cfg_revision_unref(c->pull_base);
	c->pulled_delta = NULL;
	c->pull_base = NULL;
	c->pulling = 0;
}

static void append_page(struct cfg_delta *joined, const struct cfg_delta *page)
{
	uint32_t total = joined->item_count + page->item_count;
	uint32_t i;

	joined->items = util_grow(joined->items, total, sizeof(*joined->items));
	for (i = 0; i < page->item_count; i++)
		joined->items[joined->item_count++] =
			cfg_item_ref(page->items[i]);
	joined->has_more = page->has_more;
}

/* 1 if both pages belong to the same set of changes. */
static int is_same_revision(const struct cfg_delta *a,
			    const struct cfg_delta *b)
{
	return a->rev == b->rev && a->is_full == b->is_full &&
	       a->recent_count == b->recent_count &&
	       a->recent_change_ids[0] == b->recent_change_ids[0];
}

/* Asks for the page after revision @after_rev; 0: the first page. */
static void pull_page(struct cfg *c, uint64_t after_rev)
{
	const struct cfg_head *h = c->pull_base->head;

	c->ops.pull(c->ops.ctx, c->pull_host, h->rev, cfg_head_change_id(h),
		    after_rev);
}

static void pull_complete(struct cfg *c)
{
	struct cfg_revision *r = cfg_revision_apply(
		c->pulled_delta->is_full ? NULL : c->pull_base,
		c->pulled_delta);

	if (r)
		cfg_adopt_internal(c, r);
	else
		c->ops.note(c->ops.ctx, "peer_config_incomplete", c->pull_host);
	cfg_end_pull_internal(c);
}

void cfg_on_delta(struct cfg *c, int64_t now_us, const struct cfg_delta *d)
{
	if (!c->pulling)
		return;
	if (!d || d->rev == 0 || d->recent_count == 0 ||
	    (c->pulled_delta && !is_same_revision(c->pulled_delta, d)) ||
	    (d->has_more && !d->item_count)) {
		cfg_end_pull_internal(c);
		return;
	}
	if (!c->pulled_delta) {
		c->pulled_delta = util_alloc(1, sizeof(*c->pulled_delta));
		*c->pulled_delta = *d;
		c->pulled_delta->items = NULL;
		c->pulled_delta->item_count = 0;
	}
	append_page(c->pulled_delta, d);
	if (d->has_more)
		pull_page(c, d->items[d->item_count - 1]->rev);
	else
		pull_complete(c);
}

void cfg_on_peer_rev(struct cfg *c, int64_t now_us, const char *host,
		     uint64_t rev, uint64_t change)
{
	if (c->pulling ||
	    c->compare(rev, change, cfg_rev(c), cfg_change_id(c)) <= 0)
		return;
	c->pulling = 1;
	util_copy_str(c->pull_host, sizeof(c->pull_host), host);
	c->pull_base = cfg_revision_ref(c->current);
	pull_page(c, 0);
}

#include <string.h>

#include "base/metric.h"
#include "codec/cfg_json.h"
#include "duty/control_internal.h"

#define CONTRACT_PREFIX "contract/"
#define LAYOUT_PREFIX "layout/"

static void free_layout(gpointer l)
{
	layout_free(l);
}

void control_view_init(struct control *c)
{
	c->contracts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	c->layouts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_layout);
}

void control_view_free(struct control *c)
{
	g_hash_table_destroy(c->contracts);
	g_hash_table_destroy(c->layouts);
}

static void take_contract(struct control *c, const struct cfg_item *item)
{
	struct contract *contract = util_alloc(1, sizeof(*contract));

	/* The configuration controller has already checked the document. */
	if (cfg_json_decode_contract(item->json, contract, NULL) != ERR_OK) {
		free(contract);
		return;
	}
	g_hash_table_replace(c->contracts, g_strdup(item->name), contract);
}

static void take_layout(struct control *c, const struct cfg_item *item)
{
	struct layout *layout = cfg_json_decode_layout(item->json, NULL);

	if (layout)
		g_hash_table_replace(c->layouts, g_strdup(item->name), layout);
}

void control_view_apply_item(struct control *c, const struct cfg_item *item)
{
	int is_contract = g_str_has_prefix(item->name, CONTRACT_PREFIX);
	int is_layout = g_str_has_prefix(item->name, LAYOUT_PREFIX);

	if (is_contract && item->json)
		take_contract(c, item);
	else if (is_contract)
		g_hash_table_remove(c->contracts, item->name);
	else if (is_layout && item->json)
		take_layout(c, item);
	else if (is_layout)
		g_hash_table_remove(c->layouts, item->name);
	c->view_dirty = 1;
}

static struct layout *copy_layout(const struct layout *l)
{
	struct layout *copy = layout_new(l->shard_count, l->target_count);

	util_copy_str(copy->index, sizeof(copy->index), l->index);
	util_copy_str(copy->snapshot, sizeof(copy->snapshot), l->snapshot);
	util_copy_str(copy->service, sizeof(copy->service), l->service);
	memcpy(copy->shards, l->shards, l->shard_count * sizeof(*l->shards));
	memcpy(copy->targets, l->targets,
	       l->target_count * sizeof(*l->targets));
	return copy;
}

static void add_items(const struct control *c, struct view *v)
{
	GHashTableIter it;
	gpointer value;

	v->contracts = util_alloc(g_hash_table_size(c->contracts),
				  sizeof(*v->contracts));
	g_hash_table_iter_init(&it, c->contracts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		v->contracts[v->contract_count++] = *(struct contract *)value;
	v->layouts = util_alloc(g_hash_table_size(c->layouts),
				sizeof(struct layout *));
	g_hash_table_iter_init(&it, c->layouts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		v->layouts[v->layout_count++] = copy_layout(value);
}

static void add_host(void *ctx, const struct member_info *m)
{
	struct view *v = ctx;

	if (m->state != HOST_LIVE && m->state != HOST_SUSPECT)
		return;
	v->hosts = util_grow(v->hosts, v->host_count + 1, sizeof(*v->hosts));
	util_copy_str(v->hosts[v->host_count++], NAME_BYTES, m->host);
}

/*
 * Blocks targets that the platform's host list shows as leaving, so that they
 * get no new work.
 */
static void add_leaving_targets(const struct control *c, struct view *v)
{
	uint32_t i;

	for (i = 0; c->listed_hosts && i < c->listed_hosts->count; i++) {
		const struct listed_host *h = &c->listed_hosts->hosts[i];

		if (h->is_entry_host || !h->is_leaving)
			continue;
		v->blocked_targets = util_grow(v->blocked_targets,
					       v->blocked_target_count + 1,
					       sizeof(*v->blocked_targets));
		util_copy_str(v->blocked_targets[v->blocked_target_count++].id,
			      NAME_BYTES, h->id);
	}
}

static struct view *build_view(struct control *c, int64_t now_us)
{
	struct view *v = view_new();
	uint32_t i;

	v->config_rev = cfg_rev(c->cfg);
	util_copy_str(v->self, sizeof(v->self), c->opt.host);
	add_items(c, v);
	membership_each(c->membership, add_host, v);
	add_leaving_targets(c, v);
	for (i = 0; i < c->hook_count; i++) {
		if (c->hooks[i].fill_view)
			c->hooks[i].fill_view(c->hooks[i].ctx, now_us, v);
	}
	return v;
}

static void drop_view(void *body)
{
	view_unref(body);
}

static void publish_view(struct control *c, int64_t now_us)
{
	struct view *v = build_view(c, now_us);
	struct msg m = { MSG_VIEW, v, drop_view };

	metric_set(METRIC_HOSTS_LIVE, v->host_count);
	if (ring_push(c->opt.request, &m) == ERR_OK)
		c->view_dirty = 0;
	else
		view_unref(v);
}

static void drop_config(void *body)
{
	cfg_revision_unref(body);
}

static void publish_config(struct control *c)
{
	struct cfg_revision *revision = cfg_revision_ref(cfg_current(c->cfg));
	struct msg m = { MSG_CONFIG, revision, drop_config };

	if (ring_push(c->opt.peer_listen, &m) == ERR_OK)
		c->config_dirty = 0;
	else
		cfg_revision_unref(revision);
}

void control_publish(struct control *c, int64_t now_us)
{
	uint32_t active = membership_active_count(c->membership);

	if (c->config_dirty)
		publish_config(c);
	if (c->view_dirty)
		publish_view(c, now_us);
	if (active != c->active_hosts && c->opt.host_count_changed)
		c->opt.host_count_changed(c->opt.host_count_changed_ctx,
					  active);
	c->active_hosts = active;
}

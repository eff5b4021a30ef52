/* Binds a view to the statistics that this host keeps across views. */
#include <string.h>

#include "decide/rendezvous.h"
#include "filter/pipeline_internal.h"

static struct target_state *get_target(struct pipeline *p,
				       const struct target *def)
{
	struct target_state *t = g_hash_table_lookup(p->targets, def->id);

	if (t) {
		target_state_set_def(t, def);
		return t;
	}
	t = target_state_new(def);
	g_hash_table_insert(p->targets, t->def.id, t);
	return t;
}

static struct index_stats *get_index_stats(struct pipeline *p,
					   const char *index)
{
	struct index_stats *s = g_hash_table_lookup(p->indexes, index);

	if (s)
		return s;
	s = util_alloc(1, sizeof(*s));
	hedge_delay_init(&s->hedge, &hedge_delay_small_budget);
	s->warmup_limit = 1;
	g_hash_table_insert(p->indexes, g_strdup(index), s);
	return s;
}

static struct shard_queue *get_queue(struct pipeline *p, const char *index,
				     const char *shard)
{
	g_autofree char *key = g_strdup_printf("%s/%s", index, shard);
	struct shard_queue *q = g_hash_table_lookup(p->queues, key);

	if (q)
		return q;
	q = util_alloc(1, sizeof(*q));
	TAILQ_INIT(&q->waiting);
	g_hash_table_insert(p->queues, g_steal_pointer(&key), q);
	return q;
}

static uint32_t find_version(const struct view *v, const char *service,
			     const char *version)
{
	uint32_t i;

	for (i = 0; i < v->version_count; i++) {
		if (strcmp(v->versions[i].service, service) == 0 &&
		    strcmp(v->versions[i].version, version) == 0)
			return i;
	}
	return VERSION_ANY;
}

static int is_owner_of(const struct pipeline *p, const struct view *v,
		       const char *target)
{
	if (v->host_count == 0)
		return 1;
	return rendezvous_is_owner(target, p->self, v->hosts, v->host_count);
}

static void bind_index(struct pipeline *p, struct index_binding *b,
		       const struct view *v, const struct layout *l)
{
	uint32_t i;
	uint32_t j;

	b->layout = l;
	b->stats = get_index_stats(p, l->index);
	b->targets = util_alloc(l->target_count, sizeof(*b->targets));
	b->queues = util_alloc(l->shard_count, sizeof(*b->queues));
	for (i = 0; i < l->shard_count; i++) {
		for (j = l->shards[i].replica_count; j > 0; j--)
			b->targets[l->shards[i].replicas[j - 1]].first_shard =
				i;
		b->queues[i] = get_queue(p, l->index, l->shards[i].name);
	}
	for (i = 0; i < l->target_count; i++) {
		const struct target *def = &l->targets[i];
		struct target_binding *t = &b->targets[i];

		t->target = target_state_ref(get_target(p, def));
		t->target->is_owner = is_owner_of(p, v, def->id);
		t->is_blocked = view_target_blocked(v, def->id);
		t->dc_share_permille = view_dc_share(v, def->data_centre);
		t->version = find_version(v, l->service, def->version);
	}
}

struct view_binding *view_binding_new(struct pipeline *p, struct view *v,
				      int64_t now_us)
{
	struct view_binding *b = util_alloc(1, sizeof(*b));
	uint32_t i;

	b->refs = 1;
	b->view = v;
	b->indexes = util_alloc(v->layout_count, sizeof(*b->indexes));
	for (i = 0; i < v->layout_count; i++)
		bind_index(p, &b->indexes[i], v, v->layouts[i]);
	return b;
}

static void unbind_index(struct index_binding *b)
{
	uint32_t i;

	for (i = 0; i < b->layout->target_count; i++)
		target_state_unref(b->targets[i].target);
	free(b->targets);
	free(b->queues);
}

void view_binding_unref(struct view_binding *b)
{
	uint32_t i;

	if (!b || --b->refs)
		return;
	for (i = 0; i < b->view->layout_count; i++)
		unbind_index(&b->indexes[i]);
	free(b->indexes);
	view_unref(b->view);
	free(b);
}

struct index_binding *view_binding_find_index(struct view_binding *b,
					      const char *index)
{
	uint32_t i;

	for (i = 0; i < b->view->layout_count; i++) {
		if (strcmp(b->view->layouts[i]->index, index) == 0)
			return &b->indexes[i];
	}
	return NULL;
}

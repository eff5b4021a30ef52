/*
 * Versions during a rollout: the share of a service's requests that the new
 * version gets, and what its answers show.
 */
#include <string.h>

#include "gateway/gw_internal.h"

/* Evidence is reported this often while a rollout is active. */
#define REPORT_US (200 * US_PER_MS)
/* Bad versions answer several times slower than their route's mean. */
#define SLOW_MEANS 3

static int is_new(const struct gw_service *s, const struct gw_target *t)
{
	return strcmp(t->def.version, s->version_split.version) == 0;
}

static void add_evidence(GArray *list, const struct gw_service *s,
			 const char *version, struct gw_version_counts *counts)
{
	struct rollout_report e = { .requests = counts->requests,
				    .failures = counts->failures,
				    .slow = counts->slow };

	if (!counts->requests)
		return;
	util_copy_str(e.service, sizeof(e.service), s->name);
	util_copy_str(e.version, sizeof(e.version), version);
	g_array_append_val(list, e);
	memset(counts, 0, sizeof(*counts));
}

static void on_report(void *ctx, int64_t now_us)
{
	struct gw *g = ctx;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct rollout_report));
	GHashTableIter it;
	gpointer value;
	int is_active = 0;

	g_hash_table_iter_init(&it, g->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_service *s = value;

		if (!s->version_split.is_active)
			continue;
		is_active = 1;
		add_evidence(list, s, s->version_split.version,
			     &s->version_split.new_counts);
		/* All versions but the new one count as the one before. */
		add_evidence(list, s, GW_OTHER_VERSIONS,
			     &s->version_split.old_counts);
	}
	if (list->len)
		g->ops.report_rollouts(g->ops.ctx,
				       (struct rollout_report *)list->data,
				       list->len);
	g_array_free(list, TRUE);
	if (is_active)
		timer_queue_arm(g->timers, &g->report_timer, now_us + REPORT_US,
				on_report, g);
}

static void set_split(struct gw *g, const struct gw_version_share *share)
{
	struct gw_service *s = g_hash_table_lookup(g->services, share->service);
	struct gw_version_split *v;

	if (!s)
		return;
	v = &s->version_split;
	if (strcmp(v->version, share->version) != 0) {
		memset(v, 0, sizeof(*v));
		util_copy_str(v->version, sizeof(v->version), share->version);
		/* Hosts with few requests contribute to small shares as well. */
		v->credit_permille = rng_below(&g->rng, PERMILLE);
	}
	v->is_active = 1;
	v->is_bad = (int)share->is_bad;
	v->share_permille = share->share_permille;
}

void gw_version_bind(struct gw *g, const struct gw_view *view, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&it, g->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct gw_service *)value)->version_split.is_active = 0;
	for (i = 0; i < view->share_count; i++)
		set_split(g, &view->shares[i]);
	if (view->share_count && !g->report_timer.armed_pos)
		timer_queue_arm(g->timers, &g->report_timer, now_us + REPORT_US,
				on_report, g);
}

int gw_version_allows(const struct gw_service *s, const struct gw_target *t,
		      enum gw_version_group group)
{
	if (group == VERSION_GROUP_ANY)
		return 1;
	return is_new(s, t) == (group == VERSION_GROUP_NEW);
}

/* Decided once for a part; hedges and retries do not raise the exposure. */
static enum gw_version_group choose_group(struct gw_part *p, int is_extra)
{
	struct gw_version_split *v = &p->service->version_split;

	if (v->share_permille >= PERMILLE)
		return VERSION_GROUP_NEW;
	if (is_extra || v->is_bad)
		return VERSION_GROUP_OLD;
	if (p->version_group == VERSION_GROUP_ANY) {
		v->credit_permille += v->share_permille;
		p->version_group = v->credit_permille >= PERMILLE
					   ? VERSION_GROUP_NEW
					   : VERSION_GROUP_OLD;
		if (p->version_group == VERSION_GROUP_NEW)
			v->credit_permille -= PERMILLE;
	}
	return p->version_group;
}

static int has_old(const struct gw_service *s)
{
	uint32_t i;

	for (i = 0; i < s->targets->len; i++) {
		if (!is_new(s, g_ptr_array_index(s->targets, i)))
			return 1;
	}
	return 0;
}

struct gw_pick gw_version_pick(struct gw_part *p, int is_extra, int64_t mean_us,
			       int64_t now_us)
{
	struct gw_service *s = p->service;
	enum gw_version_group group;
	struct gw_pick pick;

	if (!s->version_split.is_active)
		return gw_target_pick(s, p, VERSION_GROUP_ANY, mean_us, now_us);
	group = choose_group(p, is_extra);
	pick = gw_target_pick(s, p, group, mean_us, now_us);
	if (pick.target)
		return pick;
	if (group == VERSION_GROUP_NEW)
		return gw_target_pick(s, p, VERSION_GROUP_OLD, mean_us, now_us);
	/* A version that is not known to be bad is better than none. */
	if (!s->version_split.is_bad && !has_old(s))
		return gw_target_pick(s, p, VERSION_GROUP_NEW, mean_us, now_us);
	return pick;
}

void gw_version_record_call(struct gw_service *s, const struct gw_target *t,
			    enum gw_call_outcome outcome, int64_t took_us,
			    int64_t mean_us, int64_t now_us)
{
	int is_slow = took_us > SLOW_MEANS * mean_us &&
		      now_us >= t->cold_until_us;
	struct gw_version_counts *c;

	/* A call that was cut early shows nothing. */
	if (!s->version_split.is_active ||
	    (outcome == CALL_INCONCLUSIVE && !is_slow))
		return;
	c = is_new(s, t) ? &s->version_split.new_counts
			 : &s->version_split.old_counts;
	c->requests++;
	c->failures += outcome == CALL_FAILED;
	c->slow += (uint32_t)is_slow;
}

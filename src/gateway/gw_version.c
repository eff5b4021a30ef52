/*
 * Rollouts: gives the new version of a service its share of the requests, and
 * counts and reports the calls to the new and to the old versions.
 */
#include <string.h>

#include "gateway/gw_internal.h"

/* Time between two reports of the counts while a rollout is active. */
#define REPORT_PERIOD_US (200 * US_PER_MS)
/*
 * A call that takes more than this many mean answer times of its route is slow:
 * bad versions take several times the mean.
 */
#define SLOW_MEANS 3

static int is_new_version(const struct gw_service *s, const struct gw_target *t)
{
	return strcmp(t->def.version, s->version_split.version) == 0;
}

static void add_report(GArray *list, const struct gw_service *s,
		       const char *version, struct gw_version_counts *counts)
{
	struct rollout_report report = { .requests = counts->requests,
					 .failures = counts->failures,
					 .slow = counts->slow };

	if (!counts->requests)
		return;
	util_copy_str(report.service, sizeof(report.service), s->name);
	util_copy_str(report.version, sizeof(report.version), version);
	g_array_append_val(list, report);
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
		add_report(list, s, s->version_split.version,
			   &s->version_split.new_counts);
		/* All other versions are counted together as the old one. */
		add_report(list, s, GW_OTHER_VERSIONS,
			   &s->version_split.old_counts);
	}
	if (list->len)
		g->ops.report_rollouts(g->ops.ctx,
				       (struct rollout_report *)list->data,
				       list->len);
	g_array_free(list, TRUE);
	if (is_active)
		timer_queue_arm(g->timers, &g->report_timer,
				now_us + REPORT_PERIOD_US, on_report, g);
}

static void set_split(struct gw *g, const struct gw_version_share *share)
{
	struct gw_service *s = g_hash_table_lookup(g->services, share->service);
	struct gw_version_split *split;

	if (!s)
		return;
	split = &s->version_split;
	if (strcmp(split->version, share->version) != 0) {
		memset(split, 0, sizeof(*split));
		util_copy_str(split->version, sizeof(split->version),
			      share->version);
		/*
		 * At random, so that hosts with few requests serve small shares
		 * too.
		 */
		split->credit_permille = rng_below(&g->rng, PERMILLE);
	}
	split->is_active = 1;
	split->is_bad = (int)share->is_bad;
	split->barred = share->barred;
	split->share_permille = share->share_permille;
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
		timer_queue_arm(g->timers, &g->report_timer,
				now_us + REPORT_PERIOD_US, on_report, g);
}

int gw_version_allows(const struct gw_service *s, const struct gw_target *t,
		      enum gw_version_group group)
{
	if (s->version_split.is_active &&
	    gw_barred_has(&s->version_split.barred, t->def.version))
		return 0;
	if (group == VERSION_GROUP_ANY)
		return 1;
	return is_new_version(s, t) == (group == VERSION_GROUP_NEW);
}

/*
 * Group that a call of @p goes to. While the share of the new version is below
 * 1000, extra calls go to the old versions, so that hedges and retries do not
 * raise it, and so do all calls if the new version is bad; for the other calls
 * the group is decided once per part.
 */
static enum gw_version_group choose_group(struct gw_part *p, int is_extra)
{
	struct gw_version_split *split = &p->service->version_split;

	if (split->share_permille >= PERMILLE)
		return VERSION_GROUP_NEW;
	if (is_extra || split->is_bad)
		return VERSION_GROUP_OLD;
	if (p->version_group == VERSION_GROUP_ANY) {
		split->credit_permille += split->share_permille;
		p->version_group = split->credit_permille >= PERMILLE
					   ? VERSION_GROUP_NEW
					   : VERSION_GROUP_OLD;
		if (p->version_group == VERSION_GROUP_NEW)
			split->credit_permille -= PERMILLE;
	}
	return p->version_group;
}

static int has_old_version(const struct gw_service *s)
{
	uint32_t i;

	for (i = 0; i < s->targets->len; i++) {
		if (gw_version_allows(s, g_ptr_array_index(s->targets, i),
				      VERSION_GROUP_OLD))
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
	/* Only the new version is left: used unless it is known to be bad. */
	if (!s->version_split.is_bad && !has_old_version(s))
		return gw_target_pick(s, p, VERSION_GROUP_NEW, mean_us, now_us);
	return pick;
}

void gw_version_record_call(struct gw_service *s, const struct gw_target *t,
			    enum gw_call_outcome outcome, int64_t took_us,
			    int64_t mean_us, int64_t now_us)
{
	int is_slow = took_us > SLOW_MEANS * mean_us &&
		      now_us >= t->cold_until_us;
	struct gw_version_counts *counts;

	/* A call that was cut early shows nothing, unless it was slow. */
	if (!s->version_split.is_active ||
	    (outcome == CALL_INCONCLUSIVE && !is_slow))
		return;
	counts = is_new_version(s, t) ? &s->version_split.new_counts
				      : &s->version_split.old_counts;
	counts->requests++;
	counts->failures += outcome == CALL_FAILED;
	counts->slow += (uint32_t)is_slow;
}

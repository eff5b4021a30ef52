/*
 * Reports the calls to targets that fail or are slow, and takes over the totals
 * of the reports of all hosts of the data centre.
 */
#include "gateway/gw_internal.h"

/*
 * Time from the first call that has to be reported until the report, which
 * covers all calls since the report before it.
 */
#define REPORT_PERIOD_US (250 * US_PER_MS)
/* Totals are valid for this time: three of the periods that repeat them. */
#define REPORT_VALID_US (800 * US_PER_MS)
/*
 * A target is slow if its calls took more than this on average, in thousandths
 * of the route's mean.
 */
#define SLOW_MILLI 2500
/* Limit for one call: a pause of a target must not count as its speed. */
#define SLOWNESS_MAX_MILLI 8000
#define MILLI 1000

static int is_failing_or_slow(const struct gw_target *t)
{
	return t->unreported_failed ||
	       t->unreported_slowness_milli >
		       (uint64_t)t->unreported_calls * SLOW_MILLI;
}

static void add_entry(struct target_health_list *list, struct gw_target *t)
{
	list->entries[list->count++] = (struct target_health){
		.key = target_health_key(t->def.id, t->def.started_ms),
		.calls = t->unreported_calls,
		.failed_permille =
			t->unreported_failed * PERMILLE / t->unreported_calls,
		.slowness_milli = (uint32_t)(t->unreported_slowness_milli /
					     t->unreported_calls)
	};
}

/*
 * Reports the targets that fail or are slow, and the calls to targets that the
 * totals contain, so that all hosts learn when such a target has recovered.
 */
static void on_report(void *ctx, int64_t now_us)
{
	struct gw *g = ctx;
	struct target_health_list list = { 0 };
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_target *t = value;

		if (t->unreported_calls &&
		    (is_failing_or_slow(t) || now_us < t->dc_health_until_us)) {
			add_entry(&list, t);
			if (list.count == TARGET_HEALTH_MAX) {
				g->ops.report_health(g->ops.ctx, &list);
				list.count = 0;
			}
		}
		t->unreported_calls = 0;
		t->unreported_failed = 0;
		t->unreported_slowness_milli = 0;
	}
	if (list.count)
		g->ops.report_health(g->ops.ctx, &list);
}

void gw_health_record_call(struct gw *g, struct gw_target *t, int failed,
			   int64_t took_us, int64_t mean_us, int64_t now_us)
{
	int64_t slowness_milli = took_us * MILLI / util_max_i64(mean_us, 1);

	t->unreported_calls++;
	t->unreported_failed += (uint32_t)failed;
	t->unreported_slowness_milli +=
		(uint64_t)util_min_i64(slowness_milli, SLOWNESS_MAX_MILLI);
	if ((is_failing_or_slow(t) || now_us < t->dc_health_until_us) &&
	    !g->health_timer.armed_pos)
		timer_queue_arm(g->timers, &g->health_timer,
				now_us + REPORT_PERIOD_US, on_report, g);
}

void gw_on_target_health(struct gw *g, const struct target_health_list *list,
			 int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&it, g->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_target *t = value;
		uint64_t key = target_health_key(t->def.id, t->def.started_ms);

		for (i = 0; i < list->count && list->entries[i].key != key; i++)
			;
		if (i == list->count)
			continue;
		t->dc_failed_permille = list->entries[i].failed_permille;
		t->dc_slowness_milli = list->entries[i].slowness_milli;
		t->dc_health_until_us = now_us + REPORT_VALID_US;
	}
}

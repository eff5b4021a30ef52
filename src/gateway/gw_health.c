/* What this host tells others of its targets, and what it hears of them. */
#include "gateway/gw_internal.h"

/* Reports are gathered for this time. */
#define REPORT_US (250 * US_PER_MS)
/* A hint counts until three of the periods in which it is repeated passed. */
#define HINT_US (800 * US_PER_MS)
/* Calls that are this much slower than the mean are reported at once. */
#define SLOW_MILLI 2500
/* Pauses of a searcher must not pass for its speed. */
#define SLOWNESS_MAX_MILLI 8000
#define MILLI 1000

static int is_notable(const struct gw_target *t)
{
	return t->unreported_failed ||
	       t->unreported_slowness_milli >
		       (uint64_t)t->unreported_calls * SLOW_MILLI;
}

static void add(struct target_health_list *l, struct gw_target *t)
{
	l->entries[l->count++] = (struct target_health){
		.key = target_health_key(t->def.id, t->def.started_ms),
		.calls = t->unreported_calls,
		.failed_permille =
			t->unreported_failed * PERMILLE / t->unreported_calls,
		.slowness_milli = (uint32_t)(t->unreported_slowness_milli /
					     t->unreported_calls)
	};
}

/*
 * Reports targets that look bad, and good calls to those that all hosts were
 * told of, so that a target that recovered is known to have.
 */
static void on_report(void *ctx, int64_t now_us)
{
	struct gw *g = ctx;
	struct target_health_list l = { 0 };
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_target *t = value;

		if (t->unreported_calls &&
		    (is_notable(t) || now_us < t->dc_health_until_us)) {
			add(&l, t);
			if (l.count == TARGET_HEALTH_MAX) {
				g->ops.report_health(g->ops.ctx, &l);
				l.count = 0;
			}
		}
		t->unreported_calls = 0;
		t->unreported_failed = 0;
		t->unreported_slowness_milli = 0;
	}
	if (l.count)
		g->ops.report_health(g->ops.ctx, &l);
}

void gw_health_record_call(struct gw *g, struct gw_target *t, int failed,
			   int64_t took_us, int64_t mean_us, int64_t now_us)
{
	int64_t milli = took_us * MILLI / util_max_i64(mean_us, 1);

	t->unreported_calls++;
	t->unreported_failed += (uint32_t)failed;
	t->unreported_slowness_milli +=
		(uint64_t)util_min_i64(milli, SLOWNESS_MAX_MILLI);
	if ((is_notable(t) || now_us < t->dc_health_until_us) &&
	    !g->health_timer.armed_pos)
		timer_queue_arm(g->timers, &g->health_timer, now_us + REPORT_US,
				on_report, g);
}

void gw_on_target_health(struct gw *g, const struct target_health_list *l,
			 int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&it, g->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_target *t = value;
		uint64_t key = target_health_key(t->def.id, t->def.started_ms);

		for (i = 0; i < l->count && l->entries[i].key != key; i++)
			;
		if (i == l->count)
			continue;
		t->dc_failed_permille = l->entries[i].failed_permille;
		t->dc_slowness_milli = l->entries[i].slowness_milli;
		t->dc_health_until_us = now_us + HINT_US;
	}
}

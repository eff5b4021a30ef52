#include "controller/health_totals.h"

#include <glib.h>

#include "base/util.h"

/*
 * Part of the weight of earlier calls that stays after a period: a target that
 * nobody calls any more is forgotten within three seconds, and tried again.
 */
#define KEEP 0.85
#define WEIGHT_MIN 2.0
/* Fewer calls than this say nothing of a target. */
#define CALLS_MIN 3.0
/* Told to hosts: from this share of failures, or this slowness, on. */
#define FAILED_MIN_PERMILLE 120
#define SLOW_MIN_MILLI 2500
/*
 * Periods with slow answers until it is told: searchers pause for up to two
 * tenths of a second, and what is told keeps calls away for seconds.
 */
#define SLOW_PERIODS_MIN 3

struct entry {
	uint64_t key;
	/* Decayed sums over calls. */
	double calls;
	double failed;
	double slowness;
	/* Of the present period. */
	uint64_t period_calls;
	uint64_t period_slowness;
	/* Periods in a row in which answers were slow, others left out. */
	uint32_t slow_periods;
};

struct health_totals {
	/* Key to struct entry. */
	GHashTable *entries;
};

struct health_totals *health_totals_new(void)
{
	struct health_totals *t = util_alloc(1, sizeof(*t));

	t->entries =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	return t;
}

void health_totals_free(struct health_totals *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->entries);
	free(t);
}

static struct entry *entry_of(struct health_totals *t, uint64_t key)
{
	struct entry *e = g_hash_table_lookup(t->entries, &key);

	if (e)
		return e;
	e = util_alloc(1, sizeof(*e));
	e->key = key;
	g_hash_table_insert(t->entries, &e->key, e);
	return e;
}

void health_totals_add(struct health_totals *t,
		       const struct target_health_list *l)
{
	uint32_t i;

	for (i = 0; i < l->count; i++) {
		const struct target_health *h = &l->entries[i];
		struct entry *e = entry_of(t, h->key);

		e->calls += h->calls;
		e->failed += (double)h->calls * h->failed_permille;
		e->slowness += (double)h->calls * h->slowness_milli;
		e->period_calls += h->calls;
		e->period_slowness += (uint64_t)h->calls * h->slowness_milli;
	}
}

static int is_notable(const struct entry *e, struct target_health *out)
{
	if (e->calls < CALLS_MIN)
		return 0;
	*out = (struct target_health){
		.key = e->key,
		.calls = (uint32_t)e->calls,
		.failed_permille = (uint32_t)(e->failed / e->calls),
		.slowness_milli = (uint32_t)(e->slowness / e->calls)
	};
	if (e->slow_periods < SLOW_PERIODS_MIN)
		out->slowness_milli = 0;
	return out->failed_permille >= FAILED_MIN_PERMILLE ||
	       out->slowness_milli >= SLOW_MIN_MILLI;
}

static void end_period(struct entry *e)
{
	if (e->period_calls) {
		int is_slow = e->period_slowness >=
			      e->period_calls * SLOW_MIN_MILLI;

		e->slow_periods = is_slow ? e->slow_periods + 1 : 0;
	}
	e->period_calls = 0;
	e->period_slowness = 0;
}

uint32_t health_totals_end_period(struct health_totals *t,
				  struct target_health_list *out, uint32_t max)
{
	uint32_t lists = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct entry *e = value;
		struct target_health h;

		end_period(e);
		if (is_notable(e, &h) &&
		    (lists < max || out[lists - 1].count < TARGET_HEALTH_MAX)) {
			if (!lists || out[lists - 1].count == TARGET_HEALTH_MAX)
				out[lists++].count = 0;
			out[lists - 1].entries[out[lists - 1].count++] = h;
		}
		e->calls *= KEEP;
		e->failed *= KEEP;
		e->slowness *= KEEP;
		if (e->calls < WEIGHT_MIN * KEEP)
			g_hash_table_iter_remove(&it);
	}
	return lists;
}

int health_totals_is_active(const struct health_totals *t)
{
	return g_hash_table_size(t->entries) > 0;
}

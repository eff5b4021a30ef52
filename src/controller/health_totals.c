#include "controller/health_totals.h"

#include <glib.h>

#include "base/util.h"

/*
 * The sums decay by this factor each period, and a target whose calls sum to
 * less than KEPT_CALLS_MIN is dropped: a target that no host calls any more is
 * forgotten within three seconds, so that hosts try it again.
 */
#define KEPT_SHARE 0.85
#define KEPT_CALLS_MIN 2.0
/* Fewer calls than this do not show how a target is. */
#define CALLS_MIN 3.0
/*
 * Hosts are told of a target from this share of failed calls on, or from this
 * answer time in thousandths of the route's mean on.
 */
#define FAILED_MIN_PERMILLE 120
#define SLOW_MIN_MILLI 2500
/*
 * Periods in a row with slow answers until hosts are told of the slowness: a
 * target may pause for up to 0.2 s, while a target that hosts are told of gets
 * no calls for seconds.
 */
#define SLOW_PERIODS_MIN 3

struct target_total {
	/* Key of the target in struct target_health. */
	uint64_t key;
	/* Decayed sums over calls: number, permille failed, slowness_milli. */
	double calls;
	double failed;
	double slowness;
	/* Calls of the present period, and their sum of slowness_milli. */
	uint64_t period_calls;
	uint64_t period_slowness;
	/* Periods in a row with slow answers, ignoring those without calls. */
	uint32_t slow_periods;
};

struct health_totals {
	/* Key of the target to struct target_total. */
	GHashTable *targets;
};

struct health_totals *health_totals_new(void)
{
	struct health_totals *t = util_alloc(1, sizeof(*t));

	t->targets =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	return t;
}

void health_totals_free(struct health_totals *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->targets);
	free(t);
}

static struct target_total *total_of(struct health_totals *t, uint64_t key)
{
	struct target_total *total = g_hash_table_lookup(t->targets, &key);

	if (total)
		return total;
	total = util_alloc(1, sizeof(*total));
	total->key = key;
	g_hash_table_insert(t->targets, &total->key, total);
	return total;
}

void health_totals_add(struct health_totals *t,
		       const struct target_health_list *list)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		const struct target_health *h = &list->entries[i];
		struct target_total *total = total_of(t, h->key);

		total->calls += h->calls;
		total->failed += (double)h->calls * h->failed_permille;
		total->slowness += (double)h->calls * h->slowness_milli;
		total->period_calls += h->calls;
		total->period_slowness +=
			(uint64_t)h->calls * h->slowness_milli;
	}
}

/* Returns 1, with @out filled, if hosts should be told of the target. */
static int fill_if_notable(const struct target_total *total,
			   struct target_health *out)
{
	if (total->calls < CALLS_MIN)
		return 0;
	*out = (struct target_health){
		.key = total->key,
		.calls = (uint32_t)total->calls,
		.failed_permille = (uint32_t)(total->failed / total->calls),
		.slowness_milli = (uint32_t)(total->slowness / total->calls)
	};
	if (total->slow_periods < SLOW_PERIODS_MIN)
		out->slowness_milli = 0;
	return out->failed_permille >= FAILED_MIN_PERMILLE ||
	       out->slowness_milli >= SLOW_MIN_MILLI;
}

static void end_period(struct target_total *total)
{
	if (total->period_calls) {
		int is_slow = total->period_slowness >=
			      total->period_calls * SLOW_MIN_MILLI;

		total->slow_periods = is_slow ? total->slow_periods + 1 : 0;
	}
	total->period_calls = 0;
	total->period_slowness = 0;
}

uint32_t health_totals_end_period(struct health_totals *t,
				  struct target_health_list *out, uint32_t max)
{
	uint32_t n = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct target_total *total = value;
		struct target_health h;

		end_period(total);
		if (fill_if_notable(total, &h) &&
		    (n < max || out[n - 1].count < TARGET_HEALTH_MAX)) {
			if (!n || out[n - 1].count == TARGET_HEALTH_MAX)
				out[n++].count = 0;
			out[n - 1].entries[out[n - 1].count++] = h;
		}
		total->calls *= KEPT_SHARE;
		total->failed *= KEPT_SHARE;
		total->slowness *= KEPT_SHARE;
		if (total->calls < KEPT_CALLS_MIN * KEPT_SHARE)
			g_hash_table_iter_remove(&it);
	}
	return n;
}

int health_totals_is_active(const struct health_totals *t)
{
	return g_hash_table_size(t->targets) > 0;
}

/*
 * Properties of rollouts over simulated runs: good versions finish in time,
 * bad ones are found and get no more work.
 */
#include <apr_general.h>
#include <glib.h>
#include <inttypes.h>

#include "base/cutil.h"
#include "sim_rollout.h"

#define GOOD_RUNS 2000
#define BAD_RUNS 400
/* Stated target: at least 99 of 100 good versions are done in time. */
#define GOOD_MIN_PERMILLE 990
/* "A few seconds": two heartbeats and their loss. */
#define STOP_US_MAX (5LL * US_PER_S)

static const char *const fault_names[] = {
#define DEF(id, name) name,
	SIM_FAULTS(DEF)
#undef DEF
};

/* Guards against false alarms and against rollouts that do not finish. */
static void test_good(void)
{
	struct sim_result r;
	uint32_t in_time = 0;
	uint32_t rolled_back = 0;
	uint64_t seed;

	for (seed = 1; seed <= GOOD_RUNS; seed++) {
		sim_rollout(seed, SIM_GOOD, &r);
		if (r.state_at_finish == ROLLOUT_DONE &&
		    r.state == ROLLOUT_DONE)
			in_time++;
		else
			g_test_message("seed %" G_GUINT64_FORMAT ": %s at "
				       "finish_by, "
				       "then %s: %s",
				       seed,
				       rollout_state_name(r.state_at_finish),
				       rollout_state_name(r.state), r.reason);
		rolled_back += r.state == ROLLOUT_ROLLED_BACK;
	}
	g_test_message("%u of %u good versions in time, %u rolled back",
		       in_time, GOOD_RUNS, rolled_back);
	g_assert_cmpuint(in_time * PERMILLE, >=, GOOD_RUNS * GOOD_MIN_PERMILLE);
}

struct bad_totals {
	uint32_t missed;
	uint32_t late_stops;
	uint64_t requests;
	uint64_t hurt;
	double worst_percent;
	int64_t longest_us;
};

static void count_bad(struct bad_totals *t, uint64_t seed,
		      const struct sim_result *r)
{
	double percent = 100.0 * (double)r->hurt / (double)r->requests;

	if (r->state != ROLLOUT_ROLLED_BACK) {
		g_test_message("seed %" G_GUINT64_FORMAT " ends %s", seed,
			       rollout_state_name(r->state));
		t->missed++;
	}
	if (r->stopped_after_us > STOP_US_MAX) {
		g_test_message("seed %" G_GUINT64_FORMAT ": new work %" PRId64
			       " ms after the first mark",
			       seed, r->stopped_after_us / US_PER_MS);
		t->late_stops++;
	}
	t->requests += r->requests;
	t->hurt += r->hurt;
	if (percent > t->worst_percent)
		t->worst_percent = percent;
	t->longest_us = cu_max_i64(t->longest_us, r->detected_after_us);
}

/* Guards against bad versions that keep their share of traffic. */
static void test_bad(gconstpointer data)
{
	enum sim_fault fault = (enum sim_fault)GPOINTER_TO_INT(data);
	struct bad_totals t = { 0 };
	struct sim_result r;
	uint64_t seed;

	for (seed = 1; seed <= BAD_RUNS; seed++) {
		sim_rollout(seed, fault, &r);
		count_bad(&t, seed, &r);
	}
	g_test_message("%s: %u of %u rolled back, %.3f%% of requests hurt on "
		       "average and %.2f%% at worst, found after %.1f s at "
		       "worst",
		       fault_names[fault], BAD_RUNS - t.missed, BAD_RUNS,
		       100.0 * (double)t.hurt / (double)t.requests,
		       t.worst_percent, (double)t.longest_us / US_PER_S);
	g_assert_cmpuint(t.missed, ==, 0);
	g_assert_cmpuint(t.late_stops, ==, 0);
}

int main(int argc, char **argv)
{
	int32_t fault;

	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rollout/good", test_good);
	for (fault = SIM_GOOD + 1; fault < SIM_FAULT_COUNT; fault++) {
		g_autofree char *path =
			g_strdup_printf("/rollout/bad/%d", (int)fault);

		g_test_add_data_func(path, GINT_TO_POINTER(fault), test_bad);
	}
	return g_test_run();
}

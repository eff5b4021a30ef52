/*
 * Property tests of rollouts over simulated runs (sim_rollout.h). Guards
 * against good versions that do not finish in time, and against bad versions
 * that are not found or still get work after they were found.
 */
#include <apr_general.h>
#include <glib.h>
#include <inttypes.h>

#include "base/util.h"
#include "base/rng.h"
#include "controller/cusum.h"
#include "sim_rollout.h"

#define GOOD_RUNS 2000
#define BAD_RUNS 400
/* Objective: at least 99 of 100 good versions are done in time. */
#define GOOD_MIN_PERMILLE 990
/*
 * Longest time until the last host stops sending work to a bad version. Stated
 * is "a few seconds"; two heartbeats and the loss of some fit into it.
 */
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

/* Totals of the runs with one fault. */
struct bad_totals {
	/* Runs that did not end in a rollback. */
	uint32_t missed;
	/* Runs in which a host stopped later than STOP_US_MAX. */
	uint32_t late_stops;
	uint64_t requests;
	/* Requests that failed or were slow because of the version. */
	uint64_t hurt;
	/* Largest share of such requests in one run. */
	double worst_percent;
	/* Longest time until the version was found bad. */
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
	t->longest_us = util_max_i64(t->longest_us, r->detected_after_us);
}

/* Guards against bad versions that keep their share of the requests. */
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

/*
 * Number of runs, windows in a run, and the part of the runs in which a false
 * alarm is accepted.
 */
#define CUSUM_RUNS 400
#define CUSUM_WINDOWS 2000
#define CUSUM_ALPHA 0.2

/* Successes in @n trials of probability @p. */
static uint32_t draw(struct rng *r, uint32_t n, double p)
{
	uint32_t hits = 0;

	while (n-- > 0)
		hits += rng_unit(r) < p;
	return hits;
}

/*
 * Runs the statistical test over windows whose load and share of bad requests
 * change; returns 1 if it raises an alarm. @factor: how many times as often a
 * request of the new version is bad as one of the old version.
 */
static uint32_t run_cusum(uint64_t seed, double factor)
{
	double threshold =
		cusum_threshold(CUSUM_RATIOS + 1, CUSUM_WINDOWS, CUSUM_ALPHA);
	struct rng r = { .state = seed };
	double share = 0.01 + 0.5 * rng_unit(&r);
	double base = 0.05 * rng_unit(&r) + 0.002;
	struct cusum s = { 0 };
	uint32_t i;

	for (i = 0; i < CUSUM_WINDOWS; i++) {
		uint32_t total = 1 + rng_below(&r, 60);
		uint32_t fresh = draw(&r, total, share);
		double bad = base * (1.0 + 4.0 * (i % 100 > 80));
		struct cusum_window w = {
			.new_requests = fresh,
			.new_bad = draw(&r, fresh, bad * factor),
			.old_requests = total - fresh,
			.old_bad = draw(&r, total - fresh, bad),
		};

		cusum_add(&s, &w, 0.1);
		if (cusum_score(&s) >= threshold)
			return 1;
	}
	return 0;
}

/*
 * Guards against a statistical test of versions that raises more false alarms
 * than it states when the load changes, or that does not find bad versions.
 */
static void test_false_alarms(void)
{
	uint32_t alarms = 0;
	uint32_t found = 0;
	uint64_t seed;

	for (seed = 1; seed <= CUSUM_RUNS; seed++) {
		alarms += run_cusum(seed, 1.0);
		found += run_cusum(seed, 4.0);
	}
	g_test_message("%u of %u runs of equal versions alarm, stated at most "
		       "%.0f; %u of %u with four times as many bad requests",
		       alarms, CUSUM_RUNS, CUSUM_ALPHA * CUSUM_RUNS, found,
		       CUSUM_RUNS);
	g_assert_cmpuint(alarms, <=, (uint32_t)(CUSUM_ALPHA * CUSUM_RUNS));
	g_assert_cmpuint(found, >, alarms);
}

int main(int argc, char **argv)
{
	int32_t fault;

	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rollout/false-alarms", test_false_alarms);
	g_test_add_func("/rollout/good", test_good);
	for (fault = SIM_GOOD + 1; fault < SIM_FAULT_COUNT; fault++) {
		g_autofree char *path =
			g_strdup_printf("/rollout/bad/%d", (int)fault);

		g_test_add_data_func(path, GINT_TO_POINTER(fault), test_bad);
	}
	return g_test_run();
}

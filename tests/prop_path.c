/*
 * Property tests of the request path in the simulation (sim.h): each fault
 * alone and each pair of faults, over many seeds. They guard against a rule of
 * the path that breaks only under a fault. The environment variables SIM_SEED
 * and SIM_FAULTS (a decimal number whose bits are faults) repeat one run.
 */
#include <glib.h>
#include <stdlib.h>

#include "sim.h"

#define SEEDS_ALONE (80 / SIM_SEEDS_DIVISOR)
#define SEEDS_PAIR (15 / SIM_SEEDS_DIVISOR)
/* Enough for each wrong decision to cause a violation in some run. */
#define SEEDS_BROKEN 15
#define EXTRA_PERMILLE 100
/* Small, so that a run that ignores the budget exceeds it soon. */
#define EXTRA_BROKEN_PERMILLE 10

/* Runs one simulation; returns 1 if a check failed. */
static int run(uint64_t seed, uint32_t faults, enum sim_broken broken,
	       uint32_t extra_permille)
{
	struct sim_options o;
	struct sim_result *r;
	int failed;

	sim_options_init(&o, seed);
	o.faults = faults;
	/* With 8 slots the ramp of a cold target has three steps. */
	if (seed % 3 == 0)
		o.slots = 8;
	/*
	 * As many hosts as possible, each with one connection to each target.
	 */
	if (seed % 4 == 0) {
		o.hosts = SIM_HOSTS_MAX;
		o.connections = SIM_HOSTS_MAX;
		o.customers[0] = (struct sim_customer){ 10000, 900 };
	}
	o.broken = broken;
	o.extra_permille = extra_permille;
	r = sim_run(&o);
	failed = r->violations > 0;
	if (failed && broken == SIM_BROKEN_NONE)
		g_test_message("SIM_SEED=%u SIM_FAULTS=%u: %s (%u in all)",
			       (uint32_t)seed, faults, r->violation,
			       (uint32_t)r->violations);
	sim_result_free(r);
	return failed;
}

static void run_seeds(uint32_t faults, uint32_t first, uint32_t count)
{
	uint32_t failed = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		failed += (uint32_t)run(first + i, faults, SIM_BROKEN_NONE,
					EXTRA_PERMILLE);
	g_assert_cmpuint(failed, ==, 0);
}

/*
 * Guards against an answer that is partial, or a refusal other than of a
 * repeated lookup (209, 305), although there is no fault.
 */
static void test_none(void)
{
	uint32_t i;

	run_seeds(0, 1, SEEDS_ALONE);
	for (i = 1; i <= SEEDS_ALONE; i++) {
		struct sim_options o;
		struct sim_result *r;

		sim_options_init(&o, i);
		r = sim_run(&o);
		g_assert_cmpuint(r->requests[0], >, 50);
		g_assert_cmpuint(r->complete[0] + r->refused_code[209] +
					 r->refused_code[305],
				 ==, r->requests[0]);
		sim_result_free(r);
	}
}

static void test_alone(gconstpointer data)
{
	run_seeds(SIM_BIT(GPOINTER_TO_UINT(data)), 1000, SEEDS_ALONE);
}

static void test_pairs(gconstpointer data)
{
	uint32_t first = GPOINTER_TO_UINT(data);
	uint32_t second;

	for (second = first + 1; second < SIM_FAULT_COUNT; second++)
		run_seeds(SIM_BIT(first) | SIM_BIT(second), 2000 + first * 100,
			  SEEDS_PAIR);
}

static void test_one(void)
{
	run_seeds((uint32_t)atoi(g_getenv("SIM_FAULTS")),
		  (uint32_t)atoi(g_getenv("SIM_SEED")), 1);
}

/*
 * Guards against checks that detect nothing: a wrong decision must fail in some
 * run, and the right one must pass all of the same runs.
 */
static void check_caught(enum sim_broken broken, uint32_t faults)
{
	uint32_t caught = 0;
	uint32_t sound = 0;
	uint32_t i;

	for (i = 0; i < SEEDS_BROKEN; i++) {
		caught += (uint32_t)run(1 + i, faults, broken,
					EXTRA_BROKEN_PERMILLE);
		sound += (uint32_t)!run(1 + i, faults, SIM_BROKEN_NONE,
					EXTRA_BROKEN_PERMILLE);
	}
	g_assert_cmpuint(caught, >, 0);
	g_assert_cmpuint(sound, ==, SEEDS_BROKEN);
}

static void test_broken_budget(void)
{
	check_caught(SIM_BROKEN_BUDGET, SIM_BIT(SIM_FLOOD) | SIM_BIT(SIM_FAIL) |
						SIM_BIT(SIM_LOSS));
}

static void test_broken_claim(void)
{
	check_caught(SIM_BROKEN_CLAIM, SIM_BIT(SIM_STORE));
}

static void test_broken_owner(void)
{
	check_caught(SIM_BROKEN_OWNER, SIM_BIT(SIM_RESTART));
}

static void test_broken_match(void)
{
	check_caught(SIM_BROKEN_MATCH, SIM_BIT(SIM_CROSS));
}

/*
 * Guards against checks that miss a lookup which ran, was taken for one that was
 * never sent because its target ended, and is sent again.
 */
static void test_broken_sent(void)
{
	check_caught(SIM_BROKEN_SENT, SIM_BIT(SIM_RESTART));
}

int main(int argc, char **argv)
{
	uint32_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	if (g_getenv("SIM_SEED")) {
		g_test_add_func("/path/one", test_one);
		return g_test_run();
	}
	g_test_add_func("/path/no_fault", test_none);
	for (i = 0; i < SIM_FAULT_COUNT; i++) {
		g_autofree char *name = g_strdup_printf(
			"/path/fault/%s", sim_fault_name((enum sim_fault)i));
		g_autofree char *pairs = g_strdup_printf(
			"/path/pairs/%s", sim_fault_name((enum sim_fault)i));

		g_test_add_data_func(name, GUINT_TO_POINTER(i), test_alone);
		g_test_add_data_func(pairs, GUINT_TO_POINTER(i), test_pairs);
	}
	g_test_add_func("/path/broken/budget", test_broken_budget);
	g_test_add_func("/path/broken/claim", test_broken_claim);
	g_test_add_func("/path/broken/owner", test_broken_owner);
	g_test_add_func("/path/broken/match", test_broken_match);
	g_test_add_func("/path/broken/sent", test_broken_sent);
	return g_test_run();
}

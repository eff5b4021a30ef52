/*
 * Differential test of the request path against the naive policy, which asks
 * one random replica of each shard and waits. Both meet the same arrivals,
 * service times and faults. Guards against limits, hedges and retries that cost
 * more answered shards than they save.
 */
#include <glib.h>

#include "base/util.h"
#include "sim.h"

#define SEEDS (40 / SIM_SEEDS_DIVISOR)

static struct sim_result *run(uint64_t seed, uint32_t faults,
			      enum sim_policy policy)
{
	struct sim_options o;

	sim_options_init(&o, seed);
	o.faults = faults;
	o.policy = policy;
	/* The naive policy has neither lookups nor limits. */
	o.lookup_permille = 0;
	o.customers[0].rate_per_s = 100000;
	/* Usually one fault is over before the next one begins. */
	o.fault_every_us = 600 * US_PER_MS;
	o.duration_us = 1500 * US_PER_MS;
	return sim_run(&o);
}

static int is_compared(uint64_t shards)
{
	return shards != SIM_LOST && shards != SIM_ALL_COLD;
}

/*
 * Sum of the shards answered. It leaves out requests that one of the runs lost
 * with a host, which depends on chance, and those with a shard whose replicas
 * are all cold: the naive policy sends such replicas more than they tolerate.
 */
static uint64_t sum(const GArray *values, const GArray *others)
{
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < values->len; i++) {
		uint64_t value = g_array_index(values, uint64_t, i);

		if (is_compared(value) &&
		    is_compared(g_array_index(others, uint64_t, i)))
			total += value;
	}
	return total;
}

/*
 * Guards against a request for which another number of shards answered than
 * under the naive policy, although there is no fault.
 */
static void test_same(void)
{
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_result *ours = run(seed, 0, SIM_COWSLIPPOINT);
		struct sim_result *naive = run(seed, 0, SIM_NAIVE);
		uint32_t i;

		g_assert_cmpuint(ours->shards_by_request->len, ==,
				 naive->shards_by_request->len);
		for (i = 0; i < ours->shards_by_request->len; i++)
			g_assert_cmpuint(g_array_index(ours->shards_by_request,
						       uint64_t, i),
					 ==,
					 g_array_index(naive->shards_by_request,
						       uint64_t, i));
		sim_result_free(ours);
		sim_result_free(naive);
	}
}

/* Guards against fewer answered shards than naive under a fault. */
static void test_coverage(gconstpointer data)
{
	uint32_t faults = SIM_BIT(GPOINTER_TO_UINT(data));
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_result *ours = run(seed, faults, SIM_COWSLIPPOINT);
		struct sim_result *naive = run(seed, faults, SIM_NAIVE);
		uint64_t have =
			sum(ours->shards_by_request, naive->shards_by_request);
		uint64_t least =
			sum(naive->shards_by_request, ours->shards_by_request);

		if (have < least)
			g_test_message("seed %u: %u shards, naive %u, of %u",
				       seed, (uint32_t)have, (uint32_t)least,
				       (uint32_t)ours->shards_wanted);
		g_assert_cmpuint(have, >=, least);
		sim_result_free(ours);
		sim_result_free(naive);
	}
}

int main(int argc, char **argv)
{
	uint32_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/diff/no_fault", test_same);
	for (i = 0; i < SIM_FAULT_COUNT; i++) {
		g_autofree char *name = NULL;

		/*
		 * The naive policy does not notice callers that close the
		 * connection.
		 */
		if (i == SIM_GONE)
			continue;
		name = g_strdup_printf("/diff/coverage/%s",
				       sim_fault_name((enum sim_fault)i));

		g_test_add_data_func(name, GUINT_TO_POINTER(i), test_coverage);
	}
	return g_test_run();
}

/*
 * Simulation benchmark of the request path. It compares policies under load,
 * with a lost replica and with a cold one, and measures overload and a customer
 * that sends too much. Latencies are printed in mean service times. With an
 * argument, only the scenarios whose name begins with it run.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/util.h"
#include "sim.h"

/* Mean service time of a target. */
#define MEAN_US 5000
/* One way between host and target. */
#define NET_US 250
#define ANSWER_MS 500
#define OVERLOAD_ANSWER_MS 200
#define DURATION_US (20LL * US_PER_S)
#define WARM_UP_US (2LL * US_PER_S)
#define SEED 11
#define FLOOD_SEEDS 4

/* DEF(name, shards, replicas, slots, connections) */
#define DEPLOYMENTS(DEF)             \
	DEF("concept", 10, 3, 2, 25) \
	DEF("coordination", 10, 3, 4, 35)

struct deployment {
	const char *name;
	uint32_t shards;
	uint32_t replicas;
	uint32_t slots;
	uint32_t connections;
};

static const struct deployment deployments[] = {
#define DEF(name, shards, replicas, slots, connections) \
	{ name, shards, replicas, slots, connections },
	DEPLOYMENTS(DEF)
#undef DEF
};

/* Names of enum sim_policy, in its order. */
static const char *const policies[] = { "cowslippoint", "naive", "oracle" };

/* Requests per second that occupy @load_permille of all slots. */
static uint32_t rate_of(const struct deployment *d, uint32_t load_permille)
{
	uint64_t slots_us = (uint64_t)d->replicas * d->slots * US_PER_S;

	return (uint32_t)(slots_us * load_permille / PERMILLE / MEAN_US);
}

static void init(struct sim_options *o, const struct deployment *d,
		 uint32_t load_permille)
{
	uint32_t rate = rate_of(d, load_permille);

	sim_options_init(o, SEED);
	o->hosts = 8;
	o->shards = d->shards;
	o->replicas = d->replicas;
	o->slots = d->slots;
	o->connections = d->connections;
	o->mean_us = MEAN_US;
	o->net_us = NET_US;
	o->straggle_permille = 10;
	o->answer_ms = ANSWER_MS;
	o->coverage_permille = 900;
	o->extra_permille = 50;
	o->lookup_permille = 0;
	o->customers[0] = (struct sim_customer){ rate * 2, rate };
	o->duration_us = DURATION_US;
	o->warm_up_us = WARM_UP_US;
}

static double service_times(int64_t us)
{
	return (double)us / MEAN_US;
}

static double percent(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 0;
}

static void print_row(const char *name, const struct sim_options *o,
		      const struct sim_result *r, uint32_t customer)
{
	printf("%-34s %-13s %6.1f %6.1f %6.1f %6.2f%% %7.2f%% %7.2f%% "
	       "%7.2f%%\n",
	       name, policies[o->policy],
	       service_times(sim_quantile_us(r, customer, 5000)),
	       service_times(sim_quantile_us(r, customer, 9900)),
	       service_times(sim_quantile_us(r, customer, 9990)),
	       percent(r->extra, r->first),
	       percent(r->shards_answered, r->shards_wanted),
	       percent(r->complete[customer], r->requests[customer]),
	       percent(r->refused[customer], r->requests[customer]));
	if (r->violations)
		printf("  %u violations, %s\n", (uint32_t)r->violations,
		       r->violation);
	fflush(stdout);
}

static void run_row(const char *name, const struct sim_options *o)
{
	struct sim_result *r = sim_run(o);

	print_row(name, o, r, 0);
	sim_result_free(r);
}

static void run_policies(const char *name, struct sim_options *o)
{
	uint32_t p;

	for (p = 0; p < countof(policies); p++) {
		o->policy = (enum sim_policy)p;
		run_row(name, o);
	}
}

static void run_load(const struct deployment *d)
{
	static const uint32_t loads[] = { 700, 850 };
	uint32_t i;

	for (i = 0; i < countof(loads); i++) {
		struct sim_options o;
		g_autofree char *name = g_strdup_printf("%s, load %u%%",
							d->name, loads[i] / 10);

		init(&o, d, loads[i]);
		run_policies(name, &o);
	}
}

static void run_lost(const struct deployment *d)
{
	struct sim_options o;
	g_autofree char *name =
		g_strdup_printf("%s, load 50%%, 1 of 3 lost", d->name);

	init(&o, d, 500);
	o.lost_from_us = 4 * US_PER_S;
	run_policies(name, &o);
}

static void run_cold(const struct deployment *d)
{
	struct sim_options o;
	g_autofree char *name =
		g_strdup_printf("%s, load 60%%, 1 of 3 cold", d->name);

	init(&o, d, 600);
	o.cold_at_us = 4 * US_PER_S;
	run_policies(name, &o);
}

/*
 * Offers 80% of the capacity, and 200% from 5 s to 12 s; prints the complete
 * answers and the requests of each second.
 */
static void run_overload(const struct deployment *d)
{
	struct sim_options o;
	struct sim_result *r;
	uint32_t i;

	init(&o, d, 800);
	o.answer_ms = OVERLOAD_ANSWER_MS;
	o.customers[0].rate_per_s = o.customers[0].offered_per_s * 10;
	o.surge_from_us = 5 * US_PER_S;
	o.surge_to_us = 12 * US_PER_S;
	o.surge_permille = 2500;
	o.part_us = US_PER_S;
	r = sim_run(&o);
	print_row("overload 80% to 200% (5 s to 12 s)", &o, r, 0);
	printf("  complete answers in each second:");
	for (i = 0; i < r->complete_by_part->len; i++)
		printf(" %u", (uint32_t)g_array_index(r->complete_by_part,
						      uint64_t, i));
	printf("\n  requests in each second:        ");
	for (i = 0; i < r->requests_by_part->len; i++)
		printf(" %u", (uint32_t)g_array_index(r->requests_by_part,
						      uint64_t, i));
	printf("\n");
	sim_result_free(r);
}

static void run_flood_seed(const struct deployment *d, uint64_t seed)
{
	uint32_t rate = rate_of(d, 350);
	struct sim_options o;
	struct sim_result *r;

	init(&o, d, 350);
	o.seed = seed;
	o.customer_count = 2;
	o.target_share_permille = 500;
	o.customers[0] = (struct sim_customer){ rate, rate * 9 / 10 };
	o.customers[1] = (struct sim_customer){ rate, rate };
	r = sim_run(&o);
	print_row("neighbour within its contract", &o, r, 0);
	sim_result_free(r);
	o.customers[1].offered_per_s = rate * 10;
	r = sim_run(&o);
	print_row("neighbour at 10 times", &o, r, 0);
	print_row("  the neighbour itself", &o, r, 1);
	sim_result_free(r);
}

/*
 * Measures customer 0, which keeps to its contract, while customer 1 keeps to
 * its own and while it sends ten times as much. Runs several seeds, because the
 * difference is within the variation between seeds.
 */
static void run_flood(const struct deployment *d)
{
	uint64_t seed;

	for (seed = SEED; seed < SEED + FLOOD_SEEDS; seed++)
		run_flood_seed(d, seed);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(const struct deployment *d);
	} scenarios[] = {
		{ "load", run_load },	{ "lost", run_lost },
		{ "cold", run_cold },	{ "overload", run_overload },
		{ "flood", run_flood },
	};
	const char *only = argc > 1 ? argv[1] : "";
	uint32_t i;
	uint32_t j;

	printf("%-34s %-13s %6s %6s %6s %7s %8s %8s %8s\n", "scenario",
	       "policy", "p50", "p99", "p99.9", "extra", "coverage", "complete",
	       "refused");
	for (i = 0; i < countof(scenarios); i++) {
		if (!g_str_has_prefix(scenarios[i].name, only))
			continue;
		for (j = 0; j < countof(deployments); j++) {
			/*
			 * The deployments differ only in slots and connections,
			 * so the other scenarios run on the first one alone.
			 */
			if (j == 0 || scenarios[i].run == run_load ||
			    scenarios[i].run == run_lost)
				scenarios[i].run(&deployments[j]);
		}
	}
	return 0;
}

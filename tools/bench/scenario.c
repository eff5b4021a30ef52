/* Scenarios, and the contract, layout and arrivals that follow from them. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"

const struct scenario scenarios[] = {
	{ .name = "concept-stragglers",
	  .customer = "blue-mahoe",
	  .index = "concept",
	  .shards = 10,
	  .replicas = 3,
	  .slots = 2,
	  .connections = 25,
	  .connect_us = 6000,
	  .load_permille = 700,
	  .straggle_permille = 10,
	  .straggle_factor = 20,
	  .has_oracle = 1 },
	{ .name = "coordination-stragglers",
	  .customer = "kelanidhara",
	  .index = "coordination",
	  .shards = 10,
	  .replicas = 3,
	  .slots = 4,
	  .connections = 35,
	  .connect_us = 6000,
	  .load_permille = 700,
	  .straggle_permille = 10,
	  .straggle_factor = 20,
	  .has_oracle = 1 },
	{ .name = "replica-lost",
	  .customer = "kelanidhara",
	  .index = "coordination",
	  .shards = 10,
	  .replicas = 3,
	  .slots = 4,
	  .connections = 35,
	  .connect_us = 6000,
	  .load_permille = 450,
	  .event = EVENT_KILL,
	  .has_oracle = 1 },
	{ .name = "overload-200",
	  .customer = "blue-mahoe",
	  .index = "concept",
	  .shards = 10,
	  .replicas = 3,
	  .slots = 2,
	  .connections = 25,
	  .connect_us = 6000,
	  .load_permille = 2000 },
	{ .name = "cold-return",
	  .customer = "kelanidhara",
	  .index = "coordination",
	  .shards = 10,
	  .replicas = 3,
	  .slots = 4,
	  .connections = 35,
	  .connect_us = 6000,
	  .load_permille = 450,
	  .event = EVENT_COLD },
	{ .name = "silent-connections",
	  .customer = "kelanidhara",
	  .index = "coordination",
	  .shards = 10,
	  .replicas = 3,
	  .slots = 4,
	  .connections = 35,
	  .connect_us = 6000,
	  .load_permille = 500,
	  .event = EVENT_SILENT },
};

const uint32_t scenario_count = countof(scenarios);

double scenario_service_us(const struct scenario *s)
{
	double share = s->straggle_permille / (double)PERMILLE;

	return SERVICE_MEAN_US * (1 + share * ((double)s->straggle_factor - 1));
}

double scenario_rate_per_s(const struct scenario *s)
{
	double slots = (double)s->replicas * s->slots;

	return slots * US_PER_S / scenario_service_us(s) * s->load_permille /
	       PERMILLE;
}

void scenario_contract(const struct scenario *s, struct contract *c)
{
	memset(c, 0, sizeof(*c));
	util_copy_str(c->customer, sizeof(c->customer), s->customer);
	c->index_count = 1;
	util_copy_str(c->indexes[0], sizeof(c->indexes[0]), s->index);
	c->answer_ms = ANSWER_MS;
	c->min_coverage_permille = s->min_coverage_permille;
	/* Twice the offered rate, so only adaptive admission refuses. */
	c->rate_per_s = (uint32_t)scenario_rate_per_s(s) * 2;
	c->target_share_permille = PERMILLE;
	c->extra_load_permille = 50;
}

struct layout *scenario_layout(const struct scenario *s, const uint16_t *ports)
{
	struct layout *l = layout_new(s->shards, s->shards * s->replicas);
	uint32_t i;

	util_copy_str(l->index, sizeof(l->index), s->index);
	util_copy_str(l->snapshot, sizeof(l->snapshot), "s1");
	util_copy_str(l->service, sizeof(l->service), s->index);
	for (i = 0; i < l->target_count; i++) {
		struct target *t = &l->targets[i];
		struct shard *shard = &l->shards[i / s->replicas];

		snprintf(t->id, sizeof(t->id), "t%u", i + 1);
		util_copy_str(t->address, sizeof(t->address), "127.0.0.1");
		t->port = ports[i];
		t->data_centre[0] = (char)('a' + i % s->replicas);
		util_copy_str(t->version, sizeof(t->version), "v1");
		t->slots = s->slots;
		t->connections = s->connections;
		t->cold_slots = 1;
		t->connect_us = s->connect_us;
		snprintf(shard->name, sizeof(shard->name), "s%u",
			 i / s->replicas);
		shard->replicas[shard->replica_count++] = i;
	}
	return l;
}

void samples_init(struct samples *all, const struct scenario *s, uint64_t seed)
{
	double rate_per_us = scenario_rate_per_s(s) / US_PER_S;
	int64_t end_us = WARM_UP_US + MEASURED_US;
	struct rng rng = { seed };
	uint32_t capacity = 0;
	double at_us = 0;

	memset(all, 0, sizeof(*all));
	while ((at_us -= log(1 - rng_unit(&rng)) / rate_per_us) <
	       (double)end_us) {
		if (all->count == capacity) {
			capacity = capacity * 2 + 1024;
			all->items = util_grow(all->items, capacity,
					       sizeof(*all->items));
		}
		all->items[all->count] = (struct sample){
			.at_us = (int64_t)at_us,
			.is_lookup = rng_below(&rng, LOOKUP_EVERY) == 0,
		};
		all->count++;
	}
}

void samples_free(struct samples *all)
{
	free(all->items);
	all->items = NULL;
}

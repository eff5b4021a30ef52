/* The oracle policy in virtual time. */
#include <string.h>

#include "bench.h"

/* Times at which the slots of one replica become free, in no order. */
struct replica {
	int64_t *free_us;
};

static int64_t random_service_us(struct rng *rng)
{
	double spread = SERVICE_SPREAD_PERMILLE / (double)PERMILLE;

	return (int64_t)(SERVICE_MEAN_US *
			 (1 + spread * (2 * rng_unit(rng) - 1)));
}

static uint32_t earliest_slot(const struct replica *r, uint32_t slots)
{
	uint32_t best = 0;
	uint32_t i;

	for (i = 1; i < slots; i++) {
		if (r->free_us[i] < r->free_us[best])
			best = i;
	}
	return best;
}

/*
 * Runs one sub-request on the replica, from @first up to @count, on which it
 * starts first; returns the time at which it ends.
 */
static int64_t schedule(struct replica *replicas, uint32_t first,
			uint32_t count, uint32_t slots, int64_t at_us,
			int64_t service_us)
{
	struct replica *best = &replicas[first];
	uint32_t slot = earliest_slot(best, slots);
	uint32_t i;

	for (i = first + 1; i < count; i++) {
		uint32_t other = earliest_slot(&replicas[i], slots);

		if (replicas[i].free_us[other] < best->free_us[slot]) {
			best = &replicas[i];
			slot = other;
		}
	}
	best->free_us[slot] =
		util_max_i64(best->free_us[slot], at_us) + service_us;
	return best->free_us[slot];
}

void oracle_run(struct run *r, uint64_t seed)
{
	const struct scenario *s = r->scenario;
	uint32_t count = s->shards * s->replicas;
	struct replica *replicas = util_alloc(count, sizeof(*replicas));
	struct rng rng = { seed };
	int64_t event_us = WARM_UP_US + MEASURED_US / 2;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < count; i++)
		replicas[i].free_us = util_alloc(s->slots, sizeof(int64_t));
	for (i = 0; i < r->all.count; i++) {
		struct sample *sample = &r->all.items[i];
		/* Replica 0 of each shard is the one that is killed. */
		uint32_t first = s->event == EVENT_KILL &&
				 sample->at_us >= event_us;
		uint32_t shards = sample->is_lookup ? 1 : s->shards;
		uint32_t shard = sample->is_lookup ? rng_below(&rng, s->shards)
						   : 0;

		for (k = shard; k < shard + shards; k++) {
			int64_t end_us = schedule(&replicas[k * s->replicas],
						  first, s->replicas, s->slots,
						  sample->at_us,
						  random_service_us(&rng));

			sample->end_us = util_max_i64(sample->end_us, end_us);
		}
		sample->replied = 1;
		sample->shards_total = shards;
		sample->shards_answered = shards;
	}
	for (i = 0; i < count; i++)
		free(replicas[i].free_us);
	free(replicas);
}

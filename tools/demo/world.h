/*
 * The first two customers' applications at their real sizes: contracts,
 * layouts and the stand-in targets that serve them, in three data centres.
 */
#ifndef WORLD_H
#define WORLD_H

#include <stdint.h>

#define WORLD_DATA_CENTRES 3
#define WORLD_HOSTS 8

struct world_app {
	const char *customer;
	const char *index;
	uint32_t shards;
	uint32_t replicas;
	uint32_t slots;
	uint32_t connections;
	uint32_t connect_us;
	uint32_t service_us;
};

struct world_customer {
	const char *name;
	uint32_t answer_ms;
	uint32_t min_coverage_permille;
	uint32_t rate_per_s;
};

uint32_t world_app_count(void);
const struct world_app *world_app(uint32_t i);
uint32_t world_customer_count(void);
const struct world_customer *world_customer(uint32_t i);
/* "a", "b" or "c"; replica i of a shard is in data centre i modulo 3. */
const char *world_data_centre(uint32_t i);
/* Data centre of the target with this ID, "INDEX-SHARD-REPLICA". */
const char *world_target_data_centre(const char *id);
uint32_t world_target_count(void);

/* Lines of "standin target --targets", one file for all targets. */
int world_write_targets(const char *path, uint16_t first_port);
/* JSON documents as "ctl index apply" and "ctl contract apply" take them. */
char *world_layout_json(const struct world_app *app, uint16_t first_port);
char *world_contract_json(const struct world_customer *customer);

#endif

/*
 * Deployment that the demonstration runs: the applications of the customers
 * blue-mahoe and kelanidhara at their real sizes, with contracts, layouts and
 * the stand-in targets that serve them in three data centres.
 */
#ifndef DEPLOYMENT_H
#define DEPLOYMENT_H

#include <stdint.h>

#define DEPLOYMENT_DATA_CENTRES 3
#define DEPLOYMENT_HOSTS 8

struct deployment_app {
	const char *customer;
	const char *index;
	uint32_t shards;
	uint32_t replicas;
	/* Of each target: sub-requests that it runs at once. */
	uint32_t slots;
	/* Of each target: connections that it accepts from all hosts. */
	uint32_t connections;
	/* Time that it takes to open a connection to a target. */
	uint32_t connect_us;
	/* Time that a target takes for a sub-request. */
	uint32_t service_us;
};

struct deployment_customer {
	const char *name;
	uint32_t answer_ms;
	uint32_t min_coverage_permille;
	uint32_t rate_per_s;
};

uint32_t deployment_app_count(void);
const struct deployment_app *deployment_app(uint32_t i);
uint32_t deployment_customer_count(void);
const struct deployment_customer *deployment_customer(uint32_t i);
/*
 * "a", "b" or "c": data centre of host @i, and of replica @i of each shard,
 * which is @i modulo 3.
 */
const char *deployment_data_centre(uint32_t i);
/* Data centre of the target with this ID, "INDEX-SHARD-REPLICA". */
const char *deployment_target_data_centre(const char *id);
uint32_t deployment_target_count(void);

/*
 * Writes the file that "standin target --targets" reads. 0, or -1 on failure.
 */
int deployment_write_targets(const char *path, uint16_t first_port);
/*
 * JSON documents that "ctl index apply" and "ctl contract apply" take; free
 * with free(). @first_port: port of the first of all targets.
 */
char *deployment_layout_json(const struct deployment_app *app,
			     uint16_t first_port);
char *deployment_contract_json(const struct deployment_customer *customer);

#endif

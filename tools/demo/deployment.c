#include "demo/deployment.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/util.h"

static const struct deployment_customer customers[] = {
	{ "blue-mahoe", 500, 900, 2000 },
	{ "kelanidhara", 500, 1000, 2000 },
};

static const struct deployment_app apps[] = {
	{ "blue-mahoe", "concept", 10, 3, 2, 25, 6000, 5000 },
	{ "blue-mahoe", "proof", 15, 3, 2, 25, 6000, 5000 },
	{ "blue-mahoe", "accounts", 5, 3, 3, 110, 1000, 3000 },
	{ "blue-mahoe", "assets", 1, 7, 3, 110, 1000, 3000 },
	{ "kelanidhara", "coordination", 10, 3, 4, 35, 6000, 5000 },
	{ "kelanidhara", "invoicing", 15, 3, 4, 35, 6000, 5000 },
	{ "kelanidhara", "depot", 5, 5, 3, 40, 1000, 3000 },
	{ "kelanidhara", "crew", 5, 2, 3, 40, 1000, 3000 },
};

static const char *const data_centres[DEPLOYMENT_DATA_CENTRES] = { "a", "b",
								   "c" };

uint32_t deployment_app_count(void)
{
	return countof(apps);
}

const struct deployment_app *deployment_app(uint32_t i)
{
	return &apps[i];
}

uint32_t deployment_customer_count(void)
{
	return countof(customers);
}

const struct deployment_customer *deployment_customer(uint32_t i)
{
	return &customers[i];
}

const char *deployment_data_centre(uint32_t i)
{
	return data_centres[i % DEPLOYMENT_DATA_CENTRES];
}

const char *deployment_target_data_centre(const char *id)
{
	const char *dash = strrchr(id, '-');

	return deployment_data_centre(
		dash ? (uint32_t)strtoul(dash + 1, NULL, 10) : 0);
}

uint32_t deployment_target_count(void)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < countof(apps); i++)
		count += apps[i].shards * apps[i].replicas;
	return count;
}

/*
 * Position of the first target of @app among the targets of all applications.
 */
static uint32_t first_target(const struct deployment_app *app)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; &apps[i] != app; i++)
		count += apps[i].shards * apps[i].replicas;
	return count;
}

static void target_id(char *out, size_t size_bytes,
		      const struct deployment_app *app, uint32_t shard,
		      uint32_t replica)
{
	snprintf(out, size_bytes, "%s-%u-%u", app->index, shard, replica);
}

int deployment_write_targets(const char *path, uint16_t first_port)
{
	FILE *f = fopen(path, "w");
	char id[64];
	uint32_t i;
	uint32_t j;

	if (!f)
		return -1;
	for (i = 0; i < countof(apps); i++) {
		const struct deployment_app *app = &apps[i];
		uint32_t port = first_port + first_target(app);

		for (j = 0; j < app->shards * app->replicas; j++) {
			uint32_t replica = j % app->replicas;

			target_id(id, sizeof(id), app, j / app->replicas,
				  replica);
			fprintf(f,
				"id=%s port=%u data-centre=%s slots=%u "
				"connections=%u connect-us=%u service-us=%u\n",
				id, port + j, deployment_data_centre(replica),
				app->slots, app->connections, app->connect_us,
				app->service_us);
		}
	}
	return fclose(f);
}

static json_t *target_json(const struct deployment_app *app, uint32_t j,
			   uint32_t port)
{
	char id[64];

	target_id(id, sizeof(id), app, j / app->replicas, j % app->replicas);
	return json_pack("{s:s,s:s,s:i,s:s,s:s,s:i,s:i,s:i,s:i}", "id", id,
			 "address", "127.0.0.1", "port", (int)(port + j),
			 "data_centre",
			 deployment_data_centre(j % app->replicas), "version",
			 "v1", "slots", (int)app->slots, "connections",
			 (int)app->connections, "cold_slots", 1, "connect_us",
			 (int)app->connect_us);
}

static json_t *shard_json(const struct deployment_app *app, uint32_t shard)
{
	json_t *targets = json_array();
	char name[32];
	char id[64];
	uint32_t i;

	for (i = 0; i < app->replicas; i++) {
		target_id(id, sizeof(id), app, shard, i);
		json_array_append_new(targets, json_string(id));
	}
	snprintf(name, sizeof(name), "s%u", shard);
	return json_pack("{s:s,s:o}", "name", name, "targets", targets);
}

static char *dump(json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	return text;
}

char *deployment_layout_json(const struct deployment_app *app,
			     uint16_t first_port)
{
	uint32_t port = first_port + first_target(app);
	json_t *targets = json_array();
	json_t *shards = json_array();
	uint32_t i;

	for (i = 0; i < app->shards * app->replicas; i++)
		json_array_append_new(targets, target_json(app, i, port));
	for (i = 0; i < app->shards; i++)
		json_array_append_new(shards, shard_json(app, i));
	return dump(json_pack("{s:s,s:s,s:s,s:o,s:o}", "index", app->index,
			      "snapshot", "s1", "service", app->index,
			      "targets", targets, "shards", shards));
}

char *deployment_contract_json(const struct deployment_customer *customer)
{
	json_t *indexes = json_array();
	uint32_t i;

	for (i = 0; i < countof(apps); i++) {
		if (strcmp(apps[i].customer, customer->name) == 0)
			json_array_append_new(indexes,
					      json_string(apps[i].index));
	}
	return dump(json_pack(
		"{s:s,s:o,s:i,s:i,s:i,s:i,s:i}", "customer", customer->name,
		"indexes", indexes, "answer_ms", (int)customer->answer_ms,
		"min_coverage_permille", (int)customer->min_coverage_permille,
		"rate_per_s", (int)customer->rate_per_s,
		"target_share_permille", 1000, "extra_load_permille", 50));
}

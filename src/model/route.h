/*
 * Route configuration of the gateway: which service or which set of shards
 * answers a host name and path prefix, and every limit that follows from it.
 * Immutable once built; reference-counted.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <glib.h>
#include <stdint.h>

#include "base/err.h"

/* One service of a route; a shard of it when the route gathers. */
struct route_part {
	/* Position in route_config.services. */
	uint32_t service;
	/* Share of the requests among the parts of a route that splits. */
	double weight;
};

struct route {
	char *name;
	char *host_name;
	/* Begins and ends with a slash. */
	char *prefix;
	/* 0: a request may run at most once. */
	uint32_t is_idempotent;
	uint32_t timeout_ms;
	/* An answer within this time earns its full benefit. */
	uint32_t goal_ms;
	/* Targets that one request may be sent to, for each shard. */
	uint32_t attempts_max;
	/* 1: every part is asked and the answers are merged. */
	uint32_t is_gather;
	uint32_t part_count;
	struct route_part *parts;
	/* Gather: records in an answer, and parts that it needs at least. */
	uint32_t top_k;
	uint32_t parts_min;
};

struct service {
	char *name;
	/* Connections that each target accepts from all hosts together. */
	uint32_t target_connections_max;
	/* Requests a cold target tolerates; 0: not limited. */
	uint32_t cold_requests_per_s;
};

/* What callers may send and how long they may take or stay idle. */
struct caller_limits {
	uint32_t header_bytes_max;
	uint32_t body_bytes_max;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct route_config {
	_Atomic uint32_t refs;
	uint64_t version;
	uint32_t route_count;
	struct route *routes;
	uint32_t service_count;
	struct service *services;
	struct caller_limits limits;
	/* Host name to GPtrArray of struct route, longest prefix first. */
	GHashTable *by_host_name;
};

struct route_config *route_config_new(uint32_t route_count,
				      uint32_t service_count);
struct route_config *route_config_ref(struct route_config *c);
void route_config_unref(struct route_config *c);
/* Checks the routes and builds the index; ERR_CFG_FIELD names the field. */
enum err_code route_config_finish(struct route_config *c, struct err *err);
/* Route of @host with the longest prefix that begins @path, or NULL. */
const struct route *route_find(const struct route_config *c, const char *host,
			       const char *path);
/* Position of service @name, or UINT32_MAX. */
uint32_t route_config_find_service(const struct route_config *c,
				   const char *name);

#endif

/*
 * Route configuration of the gateway: which services answer the requests for a
 * host name and path prefix, and all limits on these requests. Immutable after
 * route_config_finish(); reference-counted.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <glib.h>
#include <stdint.h>

#include "base/err.h"

/* One service of a route. If the route gathers, it is one shard of the data. */
struct route_part {
	/* Position in route_config.services. */
	uint32_t service;
	/* Relative share of the requests, if the route does not gather. */
	double weight;
};

struct route {
	char *name;
	char *host_name;
	/* Path prefix; begins and ends with a slash. */
	char *prefix;
	/* 0: a request must not run more than once. */
	uint32_t is_idempotent;
	/* A request without an answer after this time is refused. */
	uint32_t timeout_ms;
	/* Answers within this time have their full value; others are late. */
	uint32_t goal_ms;
	/* Calls that may run a request, for each part that is asked. */
	uint32_t attempts_max;
	/* 1: every part is asked and the answers are merged. */
	uint32_t is_gather;
	uint32_t part_count;
	struct route_part *parts;
	/* Gather: records in a merged answer, and parts it needs at least. */
	uint32_t top_k;
	uint32_t parts_min;
};

struct service {
	char *name;
	/* Connections that each target accepts from all hosts together. */
	uint32_t target_connections_max;
	/*
	 * Requests from all hosts to one cold target, in thousandths of a
	 * request per second; 0: not limited.
	 */
	uint32_t cold_rate_milli;
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
/* Checks the routes and fills by_host_name; ERR_CFG_FIELD if one is refused. */
enum err_code route_config_finish(struct route_config *c, struct err *err);
/* Route of @host_name with the longest prefix of @path, or NULL. */
const struct route *route_find(const struct route_config *c,
			       const char *host_name, const char *path);
/* Position of service @name in c->services, or UINT32_MAX. */
uint32_t route_config_find_service(const struct route_config *c,
				   const char *name);

#endif

/*
 * What the gateway's control duty knows, as one immutable value: the route
 * configuration in force, the targets that may get new work, and the hosts
 * that share their limits. Reference-counted.
 */
#ifndef GW_VIEW_H
#define GW_VIEW_H

#include <stdint.h>

#include "model/exchange.h"
#include "model/gw_rollout.h"
#include "model/route.h"

/* One process of a service, as discovery describes it. */
struct target_entry {
	char id[WIRE_ID_BYTES];
	char service[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	char data_centre[NAME_BYTES];
	char version[NAME_BYTES];
	uint32_t slots;
	/* Leaving: no new work. */
	uint32_t is_draining;
	/* Operators took its data centre out: no new work. */
	uint32_t is_evacuated;
	/* Rest of its slow start when it wrote this; 0: warm. */
	uint32_t warmup_left_ms;
	/* Wall-clock time of its start in ms; tells incarnations apart. */
	int64_t started_ms;
};

/* 1 if all members are equal. */
int target_entry_equal(const struct target_entry *a,
		       const struct target_entry *b);

struct gw_view {
	_Atomic uint32_t refs;
	/* NULL until a configuration is known. */
	struct route_config *config;
	uint32_t target_count;
	struct target_entry *targets;
	/* Hosts of the gateway that may be running, this one included. */
	uint32_t host_count;
	/* Versions whose share a rollout rules. */
	uint32_t share_count;
	struct gw_version_share shares[GW_ROLLOUTS_MAX];
};

struct gw_view *gw_view_new(uint32_t searcher_count);
void gw_view_unref(struct gw_view *v);

#endif

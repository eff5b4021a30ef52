/*
 * The control duty of the gateway: keeps the route configuration, the targets
 * and the hosts that the store names, and publishes them as MSG_GW_VIEW.
 */
#ifndef GW_CONTROL_H
#define GW_CONTROL_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "model/route.h"
#include "model/store_update.h"

/* Hosts that may be named in the settings for a start without the store. */
#define GW_SEEDS_MAX 8

struct gw_control;

struct gw_seed {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

struct gw_control_options {
	/* This host as it makes itself known. */
	struct host_entry self;
	uint32_t seed_count;
	struct gw_seed seeds[GW_SEEDS_MAX];
	/* Hosts assumed until the store told the number. */
	uint32_t hosts_assumed;
	/* Time until this host has to know a change of the store. */
	uint32_t apply_ms;
	/* Share of a service's requests that a bad version may get. */
	uint32_t exposure_permille;
	struct ring *store;
	/* The relay duty; NULL: no other host is followed. */
	struct ring *relay;
	/* Where views go. */
	struct ring *views;
	/* Limits of callers in a new configuration; any thread. */
	void (*limits_changed)(void *ctx, const struct caller_limits *l);
	/* Number of hosts that share the store's rates; any thread. */
	void (*host_count_changed)(void *ctx, uint32_t hosts);
	/* Context of limits and hosts. */
	void *notify_ctx;
};

struct gw_control *gw_control_new(const struct gw_control_options *o,
				  struct err *err);
struct ring *gw_control_ring(struct gw_control *c);
enum err_code gw_control_start(struct gw_control *c, struct err *err);
void gw_control_stop(struct gw_control *c);
void gw_control_free(struct gw_control *c);

#endif

/*
 * The control duty of the gateway: keeps the route configuration, the targets
 * and the hosts that the store names, publishes them as MSG_GW_VIEW, and runs
 * the controllers of rollouts and target health.
 */
#ifndef GW_CONTROL_H
#define GW_CONTROL_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "model/route.h"
#include "model/store_update.h"

/* Most hosts that the settings may name for a start without the store. */
#define GW_SEEDS_MAX 8

struct gw_control;

/*
 * Peer address of a host to follow while the store cannot be read and no host
 * entries are known.
 */
struct gw_seed {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

struct gw_control_options {
	/* The entry of this host in the store. */
	struct host_entry self;
	uint32_t seed_count;
	struct gw_seed seeds[GW_SEEDS_MAX];
	/* Number of hosts assumed until the store names them. */
	uint32_t hosts_assumed;
	/* This host has to know a change of the store within this time. */
	uint32_t apply_ms;
	/* Writes per second that the store grants to all hosts; 0: unknown. */
	uint32_t store_writes_per_s;
	/* Share of a service's requests that a bad version may get. */
	uint32_t exposure_permille;
	/* Ring of the store duty. */
	struct ring *store;
	/* Ring of the relay duty; NULL: this host follows no other host. */
	struct ring *relay;
	/* Ring of the request duty, which gets views and target health. */
	struct ring *views;
	/*
	 * Called on the control thread with the limits of each new route
	 * configuration.
	 */
	void (*limits_changed)(void *ctx, const struct caller_limits *l);
	/*
	 * Called on the control thread with each view: number of hosts that
	 * share the store's rates.
	 */
	void (*host_count_changed)(void *ctx, uint32_t hosts);
	/* @ctx of limits_changed and host_count_changed. */
	void *notify_ctx;
};

struct gw_control *gw_control_new(const struct gw_control_options *o,
				  struct err *err);
struct ring *gw_control_ring(struct gw_control *c);
enum err_code gw_control_start(struct gw_control *c, struct err *err);
void gw_control_stop(struct gw_control *c);
void gw_control_free(struct gw_control *c);

#endif

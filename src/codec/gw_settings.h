/* Settings file of the gateway: a JSON object. */
#ifndef GW_SETTINGS_H
#define GW_SETTINGS_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

struct gw_endpoint {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

/* Seeds beyond this number are ignored. */
#define GW_SETTINGS_SEEDS_MAX 8

struct gw_settings {
	/* Name of this host, unique in the deployment. */
	char host[64];
	char data_centre[NAME_BYTES];
	struct gw_endpoint caller_endpoint;
	struct gw_endpoint ready_endpoint;
	struct gw_endpoint store_endpoint;
	/*
	 * Where other hosts reach this host; port 0: no host follows another.
	 */
	struct gw_endpoint peer_endpoint;
	/* Peer endpoints of other hosts, for a start without the store. */
	uint32_t seed_count;
	struct gw_endpoint seeds[GW_SETTINGS_SEEDS_MAX];
	/* Calls per second that the store accepts from all hosts together. */
	uint32_t store_reads_per_s;
	uint32_t store_writes_per_s;
	/* File descriptors that the process may have open. */
	uint32_t descriptors;
	/* Memory that the process may use; 256 if the file does not say. */
	uint32_t memory_mb;
	/* Share of one processor core that the host has; may exceed 1000. */
	uint32_t core_permille;
	/* Rate of the host's link; 0: not stated. */
	uint32_t link_mbps;
	/* Time that the deployment leaves between SIGTERM and SIGKILL. */
	uint32_t grace_ms;
	/* Longest time until a new configuration is in force. */
	uint32_t config_apply_ms;
	/* Longest time until a target that leaves gets no more requests. */
	uint32_t drain_ms;
	/* Extra calls allowed: a share of the requests and a fixed number. */
	uint32_t retry_permille;
	uint32_t retry_slack;
	/* Share of a service's requests that a bad version may get. */
	uint32_t exposure_permille;
};

/* Reads the file at @path; ERR_SETTING with the field and its range. */
enum err_code gw_settings_load(const char *path, struct gw_settings *out,
			       struct err *err);

#endif

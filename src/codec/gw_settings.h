/* Settings file of the gateway: JSON in the project's own names. */
#ifndef GW_SETTINGS_H
#define GW_SETTINGS_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

struct gw_endpoint {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

/* Hosts named for a start without the store. */
#define GW_SETTINGS_SEEDS_MAX 8

struct gw_settings {
	/* Name of this host, unique in the deployment. */
	char host[64];
	char data_centre[NAME_BYTES];
	struct gw_endpoint caller_endpoint;
	struct gw_endpoint ready_endpoint;
	struct gw_endpoint store_endpoint;
	/* Where other hosts reach this one; port 0: no host follows another. */
	struct gw_endpoint peer_endpoint;
	/* Peer addresses of hosts that may be there already. */
	uint32_t seed_count;
	struct gw_endpoint seeds[GW_SETTINGS_SEEDS_MAX];
	/* Calls that the store grants to all hosts together. */
	uint32_t store_reads_per_s;
	uint32_t store_writes_per_s;
	/* Descriptors of the process. */
	uint32_t descriptors;
	/* Part of a processor core that the host has. */
	uint32_t core_permille;
	/* Time between SIGTERM and SIGKILL. */
	uint32_t grace_ms;
	/* Time until a configuration is in force and a leaving target unused. */
	uint32_t config_apply_ms;
	uint32_t drain_ms;
	/* Calls beyond the first: a share of the requests and a fixed number. */
	uint32_t retry_permille;
	uint32_t retry_slack;
	/* Share of a service's requests that a bad version may get. */
	uint32_t exposure_permille;
};

/* Reads the file at @path; the error names the field and its range. */
enum err_code gw_settings_load(const char *path, struct gw_settings *out,
			       struct err *err);

#endif

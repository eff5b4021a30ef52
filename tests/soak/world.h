/*
 * The deployment of a soak: the store stand-in, searchers, proxies and hosts,
 * with the operator's documents. One thread changes it; the load reads it.
 */
#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include <pthread.h>
#include <stdatomic.h>

#include "ledger.h"
#include "proc.h"
#include "proxy.h"
#include "searcher.h"

#define WORLD_HOSTS 5
#define WORLD_SHARDS 4
#define WORLD_DATA_CENTRES 3
/* Services that the route "move" takes in turn. */
#define WORLD_MOVES 5
#define WORLD_SEARCHERS_MAX 64
#define WORLD_VERSIONS_MAX 512

/* Bounds of the settings; the checks use them. */
#define WORLD_APPLY_MS 3000
#define WORLD_DRAIN_MS 3000
#define WORLD_EVACUATE_MS 5000
#define WORLD_GRACE_S 6
#define WORLD_RETRY_PERMILLE 200
#define WORLD_RETRY_SLACK 56
#define WORLD_EXPOSURE_PERMILLE 100
#define WORLD_EXPOSURE_SLACK 50
/* A part without trouble for this long is in touch. */
#define WORLD_CONTACT_US (4 * (int64_t)US_PER_S)
#define WORLD_RECOVER_S 12

struct world_host {
	struct proc proc;
	char address[ADDRESS_BYTES];
	char data_centre[NAME_BYTES];
	char settings_path[256];
	char log_path[256];
	/* Between this host and the store. */
	struct proxy_link *store_link;
	/* Counts starts; a regress is judged within one. */
	_Atomic uint32_t incarnation;
	_Atomic int is_running;
	/* SIGTERM was sent and the process lives. */
	_Atomic int is_leaving;
	/* End of the last trouble of this host, INT64_MAX while it lasts. */
	_Atomic int64_t troubled_us;
};

struct world {
	struct ledger *ledger;
	struct proxy *proxy;
	struct searchers *searchers;
	struct target_entry *list[WORLD_SEARCHERS_MAX];
	uint32_t searcher_count;
	struct proc store;
	uint16_t store_port;
	uint16_t store_admin_port;
	struct world_host hosts[WORLD_HOSTS];
	uint16_t caller_port;
	/* As for a host. */
	_Atomic int64_t store_troubled_us;
	/* Configuration version and when the store acknowledged each. */
	_Atomic uint32_t version;
	/* Newest version that the store acknowledged. */
	_Atomic uint32_t acked_version;
	_Atomic int64_t acked_us[WORLD_VERSIONS_MAX];
	char dir[200];
	uint64_t seed;
};

/* 0 when something does not start; what started is ended. */
int world_start(struct world *w, struct ledger *l, uint64_t seed,
		struct err *err);
void world_stop(struct world *w);

int world_host_start(struct world *w, uint32_t host);
/* 1 if the host and the store have had no trouble for the contact time. */
int world_is_calm(const struct world *w, uint32_t host, int64_t at_us);
int world_all_calm(const struct world *w, int64_t at_us);

/* Service to which version @version moves the route "move". */
void world_move_service(uint32_t version, char out[NAME_BYTES]);
/* Writes the next version; 0 when the store did not acknowledge it. */
int world_configure(struct world *w);
/* Writes @value (NULL deletes) at @key; 0 without acknowledgement. */
int world_put(struct world *w, const char *key, const char *value);
/* Value at @key; the caller frees it. NULL when there is none. */
char *world_get(struct world *w, const char *key);
/* Writes the searcher's entry, or removes it. */
int world_announce(struct world *w, struct target_entry *s, const char *phase);
int world_withdraw(struct world *w, struct target_entry *s);
/* Switches a fault of the store stand-in, given as JSON. */
void world_store_fault(struct world *w, const char *json);

#endif

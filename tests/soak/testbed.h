/*
 * The deployment of a soak: the store stand-in, searchers, proxies and hosts,
 * with the operator's documents. One thread changes it; the load reads it.
 */
#ifndef SOAK_TESTBED_H
#define SOAK_TESTBED_H

#include <pthread.h>
#include <stdatomic.h>

#include "ledger.h"
#include "proc.h"
#include "proxy.h"
#include "targets.h"

#define TESTBED_HOSTS 5
#define TESTBED_SHARDS 4
#define TESTBED_DATA_CENTRES 3
/* Services that the route "move" takes in turn. */
#define TESTBED_MOVES 5
#define TESTBED_TARGETS_MAX 64
#define TESTBED_VERSIONS_MAX 512

/* Bounds of the settings; the checks use them. */
#define TESTBED_APPLY_MS 3000
#define TESTBED_DRAIN_MS 3000
#define TESTBED_EVACUATE_MS 5000
#define TESTBED_GRACE_S 6
#define TESTBED_RETRY_PERMILLE 200
#define TESTBED_RETRY_SLACK 56
#define TESTBED_EXPOSURE_PERMILLE 100
#define TESTBED_EXPOSURE_SLACK 50
/* A part without trouble for this long is in touch. */
#define TESTBED_SETTLE_US (4 * (int64_t)US_PER_S)
#define TESTBED_RECOVER_S 12

struct testbed_host {
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
	_Atomic int64_t fault_end_us;
};

struct testbed {
	struct ledger *ledger;
	struct proxy *proxy;
	struct targets *targets;
	struct target_entry *target_list[TESTBED_TARGETS_MAX];
	uint32_t target_count;
	struct proc store;
	uint16_t store_port;
	uint16_t store_admin_port;
	struct testbed_host hosts[TESTBED_HOSTS];
	uint16_t caller_port;
	/* As for a host. */
	_Atomic int64_t store_fault_end_us;
	/* Configuration version and when the store acknowledged each. */
	_Atomic uint32_t version;
	/* Newest version that the store acknowledged. */
	_Atomic uint32_t acked_version;
	_Atomic int64_t acked_us[TESTBED_VERSIONS_MAX];
	char dir[200];
	uint64_t seed;
};

/* 0 when something does not start; what started is ended. */
int testbed_start(struct testbed *tb, struct ledger *l, uint64_t seed,
		  struct err *err);
void testbed_stop(struct testbed *tb);

int testbed_host_start(struct testbed *tb, uint32_t host);
/* 1 if the host and the store have had no trouble for the contact time. */
int testbed_host_is_settled(const struct testbed *tb, uint32_t host,
			    int64_t at_us);
int testbed_is_settled(const struct testbed *tb, int64_t at_us);

/* Service to which version @version moves the route "move". */
void testbed_move_service(uint32_t version, char out[NAME_BYTES]);
/* Writes the next version; 0 when the store did not acknowledge it. */
int testbed_configure(struct testbed *tb);
/* Writes @value (NULL deletes) at @key; 0 without acknowledgement. */
int testbed_put(struct testbed *tb, const char *key, const char *value);
/* Value at @key; the caller frees it. NULL when there is none. */
char *testbed_get(struct testbed *tb, const char *key);
/* Writes the searcher's entry, or removes it. */
int testbed_announce(struct testbed *tb, struct target_entry *s,
		     const char *phase);
int testbed_withdraw(struct testbed *tb, struct target_entry *s);
/* Switches a fault of the store stand-in, given as JSON. */
void testbed_store_fault(struct testbed *tb, const char *json);

#endif

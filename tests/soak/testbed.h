/*
 * The processes of a soak: the store stand-in, targets, proxies and hosts, and
 * the operator's documents in the store. The main thread changes them; the
 * threads of the load read the _Atomic fields.
 */
#ifndef SOAK_TESTBED_H
#define SOAK_TESTBED_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "ledger.h"
#include "proc.h"
#include "proxy.h"
#include "targets.h"

#define TESTBED_HOSTS 5
#define TESTBED_SHARDS 4
#define TESTBED_DATA_CENTRES 3
/* Services to which successive versions move the route "move", in turn. */
#define TESTBED_MOVES 5
#define TESTBED_TARGETS_MAX 64
#define TESTBED_VERSIONS_MAX 512

/* Settings of the hosts, and the bounds that the checks derive from them. */
#define TESTBED_APPLY_MS 3000
#define TESTBED_DRAIN_MS 3000
#define TESTBED_EVACUATE_MS 5000
#define TESTBED_GRACE_S 6
#define TESTBED_RETRY_PERMILLE 200
#define TESTBED_RETRY_SLACK 56
#define TESTBED_EXPOSURE_PERMILLE 100
#define TESTBED_EXPOSURE_SLACK 50
/*
 * A host or store without a fault for this long is settled: connected again and
 * bound by the time limits that the checks apply.
 */
#define TESTBED_SETTLE_US (4 * (int64_t)US_PER_S)
#define TESTBED_RECOVER_S 12

struct testbed_host {
	struct proc proc;
	char address[ADDRESS_BYTES];
	char data_centre[NAME_BYTES];
	char settings_path[256];
	char log_path[256];
	/* The proxy between this host and the store. */
	struct proxy_link *store_link;
	/*
	 * Number of starts; configuration versions may not regress within one.
	 */
	_Atomic uint32_t incarnation;
	_Atomic int is_running;
	/* Monotonic time of the latest start. */
	int64_t started_us;
	/* Length of the log at that time. */
	int64_t log_start_bytes;
	/* SIGTERM was sent and the process has not been replaced yet. */
	_Atomic int is_leaving;
	/*
	 * Monotonic time at which this host's last fault ended, INT64_MAX
	 * during it.
	 */
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
	/*
	 * Key to the value that this program last wrote there; NULL: deleted. It
	 * writes them again when the store has come back from a copy.
	 */
	GHashTable *written;
	/* Like testbed_host.fault_end_us, for the store's last fault. */
	_Atomic int64_t store_fault_end_us;
	/* Newest configuration version that was sent to the store. */
	_Atomic uint32_t version;
	/* Newest version that the store acknowledged. */
	_Atomic uint32_t acked_version;
	/* Time of each version's acknowledgement, INT64_MAX without one. */
	_Atomic int64_t acked_us[TESTBED_VERSIONS_MAX];
	char dir[200];
	char host_program[200];
	/* Program with which every second host starts first; "": the same. */
	const char *older_program;
	uint64_t seed;
};

/*
 * 0 when something does not start; what had started is stopped. Hosts are built
 * like this program, whose argv[0] is @argv0. If @older is not empty, every
 * second host starts as the program @older, and as one of this build when it is
 * started again.
 */
int testbed_start(struct testbed *tb, const char *argv0, const char *older,
		  struct ledger *l, uint64_t seed, struct err *err);
void testbed_stop(struct testbed *tb);

/* 0 when the host's process cannot be started. */
int testbed_host_start(struct testbed *tb, uint32_t host);
/*
 * 1 if @host and the store had no fault in the TESTBED_SETTLE_US before @at_us.
 */
int testbed_host_is_settled(const struct testbed *tb, uint32_t host,
			    int64_t at_us);
/* The same for all hosts. */
int testbed_is_settled(const struct testbed *tb, int64_t at_us);

/* Service to which version @version moves the route "move". */
void testbed_move_service(uint32_t version, char out[NAME_BYTES]);
/*
 * Writes the next configuration version; 0 when the store did not acknowledge
 * it.
 */
int testbed_configure(struct testbed *tb);
/*
 * Writes @value at @key (NULL deletes); 0 if the store did not acknowledge it.
 */
int testbed_put(struct testbed *tb, const char *key, const char *value);
/* Writes all again, as operators and targets do after the store came back. */
void testbed_put_again(struct testbed *tb);
/* Returns the value at @key, which the caller frees, or NULL. */
char *testbed_get(struct testbed *tb, const char *key);
/* Writes the target's entry with @phase to the store, as testbed_put() does. */
int testbed_announce(struct testbed *tb, struct target_entry *s,
		     const char *phase);
/* Removes the target's entry from the store, as testbed_put() does. */
int testbed_withdraw(struct testbed *tb, struct target_entry *s);
/* Sends @json to the store stand-in's control port, which switches a fault. */
void testbed_store_fault(struct testbed *tb, const char *json);

/* 1 if the host has written to its log since its latest start. */
int testbed_host_has_logged(const struct testbed_host *h);
/* Starts of all hosts so far. */
uint32_t testbed_starts(const struct testbed *tb);

#endif

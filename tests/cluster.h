/*
 * Stand-ins and hosts as child processes for process tests: one store, the
 * targets of one index ("parts": @shards x @replicas, replica i in data
 * centre a, b or c) and any number of hosts.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include <stdint.h>

#include "client.h"
#include "proc.h"

#define CLUSTER_HOSTS_MAX 8
#define CLUSTER_TIMEOUT_MS 20000

struct cluster {
	struct proc store;
	/* All targets run in one process, on consecutive ports. */
	struct proc targets;
	uint16_t first_target_port;
	uint32_t shards;
	uint32_t replicas;
	uint32_t host_count;
	struct proc hosts[CLUSTER_HOSTS_MAX];
	/*
	 * Port for peers of each host; 0: not started yet. A restarted host
	 * gets the same one, so that the other hosts find it again.
	 */
	uint16_t peer_ports[CLUSTER_HOSTS_MAX];
};

/*
 * To be called first. Hosts run from the folder of the test program @argv0, so
 * that they are built with the same sanitizer; a report of the sanitizer ends
 * the host.
 */
void cluster_init(const char *argv0);
/*
 * The three start functions end the test program if a process does not start.
 */
void cluster_start_store(struct cluster *c);
void cluster_start_targets(struct cluster *c, uint32_t shards,
			   uint32_t replicas);
/* Starts or restarts host @i (h1 is 0). */
void cluster_start_host(struct cluster *c, uint32_t i);
/* Puts all hosts started so far into the host list of the store stand-in. */
void cluster_list_hosts(struct cluster *c);
/* Ends every process that is still running. */
void cluster_stop(struct cluster *c);

uint16_t cluster_caller_port(const struct cluster *c, uint32_t host);
uint16_t cluster_admin_port(const struct cluster *c, uint32_t host);
/* Control ports of the stand-ins, which switch faults. */
uint16_t cluster_store_control(const struct cluster *c);
uint16_t cluster_target_control(const struct cluster *c);

/*
 * JSON of the layout of "parts" and of the contract of "acme"; the caller frees
 * the result.
 */
char *cluster_layout(const struct cluster *c, const char *snapshot);
char *cluster_contract(uint32_t answer_ms, uint32_t min_coverage_permille);

#endif

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
	struct proc targets;
	uint16_t first_target_port;
	uint32_t shards;
	uint32_t replicas;
	uint32_t host_count;
	struct proc hosts[CLUSTER_HOSTS_MAX];
	/* Kept over a restart, so that other hosts find it again. */
	uint16_t peer_ports[CLUSTER_HOSTS_MAX];
};

/*
 * Hosts run from the folder of the test program @argv0, so that they have the
 * same sanitizer; a report of it ends the host. Call first.
 */
void cluster_init(const char *argv0);
/* The following end the test program when something cannot be started. */
void cluster_start_store(struct cluster *c);
void cluster_start_targets(struct cluster *c, uint32_t shards,
			   uint32_t replicas);
/* Starts or restarts host @i (h1 is 0). */
void cluster_start_host(struct cluster *c, uint32_t i);
/* Tells the host list stand-in about all hosts started so far. */
void cluster_list_hosts(struct cluster *c);
/* Ends every process that is still running. */
void cluster_stop(struct cluster *c);

uint16_t cluster_caller_port(const struct cluster *c, uint32_t host);
uint16_t cluster_admin_port(const struct cluster *c, uint32_t host);
uint16_t cluster_store_control(const struct cluster *c);
uint16_t cluster_target_control(const struct cluster *c);

/* JSON of the layout of "parts" and of the contract of "acme"; owned. */
char *cluster_layout(const struct cluster *c, const char *snapshot);
char *cluster_contract(uint32_t answer_ms, uint32_t min_coverage_permille);

#endif

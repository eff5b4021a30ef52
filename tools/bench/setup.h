/* The processes of one run: store and target stand-ins, and hosts. */
#ifndef SETUP_H
#define SETUP_H

#include "bench.h"
#include "http_client.h"

/* Longest wait for an answer of a control port, an admin port or the store. */
#define BENCH_SETUP_CONTROL_WAIT_US (2 * US_PER_S)

struct bench_setup_options {
	/* Number of hosts; 0: targets only. */
	uint32_t hosts;
	/* 1: "cowslippoint serve", 0: "bench host". */
	int use_serve;
	uint64_t seed;
};

struct bench_setup {
	const struct scenario *scenario;
	struct http_client *client;
	struct proc *targets;
	struct proc *store;
	uint16_t target_control_port;
	uint16_t store_port;
	uint16_t store_control_port;
	struct layout *layout;
	uint32_t host_count;
	struct proc *hosts[HOSTS_MAX];
	uint16_t host_ports[HOSTS_MAX];
	uint16_t admin_ports[HOSTS_MAX];
	uint16_t peer_ports[HOSTS_MAX];
	/* From the start of the first host until all answered completely. */
	int64_t startup_us;
};

/* Sums over the target stand-ins: sub-requests unless said otherwise. */
struct bench_setup_counts {
	uint64_t received;
	/* Executions of a non-idempotent lookup after the first one. */
	uint64_t repeated;
	uint64_t cancelled;
	/* Ran to the end although the connection had been closed. */
	uint64_t abandoned;
	/* Cold targets that got more than one sub-request at once. */
	uint32_t cold_exceeded;
	uint32_t refused_connections;
};

/* Starts all processes and waits until each host gives a complete answer. */
struct bench_setup *bench_setup_new(const struct scenario *s,
				    const struct bench_setup_options *o,
				    struct http_client *client,
				    struct err *err);
/* Ends the processes and adds the hosts' CPU time to *@host_cpu_us. */
void bench_setup_free(struct bench_setup *st, int64_t *host_cpu_us);
/* Asks the target stand-ins for the fault and does not wait for the answer. */
void bench_setup_event(struct bench_setup *st, enum bench_event event);
enum err_code bench_setup_counts(struct bench_setup *st,
				 struct bench_setup_counts *out,
				 struct err *err);
/*
 * Sums of the hosts' metrics; zeros for "bench host", which has no admin port.
 */
void bench_setup_host_counts(struct bench_setup *st, struct host_counts *out);
/* Writes contract, layout and head of the configuration to the store. */
enum err_code bench_setup_put_config(struct bench_setup *st, struct err *err);
/* Writes the list of hosts and targets to the store stand-in. */
enum err_code bench_setup_put_hosts(struct bench_setup *st, struct err *err);
/* Writes contract and layout to the files that "bench host" reads. */
enum err_code bench_setup_write_documents(struct bench_setup *st,
					  struct err *err);
/* 1 if build/cowslippoint has the subcommand "serve". */
int bench_setup_has_serve(void);

#endif

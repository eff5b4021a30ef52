/* The processes of one run: store and target stand-ins, and hosts. */
#ifndef BENCH_STAGE_H
#define BENCH_STAGE_H

#include "bench.h"
#include "hc.h"

/* Longest wait for an answer of a control port, an admin port or the store. */
#define STAGE_CONTROL_WAIT_US (2 * US_PER_S)

struct stage_options {
	/* Number of hosts; 0: targets only. */
	uint32_t hosts;
	/* 1: "cowslippoint serve", 0: "bench host". */
	int use_serve;
	uint64_t seed;
};

struct stage {
	const struct scenario *scenario;
	struct hc *client;
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
struct stage_counts {
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
struct stage *stage_new(const struct scenario *s, const struct stage_options *o,
			struct hc *client, struct err *err);
/* Ends the processes and adds the hosts' CPU time to *@host_cpu_us. */
void stage_free(struct stage *st, int64_t *host_cpu_us);
/* Asks the target stand-ins for the fault and does not wait for the answer. */
void stage_event(struct stage *st, enum bench_event event);
enum err_code stage_counts(struct stage *st, struct stage_counts *out,
			   struct err *err);
/* Sums of the hosts' metrics; zeros for "bench host", which has no admin port. */
void stage_host_counts(struct stage *st, struct host_counts *out);
/* Writes contract, layout and head of the configuration to the store. */
enum err_code stage_put_config(struct stage *st, struct err *err);
/* Writes the list of hosts and targets to the store stand-in. */
enum err_code stage_put_hosts(struct stage *st, struct err *err);
/* Writes contract and layout to the files that "bench host" reads. */
enum err_code stage_write_documents(struct stage *st, struct err *err);
/* 1 if build/cowslippoint has the subcommand "serve". */
int stage_has_serve(void);

#endif

/* The processes of one run: store and target stand-ins, and hosts. */
#ifndef BENCH_STAGE_H
#define BENCH_STAGE_H

#include "bench.h"
#include "hc.h"

/* Longest wait for a control port or the store. */
#define STAGE_CONTROL_WAIT_US (2 * US_PER_S)

struct stage_options {
	/* 0: targets only. */
	uint32_t hosts;
	/* 1: "cowslippoint serve", 0: "bench host". */
	int whole_host;
	uint64_t seed;
};

struct stage {
	const struct scenario *scenario;
	struct hc *client;
	struct proc *targets;
	struct proc *store;
	uint16_t target_control;
	uint16_t store_port;
	uint16_t store_control;
	struct layout *layout;
	uint32_t host_count;
	struct proc *hosts[HOSTS_MAX];
	uint16_t host_ports[HOSTS_MAX];
	uint16_t admin_ports[HOSTS_MAX];
	uint16_t peer_ports[HOSTS_MAX];
	/* From the first start until each host gave a complete answer. */
	int64_t startup_us;
};

/* Counters of the target stand-ins. */
struct stage_counts {
	uint64_t received;
	uint64_t repeated;
	uint64_t cancelled;
	/* Ran to the end although the connection had been closed. */
	uint64_t abandoned;
	uint32_t cold_exceeded;
	uint32_t refused_connections;
};

/* Starts all and waits until each host answers. */
struct stage *stage_new(const struct scenario *s, const struct stage_options *o,
			struct hc *client, struct err *err);
/* Ends the processes; adds the hosts' CPU time in us. */
void stage_free(struct stage *st, int64_t *host_cpu_us);
void stage_event(struct stage *st, enum bench_event event);
enum err_code stage_counts(struct stage *st, struct stage_counts *out,
			   struct err *err);
/* Sums of the hosts' own counters; zeros for path hosts. */
void stage_host_counts(struct stage *st, struct host_counts *out);
/* Writes items and head to the store, as hosts read them. */
enum err_code stage_put_config(struct stage *st, struct err *err);
enum err_code stage_put_hosts(struct stage *st, struct err *err);
/* Writes contract and layout to the files that path hosts read. */
enum err_code stage_write_documents(struct stage *st, struct err *err);
/* 1 if "cowslippoint serve" exists. */
int stage_has_serve(void);

#endif

/* State and functions that the source files of the simulation share. */
#ifndef SIM_IMPL_H
#define SIM_IMPL_H

#include "base/rng.h"
#include "base/timer_queue.h"
#include "decide/once.h"
#include "filter/pipeline.h"
#include "sim.h"

#define SIM_TARGETS_MAX 64
#define SIM_SHARDS_MAX 32
#define SIM_BASE_PORT 9000

struct sim;
struct sim_sub;

/* One request of a caller at one host; a repeated lookup is another attempt. */
struct sim_attempt {
	struct sim *sim;
	/* Position among all attempts of the run. */
	uint32_t seq;
	char id[REQUEST_ID_BYTES];
	uint32_t host;
	uint32_t host_incarnation;
	uint32_t customer;
	enum request_op op;
	int idempotent;
	/* Repeats of the lookup up to this attempt. */
	uint32_t tries;
	int64_t sent_us;
	int64_t deadline_us;
	/* Answers to the caller, or 1 when the host died; must end at 1. */
	uint32_t replies;
	/* The caller was answered not_run. */
	int said_not_run;
	/* Sub-requests of this attempt that a target began to run. */
	uint32_t runs;
	/* Bits: data centres out of service in every view since the arrival. */
	uint32_t out_mask;
	/*
	 * Bits: shards with a sub-request that reached its target, by snapshot
	 * number modulo 4.
	 */
	uint32_t sent_mask[4];
	/* Bits: shards with a sub-request, also one whose target was down. */
	uint32_t offered_mask;
	/* Number of sub-requests to each shard so far. */
	uint8_t nth[SIM_SHARDS_MAX];
	/*
	 * Bits: shards answered. Only the naive policy and the oracle use it.
	 */
	uint32_t answered_mask;
	/* Due at the deadline. Only the naive policy and the oracle use it. */
	struct timer_entry close;
};

/* Where a sub-request is: on the network, then at its target. */
enum sim_sub_state { SUB_TRAVELS, SUB_QUEUED, SUB_RUNS, SUB_ENDED };

/* One sub-request, seen by its host and by its target. */
struct sim_sub {
	struct sim *sim;
	uint32_t host;
	uint32_t host_incarnation;
	uint64_t sub_id;
	uint32_t target;
	uint32_t shard;
	uint32_t snapshot;
	/* Number of earlier sub-requests of the attempt to this shard. */
	uint32_t nth;
	char request_id[REQUEST_ID_BYTES];
	/* NULL for a warm-up search. */
	struct sim_attempt *attempt;
	int64_t deadline_us;
	enum sim_sub_state state;
	/* 1 once the host has got a result. */
	int host_done;
	/* Answer of the target on its way to the host. */
	struct subrequest_result *result;
	/* The host knew that the target was cold when it sent this. */
	int is_known_cold;
	/* At the target: arrival, end of the service time. */
	struct timer_entry arrive;
	struct timer_entry end;
	/* At the host: the answer, a duplicate of it, the timeout. */
	struct timer_entry answer;
	struct timer_entry again;
	struct timer_entry give_up;
	/* At the target: the cancellation. */
	struct timer_entry cancel;
};

struct sim_target {
	uint32_t shard;
	uint32_t replica;
	/* Number of the only snapshot that it serves. */
	uint32_t snapshot;
	/* Restarts so far. */
	uint32_t incarnation;
	int cold;
	/* Sub-requests served since the restart. */
	uint32_t served;
	/* Refuses connections. */
	int down;
	/* Takes sub-requests and does not answer. */
	int silent;
	/* Slots in use. */
	uint32_t running;
	GQueue queue;
	GPtrArray *running_subs;
	/*
	 * Sub-requests without a result yet, by host: all of them, and those
	 * sent while the host knew that the target was cold.
	 */
	uint32_t open[SIM_HOSTS_MAX];
	uint32_t open_cold[SIM_HOSTS_MAX];
	/* Good answers of this incarnation that the hosts have received. */
	uint32_t good;
};

struct sim_host {
	struct sim *sim;
	uint32_t no;
	/* Starts so far. */
	uint32_t incarnation;
	char name[NAME_BYTES];
	struct pipeline *path;
	int alive;
	/* Sub-request ID to struct sim_sub. */
	GHashTable *subs;
	/* Request ID to struct sim_attempt. */
	GHashTable *attempts;
	/* Of its latest view: snapshot number; bits of data centres out. */
	uint32_t snapshot;
	uint32_t out_mask;
	/* Bits: numbers of the hosts that this host takes for live. */
	uint32_t members;
	/* The same as it stood when the latest view was published. */
	uint32_t view_members;
	/* By target: incarnation that this host knows as cold, plus 1; or 0. */
	uint32_t cold_incarnation[SIM_TARGETS_MAX];
	/*
	 * By customer: sub-requests that were the first of their attempt to a
	 * shard, also if the target was down; extra ones that reached a target.
	 */
	uint64_t first[SIM_CUSTOMERS_MAX];
	uint64_t extra[SIM_CUSTOMERS_MAX];
	/* Takes the request report of the pipeline. */
	struct timer_entry report;
};

struct sim {
	struct sim_options o;
	struct timer_queue *timers;
	int64_t now_us;
	/*
	 * One random sequence for each use, so that every policy meets the same
	 * faults and arrivals. The first one is for all other uses.
	 */
	struct rng rng;
	struct rng fault_rng;
	struct rng caller_rng;
	/* Replicas that the naive policy picks. */
	struct rng pick_rng;
	uint32_t target_count;
	struct sim_target targets[SIM_TARGETS_MAX];
	struct sim_host hosts[SIM_HOSTS_MAX];
	GPtrArray *attempts;
	GPtrArray *subs;
	/* "CUSTOMER/REQUEST_ID" to struct sim_claim. */
	GHashTable *store;
	int store_down;
	uint64_t store_version;
	/* Request ID of a lookup to how often targets began to run it. */
	GHashTable *runs;
	struct sim_result *result;
	uint32_t next_seq;
	uint64_t next_sub;
	/* Newest snapshot; bits of data centres out. Hosts learn both later. */
	uint32_t snapshot;
	uint32_t out_mask;
	/* The run is over and only releases what is left. */
	int stopping;
};

typedef void sim_event_fn(struct sim *s, void *arg);

/* Calls @fn after @delay_us. */
void sim_after(struct sim *s, int64_t delay_us, sim_event_fn *fn, void *arg);
/* Counts a violation and keeps the text of the first one. */
void sim_violate(struct sim *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* 1 if the run has @fault. */
int sim_has(const struct sim *s, enum sim_fault fault);
/* Draws from s->rng; 1 with a probability of @permille. */
int sim_chance(struct sim *s, uint32_t permille);

/* Hosts (sim_host.c). */
void sim_host_start(struct sim *s, uint32_t no);
void sim_host_kill(struct sim *s, uint32_t no);
/* Publishes a view of the present state to the host. */
void sim_host_view(struct sim *s, uint32_t no);
int sim_host_ready(const struct sim *s, uint32_t no);
/* Hands @r to the host of @sub; takes ownership of @r. */
void sim_host_result(struct sim_sub *sub, struct subrequest_result *r);
void sim_host_submit(struct sim *s, struct sim_attempt *a,
		     struct caller_request *c);
/* The caller of @a closed its connection. */
void sim_host_caller_gone(struct sim *s, struct sim_attempt *a);
/*
 * 1 if no replica of @shard is warm to the host, because the replica or the
 * host has restarted.
 */
int sim_host_all_cold(const struct sim *s, uint32_t no, uint32_t shard);
/* Sends one sub-request to @target; the naive policy uses it too. */
struct sim_sub *sim_sub_send(struct sim *s, uint32_t host,
			     struct sim_attempt *a,
			     const struct subrequest_msg *call,
			     uint32_t target);
/* Naive policy and oracle: sends a sub-request to each shard. */
void sim_naive_submit(struct sim *s, struct sim_attempt *a);
void sim_naive_result(struct sim_sub *sub, const struct subrequest_result *r);

/* Checks of each sub-request that a host sends (sim_check.c). */
void sim_target_name(char *out, uint32_t target);
/* Sub-requests at once that the good answers since its restart allow. */
uint32_t sim_ramp_limit(const struct sim *s, const struct sim_target *t);
void sim_check_cold(struct sim *s, struct sim_sub *sub);
void sim_check_connections(struct sim *s, struct sim_sub *sub);
void sim_check_budget(struct sim *s, const struct sim_host *h,
		      uint32_t customer);
void sim_check_out(struct sim *s, const struct sim_sub *sub);

/* Targets (sim_target.c). */
void sim_target_arrive(void *ctx, int64_t now_us);
void sim_target_cancel(void *ctx, int64_t now_us);
void sim_target_restart(struct sim *s, uint32_t target);
/* Ends the sub-requests that run or wait with ERR_TARGET_CLOSED. */
void sim_target_break(struct sim *s, uint32_t target);

/* Callers (sim_caller.c). */
void sim_callers_start(struct sim *s);
/* The caller of @a got @answer. */
void sim_caller_answered(struct sim_attempt *a, const struct answer *answer);
/* The caller of @a gets no answer, because its host died. */
void sim_caller_lost(struct sim_attempt *a);
/* Checks that every attempt got exactly one answer. */
void sim_callers_check(struct sim *s);

/* Store (sim_store.c). */
void sim_claim(void *ctx, uint64_t req_no, const char *customer,
	       const char *request_id);
void sim_record(void *ctx, const char *customer, const char *request_id,
		enum outcome outcome);

#endif

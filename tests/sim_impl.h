/* State that the parts of the simulation share. */
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

/* One caller's request at one host. */
struct sim_attempt {
	struct sim *sim;
	uint32_t seq;
	char id[REQUEST_ID_BYTES];
	uint32_t host;
	uint32_t host_life;
	uint32_t customer;
	enum request_op op;
	int idempotent;
	uint32_t tries;
	int64_t sent_us;
	int64_t deadline_us;
	uint32_t replies;
	int said_not_run;
	/* Sub-requests of it that a target began to run. */
	uint32_t runs;
	/* Data centres that were out in each view of the host since arrival. */
	uint32_t out_mask;
	/* Shards that were sent at least once, per snapshot parity. */
	uint32_t sent_mask[4];
	uint32_t offered_mask;
	/* Sub-requests to each shard so far. */
	uint8_t nth[SIM_SHARDS_MAX];
	/* Naive and oracle only. */
	uint32_t answered_mask;
	struct timer_entry close;
};

enum sim_sub_state { SUB_TRAVELS, SUB_QUEUED, SUB_RUNS, SUB_ENDED };

/* One sub-request, seen by its host and by its target. */
struct sim_sub {
	struct sim *sim;
	uint32_t host;
	uint32_t host_life;
	uint64_t sub_id;
	uint32_t target;
	uint32_t shard;
	uint32_t snapshot;
	/* Sub-requests of this request to this shard before. */
	uint32_t nth;
	char request_id[REQUEST_ID_BYTES];
	struct sim_attempt *attempt;
	int64_t deadline_us;
	enum sim_sub_state state;
	/* The host has its result. */
	int host_done;
	struct subrequest_result *result;
	/* The host knew its target to be cold when it sent this. */
	int known_cold;
	struct timer_entry arrive;
	struct timer_entry end;
	struct timer_entry answer;
	struct timer_entry again;
	struct timer_entry give_up;
	struct timer_entry cancel;
};

struct sim_target {
	uint32_t shard;
	uint32_t replica;
	uint32_t snapshot;
	uint32_t life;
	int cold;
	uint32_t served;
	int down;
	int silent;
	uint32_t running;
	GQueue queue;
	GPtrArray *running_subs;
	/* Open at the hosts' side, by host. */
	uint32_t open[SIM_HOSTS_MAX];
	uint32_t open_cold[SIM_HOSTS_MAX];
	/* Good answers of this life that hosts have received. */
	uint32_t good;
};

struct sim_host {
	struct sim *sim;
	uint32_t no;
	uint32_t life;
	char name[NAME_BYTES];
	struct pipeline *path;
	int alive;
	/* Sub ID to struct sim_sub. */
	GHashTable *subs;
	/* Request ID to struct sim_attempt. */
	GHashTable *attempts;
	uint32_t snapshot;
	uint32_t out_mask;
	/* Host numbers of its membership view, as bits. */
	uint32_t members;
	/* The same as of its latest view. */
	uint32_t members_seen;
	/* Per target: life that the host knows as cold, plus one; else 0. */
	uint32_t cold_life[SIM_TARGETS_MAX];
	uint64_t first[SIM_CUSTOMERS_MAX];
	uint64_t extra[SIM_CUSTOMERS_MAX];
	struct timer_entry evidence;
};

struct sim {
	struct sim_options o;
	struct timer_queue *timers;
	int64_t now_us;
	/* Each with numbers of its own, so that policies see the same. */
	struct rng rng;
	struct rng strikes;
	struct rng callers;
	struct rng picks;
	uint32_t target_count;
	struct sim_target targets[SIM_TARGETS_MAX];
	struct sim_host hosts[SIM_HOSTS_MAX];
	GPtrArray *attempts;
	GPtrArray *subs;
	/* Key to struct sim_claim. */
	GHashTable *store;
	int store_down;
	uint64_t store_version;
	/* Lookup's ID to the number of runs. */
	GHashTable *runs;
	struct sim_result *result;
	uint32_t next_seq;
	uint64_t next_sub;
	uint32_t snapshot;
	uint32_t out_mask;
	int stopping;
};

typedef void sim_event_fn(struct sim *s, void *arg);

/* Calls @fn after @delay_us. */
void sim_after(struct sim *s, int64_t delay_us, sim_event_fn *fn, void *arg);
void sim_violate(struct sim *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
int sim_has(const struct sim *s, enum sim_fault fault);
/* 1 in @permille of 1000 draws. */
int sim_chance(struct sim *s, uint32_t permille);

/* Hosts. */
void sim_host_start(struct sim *s, uint32_t no);
void sim_host_kill(struct sim *s, uint32_t no);
void sim_host_view(struct sim *s, uint32_t no);
int sim_host_ready(const struct sim *s, uint32_t no);
/* Hands @r to the host of @sub, once; takes ownership of @r. */
void sim_host_result(struct sim_sub *sub, struct subrequest_result *r);
void sim_host_submit(struct sim *s, struct sim_attempt *a,
		     struct caller_request *c);
void sim_host_gone(struct sim *s, struct sim_attempt *a);
/* 1 if this host waits for the ramp of every replica of @shard. */
int sim_host_all_cold(const struct sim *s, uint32_t no, uint32_t shard);
/* Sends one sub-request to @target; used by the naive policy too. */
struct sim_sub *sim_sub_send(struct sim *s, uint32_t host,
			     struct sim_attempt *a,
			     const struct subrequest_msg *call,
			     uint32_t target);
/* Naive and oracle: sends the request and answers at its deadline. */
void sim_naive_submit(struct sim *s, struct sim_attempt *a);
void sim_naive_result(struct sim_sub *sub, const struct subrequest_result *r);

/* Checks of what a host sends. */
void sim_target_name(char *out, uint32_t target);
/* Requests at once that the good answers of the target's life allow. */
uint32_t sim_ramp_limit(const struct sim *s, const struct sim_target *t);
void sim_check_cold(struct sim *s, struct sim_sub *sub);
void sim_check_connections(struct sim *s, struct sim_sub *sub);
void sim_check_budget(struct sim *s, const struct sim_host *h,
		      uint32_t customer);
void sim_check_out(struct sim *s, const struct sim_sub *sub);

/* Targets. */
void sim_target_arrive(void *ctx, int64_t now_us);
void sim_target_cancel(void *ctx, int64_t now_us);
void sim_target_restart(struct sim *s, uint32_t target);
/* Connections break; what runs and waits is lost. */
void sim_target_break(struct sim *s, uint32_t target);

/* Callers. */
void sim_callers_start(struct sim *s);
/* What the caller was told, or -1 shards when it was refused. */
void sim_caller_told(struct sim_attempt *a, const struct answer *answer);
void sim_caller_lost(struct sim_attempt *a);
void sim_callers_check(struct sim *s);

/* Store. */
void sim_claim(void *ctx, uint64_t req_no, const char *customer,
	       const char *request_id);
void sim_record(void *ctx, const char *customer, const char *request_id,
		enum outcome outcome);

#endif

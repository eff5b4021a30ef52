/* State of the request path that the filters share; internal to src/filter. */
#ifndef PIPELINE_INTERNAL_H
#define PIPELINE_INTERNAL_H

#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/rng.h"
#include "decide/admission.h"
#include "decide/balancer.h"
#include "decide/extra_budget.h"
#include "decide/merge.h"
#include "decide/hedge_delay.h"
#include "decide/target_state.h"
#include "filter/chain.h"
#include "filter/pipeline.h"

/*
 * Sub-requests of one shard in flight at once: the first and two hedges. With
 * ten shards and 1% slow answers, both of two are slow in one request of 1000.
 */
#define SHARD_SUBREQUESTS_MAX 3
/* Sub-requests of one shard in total, first attempt included. */
#define SHARD_ATTEMPTS_MAX 4

struct req;
struct subrequest;

/*
 * Shards that wait for a usable replica, oldest first; one per shard of an
 * index, kept across views.
 */
struct shard_queue {
	TAILQ_HEAD(, shard_state) waiting;
	/* Among path.busy_queues while not empty. */
	TAILQ_ENTRY(shard_queue) link;
	int is_listed;
};

/* The service has no rollout. */
#define VERSION_ANY UINT32_MAX
/* The draw left the listed versions out. */
#define VERSION_UNLISTED (UINT32_MAX - 1)

/* A target of the view in force. */
struct target_binding {
	struct target_state *target;
	/* Leaving or taken out: no new work. */
	int blocked;
	uint32_t dc_share_permille;
	/* Position in view->versions, or VERSION_ANY without a rollout. */
	uint32_t version;
	/* First shard that the target serves, for warm-up. */
	uint32_t first_shard;
};

/* One index of the view in force, with this host's statistics bound to it. */
struct index_binding {
	const struct layout *layout;
	struct index_stats *stats;
	/* By position in layout->targets. */
	struct target_binding *targets;
	/* By position in layout->shards. */
	struct shard_queue **queues;
};

/* View in force with the statistics bound to it; shared by its requests. */
struct view_binding {
	uint32_t refs;
	struct view *view;
	struct index_binding *indexes;
};

/* Kept across views. */
struct index_stats {
	struct hedge_delay hedge;
	/* First search of any caller, repeated to warm up cold targets. */
	char *warmup_text;
	uint32_t warmup_limit;
};

/* Kept across views. */
struct customer_stats {
	struct contract contract;
	struct admission admission;
	struct extra_budget budget;
	/* struct target_state to the number of this customer's open sub-requests. */
	GHashTable *open_by_target;
	struct customer_counts counts;
};

struct subrequest {
	uint64_t id;
	/* NULL once the request or the shard no longer wants the answer. */
	struct req *req;
	/* Sent by the target's owner without a request. */
	int is_warm_up;
	uint32_t shard_pos;
	/* Position among the shard's replicas. */
	uint32_t replica_pos;
	struct target_state *target;
	struct index_stats *index_stats;
	struct customer_stats *customer;
	struct shard_queue *queue;
	char service[NAME_BYTES];
	enum request_op op;
	int64_t sent_us;
	int64_t slow_after_us;
	int is_hedge;
	int cancelled;
	struct pipeline *pipeline;
	struct timer_entry hedge_timer;
	/* Enough to cancel it after the request is gone. */
	char request_id[REQUEST_ID_BYTES];
};

enum shard_phase { SHARD_OPEN, SHARD_WAITING, SHARD_ANSWERED, SHARD_FAILED };

struct shard_state {
	enum shard_phase phase;
	struct req *req;
	uint32_t shard_pos;
	uint32_t attempts;
	uint32_t open_count;
	struct subrequest *open[SHARD_SUBREQUESTS_MAX];
	/* A replica is in use by others while this one waits. */
	int has_live_replica;
	/* 1 while waiting in its shard_queue. */
	int queued;
	/* Bit per replica that failed this request. */
	uint32_t failed_mask;
	TAILQ_ENTRY(shard_state) link;
};

struct req {
	uint64_t number;
	struct pipeline *pipeline;
	struct caller_request *caller;
	struct request *request;
	struct chain_pos chain_pos;
	struct view_binding *binding;
	struct index_binding *index;
	struct customer_stats *customer;
	int64_t deadline_us;
	int64_t cutoff_us;
	int claimed;
	int admitted;
	int restarted;
	/* Shards were missing because their targets were busy. */
	int targets_overloaded;
	/* Sub-requests sent, and those of them that certainly did not run. */
	uint32_t sent_count;
	uint32_t not_run_count;
	/* Decides the data centres of this request: those with a larger share. */
	uint32_t dc_draw_permille;
	/* Position in view->versions, VERSION_ANY or VERSION_UNLISTED. */
	uint32_t version;
	uint32_t shard_count;
	uint32_t shard_first;
	struct shard_state *shards;
	uint32_t answered_count;
	uint32_t resolved_count;
	struct hits hits;
	struct answer *answer;
	struct timer_entry cutoff_timer;
	struct err err;
};

struct pipeline {
	struct pipeline_ops ops;
	struct timer_queue *timers;
	struct rng rng;
	char self[NAME_BYTES];
	struct chain chain;
	struct view_binding *binding;
	/* Request number to struct req; caller handle to struct req. */
	GHashTable *reqs;
	GHashTable *reqs_by_handle;
	/* "customer/request ID" of non-idempotent requests in flight. */
	GHashTable *at_most_once_ids;
	GHashTable *subrequests;
	GHashTable *targets;
	GHashTable *indexes;
	GHashTable *customers;
	/* "index/shard" to struct shard_queue. */
	GHashTable *queues;
	TAILQ_HEAD(, shard_queue) nonempty_queues;
	struct timer_entry sweep_timer;
	struct timer_entry warmup_timer;
	GPtrArray *notices;
	GArray *version_evidence;
	uint64_t next_req_number;
	uint64_t next_subrequest_id;
	int64_t announce_at_us;
	/* Time of the first view; -1 before. */
	int64_t first_view_us;
	int is_draining;
};

/* One constructor per filter, in the order of the chain. */
struct filter filter_identify(struct pipeline *p);
struct filter filter_contract(struct pipeline *p);
struct filter filter_once(struct pipeline *p);
struct filter filter_admit(struct pipeline *p);
struct filter filter_pin(struct pipeline *p);
struct filter filter_scatter(struct pipeline *p);
struct filter filter_gather(struct pipeline *p);

/* 1 for a request that must not run twice. */
static inline int req_at_most_once(const struct req *r)
{
	return r->request->op == OP_LOOKUP && !r->request->is_idempotent;
}

/* Sets the request's error; returns FILTER_DONE. */
enum filter_step req_refuse(struct req *r, enum err_code code,
			    const char *detail);
/* Answers the caller with what the request has and frees the request. */
void req_finish(struct req *r, int64_t now_us);
/* Runs the chain on; finishes the request if it is decided. */
void req_resume(struct req *r, int64_t now_us);

/* Scatter: handles what came back for @s. */
void scatter_on_result(struct subrequest *s, struct subrequest_result *result,
		       int64_t now_us);
/* Scatter: cancels all that is in flight for @r. */
void scatter_cancel(struct req *r, int64_t now_us);
/* Scatter: sends shards that wait in @q, as far as replicas are usable. */
void scatter_send_waiting(struct shard_queue *q, int64_t now_us);
/* Scatter: sets r->loaded from what is unanswered at the deadline. */
void scatter_detect_overload(struct req *r, int64_t now_us);
/* Pin: gives back the view so that the request can be pinned anew. */
void pin_release(struct req *r);
/* Gather: closes the request at its deadline or when all is resolved. */
void gather_finish(struct req *r, int64_t now_us);

/* Number of open sub-requests of @c at @t, changed by @by. */
uint32_t customer_adjust_open(struct customer_stats *c, struct target_state *t,
			      int32_t by);

/* Warm-up: looks for cold targets that this host owns, soon. */
void warmup_schedule(struct pipeline *p, int64_t now_us);
/* Warm-up: remembers the search to repeat. */
void warmup_save_search(struct pipeline *p, const struct req *r,
			int64_t now_us);
/* Warm-up: sends the next search after one was answered. */
void warmup_send_next(struct pipeline *p, const struct subrequest *s,
		      int64_t now_us);

void view_binding_unref(struct view_binding *b);
struct view_binding *view_binding_new(struct pipeline *p, struct view *v,
				      int64_t now_us);
struct index_binding *view_binding_find_index(struct view_binding *b,
					      const char *index);

/* Evidence. */
void request_report_add_subrequest(struct pipeline *p,
				   const struct subrequest *s,
				   const struct subrequest_result *r,
				   int failed);
/* Without it a slow version would look good, because hedges replace it. */
void request_report_add_abandoned(struct pipeline *p,
				  const struct subrequest *s,
				  int64_t waited_us);
void request_report_add_answer(struct req *r, const struct answer *a,
			       int64_t now_us);
void request_report_add_notice(struct pipeline *p, const struct target_state *t,
			       enum target_notice_kind kind);

#endif

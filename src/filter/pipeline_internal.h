/* State that the filters and the other files of the pipeline share. */
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
 * Sub-requests of one shard in flight at once: the first one and two hedges.
 * With ten shards and 1% slow answers, the first one and a single hedge are
 * both slow in one request of 1000.
 */
#define SHARD_SUBREQUESTS_MAX 3
/* Sub-requests of one shard in total, the first one included. */
#define SHARD_ATTEMPTS_MAX 4

struct req;
struct subrequest;

/*
 * Requests that wait for a usable replica of one shard of an index, oldest
 * first, each with its state of the shard; kept across views.
 */
struct shard_queue {
	TAILQ_HEAD(, shard_state) waiting;
	/* Position in pipeline.nonempty_queues. */
	TAILQ_ENTRY(shard_queue) link;
	/* 1: in pipeline.nonempty_queues. */
	int is_listed;
	/*
	 * Latest time at which a request ended without any answer to its
	 * sub-requests for the shard; 0: never. Connections that were open then
	 * may have turned silent.
	 */
	int64_t silent_us;
};

/*
 * Of a request: the view lists no version of the service (there is no rollout).
 * Of a target: the view does not list its version.
 */
#define VERSION_ANY UINT32_MAX
/* Of a request: it goes to the versions that the view does not list. */
#define VERSION_UNLISTED (UINT32_MAX - 1)

/* A target of the view in force. */
struct target_binding {
	struct target_state *target;
	/* 1: leaving or taken out, so it gets no new work. */
	int is_blocked;
	/* Share of new work that the target's data centre gets. */
	uint32_t dc_share_permille;
	/* Position in view->versions, or VERSION_ANY. */
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

/* A view with the statistics bound to it; shared by its requests. */
struct view_binding {
	uint32_t refs;
	struct view *view;
	/* By position in view->layouts. */
	struct index_binding *indexes;
};

/* Statistics of one index; kept across views. */
struct index_stats {
	struct hedge_delay hedge;
	/*
	 * Text and limit of the first search by any caller, which warm-up
	 * repeats; NULL and 1 before the first one.
	 */
	char *warmup_text;
	uint32_t warmup_limit;
};

/* Statistics of one customer; kept across views. */
struct customer_stats {
	struct contract contract;
	struct admission admission;
	struct extra_budget budget;
	/* struct target_state to the customer's number of open sub-requests. */
	GHashTable *open_by_target;
	/* Answers since the last report. */
	struct customer_counts counts;
};

/* One sub-request in flight. */
struct subrequest {
	uint64_t id;
	/* NULL once the sub-request is cancelled, and for warm-up. */
	struct req *req;
	/* 1: a warm-up search by the target's owner. */
	int is_warm_up;
	/* Position in layout->shards. */
	uint32_t shard_pos;
	/* Position among the shard's replicas. */
	uint32_t replica_pos;
	struct target_state *target;
	struct index_stats *index_stats;
	/* NULL for warm-up. */
	struct customer_stats *customer;
	struct shard_queue *queue;
	char service[NAME_BYTES];
	enum request_op op;
	int64_t sent_us;
	/* As in struct subrequest_msg. */
	uint32_t needs_new_connection;
	/* Hedge delay at the time of sending: a longer answer time is slow. */
	int64_t slow_after_us;
	int is_hedge;
	int is_cancelled;
	struct pipeline *pipeline;
	struct timer_entry hedge_timer;
	/* Needed to cancel the sub-request after its request has ended. */
	char request_id[REQUEST_ID_BYTES];
};

enum shard_phase { SHARD_OPEN, SHARD_WAITING, SHARD_ANSWERED, SHARD_FAILED };

/* One shard that a request asks. */
struct shard_state {
	enum shard_phase phase;
	struct req *req;
	/* Position in layout->shards. */
	uint32_t shard_pos;
	/* Sub-requests sent. */
	uint32_t attempts;
	/* Sub-requests in flight. */
	uint32_t open_count;
	struct subrequest *open[SHARD_SUBREQUESTS_MAX];
	/*
	 * 1: at the last attempt a replica that the request may use accepted
	 * work, with room or not.
	 */
	int has_live_replica;
	/* 1: in its shard_queue. */
	int is_queued;
	/* Bit per replica that failed this request; one that shed has none. */
	uint32_t failed_mask;
	/* Position in shard_queue.waiting. */
	TAILQ_ENTRY(shard_state) link;
};

struct req {
	uint64_t number;
	struct pipeline *pipeline;
	struct caller_request *caller;
	/* Same as caller->request. */
	struct request *request;
	struct chain_pos chain_pos;
	/* NULL before filter "pin". */
	struct view_binding *binding;
	struct index_binding *index;
	struct customer_stats *customer;
	/* Time at which the caller is to have the answer. */
	int64_t deadline_us;
	/* Latest time of the request's end: deadline less hop margin. */
	int64_t cutoff_us;
	/* 1: the request ID is claimed in the store. */
	int is_claimed;
	int is_admitted;
	/* 1: the request was pinned to a second view. */
	int is_restarted;
	/* 1: a target shed, or shards are missing because targets were busy. */
	int targets_overloaded;
	/* Sub-requests sent, and those of them that certainly did not run. */
	uint32_t sent_count;
	uint32_t not_run_count;
	/* Drawn from 0 to 999; data centres with a larger share may be used. */
	uint32_t dc_draw_permille;
	/* Position in view->versions, VERSION_ANY or VERSION_UNLISTED. */
	uint32_t version;
	/* Shards asked: their number and the first one in layout->shards. */
	uint32_t shard_count;
	uint32_t shard_first;
	/* NULL before filter "pin". */
	struct shard_state *shards;
	uint32_t answered_count;
	/* Shards that are answered or failed. */
	uint32_t resolved_count;
	/* Hits of the answered shards, not merged yet. */
	struct hits hits;
	struct answer *answer;
	struct timer_entry cutoff_timer;
	/* Why the request is refused; ERR_OK: it is not. */
	struct err err;
};

struct pipeline {
	struct pipeline_ops ops;
	struct timer_queue *timers;
	struct rng rng;
	/* This host's ID. */
	char self[NAME_BYTES];
	struct chain chain;
	/* View in force; NULL before the first one. */
	struct view_binding *binding;
	/* Request number to struct req. */
	GHashTable *reqs;
	/* caller_request.exchange_id to struct req. */
	GHashTable *reqs_by_exchange_id;
	/* "customer/request ID" of non-idempotent requests in flight. */
	GHashTable *at_most_once_ids;
	/* Sub-request ID to struct subrequest. */
	GHashTable *subrequests;
	/* Target ID to struct target_state. */
	GHashTable *targets;
	/* Index name to struct index_stats. */
	GHashTable *indexes;
	/* Customer name to struct customer_stats. */
	GHashTable *customers;
	/* "index/shard" to struct shard_queue. */
	GHashTable *queues;
	TAILQ_HEAD(, shard_queue) nonempty_queues;
	/* Armed while a queue is not empty. */
	struct timer_entry sweep_timer;
	/* Armed while this host may own targets that are not warm. */
	struct timer_entry warmup_timer;
	/* struct target_notice since the last report. */
	GPtrArray *notices;
	/* struct version_counts since the last report. */
	GArray *version_counts;
	uint64_t next_req_number;
	uint64_t next_subrequest_id;
	/* From this time on, the next report announces the warm targets. */
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
/* Answers the caller with r->answer and r->err, and frees the request. */
void req_finish(struct req *r, int64_t now_us);
/*
 * Runs the chain on; finishes the request if a filter decided it or all its
 * shards are resolved.
 */
void req_resume(struct req *r, int64_t now_us);

/* 6_scatter.c: handles what came back for @sub. */
void scatter_on_result(struct subrequest *sub, struct subrequest_result *result,
		       int64_t now_us);
/* 6_scatter.c: cancels all sub-requests that are in flight for @r. */
void scatter_cancel(struct req *r, int64_t now_us);
/*
 * 6_scatter.c: at the cutoff of @r, remembers for its shards whose sub-requests
 * are all unanswered that open connections may be silent.
 */
void scatter_detect_silence(struct req *r, int64_t now_us);
/*
 * 6_scatter.c: sends for the requests that wait in @q and have a usable
 * replica, and fails the shard for those that can have none in time.
 */
void scatter_send_waiting(struct shard_queue *q, int64_t now_us);
/*
 * 6_scatter.c: sets targets_overloaded if a shard without an answer waits for a
 * busy replica or has a sub-request open at a target that is not avoided.
 */
void scatter_detect_overload(struct req *r, int64_t now_us);
/* 5_pin.c: releases the view, so that the request can be pinned to another. */
void pin_release(struct req *r);
/*
 * 7_gather.c: finishes the request at its cutoff or when all its shards are
 * resolved.
 */
void gather_finish(struct req *r, int64_t now_us);

/*
 * Changes the number of the customer's open sub-requests at @t by @change,
 * which may be 0; returns the new number.
 */
uint32_t customer_adjust_open(struct customer_stats *c, struct target_state *t,
			      int32_t change);

/* warmup.c: arms the timer that looks for cold targets this host owns. */
void warmup_schedule(struct pipeline *p, int64_t now_us);
/* warmup.c: keeps the first search of an index, which warm-up repeats. */
void warmup_save_search(struct pipeline *p, const struct req *r,
			int64_t now_us);
/*
 * warmup.c: sends the next search, if the target that answered warm-up @s is
 * not warm yet.
 */
void warmup_send_next(struct pipeline *p, const struct subrequest *s,
		      int64_t now_us);

/*
 * binding.c. view_binding_new() takes ownership of @v;
 * view_binding_find_index() returns NULL if the view does not have the index.
 */
void view_binding_unref(struct view_binding *b);
struct view_binding *view_binding_new(struct pipeline *p, struct view *v,
				      int64_t now_us);
struct index_binding *view_binding_find_index(struct view_binding *b,
					      const char *index);

/* request_report.c: counts a sub-request that was not cancelled. */
void request_report_add_subrequest(struct pipeline *p,
				   const struct subrequest *s,
				   const struct subrequest_result *result,
				   int failed);
/*
 * request_report.c: counts a cancelled sub-request as slow if it was open for
 * longer than slow_after_us. Without these a slow version would look good,
 * because hedges replace its answers.
 */
void request_report_add_abandoned(struct pipeline *p,
				  const struct subrequest *s,
				  int64_t waited_us);
void request_report_add_answer(struct req *r, const struct answer *a,
			       int64_t now_us);
void request_report_add_notice(struct pipeline *p, const struct target_state *t,
			       enum target_notice_kind kind);

#endif

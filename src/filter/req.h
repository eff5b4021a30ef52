/* State of the request path that the filters share; internal to src/filter. */
#ifndef REQ_H
#define REQ_H

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
#include "filter/path.h"

/*
 * Sub-requests of one shard in flight at once: the first and two hedges. With
 * ten shards and 1% slow answers, both of two are slow in one request of 1000.
 */
#define SHARD_SUBS_MAX 3
/* Sub-requests of one shard in total, first attempt included. */
#define SHARD_ATTEMPTS_MAX 4

struct req;
struct sub;

/*
 * Shards that wait for a usable replica, oldest first; one per shard of an
 * index, kept across views.
 */
struct shard_queue {
	TAILQ_HEAD(, shard_state) waiting;
	/* Among path.busy_queues while not empty. */
	TAILQ_ENTRY(shard_queue) link;
	int busy;
};

/* The service has no rollout. */
#define VERSION_ANY UINT32_MAX
/* The draw left the listed versions out. */
#define VERSION_UNLISTED (UINT32_MAX - 1)

/* A target of the view in force. */
struct bound_target {
	struct target_state *tgt;
	/* Leaving or taken out: no new work. */
	int blocked;
	uint32_t dc_share_permille;
	/* Position in view->versions, or VERSION_ANY without a rollout. */
	uint32_t version;
	/* First shard that the target serves, for warm-up. */
	uint32_t shard;
};

/* One index of the view in force, with this host's statistics bound to it. */
struct bound_index {
	const struct layout *layout;
	struct index_stats *stats;
	/* By position in layout->targets. */
	struct bound_target *targets;
	/* By position in layout->shards. */
	struct shard_queue **queues;
};

/* View in force with the statistics bound to it; shared by its requests. */
struct bound_view {
	uint32_t refs;
	struct view *view;
	struct bound_index *indexes;
};

/* Kept across views. */
struct index_stats {
	struct hedge_delay hdg;
	/* First search of any caller, repeated to warm up cold targets. */
	char *warm_text;
	uint32_t warm_limit;
};

/* Kept across views. */
struct customer_stats {
	struct contract contract;
	struct admission adm;
	struct extra_budget bgt;
	/* struct target_state to the number of this customer's open sub-requests. */
	GHashTable *open;
	struct customer_evidence seen;
};

struct sub {
	uint64_t id;
	/* NULL once the request or the shard no longer wants the answer. */
	struct req *req;
	/* Sent by the target's owner without a request. */
	int is_warm_up;
	uint32_t shard;
	/* Position among the shard's replicas. */
	uint32_t replica;
	struct target_state *tgt;
	struct index_stats *index;
	struct customer_stats *customer;
	struct shard_queue *queue;
	char service[NAME_BYTES];
	enum request_op op;
	int64_t sent_us;
	int64_t slow_us;
	int is_hedge;
	int cancelled;
	struct path *path;
	struct tmr_sub hedge_timer;
	/* Enough to cancel it after the request is gone. */
	char request_id[REQUEST_ID_BYTES];
};

enum shard_phase { SHARD_OPEN, SHARD_WAITING, SHARD_ANSWERED, SHARD_FAILED };

struct shard_state {
	enum shard_phase phase;
	struct req *req;
	uint32_t pos;
	uint32_t attempts;
	uint32_t open_count;
	struct sub *open[SHARD_SUBS_MAX];
	/* A replica is in use by others while this one waits. */
	int is_live;
	/* 1 while waiting in its shard_queue. */
	int queued;
	/* Bit per replica that failed this request. */
	uint32_t failed_mask;
	TAILQ_ENTRY(shard_state) link;
};

struct req {
	uint64_t no;
	struct path *path;
	struct caller_request *caller;
	struct request *in;
	struct chain_pos pos;
	struct bound_view *bound;
	struct bound_index *index;
	struct customer_stats *customer;
	int64_t deadline_us;
	int64_t close_us;
	int claimed;
	int admitted;
	int restarted;
	/* Shards were missing because their targets were busy. */
	int loaded;
	/* Sub-requests sent, and those of them that certainly did not run. */
	uint32_t sent;
	uint32_t not_run;
	/* Decides the data centres of this request: those with a larger share. */
	uint32_t dc_draw_permille;
	/* Position in view->versions, VERSION_ANY or VERSION_UNLISTED. */
	uint32_t version;
	uint32_t shard_count;
	uint32_t shard_first;
	struct shard_state *shards;
	uint32_t answered;
	uint32_t resolved;
	struct hits hits;
	struct answer *answer;
	struct tmr_sub close_timer;
	struct err err;
};

struct path {
	struct path_ops ops;
	struct tmr *timers;
	struct rng rng;
	char self[NAME_BYTES];
	struct chain chain;
	struct bound_view *bound;
	/* Request number to struct req; caller handle to struct req. */
	GHashTable *reqs;
	GHashTable *handles;
	/* "customer/request ID" of non-idempotent requests in flight. */
	GHashTable *ids;
	GHashTable *subs;
	GHashTable *tgts;
	GHashTable *indexes;
	GHashTable *customers;
	/* "index/shard" to struct shard_queue. */
	GHashTable *queues;
	TAILQ_HEAD(, shard_queue) busy_queues;
	struct tmr_sub sweep_timer;
	struct tmr_sub warm_timer;
	GPtrArray *notices;
	GArray *version_evidence;
	uint64_t next_req;
	uint64_t next_sub;
	int64_t announce_at_us;
	/* Time of the first view; -1 before. */
	int64_t first_view_us;
	int leaving;
};

/* One constructor per filter, in the order of the chain. */
struct filter filter_identify(struct path *p);
struct filter filter_contract(struct path *p);
struct filter filter_once(struct path *p);
struct filter filter_admit(struct path *p);
struct filter filter_pin(struct path *p);
struct filter filter_scatter(struct path *p);
struct filter filter_gather(struct path *p);

/* 1 for a request that must not run twice. */
static inline int req_is_once(const struct req *r)
{
	return r->in->op == OP_LOOKUP && !r->in->idempotent;
}

/* Sets the request's error; returns FILTER_DONE. */
enum filter_step req_refuse(struct req *r, enum err_code code,
			    const char *detail);
/* Answers the caller with what the request has and frees the request. */
void req_finish(struct req *r, int64_t now_us);
/* Runs the chain on; finishes the request if it is decided. */
void req_resume(struct req *r, int64_t now_us);

/* Scatter: handles what came back for @s. */
void scatter_result(struct sub *s, struct sub_result *result, int64_t now_us);
/* Scatter: cancels all that is in flight for @r. */
void scatter_cancel(struct req *r, int64_t now_us);
/* Scatter: sends shards that wait in @q, as far as replicas are usable. */
void scatter_wake(struct shard_queue *q, int64_t now_us);
/* Scatter: sets r->loaded from what is unanswered at the deadline. */
void scatter_note_load(struct req *r, int64_t now_us);
/* Pin: gives back the view so that the request can be pinned anew. */
void pin_release(struct req *r);
/* Gather: closes the request at its deadline or when all is resolved. */
void gather_close(struct req *r, int64_t now_us);

/* Number of open sub-requests of @c at @t, changed by @by. */
uint32_t customer_open(struct customer_stats *c, struct target_state *t,
		       int32_t by);

/* Warm-up: looks for cold targets that this host owns, soon. */
void warm_start(struct path *p, int64_t now_us);
/* Warm-up: remembers the search to repeat. */
void warm_learn(struct path *p, const struct req *r, int64_t now_us);
/* Warm-up: sends the next search after one was answered. */
void warm_result(struct path *p, const struct sub *s, int64_t now_us);

void bound_view_unref(struct bound_view *b);
struct bound_view *bound_view_new(struct path *p, struct view *v,
				  int64_t now_us);
struct bound_index *bound_view_index(struct bound_view *b, const char *index);

/* Evidence. */
void evidence_sub(struct path *p, const struct sub *s,
		  const struct sub_result *r, int failed);
/* Without it a slow version would look good, because hedges replace it. */
void evidence_abandoned(struct path *p, const struct sub *s, int64_t waited_us);
void evidence_answer(struct req *r, const struct answer *a, int64_t now_us);
void evidence_notice(struct path *p, const struct target_state *t,
		     enum target_notice_kind kind);

#endif

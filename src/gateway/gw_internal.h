/* State of the gateway's request path that its filters share. */
#ifndef GW_INTERNAL_H
#define GW_INTERNAL_H

#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/rng.h"
#include "base/series.h"
#include "decide/hedge_delay.h"
#include "decide/extra_window.h"
#include "filter/chain.h"
#include "gateway/gw.h"

/* Targets that one part of a request can have been sent to. */
#define PART_TARGETS_MAX 8

/* Idle time of connections to targets whose connections are scarce. */
#define SCARCE_IDLE_MS 2500

struct gw_req;
struct gw_call;

/* What this host knows of one target; kept across views. */
struct gw_target {
	uint32_t refs;
	struct target_entry def;
	/* In the view in force and neither draining nor evacuated. */
	int is_usable;
	/* Connections, and so calls at once, that this host may have open. */
	uint32_t connection_limit;
	/*
	 * Hosts have less than one connection each with room to spare: idle
	 * ones are closed soon, and targets with an open one are preferred.
	 */
	int has_scarce_connections;
	/* A connection to it is open until then, unless the target closes it. */
	int64_t connected_until_us;
	uint32_t outstanding;
	/*
	 * Calls at once that it answers in time, in thousandths; follows its
	 * answer times, within the share.
	 */
	uint32_t concurrency_limit_milli;
	/* Open calls, oldest first. */
	TAILQ_HEAD(, gw_call) calls;
	/* Smoothed answer time relative to the route's mean. */
	uint32_t slowness_milli;
	int64_t answered_us;
	/* Smoothed share of calls that failed. */
	uint32_t failed_permille;
	uint32_t failures_in_row;
	/* Not reported yet: calls, those that failed, sum of slowness. */
	uint32_t unreported_calls;
	uint32_t unreported_failed;
	uint64_t unreported_slowness_milli;
	/* What all hosts have seen, until when it counts. */
	uint32_t dc_failed_permille;
	uint32_t dc_slowness_milli;
	int64_t dc_health_until_us;
	/* Not used before this time while others are in reach. */
	int64_t avoid_until_us;
	/* Not used at all before this time: its address is another one's. */
	int64_t misdirected_until_us;
	/* Slow start: until when, and the earliest time of the next call. */
	int64_t cold_until_us;
	int64_t cold_next_call_us;
};

struct gw_version_counts {
	uint32_t requests;
	uint32_t failures;
	uint32_t slow;
};

/* How a rollout divides the requests of a service. */
struct gw_version_split {
	int is_active;
	/* The new version; every other one counts as old. */
	char version[NAME_BYTES];
	uint32_t share_permille;
	int is_bad;
	/* Earned by each request, spent by each that goes to the new version. */
	uint32_t credit_permille;
	struct gw_version_counts new_counts;
	struct gw_version_counts old_counts;
};

/* Targets that a call may go to. */
enum gw_version_group {
	VERSION_GROUP_ANY,
	VERSION_GROUP_NEW,
	VERSION_GROUP_OLD
};

/* What a call to a version shows. */
enum gw_call_outcome { CALL_ANSWERED, CALL_FAILED, CALL_INCONCLUSIVE };

/* A service or shard; kept across views. */
struct gw_service {
	char name[NAME_BYTES];
	/* struct gw_target of the view in force. */
	GPtrArray *targets;
	/* Calls beyond the first of each request. */
	struct extra_window extra_calls;
	uint32_t cold_per_s;
	struct gw_version_split version_split;
	struct series *series;
	/* Parts for which no target has a free connection, oldest first. */
	TAILQ_HEAD(, gw_part) waiting;
	uint32_t waiting_count;
	/* Armed while parts wait for a cold target's next call. */
	struct timer_entry cold_timer;
};

/* Kept across configurations, by route name. */
struct gw_route_stats {
	struct hedge_delay hedge;
	struct series *series;
	/* Smooth weighted choice among the parts of a split route. */
	uint32_t credit_count;
	double *credit;
};

/* A route configuration with the state bound to it; requests pin it. */
struct gw_binding {
	uint32_t refs;
	struct route_config *config;
	/* By position in config->services and config->routes. */
	struct gw_service **services;
	struct gw_route_stats **routes;
};

enum gw_part_phase { PART_OPEN, PART_WAITING, PART_ANSWERED, PART_FAILED };

/* One service that a request asks. */
struct gw_part {
	struct gw_req *req;
	struct gw_service *service;
	enum gw_part_phase phase;
	/* During a rollout, where its first call goes; VERSION_GROUP_ANY: not decided. */
	enum gw_version_group version_group;
	uint32_t open_count;
	struct gw_call *open[PART_TARGETS_MAX];
	/* Targets that were sent a call, and those that certainly did not run. */
	uint32_t tried_count;
	struct gw_target *tried_targets[PART_TARGETS_MAX];
	uint32_t not_run_count;
	/* Those of them that no byte was sent to. */
	uint32_t unsent_count;
	/* The answer, or the last failure that a target stated. */
	struct target_reply *reply;
	struct timer_entry hedge_timer;
	TAILQ_ENTRY(gw_part) link;
};

/* One call in flight. */
struct gw_call {
	uint64_t call_id;
	struct gw *gw;
	/* NULL once the answer is not wanted any more. */
	struct gw_part *part;
	struct gw_target *target;
	struct gw_service *service;
	struct gw_route_stats *stats;
	int64_t sent_us;
	int64_t goal_us;
	int is_extra;
	struct timer_entry cancel_timer;
	TAILQ_ENTRY(gw_call) link;
};

struct gw_req {
	struct gw *gw;
	struct exchange_request *request;
	struct chain_pos chain_pos;
	struct gw_binding *binding;
	const struct route *route;
	struct gw_route_stats *stats;
	/* Answer at the latest; the part answers so far after the second. */
	int64_t deadline_us;
	int64_t partial_after_us;
	int accepts_partial;
	/* Each of its decisions is logged, on every host that sees the ID. */
	int is_traced;
	/* Inside the chain: gw_req_resume() has nothing to do. */
	int is_running;
	uint32_t part_count;
	struct gw_part *parts;
	uint32_t answered_count;
	uint32_t failed_count;
	struct exchange_answer *answer;
	struct timer_entry deadline_timer;
	struct timer_entry partial_timer;
};

struct gw {
	struct gw_ops ops;
	struct gw_options opt;
	struct timer_queue *timers;
	struct rng rng;
	struct chain chain;
	struct gw_binding *binding;
	uint32_t host_count;
	uint64_t last_call_id;
	/* Connection to struct gw_req. */
	GHashTable *reqs;
	/* Call ID to struct gw_call. */
	GHashTable *calls;
	/* "ID/start time" to struct gw_target. */
	GHashTable *targets;
	/* Names to struct gw_service and struct gw_route_stats. */
	GHashTable *services;
	GHashTable *routes;
	/* Armed while a rollout is active. */
	struct timer_entry report_timer;
	/* Armed while a target has something to report. */
	struct timer_entry health_timer;
};

/* One constructor per filter, in the order of the chain. */
struct filter gw_filter_route(struct gw *g);
struct filter gw_filter_admit(struct gw *g);
struct filter gw_filter_plan(struct gw *g);
struct filter gw_filter_send(struct gw *g);
struct filter gw_filter_answer(struct gw *g);

/* Decides the request as refused; @status as towards the caller. */
enum filter_step gw_req_refuse(struct gw_req *r, uint32_t status,
			       enum err_code code, uint32_t retry_after_ms);
/* Runs the chain on and answers once the request is decided. */
void gw_req_resume(struct gw_req *r, int64_t now_us);

/* Send: handles what came back for @s; frees @reply unless it keeps it. */
void gw_call_finish(struct gw_call *s, struct target_reply *reply,
		    int64_t now_us);
/* Send: gives parts that wait for @s a target, as far as there is room. */
void gw_send_waiting(struct gw_service *s, int64_t now_us);

/* Bound. */
void gw_bind(struct gw *g, struct gw_view *v, int64_t now_us);
void gw_binding_unref(struct gw_binding *b);
void gw_free_state(struct gw *g);

/* Target statistics. */
struct gw_target *gw_target_ref(struct gw_target *t);
void gw_target_unref(struct gw_target *t);
void gw_target_answered(struct gw_target *t, int64_t service_us,
			int64_t mean_us, int64_t now_us);
/* The call was cancelled here after @waited_us without an answer. */
void gw_target_abandoned(struct gw_target *t, int64_t waited_us,
			 int64_t mean_us, int64_t now_us);
void gw_target_failed(struct gw_target *t, const struct target_reply *r,
		      int64_t now_us);
/*
 * Follows the target's load: @took_us of a call whose answer is worth most
 * within @goal_us.
 */
void gw_target_adapt_limit(struct gw_target *t, int64_t took_us,
			   int64_t goal_us);
struct gw_pick {
	/* Best target for one more call, or NULL. */
	struct gw_target *target;
	/* There are usable targets, but none has room now. */
	int has_full_target;
	/* Earliest time at which a cold target may get a call; 0: none is cold. */
	int64_t cold_next_call_us;
};

struct gw_pick gw_target_pick(struct gw_service *s, const struct gw_part *p,
			      enum gw_version_group group, int64_t mean_us,
			      int64_t now_us);

/* Health: a call to @t ended. */
void gw_health_record_call(struct gw *g, struct gw_target *t, int failed,
			   int64_t took_us, int64_t mean_us, int64_t now_us);

/* Versions. */
void gw_version_bind(struct gw *g, const struct gw_view *view, int64_t now_us);
/* 1 if @t belongs to @group. */
int gw_version_allows(const struct gw_service *s, const struct gw_target *t,
		      enum gw_version_group group);
/* Like gw_target_pick(), within what a rollout allows. */
struct gw_pick gw_version_pick(struct gw_part *p, int is_extra, int64_t mean_us,
			       int64_t now_us);
void gw_version_record_call(struct gw_service *s, const struct gw_target *t,
			    enum gw_call_outcome outcome, int64_t took_us,
			    int64_t mean_us, int64_t now_us);

#endif

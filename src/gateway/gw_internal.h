/* State that the filters and the other files of the gateway share. */
#ifndef GW_INTERNAL_H
#define GW_INTERNAL_H

#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/rng.h"
#include "base/series.h"
#include "decide/forward.h"
#include "decide/hedge_delay.h"
#include "decide/extra_window.h"
#include "filter/chain.h"
#include "gateway/gw.h"

/* Targets that one part of a request can be sent to. */
#define PART_TARGETS_MAX 8

/* Idle connections to targets with scarce connections are closed after this. */
#define SCARCE_IDLE_MS 2500

struct gw_req;
struct gw_call;

/* What this host knows of one target; kept across views. */
struct gw_target {
	uint32_t refs;
	/* Entry of the last view that contained the target. */
	struct target_entry def;
	/* 1: in the view in force, neither draining, evacuated nor leaving. */
	int is_usable;
	/* 1: an answer of this process said that it is leaving. */
	int is_leaving;
	/* The target asked for no call from this host before this time. */
	int64_t paused_until_us;
	/* Until this time a target that is not in use is kept. */
	int64_t kept_until_us;
	/*
	 * Connections that this host may have open to the target; a connection
	 * carries one call at a time.
	 */
	uint32_t connection_limit;
	/*
	 * 1: SCARCE_PERMILLE of the target's connections is less than one for
	 * each host. Idle connections to it are closed after SCARCE_IDLE_MS,
	 * and targets to which one is open are preferred.
	 */
	int has_scarce_connections;
	/*
	 * Until this time an idle connection is open, unless the target closes
	 * it earlier.
	 */
	int64_t connected_until_us;
	/* Number of open calls, abandoned ones included. */
	uint32_t outstanding;
	/*
	 * Calls at once that the target answers in time, in thousandths of a
	 * call; follows its answer times, at most connection_limit.
	 */
	uint32_t concurrency_limit_milli;
	/* Open calls, oldest first. */
	TAILQ_HEAD(, gw_call) calls;
	/* Smoothed answer time; 1000 is the mean of the route. */
	uint32_t slowness_milli;
	/* Time of the last sample in slowness_milli. */
	int64_t answered_us;
	/* Time of the latest success; 0: none. */
	int64_t succeeded_us;
	/* Smoothed share of the calls that failed. */
	uint32_t failed_permille;
	uint32_t failures_in_row;
	/*
	 * Calls that ended since the last health report (cancelled ones only if
	 * they were open for longer than the mean), those of them that failed,
	 * and the sum of their times in thousandths of the mean.
	 */
	uint32_t unreported_calls;
	uint32_t unreported_failed;
	uint64_t unreported_slowness_milli;
	/*
	 * Totals of all hosts of the data centre, used until
	 * dc_health_until_us. dc_slowness_milli 0: not found slow.
	 */
	uint32_t dc_failed_permille;
	uint32_t dc_slowness_milli;
	int64_t dc_health_until_us;
	/* Before this time the target is used only if no other one can be. */
	int64_t avoid_until_us;
	/* Not used at all before this time: another target has its address. */
	int64_t misdirected_until_us;
	/*
	 * End of the target's warm-up, and the earliest time of this host's
	 * next call to it during the warm-up.
	 */
	int64_t cold_until_us;
	int64_t cold_next_call_us;
	/* The value of cold_until_us that its entry set last. */
	int64_t bound_cold_until_us;
};

/*
 * Calls, hedges and retries included, to the new version or to all others since
 * the last rollout report; of these, failures and slow ones.
 */
struct gw_version_counts {
	uint32_t requests;
	uint32_t failures;
	uint32_t slow;
};

/* What this host knows of another host; kept across views. */
struct gw_host {
	/* Entry of the last view that contained the host. */
	struct host_entry def;
	/* 1: in the view in force. */
	int is_known;
	/* Requests that were forwarded to it and are open. */
	uint32_t open_count;
	uint32_t failures_in_row;
	/* Time of its latest answer; 0: none. */
	int64_t answered_us;
	/* No request is forwarded to it before this time. */
	int64_t avoid_until_us;
};

/* How a rollout divides the requests of a service among its versions. */
struct gw_version_split {
	int is_active;
	/* The new version; each other one belongs to the old group. */
	char version[NAME_BYTES];
	/* Share of the requests that the new version gets. */
	uint32_t share_permille;
	/* 1: the new version gets no call while its share is below 1000. */
	int is_bad;
	/* Versions that get no call. */
	struct gw_barred barred;
	/*
	 * Each part adds share_permille; a part for which the new version is
	 * chosen subtracts 1000.
	 */
	uint32_t credit_permille;
	struct gw_version_counts new_counts;
	struct gw_version_counts old_counts;
};

/* Group of versions that a call may go to. */
enum gw_version_group {
	VERSION_GROUP_ANY,
	VERSION_GROUP_NEW,
	VERSION_GROUP_OLD
};

/* What a call shows about the version of its target. */
enum gw_call_outcome { CALL_ANSWERED, CALL_FAILED, CALL_INCONCLUSIVE };

/* A service, which may be one shard of a route; kept across views. */
struct gw_service {
	char name[NAME_BYTES];
	/* Each struct gw_target of the view in force with is_usable 1. */
	GPtrArray *targets;
	/* Allowance for extra calls. */
	struct extra_window extra_calls;
	/* 1: a part of a route that gathers. */
	int is_shard;
	/*
	 * Calls that a cold target gets from all hosts, in thousandths of a
	 * call per second; 0: not limited.
	 */
	uint32_t cold_rate_milli;
	struct gw_version_split version_split;
	struct series *series;
	/* Parts that wait until a target has room, oldest first. */
	TAILQ_HEAD(, gw_part) waiting;
	uint32_t waiting_count;
	/*
	 * Armed while parts wait until a cold or paused target may get its next
	 * call.
	 */
	struct timer_entry next_call_timer;
};

/* Statistics of the routes of one name; kept across configurations. */
struct gw_route_stats {
	struct hedge_delay hedge;
	struct series *series;
	/* Smoothed size of a part's answer with its head; 0: none was seen. */
	uint32_t part_bytes;
	/*
	 * Data centre to the number of parts without a target there, for those
	 * that were asked for since the last view.
	 */
	GHashTable *remote_counts;
	/*
	 * Credit of each part in the weighted choice among the parts of a route
	 * that splits.
	 */
	uint32_t credit_count;
	double *credit;
};

/* A route configuration with the state bound to it; shared by its requests. */
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
	/* Rollout: group of its first call; VERSION_GROUP_ANY: undecided. */
	enum gw_version_group version_group;
	/* Calls in flight. */
	uint32_t open_count;
	struct gw_call *open[PART_TARGETS_MAX];
	/* Targets that a call was sent to. */
	uint32_t tried_count;
	struct gw_target *tried_targets[PART_TARGETS_MAX];
	/* Calls that certainly did not run; of these, calls never sent. */
	uint32_t not_run_count;
	uint32_t unsent_count;
	/*
	 * The answer, or before it the last error reply to a call that may have
	 * run; NULL: neither.
	 */
	struct target_reply *reply;
	struct timer_entry hedge_timer;
	/*
	 * Armed in PART_WAITING while the host leaves: from then on a call would
	 * not end in time.
	 */
	struct timer_entry wait_timer;
	/* Position in service->waiting in PART_WAITING. */
	TAILQ_ENTRY(gw_part) link;
};

/* One call in flight. */
struct gw_call {
	uint64_t call_id;
	struct gw *gw;
	/* NULL once the call is abandoned: nobody waits for its answer. */
	struct gw_part *part;
	struct gw_target *target;
	struct gw_service *service;
	struct gw_route_stats *stats;
	int64_t sent_us;
	/* Time within which an answer is worth most, from the route. */
	int64_t goal_us;
	int is_extra;
	/* Armed when the call is abandoned. */
	struct timer_entry cancel_timer;
	/* Position in target->calls. */
	TAILQ_ENTRY(gw_call) link;
};

struct gw_req {
	struct gw *gw;
	struct exchange_request *request;
	struct chain_pos chain_pos;
	/* Binding in force when the request came; NULL: there was none. */
	struct gw_binding *binding;
	const struct route *route;
	struct gw_route_stats *stats;
	/* Time at which the request is answered at the latest. */
	int64_t deadline_us;
	/* Gather: from this time on parts_min answered parts are enough. */
	int64_t partial_after_us;
	/* 1: partial_after_us has passed. */
	int accepts_partial;
	/* A part waits for paused targets that may be called before this time. */
	int64_t wait_until_us;
	/* 1: all calls and the answer are logged, on all hosts alike. */
	int is_traced;
	/* 1: the chain runs, so gw_req_resume() does nothing. */
	int is_running;
	/* Host that the request was forwarded to; NULL: none has it now. */
	struct gw_host *gatherer;
	uint64_t forward_id;
	int64_t forwarded_us;
	/* Hosts that the request was forwarded to. */
	uint32_t forward_count;
	/* Armed while the request is forwarded. */
	struct timer_entry forward_timer;
	uint32_t part_count;
	struct gw_part *parts;
	uint32_t answered_count;
	uint32_t failed_count;
	/* NULL until the request is decided. */
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
	/* NULL until a configuration is known. */
	struct gw_binding *binding;
	/* Targets of the view that the store says may get new work. */
	uint32_t target_count;
	/* Hosts that share the limits of a service, this one included. */
	uint32_t host_count;
	uint64_t last_call_id;
	/* Connection ID to struct gw_req. */
	GHashTable *reqs;
	/* Call ID to struct gw_call. */
	GHashTable *calls;
	/* Forward ID to struct gw_req, while it is forwarded. */
	GHashTable *forwards;
	/* Name to struct gw_host. */
	GHashTable *hosts;
	/* Other hosts of the view that gather requests: struct gw_host. */
	GPtrArray *gatherers;
	/*
	 * Hosts that gather requests for the others, this one included; 0:
	 * every host gathers, because they are alike or some do not state their
	 * links.
	 */
	uint32_t gatherer_count;
	/* 1: this host is one of them. */
	int is_gatherer;
	/*
	 * Gatherers among which their limits are divided: those of the last
	 * while, until gatherer_share_until_us. A host whose entry is gone may
	 * only be cut off from the store, and goes on with its part.
	 */
	uint32_t gatherer_share_count;
	int64_t gatherer_share_until_us;
	/*
	 * Place of this host among all, from 0 to below 1000, evenly spread;
	 * what all hosts do at intervals they begin at different times.
	 */
	uint32_t turn_permille;
	/* Forwarded requests of other hosts that are open. */
	uint32_t forwarded_count;
	/* Time by which all requests end because the host leaves; 0: stays. */
	int64_t stop_us;
	/* "ID/start time" to struct gw_target. */
	GHashTable *targets;
	/* Name to struct gw_service. */
	GHashTable *services;
	/* Route name to struct gw_route_stats. */
	GHashTable *routes;
	/* Armed while a rollout is active. */
	struct timer_entry report_timer;
	/* Armed while the calls to a target have to be reported. */
	struct timer_entry health_timer;
};

/* One constructor per filter, in the order of the chain. */
struct filter gw_filter_route(struct gw *g);
struct filter gw_filter_admit(struct gw *g);
struct filter gw_filter_forward(struct gw *g);
struct filter gw_filter_plan(struct gw *g);
struct filter gw_filter_send(struct gw *g);
struct filter gw_filter_answer(struct gw *g);

/*
 * Decides that @r is refused with @status; returns FILTER_DONE.
 * @retry_after_ms 0: not stated.
 */
enum filter_step gw_req_refuse(struct gw_req *r, uint32_t status,
			       enum err_code code, uint32_t retry_after_ms);
/* Time in ms to be stated so that a caller does not come before @at_us. */
uint32_t gw_req_retry_ms(int64_t at_us, int64_t now_us);
/* 1 if a call sent at @at_us can still be answered before the deadline. */
int gw_req_has_time(const struct gw_req *r, int64_t at_us);
/*
 * Runs filter "answer" again; if @r is decided then, answers the caller and
 * frees @r. Does nothing while the chain runs.
 */
void gw_req_resume(struct gw_req *r, int64_t now_us);

/*
 * 5_send.c: ends @call with @reply: updates the target's statistics, answers,
 * retries or fails the part, and sends waiting parts. Frees @call and takes
 * ownership of @reply.
 */
void gw_call_finish(struct gw_call *call, struct target_reply *reply,
		    int64_t now_us);
/*
 * 5_send.c: sends or fails the parts that wait for targets of @s, oldest first,
 * until one has to wait on.
 */
void gw_send_waiting(struct gw_service *s, int64_t now_us);

/*
 * 5_send.c: fails the parts of @r that wait and that may not be called any more,
 * or not in time, since the host leaves.
 */
void gw_send_recheck(struct gw_req *r, int64_t now_us);

/* 1_route.c: shortens the times of @r to those of a host that leaves. */
void gw_req_limit_times(struct gw_req *r);
/* 3_forward.c: the same for the time that a gatherer has, if one has @r. */
void gw_forward_limit_time(struct gw_req *r);

/* gw_leave.c: latest time at which a call of @r may be sent; INT64_MAX: any. */
int64_t gw_leave_last_call_us(const struct gw_req *r);
/* gw_leave.c: time at which a call of @r to @s is expected to be sent. */
int64_t gw_leave_call_us(const struct gw_service *s, const struct gw_req *r,
			 int64_t now_us);
/* gw_leave.c: refuses @r, which has not run, because the host leaves. */
enum filter_step gw_leave_refuse(struct gw_req *r);

/*
 * Goes on with the filter after the one that let @r wait; if @r is decided
 * then, answers the caller and frees @r.
 */
void gw_req_continue(struct gw_req *r, int64_t now_us);
/* Answers the caller with r->answer and frees @r. */
void gw_req_finish(struct gw_req *r, int64_t now_us);

/*
 * 3_forward.c: the gatherer has answered, or could not be asked; takes ownership
 * of @reply.
 */
void gw_forward_finish(struct gw_req *r, struct forward_reply *reply,
		       int64_t now_us);
/* gw_host.c: takes over the hosts of @v and who of them gathers. */
void gw_host_bind(struct gw *g, const struct gw_view *v, int64_t now_us);
/*
 * gw_host.c: number of hosts, in thousandths, among which the limits of @s are
 * to be divided for the share of this host. The sum of the shares of all hosts
 * is at most one.
 */
uint64_t gw_host_divisor_milli(const struct gw *g, const struct gw_service *s);
struct forward_power gw_host_power(const struct gw *g);
/* gw_host.c: load of a request on @r's route. */
struct forward_load gw_host_load(const struct gw_req *r);
/* gw_host.c: parts of @r's route without a target in @data_centre. */
uint32_t gw_host_remote_count(const struct gw_req *r, const char *data_centre);
/*
 * gw_host.c: a request that was forwarded to @h was answered, or one that was
 * forwarded at @sent_us was not. If @h has answered since, that says nothing of
 * it now.
 */
void gw_host_answered(struct gw_host *h, int64_t now_us);
void gw_host_failed(struct gw_host *h, int64_t sent_us, int64_t now_us);

/* gw_binding.c */
void gw_bind(struct gw *g, struct gw_view *v, int64_t now_us);
void gw_binding_unref(struct gw_binding *b);
void gw_free_state(struct gw *g);

/* gw_target.c */
struct gw_target *gw_target_ref(struct gw_target *t);
void gw_target_unref(struct gw_target *t);
/* @mean_us: mean answer time of the route. */
void gw_target_answered(struct gw_target *t, int64_t service_us,
			int64_t mean_us, int64_t now_us);
/* This host cancelled a call that was not answered in @waited_us. */
void gw_target_abandoned(struct gw_target *t, int64_t waited_us,
			 int64_t mean_us, int64_t now_us);
/*
 * The call that was sent at @sent_us has failed. If @t has answered another one
 * since, a timeout counts in its share of failures, but @t is not avoided for it.
 */
void gw_target_failed(struct gw_target *t, const struct target_reply *reply,
		      int64_t sent_us, int64_t now_us);
/*
 * Adapts the concurrency limit after an answer that took @took_us, where
 * answers are worth most within @goal_us.
 */
void gw_target_adapt_limit(struct gw_target *t, int64_t took_us,
			   int64_t goal_us);
struct gw_pick {
	/* Best target for one more call, or NULL. */
	struct gw_target *target;
	/*
	 * 1: a usable target was left out because it has no room now, or
	 * because it is cold or paused and may get its next call only later in
	 * the time of the request.
	 */
	int has_full_target;
	/*
	 * Earliest next call of the cold and paused targets left out; 0: none
	 * left out.
	 */
	int64_t next_call_us;
};

/*
 * Target @t of @g states that its warm-up takes @left_ms more; of more than an
 * hour, an hour is believed.
 */
void gw_target_set_warmup(const struct gw *g, struct gw_target *t,
			  uint32_t left_ms, int64_t now_us);
/*
 * Takes over the warm-up that the entry of @t states; the entry before stated
 * @previous_ms. 0 ends a warm-up that an entry has stated, but none that the
 * target has stated since in an answer, which is newer.
 */
void gw_target_bind_warmup(const struct gw *g, struct gw_target *t,
			   uint32_t previous_ms, int64_t now_us);
/*
 * Time between two calls of this host to a cold target of @s; 0: any, the
 * service sets no limit.
 */
int64_t gw_target_cold_interval_us(const struct gw *g,
				   const struct gw_service *s);
/* Keeps a target that is leaving after it has left the view. */
void gw_target_keep_leaving(struct gw_target *t, int64_t now_us);
/* Takes over what the target says in @reply of itself. */
void gw_target_heard(const struct gw *g, struct gw_target *t,
		     const struct target_reply *reply, int64_t now_us);
/* Calls that usable targets take at once from this host, and those open. */
struct gw_room {
	uint32_t call_limit;
	uint32_t outstanding;
};

struct gw_room gw_target_room(const struct gw_service *s);
/*
 * Time at which the first target of @s that is paused or cold may be called
 * again; @now_us if one is neither, or there is none.
 */
int64_t gw_target_first_call_us(const struct gw_service *s, int64_t now_us);
/* Picks a target of @s and @group that part @p has not tried. */
struct gw_pick gw_target_pick(struct gw_service *s, const struct gw_part *p,
			      enum gw_version_group group, int64_t mean_us,
			      int64_t now_us);

/* gw_health.c: counts a call to @t that ended after @took_us. */
void gw_health_record_call(struct gw *g, struct gw_target *t, int failed,
			   int64_t took_us, int64_t mean_us, int64_t now_us);

/* gw_version.c: takes over the shares of the versions in @view. */
void gw_version_bind(struct gw *g, const struct gw_view *view, int64_t now_us);
/* 1 if the version of @t belongs to @group. */
int gw_version_allows(const struct gw_service *s, const struct gw_target *t,
		      enum gw_version_group group);
/*
 * Like gw_target_pick(), with the group that a rollout gives to the call, or
 * with the other group if that one has no target and the rollout permits it.
 */
struct gw_pick gw_version_pick(struct gw_part *p, int is_extra, int64_t mean_us,
			       int64_t now_us);
/* Counts a call for the version of @t while a rollout is active. */
void gw_version_record_call(struct gw_service *s, const struct gw_target *t,
			    enum gw_call_outcome outcome, int64_t took_us,
			    int64_t mean_us, int64_t now_us);

#endif

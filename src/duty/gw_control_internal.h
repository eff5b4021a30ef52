/* State of the gateway's control duty that its files share. */
#ifndef GW_CONTROL_INTERNAL_H
#define GW_CONTROL_INTERNAL_H

#include <glib.h>

#include "controller/discovery.h"
#include "controller/host_tree.h"
#include "controller/canary.h"
#include "controller/store_mirror.h"
#include "controller/health_totals.h"
#include "duty/duty.h"
#include "duty/gw_control.h"
#include "duty/messages.h"
#include "duty/relay.h"

/* Timeout of a store call; a watch adds twice its wait time. */
#define STORE_CALL_TIMEOUT_MS 2000

/* What a call to the store is for; the call_id of its request and reply. */
enum store_call_kind {
	STORE_CALL_WATCH,
	STORE_CALL_READ,
	STORE_CALL_LEASE,
	STORE_CALL_REGISTER,
	STORE_CALL_RENEW,
	STORE_CALL_ROLLOUT
};

struct gw_control {
	struct duty *duty;
	struct gw_control_options opt;
	/*
	 * Latest era of the store that this host has heard of; that of @mirror
	 * is an earlier one until the store was listed. 0: the store states
	 * none.
	 */
	uint64_t era;
	/* Time at which it heard of it. */
	int64_t era_us;
	/*
	 * Due when keys that are missing since then are taken for deleted; those
	 * of targets earlier.
	 */
	struct timer_entry missing_timer;
	struct timer_entry missing_targets_timer;
	/* Copy of the store's keys. */
	struct store_mirror *mirror;
	/*
	 * 1: @mirror may lack deletions, because it has taken over the state of
	 * a host of an earlier build; the store is listed as soon as it answers.
	 */
	int needs_listing;
	struct host_tree *host_tree;
	/* Latest time at which @mirror matched the store; 0: never. */
	int64_t confirmed_us;
	/*
	 * Latest time at which the store came back into reach after it had been
	 * lost for longer than the age limit of the state; 0: never.
	 */
	int64_t regained_us;
	/*
	 * 1 if a watch or read of the store has failed that was sent after the
	 * latest answer.
	 */
	int is_store_lost;
	/* Time of the latest answer to a watch or read; 0: none. */
	int64_t store_ok_us;
	/* 1 while a watch of the store is in flight. */
	int is_watching;
	/* 1 while a read of the store is in flight. */
	int is_reading;
	/* Times at which the latest watch and the latest read were sent. */
	int64_t watch_sent_us;
	int64_t read_sent_us;
	/* 1: a watch has failed; the store is read before another is followed. */
	int needs_read;
	/* 1 while a call to another host is in flight. */
	int is_following;
	/* Armed for the next watch of the store or call to another host. */
	struct timer_entry next_call_timer;
	/*
	 * Due when the state reaches its age limit; the store is then read,
	 * also by a host that follows another one.
	 */
	struct timer_entry age_timer;
	/* struct follower_call: calls of followers that wait for an answer. */
	GPtrArray *held_calls;
	struct route_config *config;
	struct discovery *discovery;
	/*
	 * Host name to int64_t: time at which this host learned that the host's
	 * entry was deleted from the store; 0 while the entry is there.
	 */
	GHashTable *hosts;
	/* Lease of this host's entry in the store; 0: none. */
	uint64_t lease;
	/* Armed for the next grant or renewal of the lease. */
	struct timer_entry lease_timer;
	/* Armed when the view is to be published, once for several changes. */
	struct timer_entry publish_timer;
	struct canary *rollouts;
	/* struct rollout_report: sent to another host with the next call. */
	GArray *pending_reports;
	/* Armed while a rollout is active. */
	struct timer_entry rollout_timer;
	/*
	 * Sums of the target health that this host has to add up: that of all
	 * hosts of its data centre while it is their root.
	 */
	struct health_totals *health;
	/* Armed while @health holds reports; due at the end of the period. */
	struct timer_entry health_timer;
};

/*
 * Sends a call to the store duty. call->rev is a position; a watch from one of
 * another era becomes a listing. Returns 0, and sends nothing, for a write whose
 * condition is a position of another era; call->value is freed then.
 */
int gw_control_store_call(struct gw_control *c, const struct kv_call *call,
			  enum store_call_kind kind);
/*
 * Handles the result of a call for @key, whose revisions become positions. One
 * of an earlier era than the one known has failed.
 */
void gw_control_store_result(struct gw_control *c, enum store_call_kind kind,
			     const char *key, struct kv_result *r,
			     int64_t now_us);
/* Handles one key that was written or deleted. */
void gw_control_apply_pair(struct gw_control *c, const struct kv_pair *p,
			   int64_t now_us);

struct gw_control_pair_ctx {
	struct gw_control *control;
	int64_t now_us;
};

/*
 * Callback of the mirror: handles a key that has changed; @ctx: struct
 * gw_control_pair_ctx.
 */
void gw_control_on_pair(void *ctx, const struct kv_pair *p);

/* Publishes the view at the next run of the timers. */
void gw_control_schedule_publish(void *control, int64_t now_us);

/* gw_control_source.c: the source of changes of the store. */
void gw_control_start_source(struct gw_control *c, int64_t now_us);
void gw_control_watch_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us);
void gw_control_read_done(struct gw_control *c, const struct kv_result *r,
			  int64_t now_us);
void gw_control_follow_done(struct gw_control *c, const struct follow_result *f,
			    int64_t now_us);
/* Takes ownership of @call. */
void gw_control_follower_call(struct gw_control *c, struct follower_call *call,
			      int64_t now_us);
/* Calls host @h, which may delay its answer for up to @hold_ms. */
void gw_control_call_peer(struct gw_control *c, const struct host_entry *h,
			  uint32_t hold_ms);
/* Reads what has changed in the store, unless a read is in flight. */
void gw_control_read(struct gw_control *c, int64_t now_us);
/* The result of a watch or read cannot be used: lists the store. */
void gw_control_relist(struct gw_control *c, enum store_call_kind kind,
		       int64_t now_us);
void gw_control_free_source(struct gw_control *c);

/* gw_control_era.c: the store came back from a copy. */
/* Takes note of @era, which @source has stated, if it is a later one. */
void gw_control_hear_era(struct gw_control *c, uint64_t era, const char *source,
			 int64_t now_us);
/* 1 if the copy of the keys is one of the era that is known. */
int gw_control_is_listed(const struct gw_control *c);
/* A full update of a later era is about to be applied. */
void gw_control_store_returns(struct gw_control *c, int64_t now_us);
/* It has been applied. */
void gw_control_store_returned(struct gw_control *c, int64_t now_us);

/* gw_control_health.c: reports of this host and of others on targets. */
void gw_control_local_health(struct gw_control *c,
			     const struct target_health_list *l,
			     int64_t now_us);
void gw_control_peer_health(struct gw_control *c,
			    const struct health_datagram *d, int64_t now_us);

/* gw_control_rollout.c: rollouts of services. */
void gw_control_init_rollouts(struct gw_control *c);
void gw_control_free_rollouts(struct gw_control *c);
void gw_control_apply_rollout(struct gw_control *c, const struct kv_pair *p,
			      int64_t now_us);
void gw_control_rollout_write_done(struct gw_control *c, const char *key,
				   const struct kv_result *r);
/*
 * Adds reports of this host or of a follower, unless no rollout is active;
 * copies @reports.
 */
void gw_control_add_reports(struct gw_control *c,
			    const struct rollout_report *reports,
			    uint32_t count, int64_t now_us);
/* Removes and returns the pending reports; the caller frees them. */
struct rollout_report *gw_control_take_reports(struct gw_control *c,
					       uint32_t *count);

/* gw_control_register.c: this host's entry in the store. */
void gw_control_start_register(struct gw_control *c, int64_t now_us);
/* The lease and the entry are gone: writes them again at @at_us. */
void gw_control_register_again(struct gw_control *c, int64_t at_us);
/*
 * The result of a call for the lease or the entry is of another era than the one
 * known: begins again, unless that is due anyway.
 */
void gw_control_registration_lost(struct gw_control *c, int64_t now_us);
void gw_control_lease_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us);
void gw_control_register_done(struct gw_control *c, const struct kv_result *r,
			      int64_t now_us);
void gw_control_renew_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us);

#endif

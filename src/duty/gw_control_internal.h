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

/* Every other call to the store but a watch. */
#define STORE_CALL_TIMEOUT_MS 2000

/* Tokens of the calls to the store. */
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
	struct store_mirror *store_state;
	struct host_tree *host_tree;
	/* Time at which the state was known to be the store's. */
	int64_t fresh_us;
	/* Time at which the store came back into reach; 0: not lately. */
	int64_t returned_us;
	/* The last call to the store failed. */
	int is_store_lost;
	/* Calls in flight. */
	int is_watching;
	int is_reading;
	int is_following;
	/* Next watch or call to another host, and the freshness limit. */
	struct timer_entry next_call_timer;
	struct timer_entry fresh_timer;
	/* struct follower_call of other hosts that are held. */
	GPtrArray *held_calls;
	struct route_config *config;
	struct discovery *discovery;
	/* Host name to the time it was last seen gone; 0 while present. */
	GHashTable *hosts;
	uint64_t lease;
	struct timer_entry lease_timer;
	/* Armed when the view is to be published, once for a batch of changes. */
	struct timer_entry publish_timer;
	struct canary *rollouts;
	/* struct rollout_report that goes to another host with the next call. */
	GArray *pending_reports;
	/* Armed while a rollout is active. */
	struct timer_entry rollout_timer;
	/* Health of targets as the hosts report it to this one, the root. */
	struct health_totals *health;
	/* Armed while there is something to tell. */
	struct timer_entry health_timer;
};

/* Sends a call to the store duty. */
void gw_control_store_call(struct gw_control *c, const struct kv_call *call,
			   enum store_call_kind token);
/* Handles one key that was written or deleted. */
void gw_control_apply_pair(struct gw_control *c, const struct kv_pair *p,
			   int64_t now_us);

/* What hosts are to do changed: publishes the view. */
void gw_control_schedule_publish(void *control, int64_t now_us);

/* Source: where changes of the store come from. */
void gw_control_start_source(struct gw_control *c, int64_t now_us);
void gw_control_watch_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us);
void gw_control_read_done(struct gw_control *c, const struct kv_result *r,
			  int64_t now_us);
void gw_control_follow_done(struct gw_control *c, const struct follow_result *f,
			    int64_t now_us);
/* Takes over @call. */
void gw_control_follower_call(struct gw_control *c, struct follower_call *call,
			      int64_t now_us);
/* Calls @h, which may hold the call for @hold_ms. */
void gw_control_call_peer(struct gw_control *c, const struct host_entry *h,
			  uint32_t hold_ms);
void gw_control_free_source(struct gw_control *c);

/* Health: what hosts of a data centre know of targets. */
void gw_control_local_health(struct gw_control *c,
			     const struct target_health_list *l,
			     int64_t now_us);
void gw_control_peer_health(struct gw_control *c,
			    const struct health_datagram *d, int64_t now_us);

/* Rollout. */
void gw_control_init_rollouts(struct gw_control *c);
void gw_control_free_rollouts(struct gw_control *c);
void gw_control_apply_rollout(struct gw_control *c, const struct kv_pair *p,
			      int64_t now_us);
void gw_control_rollout_write_done(struct gw_control *c, const char *key,
				   const struct kv_result *r);
/* What the requests of this host or of others have shown. */
void gw_control_add_reports(struct gw_control *c,
			    const struct rollout_report *e, uint32_t count,
			    int64_t now_us);
/* Evidence to pass on; the caller frees it. */
struct rollout_report *gw_control_take_reports(struct gw_control *c,
					       uint32_t *count);

/* Register: this host's entry in the store. */
void gw_control_start_register(struct gw_control *c, int64_t now_us);
void gw_control_lease_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us);
void gw_control_register_done(struct gw_control *c, const struct kv_result *r,
			      int64_t now_us);
void gw_control_renew_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us);

#endif

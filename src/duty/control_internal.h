/* State of the control duty; private to duty/control*.c. */
#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include <glib.h>

#include "base/rng.h"
#include "controller/cfg.h"
#include "controller/membership.h"
#include "duty/control.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "duty/peer_messages.h"

/* Number of heartbeats that carry a target notice. */
#define CONTROL_NOTICE_SENDS 3
/*
 * Room for a notice on each target that one host owns. Further notices are
 * dropped; the request duty repeats them in its next announcement period.
 */
#define CONTROL_NOTICES_MAX 1024

struct outgoing_notice {
	struct target_notice notice;
	/* Heartbeats that have yet to carry the notice. */
	uint32_t sends_left;
};

struct control {
	struct control_options opt;
	struct duty *duty;
	struct cfg *cfg;
	struct membership *membership;
	struct rng rng;
	/* Monotonic time of control_start(). */
	int64_t start_us;
	uint32_t hook_count;
	struct control_hooks hooks[CONTROL_HOOKS_MAX];
	struct timer_entry tick_timer;

	/* Call ID to struct store_call: store calls in progress. */
	GHashTable *store_calls;
	uint64_t last_call_id;
	/* See control_store_up(). */
	uint32_t store_up;
	/* 1 while a watch on the configuration head is in progress. */
	uint32_t watching;
	/* Store revision after which the next watch reports changes. */
	uint64_t watch_rev;
	struct timer_entry watch_timer;
	/* Time of the last periodic reading of the head; 0 before the first. */
	int64_t refreshed_us;
	struct timer_entry refresh_timer;
	struct timer_entry host_list_timer;

	struct timer_entry heartbeat_timer;
	/* Time at which heartbeat_due() last sent heartbeats. */
	int64_t heartbeat_sent_us;
	/* Time of the last heartbeat from a peer. */
	int64_t heartbeat_received_us;
	/* ID of the latest pull of configuration from a peer. */
	uint64_t pull_call_id;
	/* 1 while that pull is in progress. */
	uint32_t is_pulling;
	struct timer_entry pull_timer;
	uint32_t notice_count;
	/* Oldest first; each heartbeat takes notices from the front. */
	struct outgoing_notice notices[CONTROL_NOTICES_MAX];

	/* Item name to the decoded contract or layout in effect. */
	GHashTable *contracts;
	GHashTable *layouts;
	/* The platform's host list as last read; NULL before. */
	struct host_list *listed_hosts;
	/* 1: the view is to be built and published to the request duty. */
	uint32_t view_dirty;
	/* 1: the configuration is to be published to the peer_listen duty. */
	uint32_t config_dirty;
	/* Host count last passed to host_count_changed(). */
	uint32_t active_hosts;
};

/* control_store.c: calls to the store, watch, refresh, host list. */
void control_store_start(struct control *c, int64_t now_us);
void control_store_free(struct control *c);
/*
 * Starts a watch on the head if this host is one that watches the store, and no
 * watch is in progress or waits for its timer.
 */
void control_store_tick(struct control *c, int64_t now_us);
/* Handles MSG_KV_REPLY; owns @r. */
void control_store_reply(struct control *c, struct kv_reply *r);
/* Callbacks of struct cfg_ops that read and write the store. */
void control_read_head(void *ctx);
void control_read_item(void *ctx, const struct cfg_head_entry *entry);
void control_write_item(void *ctx, const struct cfg_item *item);
void control_write_head(void *ctx, const struct cfg_head *head,
			uint64_t if_version);
void control_delete_item(void *ctx, const struct cfg_head_entry *entry);

/* control_peer.c: heartbeats, pulls and target notices. */
void control_peer_start(struct control *c, int64_t now_us);
void control_heartbeat_soon(struct control *c, int64_t now_us);
/* Handles MSG_HEARTBEAT_RECEIVED; owns @h. */
void control_heartbeat_received(struct control *c, int64_t now_us,
				struct heartbeat *h);
/* Handles MSG_CONFIG_FETCH_RESULT; owns @result. */
void control_pull_done(struct control *c, int64_t now_us,
		       struct config_fetch_result *result);
/* Queues the notices of @report for the next heartbeats. */
void control_add_notices(struct control *c,
			 const struct request_report *report);
/* cfg_ops.pull: asks @host for the configuration. */
void control_pull(void *ctx, const char *host, uint64_t rev, uint64_t change_id,
		  uint64_t after_rev);

/* control_view.c: decoded items and the routing view. */
void control_view_init(struct control *c);
void control_view_free(struct control *c);
void control_view_apply_item(struct control *c, const struct cfg_item *item);
/* Publishes the view, the configuration and the host count if they changed. */
void control_publish(struct control *c, int64_t now_us);

#endif

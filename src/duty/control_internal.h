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

/* A target notice goes out with this many heartbeats. */
#define CONTROL_NOTICE_SENDS 3
/* Announcements of all targets that one host owns; further ones wait for the
 * next announcement period. */
#define CONTROL_NOTICES_MAX 1024

struct outgoing_notice {
	struct target_notice notice;
	uint32_t sends_left;
};

struct control {
	struct control_options opt;
	struct duty *duty;
	struct cfg *cfg;
	struct membership *membership;
	struct rng rng;
	int64_t start_us;
	uint32_t hook_count;
	struct control_hooks hooks[CONTROL_HOOKS_MAX];
	struct timer_entry tick_timer;

	/* Store calls in progress by token. */
	GHashTable *store_calls;
	uint64_t next_call_id;
	uint32_t store_up;
	uint32_t watching;
	uint64_t watch_version;
	struct timer_entry watch_timer;
	/* Last reading of the head without a cause; 0 for none. */
	int64_t refreshed_us;
	struct timer_entry refresh_timer;
	struct timer_entry list_timer;

	struct timer_entry heartbeat_timer;
	int64_t heartbeat_sent_us;
	/* Last heartbeat of another host. */
	int64_t heartbeat_received_us;
	uint64_t pull_call_id;
	uint32_t is_pulling;
	struct timer_entry pull_timer;
	uint32_t notice_count;
	/* Oldest first; each heartbeat takes from the front. */
	struct outgoing_notice notices[CONTROL_NOTICES_MAX];

	/* Item name to the decoded contract or layout in effect. */
	GHashTable *contracts;
	GHashTable *layouts;
	struct host_list *listed_hosts;
	uint32_t view_dirty;
	uint32_t config_dirty;
	uint32_t active_hosts;
};

/* control_store.c: calls to the store, watch, refresh, host list. */
void control_store_start(struct control *c, int64_t now_us);
void control_store_free(struct control *c);
void control_store_tick(struct control *c, int64_t now_us);
/* Handles MSG_KV_REPLY; owns @r. */
void control_store_reply(struct control *c, struct kv_reply *r);
/* Store callbacks of the configuration controller. */
void control_read_head(void *ctx);
void control_read_item(void *ctx, const struct cfg_head_entry *e);
void control_write_item(void *ctx, const struct cfg_item *item);
void control_write_head(void *ctx, const struct cfg_head *h,
			uint64_t if_version);
void control_delete_item(void *ctx, const struct cfg_head_entry *e);

/* control_peer.c: heartbeats, pulls and target notices. */
void control_peer_start(struct control *c, int64_t now_us);
void control_heartbeat_soon(struct control *c, int64_t now_us);
/* Handles MSG_HEARTBEAT_RECEIVED; owns @h. */
void control_heartbeat_received(struct control *c, int64_t now_us,
				struct heartbeat *h);
/* Handles MSG_CONFIG_FETCH_RESULT; owns @p. */
void control_pull_done(struct control *c, int64_t now_us,
		       struct config_fetch_result *p);
void control_add_notices(struct control *c, const struct request_report *e);
void control_pull(void *ctx, const char *host, uint64_t rev, uint64_t change,
		  uint64_t after_rev);

/* control_view.c: decoded items and the routing view. */
void control_view_init(struct control *c);
void control_view_free(struct control *c);
void control_view_apply_item(struct control *c, const struct cfg_item *item);
/* Publishes view and configuration if they changed. */
void control_publish(struct control *c, int64_t now_us);

#endif

/* State of the control duty; private to duty/control*.c. */
#ifndef CONTROL_STATE_H
#define CONTROL_STATE_H

#include <glib.h>

#include "base/rng.h"
#include "controller/cfg.h"
#include "controller/membership.h"
#include "duty/control.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "duty/peer.h"

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
	struct control_options o;
	struct duty *duty;
	struct cfg *cfg;
	struct membership *mbr;
	struct rng rng;
	int64_t start_us;
	uint32_t hook_count;
	struct control_hooks hooks[CONTROL_HOOKS_MAX];
	struct tmr_sub tick;

	/* Store calls in progress by token. */
	GHashTable *calls;
	uint64_t next_token;
	uint32_t store_up;
	uint32_t watching;
	uint64_t watch_version;
	struct tmr_sub watch_timer;
	/* Last reading of the head without a cause; 0 for none. */
	int64_t refreshed_us;
	struct tmr_sub refresh_timer;
	struct tmr_sub list_timer;

	struct tmr_sub heartbeat_timer;
	int64_t heartbeat_us;
	/* Last heartbeat of another host. */
	int64_t heard_us;
	uint64_t pull_token;
	uint32_t pull_open;
	struct tmr_sub pull_timer;
	uint32_t notice_count;
	/* Oldest first; each heartbeat takes from the front. */
	struct outgoing_notice notices[CONTROL_NOTICES_MAX];

	/* Item name to the decoded contract or layout in effect. */
	GHashTable *contracts;
	GHashTable *layouts;
	struct host_list *list;
	uint32_t view_dirty;
	uint32_t config_dirty;
	uint32_t active_hosts;
};

/* control_store.c: calls to the store, watch, refresh, host list. */
void control_store_start(struct control *c, int64_t now_us);
void control_store_free(struct control *c);
void control_store_tick(struct control *c, int64_t now_us);
/* Handles MSG_KV_RESULT; owns @r. */
void control_store_reply(struct control *c, struct kv_reply *r);
/* Store callbacks of the configuration controller. */
void control_read_head(void *ctx);
void control_read_item(void *ctx, const struct head_entry *e);
void control_write_item(void *ctx, const struct cfg_item *item);
void control_write_head(void *ctx, const struct cfg_head *h,
			uint64_t if_version);
void control_delete_item(void *ctx, const struct head_entry *e);

/* control_peer.c: heartbeats, pulls and target notices. */
void control_peer_start(struct control *c, int64_t now_us);
void control_heartbeat_soon(struct control *c, int64_t now_us);
/* Handles MSG_HEARTBEAT_IN; owns @h. */
void control_heartbeat_in(struct control *c, int64_t now_us,
			  struct heartbeat *h);
/* Handles MSG_PEER_ITEMS; owns @p. */
void control_peer_items(struct control *c, int64_t now_us,
			struct peer_items *p);
void control_add_notices(struct control *c, const struct evidence *e);
void control_pull(void *ctx, const char *host, uint64_t rev, uint64_t change,
		  uint64_t after_rev);

/* control_view.c: decoded items and the routing view. */
void control_view_new(struct control *c);
void control_view_free(struct control *c);
void control_view_item(struct control *c, const struct cfg_item *item);
/* Publishes view and configuration if they changed. */
void control_publish(struct control *c, int64_t now_us);

#endif

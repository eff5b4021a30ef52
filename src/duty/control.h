/*
 * The control duty: owns the configuration, the membership and the state
 * controllers, and publishes the routing view. control_new(), control_start(),
 * control_ring(), control_stop(), control_join() and control_free() are called
 * by the thread that starts and stops the duty, control_options() and
 * control_add_hooks() too, before control_start(). All other functions are
 * called on the control duty's thread, from controllers_admin_call() or from a
 * hook.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "duty/admin_call.h"
#include "duty/peer_messages.h"
#include "model/config.h"
#include "model/request_report.h"
#include "model/heartbeat.h"
#include "model/member.h"
#include "model/view.h"
#include "model/kv.h"

#define CONTROL_SEEDS_MAX 8

struct control;

struct control_options {
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	/* Peer address and port of this host, as others reach it. */
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Wall-clock start time of the process in ms. */
	uint64_t incarnation;
	uint64_t rng_seed;
	/* Inbound rings of the other duties. */
	struct ring *store;
	struct ring *request;
	struct ring *peer_send;
	struct ring *peer_fetch;
	struct ring *peer_listen;
	/* Peers to contact while the platform's host list cannot be read. */
	uint32_t seed_count;
	struct peer_address seeds[CONTROL_SEEDS_MAX];
	/*
	 * Called on the control duty when the number of hosts that share the
	 * store changes.
	 */
	void (*host_count_changed)(void *ctx, uint32_t count);
	void *host_count_changed_ctx;
	/* Handles MSG_ADMIN_CALL and owns @call: controllers_admin_call(). */
	void (*admin_call_received)(struct control *c, struct admin_call *call);
};

struct control *control_new(const struct control_options *options,
			    struct err *err);
/* Options of @c, whose rings and port may be set until control_start(). */
struct control_options *control_options(struct control *c);
enum err_code control_start(struct control *c, struct err *err);
struct ring *control_ring(struct control *c);
void control_stop(struct control *c);
void control_join(struct control *c);
void control_free(struct control *c);

/*
 * Callbacks of the state controllers (data centres, rollouts, service levels).
 * Each may be NULL; all run on the control duty.
 */
struct control_hooks {
	/*
	 * An item takes effect; its json is NULL when it was deleted. Called
	 * for each changed item of a revision before the view is built.
	 */
	void (*apply_item)(void *ctx, int64_t now_us,
			   const struct cfg_item *item);
	/* Runs every CONTROL_TICK_US. Returns 1 to have the view rebuilt. */
	int (*tick)(void *ctx, int64_t now_us);
	/* A report of the request duty. Returns 1 to have the view rebuilt. */
	int (*request_report_received)(void *ctx, int64_t now_us,
				       const struct request_report *report);
	/* A heartbeat of a peer. Returns 1 to have the view rebuilt. */
	int (*heartbeat_received)(void *ctx, int64_t now_us,
				  const struct heartbeat *h);
	/* Fills dc_items_rev and rollouts of an outgoing heartbeat. */
	void (*fill_heartbeat)(void *ctx, int64_t now_us, struct heartbeat *h);
	/* Adds data centre shares, version shares and blocked targets to @v. */
	void (*fill_view)(void *ctx, int64_t now_us, struct view *v);
	void *ctx;
};

#define CONTROL_TICK_US 100000
#define CONTROL_HOOKS_MAX 8

/*
 * Adds callbacks; before control_start(). More than CONTROL_HOOKS_MAX are
 * ignored.
 */
void control_add_hooks(struct control *c, const struct control_hooks *hooks);
/* The view has to be rebuilt; it is published after the current message. */
void control_view_changed(struct control *c);

/*
 * Result of an edit. ERR_OK: @rev is the configuration revision that the edit
 * made. ERR_CFG_RACE: the detail names the change that was accepted first.
 * ERR_STORE_UNKNOWN: the edit may still take effect; read the item again.
 * ERR_STOPPING: this host stops.
 */
typedef void control_edit_done_fn(void *ctx, const struct err *err,
				  uint64_t rev);

/*
 * Submits an edit of @item, such as "contract/blue-mahoe"; NULL JSON deletes
 * the item. @if_rev: item revision that the edit is based on, 0 for the one in
 * force. Returns ERR_OK when @done will be called once, later on this thread,
 * or the reason for refusing the edit at once in @err (ERR_CFG_FIELD,
 * ERR_BAD_JSON, ERR_CFG_RACE, ERR_OVERLOADED, ERR_NO_CONFIG before this host
 * has compared its configuration with the store and a peer), without calling
 * @done.
 */
enum err_code control_edit(struct control *c, const char *item,
			   const char *json_or_null_to_delete, const char *who,
			   uint64_t if_rev, control_edit_done_fn *done,
			   void *ctx, struct err *err);

/* Configuration revision in effect; 0 before the first one. */
uint64_t control_rev(const struct control *c);
/* Item in effect or NULL; valid until the control duty's next message. */
const struct cfg_item *control_item(const struct control *c, const char *name);
/* Calls @fn for each item in effect whose name begins with @prefix. */
void control_each_item(const struct control *c, const char *prefix,
		       void (*fn)(void *ctx, const struct cfg_item *item),
		       void *ctx);
/*
 * 1 if the last call to the store got an answer from it; calls that a rate
 * limit refused do not count.
 */
int control_store_up(const struct control *c);

/* Calls @fn for each known entry host, this one included. */
void control_each_member(const struct control *c,
			 void (*fn)(void *ctx, const struct member_info *m),
			 void *ctx);

/* Announces that this host leaves; the same as MSG_LEAVE. */
void control_leave(struct control *c);

/*
 * Sends @call to the store and takes ownership of its value. @done gets the
 * result later on this thread, never while this function runs.
 */
void control_store_call(struct control *c, const struct kv_call *call,
			kv_done_fn *done, void *ctx);

#endif

/*
 * The control duty: owns configuration, membership and the state controllers,
 * and publishes the routing view. Except for control_new(), control_start(),
 * control_ring(), control_stop(), control_join() and control_free(), the
 * functions are called on its own thread, from controllers_admin_call() or a hook.
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
	/* Hosts to contact while the host list cannot be read. */
	uint32_t seed_count;
	struct peer_address seeds[CONTROL_SEEDS_MAX];
	/* Told when the number of hosts that share the store changes. */
	void (*host_count_changed)(void *ctx, uint32_t count);
	void *host_count_changed_ctx;
	/* Handler of MSG_ADMIN_CALL, controllers_admin_call(); owns the call. */
	void (*admin_call_received)(struct control *c, struct admin_call *call);
};

struct control *control_new(const struct control_options *o, struct err *err);
/* The rings of the options may be set until control_start(). */
struct control_options *control_options(struct control *c);
enum err_code control_start(struct control *c, struct err *err);
struct ring *control_ring(struct control *c);
void control_stop(struct control *c);
void control_join(struct control *c);
void control_free(struct control *c);

/*
 * Call points of the state controllers (data centres, rollouts, service
 * levels). Each callback may be NULL; all run on the control duty.
 */
struct control_hooks {
	/*
	 * An item takes effect, with json NULL when it was deleted. Called
	 * for each changed item of a revision before the view is built.
	 */
	void (*apply_item)(void *ctx, int64_t now_us,
			   const struct cfg_item *item);
	/* Every CONTROL_TICK_US. Returns 1 when the view has to be rebuilt. */
	int (*tick)(void *ctx, int64_t now_us);
	/* Returns 1 when the view has to be rebuilt. */
	int (*evidence)(void *ctx, int64_t now_us,
			const struct request_report *e);
	int (*heartbeat_received)(void *ctx, int64_t now_us,
				  const struct heartbeat *h);
	/* Fills out_rev, notices and rollouts of an outgoing heartbeat. */
	void (*fill_heartbeat)(void *ctx, int64_t now_us, struct heartbeat *h);
	/* Adds data centre weights, version weights and blocks to @v. */
	void (*fill_view)(void *ctx, int64_t now_us, struct view *v);
	void *ctx;
};

#define CONTROL_TICK_US 100000
#define CONTROL_HOOKS_MAX 8

/* Adds call points; before control_start(). */
void control_add_hooks(struct control *c, const struct control_hooks *h);
/* Rebuilds and publishes the view after the current message. */
void control_view_changed(struct control *c);

/*
 * Result of an edit. ERR_OK: @rev is the revision that made it. ERR_CFG_RACE:
 * the detail names the change that was accepted first. ERR_STORE_UNKNOWN: the
 * edit may still take effect; read the item again. ERR_STOPPING: this host
 * stops.
 */
typedef void control_edit_done_fn(void *ctx, const struct err *err,
				  uint64_t rev);

/*
 * Submits an edit of @item ("contract/blue-mahoe"); NULL JSON deletes it.
 * @if_rev: item revision that the edit is based on, 0 for the one in force.
 * Returns ERR_OK when @done will be called once, later on this thread, or the
 * reason for refusing it at once in @err (ERR_CFG_FIELD, ERR_BAD_JSON,
 * ERR_CFG_RACE, ERR_OVERLOADED, ERR_NO_CONFIG before this host has compared
 * its configuration with the store and a peer), without calling @done.
 */
enum err_code control_edit(struct control *c, const char *item,
			   const char *json_or_null_to_delete, const char *who,
			   uint64_t if_rev, control_edit_done_fn *done,
			   void *ctx, struct err *err);

/* Revision in effect; 0 before the first configuration. */
uint64_t control_rev(const struct control *c);
/* Item in effect or NULL; valid until the control duty's next message. */
const struct cfg_item *control_item(const struct control *c, const char *name);
/* Calls @fn for each item in effect whose name begins with @prefix. */
void control_each_item(const struct control *c, const char *prefix,
		       void (*fn)(void *ctx, const struct cfg_item *item),
		       void *ctx);
/* 1 while the last store call reached the store. */
int control_store_up(const struct control *c);

/* Calls @fn for each known entry host, this one included. */
void control_each_member(const struct control *c,
			 void (*fn)(void *ctx, const struct member_info *m),
			 void *ctx);

/* Announces that this host leaves; the same as MSG_LEAVE. */
void control_leave(struct control *c);

/*
 * Sends @call to the store and takes ownership of its value; the result comes
 * to @done on this thread, never during this call.
 */
void control_store_call(struct control *c, const struct kv_call *call,
			kv_done_fn *done, void *ctx);

#endif

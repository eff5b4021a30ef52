/*
 * Handles operators' calls on the control duty: contracts, layouts, data
 * centres, hosts, versions, status, changes and the service-level report.
 * Configuration, membership, clocks and log are reached through callbacks, so
 * that test scripts can run this module without a store or threads.
 */
#ifndef CONTROL_ADMIN_H
#define CONTROL_ADMIN_H

#include <stdint.h>

#include "controller/evacuation.h"
#include "controller/rollout.h"
#include "controller/slo.h"
#include "duty/admin_call.h"
#include "model/config.h"
#include "model/member.h"

/* Same as control_edit_done_fn in duty/control.h. */
typedef void control_admin_done_fn(void *ctx, const struct err *err,
				   uint64_t rev);

/*
 * Functions of the control duty. A callback named after a control_...()
 * function of duty/control.h does the same as that function.
 */
struct control_admin_ops {
	enum err_code (*edit)(void *ctx, const char *item, const char *json,
			      const char *who, uint64_t if_rev,
			      control_admin_done_fn *done, void *done_ctx,
			      struct err *err);
	const struct cfg_item *(*item)(void *ctx, const char *name);
	void (*each_item)(void *ctx, const char *prefix,
			  void (*fn)(void *fn_ctx, const struct cfg_item *item),
			  void *fn_ctx);
	void (*each_member)(void *ctx,
			    void (*fn)(void *fn_ctx,
				       const struct member_info *m),
			    void *fn_ctx);
	uint64_t (*rev)(void *ctx);
	int (*store_up)(void *ctx);
	/* Monotonic time. */
	int64_t (*now_us)(void *ctx);
	/* Wall-clock time in ms since 1970-01-01 UTC. */
	int64_t (*wall_ms)(void *ctx);
	/* Writes one line to the log. */
	void (*log)(void *ctx, const char *event, const char *text);
};

struct control_admin;

/* The caller keeps the ownership of the controllers and frees them later. */
struct control_admin *
control_admin_new(const char *host, const char *data_centre,
		  const struct control_admin_ops *ops, void *ctx,
		  struct evacuation *evacuation, struct rollout *rollouts,
		  struct slo *slo);
/* Call after the last edit was answered. */
void control_admin_free(struct control_admin *a);

/* Handles @call and owns it; the reply may come after the return. */
void control_admin_call(struct control_admin *a, struct admin_call *call);
/* Records that @item took effect, for calls on changes. */
void control_admin_record_change(struct control_admin *a,
				 const struct cfg_item *item);

#endif

/*
 * Connects the data centre, rollout and service-level controllers and the
 * operators' calls to the control duty, through its hooks.
 */
#ifndef CONTROL_OPS_H
#define CONTROL_OPS_H

#include "duty/control.h"

struct control_ops;

/* Adds the hooks to @c; before control_start(). */
struct control_ops *control_ops_new(struct control *c, const char *host,
				    const char *data_centre, uint64_t seed);
/* After control_join() and before or after control_free(). */
void control_ops_free(struct control_ops *o);

/*
 * Calls @fn on the control duty whenever this host, or its data centre, is
 * taken out (1) or brought in (0); before control_start().
 */
void control_ops_on_out(struct control_ops *o,
			void (*fn)(void *ctx, uint32_t is_out), void *ctx);

/*
 * Handler of MSG_ADMIN for control_options.admin; owns the call. Needs a
 * control_ops_new() for @c.
 */
void control_admin(struct control *c, struct admin_call *call);

#endif

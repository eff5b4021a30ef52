/*
 * Connects the data centre, rollout and service-level controllers and the
 * operators' calls to the control duty, through its hooks.
 */
#ifndef CONTROLLERS_H
#define CONTROLLERS_H

#include "duty/control.h"

struct controllers;

/* Adds the hooks to @c; before control_start(). */
struct controllers *controllers_new(struct control *c, const char *host,
				    const char *data_centre, uint64_t seed);
/* After control_join() and before or after control_free(). */
void controllers_free(struct controllers *o);

/*
 * Calls @fn on the control duty whenever this host, or its data centre, is
 * taken out (1) or brought in (0); before control_start().
 */
void controllers_on_out_of_service(struct controllers *o,
				   void (*fn)(void *ctx, uint32_t is_out),
				   void *ctx);

/*
 * Handler of MSG_ADMIN_CALL for control_options.admin; owns the call. Needs a
 * controllers_new() for @c.
 */
void controllers_admin_call(struct control *c, struct admin_call *call);

#endif

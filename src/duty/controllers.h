/*
 * Connects the evacuation, rollout and service-level controllers and the
 * operators' calls to the control duty, through its hooks.
 */
#ifndef CONTROLLERS_H
#define CONTROLLERS_H

#include "duty/control.h"

struct controllers;

/*
 * Creates the controllers and adds their hooks to @control; before
 * control_start().
 */
struct controllers *controllers_new(struct control *control, const char *host,
				    const char *data_centre, uint64_t seed);
/* Call after control_join(), before or after control_free(). */
void controllers_free(struct controllers *c);

/*
 * Sets the callback that the control duty calls whenever this host or its data
 * centre is taken out of service (@is_out 1) or brought back (0); before
 * control_start().
 */
void controllers_on_out_of_service(struct controllers *c,
				   void (*fn)(void *ctx, uint32_t is_out),
				   void *ctx);

/*
 * Handler of MSG_ADMIN_CALL for control_options.admin_call_received; owns
 * @call. controllers_new() must have been called for @control.
 */
void controllers_admin_call(struct control *control, struct admin_call *call);

#endif

/*
 * The request duty of the gateway: hands the messages of its ring to the
 * request path (gateway/gw.h), and pushes the calls, answers and reports of the
 * request path to the rings of the other duties.
 */
#ifndef GW_DUTY_H
#define GW_DUTY_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "gateway/gw.h"

struct gw_duty;

struct gw_duty *gw_duty_new(const struct gw_options *o, struct err *err);
/* Rings of these duties; @relay may be NULL: nothing is forwarded. */
enum err_code gw_duty_start(struct gw_duty *d, struct ring *ingress,
			    struct ring *egress, struct ring *control,
			    struct ring *relay, struct err *err);
struct ring *gw_duty_ring(struct gw_duty *d);
/* Any thread: 1 when requests can be served, as gw_ready() says. */
int gw_duty_is_ready(void *gw_duty);
void gw_duty_stop(struct gw_duty *d);
void gw_duty_free(struct gw_duty *d);

#endif

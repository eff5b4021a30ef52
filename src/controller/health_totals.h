/*
 * Target health of a data centre: the root of its hosts adds up what they
 * report and tells them which targets fail or are slow. One host sees a target
 * once or twice a second, all of them see it many times. Pure; the time comes
 * in with each period.
 */
#ifndef HEALTH_TOTALS_H
#define HEALTH_TOTALS_H

#include <stdint.h>

#include "model/target_health.h"

/* Length of a period: reports, and what follows from them. */
#define HEALTH_TOTALS_PERIOD_US 250000

struct health_totals;

struct health_totals *health_totals_new(void);
void health_totals_free(struct health_totals *t);

/* What a host, this one included, has seen in its last period. */
void health_totals_add(struct health_totals *t,
		       const struct target_health_list *l);
/*
 * Ends a period. Writes up to @max lists of targets that hosts should know of;
 * returns the number of lists.
 */
uint32_t health_totals_end_period(struct health_totals *t,
				  struct target_health_list *out, uint32_t max);
/* 1 while there is anything to tell. */
int health_totals_is_active(const struct health_totals *t);

#endif

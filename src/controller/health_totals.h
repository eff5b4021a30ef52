/*
 * Health of the targets that the hosts of a data centre call: the root of the
 * hosts adds up the counts that they report and tells them which targets fail
 * or are slow. One host calls a target once or twice a second, all of them
 * together call it many times. Pure: the owner ends each period.
 */
#ifndef HEALTH_TOTALS_H
#define HEALTH_TOTALS_H

#include <stdint.h>

#include "model/target_health.h"

/* Length of a period, after which hosts are told what the reports show. */
#define HEALTH_TOTALS_PERIOD_US 250000

struct health_totals;

struct health_totals *health_totals_new(void);
void health_totals_free(struct health_totals *t);

/* Adds the counts of the last period of one host, this one included. */
void health_totals_add(struct health_totals *t,
		       const struct target_health_list *list);
/*
 * Ends a period. Writes the targets that fail or are slow into up to @max lists
 * at @out; returns the number of lists.
 */
uint32_t health_totals_end_period(struct health_totals *t,
				  struct target_health_list *out, uint32_t max);
/* 1 while any target has counts, so that periods have to be ended. */
int health_totals_is_active(const struct health_totals *t);

#endif

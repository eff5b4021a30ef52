/*
 * Target health of a data centre: the root of its hosts adds up what they
 * report and tells them which targets fail or are slow. One host sees a target
 * once or twice a second, all of them see it many times. Pure; the time comes
 * in with each period.
 */
#ifndef THL_H
#define THL_H

#include <stdint.h>

#include "model/target_health.h"

/* Length of a period: reports, and what follows from them. */
#define THL_PERIOD_US 250000

struct thl;

struct thl *thl_new(void);
void thl_free(struct thl *t);

/* What a host, this one included, has seen in its last period. */
void thl_report(struct thl *t, const struct target_health_list *l);
/*
 * Ends a period. Writes up to @max lists of targets that hosts should know of;
 * returns the number of lists.
 */
uint32_t thl_period(struct thl *t, struct target_health_list *out,
		    uint32_t max);
/* 1 while there is anything to tell. */
int thl_is_active(const struct thl *t);

#endif

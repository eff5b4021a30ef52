/*
 * Clocks. Filters, controllers and other code that decides read none of them:
 * they get the time as an argument.
 */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/*
 * Monotonic time in us since an arbitrary start, for timers and deadlines. It
 * counts the time for which the machine was suspended, so that what was due or
 * has expired meanwhile is known to be so afterwards.
 */
int64_t clock_now_us(void);
/* Wall-clock time in us since 1970-01-01 UTC. */
int64_t clock_wall_us(void);
/* CPU time of the process in us, user and system together. */
int64_t clock_cpu_us(void);

#endif

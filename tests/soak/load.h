/*
 * Callers of the soak: threads that send requests of all kinds to all hosts,
 * over connections that are reused while they last, and check each answer.
 */
#ifndef SOAK_LOAD_H
#define SOAK_LOAD_H

#include "testbed.h"

struct load;

struct load *load_start(struct testbed *tb, uint32_t threads);
/* Ends the threads and frees @l. */
void load_stop(struct load *l);
/* Requests and successes so far. */
void load_counts(struct load *l, uint64_t *sent, uint64_t *successes);

#endif

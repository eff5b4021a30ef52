/*
 * Discovery: the targets that may get new work, from the entries that they
 * keep in the store. Pure: entries, removals and the time come in. An entry
 * that is missing shortly after the store was out of reach may only have
 * lapsed meanwhile, so it is kept until it had time to return.
 */
#ifndef DISCOVERY_H
#define DISCOVERY_H

#include <stdint.h>

#include "base/timer_queue.h"
#include "model/gw_view.h"

struct discovery;

/* Called when the result of discovery_fill() changed. */
typedef void discovery_changed_fn(void *ctx, int64_t now_us);

struct discovery *discovery_new(struct timer_queue *timers,
				discovery_changed_fn *changed, void *ctx);
void discovery_free(struct discovery *d);

void discovery_put(struct discovery *d, const struct target_entry *s,
		   int64_t now_us);
void discovery_remove(struct discovery *d, const char *id, int64_t now_us);
/* Operators want nothing sent to targets of @data_centre (1), or take it back. */
void discovery_set_evacuated(struct discovery *d, const char *data_centre,
			     int is_out, int64_t now_us);
/* The store was out of reach until @back_us. */
void discovery_store_regained(struct discovery *d, int64_t back_us);

uint32_t discovery_count(const struct discovery *d);
/* Writes discovery_count() entries. */
void discovery_fill(const struct discovery *d, struct target_entry *out);

#endif

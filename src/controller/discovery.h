/*
 * Discovery of the gateway's targets, from the entries that they keep in the
 * store. Pure: entries, removals and the time are passed in. An entry that is
 * missing shortly after the store was out of reach may only have expired
 * because the target could not renew it, so its target is kept until it had
 * time to write the entry again. A write that the store carries out late does
 * not undo a later one of the target, nor its leaving.
 */
#ifndef DISCOVERY_H
#define DISCOVERY_H

#include <stdint.h>

#include "base/timer_queue.h"
#include "model/gw_view.h"

struct discovery;

/* Called when the result of discovery_fill() has changed. */
typedef void discovery_changed_fn(void *ctx, int64_t now_us);

struct discovery *discovery_new(struct timer_queue *timers,
				discovery_changed_fn *changed, void *ctx);
void discovery_free(struct discovery *d);

/* The target wrote its entry. */
void discovery_put(struct discovery *d, const struct target_entry *target,
		   int64_t now_us);
/* The entry of target @id is gone from the store. */
void discovery_remove(struct discovery *d, const char *id, int64_t now_us);
/* @is_out 1: operators want nothing sent to the targets of @data_centre. */
void discovery_set_evacuated(struct discovery *d, const char *data_centre,
			     int is_out, int64_t now_us);
/*
 * The store was out of reach until time @back_us. Targets whose entries are
 * removed shortly after it are kept until they had time to return.
 */
void discovery_store_regained(struct discovery *d, int64_t back_us);

/*
 * The store came back from an older copy. An entry that is the last one known of
 * a target which has left may be from the copy, and brings it back only after
 * @until_us.
 */
void discovery_store_returns(struct discovery *d, int64_t until_us);

/* Number of known targets. */
uint32_t discovery_count(const struct discovery *d);
/* Writes all known targets, discovery_count() entries, to @out. */
void discovery_fill(const struct discovery *d, struct target_entry *out);

#endif

/*
 * Discovery: the targets that may get new work, from the entries that they
 * keep in the store. Pure: entries, removals and the time come in. An entry
 * that is missing shortly after the store was out of reach may only have
 * lapsed meanwhile, so it is kept until it had time to return.
 */
#ifndef DSC_H
#define DSC_H

#include <stdint.h>

#include "base/tmr.h"
#include "model/gw_view.h"

struct dsc;

/* Called when the result of dsc_fill() changed. */
typedef void dsc_changed_fn(void *ctx, int64_t now_us);

struct dsc *dsc_new(struct tmr *timers, dsc_changed_fn *changed, void *ctx);
void dsc_free(struct dsc *d);

void dsc_put(struct dsc *d, const struct searcher *s, int64_t now_us);
void dsc_remove(struct dsc *d, const char *id, int64_t now_us);
/* Operators want nothing sent to targets of @data_centre (1), or take it back. */
void dsc_evacuate(struct dsc *d, const char *data_centre, int is_out,
		  int64_t now_us);
/* The store was out of reach until @back_us. */
void dsc_store_back(struct dsc *d, int64_t back_us);

uint32_t dsc_count(const struct dsc *d);
/* Writes dsc_count() entries. */
void dsc_fill(const struct dsc *d, struct searcher *out);

#endif

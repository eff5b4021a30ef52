/*
 * Filter chain for requests, used by the pipeline and by the gateway; @item is
 * their own request type (struct req or struct gw_req). Filters are entered in
 * order; when the request is finished, those that were entered are left in
 * reverse order.
 */
#ifndef CHAIN_H
#define CHAIN_H

#include <stdint.h>

enum filter_step {
	/* Go on with the next filter. */
	FILTER_NEXT,
	/*
	 * The request waits; its owner calls chain_run() again later, which
	 * enters the next filter.
	 */
	FILTER_WAIT,
	/* The request is decided; no further filter is entered. */
	FILTER_DONE
};

struct filter {
	const char *name;
	enum filter_step (*enter)(void *ctx, void *item, int64_t now_us);
	/*
	 * Releases what enter acquired; may be NULL. Not called if the first
	 * enter returned FILTER_DONE.
	 */
	void (*leave)(void *ctx, void *item, int64_t now_us);
	void *ctx;
};

#define CHAIN_FILTERS_MAX 8

struct chain {
	uint32_t count;
	struct filter filters[CHAIN_FILTERS_MAX];
};

/* Position of a request in its chain; embedded in the request. */
struct chain_pos {
	/* Filter that is entered next. */
	uint32_t next;
	/* Filters that have been entered and not left. */
	uint32_t entered_count;
};

void chain_add(struct chain *c, const struct filter *f);
/*
 * Enters the filters from pos->next on until one returns FILTER_WAIT or
 * FILTER_DONE, and returns that; FILTER_DONE also at the end of the chain.
 */
enum filter_step chain_run(const struct chain *c, struct chain_pos *pos,
			   void *item, int64_t now_us);
/* Leaves the filters that were entered, the last one first. */
void chain_finish(const struct chain *c, struct chain_pos *pos, void *item,
		  int64_t now_us);
/* Makes filter @name the one entered next, without leaving any filter. */
void chain_rewind(const struct chain *c, struct chain_pos *pos,
		  const char *name);

#endif

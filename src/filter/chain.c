#include "filter/chain.h"

#include <stdlib.h>
#include <string.h>

void chain_add(struct chain *c, const struct filter *f)
{
	if (c->count == CHAIN_FILTERS_MAX)
		abort();
	c->filters[c->count++] = *f;
}

enum filter_step chain_run(const struct chain *c, struct chain_pos *pos,
			   void *item, int64_t now_us)
{
	while (pos->next < c->count) {
		const struct filter *f = &c->filters[pos->next];
		enum filter_step step = f->enter(f->ctx, item, now_us);

		if (step == FILTER_DONE)
			return FILTER_DONE;
		/* A filter that decides acquired nothing and is not left. */
		pos->next++;
		if (pos->next > pos->entered_count)
			pos->entered_count = pos->next;
		if (step == FILTER_WAIT)
			return FILTER_WAIT;
	}
	return FILTER_DONE;
}

void chain_finish(const struct chain *c, struct chain_pos *pos, void *item,
		  int64_t now_us)
{
	while (pos->entered_count > 0) {
		const struct filter *f = &c->filters[--pos->entered_count];

		if (f->leave)
			f->leave(f->ctx, item, now_us);
	}
}

void chain_rewind(const struct chain *c, struct chain_pos *pos,
		  const char *name)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		if (strcmp(c->filters[i].name, name) == 0)
			pos->next = i;
	}
}

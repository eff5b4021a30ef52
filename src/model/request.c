#include "model/request.h"

#include <string.h>

void request_free(struct request *r)
{
	if (!r)
		return;
	free(r->text);
	free(r);
}

void hits_free(struct hits *h)
{
	uint32_t i;

	for (i = 0; i < h->count; i++)
		free(h->items[i].doc);
	free(h->items);
	memset(h, 0, sizeof(*h));
}

void hits_add(struct hits *h, const char *id, double score, char *doc)
{
	struct hit *hit;

	/* The array is full whenever the count is 0 or a power of two. */
	if ((h->count & (h->count - 1)) == 0)
		h->items = util_grow(h->items, h->count ? h->count * 2 : 1,
				     sizeof(*h->items));
	hit = &h->items[h->count++];
	util_copy_str(hit->id, sizeof(hit->id), id);
	hit->score = score;
	hit->doc = doc;
}

void subrequest_msg_free(struct subrequest_msg *m)
{
	if (!m)
		return;
	free(m->text);
	free(m);
}

void subrequest_result_free(struct subrequest_result *r)
{
	if (!r)
		return;
	hits_free(&r->hits);
	free(r);
}

const char *outcome_name(enum outcome o)
{
	switch (o) {
	case OUTCOME_DONE:
		return "done";
	case OUTCOME_NOT_RUN:
		return "not_run";
	default:
		return "outcome_unknown";
	}
}

void answer_free(struct answer *a)
{
	if (!a)
		return;
	hits_free(&a->hits);
	free(a->missing);
	free(a);
}

#include "decide/merge.h"

#include <string.h>

#include "base/util.h"

enum err_code merge_check_result(const struct merge_expected *expected,
				 const struct subrequest_result *r)
{
	if (r->answer_sub_id != expected->sub_id ||
	    strcmp(r->request_id, expected->request_id) != 0 ||
	    strcmp(r->shard, expected->shard) != 0)
		return ERR_TARGET_ID;
	if (strcmp(r->snapshot, expected->snapshot) != 0)
		return ERR_TARGET_SNAPSHOT;
	return ERR_OK;
}

void merge_check_error(uint64_t sub_id, struct subrequest_result *r)
{
	if (r->answer_sub_id == sub_id)
		return;
	if (r->answer_sub_id)
		r->code = ERR_TARGET_ID;
	if (r->answer_sub_id || !r->new_connection)
		r->not_run = 0;
}

void merge_move_hits(struct hits *into, struct hits *from)
{
	uint32_t i;

	for (i = 0; i < from->count; i++) {
		struct hit *h = &from->items[i];

		hits_add(into, h->id, h->score, h->doc);
		h->doc = NULL;
	}
	hits_free(from);
}

static int compare_hits(const void *a, const void *b)
{
	const struct hit *x = a;
	const struct hit *y = b;

	if (x->score != y->score)
		return x->score < y->score ? 1 : -1;
	return strcmp(x->id, y->id);
}

/* 1 if one of the first @kept_count hits has this ID. */
static int is_duplicate(const struct hits *h, uint32_t kept_count,
			const char *id)
{
	uint32_t i;

	for (i = 0; i < kept_count; i++) {
		if (strcmp(h->items[i].id, id) == 0)
			return 1;
	}
	return 0;
}

void merge_hits(struct hits *h, uint32_t limit)
{
	uint32_t kept_count = 0;
	uint32_t i;

	if (!h->count)
		return;
	qsort(h->items, h->count, sizeof(h->items[0]), compare_hits);
	for (i = 0; i < h->count; i++) {
		if (kept_count == limit ||
		    is_duplicate(h, kept_count, h->items[i].id)) {
			free(h->items[i].doc);
			continue;
		}
		h->items[kept_count++] = h->items[i];
	}
	h->count = kept_count;
}

enum err_code merge_check_coverage(uint32_t shards_total,
				   uint32_t shards_answered,
				   uint32_t min_coverage_permille)
{
	uint64_t have = (uint64_t)shards_answered * PERMILLE;
	uint64_t need = (uint64_t)shards_total * min_coverage_permille;

	if (shards_answered == 0 && shards_total > 0)
		return ERR_INCOMPLETE;
	return have >= need ? ERR_OK : ERR_INCOMPLETE;
}

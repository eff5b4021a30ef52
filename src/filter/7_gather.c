/*
 * Filter 7: waits for the shards, then answers completely or partially, or
 * refuses the request.
 */
#include "filter/pipeline_internal.h"

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	/* req_resume() finishes the request when all shards are resolved. */
	return FILTER_WAIT;
}

static void refuse_unanswered(struct req *r)
{
	if (r->sent_count == 0 && r->targets_overloaded)
		req_refuse(r, ERR_OVERLOADED, "all replicas are busy");
	else if (r->sent_count == 0)
		req_refuse(r, ERR_NO_REPLICA,
			   "no replica was usable, so nothing was sent");
	else
		req_refuse(r, ERR_INCOMPLETE, "too few shards answered");
}

/* A lookup asks one shard, which has to answer. */
static uint32_t min_coverage_permille(const struct req *r)
{
	if (r->request->op == OP_LOOKUP)
		return PERMILLE;
	return r->customer->contract.min_coverage_permille;
}

void gather_finish(struct req *r, int64_t now_us)
{
	scatter_detect_overload(r, now_us);
	scatter_detect_silence(r, now_us);
	if (r->err.code == ERR_OK && !r->shards)
		req_refuse(r, ERR_DEADLINE,
			   "the deadline passed before anything was sent");
	if (r->err.code == ERR_OK &&
	    merge_check_coverage(r->shard_count, r->answered_count,
				 min_coverage_permille(r)) != ERR_OK)
		refuse_unanswered(r);
	req_finish(r, now_us);
}

static void list_missing_shards(struct req *r, struct answer *a)
{
	uint32_t i;

	a->missing = util_alloc(r->shard_count - r->answered_count, NAME_BYTES);
	for (i = 0; i < r->shard_count; i++) {
		const struct shard_state *s = &r->shards[i];

		if (s->phase == SHARD_ANSWERED)
			continue;
		util_copy_str(a->missing[a->missing_count++], NAME_BYTES,
			      r->index->layout->shards[s->shard_pos].name);
	}
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct answer *a = r->answer;

	if (r->err.code != ERR_OK || !r->shards)
		return;
	a->shards_total = r->shard_count;
	a->shards_answered = r->answered_count;
	a->is_complete = r->answered_count == r->shard_count;
	util_copy_str(a->snapshot, sizeof(a->snapshot),
		      r->index->layout->snapshot);
	list_missing_shards(r, a);
	merge_hits(&r->hits, r->request->limit);
	merge_move_hits(&a->hits, &r->hits);
}

struct filter filter_gather(struct pipeline *p)
{
	return (struct filter){ "gather", enter, leave, p };
}

/* Rules of rollouts that need no state; see rollout.h. */
#include "controller/rollout.h"

#define STEP(permille) permille,
static const uint32_t steps[] = { ROLLOUT_STEPS(STEP) };
#undef STEP

int rollout_fence_ok_internal(uint64_t seen_fence, uint64_t fence)
{
	return fence == 0 || fence >= seen_fence;
}

uint32_t rollout_share_internal(const struct rollout_item *item, int is_bad)
{
	if (is_bad || item->state == ROLLOUT_ROLLED_BACK ||
	    item->state == ROLLOUT_ABORTED)
		return 0;
	return item->state == ROLLOUT_DONE ? PERMILLE : item->share_permille;
}

static uint32_t next_share(uint32_t share_permille)
{
	uint32_t i;

	for (i = 0; i < countof(steps); i++) {
		if (steps[i] > share_permille)
			return steps[i];
	}
	return PERMILLE;
}

int rollout_next_item_internal(const struct rollout_item *item, uint64_t fence,
			       int is_bad, int may_grow,
			       struct rollout_item *next)
{
	*next = *item;
	next->fence = fence;
	if (is_bad &&
	    (item->state == ROLLOUT_RUNNING || item->state == ROLLOUT_DONE)) {
		next->state = ROLLOUT_ROLLED_BACK;
		next->share_permille = 0;
		return 1;
	}
	if (item->state != ROLLOUT_RUNNING)
		return 0;
	/*
	 * A new leader writes the item with its own token first, so that writes
	 * of earlier leaders that are still under way fail.
	 */
	if (item->fence != fence)
		return 1;
	if (!may_grow)
		return 0;
	if (item->share_permille >= PERMILLE)
		next->state = ROLLOUT_DONE;
	next->share_permille = next_share(item->share_permille);
	return 1;
}

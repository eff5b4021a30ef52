#include "decide/extra_window.h"

#include <string.h>

#include "base/util.h"

/* One call, in thousandths. */
#define MILLI 1000

void extra_window_configure(struct extra_window *w, uint32_t earn_permille,
			    uint32_t slack_milli, int64_t from_us)
{
	w->earn_permille = earn_permille;
	w->slack_milli = slack_milli;
	w->slack_from_us = from_us;
}

/* Slot of the second at @now_us; empties the slots of seconds that are new. */
static uint32_t slot_of(struct extra_window *w, int64_t now_us)
{
	int64_t second = now_us / US_PER_S;
	int64_t cleared_s =
		util_max_i64(w->newest_s + 1, second - EXTRA_WINDOW_SLOTS + 1);

	for (; cleared_s <= second; cleared_s++) {
		w->requests[cleared_s % EXTRA_WINDOW_SLOTS] = 0;
		w->extras[cleared_s % EXTRA_WINDOW_SLOTS] = 0;
	}
	w->newest_s = util_max_i64(w->newest_s, second);
	return (uint32_t)(w->newest_s % EXTRA_WINDOW_SLOTS);
}

static uint32_t sum(const uint32_t *slots)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < EXTRA_WINDOW_SLOTS; i++)
		n += slots[i];
	return n;
}

/*
 * Extra calls allowed in the window, in thousandths; @slot is the present one.
 * The oldest slot lies partly outside the window. To be on the safe side, its
 * requests allow no extra calls here, while its extra calls count as used.
 */
static uint32_t allowed_milli(const struct extra_window *w, uint32_t slot,
			      int64_t now_us)
{
	uint32_t oldest = (slot + 1) % EXTRA_WINDOW_SLOTS;

	return (now_us < w->slack_from_us ? 0 : w->slack_milli) +
	       (sum(w->requests) - w->requests[oldest]) * w->earn_permille;
}

void extra_window_count_request(struct extra_window *w, int64_t now_us)
{
	w->requests[slot_of(w, now_us)]++;
}

int extra_window_may_spend(struct extra_window *w, int64_t now_us)
{
	uint32_t slot = slot_of(w, now_us);

	return (sum(w->extras) + 1) * MILLI <= allowed_milli(w, slot, now_us);
}

void extra_window_spend(struct extra_window *w, int64_t now_us)
{
	w->extras[slot_of(w, now_us)]++;
}

uint32_t extra_window_fill_permille(struct extra_window *w, int64_t now_us)
{
	uint32_t allowed = allowed_milli(w, slot_of(w, now_us), now_us);
	uint32_t used = sum(w->extras) * MILLI;

	if (!allowed || used >= allowed)
		return 0;
	return (uint32_t)((uint64_t)(allowed - used) * PERMILLE / allowed);
}

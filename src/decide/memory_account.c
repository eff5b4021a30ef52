#include "decide/memory_account.h"

#include "base/util.h"

/* Share of the limit up to which large messages are read. */
#define READ_PERMILLE 750
/* Bytes of unfinished answers without an account. */
#define UNFINISHED_DEFAULT (32 * 1048576)

void memory_hold_set(struct memory_hold *h, struct memory_account *a,
		     size_t bytes)
{
	memory_hold_release(h);
	if (!a || bytes < MEMORY_SMALL_BYTES)
		return;
	h->account = a;
	h->bytes = bytes;
	a->held_bytes += (int64_t)bytes;
}

void memory_hold_move(struct memory_hold *to, struct memory_hold *from)
{
	*to = *from;
	*from = (struct memory_hold){ 0 };
}

void memory_hold_release(struct memory_hold *h)
{
	if (h->account)
		h->account->held_bytes -= (int64_t)h->bytes;
	*h = (struct memory_hold){ 0 };
}

int memory_may_read(const struct memory_account *a, size_t bytes)
{
	return !a || bytes < MEMORY_SMALL_BYTES ||
	       a->held_bytes < a->limit_bytes / PERMILLE * READ_PERMILLE;
}

int memory_may_begin(const struct memory_account *a)
{
	return !a || a->held_bytes < a->limit_bytes;
}

size_t memory_unfinished_max(const struct memory_account *a)
{
	return a ? (size_t)a->limit_bytes / 2 : UNFINISHED_DEFAULT;
}

uint32_t memory_pick(const struct memory_claim *claims, uint32_t count,
		     uint32_t service_count)
{
	size_t *sums CLEANUP_FREE = util_alloc(service_count, sizeof(sums[0]));
	uint32_t best = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		sums[claims[i].service] += claims[i].bytes;
	for (i = 1; i < count; i++) {
		size_t sum = sums[claims[i].service];
		size_t best_sum = sums[claims[best].service];

		if (sum > best_sum ||
		    (claims[i].service == claims[best].service &&
		     claims[i].bytes > claims[best].bytes))
			best = i;
	}
	return best;
}

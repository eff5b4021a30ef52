#include "base/tmr.h"

#include "base/cutil.h"

struct tmr {
	struct tmr_sub **heap;
	uint32_t count;
	uint32_t cap;
	uint64_t order;
};

struct tmr *tmr_new(void)
{
	return cu_alloc(1, sizeof(struct tmr));
}

void tmr_free(struct tmr *t)
{
	if (!t)
		return;
	free(t->heap);
	free(t);
}

static int sub_before(const struct tmr_sub *a, const struct tmr_sub *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void heap_put(struct tmr *t, uint32_t i, struct tmr_sub *sub)
{
	t->heap[i] = sub;
	sub->pos = i + 1;
}

static void sift_up(struct tmr *t, uint32_t i)
{
	struct tmr_sub *sub = t->heap[i];

	while (i > 0) {
		uint32_t up = (i - 1) / 2;

		if (!sub_before(sub, t->heap[up]))
			break;
		heap_put(t, i, t->heap[up]);
		i = up;
	}
	heap_put(t, i, sub);
}

static void sift_down(struct tmr *t, uint32_t i)
{
	struct tmr_sub *sub = t->heap[i];

	for (;;) {
		uint32_t down = 2 * i + 1;

		if (down >= t->count)
			break;
		if (down + 1 < t->count &&
		    sub_before(t->heap[down + 1], t->heap[down]))
			down++;
		if (!sub_before(t->heap[down], sub))
			break;
		heap_put(t, i, t->heap[down]);
		i = down;
	}
	heap_put(t, i, sub);
}

void tmr_cancel(struct tmr *t, struct tmr_sub *sub)
{
	uint32_t i;
	struct tmr_sub *last;

	if (!sub->pos)
		return;
	i = sub->pos - 1;
	sub->pos = 0;
	last = t->heap[--t->count];
	if (last == sub)
		return;
	heap_put(t, i, last);
	sift_up(t, i);
	sift_down(t, last->pos - 1);
}

void tmr_arm(struct tmr *t, struct tmr_sub *sub, int64_t at_us, tmr_fn *fn,
	     void *ctx)
{
	tmr_cancel(t, sub);
	sub->at_us = at_us;
	sub->order = t->order++;
	sub->fn = fn;
	sub->ctx = ctx;
	if (t->count == t->cap) {
		t->cap = t->cap ? t->cap * 2 : 64;
		t->heap = cu_grow(t->heap, t->cap, sizeof(*t->heap));
	}
	heap_put(t, t->count, sub);
	t->count++;
	sift_up(t, t->count - 1);
}

int64_t tmr_next_us(const struct tmr *t)
{
	return t->count ? t->heap[0]->at_us : -1;
}

void tmr_run(struct tmr *t, int64_t now_us)
{
	while (t->count && t->heap[0]->at_us <= now_us) {
		struct tmr_sub *sub = t->heap[0];

		tmr_cancel(t, sub);
		sub->fn(sub->ctx, now_us);
	}
}

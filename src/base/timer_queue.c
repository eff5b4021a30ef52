#include "base/timer_queue.h"

#include "base/util.h"

struct timer_queue {
	struct timer_entry **heap;
	uint32_t count;
	uint32_t cap;
	uint64_t order;
};

struct timer_queue *timer_queue_new(void)
{
	return util_alloc(1, sizeof(struct timer_queue));
}

void timer_queue_free(struct timer_queue *t)
{
	if (!t)
		return;
	free(t->heap);
	free(t);
}

static int sub_before(const struct timer_entry *a, const struct timer_entry *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->order < b->order;
}

static void heap_put(struct timer_queue *t, uint32_t i, struct timer_entry *sub)
{
	t->heap[i] = sub;
	sub->armed_pos = i + 1;
}

static void sift_up(struct timer_queue *t, uint32_t i)
{
	struct timer_entry *sub = t->heap[i];

	while (i > 0) {
		uint32_t up = (i - 1) / 2;

		if (!sub_before(sub, t->heap[up]))
			break;
		heap_put(t, i, t->heap[up]);
		i = up;
	}
	heap_put(t, i, sub);
}

static void sift_down(struct timer_queue *t, uint32_t i)
{
	struct timer_entry *sub = t->heap[i];

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

void timer_queue_cancel(struct timer_queue *t, struct timer_entry *sub)
{
	uint32_t i;
	struct timer_entry *last;

	if (!sub->armed_pos)
		return;
	i = sub->armed_pos - 1;
	sub->armed_pos = 0;
	last = t->heap[--t->count];
	if (last == sub)
		return;
	heap_put(t, i, last);
	sift_up(t, i);
	sift_down(t, last->armed_pos - 1);
}

void timer_queue_arm(struct timer_queue *t, struct timer_entry *sub,
		     int64_t at_us, timer_fn *fn, void *ctx)
{
	timer_queue_cancel(t, sub);
	sub->due_us = at_us;
	sub->order = t->order++;
	sub->fn = fn;
	sub->ctx = ctx;
	if (t->count == t->cap) {
		t->cap = t->cap ? t->cap * 2 : 64;
		t->heap = util_grow(t->heap, t->cap, sizeof(*t->heap));
	}
	heap_put(t, t->count, sub);
	t->count++;
	sift_up(t, t->count - 1);
}

int64_t timer_queue_next_us(const struct timer_queue *t)
{
	return t->count ? t->heap[0]->due_us : -1;
}

void timer_queue_run(struct timer_queue *t, int64_t now_us)
{
	while (t->count && t->heap[0]->due_us <= now_us) {
		struct timer_entry *sub = t->heap[0];

		timer_queue_cancel(t, sub);
		sub->fn(sub->ctx, now_us);
	}
}

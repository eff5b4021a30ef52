#include "base/timer_queue.h"

#include "base/util.h"

struct timer_queue {
	/* Binary heap; the entry that is due first is at position 0. */
	struct timer_entry **heap;
	uint32_t count;
	uint32_t capacity;
	/* Number of the next arming. */
	uint64_t next_arm_order;
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

static int is_before(const struct timer_entry *a, const struct timer_entry *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->arm_order < b->arm_order;
}

static void heap_put(struct timer_queue *t, uint32_t i,
		     struct timer_entry *entry)
{
	t->heap[i] = entry;
	entry->armed_pos = i + 1;
}

static void sift_up(struct timer_queue *t, uint32_t i)
{
	struct timer_entry *entry = t->heap[i];

	while (i > 0) {
		uint32_t parent = (i - 1) / 2;

		if (!is_before(entry, t->heap[parent]))
			break;
		heap_put(t, i, t->heap[parent]);
		i = parent;
	}
	heap_put(t, i, entry);
}

static void sift_down(struct timer_queue *t, uint32_t i)
{
	struct timer_entry *entry = t->heap[i];

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= t->count)
			break;
		if (child + 1 < t->count &&
		    is_before(t->heap[child + 1], t->heap[child]))
			child++;
		if (!is_before(t->heap[child], entry))
			break;
		heap_put(t, i, t->heap[child]);
		i = child;
	}
	heap_put(t, i, entry);
}

void timer_queue_cancel(struct timer_queue *t, struct timer_entry *entry)
{
	uint32_t i;
	struct timer_entry *last;

	if (!entry->armed_pos)
		return;
	i = entry->armed_pos - 1;
	entry->armed_pos = 0;
	last = t->heap[--t->count];
	if (last == entry)
		return;
	heap_put(t, i, last);
	sift_up(t, i);
	sift_down(t, last->armed_pos - 1);
}

void timer_queue_arm(struct timer_queue *t, struct timer_entry *entry,
		     int64_t due_us, timer_fn *fn, void *ctx)
{
	timer_queue_cancel(t, entry);
	entry->due_us = due_us;
	entry->arm_order = t->next_arm_order++;
	entry->fn = fn;
	entry->ctx = ctx;
	if (t->count == t->capacity) {
		t->capacity = t->capacity ? t->capacity * 2 : 64;
		t->heap = util_grow(t->heap, t->capacity, sizeof(*t->heap));
	}
	heap_put(t, t->count, entry);
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
		struct timer_entry *entry = t->heap[0];

		timer_queue_cancel(t, entry);
		entry->fn(entry->ctx, now_us);
	}
}

#include "decide/topk.h"

#include <string.h>

struct topk {
	/* Records to keep. */
	uint32_t k;
	uint32_t count;
	/* Records that the heap has memory for. */
	uint32_t cap;
	/* Binary heap whose root is the smallest record kept. */
	char (*heap)[TOPK_RECORD_BYTES];
};

struct topk *topk_new(uint32_t k)
{
	struct topk *t = util_alloc(1, sizeof(*t));

	t->k = k;
	return t;
}

void topk_free(struct topk *t)
{
	if (!t)
		return;
	free(t->heap);
	free(t);
}

static int is_less(const struct topk *t, uint32_t a, uint32_t b)
{
	return memcmp(t->heap[a], t->heap[b], TOPK_RECORD_BYTES) < 0;
}

static void swap(struct topk *t, uint32_t a, uint32_t b)
{
	char tmp[TOPK_RECORD_BYTES];

	memcpy(tmp, t->heap[a], TOPK_RECORD_BYTES);
	memcpy(t->heap[a], t->heap[b], TOPK_RECORD_BYTES);
	memcpy(t->heap[b], tmp, TOPK_RECORD_BYTES);
}

static void sift_up(struct topk *t, uint32_t i)
{
	while (i > 0 && is_less(t, i, (i - 1) / 2)) {
		swap(t, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct topk *t, uint32_t i)
{
	for (;;) {
		uint32_t least = i;
		uint32_t child = 2 * i + 1;

		if (child < t->count && is_less(t, child, least))
			least = child;
		if (child + 1 < t->count && is_less(t, child + 1, least))
			least = child + 1;
		if (least == i)
			return;
		swap(t, i, least);
		i = least;
	}
}

static void push(struct topk *t, const char *record)
{
	if (t->count == t->cap) {
		t->cap = t->cap ? t->cap * 2 : 64;
		t->heap = util_grow(t->heap, t->cap, TOPK_RECORD_BYTES);
	}
	memcpy(t->heap[t->count], record, TOPK_RECORD_BYTES);
	sift_up(t, t->count++);
}

void topk_add(struct topk *t, const char *data, size_t len_bytes)
{
	size_t offset_bytes;

	for (offset_bytes = 0; offset_bytes + TOPK_RECORD_BYTES <= len_bytes;
	     offset_bytes += TOPK_RECORD_BYTES) {
		if (t->count < t->k) {
			push(t, data + offset_bytes);
		} else if (t->k && memcmp(data + offset_bytes, t->heap[0],
					  TOPK_RECORD_BYTES) > 0) {
			memcpy(t->heap[0], data + offset_bytes,
			       TOPK_RECORD_BYTES);
			sift_down(t, 0);
		}
	}
}

void topk_take(struct topk *t, struct buf *out)
{
	uint32_t count = t->count;
	uint32_t i;

	/* Heap sort: the root, the smallest record left, moves to the end. */
	while (t->count > 1) {
		t->count--;
		swap(t, 0, t->count);
		sift_down(t, 0);
	}
	for (i = 0; i < count; i++)
		buf_add(out, t->heap[i], TOPK_RECORD_BYTES);
	t->count = 0;
}

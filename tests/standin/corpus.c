#include "corpus.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/rng.h"

/* One in this many queries finds the document that all shards hold. */
#define COMMON_ONE_IN 8
/* First character of the ID of a document that all shards hold. */
#define COMMON_ID 'c'
/* There are few distinct scores, so that hits tie and are ordered by ID. */
#define SCORE_STEPS 64
#define SCORE_STEP 0.25
/* Holds three names and the JSON around them. */
#define DOC_BYTES 256

static uint64_t hash_add(uint64_t h, const char *text)
{
	return XXH64(text, strlen(text) + 1, h);
}

static char *doc_text(const char *index, const char *shard,
		      const char *snapshot)
{
	char text[DOC_BYTES];

	snprintf(text, sizeof(text),
		 "{\"index\":\"%s\",\"shard\":\"%s\",\"snapshot\":\"%s\"}",
		 index, shard, snapshot);
	return util_strdup(text);
}

static int hit_compare(const void *a, const void *b)
{
	const struct hit *x = a;
	const struct hit *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->id, y->id);
}

static void sort_hits(struct hits *h)
{
	if (h->count)
		qsort(h->items, h->count, sizeof(*h->items), hit_compare);
}

/* Moves the first @limit hits of @from to @out and frees the others. */
static void take_first(struct hits *from, uint32_t limit, struct hits *out)
{
	uint32_t i;

	for (i = 0; i < from->count; i++) {
		struct hit *h = &from->items[i];

		if (i >= limit)
			continue;
		hits_add(out, h->id, h->score, h->doc);
		h->doc = NULL;
	}
	hits_free(from);
}

/* Adds the hit that all shards have, if the query of @key finds it. */
static void add_common(uint64_t key, struct hits *out)
{
	struct rng r = { key };
	char id[NAME_BYTES];

	if (rng_below(&r, COMMON_ONE_IN) != 0)
		return;
	snprintf(id, sizeof(id), "%c%016" PRIx64, COMMON_ID, rng_u64(&r));
	hits_add(out, id, SCORE_STEP * rng_below(&r, SCORE_STEPS), NULL);
}

void corpus_search(const char *index, const char *shard, const char *snapshot,
		   const char *query, uint32_t limit, struct hits *out)
{
	uint64_t key = hash_add(hash_add(hash_add(0, index), snapshot), query);
	struct rng r = { hash_add(key, shard) };
	uint32_t count = rng_below(&r, CORPUS_SHARD_HITS_MAX);
	struct hits all CLEANUP(hits_free) = { 0 };
	char id[NAME_BYTES];
	uint32_t i;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "d%016" PRIx64, rng_u64(&r));
		hits_add(&all, id, SCORE_STEP * rng_below(&r, SCORE_STEPS),
			 NULL);
	}
	add_common(key, &all);
	sort_hits(&all);
	for (i = 0; i < all.count && i < limit; i++) {
		const struct hit *h = &all.items[i];
		const char *where = h->id[0] == COMMON_ID ? "all" : shard;

		hits_add(out, h->id, h->score,
			 doc_text(index, where, snapshot));
	}
}

void corpus_lookup(const char *index, const char *shard, const char *snapshot,
		   const char *record, struct hits *out)
{
	if (strncmp(record, "absent", strlen("absent")) == 0)
		return;
	hits_add(out, record, 1.0, doc_text(index, shard, snapshot));
}

void corpus_merge(const char *index, const char *const *shards, uint32_t count,
		  const char *snapshot, const char *query, uint32_t limit,
		  struct hits *out)
{
	struct hits all = { 0 };
	struct hits unique = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++)
		corpus_search(index, shards[i], snapshot, query, limit, &all);
	sort_hits(&all);
	for (i = 0; i < all.count; i++) {
		struct hit *h = &all.items[i];

		/* The same document has the same score, so it is adjacent. */
		if (i && strcmp(h->id, all.items[i - 1].id) == 0)
			continue;
		hits_add(&unique, h->id, h->score, h->doc);
		h->doc = NULL;
	}
	hits_free(&all);
	take_first(&unique, limit, out);
}

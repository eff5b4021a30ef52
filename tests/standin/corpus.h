/*
 * Documents of the target stand-ins. A shard's hits follow from the index, the
 * shard, the snapshot and the query alone, so a test can compute the answer
 * that a host must give. One in 8 queries also finds a document that all shards
 * hold and that a correct merge reports once.
 */
#ifndef STANDIN_CORPUS_H
#define STANDIN_CORPUS_H

#include <stdint.h>

#include "model/request.h"

/* Bound of the hits of one shard before the limit is applied. */
#define CORPUS_SHARD_HITS_MAX 20

/*
 * Adds at most @limit hits of one shard to @out, by descending score, then by
 * ID.
 */
void corpus_search(const char *index, const char *shard, const char *snapshot,
		   const char *query, uint32_t limit, struct hits *out);
/* Adds the hit for @record to @out; none if its name begins with "absent". */
void corpus_lookup(const char *index, const char *shard, const char *snapshot,
		   const char *record, struct hits *out);
/*
 * Fills @out with the merged answer of @count shards: sorted like the hits of
 * one shard, without duplicates, at most @limit hits.
 */
void corpus_merge(const char *index, const char *const *shards, uint32_t count,
		  const char *snapshot, const char *query, uint32_t limit,
		  struct hits *out);

#endif

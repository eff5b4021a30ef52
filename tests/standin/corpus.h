/*
 * Documents of the target stand-ins. A shard's hits depend only on the index,
 * the shard, the snapshot and the query, so an oracle can compute the answer
 * that a host must give. Every 8th query also finds one document that all
 * shards hold, which a correct merge reports once.
 */
#ifndef STANDIN_CORPUS_H
#define STANDIN_CORPUS_H

#include <stdint.h>

#include "model/request.h"

/* Hits of one shard before the limit, at most. */
#define CORPUS_SHARD_HITS_MAX 20

/* Adds at most @limit hits, sorted by descending score, then by ID. */
void corpus_search(const char *index, const char *shard, const char *snapshot,
		   const char *query, uint32_t limit, struct hits *out);
/* Adds one hit, or none for a record whose name begins with "absent". */
void corpus_lookup(const char *index, const char *shard, const char *snapshot,
		   const char *record, struct hits *out);
/*
 * The merged answer of @count shards: sorted, without duplicates, at most
 * @limit hits.
 */
void corpus_merge(const char *index, const char *const *shards, uint32_t count,
		  const char *snapshot, const char *query, uint32_t limit,
		  struct hits *out);

#endif

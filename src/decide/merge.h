/*
 * Checks the results of targets, merges their hits, and decides whether enough
 * shards answered.
 */
#ifndef MERGE_H
#define MERGE_H

#include <stdint.h>

#include "model/request.h"

/* Members of a sub-request that the target's result has to repeat. */
struct merge_expected {
	const char *request_id;
	uint64_t sub_id;
	const char *shard;
	const char *snapshot;
};

/*
 * ERR_TARGET_ID when @r belongs to another sub-request, request or shard;
 * ERR_TARGET_SNAPSHOT when the target searched another snapshot; else ERR_OK.
 */
enum err_code merge_check_result(const struct merge_expected *expected,
				 const struct subrequest_result *r);
/*
 * Checks an error that a target has answered to @sub_id. One with another ID
 * becomes ERR_TARGET_ID. Without an ID, on a connection that was used before, it
 * may be a second copy of an earlier error, so that "not run" is not certain.
 */
void merge_check_error(uint64_t sub_id, struct subrequest_result *r);
/* Moves all hits of @from to the end of @into; @from is empty afterwards. */
void merge_move_hits(struct hits *into, struct hits *from);
/*
 * Sorts @h by descending score, then by ID; of hits with the same ID the first
 * one stays, and of all hits the first @limit.
 */
void merge_hits(struct hits *h, uint32_t limit);
/*
 * ERR_OK when at least @min_coverage_permille of the shards answered, else
 * ERR_INCOMPLETE. It is ERR_INCOMPLETE for any minimum when there are shards
 * and none of them answered.
 */
enum err_code merge_check_coverage(uint32_t shards_total,
				   uint32_t shards_answered,
				   uint32_t min_coverage_permille);

#endif

/* Checks target answers, merges hits and decides what the caller is told. */
#ifndef MERGE_H
#define MERGE_H

#include <stdint.h>

#include "model/request.h"

/* What was sent, to be matched with what came back. */
struct merge_expected {
	const char *request_id;
	uint64_t sub_id;
	const char *shard;
	const char *snapshot;
};

/* ERR_OK, ERR_TARGET_ID or ERR_TARGET_SNAPSHOT. */
enum err_code merge_check_answer(const struct merge_expected *e,
				 const struct subrequest_result *r);
/* Moves all of @from into @into; @from is empty afterwards. */
void merge_move_hits(struct hits *into, struct hits *from);
/* Sorts by descending score, then ID; drops duplicates; cuts to @limit. */
void merge_hits(struct hits *h, uint32_t limit);
/* ERR_OK when the answer may be given, else ERR_INCOMPLETE. */
enum err_code merge_check_coverage(uint32_t shards_total,
				   uint32_t shards_answered,
				   uint32_t min_coverage_permille);

#endif

/* JSON of the target API (docs/INTERFACES.md, section 2). */
#ifndef TARGET_JSON_H
#define TARGET_JSON_H

#include <stdint.h>

#include "model/request.h"

/* Larger answers are refused with ERR_TARGET_SIZE. */
#define TARGET_JSON_BODY_BYTES_MAX 1048576

/*
 * Body of the sub-request or cancellation @msg, which the caller frees;
 * @deadline_ms is the time left until the deadline of a sub-request.
 */
char *target_json_encode(const struct subrequest_msg *msg,
			 uint32_t deadline_ms);
/* "/v1/search", "/v1/lookup" or "/v1/cancel". */
const char *target_json_path(const struct subrequest_msg *msg);
/*
 * Fills @r from the HTTP answer of a target: code, not_run, the IDs, shard,
 * snapshot and instance that the answer states, and the hits.
 */
void target_json_decode(struct subrequest_result *r, uint32_t http_status,
			const char *body, size_t body_bytes);

#endif

/* JSON of the target API (docs/INTERFACES.md, section 2). */
#ifndef TARGET_JSON_H
#define TARGET_JSON_H

#include <stdint.h>

#include "model/request.h"

/* Larger answers are refused with ERR_TARGET_SIZE. */
#define TARGET_JSON_BODY_BYTES_MAX 1048576

/* Body of @call as JSON text; @deadline_ms is the time left. */
char *target_json_encode(const struct subrequest_msg *call,
			 uint32_t deadline_ms);
/* "/v1/search", "/v1/lookup" or "/v1/cancel". */
const char *target_json_path(const struct subrequest_msg *call);
/*
 * Fills @r from an HTTP answer: code, not_run, the IDs that the answer states
 * and the hits.
 */
void target_json_decode(struct subrequest_result *r, uint32_t http_status,
			const char *body, size_t body_bytes);

#endif

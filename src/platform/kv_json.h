/* Decoding of the store's answers; used by kv_http.c and its tests. */
#ifndef KV_JSON_H
#define KV_JSON_H

#include <stdint.h>

#include "platform/kv.h"

/*
 * Fills @out from HTTP @status and @body, by call->op. A write whose answer is
 * not understood gives ERR_STORE_UNKNOWN, since it may have taken effect; any
 * other call ERR_STORE_ANSWER.
 */
void kv_json_decode(const struct kv_call *call, uint32_t status,
		    const char *body, size_t body_bytes, struct kv_result *out);
/* Bytes of @value as a JSON string; SIZE_MAX if it is not UTF-8. */
size_t kv_json_escaped_bytes(const char *value, size_t value_bytes);

#endif

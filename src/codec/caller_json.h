/* JSON of the caller API (docs/INTERFACES.md, section 1). */
#ifndef CALLER_JSON_H
#define CALLER_JSON_H

#include <stddef.h>

#include "model/request.h"

#define CALLER_JSON_BODY_BYTES_MAX 16384

/* Decodes a request body; NULL with @err set (ERR_BAD_JSON, ERR_BAD_FIELD). */
struct request *caller_json_decode(enum request_op op, const char *body,
				   size_t body_bytes, struct err *err);
/* Body of an answer or a refusal; the result is to be freed. */
char *caller_json_encode(const struct answer *a);
/*
 * Body of a refusal when no struct request could be made; the outcome is
 * always not_run. The result is to be freed.
 */
char *caller_json_encode_error(const struct err *err);

#endif

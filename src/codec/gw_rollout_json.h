/* JSON of the store document that records the progress of a rollout. */
#ifndef GW_ROLLOUT_JSON_H
#define GW_ROLLOUT_JSON_H

#include <stdint.h>

#include "base/err.h"
#include "model/gw_rollout.h"

/* The caller frees the result. */
char *gw_rollout_json_encode(const struct gw_rollout *r);
/* ERR_BAD_FIELD when a field is missing or out of range. */
enum err_code gw_rollout_json_decode(const char *service, const char *json,
				     uint32_t json_bytes,
				     struct gw_rollout *out, struct err *err);

#endif

/* JSON of the document in which the hosts keep how far a rollout is. */
#ifndef GROLLOUT_H
#define GROLLOUT_H

#include <stdint.h>

#include "base/err.h"
#include "model/gw_rollout.h"

/* The caller frees the result. */
char *grollout_encode(const struct gw_rollout *r);
enum err_code grollout_decode(const char *service, const char *json,
			      uint32_t json_bytes, struct gw_rollout *out,
			      struct err *err);

#endif

/* JSON of the entry that a host of the gateway keeps in the store. */
#ifndef GW_HOST_JSON_H
#define GW_HOST_JSON_H

#include <stdint.h>

#include "base/err.h"
#include "model/store_update.h"

/* The caller frees the result. */
char *gw_host_json_encode(const struct host_entry *h);
/*
 * Fills @out except its name. ERR_BAD_FIELD when a field is missing or out of
 * range; program versions that other hosts cannot follow write fewer fields.
 */
enum err_code gw_host_json_decode(const char *json, uint32_t json_bytes,
				  struct host_entry *out, struct err *err);

#endif

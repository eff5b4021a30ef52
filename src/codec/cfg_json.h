/*
 * JSON of the configuration documents in the store. Decoding errors are
 * ERR_BAD_JSON for text that is not a JSON object or has a field twice, and
 * ERR_CFG_FIELD with the field and its accepted range; unknown fields are
 * ignored. The cfg_json_encode_*() functions return text that the caller frees.
 */
#ifndef CFG_JSON_H
#define CFG_JSON_H

#include <jansson.h>

#include "model/config.h"
#include "model/contract.h"
#include "model/layout.h"

enum err_code cfg_json_decode_contract(const char *text, struct contract *out,
				       struct err *err);
char *cfg_json_encode_contract(const struct contract *c);

/* NULL with @err set when the text is refused. */
struct layout *cfg_json_decode_layout(const char *text, struct err *err);
char *cfg_json_encode_layout(const struct layout *l);

enum err_code cfg_json_decode_dc(const char *text, struct dc_item *out,
				 struct err *err);
char *cfg_json_encode_dc(const struct dc_item *d);
enum err_code cfg_json_decode_host(const char *text, struct host_item *out,
				   struct err *err);
char *cfg_json_encode_host(const struct host_item *h);
enum err_code cfg_json_decode_rollout(const char *text,
				      struct rollout_item *out,
				      struct err *err);
char *cfg_json_encode_rollout(const struct rollout_item *r);

/* NULL with @err set when the text is refused. */
struct cfg_head *cfg_json_decode_head(const char *text, struct err *err);
char *cfg_json_encode_head(const struct cfg_head *h);

/* One revision of an item: the fields name, rev, change, who and doc. */
struct cfg_item *cfg_json_decode_item(const char *text, struct err *err);
char *cfg_json_encode_item(const struct cfg_item *item);

/*
 * Checks the name of an item and its document @json: decodes the document as
 * the kind that the name begins with, and compares the name that it contains
 * with the item's. With @json NULL only the item's name is checked.
 */
enum err_code cfg_json_check_item(const char *name, const char *json,
				  struct err *err);

/* Helpers shared with the other JSON decoders of this folder. */
/* NULL with @err set when @text is not a JSON object or has a field twice. */
json_t *cfg_json_load(const char *text, struct err *err);
enum err_code cfg_json_get_text(const json_t *obj, const char *field, char *out,
				size_t size_bytes, struct err *err);
/*
 * Reads an integer from @lowest to @highest. A missing field has the value
 * @fallback; when that is negative, the field is required.
 */
enum err_code cfg_json_get_u64(const json_t *obj, const char *field,
			       uint64_t lowest, uint64_t highest,
			       int64_t fallback, uint64_t *out,
			       struct err *err);
enum err_code cfg_json_get_u32(const json_t *obj, const char *field,
			       uint32_t lowest, uint32_t highest,
			       int64_t fallback, uint32_t *out,
			       struct err *err);
/* Returns @obj as text and releases it. */
char *cfg_json_dump(json_t *obj);

#endif

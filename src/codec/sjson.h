/*
 * JSON of the documents in the store. Decoding errors are ERR_BAD_JSON for
 * text that is no JSON object and ERR_CFG_FIELD with the field and its
 * accepted range; unknown fields are ignored. The sjson_*_text() functions
 * return text that the caller frees.
 */
#ifndef SJSON_H
#define SJSON_H

#include <jansson.h>

#include "model/config.h"
#include "model/contract.h"
#include "model/layout.h"

enum err_code sjson_contract(const char *text, struct contract *out,
			     struct err *err);
char *sjson_contract_text(const struct contract *c);

/* NULL with @err set when the text is refused. */
struct layout *sjson_layout(const char *text, struct err *err);
char *sjson_layout_text(const struct layout *l);

enum err_code sjson_dc(const char *text, struct dc_item *out, struct err *err);
char *sjson_dc_text(const struct dc_item *d);
enum err_code sjson_host(const char *text, struct host_item *out,
			 struct err *err);
char *sjson_host_text(const struct host_item *h);
enum err_code sjson_rollout(const char *text, struct rollout_item *out,
			    struct err *err);
char *sjson_rollout_text(const struct rollout_item *r);

/* NULL with @err set when the text is refused. */
struct cfg_head *sjson_head(const char *text, struct err *err);
char *sjson_head_text(const struct cfg_head *h);

/* Stored form of one item revision: name, rev, change, who, doc. */
struct cfg_item *sjson_item(const char *text, struct err *err);
char *sjson_item_text(const struct cfg_item *item);

/*
 * Decodes and checks the document of item @name by its kind and compares the
 * document's own name with the item's.
 */
enum err_code sjson_check_item(const char *name, const char *json,
			       struct err *err);

/* Used by the parts of this codec only. */
json_t *sjson_load_internal(const char *text, struct err *err);
enum err_code sjson_text_internal(const json_t *obj, const char *field,
				  char *out, size_t size_bytes,
				  struct err *err);
/* @fallback negative: the field is required. */
enum err_code sjson_u64_internal(const json_t *obj, const char *field,
				 uint64_t lowest, uint64_t highest,
				 int64_t fallback, uint64_t *out,
				 struct err *err);
enum err_code sjson_u32_internal(const json_t *obj, const char *field,
				 uint32_t lowest, uint32_t highest,
				 int64_t fallback, uint32_t *out,
				 struct err *err);
char *sjson_dump_internal(json_t *obj);

#endif

#include "codec/cfg_json.h"

#include <inttypes.h>
#include <string.h>

json_t *cfg_json_load(const char *text, struct err *err)
{
	json_error_t error;
	json_t *obj = json_loads(text, JSON_REJECT_DUPLICATES, &error);

	if (!obj) {
		err_set(err, ERR_BAD_JSON, "line %d column %d: %s", error.line,
			error.column, error.text);
		return NULL;
	}
	if (!json_is_object(obj)) {
		err_set(err, ERR_BAD_JSON, "document is no JSON object");
		json_decref(obj);
		return NULL;
	}
	return obj;
}

enum err_code cfg_json_get_text(const json_t *obj, const char *field, char *out,
				size_t size_bytes, struct err *err)
{
	const char *text = json_string_value(json_object_get(obj, field));

	if (text && util_copy_str(out, size_bytes, text))
		return ERR_OK;
	return err_set(err, ERR_CFG_FIELD,
		       "%s is missing or too long, accepted text of up to %zu "
		       "bytes",
		       field, size_bytes - 1);
}

enum err_code cfg_json_get_u64(const json_t *obj, const char *field,
			       uint64_t lowest, uint64_t highest,
			       int64_t fallback, uint64_t *out, struct err *err)
{
	const json_t *v = json_object_get(obj, field);
	json_int_t n = json_integer_value(v);

	if (!v && fallback >= 0) {
		*out = (uint64_t)fallback;
		return ERR_OK;
	}
	if (json_is_integer(v) && n >= 0 && (uint64_t)n >= lowest &&
	    (uint64_t)n <= highest) {
		*out = (uint64_t)n;
		return ERR_OK;
	}
	return err_set(err, ERR_CFG_FIELD,
		       "%s is missing or out of range, accepted %" PRIu64
		       " to %" PRIu64,
		       field, lowest, highest);
}

enum err_code cfg_json_get_u32(const json_t *obj, const char *field,
			       uint32_t lowest, uint32_t highest,
			       int64_t fallback, uint32_t *out, struct err *err)
{
	uint64_t wide = 0;
	enum err_code code = cfg_json_get_u64(obj, field, lowest, highest,
					      fallback, &wide, err);

	*out = (uint32_t)wide;
	return code;
}

char *cfg_json_dump(json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);

	json_decref(obj);
	if (!text)
		abort();
	return text;
}

/* Reads the fields of document @obj into @out, which the caller has zeroed. */
typedef enum err_code cfg_json_read_fn(const json_t *obj, void *out,
				       struct err *err);

static enum err_code read_document(const char *text, cfg_json_read_fn *read,
				   void *out, size_t size_bytes,
				   struct err *err)
{
	json_t *obj = cfg_json_load(text, err);
	enum err_code code;

	memset(out, 0, size_bytes);
	if (!obj)
		return ERR_BAD_JSON;
	code = read(obj, out, err);
	json_decref(obj);
	return code;
}

static enum err_code read_indexes(const json_t *obj, struct contract *out,
				  struct err *err)
{
	const json_t *list = json_object_get(obj, "indexes");
	size_t n = json_array_size(list);
	size_t i;

	if (n < 1 || n > CONTRACT_INDEXES_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "indexes has %zu entries, accepted 1 to %u", n,
			       CONTRACT_INDEXES_MAX);
	for (i = 0; i < n; i++) {
		const char *s = json_string_value(json_array_get(list, i));

		if (!s || !util_copy_str(out->indexes[i], NAME_BYTES, s))
			return err_set(err, ERR_CFG_FIELD,
				       "indexes[%zu] is not valid, accepted a "
				       "name of 1 to 64 bytes",
				       i);
	}
	out->index_count = (uint32_t)n;
	return ERR_OK;
}

static enum err_code read_contract(const json_t *obj, void *ctx,
				   struct err *err)
{
	struct contract *out = ctx;
	enum err_code code = cfg_json_get_text(obj, "customer", out->customer,
					       sizeof(out->customer), err);

	if (code == ERR_OK)
		code = read_indexes(obj, out, err);
#define DEF(field, lowest, highest)                                       \
	if (code == ERR_OK)                                               \
		code = cfg_json_get_u32(obj, #field, lowest, highest, -1, \
					&out->field, err);
	CONTRACT_FIELDS(DEF)
#undef DEF
	return code == ERR_OK ? contract_check(out, err) : code;
}

enum err_code cfg_json_decode_contract(const char *text, struct contract *out,
				       struct err *err)
{
	return read_document(text, read_contract, out, sizeof(*out), err);
}

char *cfg_json_encode_contract(const struct contract *c)
{
	json_t *obj = json_object();
	json_t *list = json_array();
	uint32_t i;

	json_object_set_new(obj, "customer", json_string(c->customer));
	for (i = 0; i < c->index_count; i++)
		json_array_append_new(list, json_string(c->indexes[i]));
	json_object_set_new(obj, "indexes", list);
#define DEF(field, lowest, highest) \
	json_object_set_new(obj, #field, json_integer(c->field));
	CONTRACT_FIELDS(DEF)
#undef DEF
	return cfg_json_dump(obj);
}

static enum err_code read_state(const json_t *obj, uint32_t *is_out,
				struct err *err)
{
	const char *s = json_string_value(json_object_get(obj, "state"));

	*is_out = s && strcmp(s, "out") == 0;
	if (s && (*is_out || strcmp(s, "in") == 0))
		return ERR_OK;
	return err_set(err, ERR_CFG_FIELD,
		       "state is %s, accepted \"in\" or \"out\"",
		       s ? s : "missing");
}

static enum err_code read_dc(const json_t *obj, void *ctx, struct err *err)
{
	struct dc_item *out = ctx;
	enum err_code code = cfg_json_get_text(obj, "data_centre",
					       out->data_centre,
					       sizeof(out->data_centre), err);

	if (code == ERR_OK)
		code = read_state(obj, &out->is_out, err);
	return code == ERR_OK ? dc_item_check(out, err) : code;
}

enum err_code cfg_json_decode_dc(const char *text, struct dc_item *out,
				 struct err *err)
{
	return read_document(text, read_dc, out, sizeof(*out), err);
}

char *cfg_json_encode_dc(const struct dc_item *d)
{
	return cfg_json_dump(json_pack("{s:s,s:s}", "data_centre",
				       d->data_centre, "state",
				       d->is_out ? "out" : "in"));
}

static enum err_code read_host(const json_t *obj, void *ctx, struct err *err)
{
	struct host_item *out = ctx;
	enum err_code code = cfg_json_get_text(obj, "host", out->host,
					       sizeof(out->host), err);

	if (code == ERR_OK)
		code = read_state(obj, &out->is_out, err);
	return code == ERR_OK ? host_item_check(out, err) : code;
}

enum err_code cfg_json_decode_host(const char *text, struct host_item *out,
				   struct err *err)
{
	return read_document(text, read_host, out, sizeof(*out), err);
}

char *cfg_json_encode_host(const struct host_item *h)
{
	return cfg_json_dump(json_pack("{s:s,s:s}", "host", h->host, "state",
				       h->is_out ? "out" : "in"));
}

static enum err_code
read_rollout_state(const json_t *obj, struct rollout_item *out, struct err *err)
{
	const char *s = json_string_value(json_object_get(obj, "state"));

	out->state = rollout_state_from_name(s ? s : "");
	if (out->state != ROLLOUT_STATE_COUNT)
		return ERR_OK;
	return err_set(err, ERR_CFG_FIELD,
		       "state is %s, accepted \"running\", \"done\", "
		       "\"rolled_back\" or \"aborted\"",
		       s ? s : "missing");
}

static enum err_code read_reason(const json_t *obj, struct rollout_item *out,
				 struct err *err)
{
	if (!json_object_get(obj, "reason"))
		return ERR_OK;
	return cfg_json_get_text(obj, "reason", out->reason,
				 sizeof(out->reason), err);
}

static enum err_code read_rollout(const json_t *obj, void *ctx, struct err *err)
{
	struct rollout_item *out = ctx;
	enum err_code code = cfg_json_get_text(obj, "service", out->service,
					       sizeof(out->service), err);

	if (code == ERR_OK)
		code = cfg_json_get_text(obj, "from", out->from,
					 sizeof(out->from), err);
	if (code == ERR_OK)
		code = cfg_json_get_text(obj, "to", out->to, sizeof(out->to),
					 err);
	if (code == ERR_OK)
		code = cfg_json_get_u64(obj, "finish_by_ms", 0, INT64_MAX, -1,
					&out->finish_by_ms, err);
	if (code == ERR_OK)
		code = cfg_json_get_u32(obj, "share_permille", 0, PERMILLE, 0,
					&out->share_permille, err);
	if (code == ERR_OK)
		code = read_rollout_state(obj, out, err);
	if (code == ERR_OK)
		code = read_reason(obj, out, err);
	if (code == ERR_OK)
		code = cfg_json_get_u64(obj, "fence", 0, INT64_MAX, 0,
					&out->fence, err);
	return code == ERR_OK ? rollout_item_check(out, err) : code;
}

enum err_code cfg_json_decode_rollout(const char *text,
				      struct rollout_item *out, struct err *err)
{
	return read_document(text, read_rollout, out, sizeof(*out), err);
}

char *cfg_json_encode_rollout(const struct rollout_item *r)
{
	return cfg_json_dump(json_pack(
		"{s:s,s:s,s:s,s:I,s:i,s:s,s:s,s:I}", "service", r->service,
		"from", r->from, "to", r->to, "finish_by_ms",
		(json_int_t)r->finish_by_ms, "share_permille",
		(int)r->share_permille, "state", rollout_state_name(r->state),
		"reason", r->reason, "fence", (json_int_t)r->fence));
}

#include "codec/caller_json.h"

#include <jansson.h>
#include <string.h>

#define LIMIT_DEFAULT 10
#define TIMEOUT_MS_MAX 60000

static enum err_code read_name(const json_t *body, const char *field,
			       int required, char *out, struct err *err)
{
	const json_t *value = json_object_get(body, field);
	const char *text = json_string_value(value);

	if (!value && !required)
		return ERR_OK;
	if (!text || !util_name_ok(text, NAME_BYTES - 1))
		return err_set(err, ERR_BAD_FIELD,
			       "%s must be 1 to %d of A-Z a-z 0-9 . _ : -",
			       field, NAME_BYTES - 1);
	util_copy_str(out, NAME_BYTES, text);
	return ERR_OK;
}

static enum err_code read_number(const json_t *body, const char *field,
				 uint32_t lowest, uint32_t highest,
				 uint32_t *out, struct err *err)
{
	const json_t *value = json_object_get(body, field);
	json_int_t number = json_integer_value(value);

	if (!value)
		return ERR_OK;
	if (!json_is_integer(value) || number < lowest || number > highest)
		return err_set(err, ERR_BAD_FIELD,
			       "%s must be an integer from %u to %u", field,
			       lowest, highest);
	*out = (uint32_t)number;
	return ERR_OK;
}

static enum err_code read_query(const json_t *body, struct request *r,
				struct err *err)
{
	const char *text = json_string_value(json_object_get(body, "query"));

	if (!text || !text[0] || strlen(text) >= QUERY_BYTES_MAX)
		return err_set(err, ERR_BAD_FIELD,
			       "query must be a string of 1 to %d bytes",
			       QUERY_BYTES_MAX - 1);
	r->text = util_strdup(text);
	r->is_idempotent = 1;
	r->limit = LIMIT_DEFAULT;
	return read_number(body, "limit", 1, HITS_MAX, &r->limit, err);
}

static enum err_code read_record(const json_t *body, struct request *r,
				 struct err *err)
{
	const json_t *idempotent = json_object_get(body, "idempotent");
	char record[NAME_BYTES] = "";
	enum err_code code = read_name(body, "record", 1, record, err);

	if (code != ERR_OK)
		return code;
	if (!json_is_boolean(idempotent))
		return err_set(err, ERR_BAD_FIELD,
			       "idempotent must be true or false");
	r->text = util_strdup(record);
	r->is_idempotent = json_is_true(idempotent);
	r->limit = 1;
	if (!r->is_idempotent && !r->id[0])
		return err_set(err, ERR_BAD_FIELD,
			       "request_id is required when idempotent is "
			       "false");
	return ERR_OK;
}

static enum err_code read_request(const json_t *body, struct request *r,
				  struct err *err)
{
	enum err_code code = read_name(body, "customer", 1, r->customer, err);

	if (code == ERR_OK)
		code = read_name(body, "index", 1, r->index, err);
	if (code == ERR_OK)
		code = read_name(body, "request_id", 0, r->id, err);
	if (code == ERR_OK)
		code = read_number(body, "timeout_ms", 1, TIMEOUT_MS_MAX,
				   &r->timeout_ms, err);
	if (code != ERR_OK)
		return code;
	if (r->op == OP_SEARCH)
		return read_query(body, r, err);
	return read_record(body, r, err);
}

struct request *caller_json_decode(enum request_op op, const char *body,
				   size_t body_bytes, struct err *err)
{
	json_error_t where;
	json_t *root = json_loadb(body, body_bytes, 0, &where);
	struct request *r;

	if (!json_is_object(root)) {
		if (root)
			err_set(err, ERR_BAD_JSON, "not an object");
		else
			err_set(err, ERR_BAD_JSON, "line %d: %s", where.line,
				where.text);
		json_decref(root);
		return NULL;
	}
	r = util_alloc(1, sizeof(*r));
	r->op = op;
	if (read_request(root, r, err) != ERR_OK) {
		request_free(r);
		r = NULL;
	}
	json_decref(root);
	return r;
}

static json_t *encode_hits(const struct hits *hits)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < hits->count; i++) {
		const struct hit *h = &hits->items[i];
		json_t *hit =
			json_pack("{s:s,s:f}", "id", h->id, "score", h->score);
		json_t *doc = h->doc ? json_loads(h->doc, JSON_DECODE_ANY, NULL)
				     : NULL;

		if (doc)
			json_object_set_new(hit, "doc", doc);
		json_array_append_new(list, hit);
	}
	return list;
}

static void encode_answer(const struct answer *a, json_t *body)
{
	json_t *missing = json_array();
	uint32_t i;

	for (i = 0; i < a->missing_count; i++)
		json_array_append_new(missing, json_string(a->missing[i]));
	json_object_set_new(body, "snapshot", json_string(a->snapshot));
	json_object_set_new(body, "shards_total",
			    json_integer(a->shards_total));
	json_object_set_new(body, "shards_answered",
			    json_integer(a->shards_answered));
	json_object_set_new(body, "shards_missing", missing);
	json_object_set_new(body, "complete", json_boolean(a->is_complete));
	json_object_set_new(body, "hits", encode_hits(&a->hits));
}

static char *dump(json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return text ? text : util_strdup("{}");
}

char *caller_json_encode(const struct answer *a)
{
	json_t *body =
		json_pack("{s:i,s:s,s:s,s:s,s:I}", "code", (int)a->err.code,
			  "error", err_name(a->err.code), "outcome",
			  outcome_name(a->outcome), "request_id", a->request_id,
			  "elapsed_us", (json_int_t)a->elapsed_us);

	if (a->err.code == ERR_OK && !a->outcome_only)
		encode_answer(a, body);
	else if (a->err.code != ERR_OK)
		json_object_set_new(body, "detail", json_string(a->err.detail));
	return dump(body);
}

char *caller_json_encode_error(const struct err *err)
{
	return dump(json_pack("{s:i,s:s,s:s,s:s}", "code", (int)err->code,
			      "error", err_name(err->code), "detail",
			      err->detail, "outcome",
			      outcome_name(OUTCOME_NOT_RUN)));
}

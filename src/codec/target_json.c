#include "codec/target_json.h"

#include <jansson.h>
#include <string.h>

static json_t *encode_subrequest(const struct subrequest_msg *msg,
				 uint32_t deadline_ms)
{
	json_t *body = json_pack("{s:s,s:I,s:s,s:s,s:s,s:i}", "request_id",
				 msg->request_id, "sub_id",
				 (json_int_t)msg->sub_id, "index", msg->index,
				 "shard", msg->shard, "snapshot", msg->snapshot,
				 "deadline_ms", (int)deadline_ms);

	if (msg->op == OP_SEARCH) {
		json_object_set_new(body, "query", json_string(msg->text));
		json_object_set_new(body, "limit", json_integer(msg->limit));
	} else {
		json_object_set_new(body, "record", json_string(msg->text));
		json_object_set_new(body, "idempotent",
				    json_boolean(msg->is_idempotent));
	}
	return body;
}

char *target_json_encode(const struct subrequest_msg *msg, uint32_t deadline_ms)
{
	json_t *body;
	char *text;

	if (msg->is_cancel)
		body = json_pack("{s:s,s:I}", "request_id", msg->request_id,
				 "sub_id", (json_int_t)msg->sub_id);
	else
		body = encode_subrequest(msg, deadline_ms);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text ? text : util_strdup("{}");
}

const char *target_json_path(const struct subrequest_msg *msg)
{
	if (msg->is_cancel)
		return "/v1/cancel";
	return msg->op == OP_SEARCH ? "/v1/search" : "/v1/lookup";
}

static void copy_name(const json_t *body, const char *field, char *out)
{
	const char *text = json_string_value(json_object_get(body, field));

	/* A truncated name could equal another one; it is left empty. */
	if (text && !util_copy_str(out, NAME_BYTES, text))
		out[0] = '\0';
}

static int decode_hit(struct hits *hits, const json_t *hit)
{
	const char *id = json_string_value(json_object_get(hit, "id"));
	const json_t *score = json_object_get(hit, "score");
	json_t *doc = json_object_get(hit, "doc");

	if (!id || !id[0] || strlen(id) >= NAME_BYTES || !json_is_number(score))
		return 0;
	hits_add(hits, id, json_number_value(score),
		 doc ? json_dumps(doc, JSON_COMPACT) : NULL);
	return 1;
}

static enum err_code decode_answer(struct subrequest_result *r,
				   const json_t *body)
{
	const json_t *hits = json_object_get(body, "hits");
	size_t i;

	copy_name(body, "request_id", r->request_id);
	copy_name(body, "shard", r->shard);
	copy_name(body, "snapshot", r->snapshot);
	copy_name(body, "instance", r->instance);
	if (!json_is_array(hits) || json_array_size(hits) > HITS_MAX)
		return ERR_TARGET_JSON;
	for (i = 0; i < json_array_size(hits); i++) {
		if (!decode_hit(&r->hits, json_array_get(hits, i)))
			return ERR_TARGET_JSON;
	}
	return ERR_OK;
}

/*
 * 1 if "error" of the body is @error. Only a documented body shows that the
 * sub-request did not run: an intermediary can answer with the same status.
 */
static uint32_t has_error(const json_t *body, const char *error)
{
	const char *text = json_string_value(json_object_get(body, "error"));

	return text && strcmp(text, error) == 0;
}

static void decode_error(struct subrequest_result *r, uint32_t http_status,
			 const json_t *body)
{
	switch (http_status) {
	case 404:
		r->not_run = has_error(body, "snapshot_gone");
		r->code = r->not_run ? ERR_TARGET_SNAPSHOT : ERR_TARGET_STATUS;
		break;
	case 409:
		r->code = ERR_CANCELLED;
		r->not_run = has_error(body, "cancelled") &&
			     json_is_true(json_object_get(body, "not_run"));
		break;
	case 429:
		r->code = ERR_TARGET_SHED;
		r->not_run = has_error(body, "shed");
		break;
	case 503:
		r->not_run = has_error(body, "draining");
		r->code = r->not_run ? ERR_TARGET_DRAINING : ERR_TARGET_STATUS;
		break;
	case 504:
		r->code = ERR_TARGET_TIMEOUT;
		r->not_run = has_error(body, "deadline") &&
			     json_is_true(json_object_get(body, "not_run"));
		break;
	default:
		r->code = ERR_TARGET_STATUS;
		break;
	}
}

void target_json_decode(struct subrequest_result *r, uint32_t http_status,
			const char *body, size_t body_bytes)
{
	json_t *root = json_loadb(body ? body : "", body_bytes, 0, NULL);
	json_int_t sub_id = json_integer_value(json_object_get(root, "sub_id"));

	r->answer_sub_id = sub_id > 0 ? (uint64_t)sub_id : 0;
	if (http_status != 200)
		decode_error(r, http_status, root);
	else if (!json_is_object(root))
		r->code = ERR_TARGET_JSON;
	else
		r->code = decode_answer(r, root);
	json_decref(root);
}

#include "platform/kv_json.h"

#include <jansson.h>
#include <string.h>

#include "platform/kv_gate.h"

static void not_understood(const struct kv_call *call, const char *what,
			   struct kv_result *out)
{
	enum err_code code = kv_op_writes(call->op) ? ERR_STORE_UNKNOWN
						    : ERR_STORE_ANSWER;

	kv_result_clear(out);
	err_set(&out->err, code, "answer not understood: %s", what);
}

static int read_u64(const json_t *obj, const char *field, uint64_t *out)
{
	const json_t *v = json_object_get(obj, field);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return 0;
	*out = (uint64_t)json_integer_value(v);
	return 1;
}

static int read_pair(const json_t *obj, struct kv_pair *p)
{
	const char *key = json_string_value(json_object_get(obj, "key"));
	const json_t *value = json_object_get(obj, "value");
	size_t len_bytes = json_string_length(value);

	if (!key || !cu_copy(p->key, sizeof(p->key), key) ||
	    !read_u64(obj, "version", &p->version))
		return 0;
	if (json_is_null(value))
		return 1;
	if (!json_is_string(value) || len_bytes > KV_VALUE_BYTES_MAX)
		return 0;
	p->value = cu_alloc(len_bytes + 1, 1);
	memcpy(p->value, json_string_value(value), len_bytes);
	p->value_bytes = (uint32_t)len_bytes;
	return 1;
}

static int read_get(const struct kv_call *call, const json_t *obj,
		    struct kv_result *out)
{
	out->pairs = cu_alloc(1, sizeof(*out->pairs));
	out->pair_count = 1;
	if (!read_pair(obj, &out->pairs[0]) || !out->pairs[0].value)
		return 0;
	out->version = out->pairs[0].version;
	return strcmp(out->pairs[0].key, call->key) == 0;
}

static int read_watch(const struct kv_call *call, const json_t *obj,
		      struct kv_result *out)
{
	const json_t *list = json_object_get(obj, "pairs");
	size_t n = json_array_size(list);
	size_t i;

	if (!read_u64(obj, "version", &out->version))
		return 0;
	out->pairs = cu_alloc(n, sizeof(*out->pairs));
	out->pair_count = (uint32_t)n;
	for (i = 0; i < n; i++) {
		if (!read_pair(json_array_get(list, i), &out->pairs[i]) ||
		    strncmp(out->pairs[i].key, call->key, strlen(call->key)) !=
			    0)
			return 0;
	}
	return 1;
}

static int read_hosts(const char *body, size_t body_bytes, const json_t *obj,
		      struct kv_result *out)
{
	if (!body || !json_is_array(json_object_get(obj, "hosts")))
		return 0;
	out->pairs = cu_alloc(1, sizeof(*out->pairs));
	out->pair_count = 1;
	out->pairs[0].value = cu_alloc(body_bytes + 1, 1);
	memcpy(out->pairs[0].value, body, body_bytes);
	out->pairs[0].value_bytes = (uint32_t)body_bytes;
	return 1;
}

static int read_answer(const struct kv_call *call, const char *body,
		       size_t body_bytes, const json_t *obj,
		       struct kv_result *out)
{
	switch (call->op) {
	case KV_GET:
		return read_get(call, obj, out);
	case KV_CAS:
	case KV_DELETE:
		return read_u64(obj, "version", &out->version);
	case KV_WATCH:
		return read_watch(call, obj, out);
	case KV_LEASE_GRANT:
		return read_u64(obj, "lease", &out->lease) && out->lease > 0;
	case KV_HOSTS:
		return read_hosts(body, body_bytes, obj, out);
	case KV_LEASE_RENEW:
	case KV_LEASE_REVOKE:
		return 1;
	}
	return 0;
}

static void refuse(const struct kv_call *call, uint32_t status,
		   const json_t *obj, struct kv_result *out)
{
	switch (status) {
	case 404:
		err_set(&out->err, ERR_STORE_NOT_FOUND, "%s", call->key);
		return;
	case 409:
		read_u64(obj, "version", &out->version);
		err_set(&out->err, ERR_STORE_CONFLICT, "%s is at version %llu",
			call->key, (unsigned long long)out->version);
		return;
	case 410:
		err_set(&out->err, ERR_STORE_NOT_FOUND, "lease %llu expired",
			(unsigned long long)call->lease);
		return;
	case 413:
		err_set(&out->err, ERR_STORE_SIZE, "%s", call->key);
		return;
	case 429:
		err_set(&out->err, ERR_STORE_RATE, "refused by the store");
		return;
	case 503:
		err_set(&out->err, ERR_STORE_DOWN, "store answered 503");
		return;
	default:
		not_understood(call, "unexpected status", out);
	}
}

void kv_json_decode(const struct kv_call *call, uint32_t status,
		    const char *body, size_t body_bytes, struct kv_result *out)
{
	json_t *obj =
		json_loadb(body ? body : "", body_bytes, JSON_ALLOW_NUL, NULL);

	if (status != 200)
		refuse(call, status, obj, out);
	else if (!json_is_object(obj))
		not_understood(call, "no JSON object", out);
	else if (!read_answer(call, body, body_bytes, obj, out))
		not_understood(call, "field missing or out of range", out);
	json_decref(obj);
}

size_t kv_json_escaped_bytes(const char *value, size_t value_bytes)
{
	json_t *text = json_stringn(value, value_bytes);
	size_t n;

	if (!text)
		return SIZE_MAX;
	n = json_dumpb(text, NULL, 0, JSON_ENCODE_ANY);
	json_decref(text);
	return n;
}

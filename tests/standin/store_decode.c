/* Decodes the calls to the store stand-in. */
#include <string.h>

#include "store.h"

#define WATCH_MS_MAX 30000
#define LEASE_MS_MIN 100
#define LEASE_MS_MAX 86400000

/* Decodes a number of the query, 0 to @most; 1 and unchanged when absent. */
static int query_u64(const char *query, const char *name, uint64_t most,
		     uint64_t *out)
{
	char text[32];
	char *end;

	if (!http_query_value(query, name, text, sizeof(text)))
		return 1;
	if (!g_ascii_isdigit(text[0]))
		return 0;
	*out = strtoull(text, &end, 10);
	return *end == '\0' && *out <= most;
}

static int decode_key(struct store_call *c, const char *key)
{
	return kvs_key_ok(key) && util_copy_str(c->key, sizeof(c->key), key);
}

/* Decodes the key in the query field @name; only a prefix may be empty. */
static int query_key(struct store_call *c, const struct http_request *r,
		     const char *name)
{
	char text[KVS_KEY_BYTES_MAX + 1];

	if (!http_query_value(r->query, name, text, sizeof(text)))
		return 0;
	if (!text[0])
		return strcmp(name, "prefix") == 0;
	return decode_key(c, text);
}

static int decode_range(struct store_call *c, const struct http_request *r)
{
	return query_key(c, r, "prefix") &&
	       (!http_query_value(r->query, "after", c->page_after,
				  sizeof(c->page_after)) ||
		kvs_key_ok(c->page_after));
}

static int decode_watch(struct store_call *c, const struct http_request *r)
{
	uint64_t timeout_ms = WATCH_MS_MAX;

	if (!query_key(c, r, "prefix") ||
	    !query_u64(r->query, "after", UINT64_MAX - 1, &c->after) ||
	    !query_u64(r->query, "waitMs", WATCH_MS_MAX, &timeout_ms))
		return 0;
	c->timeout_ms = (uint32_t)timeout_ms;
	return 1;
}

/* Entry of the list @field; NULL unless it has exactly one. */
static const json_t *only_entry(const json_t *body, const char *field)
{
	const json_t *list = json_object_get(body, field);

	return json_array_size(list) == 1 ? json_array_get(list, 0) : NULL;
}

/*
 * Decodes the condition of a write or deletion: none, or one on the same key.
 */
static int decode_condition(struct store_call *c, const json_t *body)
{
	const json_t *expect = only_entry(body, "expect");
	const char *key = json_string_value(json_object_get(expect, "key"));
	const json_t *rev = json_object_get(expect, "rev");

	if (json_array_size(json_object_get(body, "expect")) == 0)
		return 1;
	if (!key || strcmp(key, c->key) != 0 || !json_is_integer(rev) ||
	    json_integer_value(rev) < 0)
		return 0;
	c->if_version = (uint64_t)json_integer_value(rev);
	return 1;
}

static int decode_value(struct store_call *c, const json_t *write)
{
	const char *value = json_string_value(json_object_get(write, "value"));
	const json_t *lease;
	gsize len = 0;

	if (!value)
		return 0;
	lease = json_object_get(write, "lease");
	c->lease = (uint64_t)json_integer_value(lease);
	c->value = (char *)g_base64_decode(value, &len);
	c->value_bytes = len;
	return 1;
}

/* Decodes a transaction of one write or one deletion. */
static int decode_txn(struct store_call *c, const struct http_request *r)
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);
	const json_t *write = only_entry(body, "writes");
	const json_t *key_json = write ? json_object_get(write, "key")
				       : only_entry(body, "delete");
	const char *key = json_string_value(key_json);
	int ok;

	c->op = write ? STORE_OP_PUT : STORE_OP_DELETE;
	ok = key && decode_key(c, key) && decode_condition(c, body) &&
	     (!write || decode_value(c, write));
	json_decref(body);
	return ok;
}

static int decode_grant(struct store_call *c, const struct http_request *r)
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);
	json_int_t ttl_ms = json_integer_value(json_object_get(body, "ttlMs"));

	json_decref(body);
	c->ttl_ms = (uint32_t)ttl_ms;
	return ttl_ms >= LEASE_MS_MIN && ttl_ms <= LEASE_MS_MAX;
}

/* Returns the part of @path after @prefix, NULL if @path begins otherwise. */
static const char *path_after(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) == 0 ? path + len : NULL;
}

static int decode_lease(struct store_call *c, const char *digits)
{
	char *end;

	if (!g_ascii_isdigit(digits[0]))
		return 0;
	c->lease = strtoull(digits, &end, 10);
	return *end == '\0';
}

static int decode_get(struct store_call *c, const struct http_request *r)
{
	if (strcmp(r->path, "/api/kv-key") == 0) {
		c->op = STORE_OP_GET;
		return query_key(c, r, "key");
	}
	if (strcmp(r->path, "/api/kv-range") == 0) {
		c->op = STORE_OP_RANGE;
		return decode_range(c, r);
	}
	if (strcmp(r->path, "/api/kv-watch") == 0) {
		c->op = STORE_OP_WATCH;
		return decode_watch(c, r);
	}
	c->op = STORE_OP_HOSTS;
	return strcmp(r->path, "/v1/hosts") == 0 ? 1 : STORE_NO_PATH;
}

static int decode_post(struct store_call *c, const struct http_request *r)
{
	const char *rest = path_after(r->path, "/api/kv-keep/");

	if (rest) {
		c->op = STORE_OP_RENEW;
		return decode_lease(c, rest);
	}
	if (strcmp(r->path, "/api/kv-txn") == 0)
		return decode_txn(c, r);
	c->op = STORE_OP_GRANT;
	if (strcmp(r->path, "/api/kv-lease") != 0)
		return STORE_NO_PATH;
	return decode_grant(c, r);
}

int store_decode(struct store_call *c, const struct http_request *r)
{
	const char *rest = path_after(r->path, "/api/kv-lease-end/");

	if (strcmp(r->method, "GET") == 0)
		return decode_get(c, r);
	if (strcmp(r->method, "POST") == 0)
		return decode_post(c, r);
	c->op = STORE_OP_REVOKE;
	if (strcmp(r->method, "DELETE") != 0 || !rest)
		return STORE_NO_PATH;
	return decode_lease(c, rest);
}

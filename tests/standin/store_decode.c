/* Decoding of the calls to the store stand-in. */
#include <string.h>

#include "store.h"

#define WATCH_MS_DEFAULT 30000
#define WATCH_MS_MAX 600000
#define LEASE_MS_MIN 100
#define LEASE_MS_MAX 86400000

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
	return kvs_key_ok(key) && cu_copy(c->key, sizeof(c->key), key);
}

static int decode_kv(struct store_call *c, const struct http_request *r,
		     const char *key)
{
	if (!decode_key(c, key) ||
	    !query_u64(r->query, "if_version", UINT64_MAX - 1,
		       &c->if_version) ||
	    !query_u64(r->query, "lease", UINT64_MAX - 1, &c->lease))
		return 0;
	if (c->op != SO_PUT)
		return 1;
	c->value = cu_alloc(r->body_bytes + 1, 1);
	memcpy(c->value, r->body, r->body_bytes);
	c->value_bytes = r->body_bytes;
	return g_utf8_validate(c->value, (gssize)c->value_bytes, NULL);
}

static int decode_watch(struct store_call *c, const struct http_request *r,
			const char *prefix)
{
	uint64_t timeout_ms = WATCH_MS_DEFAULT;

	if (prefix[0] && !decode_key(c, prefix))
		return 0;
	if (!query_u64(r->query, "after", UINT64_MAX - 1, &c->after) ||
	    !query_u64(r->query, "timeout_ms", WATCH_MS_MAX, &timeout_ms))
		return 0;
	c->timeout_ms = (uint32_t)timeout_ms;
	return 1;
}

static int decode_grant(struct store_call *c, const struct http_request *r)
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);
	json_int_t ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));

	json_decref(body);
	c->ttl_ms = (uint32_t)ttl_ms;
	return ttl_ms >= LEASE_MS_MIN && ttl_ms <= LEASE_MS_MAX;
}

/* Rest of @path after @prefix, or NULL. */
static const char *below(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) == 0 ? path + len : NULL;
}

/* Reads "ID" or "ID/renew"; @rest must follow the number. */
static int decode_lease(struct store_call *c, const char *at, const char *rest)
{
	char *end;

	if (!g_ascii_isdigit(at[0]))
		return 0;
	c->lease = strtoull(at, &end, 10);
	return strcmp(end, rest) == 0;
}

int store_decode(struct store_call *c, const struct http_request *r)
{
	int get = strcmp(r->method, "GET") == 0;
	int post = strcmp(r->method, "POST") == 0;
	int del = strcmp(r->method, "DELETE") == 0;
	int put = strcmp(r->method, "PUT") == 0;
	const char *rest;

	if ((rest = below(r->path, "/v1/kv/")) && !post) {
		c->op = get ? SO_GET : put ? SO_PUT : SO_DELETE;
		return (get || put || del) && decode_kv(c, r, rest);
	}
	if (get && (rest = below(r->path, "/v1/watch/"))) {
		c->op = SO_WATCH;
		return decode_watch(c, r, rest);
	}
	if (post && strcmp(r->path, "/v1/lease") == 0) {
		c->op = SO_GRANT;
		return decode_grant(c, r);
	}
	if ((post || del) && (rest = below(r->path, "/v1/lease/"))) {
		c->op = post ? SO_RENEW : SO_REVOKE;
		return decode_lease(c, rest, post ? "/renew" : "");
	}
	c->op = SO_HOSTS;
	return get && strcmp(r->path, "/v1/hosts") == 0 ? 1 : STORE_NO_PATH;
}

#include "fake_kv.h"

#include <string.h>

#define HEAD_KEY "cfg/head"

struct stored {
	uint64_t version;
	char *value;
};

static void free_stored(gpointer p)
{
	struct stored *s = p;

	free(s->value);
	free(s);
}

void fake_kv_init(struct fake_kv *f)
{
	memset(f, 0, sizeof(*f));
	f->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_stored);
	f->hosts = "{\"revision\":1,\"hosts\":[]}";
}

void fake_kv_clear(struct fake_kv *f)
{
	kv_request_free(f->watch);
	g_hash_table_destroy(f->keys);
}

static void reply(struct kv_request *r, const struct kv_result *result)
{
	struct kv_reply *answer = util_alloc(1, sizeof(*answer));
	struct msg m = { MSG_KV_REPLY, answer, NULL };

	answer->call_id = r->call_id;
	answer->op = r->call.op;
	answer->result = *result;
	g_assert_cmpint(ring_push(r->reply_to, &m), ==, ERR_OK);
	kv_request_free(r);
}

static void add_pair(struct kv_result *result, const char *key,
		     uint64_t version, const char *value)
{
	struct kv_pair *p = util_alloc(1, sizeof(*p));

	util_copy_str(p->key, sizeof(p->key), key);
	p->rev = version;
	p->value = util_strdup(value);
	p->value_bytes = (uint32_t)strlen(value);
	result->pairs = p;
	result->pair_count = 1;
}

static void get(struct fake_kv *f, struct kv_request *r)
{
	struct kv_result result = { 0 };
	const struct stored *s = g_hash_table_lookup(f->keys, r->call.key);

	if (s) {
		result.rev = s->version;
		add_pair(&result, r->call.key, s->version, s->value);
	} else {
		result.err.code = ERR_STORE_NOT_FOUND;
	}
	reply(r, &result);
}

/* Answers the open watch if the head is newer than the version of its call. */
static void try_watch(struct fake_kv *f)
{
	struct kv_result result = { .rev = f->revision };
	const struct stored *s = g_hash_table_lookup(f->keys, HEAD_KEY);
	struct kv_request *r = f->watch;

	if (!r || !s || s->version <= r->call.rev)
		return;
	add_pair(&result, HEAD_KEY, s->version, s->value);
	f->watch = NULL;
	reply(r, &result);
}

static void cas(struct fake_kv *f, struct kv_request *r)
{
	struct kv_result result = { 0 };
	const struct stored *s = g_hash_table_lookup(f->keys, r->call.key);
	struct stored *next;

	if ((s ? s->version : 0) != r->call.rev) {
		result.err.code = ERR_STORE_CONFLICT;
		reply(r, &result);
		return;
	}
	next = util_alloc(1, sizeof(*next));
	next->version = result.rev = ++f->revision;
	next->value = util_strdup(r->call.value);
	g_hash_table_replace(f->keys, g_strdup(r->call.key), next);
	reply(r, &result);
	try_watch(f);
}

void fake_kv_serve(struct fake_kv *f, struct kv_request *r)
{
	struct kv_result result = { 0 };

	if (f->down && r->call.op != KV_WATCH) {
		result.err.code = ERR_STORE_DOWN;
		reply(r, &result);
		return;
	}
	switch (r->call.op) {
	case KV_GET:
		get(f, r);
		return;
	case KV_CAS:
		cas(f, r);
		return;
	case KV_WATCH:
		kv_request_free(f->watch);
		f->watch = r;
		try_watch(f);
		return;
	case KV_HOST_LIST:
		add_pair(&result, "", 0, f->hosts);
		break;
	case KV_DELETE:
		g_hash_table_remove(f->keys, r->call.key);
		break;
	case KV_LEASE_GRANT:
		result.lease = FAKE_KV_LEASE;
		break;
	case KV_LEASE_RENEW:
	case KV_LEASE_REVOKE:
		break;
	}
	reply(r, &result);
}

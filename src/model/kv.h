/*
 * Driver interface of the store, the platform's key-value service. Controllers
 * and code that decides use only this header; the driver is platform/kv_http.c.
 * All calls are asynchronous: the result is passed to a callback on the thread
 * that runs the driver.
 */
#ifndef KV_H
#define KV_H

#include <stdint.h>

#include "base/err.h"

/* The store refuses larger values. */
#define KV_VALUE_BYTES_MAX 1048576
/* Longest key with the terminating NUL. */
#define KV_KEY_BYTES 257

enum kv_op {
	KV_GET,
	/* Writes the key if it is at revision kv_call.version; 0: if absent. */
	KV_CAS,
	/* Deletes the key if it is at revision kv_call.version. */
	KV_DELETE,
	/*
	 * Returns what changed below the prefix after store revision
	 * kv_call.version, once something did; with 0, returns all keys below
	 * the prefix at once.
	 */
	KV_WATCH,
	KV_LEASE_GRANT,
	KV_LEASE_RENEW,
	KV_LEASE_REVOKE,
	/* Reads the platform's host list; see host_list.h. */
	KV_HOST_LIST
};

struct kv_call {
	enum kv_op op;
	/* WATCH: the prefix. */
	char key[KV_KEY_BYTES];
	/*
	 * CAS, DELETE: expected revision of the key. WATCH: revision of the
	 * store after which changes are returned; 0: all keys.
	 */
	uint64_t rev;
	/* CAS: bytes to write, owned by the call. */
	char *value;
	uint32_t value_bytes;
	/*
	 * CAS: lease with which the key is to end, 0: none. LEASE_RENEW,
	 * LEASE_REVOKE: the lease.
	 */
	uint64_t lease;
	/* LEASE_GRANT: time to live. WATCH: longest wait for a change. */
	uint32_t ttl_ms;
	/*
	 * WATCH: 1 for a single call, whose result is passed on even if it
	 * failed or nothing changed; 0 to watch on until something changed.
	 */
	uint32_t is_one_shot;
	/*
	 * Longest time until the result. A listing in several pages has this
	 * time for each of them.
	 */
	uint32_t timeout_ms;
};

struct kv_pair {
	char key[KV_KEY_BYTES];
	/* Store revision that wrote or deleted the key. */
	uint64_t rev;
	/* NULL if the key was deleted. */
	char *value;
	uint32_t value_bytes;
};

/*
 * Result of a call. Its code is ERR_OK; ERR_BAD_FIELD (the call is not valid
 * and was not sent); ERR_STORE_NOT_FOUND (no such key or lease);
 * ERR_STORE_CONFLICT (version holds the key's revision, 0: the key does not
 * exist); ERR_STORE_UNKNOWN (a write may have taken effect); ERR_STORE_DOWN,
 * ERR_STORE_RATE, ERR_STORE_SIZE (a write certainly had no effect);
 * ERR_STORE_ANSWER (the answer to a call that writes nothing is not
 * understood); or ERR_STORE_HISTORY (the store no longer keeps the changes that
 * a WATCH asks for).
 */
struct kv_result {
	struct err err;
	/* Era that the store states (model/store_pos.h); 0: none, no answer. */
	uint64_t era;
	/* GET, CAS, DELETE: revision of the key. WATCH: that of the store. */
	uint64_t rev;
	/* WATCH: 1 if the pairs are all keys below the prefix. */
	uint32_t is_full;
	/*
	 * WATCH: entries that are not in the pairs, because they were not
	 * understood or their keys do not begin with the prefix.
	 */
	uint32_t skipped_count;
	/*
	 * WATCH: 1 if the store may hold more changes than the pairs, so that
	 * they do not show its present state; another call goes on from rev.
	 */
	uint32_t has_more;
	/*
	 * Used by the driver only: last key of a page of a listing that could be
	 * read, also of a skipped entry.
	 */
	char last_key[KV_KEY_BYTES];
	/* LEASE_GRANT: the new lease. */
	uint64_t lease;
	uint32_t pair_count;
	/*
	 * GET: one pair. WATCH: the changed pairs, or all if is_full is 1.
	 * HOST_LIST: one pair without a key, whose value is the list in JSON.
	 */
	struct kv_pair *pairs;
};

/* @result is valid during the call only. */
typedef void kv_done_fn(void *ctx, const struct kv_result *result);

struct kv_driver {
	/* Starts @call; takes ownership of call->value in every case. */
	void (*start)(void *driver_ctx, const struct kv_call *call,
		      kv_done_fn *done, void *done_ctx);
	void *driver_ctx;
};

void kv_result_clear(struct kv_result *r);

#endif

/*
 * Driver interface to the platform's key-value service. Decisions and
 * controllers know only this page; platform/kv_http.c is the driver. All calls are
 * asynchronous: the result comes through the callback, on the thread that
 * runs the driver.
 */
#ifndef KV_H
#define KV_H

#include <stdint.h>

#include "base/err.h"

/* The service refuses larger values. */
#define KV_VALUE_BYTES_MAX 1048576
#define KV_KEY_BYTES 257

enum kv_op {
	KV_GET,
	/* Write if the key's version equals @version; 0 means "must not exist". */
	KV_CAS,
	KV_DELETE,
	/*
	 * Returns when a key below the prefix changed after revision @version;
	 * with 0, all keys below it at once.
	 */
	KV_WATCH,
	KV_LEASE_GRANT,
	KV_LEASE_RENEW,
	KV_LEASE_REVOKE,
	/* Reads the lagging host list. */
	KV_HOST_LIST
};

struct kv_call {
	enum kv_op op;
	char key[KV_KEY_BYTES];
	/* CAS, DELETE: expected version. WATCH: last store revision seen. */
	uint64_t version;
	/* CAS: bytes to write, owned by the call. */
	char *value;
	uint32_t value_bytes;
	/* CAS: attach to this lease; LEASE_RENEW/REVOKE: the lease. 0: none. */
	uint64_t lease;
	/* LEASE_GRANT: time to live. WATCH: longest wait. */
	uint32_t ttl_ms;
	/*
	 * WATCH: 1 for a single call, whose result comes back even when it
	 * failed or nothing changed; 0 to go on until something changed.
	 */
	uint32_t is_one_shot;
	/* The result comes at the latest after this time. */
	uint32_t timeout_ms;
};

struct kv_pair {
	char key[KV_KEY_BYTES];
	uint64_t version;
	/* NULL when the key was deleted. */
	char *value;
	uint32_t value_bytes;
};

/*
 * ERR_OK; ERR_STORE_NOT_FOUND; ERR_STORE_CONFLICT (version holds the current
 * one); ERR_STORE_UNKNOWN (a write may have taken effect); ERR_STORE_DOWN,
 * ERR_STORE_RATE, ERR_STORE_SIZE (certainly no effect); ERR_STORE_ANSWER;
 * ERR_STORE_HISTORY (changes after the version of a WATCH are not kept).
 */
struct kv_result {
	struct err err;
	/* GET, CAS: version of the key. WATCH: store revision now. */
	uint64_t version;
	/* WATCH: 1 when the pairs are all keys below the prefix. */
	uint32_t is_full;
	/* WATCH: entries that could not be read, left out of the pairs. */
	uint32_t skipped_count;
	/* Internal to the driver: the listing goes on in another page. */
	uint32_t has_more;
	uint64_t lease;
	uint32_t pair_count;
	/* GET: one pair. WATCH: changed pairs. HOSTS: one pair, JSON text. */
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

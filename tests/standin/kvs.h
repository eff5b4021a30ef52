/*
 * Key-value state of the store stand-in: revisions, conditional writes, leases,
 * prefixes, and copies of the whole state, which can be restored. It contains
 * no encoding, and its callers pass the time.
 */
#ifndef STANDIN_KVS_H
#define STANDIN_KVS_H

#include <glib.h>
#include <stdint.h>

#include "base/err.h"

#define KVS_KEY_BYTES_MAX 256
#define KVS_VALUE_BYTES_MAX 1048576
/* Value of if_version for an unconditional write. */
#define KVS_ANY_VERSION UINT64_MAX

struct kvs_pair {
	/* Revision of the write or deletion that made this pair. */
	uint64_t version;
	/* ID of the lease that the key ends with; 0: none. */
	uint64_t lease;
	/*
	 * NULL: deleted; such a pair is kept so that watches see the deletion.
	 */
	char *value;
};

struct kvs_lease {
	uint64_t id;
	uint32_t ttl_ms;
	int64_t expires_us;
};

struct kvs {
	/* Number of the last write or deletion. */
	uint64_t revision;
	/* ID of the lease that was granted last. */
	uint64_t last_lease;
	/* key -> struct kvs_pair, in the order of the keys. */
	GTree *pairs;
	/* &lease.id -> struct kvs_lease */
	GHashTable *leases;
};

struct kvs *kvs_new(void);
void kvs_free(struct kvs *s);
struct kvs *kvs_copy(const struct kvs *s);

/* 1 if @key has 1 to KVS_KEY_BYTES_MAX bytes of a-z A-Z 0-9 . _ : / - */
int kvs_key_ok(const char *key);
/* NULL when there is no such key, or it was deleted. */
const struct kvs_pair *kvs_get(const struct kvs *s, const char *key);
/*
 * Writes @value if the key's version is @if_version (0: there is no such key).
 * ERR_OK with the new version in @version, ERR_STORE_CONFLICT with the present
 * one, ERR_STORE_SIZE, or ERR_STORE_NOT_FOUND for a lease that does not exist.
 */
enum err_code kvs_put(struct kvs *s, const char *key, const char *value,
		      size_t value_bytes, uint64_t if_version, uint64_t lease,
		      uint64_t *version);
/*
 * Deletes the key on the same condition. ERR_OK, ERR_STORE_NOT_FOUND or
 * ERR_STORE_CONFLICT, with @version as for kvs_put().
 */
enum err_code kvs_delete(struct kvs *s, const char *key, uint64_t if_version,
			 uint64_t *version);
/*
 * Calls @fn in the order of the keys for each pair, also a deleted one, whose
 * key begins with @prefix and whose version is above @after.
 */
void kvs_changed(const struct kvs *s, const char *prefix, uint64_t after,
		 void (*fn)(void *ctx, const char *key,
			    const struct kvs_pair *pair),
		 void *ctx);

/* Returns the ID of a new lease. */
uint64_t kvs_grant(struct kvs *s, uint32_t ttl_ms, int64_t now_us);
/*
 * Lets the lease end after its whole ttl_ms from @now_us on;
 * ERR_STORE_NOT_FOUND if it has ended.
 */
enum err_code kvs_renew(struct kvs *s, uint64_t lease, int64_t now_us);
/* Ends the lease and deletes its keys; ERR_STORE_NOT_FOUND if it has ended. */
enum err_code kvs_revoke(struct kvs *s, uint64_t lease);
/*
 * Ends the leases that are due, as kvs_revoke() does. Returns the time at which
 * the next one ends, or -1 without leases.
 */
int64_t kvs_expire(struct kvs *s, int64_t now_us);
/* Adds @by_us to the expiry of all leases, as a jump of the clock does. */
void kvs_shift_leases(struct kvs *s, int64_t by_us);

#endif

/*
 * Key-value model of the store stand-in: revisions, compare-and-swap, leases,
 * prefixes, and copies of the whole state to restore. It knows no encoding
 * and no clock.
 */
#ifndef STANDIN_KVS_H
#define STANDIN_KVS_H

#include <glib.h>
#include <stdint.h>

#include "base/err.h"

#define KVS_KEY_BYTES_MAX 256
#define KVS_VALUE_BYTES_MAX 1048576
/* if_version that writes whatever the present version is. */
#define KVS_ANY_VERSION UINT64_MAX

struct kvs_pair {
	uint64_t version;
	uint64_t lease;
	/* NULL once deleted; kept so that watches see the deletion. */
	char *value;
};

struct kvs_lease {
	uint64_t id;
	uint32_t ttl_ms;
	int64_t expires_us;
};

struct kvs {
	uint64_t revision;
	uint64_t last_lease;
	/* key -> struct kvs_pair; a tree, so that prefixes come in order. */
	GTree *pairs;
	/* &lease.id -> struct kvs_lease */
	GHashTable *leases;
};

struct kvs *kvs_new(void);
void kvs_free(struct kvs *s);
struct kvs *kvs_copy(const struct kvs *s);

int kvs_key_ok(const char *key);
/* NULL when there is no such key. */
const struct kvs_pair *kvs_get(const struct kvs *s, const char *key);
/*
 * ERR_OK with the new version in @version, ERR_STORE_CONFLICT with the present
 * one, ERR_STORE_SIZE, or ERR_STORE_NOT_FOUND for a lease that does not exist.
 */
enum err_code kvs_put(struct kvs *s, const char *key, const char *value,
		      size_t value_bytes, uint64_t if_version, uint64_t lease,
		      uint64_t *version);
/* ERR_OK, ERR_STORE_NOT_FOUND or ERR_STORE_CONFLICT. */
enum err_code kvs_delete(struct kvs *s, const char *key, uint64_t if_version,
			 uint64_t *version);
/* Calls @fn for each key below @prefix that is newer than @after. */
void kvs_changed(const struct kvs *s, const char *prefix, uint64_t after,
		 void (*fn)(void *ctx, const char *key,
			    const struct kvs_pair *pair),
		 void *ctx);

uint64_t kvs_grant(struct kvs *s, uint32_t ttl_ms, int64_t now_us);
enum err_code kvs_renew(struct kvs *s, uint64_t lease, int64_t now_us);
/* Ends the lease and deletes its keys. */
enum err_code kvs_revoke(struct kvs *s, uint64_t lease);
/* Ends the leases that are due; returns the time of the next, or -1. */
int64_t kvs_expire(struct kvs *s, int64_t now_us);
/* Moves the time of expiry of all leases, as a jump of the clock does. */
void kvs_shift_leases(struct kvs *s, int64_t by_us);

#endif

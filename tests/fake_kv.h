/*
 * Store in memory that answers MSG_KV_REQUEST messages at once, for tests of
 * other duties without the store duty.
 */
#ifndef FAKE_KV_H
#define FAKE_KV_H

#include <glib.h>

#include "duty/messages.h"

/* Lease that every grant returns; leases do not end. */
#define FAKE_KV_LEASE 7

struct fake_kv {
	/* Key to version and value (struct stored). */
	GHashTable *keys;
	/* Revision of the latest write; 0: none. */
	uint64_t revision;
	/* JSON text of the host list. */
	const char *hosts;
	/* 1 while every call except a watch fails with ERR_STORE_DOWN. */
	uint32_t down;
	/* Watch of the head that has no answer yet, or NULL. */
	struct kv_request *watch;
};

void fake_kv_init(struct fake_kv *f);
void fake_kv_clear(struct fake_kv *f);
/* Answers @r and frees it: at once, or for a watch when the head changes. */
void fake_kv_serve(struct fake_kv *f, struct kv_request *r);

#endif

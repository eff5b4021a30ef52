/*
 * Store in memory that answers MSG_KV_REQUEST messages on the spot, for tests of
 * duties without a store duty.
 */
#ifndef FAKE_KV_H
#define FAKE_KV_H

#include <glib.h>

#include "duty/messages.h"

#define FAKE_KV_LEASE 7

struct fake_kv {
	/* Key to version and value. */
	GHashTable *keys;
	uint64_t revision;
	/* JSON text of the host list. */
	const char *hosts;
	/* 1: every call but a watch fails with ERR_STORE_DOWN. */
	uint32_t down;
	/* Watch of the head that waits for a change. */
	struct kv_request *watch;
};

void fake_kv_init(struct fake_kv *f);
void fake_kv_clear(struct fake_kv *f);
/* Answers @r, now or when the head changes, and owns it. */
void fake_kv_serve(struct fake_kv *f, struct kv_request *r);

#endif

/*
 * One operator's call, handed from the admin duty to the control duty. The
 * admin duty checks the token and the size; the body is decoded by
 * codec/admin_json.c.
 */
#ifndef ADMIN_CALL_H
#define ADMIN_CALL_H

#include <stdint.h>

#include "base/err.h"

struct admin_call {
	/* "GET", "PUT", "POST" or "DELETE". */
	char method[8];
	/* Path below /admin/v1/, such as "contracts/blue-mahoe". */
	char path[256];
	/* JSON text or NULL. */
	char *body;
	/* Who asked: address of the client and the name it gave. */
	char who[128];
	/* Called once, on any thread; @json is copied during the call. */
	void (*reply)(void *ctx, uint32_t http_status, const char *json);
	void *reply_ctx;
};

void admin_call_free(struct admin_call *c);

#endif

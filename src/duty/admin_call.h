/*
 * One operator's call, handed from the admin port to the control duty. The
 * admin port checks the token and the size of the body; the body is decoded by
 * codec/admin_json.c.
 */
#ifndef ADMIN_CALL_H
#define ADMIN_CALL_H

#include <stdint.h>

#include "base/err.h"

struct admin_call {
	/* "GET", "PUT", "POST" or "DELETE". */
	char method[8];
	/* Path below /admin/v1/ and query: "contracts/blue?if_rev=7". */
	char path[256];
	/* JSON text, or NULL without a body. */
	char *body;
	/* NAME@ADDRESS of the client, with the name that it gave. */
	char who[128];
	/* Called once, on any thread; @json is copied during the call. */
	void (*reply)(void *ctx, uint32_t http_status, const char *json);
	void *reply_ctx;
};

void admin_call_free(struct admin_call *c);

#endif

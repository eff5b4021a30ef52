/*
 * Passes the control duty's reply to a suspended admin connection. It has two
 * owners, the connection and the admin_call in progress; the last one to drop
 * its reference frees it.
 */
#ifndef ADMIN_REPLY_H
#define ADMIN_REPLY_H

#include <stdint.h>

struct admin_reply;

/* @wake is called once with @ctx, on the thread that sets the reply. */
struct admin_reply *admin_reply_new(void (*wake)(void *ctx), void *ctx);
/* Drops the reference of one owner. */
void admin_reply_unref(struct admin_reply *r);
/*
 * Callback for admin_call.reply: admin_reply_try_set(), then drops the call's
 * reference to @reply.
 */
void admin_reply_set(void *reply, uint32_t http_status, const char *json);
/*
 * Keeps a copy of @json and calls @wake, unless a reply is set already. The
 * admin port calls it when it closes.
 */
void admin_reply_try_set(struct admin_reply *r, uint32_t http_status,
			 const char *json);
/* Returns 1 if a reply is set; @r keeps the ownership of @json. */
int admin_reply_get(struct admin_reply *r, uint32_t *http_status,
		    const char **json);

#endif

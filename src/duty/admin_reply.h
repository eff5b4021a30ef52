/*
 * The way back from control to a suspended admin connection. Two owners: the
 * connection and the admin_call under way; the last one frees it.
 */
#ifndef ADMIN_REPLY_H
#define ADMIN_REPLY_H

#include <stdint.h>

struct admin_reply;

/* @wake runs once, on the thread that replies, unless abandoned before. */
struct admin_reply *admin_reply_new(void (*wake)(void *ctx), void *ctx);
/* Drops one of the two owners. */
void admin_reply_unref(struct admin_reply *r);
/* As admin_call.reply: keeps a copy, wakes, and drops the call's owner. */
void admin_reply_set(void *reply, uint32_t http_status, const char *json);
/* Replies unless that was done; used when the port closes. */
void admin_reply_try_set(struct admin_reply *r, uint32_t http_status,
			 const char *json);
/* 1 when there is a reply; @json stays the reply's. */
int admin_reply_get(struct admin_reply *r, uint32_t *http_status,
		    const char **json);

#endif

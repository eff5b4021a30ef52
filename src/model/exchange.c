#include "model/exchange.h"

#include <stdatomic.h>

struct http_message *http_message_new(void)
{
	struct http_message *t = util_alloc(1, sizeof(*t));

	t->refs = 1;
	return t;
}

struct http_message *http_message_ref(struct http_message *t)
{
	atomic_fetch_add(&t->refs, 1);
	return t;
}

void http_message_unref(struct http_message *t)
{
	if (!t || atomic_fetch_sub(&t->refs, 1) != 1)
		return;
	free(t->uri);
	buf_free(&t->fields);
	buf_free(&t->body);
	free(t);
}

void exchange_request_free(struct exchange_request *r)
{
	if (!r)
		return;
	http_message_unref(r->message);
	free(r);
}

void exchange_answer_free(struct exchange_answer *a)
{
	if (!a)
		return;
	buf_free(&a->fields);
	buf_free(&a->body);
	buf_free(&a->part_stamps);
	free(a);
}

void target_call_free(struct target_call *c)
{
	if (!c)
		return;
	http_message_unref(c->message);
	free(c);
}

void target_reply_free(struct target_reply *r)
{
	if (!r)
		return;
	buf_free(&r->fields);
	buf_free(&r->body);
	free(r);
}

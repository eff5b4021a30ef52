#include "model/exchange.h"

#include <stdatomic.h>

struct http_message *http_message_new(void)
{
	struct http_message *m = util_alloc(1, sizeof(*m));

	m->refs = 1;
	return m;
}

struct http_message *http_message_ref(struct http_message *m)
{
	atomic_fetch_add(&m->refs, 1);
	return m;
}

void http_message_unref(struct http_message *m)
{
	if (!m || atomic_fetch_sub(&m->refs, 1) != 1)
		return;
	memory_hold_release(&m->hold);
	free(m->uri);
	buf_free(&m->fields);
	buf_free(&m->body);
	free(m);
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
	memory_hold_release(&a->hold);
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
	memory_hold_release(&r->hold);
	buf_free(&r->fields);
	buf_free(&r->body);
	free(r);
}

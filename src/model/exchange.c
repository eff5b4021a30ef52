#include "model/exchange.h"

#include <stdatomic.h>

struct request_text *request_text_new(void)
{
	struct request_text *t = cu_alloc(1, sizeof(*t));

	t->refs = 1;
	return t;
}

struct request_text *request_text_ref(struct request_text *t)
{
	atomic_fetch_add(&t->refs, 1);
	return t;
}

void request_text_unref(struct request_text *t)
{
	if (!t || atomic_fetch_sub(&t->refs, 1) != 1)
		return;
	free(t->target);
	buf_free(&t->fields);
	buf_free(&t->body);
	free(t);
}

void exchange_request_free(struct exchange_request *r)
{
	if (!r)
		return;
	request_text_unref(r->text);
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
	request_text_unref(c->text);
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

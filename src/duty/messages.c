#include "duty/messages.h"

#include <string.h>

void caller_request_free(struct caller_request *c)
{
	if (!c)
		return;
	request_free(c->request);
	free(c);
}

void kv_request_free(struct kv_request *r)
{
	if (!r)
		return;
	free(r->call.value);
	free(r);
}

void kv_reply_free(struct kv_reply *r)
{
	if (!r)
		return;
	kv_result_clear(&r->result);
	free(r);
}

void admin_call_free(struct admin_call *c)
{
	if (!c)
		return;
	free(c->body);
	free(c);
}

#include "model/forward_call.h"

#include "base/util.h"

void forward_call_free(struct forward_call *c)
{
	if (!c)
		return;
	exchange_request_free(c->request);
	free(c);
}

void forward_reply_free(struct forward_reply *r)
{
	if (!r)
		return;
	exchange_answer_free(r->answer);
	free(r);
}

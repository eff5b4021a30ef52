#include "codec/peer_msg_forward.h"

#include <string.h>

#include "codec/http1_head.h"

#define STATUS_MIN 200
#define STATUS_MAX 599

int peer_msg_from_forward(struct exchange_request *r, peer_forward *out)
{
	struct http_message *m = r->message;

	*out = (peer_forward){
		.config_version = r->config_version_min,
		.limit_ms = r->caller_timeout_ms,
		.goal_ms = r->goal_ms,
		.id = r->id,
		.host_name = r->host_name,
		.method = m->method,
		.uri = m->uri,
		.fields = { (u_int)m->fields.len_bytes, m->fields.data },
		.has_body = (u_int)m->has_body,
		.body = { (u_int)m->body.len_bytes, m->body.data },
	};
	return strlen(m->uri) + m->fields.len_bytes + m->body.len_bytes <=
	       PEER_FORWARD_MAX;
}

static struct http_message *read_message(const peer_forward *x)
{
	struct http_message *m = http_message_new();

	util_copy_str(m->method, sizeof(m->method), x->method);
	m->uri = util_strdup(x->uri);
	buf_add(&m->fields, x->fields.fields_val, x->fields.fields_len);
	m->has_body = (int)x->has_body;
	buf_add(&m->body, x->body.body_val, x->body.body_len);
	return m;
}

/* 1 if the texts of @x may be parts of the head of a call. */
static int head_ok(const peer_forward *x)
{
	return http1_token_ok(x->method) && http1_target_ok(x->uri) &&
	       http1_fields_ok(x->fields.fields_val, x->fields.fields_len);
}

/* 1 if @x may be the value of a header field. */
static int stamps_ok(const peer_forwarded *x)
{
	char *text CLEANUP_FREE =
		util_alloc((size_t)x->stamps.stamps_len + 1, 1);

	if (x->stamps.stamps_len)
		memcpy(text, x->stamps.stamps_val, x->stamps.stamps_len);
	return strlen(text) == x->stamps.stamps_len && http1_value_ok(text);
}

struct exchange_request *peer_msg_to_forward(const peer_forward *x,
					     struct err *err)
{
	struct exchange_request *r = util_alloc(1, sizeof(*r));

	r->message = read_message(x);
	r->is_forwarded = 1;
	r->config_version_min = x->config_version;
	r->caller_timeout_ms = x->limit_ms;
	r->goal_ms = x->goal_ms;
	if (x->id[0] && head_ok(x) && x->has_body <= 1 && x->limit_ms &&
	    util_copy_str(r->id, sizeof(r->id), x->id) &&
	    util_copy_str(r->host_name, sizeof(r->host_name), x->host_name))
		return r;
	err_set(err, ERR_PEER_MESSAGE, "forwarded request is not valid");
	exchange_request_free(r);
	return NULL;
}

void peer_msg_from_answer(const struct exchange_answer *a, peer_forwarded *out)
{
	*out = (peer_forwarded){
		.status = a->status,
		.code = (u_int)a->code,
		.retry_after_ms = a->retry_after_ms,
		.merged = (u_int)a->is_merged,
		.missing = a->missing_part_count,
		.stamps = { (u_int)a->part_stamps.len_bytes,
			    a->part_stamps.data },
		.body = { (u_int)a->body.len_bytes, a->body.data },
	};
}

struct exchange_answer *peer_msg_to_answer(const peer_forwarded *x,
					   struct err *err)
{
	struct exchange_answer *a;

	/* An answer is merged, or the refusal of the other host. */
	if (x->status < STATUS_MIN || x->status > STATUS_MAX || x->merged > 1 ||
	    (x->merged != 0) != (x->code == ERR_OK) || !stamps_ok(x)) {
		err_set(err, ERR_PEER_MESSAGE, "forwarded answer is not valid");
		return NULL;
	}
	a = util_alloc(1, sizeof(*a));
	a->status = x->status;
	a->code = (enum err_code)x->code;
	a->retry_after_ms = x->retry_after_ms;
	a->is_merged = (int)x->merged;
	a->missing_part_count = x->missing;
	buf_add(&a->part_stamps, x->stamps.stamps_val, x->stamps.stamps_len);
	buf_add(&a->body, x->body.body_val, x->body.body_len);
	return a;
}

#include "duty/caller_conn.h"

#include <string.h>

#include "platform/platform_http.h"

/* No more is read from a caller that has sent so much ahead of an answer. */
#define UNPARSED_BYTES_MAX 65536

void caller_conn_init(struct caller_conn *c)
{
	/* Those of each request are set when its first byte is read. */
	struct http1_limits limits = { 0, 0 };

	*c = (struct caller_conn){ .state = CALLER_CONN_READING };
	http1_init(&c->h1, HTTP1_REQUEST, &limits);
}

void caller_conn_clear(struct caller_conn *c)
{
	http1_clear(&c->h1);
	buf_free(&c->unparsed);
	buf_free(&c->out);
}

size_t caller_conn_held_bytes(const struct caller_conn *c)
{
	return http1_held_bytes(&c->h1) + c->unparsed.cap_bytes +
	       c->out.cap_bytes;
}

void caller_conn_received(struct caller_conn *c, const char *data, size_t len)
{
	if (c->state != CALLER_CONN_LINGERING && c->state != CALLER_CONN_CLOSED)
		buf_add(&c->unparsed, data, len);
}

int caller_conn_has_room(const struct caller_conn *c)
{
	return c->unparsed.len_bytes < UNPARSED_BYTES_MAX;
}

int caller_conn_is_idle(const struct caller_conn *c)
{
	return c->state == CALLER_CONN_READING && c->h1.state == HTTP1_IDLE;
}

int caller_conn_parse(struct caller_conn *c, const struct http1_limits *limits)
{
	size_t used;

	if (c->state != CALLER_CONN_READING || !c->unparsed.len_bytes)
		return 0;
	if (caller_conn_is_idle(c))
		c->h1.limits = *limits;
	used = http1_parse(&c->h1, c->unparsed.data, c->unparsed.len_bytes);
	memmove(c->unparsed.data, c->unparsed.data + used,
		c->unparsed.len_bytes - used);
	c->unparsed.len_bytes -= used;
	if (!c->unparsed.len_bytes)
		buf_reset(&c->unparsed);
	if (c->h1.state != HTTP1_COMPLETE && c->h1.state != HTTP1_BAD)
		return 0;
	c->state = CALLER_CONN_WAITING;
	return 1;
}

void caller_conn_answer(struct caller_conn *c, const struct exchange_answer *a,
			int is_last)
{
	/* Where a refused request ends is not known. */
	c->is_last = c->h1.state != HTTP1_COMPLETE ||
		     !http1_keep_alive(&c->h1) ||
		     (is_last && !c->unparsed.len_bytes);
	c->state = CALLER_CONN_WRITING;
	platform_answer_encode(a, c->is_last,
			       strcmp(http1_method(&c->h1), "HEAD") == 0,
			       &c->out);
}

const char *caller_conn_unsent(const struct caller_conn *c, size_t *len)
{
	*len = c->state == CALLER_CONN_WRITING
		       ? c->out.len_bytes - c->out_sent_bytes
		       : 0;
	return c->out.data + c->out_sent_bytes;
}

/* The answer was written; the caller may still be sending if it has more. */
static void end(struct caller_conn *c)
{
	int has_more = c->h1.state != HTTP1_COMPLETE ||
		       c->unparsed.len_bytes > 0;

	c->state = has_more ? CALLER_CONN_LINGERING : CALLER_CONN_CLOSED;
	buf_reset(&c->unparsed);
}

void caller_conn_written(struct caller_conn *c, size_t len, int is_last)
{
	c->out_sent_bytes += len;
	if (c->out_sent_bytes < c->out.len_bytes)
		return;
	buf_reset(&c->out);
	c->out_sent_bytes = 0;
	if (c->is_last || (is_last && !c->unparsed.len_bytes)) {
		end(c);
		return;
	}
	c->state = CALLER_CONN_READING;
	http1_reset(&c->h1);
}

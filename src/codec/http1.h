/*
 * Reader of HTTP/1.1 messages over http_parser: collects one message at a
 * time, reports where it ends in the bytes given, and keeps head and body in
 * memory. It gives header fields no meaning.
 */
#ifndef HTTP1_H
#define HTTP1_H

#include <http_parser.h>
#include <stdint.h>

#include "base/err.h"

#define HTTP1_FIELDS_MAX 96

enum http1_kind { HTTP1_REQUEST, HTTP1_RESPONSE };

enum http1_state {
	/* No byte of the next message was read. */
	HTTP1_IDLE,
	HTTP1_HEAD,
	HTTP1_BODY,
	HTTP1_COMPLETE,
	HTTP1_BAD
};

struct http1_limits {
	uint32_t head_bytes;
	uint32_t body_bytes;
};

/* Offsets of NUL-terminated strings in h1.text. */
struct http1_field {
	uint32_t name;
	uint32_t value;
};

struct http1_reader {
	http_parser parser;
	enum http1_kind kind;
	enum http1_state state;
	struct http1_limits limits;
	/* Set with HTTP1_BAD: ERR_BAD_FIELD, ERR_TOO_LARGE (head or body). */
	enum err_code error;
	/* With ERR_TOO_LARGE: 1 for the head, 0 for the body. */
	uint32_t head_too_large;
	/* Response to a HEAD request: no body follows. */
	uint32_t no_body;
	struct buf field_text;
	struct buf url;
	struct buf body;
	uint32_t field_count;
	struct http1_field fields[HTTP1_FIELDS_MAX];
	uint32_t head_bytes;
	uint32_t in_value;
};

void http1_init(struct http1_reader *h, enum http1_kind kind,
		const struct http1_limits *limits);
void http1_clear(struct http1_reader *h);
/* Prepares for the next message on the same connection. */
void http1_reset(struct http1_reader *h);
/*
 * Takes up to @len bytes; returns how many belong to this message. Stops at
 * its end (HTTP1_COMPLETE) or at an error (HTTP1_BAD).
 */
size_t http1_parse(struct http1_reader *h, const char *data, size_t len);
/* End of the stream; completes a response without a length. */
void http1_eof(struct http1_reader *h);

const char *http1_field_name(const struct http1_reader *h, uint32_t i);
const char *http1_field_value(const struct http1_reader *h, uint32_t i);
/* Value of the first field @name, compared without case, or NULL. */
const char *http1_find(const struct http1_reader *h, const char *name);
/* 1 if the connection may carry another message after this one. */
int http1_keep_alive(const struct http1_reader *h);
/* Request: "GET" and so on. */
const char *http1_method(const struct http1_reader *h);
/* Response: status code. */
uint32_t http1_status(const struct http1_reader *h);
/* 1 for fields that concern one connection or the framing only. */
int http1_is_hop_by_hop(const char *name);
const char *http1_reason_phrase(uint32_t status);

#endif

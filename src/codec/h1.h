/*
 * Reader of HTTP/1.1 messages over http_parser: collects one message at a
 * time, reports where it ends in the bytes given, and keeps head and body in
 * memory. It gives header fields no meaning.
 */
#ifndef H1_H
#define H1_H

#include <http_parser.h>
#include <stdint.h>

#include "base/err.h"

#define H1_FIELDS_MAX 96

enum h1_kind { H1_REQUEST, H1_RESPONSE };

enum h1_state {
	/* No byte of the next message was read. */
	H1_IDLE,
	H1_HEAD,
	H1_BODY,
	H1_COMPLETE,
	H1_BAD
};

struct h1_limits {
	uint32_t head_bytes;
	uint32_t body_bytes;
};

/* Offsets of NUL-terminated strings in h1.text. */
struct h1_field {
	uint32_t name;
	uint32_t value;
};

struct h1 {
	http_parser parser;
	enum h1_kind kind;
	enum h1_state state;
	struct h1_limits limits;
	/* Set with H1_BAD: ERR_BAD_FIELD, ERR_TOO_LARGE (head or body). */
	enum err_code error;
	/* With ERR_TOO_LARGE: 1 for the head, 0 for the body. */
	uint32_t head_too_large;
	/* Response to a HEAD request: no body follows. */
	uint32_t no_body;
	struct buf text;
	struct buf url;
	struct buf body;
	uint32_t field_count;
	struct h1_field fields[H1_FIELDS_MAX];
	uint32_t head_bytes;
	uint32_t in_value;
};

void h1_init(struct h1 *h, enum h1_kind kind, const struct h1_limits *limits);
void h1_clear(struct h1 *h);
/* Prepares for the next message on the same connection. */
void h1_reset(struct h1 *h);
/*
 * Takes up to @len bytes; returns how many belong to this message. Stops at
 * its end (H1_COMPLETE) or at an error (H1_BAD).
 */
size_t h1_read(struct h1 *h, const char *data, size_t len);
/* End of the stream; completes a response without a length. */
void h1_eof(struct h1 *h);

const char *h1_name(const struct h1 *h, uint32_t i);
const char *h1_value(const struct h1 *h, uint32_t i);
/* Value of the first field @name, compared without case, or NULL. */
const char *h1_find(const struct h1 *h, const char *name);
/* 1 if the connection may carry another message after this one. */
int h1_keep_alive(const struct h1 *h);
/* Request: "GET" and so on. */
const char *h1_method(const struct h1 *h);
/* Response: status code. */
uint32_t h1_status(const struct h1 *h);
/* 1 for fields that concern one connection or the framing only. */
int h1_is_hop_field(const char *name);
const char *h1_reason(uint32_t status);

#endif

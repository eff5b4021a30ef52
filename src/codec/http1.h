/*
 * Reader of HTTP/1.1 messages over http_parser: collects one message at a
 * time, reports where it ends in the bytes given, and keeps its head and body
 * in memory. It interprets only the header fields that frame a message.
 */
#ifndef HTTP1_H
#define HTTP1_H

#include <http_parser.h>
#include <stdint.h>

#include "base/err.h"

/* Status of a response that has no body and states no length. */
#define HTTP1_NO_CONTENT 204

enum http1_kind { HTTP1_REQUEST, HTTP1_RESPONSE };

enum http1_state {
	/* No byte of the next message was read. */
	HTTP1_IDLE,
	/* In the first line or the header fields. */
	HTTP1_HEAD,
	HTTP1_BODY,
	/* Nothing more is read until http1_reset(). */
	HTTP1_COMPLETE,
	/* The message was refused; http1_reader.error says why. */
	HTTP1_BAD
};

/*
 * Largest sizes accepted; the head counts as http1_reader.head_bytes. What else
 * belongs to a message, separators, blank lines and interim responses (1xx)
 * before it, chunk headers and extensions, has a bound of its own: four times
 * the limit on the head, eight times the body as far as it was read, and 16 KB.
 */
struct http1_limits {
	uint32_t head_bytes;
	uint32_t body_bytes;
};

/* Header field: offsets of NUL-terminated strings in field_text. */
struct http1_field {
	uint32_t name_offset;
	/* 0: the field has no value. */
	uint32_t value_offset;
};

struct http1_reader {
	http_parser parser;
	enum http1_kind kind;
	enum http1_state state;
	struct http1_limits limits;
	/*
	 * Reason of HTTP1_BAD: ERR_BAD_FIELD when the bytes are not valid
	 * HTTP/1.1, such as white space in the name of a field or before its
	 * colon, or a status that http1_status_ok() refuses, or switch to
	 * another protocol; ERR_TOO_LARGE for the head, the body, the framing,
	 * or too many interim responses; ERR_TARGET_CLOSED when the stream
	 * ended too early.
	 */
	enum err_code error;
	/* With ERR_TOO_LARGE: 1 for the head, else 0. */
	uint32_t head_too_large;
	/*
	 * Set by the user of the reader for the response to a HEAD request,
	 * which ends with its head.
	 */
	uint32_t is_head_response;
	/*
	 * Names and values of the header fields, without white space around
	 * them. Trailer fields are dropped.
	 */
	struct buf field_text;
	struct buf url;
	struct buf body;
	/* As many as the limit on the head allows. */
	uint32_t field_count;
	uint32_t field_capacity;
	struct http1_field *fields;
	/* Bytes of the URL and of field names and values read so far. */
	uint32_t head_bytes;
	/* 1 if the part of the head read last belongs to a field's value. */
	uint32_t in_value;
	/* Bytes read since http1_reset(), and interim responses among them. */
	uint64_t message_bytes;
	uint32_t interim_count;
};

void http1_init(struct http1_reader *h, enum http1_kind kind,
		const struct http1_limits *limits);
void http1_clear(struct http1_reader *h);
/* Memory that the reader holds for the message. */
size_t http1_held_bytes(const struct http1_reader *h);
/*
 * Prepares for the next message on the same connection. Keeps no more than a few
 * KB of memory.
 */
void http1_reset(struct http1_reader *h);
/*
 * Reads up to @len bytes and returns how many of them belong to the message.
 * Stops at its end (HTTP1_COMPLETE) or at an error (HTTP1_BAD). Informational
 * responses (1xx) are skipped.
 */
size_t http1_parse(struct http1_reader *h, const char *data, size_t len);
/*
 * Reports the end of the stream. It completes a response that gives no length;
 * any other message that is unfinished or has not begun becomes HTTP1_BAD with
 * ERR_TARGET_CLOSED.
 */
void http1_eof(struct http1_reader *h);

const char *http1_field_name(const struct http1_reader *h, uint32_t i);
const char *http1_field_value(const struct http1_reader *h, uint32_t i);
/* Value of the first field called @name in any letter case, or NULL. */
const char *http1_find(const struct http1_reader *h, const char *name);
/* 1 if the connection may carry another message after this one. */
int http1_keep_alive(const struct http1_reader *h);
/* Method of a request, such as "GET". */
const char *http1_method(const struct http1_reader *h);
/* Status code of a response. */
uint32_t http1_status(const struct http1_reader *h);
/*
 * 1 if @status is one of the five classes, 100 to 599, but 101: no request asks
 * for another protocol. A response with any other is no answer.
 */
int http1_status_ok(uint32_t status);
/*
 * 1 if a response with @status has a body, which may be empty; @is_head: to a
 * HEAD request. The response ends with its head otherwise, whatever length it
 * states (RFC 9112, section 6.3).
 */
int http1_has_body(int is_head, uint32_t status);
/*
 * 1 if a field Connection of the message names its field @i, which then concerns
 * only this connection (RFC 9110, section 7.6.1).
 */
int http1_is_nominated(const struct http1_reader *h, uint32_t i);
/* 1 if header field @name concerns only one connection or the framing. */
int http1_is_hop_by_hop(const char *name);
/* "Unknown" for a status code without a standard phrase. */
const char *http1_reason_phrase(uint32_t status);

#endif

/*
 * Forms of the texts in the head of an HTTP/1.1 message, and the functions that
 * write header fields. Text from another system is checked here before it
 * becomes part of a head, so that it cannot end a line or the head.
 */
#ifndef HTTP1_HEAD_H
#define HTTP1_HEAD_H

#include "base/err.h"

/* 1 if @text is a token: the name of a header field, or a method. */
int http1_token_ok(const char *text);
/* 1 if the @len bytes of @text hold no control character but tabs. */
int http1_text_ok(const char *text, size_t len);
/*
 * 1 if a receiver of a header field with @value reads the same text: it has no
 * control character but tabs and neither begins nor ends with white space. It
 * may be empty (RFC 9110, section 5.5).
 */
int http1_value_ok(const char *value);
/*
 * 1 if @target can be the request target of a first line: it is not empty and
 * has no white space or control character.
 */
int http1_target_ok(const char *target);
/*
 * 1 if the @len bytes at @data are header lines as http1_add_field() writes
 * them, or none. A value may have white space around it.
 */
int http1_fields_ok(const char *data, size_t len);
/*
 * Appends a header line. ERR_BAD_FIELD, and nothing is appended, if @name is no
 * token or if http1_value_ok() refuses @value.
 */
enum err_code http1_add_field(struct buf *out, const char *name,
			      const char *value);

#endif

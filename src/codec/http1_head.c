#include "codec/http1_head.h"

#include <string.h>

#define DELETE 0x7f

static int is_space(char c)
{
	return c == ' ' || c == '\t';
}

/* Bytes above 0x7f are no control characters: they may be UTF-8. */
static int is_control(char c)
{
	return (uint8_t)c < ' ' || c == DELETE;
}

int http1_token_ok(const char *text)
{
	static const char token[] = "!#$%&'*+-.^_`|~0123456789"
				    "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

	return text[0] && !text[strspn(text, token)];
}

int http1_text_ok(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (is_control(text[i]) && text[i] != '\t')
			return 0;
	}
	return 1;
}

int http1_value_ok(const char *value)
{
	size_t len = strlen(value);

	if (len && (is_space(value[0]) || is_space(value[len - 1])))
		return 0;
	return http1_text_ok(value, len);
}

int http1_target_ok(const char *target)
{
	size_t i;

	for (i = 0; target[i]; i++) {
		if (is_control(target[i]) || target[i] == ' ')
			return 0;
	}
	return i > 0;
}

/* 1 if @line, without the line break, is a header line. */
static int line_ok(char *line)
{
	char *colon = strchr(line, ':');

	if (!colon || colon[1] != ' ')
		return 0;
	*colon = '\0';
	/* Hosts of earlier builds leave white space behind a value. */
	return http1_token_ok(line) &&
	       http1_text_ok(colon + 2, strlen(colon + 2));
}

int http1_fields_ok(const char *data, size_t len)
{
	char *text CLEANUP_FREE = util_alloc(len + 1, 1);
	char *line = text;
	char *end;

	if (len)
		memcpy(text, data, len);
	/* A NUL would hide what follows it. */
	if (strlen(text) != len)
		return 0;
	for (end = strstr(line, "\r\n"); end; end = strstr(line, "\r\n")) {
		*end = '\0';
		if (!line_ok(line))
			return 0;
		line = end + 2;
	}
	return !line[0];
}

enum err_code http1_add_field(struct buf *out, const char *name,
			      const char *value)
{
	if (!http1_token_ok(name) || !http1_value_ok(value))
		return ERR_BAD_FIELD;
	buf_add(out, name, strlen(name));
	buf_add(out, ": ", 2);
	buf_add(out, value, strlen(value));
	buf_add(out, "\r\n", 2);
	return ERR_OK;
}

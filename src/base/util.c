#include "base/util.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void *util_alloc(size_t count, size_t size_bytes)
{
	void *p = calloc(count ? count : 1, size_bytes ? size_bytes : 1);

	if (!p)
		abort();
	return p;
}

void *util_grow(void *p, size_t count, size_t size_bytes)
{
	void *next = reallocarray(p, count ? count : 1, size_bytes);

	if (!next)
		abort();
	return next;
}

char *util_strdup(const char *s)
{
	size_t len_bytes = strlen(s) + 1;
	char *copy = util_alloc(len_bytes, 1);

	memcpy(copy, s, len_bytes);
	return copy;
}

int util_copy_str(char *dst, size_t size_bytes, const char *src)
{
	size_t len_bytes = strlen(src);
	size_t fit_bytes = len_bytes < size_bytes ? len_bytes : size_bytes - 1;

	memcpy(dst, src, fit_bytes);
	dst[fit_bytes] = '\0';
	return fit_bytes == len_bytes;
}

static int name_char_ok(char c)
{
	if (c >= 'a' && c <= 'z')
		return 1;
	if (c >= 'A' && c <= 'Z')
		return 1;
	if (c >= '0' && c <= '9')
		return 1;
	return c == '.' || c == '_' || c == ':' || c == '-';
}

int util_name_ok(const char *name, size_t max_bytes)
{
	size_t i;

	if (!name || !name[0])
		return 0;
	for (i = 0; name[i]; i++) {
		if (i >= max_bytes || !name_char_ok(name[i]))
			return 0;
	}
	return 1;
}

/* Space that buf_addf() reserves before it knows the length of the text. */
#define FORMAT_BYTES 128

static void buf_reserve(struct buf *b, size_t extra_bytes)
{
	size_t need_bytes = b->len_bytes + extra_bytes + 1;

	if (need_bytes <= b->cap_bytes)
		return;
	b->cap_bytes = need_bytes < 256 ? 256 : need_bytes * 2;
	b->data = util_grow(b->data, b->cap_bytes, 1);
}

void buf_add(struct buf *b, const void *data, size_t len_bytes)
{
	buf_reserve(b, len_bytes);
	if (len_bytes)
		memcpy(b->data + b->len_bytes, data, len_bytes);
	b->len_bytes += len_bytes;
	b->data[b->len_bytes] = '\0';
}

void buf_addf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	size_t space_bytes;
	int len;

	/* Most texts fit, so that they are formatted only once. */
	buf_reserve(b, FORMAT_BYTES);
	space_bytes = b->cap_bytes - b->len_bytes;
	va_start(ap, fmt);
	len = vsnprintf(b->data + b->len_bytes, space_bytes, fmt, ap);
	va_end(ap);
	if (len < 0)
		return;
	if ((size_t)len >= space_bytes) {
		buf_reserve(b, (size_t)len);
		va_start(ap, fmt);
		vsnprintf(b->data + b->len_bytes, (size_t)len + 1, fmt, ap);
		va_end(ap);
	}
	b->len_bytes += (size_t)len;
}

void buf_reset(struct buf *b)
{
	if (b->cap_bytes > BUF_KEPT_BYTES)
		buf_free(b);
	b->len_bytes = 0;
}

void buf_free(struct buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

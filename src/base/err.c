#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct err_row {
	enum err_code code;
	uint32_t http_status;
	const char *name;
	const char *text;
};

static const struct err_row err_rows[] = {
#define DEF(id, num, http, text) { id, http, #id, text },
	ERR_CODES(DEF)
#undef DEF
};

static const struct err_row *err_find(enum err_code code)
{
	size_t i;

	for (i = 0; i < countof(err_rows); i++) {
		if (err_rows[i].code == code)
			return &err_rows[i];
	}
	return NULL;
}

const char *err_name(enum err_code code)
{
	const struct err_row *row = err_find(code);

	return row ? row->name + strlen("ERR_") : "UNKNOWN";
}

const char *err_text(enum err_code code)
{
	const struct err_row *row = err_find(code);

	return row ? row->text : "unknown code";
}

uint32_t err_http_status(enum err_code code)
{
	const struct err_row *row = err_find(code);

	return row ? row->http_status : 500;
}

void err_each(void (*fn)(void *ctx, enum err_code code), void *ctx)
{
	size_t i;

	for (i = 0; i < countof(err_rows); i++)
		fn(ctx, err_rows[i].code);
}

enum err_code err_set(struct err *err, enum err_code code, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return code;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->detail, sizeof(err->detail), fmt, ap);
	va_end(ap);
	return code;
}

void err_clear(struct err *err)
{
	err->code = ERR_OK;
	err->detail[0] = '\0';
}

void err_print(FILE *out, const struct err *err)
{
	fprintf(out, "cowslippoint: %d %s: %s\n", (int)err->code,
		err_name(err->code), err->detail);
}

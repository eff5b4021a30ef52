#include "codec/xdr_text.h"

#include <stdlib.h>
#include <string.h>

#include "base/util.h"

/* Bytes after a value of @len_bytes that fill its last unit. */
static u_int padding_bytes(u_int len_bytes)
{
	u_int rest_bytes = len_bytes % BYTES_PER_XDR_UNIT;

	return rest_bytes ? BYTES_PER_XDR_UNIT - rest_bytes : 0;
}

static bool_t encode(XDR *xdrs, char *data, u_int len_bytes)
{
	static const char zeros[BYTES_PER_XDR_UNIT];
	u_int rest_bytes = padding_bytes(len_bytes);

	return xdr_u_int(xdrs, &len_bytes) &&
	       (!len_bytes || XDR_PUTBYTES(xdrs, data, len_bytes)) &&
	       (!rest_bytes || XDR_PUTBYTES(xdrs, zeros, rest_bytes));
}

/* Adds a NUL behind the value, which @len_bytes does not count. */
static bool_t decode(XDR *xdrs, char **data, u_int *len_bytes, u_int bytes_max)
{
	char padding[BYTES_PER_XDR_UNIT];
	u_int rest_bytes;

	if (!xdr_u_int(xdrs, len_bytes) || *len_bytes > bytes_max)
		return FALSE;
	if (!*data)
		*data = util_alloc((size_t)*len_bytes + 1, 1);
	(*data)[*len_bytes] = '\0';
	rest_bytes = padding_bytes(*len_bytes);
	return (!*len_bytes || XDR_GETBYTES(xdrs, *data, *len_bytes)) &&
	       (!rest_bytes || XDR_GETBYTES(xdrs, padding, rest_bytes));
}

static bool_t release(char **data)
{
	free(*data);
	*data = NULL;
	return TRUE;
}

bool_t xdr_text_string(XDR *xdrs, char **text, u_int bytes_max)
{
	u_int len_bytes = 0;

	switch (xdrs->x_op) {
	case XDR_ENCODE:
		if (!*text || strlen(*text) > bytes_max)
			return FALSE;
		return encode(xdrs, *text, (u_int)strlen(*text));
	case XDR_DECODE:
		return decode(xdrs, text, &len_bytes, bytes_max);
	default:
		return release(text);
	}
}

bool_t xdr_text_bytes(XDR *xdrs, char **data, u_int *len_bytes, u_int bytes_max)
{
	switch (xdrs->x_op) {
	case XDR_ENCODE:
		return *len_bytes <= bytes_max &&
		       encode(xdrs, *data, *len_bytes);
	case XDR_DECODE:
		return decode(xdrs, data, len_bytes, bytes_max);
	default:
		return release(data);
	}
}

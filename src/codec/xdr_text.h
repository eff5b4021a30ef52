/*
 * XDR strings and byte arrays for the messages between hosts. libtirpc's
 * xdr_string() and xdr_bytes() read the padding of each value into a static
 * buffer, which is a data race when several threads decode at the same time.
 * These have the same format and use only the memory that is passed to them.
 */
#ifndef XDR_TEXT_H
#define XDR_TEXT_H

#include <rpc/rpc.h>

/*
 * Like xdr_string(): a string of at most @bytes_max bytes. Decoding allocates
 * *@text if it is NULL; XDR_FREE frees it. Returns FALSE if the value is longer
 * or is cut off.
 */
bool_t xdr_text_string(XDR *xdrs, char **text, u_int bytes_max);
/* Like xdr_bytes(): the same for @len_bytes bytes of any value. */
bool_t xdr_text_bytes(XDR *xdrs, char **data, u_int *len_bytes,
		      u_int bytes_max);

/* The code that rpcgen generates uses libtirpc's names. */
#define xdr_string xdr_text_string
#define xdr_bytes xdr_text_bytes

#endif

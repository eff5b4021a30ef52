/* JSON of the store document of a claim: {"token","outcome"}. */
#ifndef CLAIM_JSON_H
#define CLAIM_JSON_H

#include <stddef.h>

#include "decide/once.h"

/* The caller frees the result. */
char *claim_json_encode(const struct once_claim *c);
/* Returns 0 when @text is not a claim. */
int claim_json_decode(struct once_claim *c, const char *text,
		      size_t text_bytes);

#endif

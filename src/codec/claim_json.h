/* JSON of a claim's store document: {"token","outcome"}. */
#ifndef CLAIM_JSON_H
#define CLAIM_JSON_H

#include <stddef.h>

#include "decide/once.h"

char *claim_json_encode(const struct once_claim *c);
/* Returns 1, or 0 when @text is not a claim. */
int claim_json_decode(struct once_claim *c, const char *text,
		      size_t text_bytes);

#endif

/* JSON of a claim's store document: {"token","outcome"}. */
#ifndef OJSON_H
#define OJSON_H

#include <stddef.h>

#include "decide/once.h"

char *ojson_encode(const struct once_claim *c);
/* Returns 1, or 0 when @text is not a claim. */
int ojson_decode(struct once_claim *c, const char *text, size_t text_bytes);

#endif

/* The k greatest of any number of binary records, compared byte by byte. */
#ifndef TOPK_H
#define TOPK_H

#include <stddef.h>
#include <stdint.h>

#include "base/util.h"

#define TOPK_RECORD_BYTES 16

struct topk;

/* Empty collection that keeps the @k greatest of the records added. */
struct topk *topk_new(uint32_t k);
void topk_free(struct topk *t);
/* Adds the records in @data; a shorter remainder at its end is ignored. */
void topk_add(struct topk *t, const char *data, size_t len_bytes);
/* Appends the records that @t kept to @out, greatest first; empties @t. */
void topk_take(struct topk *t, struct buf *out);

#endif

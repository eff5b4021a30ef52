/* Merge of binary records: the greatest ones, compared byte by byte. */
#ifndef TOPK_H
#define TOPK_H

#include <stddef.h>
#include <stdint.h>

#include "base/util.h"

#define TOPK_RECORD_BYTES 16

struct topk;

/* Keeps the @k greatest records. */
struct topk *topk_new(uint32_t k);
void topk_free(struct topk *t);
/* Adds whole records; a shorter remainder is not a record. */
void topk_add(struct topk *t, const char *data, size_t len_bytes);
/* Appends the records kept, greatest first; empties @t. */
void topk_take(struct topk *t, struct buf *out);

#endif

/* Small helpers that every module uses. */
#ifndef UTIL_H
#define UTIL_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#define countof(a) (sizeof(a) / sizeof((a)[0]))
#define container_of(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

/* Calls @fn with the address of the variable when it goes out of scope. */
#define CLEANUP(fn) __attribute__((cleanup(fn)))
#define CLEANUP_FREE CLEANUP(util_free_cleanup)
#define MUST_CHECK __attribute__((warn_unused_result))
#define PRINTF_LIKE(fmt, args) __attribute__((format(printf, fmt, args)))

#define US_PER_MS 1000
#define US_PER_S 1000000
#define MS_PER_S 1000
#define PERMILLE 1000

static inline void util_free_cleanup(void *p)
{
	free(*(void **)p);
}

static inline int64_t util_min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static inline int64_t util_max_i64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static inline uint32_t util_min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static inline uint32_t util_max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Returns zeroed memory; aborts if there is none, as no caller could go on. */
void *util_alloc(size_t count, size_t size_bytes);
/* Resizes @p to @count elements; aborts if there is no memory. */
void *util_grow(void *p, size_t count, size_t size_bytes);
char *util_strdup(const char *s);
/* Copies at most @size_bytes - 1 bytes; returns 0 if @src was cut, else 1. */
int util_copy_str(char *dst, size_t size_bytes, const char *src);
/* 1 if @name is 1 to @max_bytes of a-z A-Z 0-9 . _ : -, else 0. */
int util_name_ok(const char *name, size_t max_bytes);

/* Growable byte buffer; NUL-terminated once something was added. */
struct buf {
	char *data;
	size_t len_bytes;
	size_t cap_bytes;
};

void buf_add(struct buf *b, const void *data, size_t len_bytes);
void buf_addf(struct buf *b, const char *fmt, ...) PRINTF_LIKE(2, 3);
void buf_free(struct buf *b);
/*
 * Empties the buffer. Memory of more than BUF_KEPT_BYTES is freed, so that an
 * idle owner does not hold that of the largest content it ever had.
 */
void buf_reset(struct buf *b);
#define BUF_KEPT_BYTES 4096
#define CLEANUP_BUF CLEANUP(buf_free)

#endif

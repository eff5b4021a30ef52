/*
 * At most once: the claim of a request ID in the store. The store is the
 * arbiter; this module only decides from its answers. A claim is created if
 * absent, or taken over from a claim that is known not to have run.
 */
#ifndef ONCE_H
#define ONCE_H

#include <stdint.h>

#include "base/err.h"
#include "model/request.h"

enum claim_result {
	/* The request ID was free and now belongs to this request. */
	CLAIM_GRANTED,
	/* The request ID was claimed before. */
	CLAIM_TAKEN,
	/* Certainly not claimed: no store, or no budget for the write. */
	CLAIM_UNAVAILABLE,
	/* The write may have taken effect and could not be read back. */
	CLAIM_UNKNOWN
};

/* Store document of a claim. */
struct once_claim {
	/* Unique per attempt; tells an own claim from another's. */
	char token[NAME_BYTES];
	enum outcome outcome;
};

enum once_step {
	/* Write the claim with the version in once.version. */
	ONCE_WRITE,
	/* Read the claim's key. */
	ONCE_READ,
	/* The result is decided. */
	ONCE_END
};

struct once {
	uint64_t version;
	uint32_t reads;
	enum claim_result result;
	char token[NAME_BYTES];
};

/* The first step is always ONCE_WRITE. */
void once_init(struct once *o, const char *token);
/* Result of the write; @code as from the store driver. */
enum once_step once_on_write(struct once *o, enum err_code code,
			     uint64_t version);
/*
 * Result of the read. @claim is NULL unless @code is ERR_OK and the document
 * could be decoded.
 */
enum once_step once_on_read(struct once *o, enum err_code code,
			    uint64_t version, const struct once_claim *claim);

#endif

/*
 * Claim of a request ID in the store, so that a request with this ID runs at
 * most once. The claim is one key, written by compare-and-swap: created if it
 * does not exist, or replaced if the request that it was made for is known not
 * to have run. Which of several hosts gets the claim is therefore decided by
 * the store; this module only decides the next step from each store result.
 */
#ifndef ONCE_H
#define ONCE_H

#include <stdint.h>

#include "base/err.h"
#include "model/request.h"

enum claim_result {
	/* The request ID was free and now belongs to this request. */
	CLAIM_GRANTED,
	/* Another attempt has the claim, or its document is unreadable. */
	CLAIM_TAKEN,
	/*
	 * Not claimed: the store refused the write or no rate was left for it,
	 * or the last read found another claim that may be replaced.
	 */
	CLAIM_UNAVAILABLE,
	/* The reads did not show whether this attempt has the claim. */
	CLAIM_UNKNOWN
};

/* Document that the claim's key holds in the store. */
struct once_claim {
	/* Unique per attempt; tells this attempt's claim from any other. */
	char token[NAME_BYTES];
	/* OUTCOME_NOT_RUN: the claim may be replaced. */
	enum outcome outcome;
};

enum once_step {
	/* Write the claim if its key still has the version once.version. */
	ONCE_WRITE,
	/* Read the claim's key. */
	ONCE_READ,
	/* The claim is decided; once.result holds the result. */
	ONCE_END
};

struct once {
	/*
	 * Version of the claim's key that the next write expects; 0: the key
	 * does not exist. After CLAIM_GRANTED the version of the claim.
	 */
	uint64_t version;
	/* Reads so far. */
	uint32_t reads;
	enum claim_result result;
	char token[NAME_BYTES];
};

/* Begins a claim with @token; its first step is always ONCE_WRITE. */
void once_init(struct once *o, const char *token);
/*
 * Result of the write, with @code as from the store driver and the key's
 * @version after it. Returns the next step.
 */
enum once_step once_on_write(struct once *o, enum err_code code,
			     uint64_t version);
/*
 * Result of the read, with the key's @version. @claim is NULL unless @code is
 * ERR_OK and the document could be decoded. Returns the next step.
 */
enum once_step once_on_read(struct once *o, enum err_code code,
			    uint64_t version, const struct once_claim *claim);

#endif

#include "decide/once.h"

#include <string.h>

#include "base/util.h"

/* Reads of the key until a claim that is still undecided is given up. */
#define READS_MAX 3

void once_init(struct once *o, const char *token)
{
	memset(o, 0, sizeof(*o));
	util_copy_str(o->token, sizeof(o->token), token);
}

static enum once_step end(struct once *o, enum claim_result result)
{
	o->result = result;
	return ONCE_END;
}

static enum once_step read_or_give_up(struct once *o)
{
	if (o->reads == READS_MAX)
		return end(o, CLAIM_UNKNOWN);
	o->reads++;
	return ONCE_READ;
}

enum once_step once_on_write(struct once *o, enum err_code code,
			     uint64_t version)
{
	switch (code) {
	case ERR_OK:
		o->version = version;
		return end(o, CLAIM_GRANTED);
	case ERR_STORE_CONFLICT:
	case ERR_STORE_UNKNOWN:
		return read_or_give_up(o);
	default:
		return end(o, CLAIM_UNAVAILABLE);
	}
}

enum once_step once_on_read(struct once *o, enum err_code code,
			    uint64_t version, const struct once_claim *claim)
{
	if (code == ERR_STORE_NOT_FOUND) {
		/*
		 * The earlier write may be delayed and still arrive. A new
		 * write decides: both expect that the key does not exist, so
		 * at most one of them succeeds.
		 */
		o->version = 0;
		return o->reads == READS_MAX ? end(o, CLAIM_UNKNOWN)
					     : ONCE_WRITE;
	}
	if (code != ERR_OK)
		return read_or_give_up(o);
	if (!claim)
		return end(o, CLAIM_TAKEN);
	if (strcmp(claim->token, o->token) == 0) {
		o->version = version;
		return end(o, CLAIM_GRANTED);
	}
	if (claim->outcome != OUTCOME_NOT_RUN)
		return end(o, CLAIM_TAKEN);
	o->version = version;
	return o->reads == READS_MAX ? end(o, CLAIM_UNAVAILABLE) : ONCE_WRITE;
}

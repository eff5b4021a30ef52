#include "decide/once.h"

#include <string.h>

#include "base/util.h"

/* Reads that try to find out what became of a write. */
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

static enum once_step read_again(struct once *o)
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
		return read_again(o);
	default:
		return end(o, CLAIM_UNAVAILABLE);
	}
}

enum once_step once_on_read(struct once *o, enum err_code code,
			    uint64_t version, const struct once_claim *claim)
{
	if (code == ERR_STORE_NOT_FOUND) {
		/* A delayed write could still arrive: only a new write, which
		 * competes with it by version, decides. */
		o->version = 0;
		return o->reads == READS_MAX ? end(o, CLAIM_UNKNOWN)
					     : ONCE_WRITE;
	}
	if (code != ERR_OK)
		return read_again(o);
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

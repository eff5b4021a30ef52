#include "model/change.h"

#include <string.h>

static const char *const state_names[] = {
#define DEF(id, name) name,
	CHANGE_STATES(DEF)
#undef DEF
};

void change_clear(struct change *c)
{
	buf_free(&c->statement);
	memset(c, 0, sizeof(*c));
}

const char *change_state_name(enum change_state s)
{
	return state_names[s];
}

uint64_t change_rev_from_id(const char *id)
{
	uint64_t rev = 0;
	const char *p;

	if (id[0] != 'r' || !id[1] || strlen(id) > 19)
		return 0;
	for (p = id + 1; *p; p++) {
		if (*p < '0' || *p > '9')
			return 0;
		rev = rev * 10 + (uint64_t)(*p - '0');
	}
	return rev;
}

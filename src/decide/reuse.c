#include "decide/reuse.h"

void reuse_begin(struct reuse *c)
{
	c->is_written = 0;
}

void reuse_written(struct reuse *c)
{
	c->is_written = 1;
}

int reuse_answered(const struct reuse *c, const struct reuse_answer *a)
{
	return c->is_written && a->keep_alive && !a->has_extra;
}

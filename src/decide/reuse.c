#include "decide/reuse.h"

#include "base/util.h"

/* Answers dropped for one request; a target that sends more is not sound. */
#define SKIPPED_MAX 4
/*
 * Stamps kept for a connection, 8 bytes each; the connection is closed when one
 * more would have to be kept.
 */
#define STAMPS_MAX 1024

void reuse_clear(struct reuse *c)
{
	free(c->stamps);
	*c = (struct reuse){ 0 };
}

void reuse_begin(struct reuse *c)
{
	c->is_started = 0;
	c->is_written = 0;
	c->skipped_count = 0;
}

void reuse_written(struct reuse *c, int is_last)
{
	c->is_started = 1;
	c->is_written = is_last;
}

static int has_stamp(const struct reuse *c, uint64_t stamp)
{
	uint32_t i;

	for (i = 0; i < c->stamp_count; i++) {
		if (c->stamps[i] == stamp)
			return 1;
	}
	return 0;
}

static void keep_stamp(struct reuse *c, uint64_t stamp)
{
	if (c->stamp_count == c->stamp_capacity) {
		c->stamp_capacity = util_max_u32(2 * c->stamp_capacity, 8);
		c->stamps = util_grow(c->stamps, c->stamp_capacity,
				      sizeof(c->stamps[0]));
	}
	c->stamps[c->stamp_count++] = stamp;
}

/* 1 if the answer certainly belongs to an earlier request. */
static int is_earlier(const struct reuse *c, const struct reuse_answer *a)
{
	if (a->id != REUSE_ID_NONE)
		return a->id == REUSE_ID_OTHER;
	return a->stamp && has_stamp(c, a->stamp);
}

/*
 * 1 if the answer may as well belong to an earlier request: a copy without an
 * ID and a stamp looks like the first one.
 */
static int is_doubtful(const struct reuse *c, const struct reuse_answer *a)
{
	return a->id == REUSE_ID_NONE && !a->stamp && c->had_unmarked;
}

/* Keeps what tells a second copy of the answer from a later answer. */
static void remember(struct reuse *c, const struct reuse_answer *a)
{
	if (a->id != REUSE_ID_NONE)
		return;
	if (a->stamp)
		keep_stamp(c, a->stamp);
	else
		c->had_unmarked = 1;
}

enum reuse_step reuse_answered(struct reuse *c, const struct reuse_answer *a)
{
	/* Nothing was sent that it could answer. */
	if (!c->is_started)
		return REUSE_FAIL;
	if (is_earlier(c, a))
		return c->skipped_count++ < SKIPPED_MAX && a->keep_alive
			       ? REUSE_SKIP
			       : REUSE_FAIL;
	if (is_doubtful(c, a))
		return REUSE_DOUBT;
	remember(c, a);
	/*
	 * The target takes what is sent next as the rest of a request that was
	 * not written to its end.
	 */
	if (!c->is_written || !a->keep_alive || a->has_extra ||
	    c->stamp_count >= STAMPS_MAX)
		return REUSE_CLOSE;
	return REUSE_KEEP;
}

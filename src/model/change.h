/*
 * A change as operators see it. Its ID is "r" and the revision that made it,
 * so every host can tell what became of it.
 */
#ifndef CHANGE_H
#define CHANGE_H

#include <stdint.h>

#include "base/util.h"
#include "model/config.h"
#include "model/name.h"

/* DEF(id, name): what became of a change. */
#define CHANGE_STATES(DEF)                     \
	DEF(CHANGE_IN_PROGRESS, "in_progress") \
	DEF(CHANGE_DONE, "done")               \
	DEF(CHANGE_ROLLED_BACK, "rolled_back") \
	DEF(CHANGE_ABORTED, "aborted")         \
	DEF(CHANGE_REPLACED, "replaced")

enum change_state {
#define DEF(id, name) id,
	CHANGE_STATES(DEF)
#undef DEF
		CHANGE_STATE_COUNT
};

struct change {
	uint64_t rev;
	char item[ITEM_NAME_BYTES];
	char who[WHO_BYTES];
	enum change_state state;
	/* Plain text, one or more lines. */
	struct buf statement;
	uint32_t host_count;
	uint32_t confirmed_count;
	uint32_t waiting_count;
	uint32_t not_in_contact_count;
};

void change_clear(struct change *c);
const char *change_state_name(enum change_state s);
/* Revision of change ID @id ("r17"), or 0 when it is not one. */
uint64_t change_rev_from_id(const char *id);

#endif

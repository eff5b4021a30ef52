/*
 * A change of the configuration as operators see it. Its ID is "r" and the
 * configuration revision that it made, so every host can report its state.
 */
#ifndef CHANGE_H
#define CHANGE_H

#include <stdint.h>

#include "base/util.h"
#include "model/config.h"
#include "model/name.h"

/* DEF(id, name): states of a change. */
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
	/* Name of the item that was changed, such as "contract/CUSTOMER". */
	char item[ITEM_NAME_BYTES];
	/* Who made the change. */
	char who[WHO_BYTES];
	enum change_state state;
	/* The state in plain text for the operator, one or more lines. */
	struct buf statement;
	/*
	 * Numbers of known hosts: of all, of those that have the change in
	 * effect, of those that do not have it in effect although they are in
	 * contact, and of those that neither have it nor are in contact.
	 */
	uint32_t host_count;
	uint32_t confirmed_count;
	uint32_t waiting_count;
	uint32_t not_in_contact_count;
};

void change_clear(struct change *c);
const char *change_state_name(enum change_state s);
/* Revision in change ID @id, such as 17 for "r17"; 0 if it is no change ID. */
uint64_t change_rev_from_id(const char *id);

#endif

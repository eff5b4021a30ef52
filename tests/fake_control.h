/*
 * Stands in for the control duty behind operators' calls, without a store or
 * threads: items and members are in memory, and a script sets the results of
 * edits.
 */
#ifndef FAKE_CONTROL_H
#define FAKE_CONTROL_H

#include "duty/control_admin.h"

#define FAKE_ITEMS_MAX 32
#define FAKE_MEMBERS_MAX 8

struct fake_control {
	struct evacuation *evacuation;
	struct rollout *rollout;
	struct slo *slo;
	struct control_admin *admin;
	/* Revision of the latest item; 0: none. */
	uint64_t rev;
	int64_t now_us;
	uint32_t item_count;
	struct cfg_item *items[FAKE_ITEMS_MAX];
	uint32_t member_count;
	struct member_info members[FAKE_MEMBERS_MAX];
	/* Result of all further edits; ERR_OK accepts them. */
	struct err edit_result;
	/* Log lines that the script has not taken yet. */
	struct buf log;
};

struct fake_control *fake_control_new(void);
void fake_control_free(struct fake_control *f);
/*
 * Puts @json into effect as item @name on the host that gets the calls, with a
 * new revision. @json NULL: deletion.
 */
void fake_control_put(struct fake_control *f, const char *name,
		      const char *json, const char *who);
/* Adds or changes a member. */
void fake_control_member(struct fake_control *f, const char *host,
			 const char *data_centre, enum host_state state,
			 uint64_t config_rev);
/* Makes one call, appends the reply to @json and returns its HTTP status. */
uint32_t fake_control_call(struct fake_control *f, const char *method,
			   const char *path, const char *body,
			   struct buf *json);

#endif

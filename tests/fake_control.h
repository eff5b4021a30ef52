/*
 * The control duty's side of operators' calls without a store or threads:
 * items in memory, members, and edits whose results a script decides.
 */
#ifndef FAKE_CONTROL_H
#define FAKE_CONTROL_H

#include "duty/control_admin.h"

#define FAKE_ITEMS_MAX 32
#define FAKE_MEMBERS_MAX 8

struct fake_control {
	struct evacuation *dcs;
	struct rollout *rol;
	struct slo *slo;
	struct control_admin *admin;
	uint64_t rev;
	int64_t now_us;
	uint32_t item_count;
	struct cfg_item *items[FAKE_ITEMS_MAX];
	uint32_t member_count;
	struct member_info members[FAKE_MEMBERS_MAX];
	/* Result of the next edits; ERR_OK accepts them. */
	struct err edit_result;
	/* Log lines since the script took them. */
	struct buf log;
};

struct fake_control *fake_control_new(void);
void fake_control_free(struct fake_control *f);
/* Puts @json (NULL: deletion) into effect on the asked host. */
void fake_control_put(struct fake_control *f, const char *name,
		      const char *json, const char *who);
/* Adds or changes a member. */
void fake_control_member(struct fake_control *f, const char *host,
			 const char *data_centre, enum host_state state,
			 uint64_t rev);
/* Makes one call and copies its reply. */
uint32_t fake_control_call(struct fake_control *f, const char *method,
			   const char *path, const char *body,
			   struct buf *json);

#endif

/*
 * State of a path script, and the commands that build its next view. Nothing of
 * that view takes effect before "view" publishes a copy of it.
 */
#ifndef PATH_SETUP_H
#define PATH_SETUP_H

#include <glib.h>

#include "filter/pipeline.h"
#include "script.h"

/* Sub-requests, and claims, that one script may cause. */
#define SUBS_MAX 512
/* Port of the first target; the others follow in the order of the layout. */
#define TARGET_PORT 9000

/* A sub-request as its target gets it; printed by its position, from 1 on. */
struct sent {
	struct subrequest_msg *call;
	char target[NAME_BYTES];
};

/* A claim that the pipeline asked for. */
struct claim {
	char request_id[REQUEST_ID_BYTES];
	uint64_t req_no;
};

struct path_ctx {
	struct pipeline *path;
	struct timer_queue *timers;
	int64_t now_us;
	/* View that the next "view" command publishes a copy of. */
	struct view *next;
	uint32_t sent_count;
	struct sent sent[SUBS_MAX];
	uint32_t claim_count;
	struct claim claims[SUBS_MAX];
	/* Handle of the caller that came last. */
	uint64_t next_handle;
	/* Output of the command that runs. */
	struct buf *out;
	/* Callers whose request is not answered yet, by handle. */
	GHashTable *callers;
};

script_fn path_cmd_contract;
script_fn path_cmd_layout;
script_fn path_cmd_dc;
script_fn path_cmd_version;
script_fn path_cmd_block;
script_fn path_cmd_hosts;
/* Publishes a copy of the next view. */
script_fn path_cmd_view;

#endif

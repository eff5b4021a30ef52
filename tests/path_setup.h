/* Commands of the path scripts that make up the next view. */
#ifndef PATH_SETUP_H
#define PATH_SETUP_H

#include <glib.h>

#include "filter/pipeline.h"
#include "script.h"

#define SUBS_MAX 512
#define TARGET_PORT 9000

/* A sub-request as the target would see it; printed by its position. */
struct sent {
	struct subrequest_msg *call;
	char target[NAME_BYTES];
};

struct claim {
	char request_id[REQUEST_ID_BYTES];
	uint64_t req_no;
};

struct path_ctx {
	struct pipeline *path;
	struct timer_queue *timers;
	int64_t now_us;
	/* What the next view is made of. */
	struct view *next;
	uint32_t sent_count;
	struct sent sent[SUBS_MAX];
	uint32_t claim_count;
	struct claim claims[SUBS_MAX];
	uint64_t next_handle;
	struct buf *out;
	/* Callers in flight, by handle. */
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

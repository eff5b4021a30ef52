/* Documents of a rollout on the users' platform, and what follows for hosts. */
#ifndef GW_ROLLOUT_H
#define GW_ROLLOUT_H

#include <stdint.h>

#include "model/name.h"

/* Services that are rolled out at the same time. */
#define GW_ROLLOUTS_MAX 64
#define GW_REASON_BYTES 160

/* Stands for all versions but the one that is rolled out. */
#define GW_OTHER_VERSIONS "-"

/* The operator's order. */
struct gw_rollout_order {
	char service[NAME_BYTES];
	/* Version that is to get the service's requests. */
	char to[NAME_BYTES];
	uint32_t duration_ms;
};

/* DEF(id, name in the document) */
#define GW_ROLLOUT_STATES(DEF)             \
	DEF(GW_ROLLOUT_RUNNING, "running") \
	DEF(GW_ROLLOUT_DONE, "done")       \
	DEF(GW_ROLLOUT_ROLLED_BACK, "rolled_back")

enum gw_rollout_state {
#define DEF(id, name) id,
	GW_ROLLOUT_STATES(DEF)
#undef DEF
		GW_ROLLOUT_STATE_COUNT
};

/* The hosts' own document: how far the rollout is. */
struct gw_rollout {
	char service[NAME_BYTES];
	char to[NAME_BYTES];
	/* Revision of the order that it carries out. */
	uint64_t order_rev;
	enum gw_rollout_state state;
	/* Share of the service's requests that the version gets. */
	uint32_t share_permille;
	/* Time since the order when this was written. */
	uint32_t elapsed_ms;
	char reason[GW_REASON_BYTES];
};

/* What the operator reads. */
struct gw_rollout_status {
	char service[NAME_BYTES];
	char to[NAME_BYTES];
	enum gw_rollout_state state;
};

/* Share of a service's requests that one of its versions gets. */
struct gw_version_share {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	uint32_t share_permille;
	/* 1: no request may reach it, also when no other target is left. */
	uint32_t is_bad;
};

#endif

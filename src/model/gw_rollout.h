/* Documents in the platform's store about the gateway's rollouts. */
#ifndef GW_ROLLOUT_H
#define GW_ROLLOUT_H

#include <stdint.h>

#include "model/name.h"

#define GW_REASON_BYTES 160
/* Rolled-back versions of a service that are kept; the oldest are forgotten. */
#define GW_BARRED_MAX 4

/* Version name that stands for all versions but the one being rolled out. */
#define GW_OTHER_VERSIONS "-"

/* Document that an operator writes to order a rollout. */
struct gw_rollout_order {
	char service[NAME_BYTES];
	/* Version that is to get the service's requests. */
	char to[NAME_BYTES];
	/* Time that the rollout may take. */
	uint32_t duration_ms;
};

/* Versions that earlier rollouts have rolled back: they get no request. */
struct gw_barred {
	uint32_t count;
	/* The oldest first. */
	char versions[GW_BARRED_MAX][NAME_BYTES];
};

/* Adds @version as the newest, or moves it there. */
void gw_barred_add(struct gw_barred *b, const char *version);
void gw_barred_remove(struct gw_barred *b, const char *version);
int gw_barred_has(const struct gw_barred *b, const char *version);

/* DEF(id, name in the hosts' document) */
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

/* Document by which the hosts agree on how far the rollout is. */
struct gw_rollout {
	char service[NAME_BYTES];
	char to[NAME_BYTES];
	/* Position of the order that is carried out (store_pos.h). */
	uint64_t order_rev;
	enum gw_rollout_state state;
	/* Share of the service's requests that the new version gets. */
	uint32_t share_permille;
	/* Time from the order to the writing of the document. */
	uint32_t elapsed_ms;
	/* Why the rollout was rolled back; else empty. */
	char reason[GW_REASON_BYTES];
	/* Their targets may still run. */
	struct gw_barred barred;
};

/* Document that the hosts write for the operator. */
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
	/* 1: gets no request, even if the service has no other target left. */
	uint32_t is_bad;
	struct gw_barred barred;
};

#endif

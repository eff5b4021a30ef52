/* State of the connection to the control duty; see control_ops.h. */
#ifndef CONTROL_OPS_STATE_H
#define CONTROL_OPS_STATE_H

#include "duty/control_admin.h"
#include "duty/control_ops.h"

/* A lease call, a revocation of an earlier lease, and a write per service. */
#define CONTROL_OPS_CALLS_MAX 32

/* One store call or edit under way for the rollout controller. */
struct ops_call {
	struct control_ops *ops;
	uint32_t used;
	/* Number that the rollout controller gave the call. */
	uint32_t call;
	char service[NAME_BYTES];
};

struct control_ops {
	struct control *control;
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	struct evacuation *dcs;
	struct rollout *rol;
	struct slo *slo;
	struct control_admin *admin;
	struct ops_call calls[CONTROL_OPS_CALLS_MAX];
	/* Time of the next change of a data centre's share, or -1. */
	int64_t next_share_us;
	int64_t next_members_us;
	uint32_t dirty;
	int64_t next_alarms_us;
	void (*out)(void *ctx, uint32_t is_out);
	void *out_ctx;
	/* 1 while this host or its data centre is taken out. */
	uint32_t is_out;
	uint32_t host_count;
	/* Live hosts of this data centre whose names sort before this one's. */
	uint32_t rank;
};

/* control_ops_rol.c: store calls and writes of the rollout controller. */
extern const struct rollout_ops control_ops_rol;

#endif

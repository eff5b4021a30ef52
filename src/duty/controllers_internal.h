/* State of the connection to the control duty; see control_ops.h. */
#ifndef CONTROLLERS_INTERNAL_H
#define CONTROLLERS_INTERNAL_H

#include "duty/control_admin.h"
#include "duty/controllers.h"

/* A lease call, a revocation of an earlier lease, and a write per service. */
#define CONTROLLERS_CALLS_MAX 32

/* One store call or edit under way for the rollout controller. */
struct rollout_call {
	struct controllers *controllers;
	uint32_t is_used;
	/* Number that the rollout controller gave the call. */
	uint32_t call_no;
	char service[NAME_BYTES];
};

struct controllers {
	struct control *control;
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	struct evacuation *evacuation;
	struct rollout *rollouts;
	struct slo *slo;
	struct control_admin *admin;
	struct rollout_call calls[CONTROLLERS_CALLS_MAX];
	/* Time of the next change of a data centre's share, or -1. */
	int64_t next_share_us;
	int64_t next_members_us;
	uint32_t view_dirty;
	int64_t next_alarms_us;
	void (*out_of_service)(void *ctx, uint32_t is_out);
	void *out_of_service_ctx;
	/* 1 while this host or its data centre is taken out. */
	uint32_t is_out_of_service;
	uint32_t host_count;
	/* Live hosts of this data centre whose names sort before this one's. */
	uint32_t rank;
};

/* controllers_rollout_ops.c: store calls and writes of the rollout controller. */
extern const struct rollout_ops controllers_rollout_ops;

#endif

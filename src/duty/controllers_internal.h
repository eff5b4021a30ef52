/* State of the control duty's controllers; private to controllers*.c. */
#ifndef CONTROLLERS_INTERNAL_H
#define CONTROLLERS_INTERNAL_H

#include "duty/control_admin.h"
#include "duty/controllers.h"

/*
 * Room for a lease call, the revocation of an earlier lease and one write for
 * each service.
 */
#define CONTROLLERS_CALLS_MAX 32

/* One store call or edit in progress for the rollout controller. */
struct rollout_call {
	struct controllers *controllers;
	/* 0 if the entry of controllers.calls is free. */
	uint32_t is_used;
	/*
	 * Number that the rollout controller gave the call; 0 for an edit or a
	 * revocation of a lease.
	 */
	uint32_t call_no;
	/* Service whose rollout item an edit writes; empty for other calls. */
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
	/* Time of the next count of the live hosts. */
	int64_t next_members_us;
	/*
	 * 1: the view has to be rebuilt; the next hook tells the control duty.
	 */
	uint32_t view_dirty;
	/* Time of the next check of the service-level alarms. */
	int64_t next_alarms_us;
	/* See controllers_on_out_of_service(). */
	void (*out_of_service)(void *ctx, uint32_t is_out);
	void *out_of_service_ctx;
	/* 1 while this host or its data centre is out of service. */
	uint32_t is_out_of_service;
	/* Live hosts, this one included. */
	uint32_t host_count;
	/* Live hosts of this data centre whose names sort before this one's. */
	uint32_t rank;
};

/* controllers_rollout.c: store calls and writes of the rollout controller. */
extern const struct rollout_ops controllers_rollout_ops;

#endif

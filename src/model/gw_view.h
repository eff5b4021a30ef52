/*
 * View of the gateway's control duty: the route configuration in force, the
 * targets and their state, the number of hosts that share the limits, and the
 * shares of versions. Immutable and reference-counted.
 */
#ifndef GW_VIEW_H
#define GW_VIEW_H

#include <stdint.h>

#include "model/exchange.h"
#include "model/gw_rollout.h"
#include "model/route.h"
#include "model/store_update.h"

/* Target: one process of a service, as its entry in the store describes it. */
struct target_entry {
	char id[WIRE_ID_BYTES];
	char service[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	char data_centre[NAME_BYTES];
	char version[NAME_BYTES];
	/* Requests that the target serves at once. */
	uint32_t slots;
	/* 1: the target is leaving and gets no new work. */
	uint32_t is_draining;
	/*
	 * 1: its data centre is out of service, and it gets no new work. Not
	 * part of the entry in the store.
	 */
	uint32_t is_evacuated;
	/* Rest of the target's warm-up when it wrote the entry; 0: warm. */
	uint32_t warmup_left_ms;
	/* Wall-clock time in ms at which the process started; 0: not stated. */
	int64_t started_ms;
	/* Number of this write of the process; rises with each one. */
	uint64_t write_no;
};

/* 1 if all members other than is_evacuated and write_no are equal. */
int target_entry_equal(const struct target_entry *a,
		       const struct target_entry *b);

enum target_entry_order {
	/* The entry was written later, or it is not known. */
	TARGET_ENTRY_LATER,
	/* It was written before by the same process. */
	TARGET_ENTRY_EARLIER,
	/*
	 * It was written by a process that states an earlier start; its clock
	 * may also have been moved back.
	 */
	TARGET_ENTRY_OLD_PROCESS
};

/* When @entry was written, compared with @known of the same target. */
enum target_entry_order target_entry_order(const struct target_entry *entry,
					   const struct target_entry *known);

struct gw_view {
	_Atomic uint32_t refs;
	/* NULL until a configuration is known. */
	struct route_config *config;
	uint32_t target_count;
	struct target_entry *targets;
	/* Hosts of the gateway that may be running, this one included. */
	uint32_t host_count;
	/* Entries of the hosts that are known, this one included. */
	uint32_t entry_count;
	struct host_entry *entries;
	/* Versions whose share of the requests depends on a rollout. */
	uint32_t share_count;
	struct gw_version_share *shares;
};

/* Returns a view with one reference and @target_count zeroed targets. */
struct gw_view *gw_view_new(uint32_t target_count);
void gw_view_unref(struct gw_view *v);

#endif

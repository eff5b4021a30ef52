/* State shared by the files of the rollout controller. */
#ifndef ROLLOUT_INTERNAL_H
#define ROLLOUT_INTERNAL_H

#include "base/rng.h"
#include "controller/rollout.h"
#include "controller/cusum.h"

/* Routes that are tested apart: searches and lookups. */
#define ROLLOUT_ROUTES 2
/* What can be bad about a sub-request. */
enum rollout_metric { ROLLOUT_FAILURES, ROLLOUT_SLOW, ROLLOUT_METRICS };

/* Counts of sub-requests to one version of a service. */
struct rollout_counts {
	uint64_t requests;
	/* Failed and slow sub-requests. */
	uint64_t bad[ROLLOUT_METRICS];
};

struct rollout_entry {
	/* Item in effect. */
	struct rollout_item item;
	/* Revision of the latest item, also of a refused one. */
	uint64_t rev;
	/* Start of the step, and end of its planned and its longest time. */
	int64_t step_start_us;
	int64_t planned_end_us;
	int64_t latest_end_us;
	/* Tests of this host's counts by route, and of all hosts' counts. */
	struct cusum own_tests[ROLLOUT_ROUTES][ROLLOUT_METRICS];
	struct cusum all_tests[ROLLOUT_METRICS];
	/* All hosts' counts of the new version since the step began. */
	struct rollout_counts step_new;
	/* This host's counts by route since the step began. */
	struct rollout_counts route_new[ROLLOUT_ROUTES];
	struct rollout_counts route_old[ROLLOUT_ROUTES];
	/* This host's counts not reported yet: new version, old version. */
	struct rollout_counts unsent[2];
	uint32_t deleted;
	/* 1: the latest item was refused, and the leader has to replace it. */
	uint32_t refused;
	/* 1: a write of the item is in progress. */
	uint32_t writing;
	/* The item is not written before this time. */
	int64_t retry_us;
};

/* Mark of a bad version, which stays until the process ends. */
struct rollout_bad_version {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	char reason[REASON_BYTES];
};

struct rollout {
	char self[NAME_BYTES];
	const struct rollout_ops *ops;
	void *ctx;
	struct rng rng;
	struct leadership leadership;
	/* Statistic at which a version is marked bad. */
	double threshold_nats;
	/* 1: this host may become the leader. */
	uint32_t is_candidate;
	/* Highest fencing token adopted. */
	uint64_t fence;
	uint32_t entry_count;
	struct rollout_entry **entries;
	uint32_t bad_count;
	struct rollout_bad_version *bad_versions;
	/* Position of the entry that comes first in the next heartbeat. */
	uint32_t report_next;
};

/* Entry of @service, or NULL. */
struct rollout_entry *rollout_entry_internal(const struct rollout *r,
					     const char *service);
/* Marks a version bad unless it is already; calls note and shares_changed. */
void rollout_mark_bad_internal(struct rollout *r, const char *service,
			       const char *version, const char *reason);
/* Clears tests and unsent counts for a new rollout of the service. */
void rollout_reset_internal(struct rollout_entry *entry);
/* Threshold for a number of entry hosts, in nats. */
double rollout_threshold_internal(uint32_t host_count);
/* Largest statistic of all tests of the entry, in nats. */
double rollout_score_internal(const struct rollout_entry *entry);
/* 1 when the time and the tests of the step allow the next step. */
int rollout_may_grow_internal(const struct rollout *r,
			      const struct rollout_entry *entry,
			      int64_t now_us);

#endif

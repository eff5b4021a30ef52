/* State shared by the files of the rollout controller. */
#ifndef ROLLOUT_INTERNAL_H
#define ROLLOUT_INTERNAL_H

#include "base/rng.h"
#include "controller/rollout.h"
#include "controller/cusum.h"

#define ROLLOUT_ROUTES 2
enum rollout_metric { ROLLOUT_FAILURES, ROLLOUT_SLOW, ROLLOUT_METRICS };

/* Counts of one version of a service. */
struct rollout_counts {
	uint64_t requests;
	uint64_t bad[ROLLOUT_METRICS];
};

struct rollout_entry {
	struct rollout_item item;
	uint64_t rev;
	/* Start of the step and end of its planned and longest time. */
	int64_t step_start_us;
	int64_t planned_end_us;
	int64_t latest_end_us;
	/* This host's evidence by route; all hosts' with the routes together. */
	struct cusum own_tests[ROLLOUT_ROUTES][ROLLOUT_METRICS];
	struct cusum all_tests[ROLLOUT_METRICS];
	/* Since the step began, own and peers'. */
	struct rollout_counts step_new;
	/* Since the step began, own, by route. */
	struct rollout_counts route_new[ROLLOUT_ROUTES];
	struct rollout_counts route_old[ROLLOUT_ROUTES];
	/* Own, since the last heartbeat: new and old version. */
	struct rollout_counts unsent[2];
	uint32_t deleted;
	/* The item in effect was refused; the leader has to replace it. */
	uint32_t refused;
	uint32_t writing;
	int64_t retry_us;
};

/* Sticky: entries are never removed. */
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
	/* Statistic at which a version counts as bad, in nats. */
	double threshold;
	uint32_t is_candidate;
	uint64_t fence;
	uint32_t entry_count;
	struct rollout_entry **entries;
	uint32_t bad_count;
	struct rollout_bad_version *bad_versions;
	/* Entry that comes first in the next heartbeat. */
	uint32_t report_next;
};

struct rollout_entry *rollout_entry_internal(const struct rollout *r,
					     const char *service);
/* Marks a version bad unless it is already; notes and publishes it. */
void rollout_mark_bad_internal(struct rollout *r, const char *service,
			       const char *version, const char *reason);
/* Clears the statistics; for a new rollout of the service. */
void rollout_reset_internal(struct rollout_entry *e);
/* Threshold for a number of entry hosts, in nats. */
double rollout_threshold_internal(uint32_t host_count);
double rollout_score_internal(const struct rollout_entry *e);
/* 1 when the evidence of the step allows the next one. */
int rollout_may_grow_internal(const struct rollout *r,
			      const struct rollout_entry *e, int64_t now_us);

#endif

/* State shared by the files of the rollout controller. */
#ifndef ROL_INTERNAL_H
#define ROL_INTERNAL_H

#include "base/rng.h"
#include "controller/rol.h"
#include "controller/sqt.h"

#define ROL_ROUTES 2
enum rol_metric { ROL_FAILURES, ROL_SLOW, ROL_METRICS };

/* Counts of one version of a service. */
struct rol_counts {
	uint64_t requests;
	uint64_t bad[ROL_METRICS];
};

struct rol_entry {
	struct rollout_item item;
	uint64_t rev;
	/* Start of the step and end of its planned and longest time. */
	int64_t step_us;
	int64_t planned_us;
	int64_t longest_us;
	/* This host's evidence by route; all hosts' with the routes together. */
	struct sqt own[ROL_ROUTES][ROL_METRICS];
	struct sqt all[ROL_METRICS];
	/* Since the step began, own and peers'. */
	struct rol_counts step_new;
	/* Since the step began, own, by route. */
	struct rol_counts route_new[ROL_ROUTES];
	struct rol_counts route_old[ROL_ROUTES];
	/* Own, since the last heartbeat: new and old version. */
	struct rol_counts unsent[2];
	uint32_t deleted;
	/* The item in effect was refused; the leader has to replace it. */
	uint32_t refused;
	uint32_t writing;
	int64_t retry_us;
};

/* Sticky: entries are never removed. */
struct rol_bad {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	char reason[REASON_BYTES];
};

struct rol {
	char self[NAME_BYTES];
	const struct rol_ops *ops;
	void *ctx;
	struct rng rng;
	struct rol_lead lead;
	/* Statistic at which a version counts as bad, in nats. */
	double threshold;
	uint32_t candidate;
	uint64_t fence;
	uint32_t entry_count;
	struct rol_entry **entries;
	uint32_t bad_count;
	struct rol_bad *bad;
	/* Entry that comes first in the next heartbeat. */
	uint32_t report_next;
};

struct rol_entry *rol_entry_internal(const struct rol *r, const char *service);
/* Marks a version bad unless it is already; notes and publishes it. */
void rol_mark_bad_internal(struct rol *r, const char *service,
			   const char *version, const char *reason);
/* Clears the statistics; for a new rollout of the service. */
void rol_reset_internal(struct rol_entry *e);
/* Threshold for a number of entry hosts, in nats. */
double rol_threshold_internal(uint32_t host_count);
double rol_score_internal(const struct rol_entry *e);
/* 1 when the evidence of the step allows the next one. */
int rol_may_grow_internal(const struct rol *r, const struct rol_entry *e,
			  int64_t now_us);

#endif

/*
 * What a host knows of one target from its own requests: outstanding work,
 * smoothed latency, failures, and the cold ramp. The target's own health and
 * load pages are not used because they lag.
 */
#ifndef TARGET_STATE_H
#define TARGET_STATE_H

#include <stdint.h>

#include "model/layout.h"
#include "model/request.h"

enum target_phase {
	/* Never answered this host. */
	TARGET_NEW,
	TARGET_COLD,
	TARGET_WARM
};

struct target_state {
	uint32_t refs;
	struct target def;
	uint32_t outstanding;
	/* This host ramps the target while it is cold, by the latest view. */
	int is_owner;
	int64_t last_sent_us;
	/* Smoothed time from sending to the answer; base follows slowly. */
	int64_t latency_us;
	int64_t base_latency_us;
	/* Smoothed time at the last answer, without what was abandoned since. */
	int64_t answered_latency_us;
	/* Smoothed time between sub-requests, fast and slow. */
	int64_t gap_us;
	int64_t gap_base_us;
	uint32_t failures_in_row;
	/* Answers much slower than before and than those of its peers. */
	uint32_t slow_in_row;
	/* Sub-requests abandoned for a faster replica since the last answer. */
	uint32_t abandoned_in_row;
	/* Nothing is sent before this time, then one probe at a time. */
	int64_t avoid_until_us;
	int64_t avoid_period_us;
	/* Last time the target's owner announced it as warm. */
	int64_t announced_us;
	char instance[NAME_BYTES];
	/* Time at which an answer first named this instance. */
	int64_t instance_seen_us;
	enum target_phase phase;
	/* Answers to sub-requests sent before this time are no part of a ramp. */
	int64_t cold_since_us;
	/* Cold: sub-requests allowed at once, and good answers since. */
	uint32_t cold_limit;
	uint32_t cold_successes;
};

struct target_state *target_state_new(const struct target *def);
struct target_state *target_state_ref(struct target_state *t);
void target_state_unref(struct target_state *t);
/* Takes a changed definition (connections, slots, version) of the same ID. */
void target_state_set_def(struct target_state *t, const struct target *def);

void target_state_sent(struct target_state *t, int64_t now_us);
/*
 * A good answer that took @service_us from process @instance (may be empty).
 * @peers_us: smoothed answer time of the index, or 0 for none; a target that
 * turns slow while its peers and its load stay as they were is cold again.
 */
void target_state_answered(struct target_state *t, int64_t now_us,
			   int64_t service_us, const char *instance,
			   int64_t peers_us);
/* A failure; @shed: the target answered that it has too much work. */
void target_state_failed(struct target_state *t, int64_t now_us, int shed);
/*
 * The target answered, or another host announced, that it drains: no work for
 * four seconds, then probes by its owner, until the owner announces it as
 * warm again. @was_sent: 1 for an answer to this host.
 */
void target_state_draining(struct target_state *t, int64_t now_us,
			   int was_sent);
/* A faster replica won after @waited_us without an answer from this one. */
void target_state_abandoned(struct target_state *t, int64_t now_us,
			    int64_t waited_us);
/* An answer that says nothing about the target, such as "cancelled". */
void target_state_inconclusive(struct target_state *t);

/*
 * The target's owner announced process @instance as warm (1) or cold (0).
 * Returns 1 if that changed the phase.
 */
int target_state_announced(struct target_state *t, int64_t now_us,
			   const char *instance, int warm);

/*
 * 1 if one more sub-request may be sent. @is_owner: this host ramps the target
 * while it is cold; other hosts wait for the owner's announcement, so that
 * together they send no more than it tolerates.
 */
int target_state_is_usable(const struct target_state *t, int64_t now_us,
			   int is_owner);
/* 1 if sub-requests are sent at all, now or once others are answered. */
int target_state_accepts_work(const struct target_state *t, int64_t now_us,
			      int is_owner);
/* 1 if the target may become usable until @until_us without an answer. */
int target_state_may_recover(const struct target_state *t, int64_t until_us,
			     int is_owner);
/* Expected time until one more sub-request is answered, in us. */
int64_t target_state_cost_us(const struct target_state *t);

#endif

/*
 * What this host knows of one target from its own sub-requests: how many are
 * outstanding, smoothed latency, failures, and how far the target has warmed
 * up. The target's own health and load pages are not used because they lag.
 */
#ifndef TARGET_STATE_H
#define TARGET_STATE_H

#include <stdint.h>

#include "model/layout.h"
#include "model/request.h"

enum target_phase {
	/*
	 * No answer has named its process and no other host announced it; only
	 * its owner sends to it.
	 */
	TARGET_NEW,
	/* Only its owner sends to it, within a limit that grows. */
	TARGET_COLD,
	/* All hosts send to it. */
	TARGET_WARM
};

struct target_state {
	uint32_t refs;
	struct target def;
	/* Sub-requests without a result yet, abandoned ones included. */
	uint32_t outstanding;
	/* 1: by the latest view this host ramps the target while it is cold. */
	int is_owner;
	/* Time of the last sub-request; 0: none yet. */
	int64_t last_sent_us;
	/*
	 * Time from sending to the answer, smoothed over the last few answers
	 * and, as the base, over many. A base of 0: no answer yet.
	 */
	int64_t latency_us;
	int64_t base_latency_us;
	/* latency_us at the last answer, without later sheds and abandons. */
	int64_t answered_latency_us;
	/*
	 * Time between two sub-requests to the target, smoothed over the last
	 * few and, as the base, over many; 0: fewer than two yet.
	 */
	int64_t gap_us;
	int64_t gap_base_us;
	uint32_t failures_in_row;
	/* Answers much slower than the base and than those of other targets. */
	uint32_t slow_in_row;
	/* Sub-requests abandoned without an answer since the last answer. */
	uint32_t abandoned_in_row;
	/*
	 * Nothing is sent before this time; after it one sub-request at a time,
	 * as a probe, until one is answered. 0: the target is not avoided.
	 */
	int64_t avoid_until_us;
	/* Time that the target is avoided for next, plus up to half of it. */
	int64_t avoid_period_us;
	/* Last time the target's owner announced it as warm. */
	int64_t announced_us;
	/* Process that serves the target now; empty: unknown. */
	char instance[NAME_BYTES];
	/* Last time an answer named another process than before; 0: never. */
	int64_t instance_seen_us;
	enum target_phase phase;
	/* Answers to sub-requests sent before it do not raise cold_limit. */
	int64_t cold_since_us;
	/*
	 * Sub-requests that the owner may have outstanding at a cold target;
	 * other hosts send it none.
	 */
	uint32_t cold_limit;
	/* Good answers since cold_limit was last set or doubled. */
	uint32_t cold_successes;
};

/* State of a target that has not answered yet, with one reference. */
struct target_state *target_state_new(const struct target *def);
struct target_state *target_state_ref(struct target_state *t);
void target_state_unref(struct target_state *t);
/* Takes a changed definition (connections, slots, version) of the same ID. */
void target_state_set_def(struct target_state *t, const struct target *def);

/*
 * A sub-request was sent. When it ends, one call of target_state_answered(),
 * _failed(), _draining() or _inconclusive() follows.
 */
void target_state_sent(struct target_state *t, int64_t now_us);
/*
 * A good answer, after @service_us, from process @instance (empty: not said).
 * @peers_us: smoothed answer time of all targets of the index, or 0 when it is
 * not known. A target that answers from another process than before is cold,
 * and so is one that becomes slow while the other targets and its load stay as
 * they were.
 */
void target_state_answered(struct target_state *t, int64_t now_us,
			   int64_t service_us, const char *instance,
			   int64_t peers_us);
/* A failure; @shed 1: the target answered that it has too much work. */
void target_state_failed(struct target_state *t, int64_t now_us, int shed);
/*
 * The target answered, or another host announced, that it drains: it gets no
 * work for four seconds and then one probe at a time until it answers one.
 * @was_sent: 1 when it is the answer to a sub-request of this host.
 */
void target_state_draining(struct target_state *t, int64_t now_us,
			   int was_sent);
/*
 * This host stopped waiting for a sub-request after @waited_us, because another
 * replica answered first or the request ended. It stays outstanding until its
 * own result arrives.
 */
void target_state_abandoned(struct target_state *t, int64_t now_us,
			    int64_t waited_us);
/* A result that says nothing about the target, such as "cancelled". */
void target_state_inconclusive(struct target_state *t);

/*
 * The target's owner announced process @instance as warm (1) or cold (0).
 * Returns 1 if that changed the phase.
 */
int target_state_announced(struct target_state *t, int64_t now_us,
			   const char *instance, int warm);

/*
 * 1 if one more sub-request may be sent now. @is_owner: 1 when this host ramps
 * the target while it is cold; other hosts send nothing until the owner
 * announces it as warm, so that all hosts together send no more than a cold
 * target tolerates.
 */
int target_state_is_usable(const struct target_state *t, int64_t now_us,
			   int is_owner);
/* 1 if sub-requests may be sent, now or as soon as others are answered. */
int target_state_accepts_work(const struct target_state *t, int64_t now_us,
			      int is_owner);
/* 1 if the target may become usable before @until_us without answering. */
int target_state_may_recover(const struct target_state *t, int64_t until_us,
			     int is_owner);
/* Expected time until one more sub-request would be answered, in us. */
int64_t target_state_cost_us(const struct target_state *t);

#endif

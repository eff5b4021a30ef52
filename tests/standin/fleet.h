/*
 * All target stand-ins of one process: the target API over HTTP and the control
 * port. fleet.c takes requests, fleet_answer.c writes the answers, and
 * fleet_control.c switches faults and reports counters.
 */
#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include "http.h"
#include "target.h"
#include "waiters.h"

/* One target with its listener. */
struct endpoint {
	struct target target;
	struct http_listener *listener;
	struct fleet *fleet;
	/* Last answer, which the fault "crossed" sends for another request. */
	struct buf last_answer;
	/*
	 * State that /health and /load report. The fault "lag" delays taking a
	 * new sample; sampled_us 0: there is none yet.
	 */
	int64_t sampled_us;
	uint32_t sample_active;
	uint32_t sample_queued;
	char sample_state[16];
	char sample_instance[NAME_BYTES];
};

struct fleet {
	struct http *http;
	/*
	 * request ID -> executions of that non-idempotent request, all targets.
	 */
	GHashTable *once;
	uint32_t count;
	/* Allocated one by one: connections and timers point to them. */
	struct endpoint **endpoints;
	/* Answers that the fault "late" delays. */
	struct delayed_answer *delayed;
	/* NULL without a control port. */
	struct waiters *waiters;
};

void fleet_init(struct fleet *f, struct http *h);
void fleet_clear(struct fleet *f);
/*
 * Starts a target; @run is the part of its instance IDs that marks this
 * process.
 */
enum err_code fleet_add(struct fleet *f, const struct target_spec *spec,
			const char *run, struct err *err);
/* Opens the control port; @port 0 picks a free one. */
struct http_listener *fleet_control(struct fleet *f, const char *address,
				    uint16_t port, struct err *err);

#endif

/*
 * Target stand-ins of one process: the target API over HTTP and the control
 * port. fleet.c answers requests, fleet_control.c switches faults and counts.
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
	/* Last answer sent, for crossed answers. */
	struct buf last_answer;
	/* Sample shown by a lagging /health and /load. */
	int64_t sampled_us;
	uint32_t sample_active;
	uint32_t sample_queued;
	char sample_state[16];
	char sample_instance[NAME_BYTES];
};

struct fleet {
	struct http *http;
	GHashTable *once;
	uint32_t count;
	/* Each allocated apart: connections and timers point to it. */
	struct endpoint **endpoints;
	/* Answers that are being delayed. */
	struct delayed_answer *delayed;
	struct waiters *waiters;
};

void fleet_init(struct fleet *f, struct http *h);
void fleet_clear(struct fleet *f);
enum err_code fleet_add(struct fleet *f, const struct target_spec *spec,
			const char *run, struct err *err);
/* Opens the control port; @port 0 picks one. */
struct http_listener *fleet_control(struct fleet *f, const char *address,
				    uint16_t port, struct err *err);

#endif

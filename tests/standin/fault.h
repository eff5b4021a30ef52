/*
 * Faults of the stand-ins: on which requests a fault takes effect, and its
 * parameters, as switched through the control port. Each stand-in has its own
 * table of faults.
 */
#ifndef STANDIN_FAULT_H
#define STANDIN_FAULT_H

#include <jansson.h>
#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"
#include "model/name.h"

struct fault {
	/* 1: switched on. */
	uint32_t on;
	/* Share of the requests on which it takes effect. */
	uint32_t permille;
	/* Requests on which it still takes effect; UINT32_MAX: no limit. */
	uint32_t times;
	/*
	 * Takes effect only with at least this many other requests under way.
	 */
	uint32_t above;
	/* Monotonic time from which it takes effect. */
	int64_t from_us;
	/* Operation on which it takes effect ("search", "get"); empty: all. */
	char route[16];
	/* Parameters, each used by some of the faults. */
	uint32_t factor;
	uint32_t delay_ms;
	uint32_t status;
	uint32_t requests;
	uint32_t slots;
	uint32_t connections;
	uint32_t active;
	uint32_t queued;
	char value[NAME_BYTES];
};

/*
 * Fills @f from the body of a control request; absent fields get defaults.
 * ERR_BAD_FIELD with the accepted range in @err.
 */
enum err_code fault_decode(json_t *body, int64_t now_us, struct fault *f,
			   struct err *err);
/* Returns the index in @names of body's "fault", or -1 with ERR_BAD_FIELD. */
int fault_index(json_t *body, const char *const *names, uint32_t count,
		struct err *err);
/*
 * 1 if the fault takes effect on a request of the operation @route, which uses
 * up one of f->times. @load is the number of other requests under way.
 */
int fault_fires(struct fault *f, struct rng *rng, const char *route,
		uint32_t load, int64_t now_us);

#endif

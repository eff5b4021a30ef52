/*
 * Faults of the stand-ins: conditions under which a fault shows, decoded from
 * the control port. Which faults exist is a table of each stand-in.
 */
#ifndef STANDIN_FAULT_H
#define STANDIN_FAULT_H

#include <jansson.h>
#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"
#include "model/name.h"

struct fault {
	uint32_t on;
	/* Share of the requests it shows on. */
	uint32_t permille;
	/* Requests it still shows on; UINT32_MAX is no limit. */
	uint32_t times;
	/* Only while at least so many other requests are active or queued. */
	uint32_t above;
	/* Monotonic time from which it shows. */
	int64_t from_us;
	/* Only on this operation ("search", "get"); empty: on all. */
	char route[16];
	/* Parameters; each fault says what it uses. */
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

/* Fills @f from a control body; fields that are absent get defaults. */
enum err_code fault_decode(json_t *body, int64_t now_us, struct fault *f,
			   struct err *err);
/* Position of "fault" in @names, or -1 with ERR_BAD_FIELD. */
int fault_index(json_t *body, const char *const *names, uint32_t count,
		struct err *err);
/* 1 if the fault shows on this request; uses up one of @times. */
int fault_fires(struct fault *f, struct rng *rng, const char *route,
		uint32_t load, int64_t now_us);

#endif

/*
 * The target duty: sends sub-requests to targets over HTTP with a libcurl
 * multi handle and pushes exactly one MSG_SUBREQUEST_RESULT for each
 * subrequest_msg that is not a cancellation.
 */
#ifndef TARGET_DUTY_H
#define TARGET_DUTY_H

#include "base/err.h"
#include "base/ring.h"

struct target_duty;

/*
 * @capacity: of the duty's ring, in messages. @results: ring of the request
 * duty.
 */
struct target_duty *target_duty_new(uint32_t capacity, struct ring *results,
				    struct err *err);
struct ring *target_duty_ring(struct target_duty *t);
enum err_code target_duty_start(struct target_duty *t, struct err *err);
void target_duty_stop(struct target_duty *t);
void target_duty_free(struct target_duty *t);

#endif

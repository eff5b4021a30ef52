/*
 * The request duty: runs the request pipeline on one thread. Its ring brings
 * callers' requests, results of targets, replies of the store, notices on
 * targets and views.
 */
#ifndef REQUEST_DUTY_H
#define REQUEST_DUTY_H

#include "base/err.h"
#include "base/ring.h"

struct request_duty;

struct request_options {
	/* ID of this host. */
	const char *self;
	uint64_t rng_seed;
	/* Capacity of the duty's ring in messages. */
	uint32_t ring_capacity;
	/*
	 * Rings of the target, store and control duties; set before the start.
	 */
	struct ring *target;
	struct ring *store;
	struct ring *control;
	/*
	 * Called once on the request duty, as soon as requests can be answered;
	 * may be NULL.
	 */
	void (*became_ready)(void *ctx);
	void *became_ready_ctx;
};

struct request_duty *request_duty_new(const struct request_options *options,
				      struct err *err);
/* Options of @d, which may be changed until request_duty_start(). */
struct request_options *request_duty_options(struct request_duty *d);
struct ring *request_duty_ring(struct request_duty *d);
enum err_code request_duty_start(struct request_duty *d, struct err *err);
/* Requests in flight. Any thread. */
uint32_t request_duty_open_count(struct request_duty *d);
void request_duty_stop(struct request_duty *d);
void request_duty_free(struct request_duty *d);

#endif

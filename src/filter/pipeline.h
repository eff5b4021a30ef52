/*
 * The request path: all requests in flight of one host. Pure: requests,
 * results, views and the time come in; sub-requests, claims and answers go
 * out through callbacks. One thread owns it.
 */
#ifndef PIPELINE_H
#define PIPELINE_H

#include <stdint.h>

#include "base/timer_queue.h"
#include "decide/once.h"
#include "duty/messages.h"
#include "model/request_report.h"

struct pipeline;

struct pipeline_ops {
	/* Sends a sub-request or a cancellation; takes ownership of @call. */
	void (*send)(void *ctx, struct subrequest_msg *call);
	/* Claims a request ID; the result comes through pipeline_on_claim(). */
	void (*claim)(void *ctx, uint64_t req_no, const char *customer,
		      const char *request_id);
	/* Records the outcome of a claimed request. */
	void (*record_outcome)(void *ctx, const char *customer,
			       const char *request_id, enum outcome outcome);
	void *ctx;
};

/* @self: this host's ID. @timers: run by the caller with its clock. */
struct pipeline *pipeline_new(const struct pipeline_ops *ops,
			      struct timer_queue *timers, const char *self,
			      uint64_t seed);
void pipeline_free(struct pipeline *p);

/* Takes ownership of the argument. */
void pipeline_set_view(struct pipeline *p, struct view *v, int64_t now_us);
void pipeline_on_request(struct pipeline *p, struct caller_request *c,
			 int64_t now_us);
void pipeline_on_result(struct pipeline *p, struct subrequest_result *result,
			int64_t now_us);

/*
 * Result of pipeline_ops.claim. Returns 0 when the request has ended meanwhile; a
 * granted claim is then to be recorded as OUTCOME_NOT_RUN.
 */
int pipeline_on_claim(struct pipeline *p, uint64_t req_no,
		      enum claim_result result, int64_t now_us);
/* The caller's connection is gone: cancels the request's work. */
void pipeline_on_caller_gone(struct pipeline *p, uint64_t handle,
			     int64_t now_us);
void pipeline_on_notice(struct pipeline *p, const struct target_notice *n,
			int64_t now_us);
/* Refuses new requests from now on; those in flight finish. */
void pipeline_drain(struct pipeline *p);
/*
 * 1 when requests can be answered: a view is in force and every shard has a
 * replica in use, or announcements were awaited long enough.
 */
int pipeline_ready(const struct pipeline *p, int64_t now_us);
/* Number of requests in flight. */
uint32_t pipeline_open_count(const struct pipeline *p);
/* What was observed since the last call; the caller frees it. */
struct request_report *pipeline_take_report(struct pipeline *p, int64_t now_us);

#endif

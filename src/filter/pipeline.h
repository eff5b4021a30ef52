/*
 * Pipeline: runs the filter chain of all searches and lookups in flight on this
 * host. It does no input or output and reads no clock: requests, results, views
 * and the time come in as arguments; sub-requests, claims and answers go out
 * through callbacks. One thread owns it.
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
	/* Sends a sub-request or a cancellation; takes ownership of @msg. */
	void (*send)(void *ctx, struct subrequest_msg *msg);
	/* Claims a request ID; the result comes through pipeline_on_claim(). */
	void (*claim)(void *ctx, uint64_t req_no, const char *customer,
		      const char *request_id);
	/* Records the outcome of a claimed request. */
	void (*record_outcome)(void *ctx, const char *customer,
			       const char *request_id, enum outcome outcome);
	void *ctx;
};

/*
 * @timers: run by the thread that owns the pipeline, with the clock that it
 * passes in as now_us. @self: this host's ID.
 */
struct pipeline *pipeline_new(const struct pipeline_ops *ops,
			      struct timer_queue *timers, const char *self,
			      uint64_t seed);
void pipeline_free(struct pipeline *p);

/* Each of these three takes ownership of its second argument. */
void pipeline_set_view(struct pipeline *p, struct view *v, int64_t now_us);
void pipeline_on_request(struct pipeline *p, struct caller_request *in,
			 int64_t now_us);
void pipeline_on_result(struct pipeline *p, struct subrequest_result *result,
			int64_t now_us);

/*
 * Result of pipeline_ops.claim for the request with number @req_no. Returns 1,
 * or 0 when the request has ended meanwhile; a granted claim is then to be
 * recorded as OUTCOME_NOT_RUN.
 */
int pipeline_on_claim(struct pipeline *p, uint64_t req_no,
		      enum claim_result result, int64_t now_us);
/*
 * The caller of @exchange_id closed its connection: ends the request if it is
 * still in flight, and cancels its sub-requests.
 */
void pipeline_on_caller_gone(struct pipeline *p, uint64_t exchange_id,
			     int64_t now_us);
/*
 * Another host announced a target's state, for the first time or again. It is
 * taken over unless it is that of an older process of the target.
 */
void pipeline_on_notice(struct pipeline *p, const struct target_notice *n,
			int64_t now_us);
/* Refuses new requests from now on; those in flight go on. */
void pipeline_drain(struct pipeline *p);
/*
 * 1 when requests can be answered: the pipeline does not drain, a view is in
 * force, and either every shard has a warm replica in use or announcements were
 * awaited long enough.
 */
int pipeline_ready(const struct pipeline *p, int64_t now_us);
/* Number of requests in flight. */
uint32_t pipeline_open_count(const struct pipeline *p);
/* What was observed since the last call; freed with request_report_free(). */
struct request_report *pipeline_take_report(struct pipeline *p, int64_t now_us);

#endif

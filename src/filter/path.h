/*
 * The request path: all requests in flight of one host. Pure: requests,
 * results, views and the time come in; sub-requests, claims and answers go
 * out through callbacks. One thread owns it.
 */
#ifndef PATH_H
#define PATH_H

#include <stdint.h>

#include "base/tmr.h"
#include "decide/once.h"
#include "duty/messages.h"
#include "model/evidence.h"

struct path;

struct path_ops {
	/* Sends a sub-request or a cancellation; takes ownership of @call. */
	void (*send)(void *ctx, struct sub_call *call);
	/* Claims a request ID; the result comes through path_claimed(). */
	void (*claim)(void *ctx, uint64_t req_no, const char *customer,
		      const char *request_id);
	/* Records the outcome of a claimed request. */
	void (*record)(void *ctx, const char *customer, const char *request_id,
		       enum outcome outcome);
	void *ctx;
};

/* @self: this host's ID. @timers: run by the caller with its clock. */
struct path *path_new(const struct path_ops *ops, struct tmr *timers,
		      const char *self, uint64_t seed);
void path_free(struct path *p);

/* Takes ownership of the argument. */
void path_view(struct path *p, struct view *v, int64_t now_us);
void path_request(struct path *p, struct caller_request *c, int64_t now_us);
void path_result(struct path *p, struct sub_result *result, int64_t now_us);

/*
 * Result of path_ops.claim. Returns 0 when the request has ended meanwhile; a
 * granted claim is then to be recorded as OUTCOME_NOT_RUN.
 */
int path_claimed(struct path *p, uint64_t req_no, enum claim_result result,
		 int64_t now_us);
/* The caller's connection is gone: cancels the request's work. */
void path_caller_gone(struct path *p, uint64_t handle, int64_t now_us);
void path_notice(struct path *p, const struct target_notice *n, int64_t now_us);
/* Refuses new requests from now on; those in flight finish. */
void path_leave(struct path *p);
/*
 * 1 when requests can be answered: a view is in force and every shard has a
 * replica in use, or announcements were awaited long enough.
 */
int path_ready(const struct path *p, int64_t now_us);
/* Number of requests in flight. */
uint32_t path_open(const struct path *p);
/* What was observed since the last call; the caller frees it. */
struct evidence *path_evidence(struct path *p, int64_t now_us);

#endif

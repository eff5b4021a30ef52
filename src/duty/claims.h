/*
 * Claims of request IDs in the store, for the request duty: makes the store
 * calls that decide/once.h asks for, and keeps the lease that the claims are
 * attached to.
 */
#ifndef CLAIMS_H
#define CLAIMS_H

#include <stdint.h>

#include "base/ring.h"
#include "base/rng.h"
#include "base/timer_queue.h"
#include "decide/once.h"
#include "duty/messages.h"

struct claims;

/*
 * Called with the result of claims_acquire(). Returns 1, or 0 if request
 * @req_no has ended meanwhile.
 */
typedef int claims_done_fn(void *ctx, uint64_t req_no,
			   enum claim_result result);

/*
 * @self: ID of this host. @store: ring of the store duty. @replies: ring of the
 * request duty, whose timers are @timers.
 */
struct claims *claims_new(const char *self, uint64_t seed, struct ring *store,
			  struct ring *replies, struct timer_queue *timers,
			  claims_done_fn *done, void *ctx);
void claims_free(struct claims *c);

/* Claims @request_id for request @req_no; done() gets the result later. */
void claims_acquire(struct claims *c, uint64_t req_no, const char *customer,
		    const char *request_id);
/* Records the outcome of a request whose claim was granted. */
void claims_record(struct claims *c, const char *customer,
		   const char *request_id, enum outcome outcome);
/* Answers an OP_OUTCOME request; takes ownership of @request. */
void claims_answer_outcome(struct claims *c, struct caller_request *request);
/* Handles MSG_KV_REPLY; the caller keeps @reply. */
void claims_store_reply(struct claims *c, const struct kv_reply *reply);

#endif

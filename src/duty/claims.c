#include "duty/claims.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "codec/claim_json.h"

/*
 * New claims get a new lease every half of this time, so a claim lives for half
 * of it to all of it; then the store drops the claim.
 */
#define LEASE_TTL_MS (60 * 60 * 1000)
#define LEASE_PERIOD_US ((int64_t)LEASE_TTL_MS / 2 * US_PER_MS)
#define LEASE_RETRY_US (1 * US_PER_S)
#define STORE_CALL_TIMEOUT_MS 1000
/* Attempts to write an outcome. */
#define RECORD_ATTEMPTS_MAX 5
#define KEY_PREFIX "once/"

/*
 * A claim, the record of an outcome, a caller's query of an outcome, a lease.
 */
enum operation_kind {
	OPERATION_CLAIM,
	OPERATION_RECORD,
	OPERATION_QUERY,
	OPERATION_LEASE
};

/* One operation with a store call in progress. */
struct operation {
	uint64_t call_id;
	enum operation_kind kind;
	/* Of a claim: the request that waits for the result. */
	uint64_t req_no;
	char key[KV_KEY_BYTES];
	/* Of a claim or a record: state of the claim. */
	struct once once;
	/* Of a record: outcome to write. */
	enum outcome outcome;
	/* Of a record: attempts made so far. */
	uint32_t attempts;
	/* Of a query: the caller's request, which gets the answer. */
	struct caller_request *query;
	struct claims *claims;
	/*
	 * Of a claim without a store call: gives the result CLAIM_UNAVAILABLE
	 * once the filter that asked for the claim has returned.
	 */
	struct timer_entry defer_timer;
};

struct claims {
	char self[NAME_BYTES];
	struct rng rng;
	struct ring *store;
	struct ring *replies;
	struct timer_queue *timers;
	struct timer_entry lease_timer;
	claims_done_fn *done;
	void *ctx;
	/* Lease of new claims; 0 for none. */
	uint64_t lease;
	uint64_t last_call_id;
	/* Call ID to struct operation: store calls in progress. */
	GHashTable *open;
	/* Key to struct once: granted claims whose outcome is not recorded. */
	GHashTable *held;
};

static void lease_due(void *ctx, int64_t now_us);

struct claims *claims_new(const char *self, uint64_t seed, struct ring *store,
			  struct ring *replies, struct timer_queue *timers,
			  claims_done_fn *done, void *ctx)
{
	struct claims *c = util_alloc(1, sizeof(*c));

	util_copy_str(c->self, sizeof(c->self), self);
	c->rng.state = seed;
	c->store = store;
	c->replies = replies;
	c->timers = timers;
	c->done = done;
	c->ctx = ctx;
	c->open = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	timer_queue_arm(timers, &c->lease_timer, 0, lease_due, c);
	return c;
}

static void operation_free(struct operation *op)
{
	caller_request_free(op->query);
	free(op);
}

void claims_free(struct claims *c)
{
	GHashTableIter iter;
	gpointer value;

	if (!c)
		return;
	timer_queue_cancel(c->timers, &c->lease_timer);
	g_hash_table_iter_init(&iter, c->open);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct operation *op = value;

		timer_queue_cancel(c->timers, &op->defer_timer);
		operation_free(op);
	}
	g_hash_table_destroy(c->open);
	g_hash_table_destroy(c->held);
	free(c);
}

static struct operation *operation_new(struct claims *c,
				       enum operation_kind kind)
{
	struct operation *op = util_alloc(1, sizeof(*op));

	op->kind = kind;
	op->claims = c;
	op->call_id = ++c->last_call_id;
	return op;
}

static void make_key(char *key, const char *customer, const char *request_id)
{
	snprintf(key, KV_KEY_BYTES, KEY_PREFIX "%s/%s", customer, request_id);
}

static void drop_request(void *body)
{
	kv_request_free(body);
}

/*
 * Sends a store call; returns 0 if the ring of the store duty does not take it.
 */
static int send_call(struct claims *c, struct operation *op,
		     struct kv_call *call)
{
	struct kv_request *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_KV_REQUEST, r, drop_request };

	call->timeout_ms = STORE_CALL_TIMEOUT_MS;
	r->call = *call;
	r->reply_to = c->replies;
	r->call_id = op->call_id;
	g_hash_table_insert(c->open, &op->call_id, op);
	if (ring_push(c->store, &m) == ERR_OK)
		return 1;
	g_hash_table_remove(c->open, &op->call_id);
	kv_request_free(r);
	return 0;
}

static int send_write(struct claims *c, struct operation *op, uint64_t version,
		      const char *token, enum outcome outcome)
{
	struct once_claim claim = { .outcome = outcome };
	struct kv_call call = { .op = KV_CAS, .rev = version };

	util_copy_str(claim.token, sizeof(claim.token), token);
	util_copy_str(call.key, sizeof(call.key), op->key);
	call.value = claim_json_encode(&claim);
	call.value_bytes = (uint32_t)strlen(call.value);
	call.lease = c->lease;
	return send_call(c, op, &call);
}

static int send_read(struct claims *c, struct operation *op)
{
	struct kv_call call = { .op = KV_GET };

	util_copy_str(call.key, sizeof(call.key), op->key);
	return send_call(c, op, &call);
}

static void lease_due(void *ctx, int64_t now_us)
{
	struct claims *c = ctx;
	struct operation *op = operation_new(c, OPERATION_LEASE);
	struct kv_call call = { .op = KV_LEASE_GRANT, .ttl_ms = LEASE_TTL_MS };

	timer_queue_arm(c->timers, &c->lease_timer, now_us + LEASE_RETRY_US,
			lease_due, c);
	if (!send_call(c, op, &call))
		operation_free(op);
}

static void lease_reply(struct claims *c, const struct kv_result *r)
{
	if (r->err.code != ERR_OK)
		return;
	c->lease = r->lease;
	timer_queue_arm(c->timers, &c->lease_timer,
			clock_now_us() + LEASE_PERIOD_US, lease_due, c);
}

static void lease_lost(struct claims *c)
{
	c->lease = 0;
	timer_queue_arm(c->timers, &c->lease_timer, 0, lease_due, c);
}

static void write_record(struct claims *c, struct operation *op,
			 const struct once *held)
{
	op->once = *held;
	op->attempts++;
	if (!send_write(c, op, held->version, held->token, op->outcome))
		operation_free(op);
}

static void finish_claim(struct claims *c, struct operation *op)
{
	int granted = op->once.result == CLAIM_GRANTED;

	/*
	 * While done() runs, the request can end and record its outcome, which
	 * needs the claim in c->held.
	 */
	if (granted) {
		struct once *held = util_alloc(1, sizeof(*held));

		*held = op->once;
		g_hash_table_insert(c->held, g_strdup(op->key), held);
	}
	if (c->done(c->ctx, op->req_no, op->once.result) || !granted) {
		operation_free(op);
		return;
	}
	g_hash_table_remove(c->held, op->key);
	/*
	 * The request ended before the claim was granted. OUTCOME_NOT_RUN lets
	 * the caller use the request ID again.
	 */
	op->kind = OPERATION_RECORD;
	op->outcome = OUTCOME_NOT_RUN;
	write_record(c, op, &op->once);
}

static void continue_claim(struct claims *c, struct operation *op,
			   enum once_step step)
{
	int sent = 1;

	if (step == ONCE_WRITE)
		sent = send_write(c, op, op->once.version, op->once.token,
				  OUTCOME_UNKNOWN);
	else if (step == ONCE_READ)
		sent = send_read(c, op);
	if (!sent) {
		op->once.result = CLAIM_UNAVAILABLE;
		step = ONCE_END;
	}
	if (step == ONCE_END)
		finish_claim(c, op);
}

static void defer_over(void *ctx, int64_t now_us)
{
	struct operation *op = ctx;

	g_hash_table_remove(op->claims->open, &op->call_id);
	finish_claim(op->claims, op);
}

/*
 * The filter that asks for the claim is still running, so a timer gives it the
 * result.
 */
static void defer_unavailable(struct claims *c, struct operation *op)
{
	op->once.result = CLAIM_UNAVAILABLE;
	g_hash_table_insert(c->open, &op->call_id, op);
	timer_queue_arm(c->timers, &op->defer_timer, 0, defer_over, op);
}

void claims_acquire(struct claims *c, uint64_t req_no, const char *customer,
		    const char *request_id)
{
	struct operation *op = operation_new(c, OPERATION_CLAIM);
	char token[NAME_BYTES];

	snprintf(token, sizeof(token), "%.40s-%016" PRIx64, c->self,
		 rng_u64(&c->rng));
	once_init(&op->once, token);
	op->req_no = req_no;
	make_key(op->key, customer, request_id);
	/* Without a lease the store would keep the claim for ever. */
	if (!c->lease || !send_write(c, op, 0, token, OUTCOME_UNKNOWN))
		defer_unavailable(c, op);
}

void claims_record(struct claims *c, const char *customer,
		   const char *request_id, enum outcome outcome)
{
	struct operation *op;
	char key[KV_KEY_BYTES];
	const struct once *held;

	make_key(key, customer, request_id);
	held = g_hash_table_lookup(c->held, key);
	/* A claim without a record says outcome_unknown. */
	if (!held || outcome == OUTCOME_UNKNOWN) {
		g_hash_table_remove(c->held, key);
		return;
	}
	op = operation_new(c, OPERATION_RECORD);
	op->outcome = outcome;
	util_copy_str(op->key, sizeof(op->key), key);
	write_record(c, op, held);
	g_hash_table_remove(c->held, key);
}

void claims_answer_outcome(struct claims *c, struct caller_request *request)
{
	struct operation *op = operation_new(c, OPERATION_QUERY);

	op->query = request;
	make_key(op->key, request->request->customer, request->request->id);
	if (!send_read(c, op)) {
		struct answer *answer = util_alloc(1, sizeof(*answer));

		err_set(&answer->err, ERR_OVERLOADED,
			"ring of the store duty is full");
		answer->outcome = OUTCOME_UNKNOWN;
		request->reply(request->reply_ctx, answer);
		operation_free(op);
	}
}

static int decode(const struct kv_result *r, struct once_claim *claim)
{
	return r->pair_count > 0 && r->pairs[0].value &&
	       claim_json_decode(claim, r->pairs[0].value,
				 r->pairs[0].value_bytes);
}

static void query_reply(struct operation *op, const struct kv_result *r)
{
	struct answer *answer = util_alloc(1, sizeof(*answer));
	struct once_claim claim = { .outcome = OUTCOME_UNKNOWN };

	util_copy_str(answer->request_id, sizeof(answer->request_id),
		      op->query->request->id);
	answer->outcome = OUTCOME_UNKNOWN;
	answer->outcome_only = 1;
	if (r->err.code == ERR_STORE_NOT_FOUND)
		err_set(&answer->err, ERR_NOT_FOUND,
			"request ID was not claimed");
	else if (r->err.code != ERR_OK)
		answer->err = r->err;
	else if (decode(r, &claim))
		answer->outcome = claim.outcome;
	op->query->reply(op->query->reply_ctx, answer);
	operation_free(op);
}

static void claim_reply(struct claims *c, struct operation *op,
			const struct kv_reply *reply)
{
	const struct kv_result *r = &reply->result;
	struct once_claim claim;

	/*
	 * The store has lost the lease, for example because it was restored.
	 */
	if (reply->op == KV_CAS && r->err.code == ERR_STORE_NOT_FOUND)
		lease_lost(c);
	if (reply->op == KV_CAS)
		continue_claim(c, op,
			       once_on_write(&op->once, r->err.code, r->rev));
	else
		continue_claim(c, op,
			       once_on_read(&op->once, r->err.code, r->rev,
					    decode(r, &claim) ? &claim : NULL));
}

static void record_reply(struct claims *c, struct operation *op,
			 const struct kv_result *r)
{
	int final = r->err.code == ERR_OK || r->err.code == ERR_STORE_CONFLICT;

	if (!final && op->attempts < RECORD_ATTEMPTS_MAX) {
		struct once held = op->once;

		write_record(c, op, &held);
		return;
	}
	if (!final)
		log_event(LOG_LEVEL_WARNING, "outcome_not_recorded",
			  "%s: %s; the claim says outcome_unknown, unless "
			  "the last write took effect",
			  op->key, err_name(r->err.code));
	operation_free(op);
}

void claims_store_reply(struct claims *c, const struct kv_reply *reply)
{
	struct operation *op = g_hash_table_lookup(c->open, &reply->call_id);

	if (!op)
		return;
	g_hash_table_remove(c->open, &reply->call_id);
	switch (op->kind) {
	case OPERATION_CLAIM:
		claim_reply(c, op, reply);
		break;
	case OPERATION_RECORD:
		record_reply(c, op, &reply->result);
		break;
	case OPERATION_QUERY:
		query_reply(op, &reply->result);
		break;
	case OPERATION_LEASE:
		lease_reply(c, &reply->result);
		operation_free(op);
		break;
	}
}

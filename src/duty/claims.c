#include "duty/claims.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "codec/claim_json.h"

/* Claims live from a half to the whole of this time, then the store drops them. */
#define LEASE_TTL_MS (60 * 60 * 1000)
#define LEASE_PERIOD_US ((int64_t)LEASE_TTL_MS / 2 * US_PER_MS)
#define LEASE_RETRY_US (1 * US_PER_S)
#define CALL_TIMEOUT_MS 1000
/* Outcomes are written again after failures for this many times. */
#define RECORD_ATTEMPTS_MAX 5
#define KEY_PREFIX "once/"

enum entry_kind { ENTRY_CLAIM, ENTRY_RECORD, ENTRY_QUERY, ENTRY_LEASE };

struct entry {
	uint64_t token;
	enum entry_kind kind;
	uint64_t req_no;
	char key[KV_KEY_BYTES];
	struct once once;
	enum outcome outcome;
	uint32_t attempts;
	struct caller_request *query;
	struct claims *claims;
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
	uint64_t lease;
	uint64_t next_token;
	/* Token to struct entry: store calls in progress. */
	GHashTable *open;
	/* Key to struct once: claims that this host holds. */
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

static void free_entry(struct entry *e)
{
	caller_request_free(e->query);
	free(e);
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
		struct entry *e = value;

		timer_queue_cancel(c->timers, &e->defer_timer);
		free_entry(e);
	}
	g_hash_table_destroy(c->open);
	g_hash_table_destroy(c->held);
	free(c);
}

static struct entry *entry_new(struct claims *c, enum entry_kind kind)
{
	struct entry *e = util_alloc(1, sizeof(*e));

	e->kind = kind;
	e->claims = c;
	e->token = ++c->next_token;
	return e;
}

static void make_key(char *key, const char *customer, const char *request_id)
{
	snprintf(key, KV_KEY_BYTES, KEY_PREFIX "%s/%s", customer, request_id);
}

static void drop_call(void *body)
{
	kv_request_free(body);
}

/* Sends a call; returns 0 when the store's ring does not take it. */
static int send_call(struct claims *c, struct entry *e, struct kv_call *call)
{
	struct kv_request *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_KV_REQUEST, r, drop_call };

	call->timeout_ms = CALL_TIMEOUT_MS;
	r->call = *call;
	r->reply_to = c->replies;
	r->call_id = e->token;
	g_hash_table_insert(c->open, &e->token, e);
	if (ring_push(c->store, &m) == ERR_OK)
		return 1;
	g_hash_table_remove(c->open, &e->token);
	kv_request_free(r);
	return 0;
}

static int send_write(struct claims *c, struct entry *e, uint64_t version,
		      const char *token, enum outcome outcome)
{
	struct once_claim doc = { .outcome = outcome };
	struct kv_call call = { .op = KV_CAS, .version = version };

	util_copy_str(doc.token, sizeof(doc.token), token);
	util_copy_str(call.key, sizeof(call.key), e->key);
	call.value = claim_json_encode(&doc);
	call.value_bytes = (uint32_t)strlen(call.value);
	call.lease = c->lease;
	return send_call(c, e, &call);
}

static int send_read(struct claims *c, struct entry *e)
{
	struct kv_call call = { .op = KV_GET };

	util_copy_str(call.key, sizeof(call.key), e->key);
	return send_call(c, e, &call);
}

static void lease_due(void *ctx, int64_t now_us)
{
	struct claims *c = ctx;
	struct entry *e = entry_new(c, ENTRY_LEASE);
	struct kv_call call = { .op = KV_LEASE_GRANT, .ttl_ms = LEASE_TTL_MS };

	timer_queue_arm(c->timers, &c->lease_timer, now_us + LEASE_RETRY_US,
			lease_due, c);
	if (!send_call(c, e, &call))
		free_entry(e);
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

static void record_entry(struct claims *c, struct entry *e,
			 const struct once *held)
{
	e->once = *held;
	e->attempts++;
	if (!send_write(c, e, held->version, held->token, e->outcome))
		free_entry(e);
}

static void claim_end(struct claims *c, struct entry *e)
{
	int granted = e->once.result == CLAIM_GRANTED;

	/* The request can end, and record its outcome, during the call. */
	if (granted) {
		struct once *held = util_alloc(1, sizeof(*held));

		*held = e->once;
		g_hash_table_insert(c->held, g_strdup(e->key), held);
	}
	if (c->done(c->ctx, e->req_no, e->once.result) || !granted) {
		free_entry(e);
		return;
	}
	g_hash_table_remove(c->held, e->key);
	/* The request ended first: let the caller use the ID again. */
	e->kind = ENTRY_RECORD;
	e->outcome = OUTCOME_NOT_RUN;
	record_entry(c, e, &e->once);
}

static void claim_step(struct claims *c, struct entry *e, enum once_step step)
{
	int sent = 1;

	if (step == ONCE_WRITE)
		sent = send_write(c, e, e->once.version, e->once.token,
				  OUTCOME_UNKNOWN);
	else if (step == ONCE_READ)
		sent = send_read(c, e);
	if (!sent) {
		e->once.result = CLAIM_UNAVAILABLE;
		step = ONCE_END;
	}
	if (step == ONCE_END)
		claim_end(c, e);
}

static void deferred(void *ctx, int64_t now_us)
{
	struct entry *e = ctx;

	g_hash_table_remove(e->claims->open, &e->token);
	claim_end(e->claims, e);
}

/* The asking filter is still running: the result follows as a timer. */
static void defer_unavailable(struct claims *c, struct entry *e)
{
	e->once.result = CLAIM_UNAVAILABLE;
	g_hash_table_insert(c->open, &e->token, e);
	timer_queue_arm(c->timers, &e->defer_timer, 0, deferred, e);
}

void claims_acquire(struct claims *c, uint64_t req_no, const char *customer,
		    const char *request_id)
{
	struct entry *e = entry_new(c, ENTRY_CLAIM);
	char token[NAME_BYTES];

	snprintf(token, sizeof(token), "%.40s-%016" PRIx64, c->self,
		 rng_u64(&c->rng));
	once_init(&e->once, token);
	e->req_no = req_no;
	make_key(e->key, customer, request_id);
	/* Without a lease the store would keep the claim for ever. */
	if (!c->lease || !send_write(c, e, 0, token, OUTCOME_UNKNOWN))
		defer_unavailable(c, e);
}

void claims_record(struct claims *c, const char *customer,
		   const char *request_id, enum outcome outcome)
{
	struct entry *e;
	char key[KV_KEY_BYTES];
	const struct once *held;

	make_key(key, customer, request_id);
	held = g_hash_table_lookup(c->held, key);
	/* Without a record the claim itself says outcome_unknown. */
	if (!held || outcome == OUTCOME_UNKNOWN) {
		g_hash_table_remove(c->held, key);
		return;
	}
	e = entry_new(c, ENTRY_RECORD);
	e->outcome = outcome;
	util_copy_str(e->key, sizeof(e->key), key);
	record_entry(c, e, held);
	g_hash_table_remove(c->held, key);
}

void claims_answer_outcome(struct claims *c, struct caller_request *request)
{
	struct entry *e = entry_new(c, ENTRY_QUERY);

	e->query = request;
	make_key(e->key, request->request->customer, request->request->id);
	if (!send_read(c, e)) {
		struct answer *a = util_alloc(1, sizeof(*a));

		err_set(&a->err, ERR_OVERLOADED, "store ring is full");
		a->outcome = OUTCOME_UNKNOWN;
		request->reply(request->reply_ctx, a);
		free_entry(e);
	}
}

static int decode(const struct kv_result *r, struct once_claim *claim)
{
	return r->pair_count > 0 && r->pairs[0].value &&
	       claim_json_decode(claim, r->pairs[0].value,
				 r->pairs[0].value_bytes);
}

static void query_reply(struct entry *e, const struct kv_result *r)
{
	struct answer *a = util_alloc(1, sizeof(*a));
	struct once_claim claim = { .outcome = OUTCOME_UNKNOWN };

	util_copy_str(a->request_id, sizeof(a->request_id),
		      e->query->request->id);
	a->outcome = OUTCOME_UNKNOWN;
	a->outcome_only = 1;
	if (r->err.code == ERR_STORE_NOT_FOUND)
		err_set(&a->err, ERR_NOT_FOUND, "request ID was not claimed");
	else if (r->err.code != ERR_OK)
		a->err = r->err;
	else if (decode(r, &claim))
		a->outcome = claim.outcome;
	e->query->reply(e->query->reply_ctx, a);
	free_entry(e);
}

static void claim_reply(struct claims *c, struct entry *e,
			const struct kv_reply *reply)
{
	const struct kv_result *r = &reply->result;
	struct once_claim claim;

	/* The lease is gone, such as after a restore of the store. */
	if (reply->op == KV_CAS && r->err.code == ERR_STORE_NOT_FOUND)
		lease_lost(c);
	if (reply->op == KV_CAS)
		claim_step(c, e,
			   once_on_write(&e->once, r->err.code, r->version));
	else
		claim_step(c, e,
			   once_on_read(&e->once, r->err.code, r->version,
					decode(r, &claim) ? &claim : NULL));
}

static void record_reply(struct claims *c, struct entry *e,
			 const struct kv_result *r)
{
	int final = r->err.code == ERR_OK || r->err.code == ERR_STORE_CONFLICT;

	if (!final && e->attempts < RECORD_ATTEMPTS_MAX) {
		struct once held = e->once;

		record_entry(c, e, &held);
		return;
	}
	if (!final)
		log_event(LOG_LEVEL_WARNING, "outcome_not_recorded",
			  "%s: %s; the claim says outcome_unknown", e->key,
			  err_name(r->err.code));
	free_entry(e);
}

void claims_store_reply(struct claims *c, const struct kv_reply *reply)
{
	struct entry *e = g_hash_table_lookup(c->open, &reply->call_id);

	if (!e)
		return;
	g_hash_table_remove(c->open, &reply->call_id);
	switch (e->kind) {
	case ENTRY_CLAIM:
		claim_reply(c, e, reply);
		break;
	case ENTRY_RECORD:
		record_reply(c, e, &reply->result);
		break;
	case ENTRY_QUERY:
		query_reply(e, &reply->result);
		break;
	case ENTRY_LEASE:
		lease_reply(c, &reply->result);
		free_entry(e);
		break;
	}
}

#include "duty/store.h"

#include <stdatomic.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "decide/kv_limiter.h"
#include "platform/kv_http.h"

/* More than the calls that all controllers make at once after a restart. */
#define RING_CAPACITY 4096
/* Longest wait of kv_http_poll(); the ring's wake callback ends it earlier. */
#define POLL_MAX_MS 1000
/*
 * A reply that the ring of the asking duty does not take is pushed again after
 * this time.
 */
#define REPLY_RETRY_US (10 * US_PER_MS)
/* A watch that a rate limit refused is not tried again before this time. */
#define RATE_RETRY_US (200 * US_PER_MS)
/*
 * A watch on a store that never changed lists all keys again after this time.
 */
#define EMPTY_RETRY_US (100 * US_PER_MS)
/* A read that got no answer is sent once more, on another connection. */
#define READ_ATTEMPTS 2

struct store {
	struct duty *duty;
	struct kv_http *http;
	struct kv_driver driver;
	struct kv_limiter limiter;
	/* Number of hosts that share the store's read and write rates. */
	_Atomic uint32_t host_count;
	/* Doubly linked list of the jobs in progress. */
	struct job *jobs;
	/* 1 during store_free(): results of jobs are dropped. */
	uint32_t is_freeing;
};

/* One store call, from its MSG_KV_REQUEST until its reply was pushed. */
struct job {
	struct store *store;
	struct job *next;
	struct job *prev;
	struct kv_request *request;
	/* NULL before the result is known. */
	struct kv_reply *reply;
	/* Starts the next attempt, or pushes the reply again. */
	struct timer_entry timer;
	int64_t deadline_us;
	/* Attempts made so far. */
	uint32_t attempts;
};

static void job_free(struct job *j)
{
	timer_queue_cancel(duty_timers(j->store->duty), &j->timer);
	if (j->prev)
		j->prev->next = j->next;
	else
		j->store->jobs = j->next;
	if (j->next)
		j->next->prev = j->prev;
	kv_request_free(j->request);
	kv_reply_free(j->reply);
	free(j);
}

static void drop_reply(void *body)
{
	kv_reply_free(body);
}

/* Pushes the reply to the asking duty. */
static void deliver(void *ctx, int64_t now_us)
{
	struct job *j = ctx;
	struct msg m = { MSG_KV_REPLY, j->reply, drop_reply };
	enum err_code code = ERR_STOPPING;

	/* The ring may be gone by the time at which the store is freed. */
	if (!j->store->is_freeing)
		code = ring_push(j->request->reply_to, &m);
	if (code == ERR_RING_FULL) {
		timer_queue_arm(duty_timers(j->store->duty), &j->timer,
				now_us + REPLY_RETRY_US, deliver, j);
		return;
	}
	if (code == ERR_OK)
		j->reply = NULL;
	job_free(j);
}

/* Ends the job with a reply that takes over the contents of @r. */
static void reply(struct job *j, struct kv_result *r)
{
	j->reply = util_alloc(1, sizeof(*j->reply));
	j->reply->call_id = j->request->call_id;
	j->reply->op = j->request->call.op;
	util_copy_str(j->reply->key, sizeof(j->reply->key),
		      j->request->call.key);
	j->reply->result = *r;
	memset(r, 0, sizeof(*r));
	deliver(j, clock_now_us());
}

static void attempt(void *ctx, int64_t now_us);

/*
 * Makes the next attempt at @at_us, or replies with @r if the deadline is over
 * by then.
 */
static void retry_or_reply(struct job *j, int64_t at_us, struct kv_result *r)
{
	if (at_us >= j->deadline_us) {
		reply(j, r);
		return;
	}
	kv_result_clear(r);
	timer_queue_arm(duty_timers(j->store->duty), &j->timer, at_us, attempt,
			j);
}

static int watch_is_retried(enum err_code code)
{
	return code == ERR_STORE_DOWN || code == ERR_STORE_RATE;
}

static void watch_result(struct job *j, int64_t now_us, struct kv_result *r)
{
	struct kv_call *call = &j->request->call;
	int64_t retry_us = kv_limiter_next_call_us(&j->store->limiter, now_us);

	if (r->err.code == ERR_STORE_RATE)
		retry_us = util_max_i64(retry_us, now_us + RATE_RETRY_US);
	if (watch_is_retried(r->err.code) && !call->is_one_shot) {
		retry_or_reply(j, retry_us, r);
		return;
	}
	if (r->err.code == ERR_STORE_HISTORY) {
		/*
		 * The store no longer has the changes since call->version, so
		 * the next attempt lists all keys.
		 */
		call->rev = 0;
		retry_or_reply(j, now_us, r);
		return;
	}
	if (call->is_one_shot) {
		reply(j, r);
		return;
	}
	if (r->err.code == ERR_OK && r->is_full && !r->rev) {
		/* A store without any change has no revision to watch from. */
		retry_or_reply(j, now_us + EMPTY_RETRY_US, r);
		return;
	}
	if (r->err.code != ERR_OK || r->pair_count || r->is_full ||
	    r->rev < call->rev) {
		reply(j, r);
		return;
	}
	call->rev = r->rev;
	retry_or_reply(j, now_us, r);
}

static void take_result(struct job *j, int64_t now_us, struct kv_result *r)
{
	enum kv_op op = j->request->call.op;

	if (op == KV_WATCH)
		watch_result(j, now_us, r);
	else if (r->err.code == ERR_STORE_DOWN && !kv_op_is_write(op) &&
		 j->attempts < READ_ATTEMPTS)
		retry_or_reply(
			j, kv_limiter_next_call_us(&j->store->limiter, now_us),
			r);
	else
		reply(j, r);
}

static void call_done(void *ctx, const struct kv_result *result)
{
	struct job *j = ctx;
	struct kv_result copy = *result;
	int64_t now_us = clock_now_us();
	uint32_t i;

	copy.pairs = util_alloc(copy.pair_count, sizeof(*copy.pairs));
	for (i = 0; i < copy.pair_count; i++) {
		struct kv_pair *p = &copy.pairs[i];

		*p = result->pairs[i];
		if (!p->value)
			continue;
		p->value = util_alloc(p->value_bytes + 1, 1);
		memcpy(p->value, result->pairs[i].value, p->value_bytes);
	}
	kv_limiter_result(&j->store->limiter, now_us, copy.err.code);
	take_result(j, now_us, &copy);
}

static uint32_t attempt_ms(const struct job *j, int64_t now_us)
{
	int64_t left_ms = (j->deadline_us - now_us) / US_PER_MS;

	/* The first attempt of a read leaves time for a second one. */
	if (!kv_op_is_write(j->request->call.op) &&
	    j->request->call.op != KV_WATCH && j->attempts < READ_ATTEMPTS)
		left_ms /= 2;
	return (uint32_t)util_max_i64(left_ms, 1);
}

static void attempt(void *ctx, int64_t now_us)
{
	struct job *j = ctx;
	struct store *s = j->store;
	struct kv_call call = j->request->call;
	struct kv_result r = { 0 };

	kv_limiter_set_hosts(&s->limiter, s->host_count);
	if (kv_limiter_enter(&s->limiter, now_us, call.op, &r.err) != ERR_OK) {
		/*
		 * The limiter refused the call. Only a watch is tried again:
		 * the attempts of a read count as used.
		 */
		j->attempts = READ_ATTEMPTS;
		take_result(j, now_us, &r);
		return;
	}
	j->attempts++;
	call.timeout_ms = attempt_ms(j, now_us);
	/*
	 * The store answers a watch well before the attempt times out, else the
	 * watch would count as failed.
	 */
	if (call.op == KV_WATCH)
		call.ttl_ms = util_min_u32(call.ttl_ms, call.timeout_ms / 2);
	j->request->call.value = NULL;
	s->driver.start(s->driver.driver_ctx, &call, call_done, j);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct store *s = ctx;
	struct job *j;

	if (m->type != MSG_KV_REQUEST) {
		if (m->drop)
			m->drop(m->body);
		return;
	}
	j = util_alloc(1, sizeof(*j));
	j->store = s;
	j->request = m->body;
	j->deadline_us =
		now_us + (int64_t)j->request->call.timeout_ms * US_PER_MS;
	j->next = s->jobs;
	if (s->jobs)
		s->jobs->prev = j;
	s->jobs = j;
	attempt(j, now_us);
}

static uint32_t poll_ms(int64_t wait_us)
{
	if (wait_us < 0)
		return POLL_MAX_MS;
	/* Rounded up, so that the next timer is due when the wait ends. */
	return (uint32_t)util_min_i64((wait_us + US_PER_MS - 1) / US_PER_MS,
				      POLL_MAX_MS);
}

static void run(void *ctx, struct duty *d)
{
	struct store *s = ctx;

	while (!duty_stopping(d)) {
		int64_t wait_us = duty_poll(d, on_message, s);

		if (!duty_stopping(d))
			kv_http_poll(s->http, poll_ms(wait_us));
	}
}

static void wake(void *ctx)
{
	struct store *s = ctx;

	kv_http_wake(s->http);
}

struct store *store_new(const struct store_options *options, struct err *err)
{
	struct store *s = util_alloc(1, sizeof(*s));

	s->host_count = 1;
	kv_limiter_init(&s->limiter, options->reads_per_s,
			options->writes_per_s, options->rng_seed);
	s->http = kv_http_new(options->address, options->port, err);
	if (s->http)
		s->duty = duty_new("store", RING_CAPACITY, wake, s, err);
	if (!s->duty) {
		store_free(s);
		return NULL;
	}
	s->driver = kv_http_driver(s->http);
	return s;
}

enum err_code store_start(struct store *s, struct err *err)
{
	return duty_start_loop(s->duty, run, s, err);
}

struct ring *store_ring(struct store *s)
{
	return duty_ring(s->duty);
}

void store_set_host_count(struct store *s, uint32_t host_count)
{
	s->host_count = host_count;
}

void store_stop(struct store *s)
{
	duty_stop(s->duty);
}

void store_join(struct store *s)
{
	duty_join(s->duty);
}

void store_free(struct store *s)
{
	struct job *j;
	struct job *next;

	if (!s)
		return;
	s->is_freeing = 1;
	kv_http_free(s->http);
	for (j = s->jobs; j; j = next) {
		next = j->next;
		job_free(j);
	}
	duty_free(s->duty);
	free(s);
}

/*
 * Filter 6: sends one sub-request per shard; chooses replicas, sends hedges and
 * retries, and cancels sub-requests.
 */
#include <string.h>

#include "base/metric.h"
#include "filter/pipeline_internal.h"

/*
 * All queues are looked at this often, because an avoided target becomes usable
 * by the passing of time, without a result.
 */
#define SWEEP_PERIOD_US (10 * US_PER_MS)
/*
 * Attempts without a usable replica after which scatter_send_waiting() stops,
 * to bound the work per answer. The requests behind them are tried when fewer
 * wait before them.
 */
#define QUEUE_MISSES_MAX 16
/*
 * Sub-requests for a shard without an answer after which the next one has a new
 * connection: the open ones may all have turned silent.
 */
#define NEW_CONNECTION_ATTEMPTS 2
/*
 * Part of the time from its sending to the cutoff after which a sub-request
 * without an answer may use the last of the budget for a hedge.
 */
#define LONG_WAIT_PERMILLE 100
/* A retry with less time than this until the cutoff is not sent. */
#define RETRY_TIME_MIN_US 1000

static const struct shard *shard_of(const struct shard_state *s)
{
	return &s->req->index->layout->shards[s->shard_pos];
}

static int is_version_allowed(const struct req *r,
			      const struct target_binding *t)
{
	if (t->version == VERSION_ANY)
		return 1;
	return r->version == VERSION_ANY || t->version == r->version;
}

/*
 * 1 if the request may use the target. @relaxed: also if it is in a data centre
 * or of a version that the request did not draw, as long as these have a share;
 * used when no replica is left of those drawn.
 */
static int is_target_allowed(const struct req *r,
			     const struct target_binding *t, int relaxed)
{
	const struct view *v = r->binding->view;

	if (t->is_blocked || t->dc_share_permille == 0)
		return 0;
	if (t->version != VERSION_ANY &&
	    v->versions[t->version].share_permille == 0)
		return 0;
	if (relaxed)
		return 1;
	return r->dc_draw_permille < t->dc_share_permille &&
	       is_version_allowed(r, t);
}

static int is_open_on(const struct shard_state *s, uint32_t replica)
{
	uint32_t i;

	for (i = 0; i < s->open_count; i++) {
		if (s->open[i]->replica_pos == replica)
			return 1;
	}
	return 0;
}

/* Counts of the replicas that a request may use and has not tried yet. */
struct replica_counts {
	/* Accept work now, or once other sub-requests are answered. */
	uint32_t live;
	/* May be usable at some time before the cutoff. */
	uint32_t may_recover;
};

/* Sub-requests that one customer may have open at @t from this host. */
static uint32_t customer_limit(const struct req *r,
			       const struct target_state *t)
{
	uint32_t share = target_connections_per_host(&t->def);

	return util_max_u32(
		1,
		share * r->customer->contract.target_share_permille / PERMILLE);
}

/*
 * Position of the best usable replica of the shard, or BALANCER_NONE. Adds the
 * replicas that the request may use to @counts.
 */
static uint32_t pick_replica(struct shard_state *s, int64_t now_us, int relaxed,
			     struct replica_counts *counts)
{
	struct req *r = s->req;
	const struct shard *shard = shard_of(s);
	struct target_binding *targets = r->index->targets;
	struct balancer_candidate candidates[SHARD_REPLICAS_MAX];
	uint32_t replicas[SHARD_REPLICAS_MAX];
	uint32_t count = 0;
	uint32_t picked;
	uint32_t i;

	for (i = 0; i < shard->replica_count; i++) {
		struct target_binding *t = &targets[shard->replicas[i]];

		if (s->failed_mask & (1U << i) || is_open_on(s, i) ||
		    !is_target_allowed(r, t, relaxed))
			continue;
		counts->live += (uint32_t)target_state_accepts_work(
			t->target, now_us, t->target->is_owner);
		counts->may_recover += (uint32_t)target_state_may_recover(
			t->target, r->cutoff_us, t->target->is_owner);
		if (customer_adjust_open(r->customer, t->target, 0) >=
		    customer_limit(r, t->target))
			continue;
		candidates[count] =
			(struct balancer_candidate){ t->target,
						     t->target->is_owner, 0 };
		replicas[count++] = i;
	}
	picked = balancer_pick(candidates, count, now_us, &r->pipeline->rng);
	return picked == BALANCER_NONE ? BALANCER_NONE : replicas[picked];
}

static struct subrequest_msg *make_msg(const struct req *r,
				       const struct shard *shard,
				       const struct subrequest *sub)
{
	struct subrequest_msg *msg = util_alloc(1, sizeof(*msg));

	msg->sub_id = sub->id;
	msg->op = r->request->op;
	util_copy_str(msg->request_id, sizeof(msg->request_id), r->request->id);
	util_copy_str(msg->index, sizeof(msg->index), r->request->index);
	util_copy_str(msg->shard, sizeof(msg->shard), shard->name);
	util_copy_str(msg->snapshot, sizeof(msg->snapshot),
		      r->index->layout->snapshot);
	util_copy_str(msg->address, sizeof(msg->address),
		      sub->target->def.address);
	msg->port = sub->target->def.port;
	msg->text = util_strdup(r->request->text);
	msg->limit = r->request->limit;
	msg->is_idempotent = r->request->op == OP_SEARCH ||
			     r->request->is_idempotent;
	msg->deadline_us = r->cutoff_us;
	msg->connection_limit = target_connections_per_host(&sub->target->def);
	msg->needs_new_connection = sub->needs_new_connection;
	msg->silent_us = sub->queue->silent_us;
	return msg;
}

static void on_hedge(void *ctx, int64_t now_us);

static void send_to(struct shard_state *s, uint32_t replica, int is_hedge,
		    int64_t now_us)
{
	struct req *r = s->req;
	struct pipeline *p = r->pipeline;
	const struct shard *shard = shard_of(s);
	int64_t delay_us = hedge_delay_current_us(&r->index->stats->hedge);
	struct subrequest *sub = util_alloc(1, sizeof(*sub));

	sub->id = p->next_subrequest_id++;
	sub->req = r;
	sub->pipeline = p;
	sub->shard_pos = s->shard_pos;
	sub->replica_pos = replica;
	sub->target = target_state_ref(
		r->index->targets[shard->replicas[replica]].target);
	sub->index_stats = r->index->stats;
	sub->customer = r->customer;
	sub->queue = r->index->queues[s->shard_pos];
	sub->op = r->request->op;
	sub->sent_us = now_us;
	sub->slow_after_us = delay_us;
	sub->is_hedge = is_hedge;
	sub->needs_new_connection = s->attempts >= NEW_CONNECTION_ATTEMPTS;
	util_copy_str(sub->service, sizeof(sub->service),
		      r->index->layout->service);
	util_copy_str(sub->request_id, sizeof(sub->request_id), r->request->id);
	g_hash_table_insert(p->subrequests, &sub->id, sub);
	s->open[s->open_count++] = sub;
	/* The first attempts of a restarted request were counted before. */
	if (s->attempts == 0 && !r->is_restarted)
		extra_budget_earn(&r->customer->budget, 1);
	s->attempts++;
	s->phase = SHARD_OPEN;
	r->sent_count++;
	target_state_sent(sub->target, now_us);
	customer_adjust_open(sub->customer, sub->target, 1);
	metric_add(METRIC_SUBREQUESTS_SENT, 1);
	if (!req_at_most_once(r))
		timer_queue_arm(p->timers, &sub->hedge_timer, now_us + delay_us,
				on_hedge, sub);
	p->ops.send(p->ops.ctx, make_msg(r, shard, sub));
}

static void sweep(void *ctx, int64_t now_us)
{
	struct pipeline *p = ctx;
	struct shard_queue *q;
	struct shard_queue *next;

	for (q = TAILQ_FIRST(&p->nonempty_queues); q; q = next) {
		next = TAILQ_NEXT(q, link);
		scatter_send_waiting(q, now_us);
	}
	if (!TAILQ_EMPTY(&p->nonempty_queues))
		timer_queue_arm(p->timers, &p->sweep_timer,
				now_us + SWEEP_PERIOD_US, sweep, p);
}

static struct shard_queue *queue_of(const struct shard_state *s)
{
	return s->req->index->queues[s->shard_pos];
}

static void dequeue_shard(struct shard_state *s)
{
	struct pipeline *p = s->req->pipeline;
	struct shard_queue *q;

	if (!s->is_queued)
		return;
	q = queue_of(s);
	TAILQ_REMOVE(&q->waiting, s, link);
	s->is_queued = 0;
	if (TAILQ_EMPTY(&q->waiting)) {
		TAILQ_REMOVE(&p->nonempty_queues, q, link);
		q->is_listed = 0;
	}
}

static void enqueue_shard(struct shard_state *s, int64_t now_us)
{
	struct pipeline *p = s->req->pipeline;
	struct shard_queue *q = queue_of(s);

	s->phase = SHARD_WAITING;
	if (s->is_queued)
		return;
	TAILQ_INSERT_TAIL(&q->waiting, s, link);
	s->is_queued = 1;
	if (!q->is_listed)
		TAILQ_INSERT_TAIL(&p->nonempty_queues, q, link);
	q->is_listed = 1;
	if (!p->sweep_timer.armed_pos)
		timer_queue_arm(p->timers, &p->sweep_timer,
				now_us + SWEEP_PERIOD_US, sweep, p);
}

static void resolve(struct shard_state *s, enum shard_phase phase)
{
	dequeue_shard(s);
	s->phase = phase;
	s->req->resolved_count++;
}

/*
 * Sends the shard's next sub-request, queues the shard until a replica is
 * usable, or fails the shard if no replica can become usable in time. Replicas
 * that the request did not draw are used only when none of the drawn ones is
 * live, so that the shares also hold while the drawn ones are busy.
 */
static void attempt(struct shard_state *s, int64_t now_us)
{
	struct replica_counts drawn = { 0 };
	struct replica_counts all = { 0 };
	uint32_t replica = pick_replica(s, now_us, 0, &drawn);

	if (replica == BALANCER_NONE && !drawn.live)
		replica = pick_replica(s, now_us, 1, &all);
	s->has_live_replica = drawn.live + all.live > 0;
	if (replica != BALANCER_NONE) {
		dequeue_shard(s);
		send_to(s, replica, 0, now_us);
	} else if (drawn.may_recover + all.may_recover > 0) {
		enqueue_shard(s, now_us);
	} else {
		resolve(s, SHARD_FAILED);
	}
}

static void cancel_subrequest(struct subrequest *sub, int64_t now_us)
{
	struct pipeline *p = sub->pipeline;
	struct subrequest_msg *msg = util_alloc(1, sizeof(*msg));

	timer_queue_cancel(p->timers, &sub->hedge_timer);
	sub->req = NULL;
	sub->is_cancelled = 1;
	target_state_abandoned(sub->target, now_us, now_us - sub->sent_us);
	request_report_add_abandoned(p, sub, now_us - sub->sent_us);
	if (!sub->is_hedge)
		hedge_delay_sample(&sub->index_stats->hedge,
				   now_us - sub->sent_us);
	msg->sub_id = sub->id;
	msg->is_cancel = 1;
	util_copy_str(msg->request_id, sizeof(msg->request_id),
		      sub->request_id);
	util_copy_str(msg->address, sizeof(msg->address),
		      sub->target->def.address);
	msg->port = sub->target->def.port;
	msg->connection_limit = target_connections_per_host(&sub->target->def);
	metric_add(METRIC_CANCELS, 1);
	p->ops.send(p->ops.ctx, msg);
}

static void cancel_open(struct shard_state *s, int64_t now_us)
{
	while (s->open_count > 0)
		cancel_subrequest(s->open[--s->open_count], now_us);
}

void scatter_cancel(struct req *r, int64_t now_us)
{
	uint32_t i;

	for (i = 0; r->shards && i < r->shard_count; i++) {
		dequeue_shard(&r->shards[i]);
		cancel_open(&r->shards[i], now_us);
	}
}

static void remove_open(struct shard_state *s, const struct subrequest *sub)
{
	uint32_t i;

	for (i = 0; i < s->open_count; i++) {
		if (s->open[i] == sub) {
			s->open[i] = s->open[--s->open_count];
			return;
		}
	}
}

/*
 * Takes an extra sub-request from the customer's budget for a hedge of @sub; the
 * last of it only if @sub is without an answer for long.
 */
static int may_hedge(const struct subrequest *sub, int64_t now_us)
{
	struct req *r = sub->req;
	int64_t time_us = r->cutoff_us - sub->sent_us;

	if ((now_us - sub->sent_us) * PERMILLE >= time_us * LONG_WAIT_PERMILLE)
		return extra_budget_spend(&r->customer->budget);
	return extra_budget_spend_surplus(&r->customer->budget);
}

/*
 * Sends a hedge if a replica that the request drew is usable and the budget
 * allows; otherwise tries again one delay later. Does nothing at
 * SHARD_SUBREQUESTS_MAX in flight or after SHARD_ATTEMPTS_MAX.
 */
static void on_hedge(void *ctx, int64_t now_us)
{
	struct subrequest *sub = ctx;
	struct req *r = sub->req;
	struct shard_state *s = &r->shards[sub->shard_pos - r->shard_first];
	int64_t delay_us = hedge_delay_current_us(&r->index->stats->hedge);
	struct replica_counts counts = { 0 };
	uint32_t replica;

	if (s->open_count == SHARD_SUBREQUESTS_MAX ||
	    s->attempts >= SHARD_ATTEMPTS_MAX)
		return;
	replica = pick_replica(s, now_us, 0, &counts);
	if (replica != BALANCER_NONE && may_hedge(sub, now_us)) {
		metric_add(METRIC_HEDGES, 1);
		send_to(s, replica, 1, now_us);
		return;
	}
	timer_queue_arm(sub->pipeline->timers, &sub->hedge_timer,
			now_us + delay_us, on_hedge, sub);
}

/*
 * Another sub-request of the shard failed and is not retried while @sub is in
 * flight. In case @sub is slow, arms its hedge timer if it is not armed: for
 * one delay after @sub was sent, or for now if that has passed.
 */
static void ensure_hedge_armed(struct subrequest *sub, int64_t now_us)
{
	int64_t delay_us =
		hedge_delay_current_us(&sub->req->index->stats->hedge);

	if (!sub->hedge_timer.armed_pos)
		timer_queue_arm(sub->pipeline->timers, &sub->hedge_timer,
				util_max_i64(now_us, sub->sent_us + delay_us),
				on_hedge, sub);
}

static int may_retry(const struct shard_state *s, enum err_code code,
		     int not_run, int64_t now_us)
{
	struct req *r = s->req;

	if (s->attempts >= SHARD_ATTEMPTS_MAX)
		return 0;
	if (r->cutoff_us - now_us < RETRY_TIME_MIN_US)
		return 0;
	/* Nothing reached the target, so the retry is no extra load. */
	if (not_run && (code == ERR_TARGET_CONNECT || code == ERR_RING_FULL))
		return 1;
	/*
	 * Bytes may have reached the target, and its statement that the request
	 * did not run cannot be matched with the sub-request.
	 */
	if (req_at_most_once(r))
		return 0;
	/* A draining target did no work, so the retry is no extra load. */
	if (not_run && code == ERR_TARGET_DRAINING)
		return 1;
	return extra_budget_spend(&r->customer->budget);
}

/*
 * 1 if the view in force has another snapshot of the index and the request was
 * not restarted before.
 */
static int may_restart(const struct req *r)
{
	const struct layout *next;

	if (r->is_restarted || r->pipeline->binding == r->binding)
		return 0;
	next = view_layout(r->pipeline->binding->view, r->request->index);
	return next && strcmp(next->snapshot, r->index->layout->snapshot) != 0;
}

static void restart(struct req *r, int64_t now_us)
{
	scatter_cancel(r, now_us);
	pin_release(r);
	hits_free(&r->hits);
	r->is_restarted = 1;
	r->answered_count = 0;
	r->resolved_count = 0;
	chain_rewind(&r->pipeline->chain, &r->chain_pos, "pin");
	req_resume(r, now_us);
}

static void on_subrequest_failed(struct shard_state *s,
				 const struct subrequest *sub,
				 const struct subrequest_result *result,
				 int64_t now_us)
{
	struct req *r = s->req;

	if (result->not_run)
		r->not_run_count++;
	if (result->code == ERR_TARGET_SHED)
		r->targets_overloaded = 1;
	if (result->code == ERR_TARGET_SNAPSHOT && result->not_run &&
	    !req_at_most_once(r) && may_restart(r)) {
		restart(r, now_us);
		return;
	}
	/* A replica that shed may be used again after others were tried. */
	if (result->code != ERR_TARGET_SHED)
		s->failed_mask |= 1U << sub->replica_pos;
	if (s->open_count > 0) {
		ensure_hedge_armed(s->open[0], now_us);
		return;
	}
	if (result->code == ERR_TARGET_TIMEOUT)
		queue_of(s)->silent_us = now_us;
	if (may_retry(s, result->code, (int)result->not_run, now_us)) {
		metric_add(METRIC_RETRIES, 1);
		attempt(s, now_us);
	} else {
		resolve(s, SHARD_FAILED);
	}
	req_resume(r, now_us);
}

static void on_subrequest_answered(struct shard_state *s,
				   const struct subrequest *sub,
				   struct subrequest_result *result,
				   int64_t now_us)
{
	struct req *r = s->req;

	/* Only the new connection has brought an answer. */
	if (sub->needs_new_connection && s->open_count > 0)
		queue_of(s)->silent_us = sub->sent_us;
	merge_move_hits(&r->hits, &result->hits);
	cancel_open(s, now_us);
	r->answered_count++;
	resolve(s, SHARD_ANSWERED);
	req_resume(r, now_us);
}

void scatter_on_result(struct subrequest *sub, struct subrequest_result *result,
		       int64_t now_us)
{
	struct req *r = sub->req;
	struct shard_state *s;

	timer_queue_cancel(sub->pipeline->timers, &sub->hedge_timer);
	if (!r)
		return;
	s = &r->shards[sub->shard_pos - r->shard_first];
	remove_open(s, sub);
	if (result->code == ERR_OK)
		on_subrequest_answered(s, sub, result, now_us);
	else
		on_subrequest_failed(s, sub, result, now_us);
}

void scatter_send_waiting(struct shard_queue *q, int64_t now_us)
{
	struct shard_state *s;
	struct shard_state *next;
	uint32_t misses = 0;

	/* The oldest may wait for a replica that the others do not need. */
	for (s = TAILQ_FIRST(&q->waiting); s && misses < QUEUE_MISSES_MAX;
	     s = next) {
		next = TAILQ_NEXT(s, link);
		attempt(s, now_us);
		if (s->is_queued)
			misses++;
		else if (s->phase == SHARD_FAILED)
			req_resume(s->req, now_us);
	}
}

/*
 * Shards that wait for busy targets at the cutoff are a sign of overload, and
 * so are sub-requests that are open at targets that are not avoided.
 */
void scatter_detect_overload(struct req *r, int64_t now_us)
{
	uint32_t i;

	for (i = 0; r->shards && i < r->shard_count; i++) {
		const struct shard_state *s = &r->shards[i];

		if (s->phase == SHARD_WAITING && s->has_live_replica)
			r->targets_overloaded = 1;
		if (s->phase == SHARD_OPEN && s->open_count > 0 &&
		    !s->open[0]->target->avoid_until_us)
			r->targets_overloaded = 1;
	}
}

void scatter_detect_silence(struct req *r, int64_t now_us)
{
	uint32_t i;

	for (i = 0; r->shards && i < r->shard_count; i++) {
		struct shard_state *s = &r->shards[i];

		if (s->phase == SHARD_OPEN && s->open_count > 0)
			queue_of(s)->silent_us = now_us;
	}
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	uint32_t i;

	metric_add(METRIC_SHARDS_ASKED, r->shard_count);
	hedge_delay_adjust(&r->index->stats->hedge, now_us,
			   extra_budget_fill_permille(&r->customer->budget));
	for (i = 0; i < r->shard_count; i++)
		attempt(&r->shards[i], now_us);
	return FILTER_NEXT;
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	scatter_cancel(r, now_us);
}

struct filter filter_scatter(struct pipeline *p)
{
	return (struct filter){ "scatter", enter, leave, p };
}

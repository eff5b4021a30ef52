#include "controller/canary.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "controller/cusum.h"
#include "model/store_pos.h"

/* A write whose result is not known after this time is tried again. */
#define WRITE_RETRY_US (1 * (int64_t)US_PER_S)
/*
 * For the threshold: in the two tests, over the 300 windows of 200 ms of a
 * rollout of one minute, at most one good version in a hundred is rolled back.
 */
#define TEST_COUNT 2.0
#define WINDOW_COUNT 300.0
#define FALSE_ALARM_RATE 0.01
/*
 * Shares of failed and of slow calls that are accepted of any version when no
 * old version runs that it could be compared with.
 */
#define FAILURES_FLOOR 0.02
#define SLOW_FLOOR 0.10
/* Share of the threshold from which on the version is under suspicion. */
#define SUSPECT_SHARE 0.5
/*
 * Failures from which on the version is under suspicion if they are more than
 * half of its calls. So few calls decide nothing by the test.
 */
#define MOSTLY_BAD_MIN 2

/* What can be bad about a call, and the number of such metrics. */
enum { FAILURES, SLOW, METRICS };

struct counts {
	/* Calls, hedges and retries included. */
	uint64_t requests;
	/* Failed and slow calls. */
	uint64_t bad[METRICS];
};

struct service_rollout {
	char service[NAME_BYTES];
	/* The order in effect, its revision (0: none), and when it was seen. */
	struct gw_rollout_order order;
	uint64_t order_rev;
	int64_t order_us;
	/* Order in an older copy that is held; position 0: none. */
	struct gw_rollout_order held;
	uint64_t held_rev;
	/* The item, its position (0: no item yet), and when it was seen. */
	struct gw_rollout item;
	uint64_t item_rev;
	int64_t item_us;
	/*
	 * 1: the store came back without this item, or with an earlier one, at
	 * position stored_rev (0: none), and it has to be written again.
	 */
	int is_item_lost;
	uint64_t stored_rev;
	/* The status that the operator reads; revision 0: not written yet. */
	struct gw_rollout_status status;
	uint64_t status_rev;
	struct cusum tests[METRICS];
	/* Calls to the ordered version that were reported since the order. */
	struct counts seen;
	/* 1: the ordered version was found bad; stays until the next order. */
	int is_bad;
	char reason[GW_REASON_BYTES];
	/* Time since which a document is due to be written; 0: none is. */
	int64_t due_us;
	/* A write is in progress until this time at the latest; 0: none. */
	int64_t writing_until_us;
};

struct canary {
	uint32_t exposure_permille;
	const struct canary_ops *ops;
	void *ctx;
	/* Name of the service to struct service_rollout. */
	GHashTable *rollouts;
	/* 1: the documents that come are those of an older copy. */
	int is_returning;
};

struct canary *canary_new(uint32_t exposure_permille,
			  const struct canary_ops *ops, void *ctx)
{
	struct canary *c = util_alloc(1, sizeof(*c));

	c->exposure_permille = exposure_permille;
	c->ops = ops;
	c->ctx = ctx;
	c->rollouts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	return c;
}

void canary_free(struct canary *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->rollouts);
	free(c);
}

static struct service_rollout *rollout_of(struct canary *c, const char *service)
{
	struct service_rollout *s = g_hash_table_lookup(c->rollouts, service);

	if (s)
		return s;
	s = util_alloc(1, sizeof(*s));
	util_copy_str(s->service, sizeof(s->service), service);
	g_hash_table_insert(c->rollouts, s->service, s);
	return s;
}

/*
 * 1 if the item carries out the order in effect. Of an order that the operator
 * has written again since the store came back only the version is the same.
 */
static int is_current(const struct service_rollout *s)
{
	if (!s->order_rev || !s->item_rev)
		return 0;
	if (store_pos_era(s->item.order_rev) < store_pos_era(s->order_rev))
		return strcmp(s->item.to, s->order.to) == 0;
	return s->item.order_rev == s->order_rev;
}

/*
 * 1 if item @a is of a later order than item @b, or further in carrying out the
 * same one.
 */
static int is_ahead(const struct gw_rollout *a, const struct gw_rollout *b)
{
	if (a->order_rev != b->order_rev)
		return a->order_rev > b->order_rev;
	if ((a->state == GW_ROLLOUT_RUNNING) !=
	    (b->state == GW_ROLLOUT_RUNNING))
		return a->state != GW_ROLLOUT_RUNNING;
	return a->elapsed_ms > b->elapsed_ms;
}

/* 1 while the order in effect is not carried out to a final state. */
static int is_running(const struct service_rollout *s)
{
	return s->order_rev &&
	       (!is_current(s) || s->item.state == GW_ROLLOUT_RUNNING);
}

/* Clears the tests, counts and bad mark of @s before another order. */
static void reset_tests(struct service_rollout *s)
{
	memset(s->tests, 0, sizeof(s->tests));
	memset(&s->seen, 0, sizeof(s->seen));
	s->is_bad = 0;
	s->reason[0] = '\0';
}

void canary_on_order(struct canary *c, const struct gw_rollout_order *order,
		     uint64_t rev, int64_t now_us)
{
	struct service_rollout *s = rollout_of(c, order->service);

	if (rev <= s->order_rev)
		return;
	if (c->is_returning && s->order_rev &&
	    strcmp(order->to, s->order.to) != 0) {
		s->held = *order;
		s->held_rev = rev;
		return;
	}
	s->held_rev = 0;
	s->order = *order;
	s->order_rev = rev;
	s->order_us = now_us;
	if (!is_current(s))
		reset_tests(s);
	log_event(LOG_LEVEL_INFO, "rollout_ordered",
		  "service %s version %s within %u ms, order %llu",
		  order->service, order->to, order->duration_ms,
		  (unsigned long long)store_pos_rev(rev));
	c->ops->shares_changed(c->ctx, now_us);
}

void canary_on_order_deleted(struct canary *c, const char *service,
			     int64_t now_us)
{
	struct service_rollout *s = g_hash_table_lookup(c->rollouts, service);

	if (!s || !s->order_rev)
		return;
	s->order_rev = 0;
	s->held_rev = 0;
	log_event(LOG_LEVEL_INFO, "rollout_order_gone", "service %s", service);
	c->ops->shares_changed(c->ctx, now_us);
}

void canary_on_item(struct canary *c, const struct gw_rollout *item,
		    uint64_t rev, int64_t now_us)
{
	struct service_rollout *s = rollout_of(c, item->service);

	if (rev <= s->item_rev)
		return;
	if (store_pos_era(rev) > store_pos_era(s->item_rev) && s->item_rev &&
	    is_ahead(&s->item, item)) {
		s->is_item_lost = 1;
		s->stored_rev = rev;
		return;
	}
	s->is_item_lost = 0;
	s->stored_rev = rev;
	if (s->item_rev && item->order_rev != s->item.order_rev)
		reset_tests(s);
	s->item = *item;
	s->item_rev = rev;
	s->item_us = now_us;
	s->due_us = 0;
	s->writing_until_us = 0;
	log_event(LOG_LEVEL_INFO, "rollout_step",
		  "service %s version %s %s, share %u permille after %u ms%s%s",
		  item->service, item->to,
		  item->state == GW_ROLLOUT_RUNNING ? "running"
		  : item->state == GW_ROLLOUT_DONE  ? "done"
						    : "rolled back",
		  item->share_permille, item->elapsed_ms,
		  item->reason[0] ? ": " : "", item->reason);
	c->ops->shares_changed(c->ctx, now_us);
}

void canary_on_status(struct canary *c, const struct gw_rollout_status *status,
		      uint64_t rev)
{
	struct service_rollout *s = rollout_of(c, status->service);

	if (rev <= s->status_rev)
		return;
	s->status = *status;
	s->status_rev = rev;
	s->due_us = 0;
	s->writing_until_us = 0;
}

void canary_store_returned(struct canary *c)
{
	c->is_returning = 0;
}

void canary_take_held(struct canary *c, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_rollout *s = value;
		struct gw_rollout_order order = s->held;

		if (s->held_rev)
			canary_on_order(c, &order, s->held_rev, now_us);
	}
}

void canary_store_returns(struct canary *c)
{
	GHashTableIter it;
	gpointer value;

	c->is_returning = 1;
	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_rollout *s = value;

		s->is_item_lost = s->item_rev != 0;
		s->stored_rev = 0;
		s->status_rev = 0;
		s->due_us = 0;
		s->writing_until_us = 0;
	}
}

void canary_on_write_failed(struct canary *c, const char *service)
{
	struct service_rollout *s = g_hash_table_lookup(c->rollouts, service);

	if (s)
		s->writing_until_us = 0;
}

/* Statistic at which a version is bad, in nats. */
static double threshold(void)
{
	return cusum_threshold(TEST_COUNT * CUSUM_RATIOS, WINDOW_COUNT,
			       FALSE_ALARM_RATE);
}

/* Larger statistic of the two metrics, in nats. */
static double score(const struct service_rollout *s)
{
	return fmax(cusum_score(&s->tests[FAILURES]),
		    cusum_score(&s->tests[SLOW]));
}

static void mark_bad(struct canary *c, struct service_rollout *s,
		     const char *reason, int64_t now_us)
{
	if (s->is_bad)
		return;
	s->is_bad = 1;
	util_copy_str(s->reason, sizeof(s->reason), reason);
	log_event(LOG_LEVEL_WARNING, "version_bad",
		  "service %s version %s: %s; %llu requests, %llu failed, %llu "
		  "slow, statistic %.1f of %.1f nats",
		  s->service, s->order.to, reason,
		  (unsigned long long)s->seen.requests,
		  (unsigned long long)s->seen.bad[FAILURES],
		  (unsigned long long)s->seen.bad[SLOW], score(s), threshold());
	c->ops->shares_changed(c->ctx, now_us);
}

/* Adds one window to the tests; marks the version bad if a test says so. */
static void add_window(struct canary *c, struct service_rollout *s,
		       const struct counts *new, const struct counts *old,
		       int64_t now_us)
{
	static const double floors[METRICS] = { FAILURES_FLOOR, SLOW_FLOOR };
	static const char *const reasons[METRICS] = { "more failures than the "
						      "version before",
						      "more slow answers than "
						      "the version before" };
	uint32_t m;

	s->seen.requests += new->requests;
	for (m = 0; m < METRICS; m++) {
		struct cusum_window w = { .new_requests = new->requests,
					  .new_bad = new->bad[m],
					  .old_requests = old->requests,
					  .old_bad = old->bad[m] };

		s->seen.bad[m] += new->bad[m];
		cusum_add(&s->tests[m], &w, floors[m]);
		if (cusum_score(&s->tests[m]) >= threshold())
			mark_bad(c, s, reasons[m], now_us);
	}
}

/* Adds up the reports on the service and tests them as one window. */
static void add_reports(struct canary *c, struct service_rollout *s,
			const struct rollout_report *reports, uint32_t count,
			int64_t now_us)
{
	struct counts new = { 0 };
	struct counts old = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct rollout_report *r = &reports[i];
		int is_new = strcmp(r->version, s->order.to) == 0;
		struct counts *sum = is_new ? &new : &old;

		if (strcmp(r->service, s->service) != 0)
			continue;
		sum->requests += r->requests;
		sum->bad[FAILURES] += r->failures;
		sum->bad[SLOW] += r->slow;
		if (is_new && r->is_bad)
			mark_bad(c, s, "found bad by another host", now_us);
	}
	if (new.requests + old.requests > 0)
		add_window(c, s, &new, &old, now_us);
}

void canary_on_report(struct canary *c, const struct rollout_report *reports,
		      uint32_t count, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_rollout *s = value;

		if (is_running(s))
			add_reports(c, s, reports, count, now_us);
	}
}

static int64_t duration_part_us(const struct service_rollout *s,
				int64_t permille)
{
	return (int64_t)s->order.duration_ms * US_PER_MS * permille / PERMILLE;
}

/* Share that the version may have at @elapsed_us of the rollout. */
static uint32_t step_share(const struct canary *c,
			   const struct service_rollout *s, int64_t elapsed_us)
{
	uint32_t share = 0;

#define DEF(from, multiple)                          \
	if (elapsed_us >= duration_part_us(s, from)) \
		share = c->exposure_permille * (multiple) / PERMILLE;
	CANARY_STEPS(DEF)
#undef DEF
	if (elapsed_us >= duration_part_us(s, CANARY_FULL_PERMILLE))
		share = PERMILLE;
	return util_min_u32(share, PERMILLE);
}

/* Time since the order; its item says how much had passed at its writing. */
static int64_t elapsed_us(const struct service_rollout *s, int64_t now_us)
{
	if (!is_current(s))
		return now_us - s->order_us;
	return (int64_t)s->item.elapsed_ms * US_PER_MS + now_us - s->item_us;
}

/* 1 when the version must not get a larger share, though not found bad. */
static int is_suspect(const struct service_rollout *s)
{
	uint64_t failed = s->seen.bad[FAILURES];

	if (failed >= MOSTLY_BAD_MIN && failed * 2 > s->seen.requests)
		return 1;
	return score(s) >= SUSPECT_SHARE * threshold();
}

/* Versions that get no request while the order in effect is carried out. */
static struct gw_barred barred_of(const struct service_rollout *s)
{
	struct gw_barred barred = s->item.barred;

	if (!is_running(s) || is_current(s))
		return barred;
	/* The next item will follow the one of an earlier order. */
	if (s->item_rev && s->item.state == GW_ROLLOUT_ROLLED_BACK)
		gw_barred_add(&barred, s->item.to);
	gw_barred_remove(&barred, s->order.to);
	return barred;
}

static int64_t settle_us(const struct service_rollout *s)
{
	return util_min_i64(CANARY_SETTLE_US,
			    duration_part_us(s, CANARY_SETTLE_PERMILLE));
}

static void set_state(struct gw_rollout *next, enum gw_rollout_state state,
		      uint32_t share_permille, const char *reason)
{
	next->state = state;
	next->share_permille = share_permille;
	util_copy_str(next->reason, sizeof(next->reason), reason);
}

/* Fills @next with the item that is due; returns 0 if the present one stays. */
static int next_item(const struct canary *c, const struct service_rollout *s,
		     int64_t now_us, struct gw_rollout *next)
{
	int64_t since_order_us = elapsed_us(s, now_us);
	uint32_t share = step_share(c, s, since_order_us);

	if (s->is_item_lost) {
		*next = s->item;
		return 1;
	}
	if (!is_running(s))
		return 0;
	*next = (struct gw_rollout){ .order_rev = s->order_rev,
				     .barred = barred_of(s) };
	memcpy(next->service, s->service, sizeof(next->service));
	memcpy(next->to, s->order.to, sizeof(next->to));
	next->elapsed_ms = (uint32_t)(since_order_us / US_PER_MS);
	if (s->is_bad) {
		set_state(next, GW_ROLLOUT_ROLLED_BACK, 0, s->reason);
		return 1;
	}
	if (!is_current(s)) {
		/* The first step is not skipped when the order is seen late. */
		set_state(next, GW_ROLLOUT_RUNNING, step_share(c, s, 0), "");
		return 1;
	}
	if (s->item.share_permille >= PERMILLE) {
		set_state(next, GW_ROLLOUT_DONE, PERMILLE, "");
		return now_us - s->item_us >= settle_us(s);
	}
	if (is_suspect(s)) {
		set_state(next, GW_ROLLOUT_ROLLED_BACK, 0,
			  "under suspicion when its time was over");
		return since_order_us >=
		       duration_part_us(s, CANARY_ROLL_BACK_PERMILLE);
	}
	set_state(next, GW_ROLLOUT_RUNNING, share, "");
	return share > s->item.share_permille;
}

/*
 * Fills @next with the status to be written. Returns 0 if the store has that
 * status already or no item carries out the order in effect.
 */
static int next_status(const struct service_rollout *s,
		       struct gw_rollout_status *next)
{
	if (!is_current(s) || s->is_item_lost)
		return 0;
	*next = (struct gw_rollout_status){ .state = s->item.state };
	memcpy(next->service, s->service, sizeof(next->service));
	memcpy(next->to, s->item.to, sizeof(next->to));
	return !s->status_rev || s->status.state != next->state ||
	       strcmp(s->status.to, next->to) != 0;
}

static void tick_service(struct canary *c, struct service_rollout *s,
			 uint32_t rank, int64_t now_us)
{
	struct gw_rollout item;
	struct gw_rollout_status status;
	/* The status of one item is written before the next item. */
	int writes_status = next_status(s, &status);
	int writes_item = !writes_status && next_item(c, s, now_us, &item);

	if (!writes_status && !writes_item) {
		s->due_us = 0;
		return;
	}
	if (!s->due_us)
		s->due_us = now_us;
	if (now_us < s->writing_until_us ||
	    now_us < s->due_us + rank * CANARY_RANK_DELAY_US)
		return;
	s->writing_until_us = now_us + WRITE_RETRY_US;
	if (writes_status)
		c->ops->write_status(c->ctx, &status, s->status_rev);
	else
		c->ops->write_item(c->ctx, &item, s->stored_rev);
}

void canary_tick(struct canary *c, uint32_t rank, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	if (rank == UINT32_MAX)
		return;
	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tick_service(c, value, rank, now_us);
}

int canary_is_active(const struct canary *c)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct service_rollout *s = value;
		struct gw_rollout_status next;

		if (is_running(s) || s->is_item_lost || next_status(s, &next))
			return 1;
	}
	return 0;
}

/*
 * Fills @out with the version whose share the rollout sets, and that share.
 * Returns 0 when the service has neither an order nor a rolled-back item.
 */
static int share_of(const struct service_rollout *s,
		    struct gw_version_share *out)
{
	const char *to = is_running(s) ? s->order.to : s->item.to;
	int is_back = s->item_rev && s->item.state == GW_ROLLOUT_ROLLED_BACK &&
		      strcmp(s->item.to, to) == 0;

	/* Without an order, only a rolled-back version has a share set: 0. */
	if (!s->order_rev && !is_back)
		return 0;
	*out = (struct gw_version_share){ .barred = barred_of(s) };
	memcpy(out->service, s->service, sizeof(out->service));
	util_copy_str(out->version, sizeof(out->version), to);
	out->is_bad = s->is_bad ||
		      (is_back && (!s->order_rev || is_current(s)));
	out->share_permille =
		out->is_bad || !is_current(s) ? 0 : s->item.share_permille;
	return 1;
}

uint32_t canary_share_max(const struct canary *c)
{
	return g_hash_table_size(c->rollouts);
}

uint32_t canary_shares(const struct canary *c, struct gw_version_share *out)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += (uint32_t)share_of(value, &out[n]);
	return n;
}

#include "controller/canary.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "controller/cusum.h"

/* A write without a result is tried again after this. */
#define WRITE_RETRY_US (1 * (int64_t)US_PER_S)
/*
 * False alarms: two metrics, windows of 200 ms over a rollout of a minute, one
 * good version in a hundred rolled back.
 */
#define TESTS 2.0
#define WINDOWS 300.0
#define FALSE_ALARM_RATE 0.01
/* Share of bad requests that condemns no version where nothing is compared. */
#define FAILURES_FLOOR 0.02
#define SLOW_FLOOR 0.10
/* No further step while the statistic is above this part of the threshold. */
#define SUSPECT_PART 0.5
/* So few requests decide nothing by the test, but most of them were bad. */
#define MOSTLY_BAD_MIN 2

enum { FAILURES, SLOW, METRICS };

struct counts {
	uint64_t requests;
	uint64_t bad[METRICS];
};

struct entry {
	char service[NAME_BYTES];
	/* The order in effect; revision 0: none. */
	struct gw_rollout_order order;
	uint64_t order_rev;
	int64_t order_us;
	/* Revision 0: not written yet. */
	struct gw_rollout item;
	uint64_t item_rev;
	int64_t item_us;
	struct gw_rollout_status status;
	uint64_t status_rev;
	struct cusum tests[METRICS];
	struct counts seen;
	/* Evidence against the version of the item; stays until the next order. */
	int is_bad;
	char reason[GW_REASON_BYTES];
	/* Since when the documents ask for a step; 0: they do not. */
	int64_t due_us;
	/* A write is under way until this time at the latest. */
	int64_t writing_until_us;
};

struct canary {
	uint32_t exposure_permille;
	const struct canary_ops *ops;
	void *ctx;
	/* Service to struct entry. */
	GHashTable *entries;
};

struct canary *canary_new(uint32_t exposure_permille,
			  const struct canary_ops *ops, void *ctx)
{
	struct canary *g = util_alloc(1, sizeof(*g));

	g->exposure_permille = exposure_permille;
	g->ops = ops;
	g->ctx = ctx;
	g->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	return g;
}

void canary_free(struct canary *g)
{
	if (!g)
		return;
	g_hash_table_destroy(g->entries);
	free(g);
}

static struct entry *entry_of(struct canary *g, const char *service)
{
	struct entry *e = g_hash_table_lookup(g->entries, service);

	if (e)
		return e;
	e = util_alloc(1, sizeof(*e));
	util_copy_str(e->service, sizeof(e->service), service);
	g_hash_table_insert(g->entries, e->service, e);
	return e;
}

/* 1 if the item carries out the order in effect. */
static int is_current(const struct entry *e)
{
	return e->order_rev && e->item_rev && e->item.order_rev == e->order_rev;
}

static int is_running(const struct entry *e)
{
	return e->order_rev &&
	       (!is_current(e) || e->item.state == GW_ROLLOUT_RUNNING);
}

static void forget_evidence(struct entry *e)
{
	memset(e->tests, 0, sizeof(e->tests));
	memset(&e->seen, 0, sizeof(e->seen));
	e->is_bad = 0;
	e->reason[0] = '\0';
}

void canary_on_order(struct canary *g, const struct gw_rollout_order *o,
		     uint64_t rev, int64_t now_us)
{
	struct entry *e = entry_of(g, o->service);

	if (rev <= e->order_rev)
		return;
	e->order = *o;
	e->order_rev = rev;
	e->order_us = now_us;
	if (!is_current(e))
		forget_evidence(e);
	log_event(LOG_LEVEL_INFO, "rollout_ordered",
		  "service %s version %s within %u ms, order %llu", o->service,
		  o->to, o->duration_ms, (unsigned long long)rev);
	g->ops->shares_changed(g->ctx, now_us);
}

void canary_on_order_deleted(struct canary *g, const char *service,
			     int64_t now_us)
{
	struct entry *e = g_hash_table_lookup(g->entries, service);

	if (!e || !e->order_rev)
		return;
	e->order_rev = 0;
	log_event(LOG_LEVEL_INFO, "rollout_order_gone", "service %s", service);
	g->ops->shares_changed(g->ctx, now_us);
}

void canary_on_item(struct canary *g, const struct gw_rollout *item,
		    uint64_t rev, int64_t now_us)
{
	struct entry *e = entry_of(g, item->service);

	if (rev <= e->item_rev)
		return;
	if (e->item_rev && item->order_rev != e->item.order_rev)
		forget_evidence(e);
	e->item = *item;
	e->item_rev = rev;
	e->item_us = now_us;
	e->due_us = 0;
	e->writing_until_us = 0;
	log_event(LOG_LEVEL_INFO, "rollout_step",
		  "service %s version %s %s, share %u permille after %u ms%s%s",
		  item->service, item->to,
		  item->state == GW_ROLLOUT_RUNNING ? "running"
		  : item->state == GW_ROLLOUT_DONE  ? "done"
						    : "rolled back",
		  item->share_permille, item->elapsed_ms,
		  item->reason[0] ? ": " : "", item->reason);
	g->ops->shares_changed(g->ctx, now_us);
}

void canary_on_status(struct canary *g, const struct gw_rollout_status *status,
		      uint64_t rev)
{
	struct entry *e = entry_of(g, status->service);

	if (rev <= e->status_rev)
		return;
	e->status = *status;
	e->status_rev = rev;
	e->due_us = 0;
	e->writing_until_us = 0;
}

void canary_on_write_failed(struct canary *g, const char *service)
{
	struct entry *e = g_hash_table_lookup(g->entries, service);

	if (e)
		e->writing_until_us = 0;
}

static double threshold(void)
{
	return cusum_threshold(TESTS * CUSUM_RATIOS, WINDOWS, FALSE_ALARM_RATE);
}

static double score(const struct entry *e)
{
	return fmax(cusum_score(&e->tests[FAILURES]),
		    cusum_score(&e->tests[SLOW]));
}

static void condemn(struct canary *g, struct entry *e, const char *reason,
		    int64_t now_us)
{
	if (e->is_bad)
		return;
	e->is_bad = 1;
	util_copy_str(e->reason, sizeof(e->reason), reason);
	log_event(LOG_LEVEL_WARNING, "version_bad",
		  "service %s version %s: %s; %llu requests, %llu failed, %llu "
		  "slow, statistic %.1f of %.1f nats",
		  e->service, e->order.to, reason,
		  (unsigned long long)e->seen.requests,
		  (unsigned long long)e->seen.bad[FAILURES],
		  (unsigned long long)e->seen.bad[SLOW], score(e), threshold());
	g->ops->shares_changed(g->ctx, now_us);
}

static void add_window(struct canary *g, struct entry *e,
		       const struct counts *new, const struct counts *old,
		       int64_t now_us)
{
	static const double floors[METRICS] = { FAILURES_FLOOR, SLOW_FLOOR };
	static const char *const reasons[METRICS] = { "more failures than the "
						      "version before",
						      "more slow answers than "
						      "the version before" };
	uint32_t m;

	e->seen.requests += new->requests;
	for (m = 0; m < METRICS; m++) {
		struct cusum_window w = { .new_requests = new->requests,
					  .new_bad = new->bad[m],
					  .old_requests = old->requests,
					  .old_bad = old->bad[m] };

		e->seen.bad[m] += new->bad[m];
		cusum_add(&e->tests[m], &w, floors[m]);
		if (cusum_score(&e->tests[m]) >= threshold())
			condemn(g, e, reasons[m], now_us);
	}
}

static void judge(struct canary *g, struct entry *e,
		  const struct rollout_report *list, uint32_t count,
		  int64_t now_us)
{
	struct counts new = { 0 };
	struct counts old = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct rollout_report *r = &list[i];
		int is_new = strcmp(r->version, e->order.to) == 0;
		struct counts *c = is_new ? &new : &old;

		if (strcmp(r->service, e->service) != 0)
			continue;
		c->requests += r->requests;
		c->bad[FAILURES] += r->failures;
		c->bad[SLOW] += r->slow;
		if (is_new && r->is_bad)
			condemn(g, e, "found bad by another host", now_us);
	}
	if (new.requests + old.requests > 0)
		add_window(g, e, &new, &old, now_us);
}

void canary_on_report(struct canary *g, const struct rollout_report *list,
		      uint32_t count, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct entry *e = value;

		if (is_running(e))
			judge(g, e, list, count, now_us);
	}
}

static int64_t part_us(const struct entry *e, int64_t permille)
{
	return (int64_t)e->order.duration_ms * US_PER_MS * permille / PERMILLE;
}

static uint32_t step_share(const struct canary *g, const struct entry *e,
			   int64_t elapsed_us)
{
	uint32_t share = 0;

#define DEF(from, multiple)                 \
	if (elapsed_us >= part_us(e, from)) \
		share = g->exposure_permille * (multiple) / PERMILLE;
	CANARY_STEPS(DEF)
#undef DEF
	if (elapsed_us >= part_us(e, CANARY_FULL_PERMILLE))
		share = PERMILLE;
	return util_min_u32(share, PERMILLE);
}

static int64_t elapsed_us(const struct entry *e, int64_t now_us)
{
	if (!is_current(e))
		return now_us - e->order_us;
	return (int64_t)e->item.elapsed_ms * US_PER_MS + now_us - e->item_us;
}

/* Not condemned, but no reason to give it more either. */
static int is_suspect(const struct entry *e)
{
	uint64_t failed = e->seen.bad[FAILURES];

	if (failed >= MOSTLY_BAD_MIN && failed * 2 > e->seen.requests)
		return 1;
	return score(e) >= SUSPECT_PART * threshold();
}

static int64_t settle_us(const struct entry *e)
{
	return util_min_i64(CANARY_SETTLE_US,
			    part_us(e, CANARY_SETTLE_PERMILLE));
}

static void set_state(struct gw_rollout *next, enum gw_rollout_state state,
		      uint32_t share_permille, const char *reason)
{
	next->state = state;
	next->share_permille = share_permille;
	util_copy_str(next->reason, sizeof(next->reason), reason);
}

/* Fills @next with the item that should follow; 0 if the present one stays. */
static int next_item(const struct canary *g, const struct entry *e,
		     int64_t now_us, struct gw_rollout *next)
{
	int64_t past_us = elapsed_us(e, now_us);
	uint32_t share = step_share(g, e, past_us);

	if (!is_running(e))
		return 0;
	*next = (struct gw_rollout){ .order_rev = e->order_rev };
	memcpy(next->service, e->service, sizeof(next->service));
	memcpy(next->to, e->order.to, sizeof(next->to));
	next->elapsed_ms = (uint32_t)(past_us / US_PER_MS);
	if (e->is_bad) {
		set_state(next, GW_ROLLOUT_ROLLED_BACK, 0, e->reason);
		return 1;
	}
	if (!is_current(e)) {
		/* Found late: no step is skipped. */
		set_state(next, GW_ROLLOUT_RUNNING, step_share(g, e, 0), "");
		return 1;
	}
	if (e->item.share_permille >= PERMILLE) {
		set_state(next, GW_ROLLOUT_DONE, PERMILLE, "");
		return now_us - e->item_us >= settle_us(e);
	}
	if (is_suspect(e)) {
		set_state(next, GW_ROLLOUT_ROLLED_BACK, 0,
			  "under suspicion when its time was over");
		return past_us >= part_us(e, CANARY_ROLL_BACK_PERMILLE);
	}
	set_state(next, GW_ROLLOUT_RUNNING, share, "");
	return share > e->item.share_permille;
}

/* Fills @next with the status that should be there; 0 if it is. */
static int next_status(const struct entry *e, struct gw_rollout_status *next)
{
	if (!is_current(e))
		return 0;
	*next = (struct gw_rollout_status){ .state = e->item.state };
	memcpy(next->service, e->service, sizeof(next->service));
	memcpy(next->to, e->item.to, sizeof(next->to));
	return !e->status_rev || e->status.state != next->state ||
	       strcmp(e->status.to, next->to) != 0;
}

static void tick(struct canary *g, struct entry *e, uint32_t rank,
		 int64_t now_us)
{
	struct gw_rollout item;
	struct gw_rollout_status status;
	/* The status follows the item that it tells of. */
	int wants_status = next_status(e, &status);
	int wants_item = !wants_status && next_item(g, e, now_us, &item);

	if (!wants_status && !wants_item) {
		e->due_us = 0;
		return;
	}
	if (!e->due_us)
		e->due_us = now_us;
	if (now_us < e->writing_until_us ||
	    now_us < e->due_us + rank * CANARY_RANK_DELAY_US)
		return;
	e->writing_until_us = now_us + WRITE_RETRY_US;
	if (wants_status)
		g->ops->write_status(g->ctx, &status, e->status_rev);
	else
		g->ops->write_item(g->ctx, &item, e->item_rev);
}

void canary_tick(struct canary *g, uint32_t rank, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	if (rank == UINT32_MAX)
		return;
	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tick(g, value, rank, now_us);
}

int canary_is_active(const struct canary *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct entry *e = value;
		struct gw_rollout_status next;

		if (is_running(e) || next_status(e, &next))
			return 1;
	}
	return 0;
}

/* 1 if the version of an order or item has a share; fills @out. */
static int share_of(const struct entry *e, struct gw_version_share *out)
{
	const char *to = is_running(e) ? e->order.to : e->item.to;
	int is_back = e->item_rev && e->item.state == GW_ROLLOUT_ROLLED_BACK &&
		      strcmp(e->item.to, to) == 0;

	/* Without an order only what was rolled back has to stay out. */
	if (!e->order_rev && !is_back)
		return 0;
	memcpy(out->service, e->service, sizeof(out->service));
	util_copy_str(out->version, sizeof(out->version), to);
	out->is_bad = e->is_bad ||
		      (is_back && (!e->order_rev || is_current(e)));
	out->share_permille =
		out->is_bad || !is_current(e) ? 0 : e->item.share_permille;
	return 1;
}

uint32_t canary_shares(const struct canary *g, struct gw_version_share *out,
		       uint32_t max)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, g->entries);
	while (n < max && g_hash_table_iter_next(&it, NULL, &value))
		n += (uint32_t)share_of(value, &out[n]);
	return n;
}

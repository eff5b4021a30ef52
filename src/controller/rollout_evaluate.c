/* Tests of versions by their counts; see rollout.h and cusum.h. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "controller/rollout_internal.h"

/* Windows per second: a host's own reports and the heartbeats of its peers. */
#define WINDOWS_PER_S 20.0
#define SECONDS_PER_H 3600.0
/*
 * Tests of each host: 2 routes x 2 metrics of its own counts and 2 metrics of
 * all hosts' counts, each with the statistics of a struct cusum.
 */
#define TESTS_PER_HOST (6.0 * (CUSUM_RATIOS + 1))
/*
 * Shares of failed and of slow sub-requests that are accepted of a version at
 * full share, where the old version no longer runs: slow answers also come from
 * load.
 */
static const double floors[ROLLOUT_METRICS] = { 0.02, 0.10 };
static const char *const metric_names[ROLLOUT_METRICS] = { "failures", "slow "
								       "answer"
								       "s" };
static const char *const route_names[ROLLOUT_ROUTES] = { "search", "lookup" };
/*
 * The next step waits while the score is at least this share of the threshold.
 */
#define SUSPECT_PERCENT 50
/* The share that applies after the longest time of the step instead. */
#define SUSPECT_LATE_PERCENT 75

double rollout_threshold_internal(uint32_t host_count)
{
	return cusum_threshold(TESTS_PER_HOST * fmax(1.0, host_count),
			       WINDOWS_PER_S * SECONDS_PER_H,
			       ROLLOUT_FALSE_ALARMS_PER_H);
}

double rollout_score_internal(const struct rollout_entry *entry)
{
	double max_score = 0.0;
	uint32_t m;
	uint32_t route;

	for (m = 0; m < ROLLOUT_METRICS; m++) {
		max_score = fmax(max_score, cusum_score(&entry->all_tests[m]));
		for (route = 0; route < ROLLOUT_ROUTES; route++)
			max_score =
				fmax(max_score,
				     cusum_score(&entry->own_tests[route][m]));
	}
	return max_score;
}

void rollout_reset_internal(struct rollout_entry *entry)
{
	memset(entry->own_tests, 0, sizeof(entry->own_tests));
	memset(entry->all_tests, 0, sizeof(entry->all_tests));
	memset(entry->unsent, 0, sizeof(entry->unsent));
}

static void add_counts(struct rollout_counts *to,
		       const struct rollout_counts *from)
{
	uint32_t m;

	to->requests += from->requests;
	for (m = 0; m < ROLLOUT_METRICS; m++)
		to->bad[m] += from->bad[m];
}

static struct cusum_window make_window(const struct rollout_counts *new,
				       const struct rollout_counts *old,
				       uint32_t m)
{
	return (struct cusum_window){ .new_requests = new->requests,
				      .new_bad = new->bad[m],
				      .old_requests = old->requests,
				      .old_bad = old->bad[m] };
}

/*
 * Marks the version bad if the test passes the threshold. The reason names the
 * metric @m and, with @where, the route or "all hosts".
 */
static void check_score(struct rollout *r, struct rollout_entry *entry,
			const struct cusum *test, const char *where, uint32_t m)
{
	/* Longer than the text that is kept, so that nothing is cut here. */
	char reason[REASON_BYTES * 2];

	if (cusum_score(test) < r->threshold_nats)
		return;
	snprintf(reason, sizeof(reason),
		 "host %s: more %s than %s at %u of 1000 (%s)", r->self,
		 metric_names[m], entry->item.from, entry->item.share_permille,
		 where);
	rollout_mark_bad_internal(r, entry->item.service, entry->item.to,
				  reason);
}

/* Adds one window of counts to the tests of all metrics and checks them. */
static void add_window(struct rollout *r, struct rollout_entry *entry,
		       struct cusum *tests, const struct rollout_counts *new,
		       const struct rollout_counts *old, const char *where)
{
	uint32_t m;

	for (m = 0; m < ROLLOUT_METRICS; m++) {
		struct cusum_window w = make_window(new, old, m);

		cusum_add(&tests[m], &w, floors[m]);
		check_score(r, entry, &tests[m], where, m);
	}
}

static void count_version(const struct version_counts *counts,
			  struct rollout_counts *sum)
{
	sum->requests += counts->requests;
	sum->bad[ROLLOUT_FAILURES] += counts->failures;
	sum->bad[ROLLOUT_SLOW] += counts->slow;
}

static void add_own(struct rollout *r, struct rollout_entry *entry,
		    const struct version_counts *counts, uint32_t count)
{
	struct rollout_counts new[ROLLOUT_ROUTES] = { 0 };
	struct rollout_counts old[ROLLOUT_ROUTES] = { 0 };
	struct rollout_counts sums[2] = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t route = counts[i].op == OP_LOOKUP;

		if (strcmp(counts[i].service, entry->item.service) != 0)
			continue;
		if (strcmp(counts[i].version, entry->item.to) == 0)
			count_version(&counts[i], &new[route]);
		else if (strcmp(counts[i].version, entry->item.from) == 0)
			count_version(&counts[i], &old[route]);
	}
	for (i = 0; i < ROLLOUT_ROUTES; i++) {
		add_counts(&entry->route_new[i], &new[i]);
		add_counts(&entry->route_old[i], &old[i]);
		add_counts(&sums[0], &new[i]);
		add_counts(&sums[1], &old[i]);
		add_window(r, entry, entry->own_tests[i], &new[i], &old[i],
			   route_names[i]);
	}
	add_counts(&entry->step_new, &sums[0]);
	add_counts(&entry->unsent[0], &sums[0]);
	add_counts(&entry->unsent[1], &sums[1]);
	add_window(r, entry, entry->all_tests, &sums[0], &sums[1], "all hosts");
}

/* 1 while the entry's version is tested. */
static int is_tested(const struct rollout_entry *entry, int64_t now_us)
{
	if (entry->deleted)
		return 0;
	if (entry->item.state == ROLLOUT_DONE)
		return now_us < entry->step_start_us + ROLLOUT_MONITOR_US;
	return entry->item.state == ROLLOUT_RUNNING;
}

void rollout_on_own_counts(struct rollout *r, int64_t now_us,
			   const struct version_counts *counts, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < r->entry_count; i++) {
		if (is_tested(r->entries[i], now_us))
			add_own(r, r->entries[i], counts, count);
	}
}

static void count_peer(const struct rollout_report *report,
		       struct rollout_counts *sum)
{
	sum->requests += report->requests;
	sum->bad[ROLLOUT_FAILURES] += report->failures;
	sum->bad[ROLLOUT_SLOW] += report->slow;
}

static void add_peer(struct rollout *r, struct rollout_entry *entry,
		     const struct rollout_report *reports, uint32_t count)
{
	struct rollout_counts new = { 0 };
	struct rollout_counts old = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(reports[i].service, entry->item.service) != 0)
			continue;
		if (strcmp(reports[i].version, entry->item.to) == 0)
			count_peer(&reports[i], &new);
		else if (strcmp(reports[i].version, entry->item.from) == 0)
			count_peer(&reports[i], &old);
	}
	if (new.requests + old.requests == 0)
		return;
	add_counts(&entry->step_new, &new);
	add_window(r, entry, entry->all_tests, &new, &old, "all hosts");
}

/*
 * 1 if a peer's mark of a bad version is taken over. A mark on the version that
 * a rollout goes back to is not: it would leave the service without any
 * version. A peer repeats the mark if it belongs to a newer rollout.
 */
static int is_mark_accepted(const struct rollout *r,
			    const struct rollout_report *report)
{
	const struct rollout_entry *entry =
		rollout_entry_internal(r, report->service);

	return report->is_bad &&
	       (!entry || entry->deleted ||
		strcmp(entry->item.from, report->version) != 0);
}

void rollout_on_peer_report(struct rollout *r, int64_t now_us, const char *host,
			    const struct rollout_report *reports,
			    uint32_t count)
{
	char reason[REASON_BYTES];
	uint32_t i;

	snprintf(reason, sizeof(reason), "reported as bad by host %s", host);
	for (i = 0; i < count; i++) {
		if (is_mark_accepted(r, &reports[i]))
			rollout_mark_bad_internal(r, reports[i].service,
						  reports[i].version, reason);
	}
	for (i = 0; i < r->entry_count; i++) {
		if (is_tested(r->entries[i], now_us))
			add_peer(r, r->entries[i], reports, count);
	}
}

/*
 * 1 if the step had enough sub-requests to the new version, among them some of
 * this host on each route on which this host sent some to the old version.
 */
static int has_enough_requests(const struct rollout_entry *entry)
{
	uint32_t i;

	if (entry->step_new.requests < ROLLOUT_STEP_REQUESTS)
		return 0;
	for (i = 0; i < ROLLOUT_ROUTES; i++) {
		if (entry->route_old[i].requests > 0 &&
		    entry->route_new[i].requests == 0)
			return 0;
	}
	return 1;
}

/*
 * 1 if at least two and more than half of the sub-requests failed, though they
 * may be too few for the test.
 */
static int is_mostly_bad(const struct rollout_counts *c)
{
	return c->bad[ROLLOUT_FAILURES] >= 2 &&
	       c->bad[ROLLOUT_FAILURES] * 2 > c->requests;
}

int rollout_may_grow_internal(const struct rollout *r,
			      const struct rollout_entry *entry, int64_t now_us)
{
	double score_percent =
		rollout_score_internal(entry) * 100.0 / r->threshold_nats;

	if (now_us < entry->planned_end_us || is_mostly_bad(&entry->step_new))
		return 0;
	if (now_us >= entry->latest_end_us)
		return score_percent < SUSPECT_LATE_PERCENT;
	return has_enough_requests(entry) && score_percent < SUSPECT_PERCENT;
}

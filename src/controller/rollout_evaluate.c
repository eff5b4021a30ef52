/* Judgement of versions by evidence; see rol.h and sqt.h. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "controller/rollout_internal.h"

/* Own reports and peers' heartbeats that one host gets per second. */
#define WINDOWS_PER_S 20.0
#define SECONDS_PER_H 3600.0
/* Per host: 2 routes x 2 metrics of its own and 2 metrics of all hosts. */
#define TESTS_PER_HOST (6.0 * (CUSUM_RATIOS + 1))
/*
 * Share of bad requests that does not condemn a version at full share, where
 * the old version no longer runs: slow answers also come from load.
 */
static const double floors[ROLLOUT_METRICS] = { 0.02, 0.10 };
static const char *const metric_names[ROLLOUT_METRICS] = { "failures", "slow "
								       "answer"
								       "s" };
static const char *const route_names[ROLLOUT_ROUTES] = { "search", "lookup" };
/* A step is not left while the statistic is above this part, in percent. */
#define SUSPECT_PERCENT 50
/* The same once the step's longest time is over. */
#define SUSPECT_LATE_PERCENT 75

double rollout_threshold_internal(uint32_t host_count)
{
	return cusum_threshold(TESTS_PER_HOST * fmax(1.0, host_count),
			       WINDOWS_PER_S * SECONDS_PER_H,
			       ROLLOUT_FALSE_ALARMS_PER_H);
}

double rollout_score_internal(const struct rollout_entry *e)
{
	double most = 0.0;
	uint32_t m;
	uint32_t route;

	for (m = 0; m < ROLLOUT_METRICS; m++) {
		most = fmax(most, cusum_score(&e->all_tests[m]));
		for (route = 0; route < ROLLOUT_ROUTES; route++)
			most = fmax(most, cusum_score(&e->own_tests[route][m]));
	}
	return most;
}

void rollout_reset_internal(struct rollout_entry *e)
{
	memset(e->own_tests, 0, sizeof(e->own_tests));
	memset(e->all_tests, 0, sizeof(e->all_tests));
	memset(e->unsent, 0, sizeof(e->unsent));
}

static void add_counts(struct rollout_counts *to,
		       const struct rollout_counts *from)
{
	uint32_t m;

	to->requests += from->requests;
	for (m = 0; m < ROLLOUT_METRICS; m++)
		to->bad[m] += from->bad[m];
}

static struct cusum_window window_of(const struct rollout_counts *now,
				     const struct rollout_counts *old,
				     uint32_t m)
{
	return (struct cusum_window){ .new_requests = now->requests,
				      .new_bad = now->bad[m],
				      .old_requests = old->requests,
				      .old_bad = old->bad[m] };
}

/* One line that names what condemned the version. */
static void judge(struct rollout *r, struct rollout_entry *e,
		  const struct cusum *s, const char *where, uint32_t m)
{
	/* Longer than what is kept of it, so that nothing is cut here. */
	char reason[REASON_BYTES * 2];

	if (cusum_score(s) < r->threshold)
		return;
	snprintf(reason, sizeof(reason),
		 "host %s: more %s than %s at %u of 1000 (%s)", r->self,
		 metric_names[m], e->item.from, e->item.share_permille, where);
	rollout_mark_bad_internal(r, e->item.service, e->item.to, reason);
}

static void add_window(struct rollout *r, struct rollout_entry *e,
		       struct cusum *tests, const struct rollout_counts *now,
		       const struct rollout_counts *old, const char *where)
{
	uint32_t m;

	for (m = 0; m < ROLLOUT_METRICS; m++) {
		struct cusum_window w = window_of(now, old, m);

		cusum_add(&tests[m], &w, floors[m]);
		judge(r, e, &tests[m], where, m);
	}
}

static void count_version(const struct version_counts *e,
			  struct rollout_counts *out)
{
	out->requests += e->requests;
	out->bad[ROLLOUT_FAILURES] += e->failures;
	out->bad[ROLLOUT_SLOW] += e->slow;
}

static void add_own(struct rollout *r, struct rollout_entry *entry,
		    const struct version_counts *e, uint32_t count)
{
	struct rollout_counts now[ROLLOUT_ROUTES] = { 0 };
	struct rollout_counts old[ROLLOUT_ROUTES] = { 0 };
	struct rollout_counts both[2] = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t route = e[i].op == OP_LOOKUP;

		if (strcmp(e[i].service, entry->item.service) != 0)
			continue;
		if (strcmp(e[i].version, entry->item.to) == 0)
			count_version(&e[i], &now[route]);
		else if (strcmp(e[i].version, entry->item.from) == 0)
			count_version(&e[i], &old[route]);
	}
	for (i = 0; i < ROLLOUT_ROUTES; i++) {
		add_counts(&entry->route_new[i], &now[i]);
		add_counts(&entry->route_old[i], &old[i]);
		add_counts(&both[0], &now[i]);
		add_counts(&both[1], &old[i]);
		add_window(r, entry, entry->own_tests[i], &now[i], &old[i],
			   route_names[i]);
	}
	add_counts(&entry->step_new, &both[0]);
	add_counts(&entry->unsent[0], &both[0]);
	add_counts(&entry->unsent[1], &both[1]);
	add_window(r, entry, entry->all_tests, &both[0], &both[1], "all hosts");
}

static int judged(const struct rollout_entry *e, int64_t now_us)
{
	if (e->deleted)
		return 0;
	if (e->item.state == ROLLOUT_DONE)
		return now_us < e->step_start_us + ROLLOUT_MONITOR_US;
	return e->item.state == ROLLOUT_RUNNING;
}

void rollout_on_own_counts(struct rollout *r, int64_t now_us,
			   const struct version_counts *e, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < r->entry_count; i++) {
		if (judged(r->entries[i], now_us))
			add_own(r, r->entries[i], e, count);
	}
}

static void count_peer(const struct rollout_report *e,
		       struct rollout_counts *out)
{
	out->requests += e->requests;
	out->bad[ROLLOUT_FAILURES] += e->failures;
	out->bad[ROLLOUT_SLOW] += e->slow;
}

static void add_peer(struct rollout *r, struct rollout_entry *entry,
		     const struct rollout_report *e, uint32_t count)
{
	struct rollout_counts now = { 0 };
	struct rollout_counts old = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(e[i].service, entry->item.service) != 0)
			continue;
		if (strcmp(e[i].version, entry->item.to) == 0)
			count_peer(&e[i], &now);
		else if (strcmp(e[i].version, entry->item.from) == 0)
			count_peer(&e[i], &old);
	}
	if (now.requests + old.requests == 0)
		return;
	add_counts(&entry->step_new, &now);
	add_window(r, entry, entry->all_tests, &now, &old, "all hosts");
}

/*
 * A mark on the version that a rollout goes back to would leave the service
 * without any version; a peer repeats one that belongs to a newer rollout.
 */
static int mark_applies(const struct rollout *r, const struct rollout_report *e)
{
	const struct rollout_entry *entry =
		rollout_entry_internal(r, e->service);

	return e->is_bad && (!entry || entry->deleted ||
			     strcmp(entry->item.from, e->version) != 0);
}

void rollout_on_peer_report(struct rollout *r, int64_t now_us, const char *host,
			    const struct rollout_report *e, uint32_t count)
{
	char reason[REASON_BYTES];
	uint32_t i;

	snprintf(reason, sizeof(reason), "reported as bad by host %s", host);
	for (i = 0; i < count; i++) {
		if (mark_applies(r, &e[i]))
			rollout_mark_bad_internal(r, e[i].service, e[i].version,
						  reason);
	}
	for (i = 0; i < r->entry_count; i++) {
		if (judged(r->entries[i], now_us))
			add_peer(r, r->entries[i], e, count);
	}
}

/* Routes with traffic of the old version need the new one's as well. */
static int enough(const struct rollout_entry *e)
{
	uint32_t i;

	if (e->step_new.requests < ROLLOUT_STEP_REQUESTS)
		return 0;
	for (i = 0; i < ROLLOUT_ROUTES; i++) {
		if (e->route_old[i].requests > 0 &&
		    e->route_new[i].requests == 0)
			return 0;
	}
	return 1;
}

/* Too few requests for the test, but most of them bad. */
static int mostly_bad(const struct rollout_counts *c)
{
	return c->bad[ROLLOUT_FAILURES] >= 2 &&
	       c->bad[ROLLOUT_FAILURES] * 2 > c->requests;
}

int rollout_may_grow_internal(const struct rollout *r,
			      const struct rollout_entry *e, int64_t now_us)
{
	double part = rollout_score_internal(e) * 100.0 / r->threshold;

	if (now_us < e->planned_end_us || mostly_bad(&e->step_new))
		return 0;
	if (now_us >= e->latest_end_us)
		return part < SUSPECT_LATE_PERCENT;
	return enough(e) && part < SUSPECT_PERCENT;
}

/* Judgement of versions by evidence; see rol.h and sqt.h. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "controller/rol_internal.h"

/* Own reports and peers' heartbeats that one host gets per second. */
#define WINDOWS_PER_S 20.0
#define SECONDS_PER_H 3600.0
/* Per host: 2 routes x 2 metrics of its own and 2 metrics of all hosts. */
#define TESTS_PER_HOST (6.0 * (SQT_RATIOS + 1))
/*
 * Share of bad requests that does not condemn a version at full share, where
 * the old version no longer runs: slow answers also come from load.
 */
static const double floors[ROL_METRICS] = { 0.02, 0.10 };
static const char *const metric_names[ROL_METRICS] = { "failures", "slow "
								   "answers" };
static const char *const route_names[ROL_ROUTES] = { "search", "lookup" };
/* A step is not left while the statistic is above this part, in percent. */
#define SUSPECT_PERCENT 50
/* The same once the step's longest time is over. */
#define SUSPECT_LATE_PERCENT 75

double rol_threshold_internal(uint32_t host_count)
{
	return sqt_threshold(TESTS_PER_HOST * fmax(1.0, host_count),
			     WINDOWS_PER_S * SECONDS_PER_H,
			     ROL_FALSE_ALARM_RATE);
}

double rol_score_internal(const struct rol_entry *e)
{
	double most = 0.0;
	uint32_t m;
	uint32_t route;

	for (m = 0; m < ROL_METRICS; m++) {
		most = fmax(most, sqt_score(&e->all[m]));
		for (route = 0; route < ROL_ROUTES; route++)
			most = fmax(most, sqt_score(&e->own[route][m]));
	}
	return most;
}

void rol_reset_internal(struct rol_entry *e)
{
	memset(e->own, 0, sizeof(e->own));
	memset(e->all, 0, sizeof(e->all));
	memset(e->unsent, 0, sizeof(e->unsent));
}

static void add_counts(struct rol_counts *to, const struct rol_counts *from)
{
	uint32_t m;

	to->requests += from->requests;
	for (m = 0; m < ROL_METRICS; m++)
		to->bad[m] += from->bad[m];
}

static struct sqt_window window_of(const struct rol_counts *now,
				   const struct rol_counts *old, uint32_t m)
{
	return (struct sqt_window){ .new_requests = now->requests,
				    .new_bad = now->bad[m],
				    .old_requests = old->requests,
				    .old_bad = old->bad[m] };
}

/* One line that names what condemned the version. */
static void judge(struct rol *r, struct rol_entry *e, const struct sqt *s,
		  const char *where, uint32_t m)
{
	/* Longer than what is kept of it, so that nothing is cut here. */
	char reason[REASON_BYTES * 2];

	if (sqt_score(s) < r->threshold)
		return;
	snprintf(reason, sizeof(reason),
		 "host %s: more %s than %s at %u of 1000 (%s)", r->self,
		 metric_names[m], e->item.from, e->item.share_permille, where);
	rol_mark_bad_internal(r, e->item.service, e->item.to, reason);
}

static void add_window(struct rol *r, struct rol_entry *e, struct sqt *tests,
		       const struct rol_counts *now,
		       const struct rol_counts *old, const char *where)
{
	uint32_t m;

	for (m = 0; m < ROL_METRICS; m++) {
		struct sqt_window w = window_of(now, old, m);

		sqt_add(&tests[m], &w, floors[m]);
		judge(r, e, &tests[m], where, m);
	}
}

static void count_version(const struct version_evidence *e,
			  struct rol_counts *out)
{
	out->requests += e->requests;
	out->bad[ROL_FAILURES] += e->failures;
	out->bad[ROL_SLOW] += e->slow;
}

static void add_own(struct rol *r, struct rol_entry *entry,
		    const struct version_evidence *e, uint32_t count)
{
	struct rol_counts now[ROL_ROUTES] = { 0 };
	struct rol_counts old[ROL_ROUTES] = { 0 };
	struct rol_counts both[2] = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t route = e[i].route == OP_LOOKUP;

		if (strcmp(e[i].service, entry->item.service) != 0)
			continue;
		if (strcmp(e[i].version, entry->item.to) == 0)
			count_version(&e[i], &now[route]);
		else if (strcmp(e[i].version, entry->item.from) == 0)
			count_version(&e[i], &old[route]);
	}
	for (i = 0; i < ROL_ROUTES; i++) {
		add_counts(&entry->route_new[i], &now[i]);
		add_counts(&entry->route_old[i], &old[i]);
		add_counts(&both[0], &now[i]);
		add_counts(&both[1], &old[i]);
		add_window(r, entry, entry->own[i], &now[i], &old[i],
			   route_names[i]);
	}
	add_counts(&entry->step_new, &both[0]);
	add_counts(&entry->unsent[0], &both[0]);
	add_counts(&entry->unsent[1], &both[1]);
	add_window(r, entry, entry->all, &both[0], &both[1], "all hosts");
}

static int judged(const struct rol_entry *e, int64_t now_us)
{
	if (e->deleted)
		return 0;
	if (e->item.state == ROLLOUT_DONE)
		return now_us < e->step_us + ROL_WATCH_US;
	return e->item.state == ROLLOUT_RUNNING;
}

void rol_evidence(struct rol *r, int64_t now_us,
		  const struct version_evidence *e, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < r->entry_count; i++) {
		if (judged(r->entries[i], now_us))
			add_own(r, r->entries[i], e, count);
	}
}

static void count_peer(const struct rollout_evidence *e, struct rol_counts *out)
{
	out->requests += e->requests;
	out->bad[ROL_FAILURES] += e->failures;
	out->bad[ROL_SLOW] += e->slow;
}

static void add_peer(struct rol *r, struct rol_entry *entry,
		     const struct rollout_evidence *e, uint32_t count)
{
	struct rol_counts now = { 0 };
	struct rol_counts old = { 0 };
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
	add_window(r, entry, entry->all, &now, &old, "all hosts");
}

/*
 * A mark on the version that a rollout goes back to would leave the service
 * without any version; a peer repeats one that belongs to a newer rollout.
 */
static int mark_applies(const struct rol *r, const struct rollout_evidence *e)
{
	const struct rol_entry *entry = rol_entry_internal(r, e->service);

	return e->bad && (!entry || entry->deleted ||
			  strcmp(entry->item.from, e->version) != 0);
}

void rol_peer(struct rol *r, int64_t now_us, const char *host,
	      const struct rollout_evidence *e, uint32_t count)
{
	char reason[REASON_BYTES];
	uint32_t i;

	snprintf(reason, sizeof(reason), "reported as bad by host %s", host);
	for (i = 0; i < count; i++) {
		if (mark_applies(r, &e[i]))
			rol_mark_bad_internal(r, e[i].service, e[i].version,
					      reason);
	}
	for (i = 0; i < r->entry_count; i++) {
		if (judged(r->entries[i], now_us))
			add_peer(r, r->entries[i], e, count);
	}
}

/* Routes with traffic of the old version need the new one's as well. */
static int enough(const struct rol_entry *e)
{
	uint32_t i;

	if (e->step_new.requests < ROL_STEP_REQUESTS)
		return 0;
	for (i = 0; i < ROL_ROUTES; i++) {
		if (e->route_old[i].requests > 0 &&
		    e->route_new[i].requests == 0)
			return 0;
	}
	return 1;
}

/* Too few requests for the test, but most of them bad. */
static int mostly_bad(const struct rol_counts *c)
{
	return c->bad[ROL_FAILURES] >= 2 &&
	       c->bad[ROL_FAILURES] * 2 > c->requests;
}

int rol_may_grow_internal(const struct rol *r, const struct rol_entry *e,
			  int64_t now_us)
{
	double part = rol_score_internal(e) * 100.0 / r->threshold;

	if (now_us < e->planned_us || mostly_bad(&e->step_new))
		return 0;
	if (now_us >= e->longest_us)
		return part < SUSPECT_LATE_PERCENT;
	return enough(e) && part < SUSPECT_PERCENT;
}

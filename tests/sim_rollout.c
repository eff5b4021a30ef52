#include "sim_rollout.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/rng.h"
#include "controller/rollout.h"

#define HOSTS 4
#define TICK_US (200LL * US_PER_MS)
#define EVENTS_MAX 512
#define WALL_START_MS 1000000LL
/* Time after finish_by in which a version that turned bad late is found. */
#define AFTER_US (30LL * US_PER_S)
#define HEARTBEAT_US (1LL * US_PER_S)

/* Store calls, the answer to one, and an item that a host is to adopt. */
enum sim_event_kind {
	EVENT_GRANT,
	EVENT_CLAIM,
	EVENT_RENEW,
	EVENT_WRITE,
	EVENT_ANSWER,
	EVENT_ITEM
};

struct sim_event {
	int64_t at_us;
	enum sim_event_kind kind;
	uint32_t host;
	/* Number that leadership gave the call. */
	uint32_t call;
	/*
	 * Grant: the lease's time in ms, in the answer the lease. Claim: the
	 * lease, in the answer the key's version. Renewal: the lease. Write:
	 * the revision that it is based on. Item: its revision.
	 */
	uint64_t value;
	enum err_code code;
	/* Unused. */
	uint32_t answer;
	/* Answer: the kind of the call. */
	enum sim_event_kind call_kind;
	struct rollout_item item;
};

struct sim_host {
	struct sim *sim;
	uint32_t index;
	struct rollout *rollout;
	/* The host has no ticks, traffic or messages until this time. */
	int64_t paused_until_us;
};

struct sim_store {
	uint64_t revision;
	/* Number of the latest lease; 0: none. */
	uint64_t latest_lease;
	/* Lease of the leader's key; 0: the key was never claimed. */
	uint64_t key_lease;
	uint64_t key_version;
	/* By lease; 0: revoked. */
	int64_t lease_end_us[4096];
	struct rollout_item item;
	uint64_t item_rev;
	/* The store refuses all calls in this time. */
	int64_t down_from_us;
	int64_t down_until_us;
};

struct sim {
	struct rng rng;
	int64_t now_us;
	int64_t finish_us;
	enum sim_fault fault;
	struct sim_host hosts[HOSTS];
	struct sim_store store;
	uint32_t event_count;
	struct sim_event events[EVENTS_MAX];
	/*
	 * Requests of all hosts together, and the part of them that are
	 * lookups.
	 */
	double rate_per_s;
	double lookup_part;
	/*
	 * Mean parts (0 to 1) of the requests that fail or are slow on any
	 * version; a wave multiplies them by 0.2 to 1.8.
	 */
	double base_failures;
	double base_slow;
	/* Part of the bad version's requests that fail or are slow. */
	double fault_part;
	/* SIM_LATER: time from which the version is bad. */
	int64_t fault_from_us;
	/* Times of the first bad request and the first mark; -1: none yet. */
	int64_t first_bad_us;
	int64_t marked_us;
	struct sim_result *out;
};

static double between(struct sim *s, double lowest, double highest)
{
	return lowest + (highest - lowest) * rng_unit(&s->rng);
}

static struct sim_event *post(struct sim *s, enum sim_event_kind kind,
			      uint32_t host, double delay_s)
{
	struct sim_event *e;

	g_assert_cmpuint(s->event_count, <, EVENTS_MAX);
	e = &s->events[s->event_count++];
	memset(e, 0, sizeof(*e));
	e->kind = kind;
	e->host = host;
	e->at_us = s->now_us + (int64_t)(delay_s * US_PER_S);
	return e;
}

static void call_store(struct sim_host *h, enum sim_event_kind kind,
		       uint32_t call, uint64_t value)
{
	struct sim_event *e =
		post(h->sim, kind, h->index, between(h->sim, 0.001, 0.3));

	e->call = call;
	e->value = value;
}

static void on_grant(void *ctx, uint32_t call, uint32_t ttl_ms)
{
	call_store(ctx, EVENT_GRANT, call, ttl_ms);
}

static void on_claim(void *ctx, uint32_t call, uint64_t lease)
{
	call_store(ctx, EVENT_CLAIM, call, lease);
}

static void on_renew(void *ctx, uint32_t call, uint64_t lease)
{
	call_store(ctx, EVENT_RENEW, call, lease);
}

static void on_revoke(void *ctx, uint64_t lease)
{
	struct sim_host *h = ctx;

	h->sim->store.lease_end_us[lease] = 0;
}

static int on_write(void *ctx, const struct rollout_item *item, uint64_t if_rev)
{
	struct sim_host *h = ctx;
	struct sim_event *e = post(h->sim, EVENT_WRITE, h->index,
				   between(h->sim, 0.001, 0.3));

	e->item = *item;
	e->value = if_rev;
	return 1;
}

static void on_changed(void *ctx)
{
	struct sim_host *h = ctx;
	struct sim *s = h->sim;

	if (s->marked_us < 0 && rollout_bad_reason(h->rollout, "svc", "v2"))
		s->marked_us = s->now_us;
}

static void on_note(void *ctx, const char *service, const char *text)
{
}

static const struct rollout_ops ops = {
	.leadership = { on_grant, on_claim, on_renew, on_revoke },
	.write_item = on_write,
	.shares_changed = on_changed,
	.note = on_note,
};

static int lease_live(const struct sim *s, uint64_t lease)
{
	return s->store.lease_end_us[lease] > s->now_us;
}

static void store_claim(struct sim *s, struct sim_event *e)
{
	struct sim_store *store = &s->store;

	if (!lease_live(s, e->value)) {
		e->code = ERR_STORE_NOT_FOUND;
	} else if (store->key_lease && lease_live(s, store->key_lease)) {
		e->code = ERR_STORE_CONFLICT;
	} else {
		store->key_lease = e->value;
		store->key_version = ++store->revision;
		e->value = store->key_version;
	}
}

/* Sends the item to every host, each with a delay of its own. */
static void spread_item(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		struct sim_event *e =
			post(s, EVENT_ITEM, i, between(s, 0.05, 1.5));

		e->item = s->store.item;
		e->value = s->store.item_rev;
	}
}

static void store_write(struct sim *s, struct sim_event *e)
{
	if (e->value != s->store.item_rev) {
		e->code = ERR_CFG_RACE;
		return;
	}
	s->store.item = e->item;
	s->store.item_rev = ++s->store.revision;
	spread_item(s);
}

static void store_apply(struct sim *s, struct sim_event *e)
{
	struct sim_store *store = &s->store;

	if (s->now_us >= store->down_from_us &&
	    s->now_us < store->down_until_us) {
		e->code = ERR_STORE_DOWN;
	} else if (e->kind == EVENT_GRANT) {
		int64_t ttl_us = (int64_t)e->value * US_PER_MS;

		e->value = ++store->latest_lease;
		g_assert_cmpuint(e->value, <, countof(store->lease_end_us));
		store->lease_end_us[e->value] = s->now_us + ttl_us;
	} else if (e->kind == EVENT_CLAIM) {
		store_claim(s, e);
	} else if (e->kind == EVENT_RENEW) {
		if (!lease_live(s, e->value))
			e->code = ERR_STORE_NOT_FOUND;
		else
			store->lease_end_us[e->value] =
				s->now_us +
				(int64_t)LEADERSHIP_TTL_MS * US_PER_MS;
	} else {
		store_write(s, e);
	}
}

/*
 * Sends the store's answer, which in 2 of 100 calls is lost after the effect.
 */
static void answer(struct sim *s, const struct sim_event *call)
{
	int lost = rng_below(&s->rng, 100) < 2;
	struct sim_event *e = post(s, EVENT_ANSWER, call->host,
				   lost ? 2.0 : between(s, 0.001, 0.3));

	e->call_kind = call->kind;
	e->call = call->call;
	e->value = call->value;
	e->code = lost ? ERR_STORE_UNKNOWN : call->code;
}

static void deliver(struct sim *s, struct sim_host *h,
		    const struct sim_event *e)
{
	struct leadership *l = rollout_leadership(h->rollout);

	if (e->call_kind == EVENT_GRANT)
		leadership_grant_done(l, s->now_us, e->call, e->code, e->value,
				      &ops.leadership, h);
	else if (e->call_kind == EVENT_CLAIM)
		leadership_claim_done(l, s->now_us, e->call, e->code, e->value,
				      rollout_fence(h->rollout),
				      &ops.leadership, h);
	else if (e->call_kind == EVENT_RENEW)
		leadership_renew_done(l, s->now_us, e->call, e->code);
	else
		rollout_write_done(h->rollout, s->now_us, "svc", e->code);
}

static void run_event(struct sim *s, struct sim_event e)
{
	struct sim_host *h = &s->hosts[e.host];
	struct err err;

	if (e.kind == EVENT_ANSWER) {
		deliver(s, h, &e);
	} else if (e.kind == EVENT_ITEM) {
		rollout_on_item(h->rollout, s->now_us,
				WALL_START_MS + s->now_us / US_PER_MS, &e.item,
				e.value, &err);
	} else {
		store_apply(s, &e);
		answer(s, &e);
	}
}

/* A paused host gets its messages after the pause. */
static int due(const struct sim *s, const struct sim_event *e)
{
	int to_host = e->kind == EVENT_ANSWER || e->kind == EVENT_ITEM;

	return e->at_us <= s->now_us &&
	       (!to_host || s->hosts[e->host].paused_until_us <= s->now_us);
}

static void run_events(struct sim *s)
{
	uint32_t i = 0;

	while (i < s->event_count) {
		struct sim_event e = s->events[i];

		if (!due(s, &e)) {
			i++;
			continue;
		}
		s->events[i] = s->events[--s->event_count];
		run_event(s, e);
		i = 0;
	}
}

/* Successes in @n trials of probability @p, one random number for each. */
static uint32_t trials(struct sim *s, uint32_t n, double p)
{
	uint64_t limit = (uint64_t)(p * 0x1.0p63);
	uint32_t hits = 0;

	while (n-- > 0)
		hits += rng_u64(&s->rng) >> 1 < limit;
	return hits;
}

/* As trials(); for a small @p each random number skips to the next success. */
static uint32_t binomial(struct sim *s, uint32_t n, double p)
{
	uint32_t hits = 0;
	double at = 0.0;
	double scale;

	if (p <= 0.0)
		return 0;
	if (p > 0.1)
		return trials(s, n, p);
	scale = 1.0 / log1p(-p);
	for (;;) {
		at += 1.0 + floor(log(1.0 - rng_unit(&s->rng)) * scale);
		if (at > n)
			return hits;
		hits++;
	}
}

/* Part of the new version's requests that are bad now. */
static double fault_part(const struct sim *s, uint32_t share, int lookup)
{
	switch (s->fault) {
	case SIM_LATER:
		return s->now_us >= s->fault_from_us ? s->fault_part : 0.0;
	case SIM_LOAD:
		return share >= 500 ? s->fault_part : 0.0;
	case SIM_ROUTE:
		return lookup ? s->fault_part : 0.0;
	case SIM_GOOD:
		return 0.0;
	default:
		return s->fault_part;
	}
}

static void count_hurt(struct sim *s, uint32_t hurt)
{
	s->out->hurt += hurt;
	if (hurt && s->first_bad_us < 0)
		s->first_bad_us = s->now_us;
}

static void version_traffic(struct sim *s, uint32_t n, double fault,
			    struct version_counts *counts)
{
	double wave = 1.0 + 0.8 * sin((double)s->now_us / 7e6);
	uint32_t hurt = binomial(s, n, fault);
	uint32_t rest = n - hurt;

	counts->requests = n;
	counts->failures = binomial(s, rest, s->base_failures * wave);
	counts->slow = binomial(s, rest, s->base_slow * wave);
	if (s->fault == SIM_SLOW)
		counts->slow += hurt;
	else
		counts->failures += hurt;
	/* A target dies: a burst of failures on one version at one host. */
	if (n > 6 && rng_below(&s->rng, 5 * 60 * HOSTS * 4) == 0)
		counts->failures = util_min_u32(n, counts->failures + 6);
	count_hurt(s, hurt);
}

/*
 * The time counts from the end of a pause: a paused host can't learn of the
 * mark.
 */
static void count_after_mark(struct sim *s, const struct sim_host *h)
{
	int64_t from_us = util_max_i64(s->marked_us, h->paused_until_us);

	s->out->stopped_after_us =
		util_max_i64(s->out->stopped_after_us, s->now_us - from_us);
}

static void host_traffic(struct sim *s, struct sim_host *h)
{
	struct version_counts counts[4] = { 0 };
	uint32_t share = rollout_share_permille(h->rollout, "svc", "v2");
	double mean = s->rate_per_s * TICK_US / US_PER_S / HOSTS;
	uint32_t n = binomial(s, (uint32_t)(mean * 2), 0.5);
	uint32_t lookups = binomial(s, n, s->lookup_part);
	uint32_t i;

	for (i = 0; i < 4; i++) {
		uint32_t all = i < 2 ? n - lookups : lookups;
		uint32_t fresh = i % 2 ? all - counts[i - 1].requests
				       : binomial(s, all, share / 1000.0);

		util_copy_str(counts[i].service, NAME_BYTES, "svc");
		util_copy_str(counts[i].version, NAME_BYTES,
			      i % 2 ? "v1" : "v2");
		counts[i].op = i < 2 ? OP_SEARCH : OP_LOOKUP;
		version_traffic(s, fresh,
				i % 2 ? 0.0 : fault_part(s, share, i >= 2),
				&counts[i]);
	}
	s->out->requests += n;
	rollout_on_own_counts(h->rollout, s->now_us, counts, countof(counts));
	if (s->marked_us >= 0 && counts[0].requests + counts[2].requests > 0)
		count_after_mark(s, h);
}

static void heartbeats(struct sim *s, struct sim_host *h)
{
	struct rollout_report reports[HEARTBEAT_ROLLOUTS_MAX];
	uint32_t count =
		rollout_fill_report(h->rollout, reports, countof(reports));
	char name[NAME_BYTES];
	uint32_t i;

	g_snprintf(name, sizeof(name), "h%u", h->index);
	for (i = 0; i < HOSTS; i++) {
		if (i == h->index || s->hosts[i].paused_until_us > s->now_us ||
		    rng_below(&s->rng, 100) < 5)
			continue;
		rollout_on_peer_report(s->hosts[i].rollout, s->now_us, name,
				       reports, count);
	}
}

static void run_tick(struct sim *s)
{
	uint32_t i;

	run_events(s);
	for (i = 0; i < HOSTS; i++) {
		struct sim_host *h = &s->hosts[i];

		if (h->paused_until_us > s->now_us)
			continue;
		host_traffic(s, h);
		if (s->now_us % HEARTBEAT_US == 0)
			heartbeats(s, h);
		rollout_tick(h->rollout, s->now_us,
			     WALL_START_MS + s->now_us / US_PER_MS);
	}
}

/* Plans one outage of the store in 30 of 100 runs. */
static void plan_outages(struct sim *s)
{
	s->store.down_from_us = INT64_MAX;
	if (rng_below(&s->rng, 100) < 30) {
		s->store.down_from_us =
			(int64_t)(between(s, 0.0, 0.8) * s->finish_us);
		s->store.down_until_us =
			s->store.down_from_us + (int64_t)between(s, 1e6, 10e6);
	}
}

static void pause_leader(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		if (leadership_may_act(rollout_leadership(s->hosts[i].rollout),
				       s->now_us))
			s->hosts[i].paused_until_us =
				s->now_us + (int64_t)between(s, 1e6, 12e6);
	}
}

static void start(struct sim *s, uint64_t seed)
{
	uint32_t i;
	char name[NAME_BYTES];

	s->rng.state = seed;
	s->finish_us = (int64_t)between(s, 60, 120) * US_PER_S;
	s->rate_per_s = between(s, 100, 800);
	s->lookup_part = between(s, 0.05, 0.3);
	s->base_failures = between(s, 0.0, 0.01);
	s->base_slow = between(s, 0.002, 0.03);
	s->fault_part = between(s, 0.3, 1.0);
	s->fault_from_us = (int64_t)(between(s, 0.1, 0.9) * s->finish_us);
	s->first_bad_us = s->marked_us = -1;
	plan_outages(s);
	for (i = 0; i < HOSTS; i++) {
		g_snprintf(name, sizeof(name), "h%u", i);
		s->hosts[i].sim = s;
		s->hosts[i].index = i;
		s->hosts[i].rollout =
			rollout_new(name, rng_u64(&s->rng), &ops, &s->hosts[i]);
		rollout_set_host_count(s->hosts[i].rollout, HOSTS);
		rollout_set_candidate(s->hosts[i].rollout, i < 2);
	}
	util_copy_str(s->store.item.service, NAME_BYTES, "svc");
	util_copy_str(s->store.item.from, NAME_BYTES, "v1");
	util_copy_str(s->store.item.to, NAME_BYTES, "v2");
	s->store.item.finish_by_ms =
		(uint64_t)(WALL_START_MS + s->finish_us / US_PER_MS);
	s->store.item.share_permille = 10;
	s->store.item_rev = s->store.revision = 1;
	/* The targets of v2 are added after every host has the item. */
	for (i = 0; i < HOSTS; i++)
		rollout_on_item(s->hosts[i].rollout, 0, WALL_START_MS,
				&s->store.item, s->store.item_rev, NULL);
}

void sim_rollout(uint64_t seed, enum sim_fault fault, struct sim_result *out)
{
	struct sim *s = g_new0(struct sim, 1);
	int64_t pause_us;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	s->out = out;
	s->fault = fault;
	start(s, seed);
	pause_us = rng_below(&s->rng, 100) < 30
			   ? (int64_t)(between(s, 0.1, 0.8) * s->finish_us)
			   : INT64_MAX;
	for (; s->now_us < s->finish_us + AFTER_US; s->now_us += TICK_US) {
		if (s->now_us >= pause_us) {
			pause_leader(s);
			pause_us = INT64_MAX;
		}
		run_tick(s);
		if (s->now_us < s->finish_us)
			out->state_at_finish = s->store.item.state;
	}
	out->state = s->store.item.state;
	out->detected_after_us =
		s->marked_us < 0 ? -1 : s->marked_us - s->first_bad_us;
	util_copy_str(out->reason, sizeof(out->reason), s->store.item.reason);
	for (i = 0; i < HOSTS; i++)
		rollout_free(s->hosts[i].rollout);
	g_free(s);
}

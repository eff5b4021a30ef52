#include "faults.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "base/rng.h"

#define ACTIVE_MAX 4
#define BEGIN_MIN_US (150 * US_PER_MS)
#define BEGIN_SPREAD_US (1200 * US_PER_MS)
/* Scheduling of this program and of the store, in checks with a bound. */
#define SLACK_US (500 * US_PER_MS)
#define ROLLOUT_S 6
#define ROLLOUT_SETTLE_US (2 * (int64_t)US_PER_S)

struct faults;
struct action;

/*
 * @begin returns how long the fault lasts in us, or 0 when it cannot begin
 * now. @end is called once, early when the soak ends.
 */
struct fault_kind {
	const char *name;
	int64_t (*begin)(struct faults *f, struct action *a);
	void (*end)(struct faults *f, struct action *a);
};

struct action {
	const struct fault_kind *kind;
	int64_t end_us;
	int64_t began_us;
	uint32_t host;
	struct target_entry *searcher;
	int is_bad;
	uint64_t runs_before;
	char data_centre[NAME_BYTES];
};

struct faults {
	struct world *world;
	struct rng rng;
	int64_t next_us;
	uint32_t active_count;
	struct action active[ACTIVE_MAX];
	int host_busy[WORLD_HOSTS];
	int store_busy;
	int plan_busy;
	uint32_t *counts;
};

static uint32_t draw(struct faults *f, uint32_t below)
{
	return rng_below(&f->rng, below);
}

static int64_t between_ms(struct faults *f, uint32_t least, uint32_t most)
{
	return (int64_t)(least + draw(f, most - least)) * US_PER_MS;
}

/* Takes a host that runs and has no trouble; 0 when the one drawn has. */
static int take_host(struct faults *f, struct action *a, int is_trouble)
{
	struct world_host *h;

	a->host = draw(f, WORLD_HOSTS);
	h = &f->world->hosts[a->host];
	if (f->host_busy[a->host] || !h->is_running)
		return 0;
	f->host_busy[a->host] = 1;
	if (is_trouble)
		h->troubled_us = INT64_MAX;
	return 1;
}

static void release_host(struct faults *f, struct action *a)
{
	f->world->hosts[a->host].troubled_us = clock_now_us();
	f->host_busy[a->host] = 0;
}

static int64_t pause_begin(struct faults *f, struct action *a)
{
	if (!take_host(f, a, 1))
		return 0;
	proc_signal(&f->world->hosts[a->host].proc, SIGSTOP);
	return between_ms(f, 50, 4000);
}

static void pause_end(struct faults *f, struct action *a)
{
	proc_signal(&f->world->hosts[a->host].proc, SIGCONT);
	release_host(f, a);
}

static void kill_host(struct faults *f, uint32_t host)
{
	struct world_host *h = &f->world->hosts[host];

	h->is_running = 0;
	proc_kill(&h->proc);
}

static int64_t kill_begin(struct faults *f, struct action *a)
{
	if (!take_host(f, a, 1))
		return 0;
	kill_host(f, a->host);
	return between_ms(f, 1, 1500);
}

static void start_end(struct faults *f, struct action *a)
{
	world_host_start(f->world, a->host);
	release_host(f, a);
}

static int64_t kill_all_begin(struct faults *f, struct action *a)
{
	uint32_t i;

	for (i = 0; i < WORLD_HOSTS; i++) {
		if (f->host_busy[i] || !f->world->hosts[i].is_running)
			return 0;
	}
	for (i = 0; i < WORLD_HOSTS; i++) {
		f->host_busy[i] = 1;
		f->world->hosts[i].troubled_us = INT64_MAX;
		kill_host(f, i);
	}
	return between_ms(f, 1, 800);
}

static void kill_all_end(struct faults *f, struct action *a)
{
	for (a->host = 0; a->host < WORLD_HOSTS; a->host++)
		start_end(f, a);
}

/* Planned: the process ends by itself within the grace time. */
static int64_t term_begin(struct faults *f, struct action *a)
{
	if (!take_host(f, a, 0))
		return 0;
	f->world->hosts[a->host].is_leaving = 1;
	proc_signal(&f->world->hosts[a->host].proc, SIGTERM);
	return WORLD_GRACE_S * (int64_t)US_PER_S;
}

static void term_end(struct faults *f, struct action *a)
{
	struct world_host *h = &f->world->hosts[a->host];

	/* From here on a request that is cut counts as killed. */
	h->troubled_us = INT64_MAX;
	kill_host(f, a->host);
	start_end(f, a);
}

static int64_t hup_begin(struct faults *f, struct action *a)
{
	if (!take_host(f, a, 0))
		return 0;
	proc_signal(&f->world->hosts[a->host].proc, SIGHUP);
	return 1;
}

static void hup_end(struct faults *f, struct action *a)
{
	f->host_busy[a->host] = 0;
}

static int64_t cut_begin(struct faults *f, struct action *a)
{
	if (!take_host(f, a, 1))
		return 0;
	proxy_set(f->world->hosts[a->host].store_link,
		  (enum proxy_mode)(1 + draw(f, PROXY_MODE_COUNT - 1)),
		  20 + draw(f, 400));
	return between_ms(f, 300, 7000);
}

static void cut_end(struct faults *f, struct action *a)
{
	proxy_set(f->world->hosts[a->host].store_link, PROXY_PASS, 0);
	release_host(f, a);
}

static const char *const store_faults[] = { "outage",	   "slow",
					    "lost_answer", "late_effect",
					    "blackhole",   "kill" };

/* The operator's own calls fail as well while the store is down. */
static int64_t store_begin(struct faults *f, struct action *a)
{
	g_autofree char *json = NULL;

	if (f->store_busy)
		return 0;
	f->store_busy = 1;
	f->world->store_troubled_us = INT64_MAX;
	a->is_bad = (int)draw(f, countof(store_faults));
	json = g_strdup_printf("{\"fault\":\"%s\",\"delay_ms\":%u,"
			       "\"permille\":%u}",
			       store_faults[a->is_bad], 50 + draw(f, 800),
			       a->is_bad < 4 ? 300 + draw(f, 700) : PERMILLE);
	world_store_fault(f->world, json);
	return between_ms(f, 300, 6000);
}

static void store_end(struct faults *f, struct action *a)
{
	g_autofree char *json = g_strdup_printf("{\"fault\":\"%s\",\"on\":"
						"false}",
						store_faults[a->is_bad]);

	world_store_fault(f->world, json);
	f->world->store_troubled_us = clock_now_us();
	f->store_busy = 0;
}

static int is_in_use(struct faults *f, const struct target_entry *s)
{
	uint32_t i;

	for (i = 0; i < f->active_count; i++) {
		if (f->active[i].searcher == s)
			return 1;
	}
	return 0;
}

/* Takes a searcher of version v1 that no other fault has. */
static int take_searcher(struct faults *f, struct action *a)
{
	struct target_entry *s =
		f->world->list[draw(f, f->world->searcher_count)];

	if (is_in_use(f, s) || strcmp(s->version, "v1") != 0)
		return 0;
	a->searcher = s;
	return 1;
}

static int64_t crash_begin(struct faults *f, struct action *a)
{
	if (!take_searcher(f, a))
		return 0;
	a->searcher->is_down = 1;
	return between_ms(f, 100, 4000);
}

static void crash_end(struct faults *f, struct action *a)
{
	a->searcher->is_down = 0;
}

static int64_t slow_begin(struct faults *f, struct action *a)
{
	if (!take_searcher(f, a))
		return 0;
	a->searcher->slow = 3 + draw(f, 40);
	return between_ms(f, 300, 5000);
}

static void slow_end(struct faults *f, struct action *a)
{
	a->searcher->slow = 1;
}

static int64_t grey_begin(struct faults *f, struct action *a)
{
	if (!take_searcher(f, a))
		return 0;
	if (draw(f, 3) == 0)
		a->searcher->is_doubling = 1;
	else if (draw(f, 2) == 0)
		a->searcher->lost_permille = 20 + draw(f, 400);
	else
		a->searcher->fail_permille = 20 + draw(f, 600);
	return between_ms(f, 500, 5000);
}

static void grey_end(struct faults *f, struct action *a)
{
	a->searcher->is_doubling = 0;
	a->searcher->lost_permille = 0;
	a->searcher->fail_permille = 0;
}

static int64_t link_begin(struct faults *f, struct action *a)
{
	if (!take_searcher(f, a))
		return 0;
	proxy_set(a->searcher->link,
		  (enum proxy_mode)(1 + draw(f, PROXY_MODE_COUNT - 1)),
		  10 + draw(f, 300));
	return between_ms(f, 200, 4000);
}

static void link_end(struct faults *f, struct action *a)
{
	proxy_set(a->searcher->link, PROXY_PASS, 0);
}

/* 1 if no host and not the store had trouble since @from_us. */
static int was_calm(struct faults *f, int64_t from_us)
{
	return world_all_calm(f->world, from_us) &&
	       world_all_calm(f->world, clock_now_us());
}

/* The searcher drains, leaves, and another one takes its address. */
static int64_t replace_begin(struct faults *f, struct action *a)
{
	if (!take_searcher(f, a) ||
	    !world_announce(f->world, a->searcher, "draining"))
		return 0;
	a->began_us = clock_now_us();
	return WORLD_DRAIN_MS * US_PER_MS + SLACK_US + between_ms(f, 0, 1000);
}

static void replace_end(struct faults *f, struct action *a)
{
	struct target_entry *s = a->searcher;

	if (s->last_run_us >
		    a->began_us + WORLD_DRAIN_MS * US_PER_MS + SLACK_US &&
	    was_calm(f, a->began_us))
		ledger_break(f->world->ledger, RULE_DRAIN,
			     "searcher %s %u ran a request %lld ms after it "
			     "said that it leaves",
			     s->service, s->instance,
			     (long long)(s->last_run_us - a->began_us) /
				     US_PER_MS);
	world_withdraw(f->world, s);
	s->instance++;
	world_announce(f->world, s, "ready");
}

static int64_t config_begin(struct faults *f, struct action *a)
{
	world_configure(f->world);
	return 1;
}

static void nothing_end(struct faults *f, struct action *a)
{
}

static int64_t storm_begin(struct faults *f, struct action *a)
{
	uint32_t n = 3 + draw(f, 8);

	while (n-- > 0)
		world_configure(f->world);
	return 1;
}

static void evacuation_key(const struct action *a, char out[2 * NAME_BYTES])
{
	snprintf(out, 2 * NAME_BYTES, "op/evacuate/%s", a->data_centre);
}

static int64_t evacuate_begin(struct faults *f, struct action *a)
{
	char key[2 * NAME_BYTES];

	if (f->plan_busy)
		return 0;
	a->data_centre[0] = (char)('a' + draw(f, WORLD_DATA_CENTRES));
	evacuation_key(a, key);
	if (!world_put(f->world, key, "{}"))
		return 0;
	f->plan_busy = 1;
	a->began_us = clock_now_us();
	return WORLD_EVACUATE_MS * US_PER_MS + between_ms(f, 1000, 3000);
}

static void evacuate_end(struct faults *f, struct action *a)
{
	int64_t bound_us =
		a->began_us + WORLD_EVACUATE_MS * US_PER_MS + SLACK_US;
	char key[2 * NAME_BYTES];
	uint32_t i;

	for (i = 0; i < f->world->searcher_count; i++) {
		const struct target_entry *s = f->world->list[i];

		if (strcmp(s->data_centre, a->data_centre) == 0 &&
		    s->last_run_us > bound_us && was_calm(f, a->began_us))
			ledger_break(f->world->ledger, RULE_EVACUATE,
				     "searcher %s in %s ran a request %lld ms "
				     "after the order",
				     s->service, s->data_centre,
				     (long long)(s->last_run_us - a->began_us) /
					     US_PER_MS);
	}
	evacuation_key(a, key);
	world_put(f->world, key, NULL);
	f->plan_busy = 0;
}

/* Calls @fn for each searcher of the service "one" and @version. */
static void each_one(struct faults *f, const char *version,
		     void (*fn)(struct faults *f, struct target_entry *s,
				struct action *a),
		     struct action *a)
{
	uint32_t i;

	for (i = 0; i < f->world->searcher_count; i++) {
		struct target_entry *s = f->world->list[i];

		if (strcmp(s->service, "one") == 0 &&
		    strcmp(s->version, version) == 0)
			fn(f, s, a);
	}
}

static void join_rollout(struct faults *f, struct target_entry *s,
			 struct action *a)
{
	s->fail_permille = a->is_bad ? 600 : 0;
	s->instance++;
	s->runs = 0;
	world_announce(f->world, s, "ready");
}

static void leave_rollout(struct faults *f, struct target_entry *s,
			  struct action *a)
{
	world_withdraw(f->world, s);
	s->fail_permille = 0;
}

static void sum_runs(struct faults *f, struct target_entry *s, struct action *a)
{
	a->runs_before += s->runs;
}

static uint64_t runs_of(struct faults *f, const char *version)
{
	struct action sum = { 0 };

	each_one(f, version, sum_runs, &sum);
	return sum.runs_before;
}

static int64_t rollout_begin(struct faults *f, struct action *a)
{
	g_autofree char *order = g_strdup_printf("{\"service\":\"one\","
						 "\"targetVersion\":\"v2\","
						 "\"durationS\":"
						 "%u}",
						 ROLLOUT_S);

	if (f->plan_busy)
		return 0;
	a->is_bad = (int)draw(f, 2);
	a->runs_before = runs_of(f, "v1");
	/* The order comes first: no version is used before it is named. */
	if (!world_put(f->world, "op/rollout/one", order))
		return 0;
	f->plan_busy = 1;
	a->began_us = clock_now_us();
	each_one(f, "v2", join_rollout, a);
	return ROLLOUT_S * (int64_t)US_PER_S + ROLLOUT_SETTLE_US;
}

static void check_rollout(struct faults *f, const struct action *a)
{
	g_autofree char *status = world_get(f->world, "status/rollout/one");
	const char *wanted = a->is_bad ? "rolled_back" : "succeeded";
	uint64_t runs = runs_of(f, "v2");
	uint64_t all = runs + runs_of(f, "v1") - a->runs_before;

	if (!status || !strstr(status, wanted))
		ledger_break(f->world->ledger, RULE_ROLLOUT,
			     "a %s version ended as %s",
			     a->is_bad ? "bad" : "good",
			     status ? status : "nothing");
	if (a->is_bad && runs > all * WORLD_EXPOSURE_PERMILLE / PERMILLE +
					 WORLD_EXPOSURE_SLACK)
		ledger_break(f->world->ledger, RULE_EXPOSURE,
			     "a bad version ran %llu of %llu requests",
			     (unsigned long long)runs, (unsigned long long)all);
}

static void rollout_end(struct faults *f, struct action *a)
{
	if (was_calm(f, a->began_us))
		check_rollout(f, a);
	world_put(f->world, "op/rollout/one", NULL);
	each_one(f, "v2", leave_rollout, a);
	f->plan_busy = 0;
}

static const struct fault_kind kinds[] = {
	{ "pause", pause_begin, pause_end },
	{ "kill", kill_begin, start_end },
	{ "kill_all", kill_all_begin, kill_all_end },
	{ "term", term_begin, term_end },
	{ "hup", hup_begin, hup_end },
	{ "store_link", cut_begin, cut_end },
	{ "store", store_begin, store_end },
	{ "crash", crash_begin, crash_end },
	{ "slow", slow_begin, slow_end },
	{ "grey", grey_begin, grey_end },
	{ "searcher_link", link_begin, link_end },
	{ "replace", replace_begin, replace_end },
	{ "config", config_begin, nothing_end },
	{ "config_storm", storm_begin, nothing_end },
	{ "evacuate", evacuate_begin, evacuate_end },
	{ "rollout", rollout_begin, rollout_end },
};

struct faults *faults_new(struct world *w, uint64_t seed)
{
	struct faults *f = util_alloc(1, sizeof(*f));

	f->world = w;
	f->rng.state = seed;
	f->counts = util_alloc(countof(kinds), sizeof(f->counts[0]));
	return f;
}

void faults_free(struct faults *f)
{
	free(f->counts);
	free(f);
}

static void begin(struct faults *f, int64_t now_us)
{
	uint32_t kind = draw(f, countof(kinds));
	struct action a = { .kind = &kinds[kind] };
	int64_t lasts_us = a.kind->begin(f, &a);

	f->next_us = now_us + BEGIN_MIN_US + draw(f, BEGIN_SPREAD_US);
	if (!lasts_us)
		return;
	f->counts[kind]++;
	a.end_us = now_us + lasts_us;
	printf("%lld ms: %s host %u for %lld ms\n",
	       (long long)now_us / US_PER_MS, a.kind->name, a.host,
	       (long long)lasts_us / US_PER_MS);
	f->active[f->active_count++] = a;
}

static void end(struct faults *f, uint32_t i)
{
	struct action a = f->active[i];

	f->active[i] = f->active[--f->active_count];
	a.kind->end(f, &a);
}

/* A host that ended although nobody killed it, or after its SIGTERM. */
static void check_hosts(struct faults *f)
{
	uint32_t i;

	for (i = 0; i < WORLD_HOSTS; i++) {
		struct world_host *h = &f->world->hosts[i];
		int status;

		if (!h->is_running || h->proc.pid <= 0 ||
		    waitpid(h->proc.pid, &status, WNOHANG) != h->proc.pid)
			continue;
		if (!h->is_leaving)
			ledger_break(f->world->ledger, RULE_CRASH,
				     "host %u ended with status %d, see %s", i,
				     status, h->log_path);
		h->is_running = 0;
		h->proc.pid = 0;
		if (!f->host_busy[i])
			world_host_start(f->world, i);
	}
}

void faults_step(struct faults *f, int64_t now_us, int may_begin)
{
	uint32_t i = 0;

	check_hosts(f);
	while (i < f->active_count) {
		if (now_us >= f->active[i].end_us)
			end(f, i);
		else
			i++;
	}
	if (may_begin && now_us >= f->next_us && f->active_count < ACTIVE_MAX)
		begin(f, now_us);
}

void faults_end_all(struct faults *f)
{
	while (f->active_count > 0)
		end(f, 0);
}

void faults_report(const struct faults *f)
{
	uint32_t i;

	for (i = 0; i < countof(kinds); i++)
		printf("%s %u%s", kinds[i].name, f->counts[i],
		       i + 1 < countof(kinds) ? ", " : "\n");
}

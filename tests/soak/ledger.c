#include "ledger.h"

#include <glib.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"

#define RUNS_MAX 12
/* Runs of one request that one service may see: "attempts" of the routes. */
#define ATTEMPTS_MAX 2
#define PRINTED_MAX 10
#define WINDOW_S 10
#define SECONDS_KEPT (2 * WINDOW_S)

/* One run of a request at a target. */
struct run {
	char service[NAME_BYTES];
	char stamp[LEDGER_STAMP_BYTES];
};

/* One request of a caller. */
struct entry {
	char id[LEDGER_REQUEST_ID_BYTES];
	enum ledger_kind kind;
	/* Of the answer; 0 before it and without one. */
	uint32_t status;
	uint32_t run_count;
	struct run runs[RUNS_MAX];
	uint32_t arrival_count;
	/* Service of each call that arrived at a target. */
	char arrivals[RUNS_MAX][NAME_BYTES];
};

/* Requests and extra calls to one service, by second modulo SECONDS_KEPT. */
struct service {
	char name[NAME_BYTES];
	/* Newest second, of the monotonic clock. */
	int64_t second;
	uint32_t requests[SECONDS_KEPT];
	uint32_t extras[SECONDS_KEPT];
};

struct ledger {
	pthread_mutex_t lock;
	GHashTable *entries;
	GHashTable *services;
	uint64_t run_number;
	uint64_t violations[RULE_COUNT];
	/* Index 1: status 2xx; index 0: any other, or no answer. */
	uint64_t answers[KIND_COUNT][2];
};

static const char *const rule_names[RULE_COUNT] = {
#define DEF(id, name) name,
	LEDGER_RULES(DEF)
#undef DEF
};

struct ledger *ledger_new(void)
{
	struct ledger *l = util_alloc(1, sizeof(*l));

	pthread_mutex_init(&l->lock, NULL);
	l->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	l->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	return l;
}

void ledger_free(struct ledger *l)
{
	g_hash_table_destroy(l->entries);
	g_hash_table_destroy(l->services);
	pthread_mutex_destroy(&l->lock);
	free(l);
}

static void violation_locked(struct ledger *l, enum ledger_rule rule,
			     const char *text)
{
	if (l->violations[rule]++ < PRINTED_MAX)
		printf("rule %s broken at %lld ms: %s\n", rule_names[rule],
		       (long long)clock_now_us() / US_PER_MS, text);
}

void ledger_violation(struct ledger *l, enum ledger_rule rule, const char *fmt,
		      ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&l->lock);
	violation_locked(l, rule, text);
	pthread_mutex_unlock(&l->lock);
}

uint64_t ledger_violation_count(const struct ledger *l)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < RULE_COUNT; i++)
		sum += l->violations[i];
	return sum;
}

void ledger_report(struct ledger *l)
{
	static const char *const kinds[KIND_COUNT] = { "gather", "single",
						       "once", "move" };
	uint32_t i;

	for (i = 0; i < KIND_COUNT; i++)
		printf("%s: %llu answered with success, %llu not\n", kinds[i],
		       (unsigned long long)l->answers[i][1],
		       (unsigned long long)l->answers[i][0]);
	for (i = 0; i < RULE_COUNT; i++) {
		if (l->violations[i])
			printf("rule %s broken %llu times\n", rule_names[i],
			       (unsigned long long)l->violations[i]);
	}
}

void ledger_sent(struct ledger *l, const char *id, enum ledger_kind kind)
{
	struct entry *e = util_alloc(1, sizeof(*e));

	util_copy_str(e->id, sizeof(e->id), id);
	e->kind = kind;
	pthread_mutex_lock(&l->lock);
	g_hash_table_insert(l->entries, e->id, e);
	pthread_mutex_unlock(&l->lock);
}

static struct service *get_service(struct ledger *l, const char *name)
{
	struct service *s = g_hash_table_lookup(l->services, name);

	if (s)
		return s;
	s = util_alloc(1, sizeof(*s));
	util_copy_str(s->name, sizeof(s->name), name);
	s->second = clock_now_us() / US_PER_S;
	g_hash_table_insert(l->services, s->name, s);
	return s;
}

/* Clears the seconds that passed; returns the index of the present one. */
static uint32_t present_slot(struct service *s)
{
	int64_t now = clock_now_us() / US_PER_S;

	while (s->second < now) {
		s->second++;
		s->requests[s->second % SECONDS_KEPT] = 0;
		s->extras[s->second % SECONDS_KEPT] = 0;
	}
	return (uint32_t)(s->second % SECONDS_KEPT);
}

void ledger_request_for(struct ledger *l, const char *service)
{
	struct service *s;

	pthread_mutex_lock(&l->lock);
	s = get_service(l, service);
	s->requests[present_slot(s)]++;
	pthread_mutex_unlock(&l->lock);
}

void ledger_arrived(struct ledger *l, const char *id, const char *service)
{
	struct entry *e;
	uint32_t before = 0;
	uint32_t i;

	pthread_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->entries, id);
	for (i = 0; e && i < e->arrival_count; i++)
		before += strcmp(e->arrivals[i], service) == 0;
	if (!e) {
		violation_locked(l, RULE_MIXED,
				 "a request that no caller sent");
	} else if (e->arrival_count < RUNS_MAX) {
		util_copy_str(e->arrivals[e->arrival_count++], NAME_BYTES,
			      service);
		if (before) {
			struct service *s = get_service(l, service);

			s->extras[present_slot(s)]++;
		}
	}
	pthread_mutex_unlock(&l->lock);
}

static void check_run(struct ledger *l, const struct entry *e,
		      const char *service)
{
	uint32_t same = 1;
	uint32_t i;

	for (i = 0; i < e->run_count; i++)
		same += strcmp(e->runs[i].service, service) == 0;
	if (same > ATTEMPTS_MAX)
		violation_locked(l, RULE_ATTEMPTS, e->id);
	if (e->kind != KIND_ONCE)
		return;
	if (e->run_count > 0)
		violation_locked(l, RULE_TWICE, e->id);
	if (e->status == 503 || e->status == 429)
		violation_locked(l, RULE_REFUSED, e->id);
}

void ledger_run(struct ledger *l, const char *id, const char *service,
		char stamp[LEDGER_STAMP_BYTES])
{
	struct entry *e;

	pthread_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->entries, id);
	snprintf(stamp, LEDGER_STAMP_BYTES, "%s.%s.%llu", service, id,
		 (unsigned long long)++l->run_number);
	if (e) {
		check_run(l, e, service);
		if (e->run_count < RUNS_MAX) {
			struct run *r = &e->runs[e->run_count++];

			util_copy_str(r->service, sizeof(r->service), service);
			util_copy_str(r->stamp, sizeof(r->stamp), stamp);
		}
	}
	pthread_mutex_unlock(&l->lock);
}

void ledger_answered(struct ledger *l, const char *id, uint32_t status)
{
	struct entry *e;

	pthread_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->entries, id);
	e->status = status;
	l->answers[e->kind][status / 100 == 2]++;
	if (e->kind == KIND_ONCE && (status == 503 || status == 429) &&
	    e->run_count)
		violation_locked(l, RULE_REFUSED, id);
	pthread_mutex_unlock(&l->lock);
}

int ledger_was_run(struct ledger *l, const char *id)
{
	struct entry *e;
	int was_run;

	pthread_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->entries, id);
	was_run = e && e->run_count > 0;
	pthread_mutex_unlock(&l->lock);
	return was_run;
}

int ledger_service(struct ledger *l, const char *id, const char *stamp,
		   char service[NAME_BYTES])
{
	struct entry *e;
	int found = 0;
	uint32_t i;

	pthread_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->entries, id);
	for (i = 0; e && i < e->run_count && !found; i++) {
		found = strcmp(e->runs[i].stamp, stamp) == 0;
		if (found)
			util_copy_str(service, NAME_BYTES, e->runs[i].service);
	}
	pthread_mutex_unlock(&l->lock);
	return found;
}

/* Sums the WINDOW_S seconds of @slots that end @end_s_ago before the newest. */
static uint32_t sum_window(const struct service *s, const uint32_t *slots,
			   uint32_t end_s_ago)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < WINDOW_S; i++)
		sum += slots[(s->second - end_s_ago - i + SECONDS_KEPT) %
			     SECONDS_KEPT];
	return sum;
}

void ledger_check_budget(struct ledger *l, uint32_t ratio_permille,
			 uint32_t slack)
{
	GHashTableIter it;
	gpointer value;
	char text[160];

	pthread_mutex_lock(&l->lock);
	g_hash_table_iter_init(&it, l->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service *s = value;
		uint32_t extras;
		uint32_t requests;

		present_slot(s);
		/* The newest second is not complete, so it is left out. */
		extras = sum_window(s, s->extras, 1);
		/*
		 * The bound follows from the largest of this window and of
		 * those that ended half a window and a window before.
		 */
		requests =
			util_max_u32(sum_window(s, s->requests, 1),
				     sum_window(s, s->requests, WINDOW_S / 2));
		requests = util_max_u32(requests,
					sum_window(s, s->requests, WINDOW_S));
		if (extras <= requests * ratio_permille / PERMILLE + slack)
			continue;
		snprintf(text, sizeof(text),
			 "service %s: %u extra calls, %u requests", s->name,
			 extras, requests);
		violation_locked(l, RULE_BUDGET, text);
	}
	pthread_mutex_unlock(&l->lock);
}

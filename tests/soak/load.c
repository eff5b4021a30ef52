#include "load.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "caller.h"

#define THREADS_MAX 32
/* Deadline that a request states, and how long a caller waits beyond it. */
#define WAIT_MS 1000
#define SLACK_MS 700
#define PAUSE_US 12000
/* Pause of a caller after a host that it could not connect to. */
#define REFUSED_PAUSE_US 30000
#define STAMPS_MAX TESTBED_SHARDS
#define TOP 10
/*
 * Added to the time for applying a configuration: scheduling delays of the
 * callers and targets in this process.
 */
#define CONFIG_SLACK_US (500 * US_PER_MS)

/* A thread with one connection to each host. */
struct thread {
	struct load *load;
	pthread_t thread;
	uint32_t number;
	uint32_t sequence;
	struct rng rng;
	struct caller callers[TESTBED_HOSTS];
	/* Incarnation of the host to which each connection was opened. */
	uint32_t connected[TESTBED_HOSTS];
};

struct load {
	struct testbed *testbed;
	uint32_t count;
	struct thread threads[THREADS_MAX];
	_Atomic int stopping;
	_Atomic uint64_t sent;
	_Atomic uint64_t successes;
	/* Guards the fields below. */
	pthread_mutex_t lock;
	/*
	 * By host: incarnation, and its newest version that an answer showed.
	 */
	uint32_t seen_incarnation[TESTBED_HOSTS];
	uint32_t seen_version[TESTBED_HOSTS];
};

/* One request under way. */
struct sent_request {
	char id[LEDGER_REQUEST_ID_BYTES];
	enum ledger_kind kind;
	uint32_t host;
	uint32_t incarnation;
	int64_t sent_us;
	/* seen_version of the host when the request was sent; 0: none. */
	uint32_t seen_version;
	/* The host had got SIGTERM before the request was sent. */
	int was_leaving;
};

static const char *const paths[KIND_COUNT] = { "all", "one", "once", "move" };

static int compare_records(const void *a, const void *b)
{
	return memcmp(b, a, TARGET_RECORD_BYTES);
}

/*
 * Fills @services with those that gave the stamps in @text; returns their
 * number, or -1 for an unknown stamp, too many, or one service twice.
 */
static int read_stamps(struct testbed *tb, const struct sent_request *s,
		       const char *text, char services[STAMPS_MAX][NAME_BYTES])
{
	g_auto(GStrv) stamps = g_strsplit(text ? text : "", ",", -1);
	int n = 0;
	int i;

	for (; stamps[n]; n++) {
		if (n == STAMPS_MAX ||
		    !ledger_service(tb->ledger, s->id, g_strstrip(stamps[n]),
				    services[n]))
			return -1;
		for (i = 0; i < n; i++) {
			if (strcmp(services[i], services[n]) == 0)
				return -1;
		}
	}
	return n;
}

static void check_gather(struct testbed *tb, const struct sent_request *s,
			 const struct http1_reader *a)
{
	char services[STAMPS_MAX][NAME_BYTES];
	char all[STAMPS_MAX * TARGET_RECORDS][TARGET_RECORD_BYTES];
	const char *missing = http1_find(a, "Cowslippoint-Missing-Parts");
	int n = read_stamps(tb, s, http1_find(a, "Cowslippoint-Part-Stamps"),
			    services);
	size_t top;
	int i;

	if (n < TESTBED_SHARDS / 2 ||
	    n + (missing ? atoi(missing) : 0) != TESTBED_SHARDS) {
		ledger_violation(tb->ledger, RULE_MIXED,
				 "request %s host %u: %d parts, missing %s",
				 s->id, s->host, n,
				 missing ? missing : "not stated");
		return;
	}
	for (i = 0; i < n; i++)
		targets_records(services[i], s->id, all[i * TARGET_RECORDS]);
	qsort(all, (size_t)n * TARGET_RECORDS, TARGET_RECORD_BYTES,
	      compare_records);
	top = util_min_u32(TOP, (uint32_t)n * TARGET_RECORDS) *
	      TARGET_RECORD_BYTES;
	if (a->body.len_bytes != top || memcmp(a->body.data, all, top) != 0)
		ledger_violation(tb->ledger, RULE_MIXED,
				 "request %s host %u: body is not the top "
				 "records of its parts",
				 s->id, s->host);
}

/* Newest version up to @newest that moves "move" to @service; 0: none. */
static uint32_t last_version(uint32_t newest, const char *service)
{
	char name[NAME_BYTES];
	uint32_t back;

	for (back = 0; back < TESTBED_MOVES && back < newest; back++) {
		testbed_move_service(newest - back, name);
		if (strcmp(name, service) == 0)
			return newest - back;
	}
	return 0;
}

/*
 * Oldest version from @from to @newest that moves "move" to @service; 0: none.
 */
static uint32_t first_version(uint32_t from, uint32_t newest,
			      const char *service)
{
	char name[NAME_BYTES];
	uint32_t v;

	for (v = util_max_u32(from, 1); v <= newest; v++) {
		testbed_move_service(v, name);
		if (strcmp(name, service) == 0)
			return v;
	}
	return 0;
}

static void check_move(struct load *l, const struct sent_request *s,
		       const char *service)
{
	struct testbed *tb = l->testbed;
	uint32_t newest = tb->version;
	/*
	 * Every TESTBED_MOVES-th version names the same service, so the answer
	 * shows only the newest and the oldest version that it can be from.
	 */
	uint32_t version = last_version(newest, service);
	uint32_t oldest = first_version(s->seen_version, newest, service);
	/* When the store acknowledged the version that replaced the newest. */
	int64_t replaced_us = version < newest ? tb->acked_us[version + 1]
					       : INT64_MAX;

	if (replaced_us != INT64_MAX &&
	    s->sent_us > replaced_us + TESTBED_APPLY_MS * US_PER_MS +
				 CONFIG_SLACK_US &&
	    !tb->hosts[s->host].is_leaving &&
	    tb->hosts[s->host].incarnation == s->incarnation &&
	    testbed_host_is_settled(tb, s->host, s->sent_us) &&
	    testbed_host_is_settled(tb, s->host, clock_now_us()))
		ledger_violation(tb->ledger, RULE_CONFIG,
				 "request %s host %u: version %u in use "
				 "%lld ms after version %u was stored",
				 s->id, s->host, version,
				 (long long)(s->sent_us - replaced_us) /
					 US_PER_MS,
				 version + 1);
	if (!oldest && tb->hosts[s->host].incarnation == s->incarnation)
		ledger_violation(tb->ledger, RULE_REGRESS,
				 "request %s host %u: service %s of an older "
				 "version after version %u",
				 s->id, s->host, service, s->seen_version);
	pthread_mutex_lock(&l->lock);
	if (l->seen_incarnation[s->host] != s->incarnation) {
		l->seen_incarnation[s->host] = s->incarnation;
		l->seen_version[s->host] = 0;
	}
	l->seen_version[s->host] =
		util_max_u32(l->seen_version[s->host], oldest);
	pthread_mutex_unlock(&l->lock);
}

static void check_single(struct load *l, const struct sent_request *s,
			 const struct http1_reader *a)
{
	const char *stamp = http1_find(a, "Cowslippoint-Server-Stamp");
	g_autofree char *body =
		g_strdup_printf("id=%s stamp=%s", s->id, stamp ? stamp : "");
	char service[NAME_BYTES];

	if (!stamp ||
	    !ledger_service(l->testbed->ledger, s->id, stamp, service) ||
	    a->body.len_bytes != strlen(body) ||
	    memcmp(a->body.data, body, a->body.len_bytes) != 0) {
		ledger_violation(l->testbed->ledger, RULE_MIXED,
				 "request %s host %u: stamp %s", s->id, s->host,
				 stamp ? stamp : "missing");
		return;
	}
	if (s->kind == KIND_MOVE)
		check_move(l, s, service);
}

static void check_answer(struct load *l, const struct sent_request *s,
			 const struct http1_reader *a)
{
	uint32_t status = http1_status(a);

	ledger_answered(l->testbed->ledger, s->id, status);
	if (status / 100 == 2) {
		l->successes++;
		if (s->kind == KIND_GATHER)
			check_gather(l->testbed, s, a);
		else
			check_single(l, s, a);
	} else if (status < 500 && status != 408 && status != 421 &&
		   status != 429) {
		ledger_violation(l->testbed->ledger, RULE_DENIED,
				 "request %s host %u: status %u", s->id,
				 s->host, status);
	}
}

/*
 * A connection that ends without an answer is a violation if the host was
 * told to stop by SIGTERM only, and a target had run the request.
 */
static void check_cut(struct load *l, const struct sent_request *s)
{
	struct testbed *tb = l->testbed;
	int is_leaving = tb->hosts[s->host].is_leaving;

	ledger_answered(tb->ledger, s->id, 0);
	if (is_leaving && testbed_host_is_settled(tb, s->host, s->sent_us) &&
	    testbed_host_is_settled(tb, s->host, clock_now_us()) &&
	    tb->hosts[s->host].incarnation == s->incarnation &&
	    ledger_was_run(tb->ledger, s->id))
		ledger_violation(tb->ledger, RULE_LOST,
				 "request %s host %u, sent %s SIGTERM: run, "
				 "but not answered",
				 s->id, s->host,
				 s->was_leaving ? "after" : "before");
}

static void count_request(struct testbed *tb, const struct sent_request *s)
{
	char name[NAME_BYTES];
	uint32_t i;

	switch (s->kind) {
	case KIND_GATHER:
		for (i = 0; i < TESTBED_SHARDS; i++) {
			snprintf(name, sizeof(name), "shard%u", i);
			ledger_request_for(tb->ledger, name);
		}
		break;
	case KIND_MOVE:
		/*
		 * Any version from the newest acknowledged one on may be in
		 * force, as the store need not have one that it did not
		 * acknowledge (seed 107).
		 */
		for (i = tb->acked_version; i <= tb->version; i++) {
			testbed_move_service(i, name);
			ledger_request_for(tb->ledger, name);
		}
		break;
	default:
		ledger_request_for(tb->ledger, "one");
		break;
	}
}

static void send_one(struct thread *t)
{
	struct load *l = t->load;
	struct testbed *tb = l->testbed;
	struct sent_request s = { .host = rng_below(&t->rng, TESTBED_HOSTS),
				  .kind = (enum ledger_kind)rng_below(
					  &t->rng, KIND_COUNT) };
	struct testbed_host *h = &tb->hosts[s.host];
	struct caller *c = &t->callers[s.host];
	char text[512];

	s.incarnation = h->incarnation;
	s.was_leaving = h->is_leaving;
	/* A connection does not outlive the host process it was opened to. */
	if (t->connected[s.host] != s.incarnation)
		caller_close(c);
	t->connected[s.host] = s.incarnation;
	if (!h->is_running)
		return;
	snprintf(s.id, sizeof(s.id), "%u.%u", t->number, ++t->sequence);
	snprintf(text, sizeof(text),
		 "GET /%s/x HTTP/1.1\r\nHost: soak.example\r\n"
		 "Cowslippoint-Request-Id: %s\r\n"
		 "Cowslippoint-Deadline-Ms: %u\r\n\r\n",
		 paths[s.kind], s.id, WAIT_MS);
	pthread_mutex_lock(&l->lock);
	if (l->seen_incarnation[s.host] == s.incarnation)
		s.seen_version = l->seen_version[s.host];
	pthread_mutex_unlock(&l->lock);
	ledger_sent(tb->ledger, s.id, s.kind);
	count_request(tb, &s);
	l->sent++;
	s.sent_us = clock_now_us();
	switch (caller_exchange(c, h->address, tb->caller_port, text,
				WAIT_MS + SLACK_MS)) {
	case CALLER_OK:
		check_answer(l, &s, &c->answer);
		break;
	case CALLER_GARBAGE:
		ledger_answered(tb->ledger, s.id, 0);
		ledger_violation(tb->ledger, RULE_MIXED,
				 "request %s host %u: answer is not HTTP/1.1, "
				 "or data follows it",
				 s.id, s.host);
		break;
	case CALLER_CLOSED:
	case CALLER_BROKEN:
		check_cut(l, &s);
		break;
	case CALLER_REFUSED:
		ledger_answered(tb->ledger, s.id, 0);
		g_usleep(REFUSED_PAUSE_US);
		break;
	case CALLER_TIMEOUT:
		ledger_answered(tb->ledger, s.id, 0);
		break;
	}
}

static void *run(void *ctx)
{
	struct thread *t = ctx;
	uint32_t i;

	for (i = 0; i < TESTBED_HOSTS; i++)
		caller_init(&t->callers[i]);
	while (!t->load->stopping) {
		send_one(t);
		g_usleep(rng_below(&t->rng, 2 * PAUSE_US));
	}
	for (i = 0; i < TESTBED_HOSTS; i++)
		caller_clear(&t->callers[i]);
	return NULL;
}

struct load *load_start(struct testbed *tb, uint32_t threads)
{
	struct load *l = util_alloc(1, sizeof(*l));
	uint32_t i;

	l->testbed = tb;
	l->count = util_min_u32(threads, THREADS_MAX);
	pthread_mutex_init(&l->lock, NULL);
	for (i = 0; i < l->count; i++) {
		struct thread *t = &l->threads[i];

		t->load = l;
		t->number = i;
		t->rng.state = tb->seed * THREADS_MAX + i;
		pthread_create(&t->thread, NULL, run, t);
	}
	return l;
}

void load_stop(struct load *l)
{
	uint32_t i;

	l->stopping = 1;
	for (i = 0; i < l->count; i++)
		pthread_join(l->threads[i].thread, NULL);
	pthread_mutex_destroy(&l->lock);
	free(l);
}

void load_counts(struct load *l, uint64_t *sent, uint64_t *successes)
{
	*sent = l->sent;
	*successes = l->successes;
}

/*
 * Demonstration of the whole system on loopback. It starts stand-ins for the
 * store and for the targets of two customers (deployment.c) and eight hosts in
 * three data centres, sends searches and lookups to the caller ports, and
 * takes a data centre out of service and back under load. Each line that
 * begins with "ok" or "FAIL" is the result of one check; the exit status is 0
 * only if all checks passed.
 */
#include <apr_general.h>
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "base/clock.h"
#include "base/util.h"
#include "client.h"
#include "decide/merge.h"
#include "demo/load.h"
#include "demo/deployment.h"
#include "proc.h"
#include "standin/corpus.h"

#define DIR "build/demo"
#define START_TIMEOUT_MS 10000
#define CALL_TIMEOUT_MS 10000
#define WAIT_US (20 * US_PER_S)
#define POLL_US (50 * US_PER_MS)
/* Has no effect: search() takes it and waits up to CALL_TIMEOUT_MS instead. */
#define WARM_TIMEOUT_MS 100
#define LOAD_THREADS 6
/*
 * Longest time in which a data centre that is taken out may still get new
 * work; operators are promised "a few seconds".
 */
#define OUT_BOUND_US (3 * US_PER_S)
#define HITS_WANTED 10

static const char targets_file[] = DIR "/targets";

struct demo {
	struct proc store;
	struct proc targets;
	struct proc hosts[DEPLOYMENT_HOSTS];
	uint16_t caller_ports[DEPLOYMENT_HOSTS];
	uint16_t admin_ports[DEPLOYMENT_HOSTS];
	/* The targets listen on consecutive ports from this one on. */
	uint16_t first_target_port;
	/* NULL before the load starts. */
	struct load *load;
	uint32_t checks;
	uint32_t failed;
};

static void check(struct demo *d, int holds, const char *fmt, ...)
	PRINTF_LIKE(3, 4);

/* Counts one check and prints its result. */
static void check(struct demo *d, int holds, const char *fmt, ...)
{
	va_list ap;

	d->checks++;
	d->failed += !holds;
	printf("  %s  ", holds ? "ok  " : "FAIL");
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
	fflush(stdout);
}

static void title(const char *text)
{
	printf("\n%s\n", text);
	fflush(stdout);
}

static int start_store(struct demo *d)
{
	const char *argv[] = { "build/standin", "store", "--admin-port", "0",
			       NULL };

	return proc_start(&d->store, argv, DIR "/store.log", START_TIMEOUT_MS);
}

static int start_targets(struct demo *d)
{
	const char *argv[] = { "build/standin",
			       "target",
			       "--admin-port",
			       "0",
			       "--targets",
			       targets_file,
			       "--instance",
			       "demo",
			       "--port",
			       "0",
			       NULL };
	uint32_t i;

	/* All ports of a range must be free, else the next range is tried. */
	for (i = 0; i < 40; i++) {
		d->first_target_port = (uint16_t)(20000 + i * 1000);
		if (deployment_write_targets(targets_file,
					     d->first_target_port) != 0)
			return -1;
		if (proc_start(&d->targets, argv, DIR "/targets.log",
			       START_TIMEOUT_MS) == 0)
			return 0;
	}
	return -1;
}

static int start_host(struct demo *d, uint32_t i)
{
	g_autofree char *id = g_strdup_printf("h%u", i + 1);
	g_autofree char *log = g_strdup_printf(DIR "/%s.log", id);
	g_autofree char *store_port =
		g_strdup_printf("%u", proc_number(&d->store, "ready"));
	const char *argv[] = { "build/cowslippoint",
			       "serve",
			       "--host",
			       id,
			       "--data-centre",
			       deployment_data_centre(i),
			       "--caller-port",
			       "0",
			       "--admin-port",
			       "0",
			       "--peer-port",
			       "0",
			       "--drain-ms",
			       "1000",
			       "--store-port",
			       store_port,
			       NULL };

	if (proc_start(&d->hosts[i], argv, log, START_TIMEOUT_MS) != 0)
		return -1;
	d->caller_ports[i] = (uint16_t)proc_number(&d->hosts[i], "caller");
	d->admin_ports[i] = (uint16_t)proc_number(&d->hosts[i], "admin");
	return 0;
}

/* Writes the list of all hosts to the store stand-in, which serves it. */
static void publish_hosts(struct demo *d)
{
	json_t *hosts = json_array();
	g_autofree char *body = NULL;
	struct client_answer a;
	json_t *doc;
	uint32_t i;

	for (i = 0; i < DEPLOYMENT_HOSTS; i++) {
		char id[8];

		snprintf(id, sizeof(id), "h%u", i + 1);
		json_array_append_new(
			hosts,
			json_pack("{s:s,s:s,s:i,s:s,s:s,s:s}", "id", id,
				  "address", "127.0.0.1", "port",
				  (int)proc_number(&d->hosts[i], "peer"),
				  "data_centre", deployment_data_centre(i),
				  "role", "entry", "state", "live"));
	}
	doc = json_pack("{s:o}", "hosts", hosts);
	body = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	client_call(&a, "POST", (uint16_t)proc_number(&d->store, "admin"),
		    "/control/hosts", body, CALL_TIMEOUT_MS);
	check(d, a.status == 200, "host list published");
	client_clear(&a);
}

/* Number of hosts that host @i reports as live in its status. */
static uint32_t hosts_live(struct demo *d, uint32_t i)
{
	struct client_answer a;
	const json_t *host;
	uint32_t live = 0;
	size_t k;

	client_call(&a, "GET", d->admin_ports[i], "/admin/v1/status", NULL,
		    CALL_TIMEOUT_MS);
	json_array_foreach(json_object_get(a.json, "hosts"), k, host)
	{
		const char *state =
			json_string_value(json_object_get(host, "state"));

		live += state && strcmp(state, "live") == 0;
	}
	client_clear(&a);
	return live;
}

static int every_host_sees_all(struct demo *d)
{
	uint32_t i;

	for (i = 0; i < DEPLOYMENT_HOSTS; i++) {
		if (hosts_live(d, i) != DEPLOYMENT_HOSTS)
			return 0;
	}
	return 1;
}

static void wait_membership(struct demo *d)
{
	int64_t start_us = clock_now_us();

	while (!every_host_sees_all(d) && clock_now_us() < start_us + WAIT_US)
		g_usleep(POLL_US);
	check(d, every_host_sees_all(d),
	      "each of %u hosts sees all as live (%.1f s)", DEPLOYMENT_HOSTS,
	      (double)(clock_now_us() - start_us) / US_PER_S);
}

/*
 * Runs "cowslippoint ctl" on h1 with up to four arguments and prints what the
 * operator sees. Returns the wait status, or -1 when ctl cannot be started.
 */
static int ctl(struct demo *d, const char *arg1, const char *arg2,
	       const char *arg3, const char *arg4)
{
	g_autofree char *admin =
		g_strdup_printf("127.0.0.1:%u", d->admin_ports[0]);
	const char *argv[] = { "build/cowslippoint",
			       "ctl",
			       arg1,
			       arg2,
			       arg3,
			       arg4,
			       NULL,
			       NULL,
			       NULL };
	g_autofree char *out = NULL;
	g_autofree char *err = NULL;
	g_auto(GStrv) lines = NULL;
	uint32_t n = 2;
	int status = 0;
	uint32_t i;

	while (argv[n])
		n++;
	argv[n++] = "--admin";
	argv[n] = admin;
	if (!g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_DEFAULT, NULL,
			  NULL, &out, &err, &status, NULL))
		return -1;
	lines = g_strsplit(out, "\n", -1);
	for (i = 0; lines[i]; i++) {
		if (lines[i][0])
			printf("      %s\n", lines[i]);
	}
	if (err[0])
		printf("      %s", err);
	return status;
}

/* Applies the document @json with "ctl @kind apply"; frees @json. */
static void apply(struct demo *d, const char *kind, const char *name,
		  char *json)
{
	g_autofree char *path = g_strdup_printf(DIR "/%s.json", name);

	g_file_set_contents(path, json, -1, NULL);
	free(json);
	check(d, ctl(d, kind, "apply", path, "--wait") == 0, "%s %s applied",
	      kind, name);
}

static void load_configuration(struct demo *d)
{
	uint32_t i;

	for (i = 0; i < deployment_app_count(); i++)
		apply(d, "index", deployment_app(i)->index,
		      deployment_layout_json(deployment_app(i),
					     d->first_target_port));
	for (i = 0; i < deployment_customer_count(); i++)
		apply(d, "contract", deployment_customer(i)->name,
		      deployment_contract_json(deployment_customer(i)));
}

/* Hits of a correct answer, computed from the corpus of the stand-ins. */
static void expected_hits(const struct deployment_app *app, const char *query,
			  struct hits *out)
{
	char shard[32];
	uint32_t i;

	for (i = 0; i < app->shards; i++) {
		snprintf(shard, sizeof(shard), "s%u", i);
		corpus_search(app->index, shard, "s1", query, HITS_WANTED, out);
	}
	merge_hits(out, HITS_WANTED);
}

static int hits_equal(const struct client_answer *a, const struct hits *want)
{
	const json_t *hits = json_object_get(a->json, "hits");
	uint32_t i;

	if (json_array_size(hits) != want->count)
		return 0;
	for (i = 0; i < want->count; i++) {
		const char *id = json_string_value(
			json_object_get(json_array_get(hits, i), "id"));

		if (!id || strcmp(id, want->items[i].id) != 0)
			return 0;
	}
	return 1;
}

/*
 * Searches @app through host @i; returns 1 if the answer is complete and has
 * the expected hits. @timeout_ms is not used.
 */
static int search(struct demo *d, uint32_t i, const struct deployment_app *app,
		  const char *query, uint32_t timeout_ms,
		  struct client_answer *a)
{
	struct hits want CLEANUP(hits_free) = { 0 };
	g_autofree char *body =
		g_strdup_printf("{\"customer\":\"%s\",\"index\":\"%s\","
				"\"query\":\"%s\","
				"\"limit\":%d}",
				app->customer, app->index, query, HITS_WANTED);

	client_call(a, "POST", d->caller_ports[i], "/v1/search", body,
		    CALL_TIMEOUT_MS);
	expected_hits(app, query, &want);
	return json_is_true(json_object_get(a->json, "complete")) &&
	       hits_equal(a, &want);
}

/*
 * Waits until the owners have warmed up the targets: until as many consecutive
 * searches as there are pairs of a host and an application gave a complete and
 * correct answer.
 */
static void wait_warm(struct demo *d)
{
	int64_t start_us = clock_now_us();
	uint32_t consecutive = 0;
	uint32_t tried = 0;

	while (consecutive < DEPLOYMENT_HOSTS * deployment_app_count() &&
	       clock_now_us() < start_us + WAIT_US) {
		struct client_answer a;

		if (search(d, tried % DEPLOYMENT_HOSTS,
			   deployment_app(tried / DEPLOYMENT_HOSTS %
					  deployment_app_count()),
			   "warm", WARM_TIMEOUT_MS, &a))
			consecutive++;
		else
			consecutive = 0;
		tried++;
		client_clear(&a);
	}
	check(d,
	      consecutive > 0 &&
		      consecutive >= DEPLOYMENT_HOSTS * deployment_app_count(),
	      "%u targets warmed up by their owners (%.1f s)",
	      deployment_target_count(),
	      (double)(clock_now_us() - start_us) / US_PER_S);
}

static void search_all(struct demo *d)
{
	uint32_t i;

	for (i = 0; i < deployment_app_count(); i++) {
		const struct deployment_app *app = deployment_app(i);
		struct client_answer a;
		int good = search(d, i % DEPLOYMENT_HOSTS, app, "heron",
				  CALL_TIMEOUT_MS, &a);

		check(d, good,
		      "%s/%s through h%u: snapshot %s, %d of %d shards, %s, "
		      "%.1f ms, hits as computed",
		      app->customer, app->index, i % DEPLOYMENT_HOSTS + 1,
		      client_text(&a, "snapshot"),
		      (int)client_int(&a, "shards_answered"),
		      (int)client_int(&a, "shards_total"),
		      good ? "complete" : "not complete",
		      (double)client_int(&a, "elapsed_us") / US_PER_MS);
		client_clear(&a);
	}
}

/* A lookup that is not idempotent; each call has the same request ID. */
static void lookup(struct demo *d, uint32_t host, struct client_answer *a)
{
	client_call(a, "POST", d->caller_ports[host], "/v1/lookup",
		    "{\"customer\":\"kelanidhara\",\"index\":\"depot\","
		    "\"record\":\"wo-17\",\"idempotent\":false,"
		    "\"request_id\":\"demo-1\"}",
		    CALL_TIMEOUT_MS);
}

static void lookup_once(struct demo *d)
{
	struct client_answer a;

	lookup(d, 0, &a);
	check(d, client_int(&a, "code") == 0,
	      "work order looked up through h1: %s", client_text(&a, "error"));
	client_clear(&a);
	lookup(d, 5, &a);
	check(d, strcmp(client_text(&a, "error"), "ALREADY_CLAIMED") == 0,
	      "the caller's retry through h6 is refused: %s, %s",
	      client_text(&a, "error"), client_text(&a, "outcome"));
	client_clear(&a);
	client_call(&a, "GET", d->caller_ports[3],
		    "/v1/outcome/kelanidhara/demo-1", NULL, CALL_TIMEOUT_MS);
	check(d, strcmp(client_text(&a, "outcome"), "done") == 0,
	      "h4 knows what became of it: %s", client_text(&a, "outcome"));
	client_clear(&a);
	client_call(&a, "GET", (uint16_t)proc_number(&d->targets, "admin"),
		    "/control/once?request_id=demo-1", NULL, CALL_TIMEOUT_MS);
	check(d, client_int(&a, "executions") == 1,
	      "it ran %d time at the targets",
	      (int)client_int(&a, "executions"));
	client_clear(&a);
}

/* Sub-requests that the targets of @data_centre have received so far. */
static int64_t received_in(struct demo *d, const char *data_centre)
{
	struct client_answer a;
	const json_t *target;
	int64_t sum = 0;
	size_t i;

	client_call(&a, "GET", (uint16_t)proc_number(&d->targets, "admin"),
		    "/control/stats", NULL, CALL_TIMEOUT_MS);
	json_array_foreach(json_object_get(a.json, "targets"), i, target)
	{
		const char *id =
			json_string_value(json_object_get(target, "id"));

		if (id &&
		    strcmp(deployment_target_data_centre(id), data_centre) == 0)
			sum += json_integer_value(json_object_get(target, "rece"
									  "ive"
									  "d"));
	}
	client_clear(&a);
	return sum;
}

static void check_load(struct demo *d, const char *phase, int may_be_partial)
{
	struct load_counts c;

	load_take(d->load, &c);
	check(d,
	      c.lost == 0 && c.complete > 0 &&
		      (may_be_partial || c.partial + c.refused == 0),
	      "load %s: %" PRIu64 " complete, %" PRIu64 " partial, %" PRIu64
	      " refused, %" PRIu64 " lost, p50 %.1f ms, p99 %.1f ms",
	      phase, c.complete, c.partial, c.refused, c.lost,
	      (double)c.p50_us / US_PER_MS, (double)c.p99_us / US_PER_MS);
}

/*
 * Watches the targets of @data_centre until twice OUT_BOUND_US after
 * @since_us; returns the time from @since_us to the last sub-request that they
 * received.
 */
static int64_t last_work_after_us(struct demo *d, const char *data_centre,
				  int64_t since_us)
{
	int64_t last_us = since_us;
	int64_t before = received_in(d, data_centre);

	while (clock_now_us() < since_us + 2 * OUT_BOUND_US) {
		int64_t now;

		g_usleep(POLL_US);
		now = received_in(d, data_centre);
		if (now != before)
			last_us = clock_now_us();
		before = now;
	}
	return last_us - since_us;
}

static void evacuate_and_return(struct demo *d)
{
	static const struct load_target targets[] = {
		{ "blue-mahoe", "concept" },
		{ "kelanidhara", "coordination" },
	};
	int64_t start_us;
	int64_t last_work_us;
	int64_t before;

	d->load = load_start(LOAD_THREADS, d->caller_ports, DEPLOYMENT_HOSTS,
			     targets, countof(targets));
	g_usleep(2 * US_PER_S);
	check_load(d, "before", 0);
	start_us = clock_now_us();
	check(d, ctl(d, "dc", "out", "b", "--wait") == 0,
	      "data centre b taken out");
	last_work_us = last_work_after_us(d, "b", start_us);
	check(d, last_work_us < OUT_BOUND_US,
	      "last new work in b %.1f s after the operator's command",
	      (double)last_work_us / US_PER_S);
	check_load(d, "while out", 0);
	before = received_in(d, "b");
	check(d, ctl(d, "dc", "in", "b", "--wait") == 0,
	      "data centre b brought back");
	g_usleep(6 * US_PER_S);
	check(d, received_in(d, "b") > before, "b has work again");
	check_load(d, "during the return", 0);
}

static void stop_host(struct demo *d)
{
	struct load_counts c;
	uint32_t last = DEPLOYMENT_HOSTS - 1;

	load_take(d->load, &c);
	proc_signal(&d->hosts[last], SIGTERM);
	/* A load balancer sees in /healthz that the host drains. */
	g_usleep(300 * US_PER_MS);
	load_skip(d->load, last);
	check(d, proc_wait(&d->hosts[last]) == 0, "h%u shut down gracefully",
	      last + 1);
	check_load(d, "during the shutdown", 0);
}

static void stop_all(struct demo *d)
{
	uint32_t i;

	if (d->load)
		load_stop(d->load);
	for (i = 0; i < DEPLOYMENT_HOSTS; i++)
		proc_signal(&d->hosts[i], SIGTERM);
	for (i = 0; i < DEPLOYMENT_HOSTS; i++) {
		if (d->hosts[i].pid)
			check(d, proc_wait(&d->hosts[i]) == 0, "h%u stopped",
			      i + 1);
	}
	proc_stop(&d->targets);
	proc_stop(&d->store);
}

static int start_all(struct demo *d)
{
	uint32_t i;

	if (start_store(d) != 0 || start_targets(d) != 0) {
		check(d, 0, "stand-ins started");
		return -1;
	}
	for (i = 0; i < DEPLOYMENT_HOSTS; i++) {
		if (start_host(d, i) != 0) {
			check(d, 0, "h%u started, see " DIR "/h%u.log", i + 1,
			      i + 1);
			return -1;
		}
	}
	check(d, 1, "store, %u targets and %u hosts started",
	      deployment_target_count(), DEPLOYMENT_HOSTS);
	return 0;
}

static void run(struct demo *d)
{
	title("Start");
	if (start_all(d) != 0)
		return;
	publish_hosts(d);
	wait_membership(d);
	title("Layouts and contracts");
	load_configuration(d);
	title("Searches");
	wait_warm(d);
	search_all(d);
	title("A lookup that must not run twice");
	lookup_once(d);
	title("A data centre leaves and returns under load");
	evacuate_and_return(d);
	title("A host leaves under load");
	stop_host(d);
	title("What operators see");
	check(d, ctl(d, "status", NULL, NULL, NULL) == 0, "status");
	check(d, ctl(d, "report", NULL, NULL, NULL) == 0, "report");
}

int main(void)
{
	struct demo *d = util_alloc(1, sizeof(*d));
	uint32_t failed;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_ALL);
	mkdir("build", 0755);
	mkdir(DIR, 0755);
	run(d);
	title("Stop");
	stop_all(d);
	failed = d->failed;
	printf("\n%u claims checked, %u failed\n", d->checks, failed);
	free(d);
	return failed ? 1 : 0;
}

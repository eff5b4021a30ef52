#include "setup.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "proc.h"

#define START_WAIT_US (5 * US_PER_S)
/* Hosts first read the store and exchange heartbeats. */
#define READY_WAIT_US (15 * US_PER_S)
#define READY_STEP_US (50 * US_PER_MS)
/* A cold target is this many times slower, for its first requests. */
#define COLD_FACTOR 5
#define COLD_REQUESTS 50
#define SERVE "build/cowslippoint"
#define STANDIN "build/standin"
#define BENCH "build/bench"
/* The stand-ins end by themselves after this time, longer than any run. */
#define RUN_S "120"
#define TARGETS_MAX 128

static const char *format_number(char *out, size_t size_bytes, uint64_t n)
{
	snprintf(out, size_bytes, "%" PRIu64, n);
	return out;
}

int bench_setup_has_serve(void)
{
	const char *args[] = { SERVE, "serve", "--help", NULL };
	struct err err = { 0 };
	struct proc *p = proc_start(args, &err);
	int64_t found;

	if (!p)
		return 0;
	found = proc_number(p, "  --seed", US_PER_S);
	proc_stop(p);
	return found >= 0;
}

static enum err_code write_targets(const struct scenario *s, const char *path,
				   uint64_t seed, struct err *err)
{
	FILE *f = fopen(path, "we");
	uint32_t i;

	if (!f)
		return err_set(err, ERR_IO, "cannot write %s", path);
	for (i = 0; i < s->shards * s->replicas; i++)
		fprintf(f,
			"id=t%u port=0 data-centre=%c slots=%u connections=%u "
			"connect-us=%u service-us=%u spread-permille=%u "
			"seed=%" PRIu64 "\n",
			i + 1, 'a' + (int)(i % s->replicas), s->slots,
			s->connections, s->connect_us, SERVICE_MEAN_US,
			SERVICE_SPREAD_PERMILLE, seed % 1000000 + i);
	fclose(f);
	return ERR_OK;
}

static enum err_code start_targets(struct bench_setup *st, uint64_t seed,
				   uint16_t *ports, struct err *err)
{
	const char *path = "build/bench-targets.txt";
	const char *args[] = { STANDIN,	 "target",    "--targets",
			       path,	 "--run-s",   RUN_S,
			       "--seed", "1",	      "--admin-port",
			       "0",	 "--address", "127.0.0.1",
			       NULL };
	uint32_t count = st->scenario->shards * st->scenario->replicas;
	int64_t port = 0;
	uint32_t i;

	if (write_targets(st->scenario, path, seed, err) != ERR_OK)
		return err->code;
	st->targets = proc_start(args, err);
	if (!st->targets)
		return err->code;
	for (i = 0; i < count && port >= 0; i++) {
		port = proc_number(st->targets, "target", START_WAIT_US);
		ports[i] = (uint16_t)port;
	}
	if (port >= 0)
		port = proc_number(st->targets, "admin", START_WAIT_US);
	if (port < 0)
		return err_set(err, ERR_IO,
			       "target stand-ins did not print their ports");
	st->target_control_port = (uint16_t)port;
	return ERR_OK;
}

static enum err_code start_store(struct bench_setup *st, struct err *err)
{
	const char *args[] = { STANDIN,	       "store", "--run-s", RUN_S,
			       "--admin-port", "0",	NULL };
	int64_t port;

	st->store = proc_start(args, err);
	if (!st->store)
		return err->code;
	port = proc_number(st->store, "admin", START_WAIT_US);
	st->store_control_port = (uint16_t)port;
	if (port >= 0)
		port = proc_number(st->store, "ready", START_WAIT_US);
	st->store_port = (uint16_t)port;
	if (port < 0)
		return err_set(err, ERR_IO,
			       "store stand-in did not print its ports");
	return ERR_OK;
}

static enum err_code start_serve(struct bench_setup *st, uint32_t i,
				 uint64_t seed, struct err *err)
{
	char host[16];
	char data_centre[2] = { (char)('a' + i % 3), '\0' };
	char caller[8];
	char admin[8];
	char peer[8];
	char store[8];
	char seed_text[24];
	const char *args[] = {
		SERVE,
		"serve",
		"--host",
		host,
		"--data-centre",
		data_centre,
		"--caller-port",
		format_number(caller, sizeof(caller), st->host_ports[i]),
		"--admin-port",
		format_number(admin, sizeof(admin), st->admin_ports[i]),
		"--peer-port",
		format_number(peer, sizeof(peer), st->peer_ports[i]),
		"--store-port",
		format_number(store, sizeof(store), st->store_port),
		"--drain-ms",
		"0",
		"--seed",
		format_number(seed_text, sizeof(seed_text), seed + i),
		NULL
	};

	snprintf(host, sizeof(host), "h%u", i + 1);
	st->hosts[i] = proc_start(args, err);
	return err->code;
}

static enum err_code start_bench_host(struct bench_setup *st, uint32_t i,
				      uint64_t seed, struct err *err)
{
	char host[16];
	char caller[8];
	char store[8];
	char seed_text[24];
	const char *args[] = {
		BENCH,
		"host",
		host,
		format_number(caller, sizeof(caller), st->host_ports[i]),
		format_number(store, sizeof(store), st->store_port),
		format_number(seed_text, sizeof(seed_text), seed + i),
		"build/bench-contract.json",
		"build/bench-layout.json",
		NULL
	};

	snprintf(host, sizeof(host), "h%u", i + 1);
	st->hosts[i] = proc_start(args, err);
	return err->code;
}

/* One search to each host. */
struct ready_round {
	/* Searches without an answer yet. */
	uint32_t open;
	int running;
	/* Complete answers. */
	uint32_t complete;
};

struct ready_call {
	struct ready_round *round;
	/* NULL once answered. */
	struct http_client_call *call;
};

static void on_ready_answer(void *ctx, uint32_t status, const char *body,
			    size_t body_bytes, int64_t now_us)
{
	struct ready_call *call = ctx;
	struct ready_round *r = call->round;

	call->call = NULL;
	if (status == 200 &&
	    g_strstr_len(body, (gssize)body_bytes, "\"complete\":true"))
		r->complete++;
	if (--r->open == 0)
		r->running = 0;
}

/* Sends one search to each host; returns the number of complete answers. */
static uint32_t search_all(struct bench_setup *st, const char *body)
{
	struct ready_round r = { st->host_count, 1, 0 };
	struct ready_call calls[HOSTS_MAX];
	uint32_t i;

	for (i = 0; i < st->host_count; i++) {
		calls[i].round = &r;
		calls[i].call = http_client_send(st->client, st->host_ports[i],
						 "POST", "/v1/search", body,
						 on_ready_answer, &calls[i]);
	}
	http_client_run(st->client, &r.running,
			clock_now_us() + BENCH_SETUP_CONTROL_WAIT_US);
	for (i = 0; i < st->host_count; i++) {
		if (calls[i].call)
			http_client_abort(calls[i].call);
	}
	return r.complete;
}

/* Searches until all hosts give a complete answer in the same round. */
static enum err_code wait_ready(struct bench_setup *st, struct err *err)
{
	int64_t until_us = clock_now_us() + READY_WAIT_US;
	int always = 1;
	g_autofree char *body =
		g_strdup_printf("{\"customer\":\"%s\",\"index\":\"%s\","
				"\"query\":\"ready\"}",
				st->scenario->customer, st->scenario->index);

	while (clock_now_us() < until_us && !proc_interrupted()) {
		if (search_all(st, body) == st->host_count)
			return ERR_OK;
		http_client_run(st->client, &always,
				clock_now_us() + READY_STEP_US);
	}
	return err_set(err, ERR_IO,
		       "not all hosts gave a complete answer in time");
}

static enum err_code start_hosts(struct bench_setup *st,
				 const struct bench_setup_options *o,
				 struct err *err)
{
	int64_t start_us;
	uint32_t i;

	if (start_store(st, err) != ERR_OK)
		return err->code;
	st->host_count = o->hosts;
	for (i = 0; i < o->hosts; i++) {
		st->host_ports[i] = proc_free_port(err);
		st->peer_ports[i] = proc_free_port(err);
		if (o->use_serve)
			st->admin_ports[i] = proc_free_port(err);
	}
	if (err->code != ERR_OK || bench_setup_put_config(st, err) != ERR_OK ||
	    bench_setup_put_hosts(st, err) != ERR_OK ||
	    bench_setup_write_documents(st, err) != ERR_OK)
		return err->code;
	start_us = clock_now_us();
	for (i = 0; i < o->hosts && err->code == ERR_OK; i++) {
		if (o->use_serve)
			start_serve(st, i, o->seed, err);
		else
			start_bench_host(st, i, o->seed, err);
	}
	if (err->code == ERR_OK)
		wait_ready(st, err);
	st->startup_us = clock_now_us() - start_us;
	return err->code;
}

/* Sends @body by POST to the control port of the target stand-ins. */
static enum err_code control(struct bench_setup *st, const char *path,
			     const char *body, struct err *err)
{
	uint32_t status = http_client_wait(st->client, st->target_control_port,
					   "POST", path, body,
					   BENCH_SETUP_CONTROL_WAIT_US, NULL);

	if (status != 200)
		return err_set(err, ERR_IO,
			       "%s of the target stand-ins answered HTTP "
			       "status %u",
			       path, status);
	return ERR_OK;
}

static enum err_code start_faults(struct bench_setup *st, struct err *err)
{
	const struct scenario *s = st->scenario;
	g_autofree char *body =
		g_strdup_printf("{\"fault\":\"straggle\",\"permille\":%u,"
				"\"factor\":%u}",
				s->straggle_permille, s->straggle_factor);

	if (s->straggle_permille &&
	    control(st, "/control", body, err) != ERR_OK)
		return err->code;
	return control(st, "/control/reset", "{}", err);
}

struct bench_setup *bench_setup_new(const struct scenario *s,
				    const struct bench_setup_options *o,
				    struct http_client *client, struct err *err)
{
	struct bench_setup *st = util_alloc(1, sizeof(*st));
	uint16_t ports[TARGETS_MAX];
	int64_t cpu_us = 0;

	st->scenario = s;
	st->client = client;
	if (start_targets(st, o->seed, ports, err) == ERR_OK) {
		st->layout = scenario_layout(s, ports);
		if (o->hosts == 0 || start_hosts(st, o, err) == ERR_OK)
			start_faults(st, err);
	}
	if (err->code != ERR_OK) {
		bench_setup_free(st, &cpu_us);
		return NULL;
	}
	return st;
}

void bench_setup_free(struct bench_setup *st, int64_t *host_cpu_us)
{
	uint32_t i;

	for (i = 0; i < st->host_count; i++)
		*host_cpu_us += proc_stop(st->hosts[i]);
	proc_stop(st->store);
	proc_stop(st->targets);
	if (st->layout)
		layout_free(st->layout);
	free(st);
}

static void on_fault_reply(void *ctx, uint32_t status, const char *body,
			   size_t body_bytes, int64_t now_us)
{
	if (status != 200)
		fprintf(stderr,
			"bench: the target stand-ins refused a fault: HTTP "
			"status %u\n",
			status);
}

/*
 * Ends the targets of data centre a or makes them cold, or makes the open
 * connections of all targets silent. Data centre a has one replica of each
 * shard.
 */
void bench_setup_event(struct bench_setup *st, enum bench_event event)
{
	g_autofree char *body = NULL;

	switch (event) {
	case EVENT_KILL:
		body = g_strdup("{\"fault\":\"kill\",\"data_centre\":\"a\"}");
		break;
	case EVENT_COLD:
		body = g_strdup_printf("{\"fault\":\"cold\",\"data_centre\":"
				       "\"a\","
				       "\"slots\":1,\"factor\":%d,\"requests\":"
				       "%d}",
				       COLD_FACTOR, COLD_REQUESTS);
		break;
	case EVENT_SILENT:
		body = g_strdup("{\"fault\":\"silent\"}");
		break;
	default:
		return;
	}
	http_client_send(st->client, st->target_control_port, "POST",
			 "/control", body, on_fault_reply, NULL);
}

/* Value of the counter cowslippoint_@name in the metrics @text, or 0. */
static uint64_t metric_value(const char *text, const char *name)
{
	g_autofree char *line = g_strdup_printf("\ncowslippoint_%s ", name);
	const char *at = text ? strstr(text, line) : NULL;

	return at ? strtoull(at + strlen(line), NULL, 10) : 0;
}

void bench_setup_host_counts(struct bench_setup *st, struct host_counts *out)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < st->host_count && st->admin_ports[i]; i++) {
		struct buf b CLEANUP_BUF = { 0 };

		http_client_wait(st->client, st->admin_ports[i], "GET",
				 "/metrics", NULL, BENCH_SETUP_CONTROL_WAIT_US,
				 &b);
#define DEF(field, metric) out->field += metric_value(b.data, metric);
		HOST_COUNTS(DEF)
#undef DEF
	}
}

enum err_code bench_setup_counts(struct bench_setup *st,
				 struct bench_setup_counts *out,
				 struct err *err)
{
	struct buf b CLEANUP_BUF = { 0 };
	json_t *all;
	json_t *one;
	json_t *targets;
	size_t i;

	memset(out, 0, sizeof(*out));
	http_client_wait(st->client, st->target_control_port, "GET",
			 "/control/stats", NULL, BENCH_SETUP_CONTROL_WAIT_US,
			 &b);
	all = json_loadb(b.data ? b.data : "", b.len_bytes, 0, NULL);
	targets = json_object_get(all, "targets");
	if (!targets)
		return err_set(err, ERR_IO,
			       "the target stand-ins sent no counters");
	json_array_foreach(targets, i, one)
	{
#define COUNT(name) ((uint64_t)json_integer_value(json_object_get(one, name)))
		out->received += COUNT("received");
		out->repeated += COUNT("once_repeated");
		out->cancelled += COUNT("cancelled");
		out->abandoned += COUNT("abandoned");
		out->cold_exceeded += COUNT("cold_peak") > 1;
		out->refused_connections += (uint32_t)COUNT("refused_"
							    "connections");
#undef COUNT
	}
	json_decref(all);
	return ERR_OK;
}

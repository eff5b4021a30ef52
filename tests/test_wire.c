/*
 * Scripted runs of the caller, request and target duties in this process
 * against stand-in targets. There are real sockets on both sides; the test
 * makes the view that the controllers would publish.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "client.h"
#include "duty/caller_duty.h"
#include "duty/messages.h"
#include "duty/request_duty.h"
#include "duty/target_duty.h"
#include "proc.h"
#include "script.h"

#define RING_CAPACITY 4096
#define START_TIMEOUT_MS 20000
#define CALL_TIMEOUT_MS 20000
/* Answer time that the contract allows. */
#define ANSWER_MS 2000
/* Twice as many as the successful answers after which a cold target is warm. */
#define WARM_SEARCHES 40
/* Callers of the command "burst", and searches of each. */
#define BURST_THREADS 8
#define BURST_SEARCHES 25

struct wire {
	struct proc targets;
	struct target_duty *target;
	struct request_duty *request;
	struct caller_duty *caller;
	/* Ring to the store duty, whose calls are never answered here. */
	struct ring *store;
};

static void *wire_new(void)
{
	return util_alloc(1, sizeof(struct wire));
}

static void wire_free(void *ctx)
{
	struct wire *w = ctx;

	if (w->request)
		request_duty_stop(w->request);
	if (w->caller)
		caller_duty_stop(w->caller);
	if (w->target)
		target_duty_stop(w->target);
	request_duty_free(w->request);
	caller_duty_free(w->caller);
	target_duty_free(w->target);
	ring_free(w->store);
	proc_stop(&w->targets);
	free(w);
}

static void start_targets(struct wire *w, const char *count)
{
	const char *argv[] = { "build/standin", "target", "--count",	count,
			       "--admin-port",	"0",	  "--slots",	"4",
			       "--service-us",	"1000",	  "--instance", "x",
			       "--port",	NULL,	  NULL };
	char port[8];
	uint32_t i;

	/* The ports of a range may be in use: tries up to 50 ranges. */
	for (i = 0; i < 50; i++) {
		snprintf(port, sizeof(port), "%u",
			 20000 + g_random_int_range(0, 400) * 100);
		argv[countof(argv) - 2] = port;
		if (proc_start(&w->targets, argv, NULL, START_TIMEOUT_MS) == 0)
			return;
	}
	g_error("cannot start stand-in targets");
}

/* A view of one contract and one layout, with the targets from @port on. */
static struct view *make_view(uint16_t port, uint32_t shards, uint32_t replicas,
			      uint32_t min_coverage_permille,
			      uint32_t connections,
			      uint32_t extra_load_permille)
{
	struct view *v = view_new();
	struct layout *l = layout_new(shards, shards * replicas);
	struct contract *c = util_alloc(1, sizeof(*c));
	uint32_t i;
	uint32_t j;

	v->config_rev = 1;
	v->contracts = c;
	v->contract_count = 1;
	v->layouts = util_alloc(1, sizeof(*v->layouts));
	v->layouts[0] = l;
	v->layout_count = 1;
	util_copy_str(c->customer, sizeof(c->customer), "acme");
	util_copy_str(c->indexes[0], sizeof(c->indexes[0]), "parts");
	util_copy_str(c->indexes[1], sizeof(c->indexes[1]), "absent");
	c->index_count = 2;
	c->answer_ms = ANSWER_MS;
	c->min_coverage_permille = min_coverage_permille;
	c->rate_per_s = 1000;
	c->target_share_permille = 1000;
	c->extra_load_permille = extra_load_permille;
	util_copy_str(l->index, sizeof(l->index), "parts");
	util_copy_str(l->snapshot, sizeof(l->snapshot), "s7");
	util_copy_str(l->service, sizeof(l->service), "parts");
	for (i = 0; i < l->target_count; i++) {
		struct target *t = &l->targets[i];

		snprintf(t->id, sizeof(t->id), "t%u", i + 1);
		util_copy_str(t->address, sizeof(t->address), "127.0.0.1");
		t->port = (uint16_t)(port + i);
		util_copy_str(t->data_centre, sizeof(t->data_centre), "a");
		util_copy_str(t->version, sizeof(t->version), "v1");
		t->slots = 4;
		t->connections = connections;
		t->cold_slots = 4;
	}
	for (i = 0; i < shards; i++) {
		snprintf(l->shards[i].name, NAME_BYTES, "p%u", i);
		l->shards[i].replica_count = replicas;
		for (j = 0; j < replicas; j++)
			l->shards[i].replicas[j] = i * replicas + j;
	}
	return v;
}

static void start_duties(struct wire *w)
{
	struct err err = { 0 };
	struct request_options options = { .self = "h1",
					   .rng_seed = 1,
					   .ring_capacity = RING_CAPACITY };
	struct caller_options caller = { .address = "127.0.0.1",
					 .open_max = 256 };

	w->store = ring_new(RING_CAPACITY, NULL, NULL, &err);
	w->request = request_duty_new(&options, &err);
	w->target = target_duty_new(RING_CAPACITY,
				    request_duty_ring(w->request), &err);
	caller.request = request_duty_ring(w->request);
	w->caller = caller_duty_new(&caller, &err);
	if (!w->request || !w->target || !w->caller)
		g_error("%s", err.detail);
	request_duty_options(w->request)->target = target_duty_ring(w->target);
	request_duty_options(w->request)->store = w->store;
	if (target_duty_start(w->target, &err) != ERR_OK ||
	    request_duty_start(w->request, &err) != ERR_OK ||
	    caller_duty_start(w->caller, &err) != ERR_OK)
		g_error("%s", err.detail);
}

/*
 * start [shards=N] [replicas=N] [coverage=PERMILLE] [connections=N]
 * [extra=PERMILLE]
 */
static void cmd_start(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct wire *w = ctx;
	uint32_t shards = (uint32_t)script_int(argc, argv, "shards", 2);
	uint32_t replicas = (uint32_t)script_int(argc, argv, "replicas", 1);
	g_autofree char *count = g_strdup_printf("%u", shards * replicas);
	struct msg m = { MSG_VIEW, NULL, NULL };

	start_targets(w, count);
	start_duties(w);
	m.body = make_view((uint16_t)proc_number(&w->targets, "ready"), shards,
			   replicas,
			   (uint32_t)script_int(argc, argv, "coverage", 0),
			   (uint32_t)script_int(argc, argv, "connections", 100),
			   (uint32_t)script_int(argc, argv, "extra", 50));
	g_assert_cmpint(ring_push(request_duty_ring(w->request), &m), ==,
			ERR_OK);
}

static void print_answer(const struct client_answer *a, struct buf *out)
{
	const json_t *missing = json_object_get(a->json, "shards_missing");
	const json_t *name;
	size_t i;

	buf_addf(out, "%u %s %s", a->status, client_text(a, "error"),
		 client_text(a, "outcome"));
	if (client_int(a, "code") == 0) {
		buf_addf(out, " %s %d/%d %s hits %zu missing",
			 client_text(a, "snapshot"),
			 (int)client_int(a, "shards_answered"),
			 (int)client_int(a, "shards_total"),
			 json_is_true(json_object_get(a->json, "complete"))
				 ? "complete"
				 : "partial",
			 json_array_size(json_object_get(a->json, "hits")));
		json_array_foreach(missing, i, name)
			buf_addf(out, " %s", json_string_value(name));
	}
	buf_addf(out, "\n");
}

static void call(struct wire *w, const char *method, const char *path,
		 const char *body, struct buf *out)
{
	struct client_answer a;

	client_call(&a, method, caller_duty_port(w->caller), path, body,
		    CALL_TIMEOUT_MS);
	print_answer(&a, out);
	client_clear(&a);
}

/*
 * call METHOD PATH [BODY]: one request to the caller port; prints the answer.
 */
static void cmd_call(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	call(ctx, argv[0], argv[1], argc > 2 ? argv[2] : NULL, out);
}

/* bytes N: posts a body of N bytes to /v1/search; prints the answer. */
static void cmd_bytes(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	size_t n = (size_t)g_ascii_strtoull(argv[0], NULL, 10);
	g_autofree char *body = g_strnfill(n, 'x');

	call(ctx, "POST", "/v1/search", body, out);
}

/* search [customer=C] [index=I] [query=Q]: a search; prints the answer. */
static void cmd_search(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_autofree char *body =
		g_strdup_printf("{\"customer\":\"%s\",\"index\":\"%s\","
				"\"query\":\"%s\","
				"\"limit\":50}",
				script_arg(argc, argv, "customer", "acme"),
				script_arg(argc, argv, "index", "parts"),
				script_arg(argc, argv, "query", "heron"));

	call(ctx, "POST", "/v1/search", body, out);
}

/* fault JSON: switches a fault of the stand-in targets on or off. */
static void cmd_fault(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct wire *w = ctx;
	struct client_answer a;

	client_call(&a, "POST", (uint16_t)proc_number(&w->targets, "admin"),
		    "/control", argv[0], CALL_TIMEOUT_MS);
	buf_addf(out, "%s\n", client_text(&a, "error"));
	client_clear(&a);
}

static gpointer burst_thread(gpointer data)
{
	uint32_t i;

	for (i = 0; i < BURST_SEARCHES; i++) {
		struct client_answer a;

		client_call(&a, "POST",
			    caller_duty_port(((struct wire *)data)->caller),
			    "/v1/search",
			    "{\"customer\":\"acme\",\"index\":\"parts\","
			    "\"query\":\"heron\"}",
			    CALL_TIMEOUT_MS);
		client_clear(&a);
	}
	return NULL;
}

/* burst: BURST_THREADS callers search at once; answers are not looked at. */
static void cmd_burst(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	GThread *threads[BURST_THREADS];
	uint32_t i;

	for (i = 0; i < BURST_THREADS; i++)
		threads[i] = g_thread_new("burst", burst_thread, ctx);
	for (i = 0; i < BURST_THREADS; i++)
		g_thread_join(threads[i]);
}

/*
 * peak share=N: prints whether a target ever had more than N connections at a
 * time, and whether a sub-request was cancelled.
 */
static void cmd_peak(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct wire *w = ctx;
	json_int_t peak = 0;
	json_int_t cancelled = 0;
	struct client_answer a;
	const json_t *target;
	size_t i;

	client_call(&a, "GET", (uint16_t)proc_number(&w->targets, "admin"),
		    "/control/stats", NULL, CALL_TIMEOUT_MS);
	json_array_foreach(json_object_get(a.json, "targets"), i, target)
	{
		json_int_t target_peak =
			json_integer_value(json_object_get(target, "peak_"
								   "connection"
								   "s"));

		peak = target_peak > peak ? target_peak : peak;
		cancelled += json_integer_value(json_object_get(target, "cancel"
									"led"));
	}
	client_clear(&a);
	buf_addf(out, "%s the share, %s\n",
		 peak <= script_int(argc, argv, "share", 0) ? "within"
							    : "above",
		 cancelled ? "some cancelled" : "none cancelled");
}

/*
 * warm: searches until no target is cold, so that no warm-up searches follow.
 */
static void cmd_warm(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf ignored CLEANUP_BUF = { 0 };
	uint32_t i;

	for (i = 0; i < WARM_SEARCHES; i++)
		cmd_search(ctx, 0, argv, &ignored);
}

static const struct script_command commands[] = {
	{ "start", cmd_start }, { "call", cmd_call },
	{ "bytes", cmd_bytes }, { "search", cmd_search },
	{ "fault", cmd_fault }, { "warm", cmd_warm },
	{ "burst", cmd_burst }, { "peak", cmd_peak },
};

static const struct script_area area = {
	.name = "wire",
	.ctx_new = wire_new,
	.ctx_free = wire_free,
	.command_count = countof(commands),
	.commands = commands,
};

int main(int argc, char **argv)
{
	return script_main(argc, argv, &area, 1);
}

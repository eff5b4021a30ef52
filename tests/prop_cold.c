/*
 * Many gateways that call one cold target. Guards against more calls to it in any
 * second than the users' pages allow for its rate, of all hosts together: also when
 * all of them learn at the same time that it is cold.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "gateway/gw.h"
#include "model/route.h"

#define MILLI 1000
#define HOSTS_MAX 100
#define COLD_MS 12000
/* Bound of the users' pages: calls in a second are rate x 1.5 + 5 at most. */
#define OVERRUN_MILLI 1500
#define SLACK 5
/* Each host gets a request this often. */
#define REQUEST_MS 20
/* Hosts learn of the cold target within this time of each other. */
#define VIEW_SPREAD_MS 300

struct host {
	struct gw *gw;
	struct timer_queue *timers;
	struct cold_run *run;
	/* Time at which it gets the view. */
	int64_t view_us;
	int has_view;
	uint64_t last_conn;
};

struct cold_run {
	uint32_t host_count;
	uint32_t rate_milli;
	struct host hosts[HOSTS_MAX];
	int64_t now_us;
	/* Times of the calls to the target, int64_t, rising. */
	GArray *calls;
	/* Calls that have to be answered: struct host and call ID. */
	GArray *open;
};

struct open_call {
	struct host *host;
	uint64_t call_id;
};

static void on_call(void *ctx, struct target_call *c)
{
	struct host *h = ctx;
	struct open_call open = { h, c->call_id };

	if (!c->is_cancel) {
		g_array_append_val(h->run->calls, h->run->now_us);
		g_array_append_val(h->run->open, open);
	}
	target_call_free(c);
}

static void on_forward(void *ctx, struct forward_call *c)
{
	forward_call_free(c);
}

static void on_answer(void *ctx, struct exchange_answer *a)
{
	exchange_answer_free(a);
}

static void on_reports(void *ctx, const struct rollout_report *r, uint32_t n)
{
}

static void on_health(void *ctx, const struct target_health_list *list)
{
}

static struct gw_view *make_view(const struct cold_run *run)
{
	struct gw_view *v = gw_view_new(1);
	struct route_config *c = route_config_new(1, 1);
	struct target_entry *t = &v->targets[0];
	struct err err = { 0 };
	uint32_t i;

	c->version = 1;
	c->services[0].name = util_strdup("s");
	c->services[0].target_connections_max = 1000;
	c->services[0].cold_rate_milli = run->rate_milli;
	c->routes[0].name = util_strdup("one");
	c->routes[0].host_name = util_strdup("h");
	c->routes[0].prefix = util_strdup("/");
	c->routes[0].is_idempotent = 1;
	c->routes[0].timeout_ms = 4000;
	c->routes[0].goal_ms = 500;
	c->routes[0].attempts_max = 2;
	c->routes[0].part_count = 1;
	c->routes[0].parts = util_alloc(1, sizeof(c->routes[0].parts[0]));
	c->routes[0].parts[0].weight = 1;
	g_assert_cmpint(route_config_finish(c, &err), ==, ERR_OK);
	v->config = c;
	util_copy_str(t->id, sizeof(t->id), "t1");
	util_copy_str(t->service, sizeof(t->service), "s");
	util_copy_str(t->address, sizeof(t->address), "127.0.0.1");
	util_copy_str(t->data_centre, sizeof(t->data_centre), "a");
	util_copy_str(t->version, sizeof(t->version), "v1");
	t->port = 80;
	t->slots = 4;
	t->started_ms = 1;
	t->warmup_left_ms = COLD_MS;
	v->host_count = run->host_count;
	v->entry_count = run->host_count;
	v->entries = util_alloc(run->host_count, sizeof(v->entries[0]));
	for (i = 0; i < run->host_count; i++)
		snprintf(v->entries[i].name, sizeof(v->entries[i].name), "h%u",
			 i);
	return v;
}

static void start_host(struct cold_run *run, uint32_t i, struct rng *rng)
{
	struct host *h = &run->hosts[i];
	struct gw_ops ops = { on_call,	  on_forward, on_answer,
			      on_reports, on_health,  h };
	struct gw_options o = { .data_centre = "a",
				.tuning = { .core_permille = 1000,
					    .extra_call_permille = 200,
					    .extra_call_slack = 56 },
				.seed = i };

	snprintf(o.host, sizeof(o.host), "h%u", i);
	h->run = run;
	h->timers = timer_queue_new();
	h->gw = gw_new(&ops, &o, h->timers);
	h->view_us = run->now_us +
		     (int64_t)rng_below(rng, VIEW_SPREAD_MS) * US_PER_MS;
}

static void request(struct host *h, int64_t now_us)
{
	struct exchange_request *r = util_alloc(1, sizeof(*r));

	r->conn_id = ++h->last_conn;
	r->message = http_message_new();
	util_copy_str(r->message->method, sizeof(r->message->method), "GET");
	r->message->uri = util_strdup("/x");
	util_copy_str(r->host_name, sizeof(r->host_name), "h");
	snprintf(r->id, sizeof(r->id), "r%llu", (unsigned long long)r->conn_id);
	r->received_us = now_us;
	gw_on_request(h->gw, r, now_us);
}

/* The target answers all calls at once. */
static void answer_open(struct cold_run *run)
{
	while (run->open->len) {
		struct open_call o = g_array_index(run->open, struct open_call,
						   run->open->len - 1);
		struct target_reply *r = util_alloc(1, sizeof(*r));

		g_array_set_size(run->open, run->open->len - 1);
		r->call_id = o.call_id;
		r->status = 200;
		util_copy_str(r->stamp, sizeof(r->stamp), "s");
		r->warmup_left_ms = -1;
		r->service_us = US_PER_MS;
		gw_on_reply(o.host->gw, r, run->now_us);
	}
}

static void step(struct cold_run *run, uint64_t step_no)
{
	uint32_t i;

	for (i = 0; i < run->host_count; i++) {
		struct host *h = &run->hosts[i];

		if (!h->has_view && run->now_us >= h->view_us) {
			gw_set_view(h->gw, make_view(run), run->now_us);
			h->has_view = 1;
		}
		timer_queue_run(h->timers, run->now_us);
		if (h->has_view && (step_no + i) % REQUEST_MS == 0)
			request(h, run->now_us);
	}
	answer_open(run);
}

/* Most calls in any second while the target is cold. */
static uint32_t most_in_a_second(const struct cold_run *run, int64_t until_us)
{
	uint32_t most = 0;
	uint32_t first = 0;
	uint32_t i;

	for (i = 0; i < run->calls->len; i++) {
		int64_t at_us = g_array_index(run->calls, int64_t, i);

		if (at_us >= until_us)
			break;
		while (g_array_index(run->calls, int64_t, first) <=
		       at_us - US_PER_S)
			first++;
		most = util_max_u32(most, i - first + 1);
	}
	return most;
}

static void play(uint32_t hosts, uint32_t rate_milli, uint64_t seed)
{
	struct cold_run *run = util_alloc(1, sizeof(*run));
	struct rng rng = { .state = seed };
	int64_t from_us = 10 * (int64_t)US_PER_S;
	int64_t until_us = from_us + (int64_t)COLD_MS * US_PER_MS;
	uint32_t bound =
		rate_milli * (OVERRUN_MILLI / 100) / 10 / MILLI + SLACK;
	uint64_t step_no = 0;
	uint32_t most;
	uint32_t i;

	run->host_count = hosts;
	run->rate_milli = rate_milli;
	run->now_us = from_us;
	run->calls = g_array_new(FALSE, FALSE, sizeof(int64_t));
	run->open = g_array_new(FALSE, FALSE, sizeof(struct open_call));
	for (i = 0; i < hosts; i++)
		start_host(run, i, &rng);
	for (; run->now_us < until_us; run->now_us += US_PER_MS)
		step(run, step_no++);
	most = most_in_a_second(run, until_us);
	g_test_message("%u hosts, %u/1000 a second: %u calls, %u in a second, "
		       "bound %u",
		       hosts, rate_milli, run->calls->len, most, bound);
	g_assert_cmpuint(most, <=, bound);
	/* The rate is used, not only kept: half of it at least. */
	g_assert_cmpuint(2 * run->calls->len + 2, >=,
			 (uint64_t)rate_milli * (COLD_MS - 2000) / 1000000);
	for (i = 0; i < hosts; i++) {
		gw_free(run->hosts[i].gw);
		timer_queue_free(run->hosts[i].timers);
	}
	g_array_free(run->calls, TRUE);
	g_array_free(run->open, TRUE);
	free(run);
}

static void test_rate(void)
{
	static const uint32_t hosts[] = { 1, 3, 8, 30, 75, 100 };
	static const uint32_t rates_milli[] = { 100,   500,   1000, 4000,
						10000, 20000, 50000 };
	uint32_t i;
	uint32_t k;

	for (i = 0; i < countof(hosts); i++) {
		for (k = 0; k < countof(rates_milli); k++)
			play(hosts[i], rates_milli[k], i * 100 + k);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/cold/rate", test_rate);
	return g_test_run();
}

/*
 * Scripted runs of the gateway's request path, of discovery and of merging
 * (area gw), and of the settings file (area gwsettings). The gateway runs in
 * virtual time; the script is its callers, its targets and its controllers.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "codec/gw_settings.h"
#include "controller/discovery.h"
#include "decide/topk.h"
#include "decide/extra_window.h"
#include "gateway/gw.h"
#include "script.h"

#define SEED 7
#define ROUTES_MAX 16
#define PARTS_MAX 16
#define TARGETS_MAX 64
#define HOSTS_MAX 16

struct fixture {
	struct timer_queue *timers;
	int64_t now_us;
	struct gw *gw;
	struct discovery *discovery;
	/* The gateway's last report on the health of targets. */
	struct target_health_list health;
	/* 1 when these reports are printed. */
	int shows_health;
	/*
	 * Share of a new version in the next view; none if its service is "".
	 */
	struct gw_version_share share;
	/* Data centre that is out of service, or empty. */
	char evacuated[NAME_BYTES];
	/* Output of the current command; NULL while the gateway is freed. */
	struct buf *out;
	/*
	 * Configuration of the next view: the words of the "route" and
	 * "service" commands, each joined by blanks.
	 */
	uint64_t version;
	uint32_t hosts;
	uint32_t route_count;
	char *routes[ROUTES_MAX];
	uint32_t service_count;
	char *services[ROUTES_MAX];
	/* Entries of the hosts in the next view. */
	uint32_t entry_count;
	struct host_entry entries[HOSTS_MAX];
};

static void on_call(void *ctx, struct target_call *c)
{
	struct fixture *f = ctx;

	if (c->is_cancel)
		buf_addf(f->out, "cancel %u\n", (uint32_t)c->call_id);
	else
		buf_addf(f->out, "call %u to %s request %s wait %u ms%s\n",
			 (uint32_t)c->call_id, c->target_id, c->request_id,
			 c->timeout_ms, c->at_most_once ? " once" : "");
	target_call_free(c);
}

static void on_forward(void *ctx, struct forward_call *c)
{
	struct fixture *f = ctx;

	if (f->out && c->is_cancel)
		buf_addf(f->out, "cancel forward %u\n", (uint32_t)c->call_id);
	else if (f->out)
		buf_addf(f->out,
			 "forward %u to %s request %s limit %u ms goal %u ms "
			 "version %u\n",
			 (uint32_t)c->call_id, c->address, c->request->id,
			 c->request->caller_timeout_ms, c->request->goal_ms,
			 (uint32_t)c->request->config_version_min);
	forward_call_free(c);
}

/* Prints the first byte of each record, see add_records(). */
static void show_records(struct buf *out, const struct buf *body)
{
	size_t i;

	for (i = 0; i + TOPK_RECORD_BYTES <= body->len_bytes;
	     i += TOPK_RECORD_BYTES)
		buf_add(out, body->data + i, 1);
}

static void on_answer(void *ctx, struct exchange_answer *answer)
{
	struct fixture *f = ctx;

	buf_addf(f->out, "answer %u status %u", (uint32_t)answer->conn_id,
		 answer->status);
	if (answer->code != ERR_OK)
		buf_addf(f->out, " %s", err_name(answer->code));
	if (answer->retry_after_ms)
		buf_addf(f->out, " retry after %u ms", answer->retry_after_ms);
	if (answer->is_merged) {
		buf_addf(f->out, " stamps %s missing %u records ",
			 answer->part_stamps.data, answer->missing_part_count);
		show_records(f->out, &answer->body);
	} else if (answer->body.len_bytes) {
		buf_addf(f->out, " body %s", answer->body.data);
	}
	buf_addf(f->out, "\n");
	exchange_answer_free(answer);
}

static void on_rollout_reports(void *ctx, const struct rollout_report *reports,
			       uint32_t count)
{
	struct fixture *f = ctx;
	uint32_t i;

	for (i = 0; f->out && i < count; i++)
		buf_addf(f->out,
			 "evidence %s version %s requests %u failures %u slow "
			 "%u\n",
			 reports[i].service, reports[i].version,
			 reports[i].requests, reports[i].failures,
			 reports[i].slow);
}

static void on_health_report(void *ctx, const struct target_health_list *list)
{
	struct fixture *f = ctx;
	uint32_t i;

	f->health = *list;
	for (i = 0; f->out && f->shows_health && i < list->count; i++)
		buf_addf(f->out, "report calls %u failed %u permille slow %u\n",
			 list->entries[i].calls,
			 list->entries[i].failed_permille,
			 list->entries[i].slowness_milli);
}

static void on_changed(void *ctx, int64_t now_us)
{
	struct fixture *f = ctx;

	if (f->out)
		buf_addf(f->out, "targets changed\n");
}

static struct gw *fixture_gw(struct fixture *f, int64_t started_us)
{
	struct gw_ops ops = { on_call,		on_forward,
			      on_answer,	on_rollout_reports,
			      on_health_report, f };
	struct gw_options options = { .host = "h1",
				      .data_centre = "a",
				      .started_us = started_us,
				      .tuning = { .core_permille = 1000,
						  .extra_call_permille = 200,
						  .extra_call_slack = 56 },
				      .seed = SEED };

	return gw_new(&ops, &options, f->timers);
}

static void *fixture_new(void)
{
	struct fixture *f = util_alloc(1, sizeof(*f));
	f->timers = timer_queue_new();
	f->now_us = US_PER_S;
	f->hosts = 1;
	f->gw = fixture_gw(f, -EXTRA_WINDOW_US);
	f->discovery = discovery_new(f->timers, on_changed, f);
	return f;
}

static void clear_config(struct fixture *f)
{
	while (f->route_count > 0)
		free(f->routes[--f->route_count]);
	while (f->service_count > 0)
		free(f->services[--f->service_count]);
}

static void fixture_free(void *ctx)
{
	struct fixture *f = ctx;

	f->out = NULL;
	gw_free(f->gw);
	discovery_free(f->discovery);
	timer_queue_free(f->timers);
	clear_config(f);
	free(f);
}

static char *join(uint32_t argc, char **argv)
{
	struct buf text = { 0 };
	uint32_t i;

	for (i = 0; i < argc; i++)
		buf_addf(&text, "%s%s", i ? " " : "", argv[i]);
	return text.data;
}

/* restart: a new gateway, as after a restart of the host's process. */
static void cmd_restart(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	f->out = out;
	gw_free(f->gw);
	f->gw = fixture_gw(f, f->now_us);
}

/*
 * service NAME [connections=N] [cold=N] [cold_milli=N]: adds a service to the
 * next view. N calls a second, and thousandths of one, to a cold target.
 */
static void cmd_service(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	f->services[f->service_count++] = join(argc, argv);
}

/*
 * route NAME gather=A,B|service=A|split=A:1,B:3 [timeout=MS] [goal=MS]
 * [attempts=N] [top=N] [min=N] [once=1]: adds a route to the next view, for
 * the host name NAME and the path prefix /NAME/.
 */
static void cmd_route(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	f->routes[f->route_count++] = join(argc, argv);
}

/*
 * target ID SERVICE [dc=a] [born=MS] [draining=1] [version=V] [at=IP]
 * [cold=MS] [seq=N]: puts the entry of a target into discovery.
 */
static void cmd_target(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	struct target_entry entry = { .port = 80, .slots = 2 };

	f->out = out;
	util_copy_str(entry.id, sizeof(entry.id), argv[0]);
	util_copy_str(entry.service, sizeof(entry.service), argv[1]);
	util_copy_str(entry.address, sizeof(entry.address),
		      script_arg(argc, argv, "at", "127.0.0.1"));
	util_copy_str(entry.data_centre, sizeof(entry.data_centre),
		      script_arg(argc, argv, "dc", "a"));
	util_copy_str(entry.version, sizeof(entry.version),
		      script_arg(argc, argv, "version", "v1"));
	entry.started_ms = script_int(argc, argv, "born", 1);
	entry.write_no = script_u32(argc, argv, "seq", 0);
	entry.is_draining = script_u32(argc, argv, "draining", 0);
	entry.warmup_left_ms = script_u32(argc, argv, "cold", 0);
	discovery_put(f->discovery, &entry, f->now_us);
}

/* remove ID: the entry of a target is gone from the store. */
static void cmd_remove(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	f->out = out;
	discovery_remove(f->discovery, argv[0], f->now_us);
}

/*
 * list ID...: a listing of the store that has only the entries of these
 * targets, as store_mirror_apply() reports it: every other key is deleted, and
 * so is the order that takes a data centre out of service.
 */
static void cmd_list(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	struct target_entry all[TARGETS_MAX];
	uint32_t n = discovery_count(f->discovery);
	uint32_t i;
	uint32_t k;

	f->out = out;
	discovery_fill(f->discovery, all);
	if (f->evacuated[0])
		discovery_set_evacuated(f->discovery, f->evacuated, 0,
					f->now_us);
	for (i = 0; i < n; i++) {
		for (k = 0; k < argc && strcmp(all[i].id, argv[k]) != 0; k++)
			;
		if (k < argc)
			discovery_put(f->discovery, &all[i], f->now_us);
		else
			discovery_remove(f->discovery, all[i].id, f->now_us);
	}
}

/* evacuate DC [off]: operators take a data centre out of service or back in. */
static void cmd_evacuate(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	f->out = out;
	util_copy_str(f->evacuated, sizeof(f->evacuated),
		      argc < 2 ? argv[0] : "");
	discovery_set_evacuated(f->discovery, argv[0], argc < 2, f->now_us);
}

/* store_returns MS: it came back from a copy; for MS entries may be older. */
static void cmd_store_returns(void *ctx, uint32_t argc, char **argv,
			      struct buf *out)
{
	struct fixture *f = ctx;

	discovery_store_returns(f->discovery,
				f->now_us + atoll(argv[0]) * US_PER_MS);
}

/* store_regained: the store is in reach again. */
static void cmd_store_regained(void *ctx, uint32_t argc, char **argv,
			       struct buf *out)
{
	struct fixture *f = ctx;

	discovery_store_regained(f->discovery, f->now_us);
}

/* targets: prints the number of targets that may get new work. */
static void cmd_targets(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	buf_addf(out, "%u targets\n", discovery_count(f->discovery));
}

static void fill_service(struct service *s, const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, " ", -1);
	uint32_t n = g_strv_length(words);

	s->name = util_strdup(words[0]);
	s->target_connections_max = script_u32(n, words, "connections", 20);
	s->cold_rate_milli = script_u32(n, words, "cold", 0) * 1000 +
			     script_u32(n, words, "cold_milli", 0);
}

static void fill_parts(const struct route_config *config, struct route *r,
		       const char *list)
{
	g_auto(GStrv) names = g_strsplit(list, ",", -1);
	uint32_t i;

	r->part_count = g_strv_length(names);
	r->parts = util_alloc(r->part_count, sizeof(r->parts[0]));
	for (i = 0; i < r->part_count; i++) {
		g_auto(GStrv) name_weight = g_strsplit(names[i], ":", 2);

		r->parts[i].service =
			route_config_find_service(config, name_weight[0]);
		r->parts[i].weight = name_weight[1] ? atof(name_weight[1]) : 1;
	}
}

static void fill_route(const struct route_config *config, struct route *r,
		       const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, " ", -1);
	uint32_t n = g_strv_length(words);
	g_autofree char *prefix = g_strdup_printf("/%s/", words[0]);
	const char *gather = script_arg(n, words, "gather", NULL);
	const char *split = script_arg(n, words, "split", NULL);

	r->name = util_strdup(words[0]);
	r->host_name = util_strdup(words[0]);
	r->prefix = util_strdup(prefix);
	r->is_idempotent = !script_u32(n, words, "once", 0);
	r->timeout_ms = script_u32(n, words, "timeout", 1000);
	r->goal_ms = script_u32(n, words, "goal", 100);
	r->attempts_max = script_u32(n, words, "attempts", 2);
	r->is_gather = gather != NULL;
	r->top_k = script_u32(n, words, "top", 3);
	r->parts_min = script_u32(n, words, "min", 1);
	fill_parts(config, r,
		   gather  ? gather
		   : split ? split
			   : script_arg(n, words, "service", ""));
}

/*
 * split SERVICE VERSION PERMILLE [bad] [barred=VERSION]: the share of requests
 * that a new version gets in the next view, and a version that gets none.
 */
static void cmd_split(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	util_copy_str(f->share.service, sizeof(f->share.service), argv[0]);
	util_copy_str(f->share.version, sizeof(f->share.version), argv[1]);
	f->share.share_permille = (uint32_t)strtoul(argv[2], NULL, 10);
	f->share.is_bad = argc > 3 && strcmp(argv[3], "bad") == 0;
	f->share.barred.count = 0;
	if (script_arg(argc, argv, "barred", NULL))
		gw_barred_add(&f->share.barred,
			      script_arg(argc, argv, "barred", ""));
}

/*
 * view [version=N] [hosts=N]: publishes configuration, targets and shares; N
 * hosts divide the rates and connections among them.
 */
static void cmd_view(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	struct gw_view *v = gw_view_new(discovery_count(f->discovery));
	struct route_config *config =
		route_config_new(f->route_count, f->service_count);
	struct err err = { 0 };
	uint32_t i;

	f->out = out;
	config->version = script_u32(argc, argv, "version", 1);
	for (i = 0; i < f->service_count; i++)
		fill_service(&config->services[i], f->services[i]);
	for (i = 0; i < f->route_count; i++)
		fill_route(config, &config->routes[i], f->routes[i]);
	if (route_config_finish(config, &err) != ERR_OK) {
		buf_addf(out, "%s: %s\n", err_name(err.code), err.detail);
		route_config_unref(config);
		gw_view_unref(v);
		return;
	}
	v->config = config;
	v->host_count = script_u32(argc, argv, "hosts",
				   util_max_u32(f->entry_count, 1));
	v->entry_count = f->entry_count;
	v->entries = util_alloc(f->entry_count, sizeof(v->entries[0]));
	memcpy(v->entries, f->entries, f->entry_count * sizeof(v->entries[0]));
	discovery_fill(f->discovery, v->targets);
	if (f->share.service[0]) {
		v->shares = util_alloc(1, sizeof(v->shares[0]));
		v->shares[v->share_count++] = f->share;
	}
	gw_set_view(f->gw, v, f->now_us);
}

/* health: prints the gateway's reports on targets from here on. */
static void cmd_health(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	f->shows_health = 1;
}

/*
 * hint TARGET [failed=PERMILLE] [slow=MILLI]: what all hosts of the data
 * centre together have seen of the target.
 */
static void cmd_hint(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	struct target_health_list list = { .count = 1 };

	list.entries[0].key = target_health_key(argv[0], 1);
	list.entries[0].failed_permille = script_u32(argc, argv, "failed", 0);
	list.entries[0].slowness_milli = script_u32(argc, argv, "slow", 0);
	gw_on_target_health(f->gw, &list, f->now_us);
}

/* Adds a record for each of @letters; all its bytes are that letter. */
static void add_records(struct buf *body, const char *letters)
{
	for (; *letters; letters++) {
		char record[TOPK_RECORD_BYTES];

		memset(record, *letters, sizeof(record));
		buf_add(body, record, sizeof(record));
	}
}

/*
 * host NAME [dc=a] [core=PERMILLE] [link=MBPS]: the entry of a host in the next
 * view; its address is its name. This host is h1.
 */
static void cmd_host(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	struct host_entry *e = &f->entries[f->entry_count++];

	util_copy_str(e->name, sizeof(e->name), argv[0]);
	util_copy_str(e->address, sizeof(e->address), argv[0]);
	util_copy_str(e->data_centre, sizeof(e->data_centre),
		      script_arg(argc, argv, "dc", "a"));
	e->port = 1;
	e->core_permille = script_u32(argc, argv, "core", 120);
	e->link_mbps = script_u32(argc, argv, "link", 22);
}

/* hosts NAME...: only these hosts have entries in the views that follow. */
static void cmd_hosts(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	uint32_t n = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < f->entry_count; i++) {
		for (k = 0;
		     k < argc && strcmp(f->entries[i].name, argv[k]) != 0; k++)
			;
		if (k < argc)
			f->entries[n++] = f->entries[i];
	}
	f->entry_count = n;
}

/*
 * forwarded ID [status=N] [code=NAME] [records=LETTERS] [missing=N] |
 * forwarded ID failed [not_sent=1]: what came back from a gatherer.
 */
static void cmd_forwarded(void *ctx, uint32_t argc, char **argv,
			  struct buf *out)
{
	struct fixture *f = ctx;
	struct forward_reply *r = util_alloc(1, sizeof(*r));
	struct exchange_answer *a;

	f->out = out;
	r->call_id = strtoull(argv[0], NULL, 10);
	if (argc > 1 && strcmp(argv[1], "failed") == 0) {
		r->code = ERR_PEER_RPC;
		r->not_sent = script_u32(argc, argv, "not_sent", 0);
		gw_on_forward_reply(f->gw, r, f->now_us);
		return;
	}
	a = util_alloc(1, sizeof(*a));
	a->status = script_u32(argc, argv, "status", 200);
	a->code = a->status == 200   ? ERR_OK
		  : a->status == 503 ? ERR_OVERLOADED
				     : ERR_INCOMPLETE;
	a->is_merged = a->status == 200;
	a->missing_part_count = script_u32(argc, argv, "missing", 0);
	buf_addf(&a->part_stamps, "p1");
	add_records(&a->body, script_arg(argc, argv, "records", ""));
	r->answer = a;
	gw_on_forward_reply(f->gw, r, f->now_us);
}

/* leave [stop=MS]: a graceful shutdown begins, all requests end within MS. */
static void cmd_leave(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	f->out = out;
	gw_leave(f->gw,
		 f->now_us + script_int(argc, argv, "stop", 60000) * US_PER_MS,
		 f->now_us);
}

/*
 * tune [ratio=PERMILLE] [slack=N] [core=PERMILLE] [link=MBPS]: changes settings
 * of the running gateway.
 */
static void cmd_tune(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	struct gw_tuning tuning = {
		.extra_call_permille = script_u32(argc, argv, "ratio", 200),
		.extra_call_slack = script_u32(argc, argv, "slack", 56),
		.core_permille = script_u32(argc, argv, "core", 1000),
		.link_mbps = script_u32(argc, argv, "link", 0)
	};

	gw_tune(f->gw, &tuning);
}

/*
 * forget: the next view has only routes and services that are added after it.
 */
static void cmd_forget(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	clear_config(ctx);
}

/*
 * request CONN ROUTE [id=ID] [wait=MS] [forwarded=MS] [version=N]: a request of
 * the caller on connection CONN, which waits at most MS for the answer;
 * forwarded: of another host, with so much time until the goal.
 */
static void cmd_request(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	struct exchange_request *r = util_alloc(1, sizeof(*r));
	g_autofree char *target = g_strdup_printf("/%s/x", argv[1]);

	f->out = out;
	r->conn_id = strtoull(argv[0], NULL, 10);
	r->message = http_message_new();
	util_copy_str(r->message->method, sizeof(r->message->method), "GET");
	r->message->uri = util_strdup(target);
	util_copy_str(r->host_name, sizeof(r->host_name), argv[1]);
	util_copy_str(r->id, sizeof(r->id), script_arg(argc, argv, "id", "r"));
	r->caller_timeout_ms = script_u32(argc, argv, "wait", 0);
	r->received_us = f->now_us;
	r->goal_ms = script_u32(argc, argv, "forwarded", 0);
	r->is_forwarded = r->goal_ms > 0;
	r->config_version_min = script_u32(argc, argv, "version", 0);
	gw_on_request(f->gw, r, f->now_us);
}

static enum err_code code_of(const char *name)
{
	static const struct {
		const char *name;
		enum err_code code;
	} names[] = {
		{ "closed", ERR_TARGET_CLOSED },
		{ "connect", ERR_TARGET_CONNECT },
		{ "timeout", ERR_TARGET_TIMEOUT },
		{ "cancelled", ERR_CANCELLED },
	};
	uint32_t i;

	for (i = 0; i < countof(names); i++) {
		if (strcmp(names[i].name, name) == 0)
			return names[i].code;
	}
	return ERR_OK;
}

/*
 * reply CALL [status=N] [stamp=none] [records=LETTERS] [body=TEXT]
 * [not_run=1] [code=closed|connect|timeout|cancelled] [took=MS] [leaving=1]
 * [pause=MS] [warmup=MS]: what came back from the target of a call. LETTERS
 * gives one record for each letter.
 */
static void cmd_reply(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	struct target_reply *r = util_alloc(1, sizeof(*r));
	g_autofree char *stamp = g_strdup_printf("s%s", argv[0]);
	const char *body = script_arg(argc, argv, "body", "");

	f->out = out;
	r->call_id = strtoull(argv[0], NULL, 10);
	r->code = code_of(script_arg(argc, argv, "code", "ok"));
	r->not_run = script_u32(argc, argv, "not_run", 0);
	r->status = script_u32(argc, argv, "status", 200);
	r->is_leaving = script_u32(argc, argv, "leaving", 0);
	r->pause_ms = script_u32(argc, argv, "pause", 0);
	r->warmup_left_ms = (int32_t)script_int(argc, argv, "warmup", -1);
	r->service_us = script_int(argc, argv, "took", 10) * US_PER_MS;
	if (strcmp(script_arg(argc, argv, "stamp", ""), "none") != 0)
		util_copy_str(r->stamp, sizeof(r->stamp), stamp);
	add_records(&r->body, script_arg(argc, argv, "records", ""));
	buf_add(&r->body, body, strlen(body));
	gw_on_reply(f->gw, r, f->now_us);
}

/* tick MS: moves the clock and runs the timers. */
static void cmd_tick(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;
	int64_t until_us = f->now_us + atoll(argv[0]) * US_PER_MS;

	f->out = out;
	while (timer_queue_next_us(f->timers) >= 0 &&
	       timer_queue_next_us(f->timers) <= until_us) {
		f->now_us =
			util_max_i64(f->now_us, timer_queue_next_us(f->timers));
		timer_queue_run(f->timers, f->now_us);
	}
	f->now_us = until_us;
}

/* caller_gone CONN: the caller has closed connection CONN. */
static void cmd_caller_gone(void *ctx, uint32_t argc, char **argv,
			    struct buf *out)
{
	struct fixture *f = ctx;

	f->out = out;
	gw_caller_gone(f->gw, strtoull(argv[0], NULL, 10), f->now_us);
}

/* open: prints the number of requests in flight and the readiness. */
static void cmd_open(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct fixture *f = ctx;

	buf_addf(out, "%u open, %s\n", gw_open_count(f->gw),
		 gw_ready(f->gw) ? "ready" : "not ready");
}

static const struct script_command commands[] = {
	{ "restart", cmd_restart },
	{ "service", cmd_service },
	{ "route", cmd_route },
	{ "target", cmd_target },
	{ "remove", cmd_remove },
	{ "evacuate", cmd_evacuate },
	{ "list", cmd_list },
	{ "store_regained", cmd_store_regained },
	{ "store_returns", cmd_store_returns },
	{ "targets", cmd_targets },
	{ "view", cmd_view },
	{ "forget", cmd_forget },
	{ "request", cmd_request },
	{ "reply", cmd_reply },
	{ "tick", cmd_tick },
	{ "caller_gone", cmd_caller_gone },
	{ "open", cmd_open },
	{ "health", cmd_health },
	{ "hint", cmd_hint },
	{ "split", cmd_split },
	{ "tune", cmd_tune },
	{ "host", cmd_host },
	{ "hosts", cmd_hosts },
	{ "forwarded", cmd_forwarded },
	{ "leave", cmd_leave },
};

/* A valid settings file: its fields with values in JSON. */
static const struct {
	const char *field;
	const char *value;
} settings[] = {
	{ "host", "\"h1\"" },
	{ "data_centre", "\"a\"" },
	{ "caller_address", "\"127.0.0.1:8226\"" },
	{ "ready_address", "\"127.0.0.1:8227\"" },
	{ "store_address", "\"127.0.0.1:8229\"" },
	{ "store_reads_per_s", "2000" },
	{ "store_writes_per_s", "400" },
	{ "descriptors", "4100" },
	{ "core_share", "0.25" },
	{ "grace_s", "6" },
	{ "config_apply_ms", "3000" },
	{ "drain_ms", "3000" },
	{ "retry_ratio", "0.2" },
	{ "retry_slack", "56" },
};

static void *no_ctx(void)
{
	return NULL;
}

static void free_no_ctx(void *ctx)
{
}

/*
 * load [FIELD=JSON|-FIELD|+FIELD=JSON...|!TEXT]: loads the valid file with a
 * value changed, without a field, or with optional fields added; !TEXT is the
 * whole file.
 */
static void cmd_load(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_autofree char *path = g_strdup_printf("%s/settings-%d.json",
						g_get_tmp_dir(), (int)getpid());
	struct buf json CLEANUP_BUF = { 0 };
	struct gw_settings set;
	struct err err = { 0 };
	uint32_t i;

	buf_addf(&json, "{");
	for (i = 0; i < argc; i++) {
		if (argv[i][0] == '+')
			buf_addf(&json, "%s\"%.*s\":%s",
				 json.len_bytes > 1 ? "," : "",
				 (int)(strchr(argv[i], '=') - argv[i] - 1),
				 argv[i] + 1, strchr(argv[i], '=') + 1);
	}
	for (i = 0; i < countof(settings); i++) {
		const char *field = settings[i].field;

		if (argc && argv[0][0] == '-' && !strcmp(argv[0] + 1, field))
			continue;
		buf_addf(&json, "%s\"%s\":%s", json.len_bytes > 1 ? "," : "",
			 field,
			 script_arg(argc, argv, field, settings[i].value));
	}
	buf_addf(&json, "}");
	if (argc && argv[0][0] == '!')
		g_file_set_contents(path, argv[0] + 1, -1, NULL);
	else
		g_file_set_contents(path, json.data, -1, NULL);
	if (gw_settings_load(path, &set, &err) == ERR_OK && set.link_mbps)
		buf_addf(out, "link %u Mbit/s\n", set.link_mbps);
	else if (err.code == ERR_OK)
		buf_addf(out,
			 "host %s store %s:%u retry %u permille peer port %u "
			 "seeds %u exposure %u permille\n",
			 set.host, set.store_endpoint.address,
			 set.store_endpoint.port, set.retry_permille,
			 set.peer_endpoint.port, set.seed_count,
			 set.exposure_permille);
	else
		buf_addf(out, "%s: %s\n", err_name(err.code),
			 strchr(err.detail, '/') ? strchr(err.detail, ',')
						 : err.detail);
	unlink(path);
}

static const struct script_command settings_commands[] = {
	{ "load", cmd_load },
};

int main(int argc, char **argv)
{
	const struct script_area areas[] = {
		{ "gwsettings", no_ctx, free_no_ctx, countof(settings_commands),
		  settings_commands },
		{ "gw", fixture_new, fixture_free, countof(commands),
		  commands },
	};

	return script_main(argc, argv, areas, countof(areas));
}

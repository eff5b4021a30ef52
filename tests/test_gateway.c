/* Scripted runs of the gateway's request path, discovery and merging. */
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
#define SEARCHERS_MAX 64

struct bench {
	struct timer_queue *timers;
	int64_t now_us;
	struct gw *gw;
	struct discovery *dsc;
	/* The last report of targets; shown on demand. */
	struct target_health_list health;
	int shows_health;
	/* What a rollout rules; no service: nothing. */
	struct gw_version_share share;
	/* Data centre that is evacuated, or empty. */
	char evacuated[NAME_BYTES];
	struct buf *out;
	/* Configuration and targets of the next view. */
	uint64_t version;
	uint32_t hosts;
	uint32_t route_count;
	char *routes[ROUTES_MAX];
	uint32_t service_count;
	char *services[ROUTES_MAX];
};

static void on_call(void *ctx, struct target_call *c)
{
	struct bench *b = ctx;

	if (c->is_cancel)
		buf_addf(b->out, "cancel %u\n", (uint32_t)c->call_id);
	else
		buf_addf(b->out, "call %u to %s request %s wait %u ms%s\n",
			 (uint32_t)c->call_id, c->target_id, c->request_id,
			 c->timeout_ms, c->at_most_once ? " once" : "");
	target_call_free(c);
}

static void show_records(struct buf *out, const struct buf *body)
{
	size_t i;

	for (i = 0; i + TOPK_RECORD_BYTES <= body->len_bytes;
	     i += TOPK_RECORD_BYTES)
		buf_add(out, body->data + i, 1);
}

static void on_answer(void *ctx, struct exchange_answer *a)
{
	struct bench *b = ctx;

	buf_addf(b->out, "answer %u status %u", (uint32_t)a->conn_id,
		 a->status);
	if (a->error != ERR_OK)
		buf_addf(b->out, " %s", err_name(a->error));
	if (a->retry_after_ms)
		buf_addf(b->out, " retry after %u ms", a->retry_after_ms);
	if (a->is_merged) {
		buf_addf(b->out, " stamps %s missing %u records ",
			 a->part_stamps.data, a->missing_part_count);
		show_records(b->out, &a->body);
	} else if (a->body.len_bytes) {
		buf_addf(b->out, " body %s", a->body.data);
	}
	buf_addf(b->out, "\n");
	exchange_answer_free(a);
}

static void on_evidence(void *ctx, const struct rollout_report *e,
			uint32_t count)
{
	struct bench *b = ctx;
	uint32_t i;

	for (i = 0; b->out && i < count; i++)
		buf_addf(b->out,
			 "evidence %s version %s requests %u failures %u slow "
			 "%u\n",
			 e[i].service, e[i].version, e[i].requests,
			 e[i].failures, e[i].slow);
}

static void on_health(void *ctx, const struct target_health_list *l)
{
	struct bench *b = ctx;
	uint32_t i;

	b->health = *l;
	for (i = 0; b->out && b->shows_health && i < l->count; i++)
		buf_addf(b->out, "report calls %u failed %u permille slow %u\n",
			 l->entries[i].calls, l->entries[i].failed_permille,
			 l->entries[i].slowness_milli);
}

static void on_changed(void *ctx, int64_t now_us)
{
	struct bench *b = ctx;

	if (b->out)
		buf_addf(b->out, "targets changed\n");
}

static struct gw *bench_gw(struct bench *b, int64_t started_us)
{
	struct gw_ops ops = { on_call, on_answer, on_evidence, on_health, b };
	struct gw_options o = { .data_centre = "a",
				.started_us = started_us,
				.tuning = { .core_permille = 1000,
					    .retry_permille = 200,
					    .retry_slack = 56 },
				.seed = SEED };

	return gw_new(&ops, &o, b->timers);
}

static void *bench_new(void)
{
	struct bench *b = util_alloc(1, sizeof(*b));
	b->timers = timer_queue_new();
	b->now_us = US_PER_S;
	b->hosts = 1;
	b->gw = bench_gw(b, -EXTRA_WINDOW_US);
	b->dsc = discovery_new(b->timers, on_changed, b);
	return b;
}

static void forget(struct bench *b)
{
	while (b->route_count > 0)
		free(b->routes[--b->route_count]);
	while (b->service_count > 0)
		free(b->services[--b->service_count]);
}

static void bench_free(void *ctx)
{
	struct bench *b = ctx;

	b->out = NULL;
	gw_free(b->gw);
	discovery_free(b->dsc);
	timer_queue_free(b->timers);
	forget(b);
	free(b);
}

static char *join(uint32_t argc, char **argv)
{
	struct buf text = { 0 };
	uint32_t i;

	for (i = 0; i < argc; i++)
		buf_addf(&text, "%s%s", i ? " " : "", argv[i]);
	return text.data;
}

/* restart: another process of the same host, without its memory. */
static void cmd_restart(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	b->out = out;
	gw_free(b->gw);
	b->gw = bench_gw(b, b->now_us);
}

/* service NAME [connections=N] [cold=N] */
static void cmd_service(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	b->services[b->service_count++] = join(argc, argv);
}

/*
 * route NAME gather=A,B|service=A|split=A:1,B:3 [timeout=MS] [goal=MS]
 * [attempts=N] [top=N] [min=N] [once=1]: host is NAME, prefix is /NAME/.
 */
static void cmd_route(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	b->routes[b->route_count++] = join(argc, argv);
}

/* target ID SERVICE [dc=a] [born=MS] [draining=1] [version=V] [at=IP]: put into discovery. */
static void cmd_target(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;
	struct target_entry s = { .port = 80, .slots = 2 };

	b->out = out;
	util_copy_str(s.id, sizeof(s.id), argv[0]);
	util_copy_str(s.service, sizeof(s.service), argv[1]);
	util_copy_str(s.address, sizeof(s.address),
		      script_arg(argc, argv, "at", "127.0.0.1"));
	util_copy_str(s.data_centre, sizeof(s.data_centre),
		      script_arg(argc, argv, "dc", "a"));
	util_copy_str(s.version, sizeof(s.version),
		      script_arg(argc, argv, "version", "v1"));
	s.started_ms = script_int(argc, argv, "born", 1);
	s.is_draining = script_u32(argc, argv, "draining", 0);
	s.warmup_left_ms = script_u32(argc, argv, "cold", 0);
	discovery_put(b->dsc, &s, b->now_us);
}

static void cmd_remove(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	b->out = out;
	discovery_remove(b->dsc, argv[0], b->now_us);
}

/*
 * list ID...: a listing of the store that names only these targets, as
 * store_mirror_apply() reports it: every other key is gone.
 */
static void cmd_list(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;
	struct target_entry all[SEARCHERS_MAX];
	uint32_t n = discovery_count(b->dsc);
	uint32_t i;
	uint32_t k;

	b->out = out;
	discovery_fill(b->dsc, all);
	if (b->evacuated[0])
		discovery_set_evacuated(b->dsc, b->evacuated, 0, b->now_us);
	for (i = 0; i < n; i++) {
		for (k = 0; k < argc && strcmp(all[i].id, argv[k]) != 0; k++)
			;
		if (k < argc)
			discovery_put(b->dsc, &all[i], b->now_us);
		else
			discovery_remove(b->dsc, all[i].id, b->now_us);
	}
}

/* evacuate DC [off]: the operators take a data centre out or back in. */
static void cmd_evacuate(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	b->out = out;
	util_copy_str(b->evacuated, sizeof(b->evacuated),
		      argc < 2 ? argv[0] : "");
	discovery_set_evacuated(b->dsc, argv[0], argc < 2, b->now_us);
}

static void cmd_back(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	discovery_store_regained(b->dsc, b->now_us);
}

static void cmd_targets(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	buf_addf(out, "%u targets\n", discovery_count(b->dsc));
}

static void fill_service(struct service *s, const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, " ", -1);
	uint32_t n = g_strv_length(words);

	s->name = util_strdup(words[0]);
	s->target_connections_max = script_u32(n, words, "connections", 20);
	s->cold_requests_per_s = script_u32(n, words, "cold", 0);
}

static void fill_parts(const struct route_config *c, struct route *r,
		       const char *list)
{
	g_auto(GStrv) names = g_strsplit(list, ",", -1);
	uint32_t i;

	r->part_count = g_strv_length(names);
	r->parts = util_alloc(r->part_count, sizeof(r->parts[0]));
	for (i = 0; i < r->part_count; i++) {
		g_auto(GStrv) both = g_strsplit(names[i], ":", 2);

		r->parts[i].service = route_config_find_service(c, both[0]);
		r->parts[i].weight = both[1] ? atof(both[1]) : 1;
	}
}

static void fill_route(const struct route_config *c, struct route *r,
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
	fill_parts(c, r,
		   gather  ? gather
		   : split ? split
			   : script_arg(n, words, "service", ""));
}

/* split SERVICE VERSION SHARE [bad]: for the next view. */
static void cmd_split(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	util_copy_str(b->share.service, sizeof(b->share.service), argv[0]);
	util_copy_str(b->share.version, sizeof(b->share.version), argv[1]);
	b->share.share_permille = (uint32_t)strtoul(argv[2], NULL, 10);
	b->share.is_bad = argc > 3;
}

/* view [version=N] [hosts=N]: publishes configuration and targets. */
static void cmd_view(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;
	struct gw_view *v = gw_view_new(discovery_count(b->dsc));
	struct route_config *c =
		route_config_new(b->route_count, b->service_count);
	struct err err = { 0 };
	uint32_t i;

	b->out = out;
	c->version = script_u32(argc, argv, "version", 1);
	for (i = 0; i < b->service_count; i++)
		fill_service(&c->services[i], b->services[i]);
	for (i = 0; i < b->route_count; i++)
		fill_route(c, &c->routes[i], b->routes[i]);
	if (route_config_finish(c, &err) != ERR_OK) {
		buf_addf(out, "%s: %s\n", err_name(err.code), err.detail);
		route_config_unref(c);
		gw_view_unref(v);
		return;
	}
	v->config = c;
	v->host_count = script_u32(argc, argv, "hosts", 1);
	discovery_fill(b->dsc, v->targets);
	if (b->share.service[0])
		v->shares[v->share_count++] = b->share;
	gw_set_view(b->gw, v, b->now_us);
}

/* health: reports are shown from here on. */
static void cmd_health(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	b->shows_health = 1;
}

/* hint TARGET [failed=PERMILLE] [slow=MILLI]: all hosts have seen this. */
static void cmd_hint(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;
	struct target_health_list l = { .count = 1 };

	l.entries[0].key = target_health_key(argv[0], 1);
	l.entries[0].failed_permille = script_u32(argc, argv, "failed", 0);
	l.entries[0].slowness_milli = script_u32(argc, argv, "slow", 0);
	gw_on_target_health(b->gw, &l, b->now_us);
}

/* tune ratio=PERMILLE slack=N: changed settings take effect. */
static void cmd_tune(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;
	struct gw_tuning t = {
		.retry_permille = script_u32(argc, argv, "ratio", 200),
		.retry_slack = script_u32(argc, argv, "slack", 56),
		.core_permille = 1000
	};

	gw_tune(b->gw, &t);
}

/* forget: routes and services are defined anew. */
static void cmd_forget(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	forget(ctx);
}

/* request CONN ROUTE [id=ID] [wait=MS] */
static void cmd_request(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;
	struct exchange_request *r = util_alloc(1, sizeof(*r));
	g_autofree char *target = g_strdup_printf("/%s/x", argv[1]);

	b->out = out;
	r->conn_id = strtoull(argv[0], NULL, 10);
	r->message = http_message_new();
	util_copy_str(r->message->method, sizeof(r->message->method), "GET");
	r->message->uri = util_strdup(target);
	util_copy_str(r->host_name, sizeof(r->host_name), argv[1]);
	util_copy_str(r->id, sizeof(r->id), script_arg(argc, argv, "id", "r"));
	r->caller_timeout_ms = script_u32(argc, argv, "wait", 0);
	r->received_us = b->now_us;
	gw_on_request(b->gw, r, b->now_us);
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

static void add_records(struct buf *body, const char *letters)
{
	for (; *letters; letters++) {
		char record[TOPK_RECORD_BYTES];

		memset(record, *letters, sizeof(record));
		buf_add(body, record, sizeof(record));
	}
}

/*
 * reply CALL [status=N] [stamp=S|none] [records=LETTERS] [body=TEXT]
 * [not_run=1] [code=closed|connect|timeout|cancelled] [took=MS]
 */
static void cmd_reply(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;
	struct target_reply *r = util_alloc(1, sizeof(*r));
	g_autofree char *stamp = g_strdup_printf("s%s", argv[0]);
	const char *body = script_arg(argc, argv, "body", "");

	b->out = out;
	r->call_id = strtoull(argv[0], NULL, 10);
	r->code = code_of(script_arg(argc, argv, "code", "ok"));
	r->not_run = script_u32(argc, argv, "not_run", 0);
	r->status = script_u32(argc, argv, "status", 200);
	r->warmup_left_ms = -1;
	r->service_us = script_int(argc, argv, "took", 10) * US_PER_MS;
	if (strcmp(script_arg(argc, argv, "stamp", ""), "none") != 0)
		util_copy_str(r->stamp, sizeof(r->stamp), stamp);
	add_records(&r->body, script_arg(argc, argv, "records", ""));
	buf_add(&r->body, body, strlen(body));
	gw_on_reply(b->gw, r, b->now_us);
}

/* tick MS: moves the clock and runs the timers. */
static void cmd_tick(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;
	int64_t until_us = b->now_us + atoll(argv[0]) * US_PER_MS;

	b->out = out;
	while (timer_queue_next_us(b->timers) >= 0 &&
	       timer_queue_next_us(b->timers) <= until_us) {
		b->now_us =
			util_max_i64(b->now_us, timer_queue_next_us(b->timers));
		timer_queue_run(b->timers, b->now_us);
	}
	b->now_us = until_us;
}

static void cmd_gone(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	b->out = out;
	gw_caller_gone(b->gw, strtoull(argv[0], NULL, 10), b->now_us);
}

static void cmd_open(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct bench *b = ctx;

	buf_addf(out, "%u open, %s\n", gw_open_count(b->gw),
		 gw_ready(b->gw) ? "ready" : "not ready");
}

static const struct script_command commands[] = {
	{ "restart", cmd_restart }, { "service", cmd_service },
	{ "route", cmd_route },	    { "target", cmd_target },
	{ "remove", cmd_remove },   { "evacuate", cmd_evacuate },
	{ "list", cmd_list },	    { "back", cmd_back },
	{ "targets", cmd_targets }, { "view", cmd_view },
	{ "forget", cmd_forget },   { "request", cmd_request },
	{ "reply", cmd_reply },	    { "tick", cmd_tick },
	{ "gone", cmd_gone },	    { "open", cmd_open },
	{ "health", cmd_health },   { "hint", cmd_hint },
	{ "split", cmd_split },	    { "tune", cmd_tune },
};

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

/* load [FIELD=JSON|-FIELD|!TEXT]: the valid file with one change, or TEXT. */
static void cmd_load(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_autofree char *path = g_strdup_printf("%s/settings-%d.json",
						g_get_tmp_dir(), (int)getpid());
	struct buf json CLEANUP_BUF = { 0 };
	struct gw_settings set;
	struct err err = { 0 };
	uint32_t i;

	buf_addf(&json, "{");
	/* Fields that may be left out are given with a plus sign. */
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
	if (gw_settings_load(path, &set, &err) == ERR_OK)
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
		{ "gset", no_ctx, free_no_ctx, countof(settings_commands),
		  settings_commands },
		{ "gw", bench_new, bench_free, countof(commands), commands },
	};

	return script_main(argc, argv, areas, countof(areas));
}

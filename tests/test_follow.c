/*
 * Scripted runs, in virtual time, over this host's copy of the store's keys
 * (area mirror), the choice of the source that a host follows for changes of
 * the store (area tree), the gateway's control duty, which uses both (area
 * gwcontrol), and the health of targets as the root of a data centre adds it up
 * (area health).
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "duty/gw_control_internal.h"
#include "model/store_pos.h"
#include "script.h"

#define RING_SIZE 64

/* Reads a position: REV, or ERA.REV. */
static uint64_t read_pos(const char *text)
{
	const char *dot = strchr(text, '.');
	uint64_t first = strtoull(text, NULL, 10);

	return dot ? store_pos(first, strtoull(dot + 1, NULL, 10)) : first;
}

/* Prints a position in the same way. */
static void show_pos(struct buf *out, uint64_t pos)
{
	if (store_pos_era(pos))
		buf_addf(out, "%llu.", (unsigned long long)store_pos_era(pos));
	buf_addf(out, "%llu", (unsigned long long)store_pos_rev(pos));
}

/*
 * Adds the words KEY=VALUE@REV (written at revision REV) and -KEY@REV (deleted)
 * to @u; words without "@" are skipped.
 */
static void read_pairs(struct store_update *u, uint32_t argc, char **argv)
{
	uint32_t i;

	u->pairs = util_alloc(argc, sizeof(u->pairs[0]));
	for (i = 0; i < argc; i++) {
		struct kv_pair *p = &u->pairs[u->pair_count];
		struct buf word CLEANUP_BUF = { 0 };
		g_auto(GStrv) pair_rev = NULL;
		g_auto(GStrv) key_value = NULL;
		int is_deleted;

		script_text(i + 1, argv, i, &word);
		pair_rev = g_strsplit(word.data, "@", 2);
		key_value = g_strsplit(pair_rev[0], "=", 2);
		is_deleted = pair_rev[0][0] == '-';
		if (!pair_rev[1])
			continue;
		p->rev = read_pos(pair_rev[1]);
		util_copy_str(p->key, sizeof(p->key),
			      key_value[0] + is_deleted);
		if (!is_deleted) {
			p->value = util_strdup(key_value[1]);
			p->value_bytes = (uint32_t)strlen(key_value[1]);
		}
		u->pair_count++;
	}
}

static int by_key(const void *a, const void *b)
{
	return strcmp(((const struct kv_pair *)a)->key,
		      ((const struct kv_pair *)b)->key);
}

static void show_pair(void *out, const struct kv_pair *p)
{
	buf_addf(out, " %s%s", p->value ? "" : "-", p->key);
	if (p->value)
		buf_addf(out, "=%.*s", (int)p->value_bytes, p->value);
	buf_addf(out, "@");
	show_pos(out, p->rev);
}

/* Prints pairs in the order of their keys: the hash table has no order. */
static void show_update(struct buf *out, struct store_update *u)
{
	uint32_t i;

	buf_addf(out, "%s at ", u->is_full ? "all" : "changes");
	show_pos(out, u->rev);
	buf_addf(out, ":");
	qsort(u->pairs, u->pair_count, sizeof(u->pairs[0]), by_key);
	for (i = 0; i < u->pair_count; i++)
		show_pair(out, &u->pairs[i]);
	buf_addf(out, "\n");
}

static void *new_mirror(void)
{
	return store_mirror_new();
}

static void free_mirror(void *s)
{
	store_mirror_free(s);
}

/*
 * apply REV [full] PAIR@REV...: an update of the store; prints the keys that it
 * changed.
 */
static void cmd_apply(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct store_update *u = util_alloc(1, sizeof(*u));

	u->rev = read_pos(argv[0]);
	u->is_full = argc > 1 && strcmp(argv[1], "full") == 0;
	read_pairs(u, argc - 1, argv + 1);
	buf_addf(out, "new:");
	store_mirror_apply(ctx, u, show_pair, out);
	buf_addf(out, "\n");
	store_update_free(u);
}

/* since REV: prints what a host that knows revision REV lacks. */
static void cmd_since(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct store_update *u =
		store_mirror_changes_since(ctx, read_pos(argv[0]));

	show_update(out, u);
	store_update_free(u);
}

/* churn REV N: deletes the keys k0 to k(N-1), a revision each from REV on. */
static void cmd_churn(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	uint64_t rev = strtoull(argv[0], NULL, 10);
	uint32_t n = (uint32_t)strtoul(argv[1], NULL, 10);
	struct buf ignored CLEANUP_BUF = { 0 };
	uint32_t i;

	for (i = 0; i < n; i++, rev++) {
		struct kv_pair p = { .rev = rev };
		struct store_update u = { .rev = rev,
					  .pair_count = 1,
					  .pairs = &p };

		snprintf(p.key, sizeof(p.key), "k%u", i);
		store_mirror_apply(ctx, &u, show_pair, &ignored);
	}
}

/* drop: deletes what was missing when the store came back; prints it. */
static void cmd_drop(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	buf_addf(out, "%u missing:", store_mirror_missing_count(ctx));
	store_mirror_drop_missing(ctx, NULL, show_pair, out);
	buf_addf(out, "\n");
}

static const struct script_command mirror_commands[] = {
	{ "apply", cmd_apply },
	{ "since", cmd_since },
	{ "churn", cmd_churn },
	{ "drop", cmd_drop },
};

struct tree_ctx {
	struct host_tree *tree;
	int64_t now_us;
};

static void *new_tree(void)
{
	struct tree_ctx *c = util_alloc(1, sizeof(*c));
	struct host_entry self = { .name = "self",
				   .data_centre = "a",
				   .address = "127.0.0.9",
				   .port = 1 };

	c->tree = host_tree_new(&self);
	return c;
}

static void free_tree(void *ctx)
{
	struct tree_ctx *c = ctx;

	host_tree_free(c->tree);
	free(c);
}

/* host NAME [dc=a] [core=1000] [port=1]: the entry of a host was written. */
static void cmd_host(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct tree_ctx *c = ctx;
	struct host_entry h = { .address = "127.0.0.1" };

	util_copy_str(h.name, sizeof(h.name), argv[0]);
	util_copy_str(h.data_centre, sizeof(h.data_centre),
		      script_arg(argc, argv, "dc", "a"));
	h.core_permille = script_u32(argc, argv, "core", 1000);
	h.port = (uint16_t)script_u32(argc, argv, "port", 1);
	host_tree_put(c->tree, &h, c->now_us);
}

/*
 * hosts N: entries of h0 to h(N-1) of data centre a, each with a smaller part
 * of a core than the one before.
 */
static void cmd_hosts(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct tree_ctx *c = ctx;
	uint32_t n = (uint32_t)strtoul(argv[0], NULL, 10);
	uint32_t i;

	for (i = 0; i < n; i++) {
		struct host_entry h = { .data_centre = "a", .port = 1 };

		snprintf(h.name, sizeof(h.name), "h%u", i);
		h.core_permille = 1000 - i;
		host_tree_put(c->tree, &h, c->now_us);
	}
}

/* remove NAME: the entry of a host is gone. */
static void cmd_remove(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct tree_ctx *c = ctx;

	host_tree_remove(c->tree, argv[0]);
}

/* seed ADDRESS: a host of the settings, on port 1. */
static void cmd_seed(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct tree_ctx *c = ctx;

	host_tree_add_seed(c->tree, argv[0], 1);
}

/* choose: prints the host to follow now, or "store". */
static void cmd_choose(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct tree_ctx *c = ctx;
	const struct host_entry *h =
		host_tree_choose_source(c->tree, c->now_us);

	buf_addf(out, "%s\n", h ? h->name : "store");
}

/*
 * failed store|HOST [after=MS]: a call to the store or to the host, sent MS
 * before, has failed.
 */
static void cmd_failed(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct tree_ctx *c = ctx;

	if (strcmp(argv[0], "store") == 0)
		host_tree_store_failed(c->tree, c->now_us);
	else
		host_tree_peer_failed(c->tree, argv[0],
				      c->now_us - script_int(argc, argv,
							     "after", 0) *
							  US_PER_MS,
				      c->now_us);
}

/* wait MS: moves the clock. */
static void cmd_wait(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct tree_ctx *c = ctx;

	c->now_us += atoll(argv[0]) * US_PER_MS;
}

static const struct script_command tree_commands[] = {
	{ "host", cmd_host },	  { "hosts", cmd_hosts },
	{ "remove", cmd_remove }, { "seed", cmd_seed },
	{ "choose", cmd_choose }, { "failed", cmd_failed },
	{ "wait", cmd_wait },
};

/*
 * A control duty whose thread is not started. The script answers its calls to
 * the store and to its peers.
 */
struct gwcontrol_ctx {
	struct gw_control *control;
	/* Rings to the store duty, the relay duty and the request path. */
	struct ring *store;
	struct ring *relay;
	struct ring *views;
	int64_t now_us;
};

static void no_limits(void *ctx, const struct caller_limits *l)
{
}

static void no_hosts(void *ctx, uint32_t hosts)
{
}

static void *new_gwcontrol(void)
{
	struct gwcontrol_ctx *g = util_alloc(1, sizeof(*g));
	struct err err = { 0 };
	struct gw_control_options options = { .hosts_assumed = 4,
					      .apply_ms = 3000,
					      .limits_changed = no_limits,
					      .host_count_changed = no_hosts };

	g->now_us = US_PER_S;
	g->store = ring_new(RING_SIZE, NULL, NULL, &err);
	g->relay = ring_new(RING_SIZE, NULL, NULL, &err);
	g->views = ring_new(RING_SIZE, NULL, NULL, &err);
	util_copy_str(options.self.name, sizeof(options.self.name), "self");
	util_copy_str(options.self.data_centre,
		      sizeof(options.self.data_centre), "a");
	options.store = g->store;
	options.relay = g->relay;
	options.views = g->views;
	g->control = gw_control_new(&options, &err);
	gw_control_start_source(g->control, g->now_us);
	return g;
}

static void free_gwcontrol(void *ctx)
{
	struct gwcontrol_ctx *g = ctx;

	gw_control_free(g->control);
	ring_free(g->store);
	ring_free(g->relay);
	ring_free(g->views);
	free(g);
}

/* Prints and frees the calls to the store. */
static void show_store_calls(struct gwcontrol_ctx *g, struct buf *out)
{
	struct msg m;

	while (ring_take(g->store, &m, 1)) {
		struct kv_request *r = m.body;

		if (r->call.op == KV_WATCH)
			buf_addf(out, "%s after %llu wait %u ms\n",
				 r->call_id == STORE_CALL_READ ? "read"
							       : "watch",
				 (unsigned long long)r->call.rev,
				 r->call.ttl_ms);
		else
			buf_addf(out, "call %u of %s if %llu lease %llu\n",
				 r->call.op, r->call.key,
				 (unsigned long long)r->call.rev,
				 (unsigned long long)r->call.lease);
		kv_request_free(r);
	}
}

/* Prints and frees the calls to peers and the answers to followers. */
static void show_peer_calls(struct gwcontrol_ctx *g, struct buf *out)
{
	struct msg m;

	while (ring_take(g->relay, &m, 1)) {
		struct follow_request *f = m.body;
		struct follower_reply *r = m.body;

		if (m.type == MSG_FOLLOW_REQUEST) {
			buf_addf(out, "follow %s after ", f->host);
			show_pos(out, f->rev);
			buf_addf(out, " hold %u ms\n", f->hold_ms);
			follow_request_free(f);
			continue;
		}
		buf_addf(out, "answer %u%s, age %lld ms, ", (uint32_t)r->conn,
			 r->update->has_deletions ? "" : " without deletions",
			 (long long)(g->now_us - r->update->confirmed_us) /
				 US_PER_MS);
		show_update(out, r->update);
		follower_reply_free(r);
	}
}

static void show_calls(struct gwcontrol_ctx *g, struct buf *out)
{
	struct msg m;

	show_store_calls(g, out);
	show_peer_calls(g, out);
	while (ring_take(g->views, &m, 1)) {
		struct gw_view *v = m.body;

		buf_addf(out, "view of %u hosts, %u targets\n", v->host_count,
			 v->target_count);
		gw_view_unref(v);
	}
}

/* tick MS: moves the clock and runs the timers. */
static void cmd_tick(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct gwcontrol_ctx *g = ctx;
	struct timer_queue *t = duty_timers(g->control->duty);
	int64_t until_us = g->now_us + atoll(argv[0]) * US_PER_MS;

	while (timer_queue_next_us(t) >= 0 &&
	       timer_queue_next_us(t) <= until_us) {
		g->now_us = util_max_i64(g->now_us, timer_queue_next_us(t));
		timer_queue_run(t, g->now_us);
		show_calls(g, out);
	}
	g->now_us = until_us;
}

static void fill_result(struct kv_result *r, struct store_update *u,
			uint32_t argc, char **argv)
{
	r->era = script_u32(argc, argv, "era", 0);
	if (argc && strcmp(argv[0], "down") == 0) {
		err_set(&r->err, ERR_STORE_DOWN, "refused");
		return;
	}
	read_pairs(u, argc, argv);
	r->rev = script_u32(argc, argv, "rev", 0);
	r->is_full = script_u32(argc, argv, "full", 0);
	r->has_more = script_u32(argc, argv, "more", 0);
	r->pairs = u->pairs;
	r->pair_count = u->pair_count;
}

/*
 * watched down | watched rev=N [era=N] [full=1] [more=1] PAIR@REV...: the result
 * of the watch; more=1: the store may hold more changes.
 */
static void cmd_watched(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct gwcontrol_ctx *g = ctx;
	struct store_update *u = util_alloc(1, sizeof(*u));
	struct kv_result r = { 0 };

	fill_result(&r, u, argc, argv);
	gw_control_store_result(g->control, STORE_CALL_WATCH, "", &r,
				g->now_us);
	store_update_free(u);
	show_calls(g, out);
}

/* read down | read rev=N [era=N] [full=1] PAIR@REV...: the result of the read. */
static void cmd_read(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct gwcontrol_ctx *g = ctx;
	struct store_update *u = util_alloc(1, sizeof(*u));
	struct kv_result r = { 0 };

	fill_result(&r, u, argc, argv);
	gw_control_store_result(g->control, STORE_CALL_READ, "", &r, g->now_us);
	store_update_free(u);
	show_calls(g, out);
}

/*
 * followed HOST down [after=MS] | followed HOST rev=N age=MS [full=1]
 * [returned=MS] [older=1] PAIR@REV...: the result of the call to HOST, which was sent MS
 * before, and whose state was the store's MS ago; returned=MS: the store came
 * back into its reach MS ago; older=1: the host is of a build that does not
 * state whether it names all deletions.
 */
static void cmd_followed(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct gwcontrol_ctx *g = ctx;
	struct follow_result *f = util_alloc(1, sizeof(*f));

	util_copy_str(f->host, sizeof(f->host), argv[0]);
	f->sent_us = g->now_us - script_int(argc, argv, "after", 0) * US_PER_MS;
	if (strcmp(argv[1], "down") == 0) {
		err_set(&f->err, ERR_PEER_RPC, "no answer in time");
	} else {
		f->update = util_alloc(1, sizeof(*f->update));
		f->update->rev = read_pos(script_arg(argc, argv, "rev", "0"));
		f->update->is_full = script_u32(argc, argv, "full", 0);
		f->update->has_deletions = !script_u32(argc, argv, "older", 0);
		f->update->confirmed_us =
			g->now_us -
			script_int(argc, argv, "age", 0) * US_PER_MS;
		if (script_int(argc, argv, "returned", -1) >= 0)
			f->update->regained_us =
				g->now_us -
				script_int(argc, argv, "returned", 0) *
					US_PER_MS;
		read_pairs(f->update, argc, argv);
	}
	gw_control_follow_done(g->control, f, g->now_us);
	follow_result_free(f);
	show_calls(g, out);
}

/*
 * call CONN rev=N [hold=MS]: a call of a follower that knows revision N; this
 * host may hold it for MS.
 */
static void cmd_call(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct gwcontrol_ctx *g = ctx;
	struct follower_call *call = util_alloc(1, sizeof(*call));

	call->conn = strtoull(argv[0], NULL, 10);
	call->rev = read_pos(script_arg(argc, argv, "rev", "0"));
	call->has_no_era = script_u32(argc, argv, "no_era", 0);
	call->hold_ms = script_u32(argc, argv, "hold", 1000);
	call->received_us = g->now_us;
	gw_control_follower_call(g->control, call, g->now_us);
	show_calls(g, out);
}

/* lease N [era=N]: the store grants lease N, or the call fails: lease down. */
static void cmd_lease(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct gwcontrol_ctx *g = ctx;
	struct kv_result r = { .lease = strtoull(argv[0], NULL, 10),
			       .era = script_u32(argc, argv, "era", 0) };

	gw_control_store_result(g->control, STORE_CALL_LEASE, "", &r,
				g->now_us);
	show_calls(g, out);
}

/* renewed [era=N] [gone=1]: the result of the renewal of the lease. */
static void cmd_renewed(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct gwcontrol_ctx *g = ctx;
	struct kv_result r = { .era = script_u32(argc, argv, "era", 0) };

	if (script_u32(argc, argv, "gone", 0))
		err_set(&r.err, ERR_STORE_NOT_FOUND, "lease");
	gw_control_store_result(g->control, STORE_CALL_RENEW, "", &r,
				g->now_us);
	show_calls(g, out);
}

static const struct script_command gwcontrol_commands[] = {
	{ "tick", cmd_tick },	    { "watched", cmd_watched },
	{ "read", cmd_read },	    { "followed", cmd_followed },
	{ "call", cmd_call },	    { "lease", cmd_lease },
	{ "renewed", cmd_renewed },
};

static void *new_health(void)
{
	return health_totals_new();
}

static void free_health(void *t)
{
	health_totals_free(t);
}

/*
 * report KEY [calls=N] [failed=PERMILLE] [slow=MILLI]: what one host has seen
 * of the target KEY.
 */
static void cmd_report(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct target_health_list list = { .count = 1 };

	list.entries[0].key = strtoull(argv[0], NULL, 10);
	list.entries[0].calls = script_u32(argc, argv, "calls", 1);
	list.entries[0].failed_permille = script_u32(argc, argv, "failed", 0);
	list.entries[0].slowness_milli = script_u32(argc, argv, "slow", 1000);
	health_totals_add(ctx, &list);
}

/*
 * period [N]: ends N periods and prints what hosts are told after the last one.
 */
static void cmd_period(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct target_health_list lists[2];
	uint32_t n = argc ? (uint32_t)atoi(argv[0]) : 1;
	uint32_t count = 0;
	uint32_t i;

	while (n-- > 0)
		count = health_totals_end_period(ctx, lists, 2);
	for (i = 0; i < count && lists[i].count == 1; i++)
		buf_addf(out, "%llu failed %u permille slow %u\n",
			 (unsigned long long)lists[i].entries[0].key,
			 lists[i].entries[0].failed_permille,
			 lists[i].entries[0].slowness_milli);
	if (count && lists[0].count > 1)
		buf_addf(out, "%u lists, %u targets in the first\n", count,
			 lists[0].count);
	buf_addf(out, "%s\n",
		 health_totals_is_active(ctx) ? "active" : "not active");
}

/* flood N: reports N targets, half of whose calls fail. */
static void cmd_flood(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct target_health_list list = { .count = 1 };
	int i;

	for (i = 0; i < atoi(argv[0]); i++) {
		list.entries[0] = (struct target_health){ 100 + (uint64_t)i, 10,
							  500, 1000 };
		health_totals_add(ctx, &list);
	}
}

static const struct script_command health_commands[] = {
	{ "report", cmd_report },
	{ "period", cmd_period },
	{ "flood", cmd_flood },
};

/* Keeps log lines out of the output. */
static void drop_line(void *ctx, const char *line)
{
}

int main(int argc, char **argv)
{
	const struct script_area areas[] = {
		{ "mirror", new_mirror, free_mirror, countof(mirror_commands),
		  mirror_commands },
		{ "tree", new_tree, free_tree, countof(tree_commands),
		  tree_commands },
		{ "health", new_health, free_health, countof(health_commands),
		  health_commands },
		{ "gwcontrol", new_gwcontrol, free_gwcontrol,
		  countof(gwcontrol_commands), gwcontrol_commands },
	};

	log_init("test", drop_line, NULL);
	return script_main(argc, argv, areas, countof(areas));
}

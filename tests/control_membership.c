/*
 * Scripted runs over membership (membership) and over the limiter of store
 * calls (kvlimiter). Each script names the failure that it guards against.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "control_areas.h"
#include "controller/membership.h"
#include "decide/kv_limiter.h"

struct membership_ctx {
	struct membership *membership;
	int64_t now_us;
	/* Receivers of the heartbeats in the current round. */
	uint32_t receivers;
	/* Output of the script line that runs; the callbacks append to it. */
	struct buf *out;
	/* 1 while the callbacks print nothing. */
	uint32_t quiet;
};

static void *membership_ctx_new(void)
{
	return util_alloc(1, sizeof(struct membership_ctx));
}

static void membership_ctx_free(void *ctx)
{
	struct membership_ctx *c = ctx;

	membership_free(c->membership);
	free(c);
}

/* Sets the output of the line and, if it has ms=TIME, the time. */
static struct membership_ctx *begin_command(void *ctx, uint32_t argc,
					    char **argv, struct buf *out)
{
	struct membership_ctx *c = ctx;

	c->out = out;
	c->now_us =
		script_int(argc, argv, "ms", c->now_us / US_PER_MS) * US_PER_MS;
	return c;
}

static void on_changed(void *ctx, const struct member_info *m)
{
	struct membership_ctx *c = ctx;

	if (!c->quiet)
		buf_addf(c->out, "%s %s\n", m->host, host_state_name(m->state));
}

/* self HOST [dc=D]: creates the membership of this host. */
static void cmd_self(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);
	struct membership_ops ops = { on_changed, c };
	struct member_info self = { .port = 6000, .incarnation = 100 };

	util_copy_str(self.host, sizeof(self.host), argv[0]);
	util_copy_str(self.data_centre, sizeof(self.data_centre),
		      script_arg(argc, argv, "dc", "a"));
	util_copy_str(self.address, sizeof(self.address), "127.0.0.1");
	c->membership = membership_new(&self, &ops, 7, c->now_us);
}

/* heard HOST [dc=D] [inc=N] [seq=N] ...: a heartbeat of HOST arrives. */
static void cmd_heard(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	static const char *const results[] = { "ignored", "heard", "new" };
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);
	struct heartbeat h = { .state = HOST_LIVE };

	util_copy_str(h.host, sizeof(h.host), argv[0]);
	util_copy_str(h.data_centre, sizeof(h.data_centre),
		      script_arg(argc, argv, "dc", "a"));
	util_copy_str(h.address, sizeof(h.address), "127.0.0.1");
	h.port = (uint16_t)script_int(argc, argv, "port", 6001);
	h.incarnation = (uint64_t)script_int(argc, argv, "inc", 1);
	h.sequence = (uint64_t)script_int(argc, argv, "seq", 1);
	h.config_rev = (uint64_t)script_int(argc, argv, "rev", 0);
	h.evacuation_rev = (uint64_t)script_int(argc, argv, "out_rev", 0);
	if (script_int(argc, argv, "leaving", 0))
		h.state = HOST_LEAVING;
	buf_addf(
		out, "%s\n",
		results[membership_on_heartbeat(c->membership, c->now_us, &h)]);
}

/* list HOST:DATA_CENTRE:STATE...: a host list of these hosts arrives. */
static void cmd_list(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);
	struct listed_host hosts[SCRIPT_WORDS_MAX] = { 0 };
	struct host_list list = { .hosts = hosts };
	uint32_t i;

	for (i = 0; i < argc; i++) {
		struct listed_host *h = &hosts[list.count];
		char state[16] = "";

		if (sscanf(argv[i], "%64[^:=]:%64[^:]:%15s", h->id,
			   h->data_centre, state) != 3)
			continue;
		util_copy_str(h->address, sizeof(h->address), "127.0.0.1");
		h->port = (uint16_t)(7000 + i);
		h->is_entry_host = 1;
		h->is_leaving = strcmp(state, "leaving") == 0;
		list.count++;
	}
	membership_on_host_list(c->membership, c->now_us, &list);
}

/*
 * fleet n=N: a host list arrives with hosts f0, f1, ... in three data centres.
 */
static void cmd_fleet(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);
	struct host_list list = { 0 };
	uint32_t n = (uint32_t)script_int(argc, argv, "n", 0);
	uint32_t i;

	list.hosts = util_alloc(n, sizeof(*list.hosts));
	list.count = n;
	for (i = 0; i < n; i++) {
		struct listed_host *h = &list.hosts[i];

		snprintf(h->id, sizeof(h->id), "f%u", i);
		snprintf(h->data_centre, sizeof(h->data_centre), "%c",
			 (char)('a' + i % 3));
		util_copy_str(h->address, sizeof(h->address), "127.0.0.1");
		h->port = (uint16_t)(10000 + i);
		h->is_entry_host = 1;
	}
	c->quiet = 1;
	membership_on_host_list(c->membership, c->now_us, &list);
	c->quiet = 0;
	free(list.hosts);
}

/* run ms=TIME: ticks every 100 ms until TIME. */
static void cmd_run(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct membership_ctx *c = ctx;
	int64_t at_us = c->now_us;

	begin_command(ctx, argc, argv, out);
	while (at_us < c->now_us) {
		at_us += 100 * US_PER_MS;
		membership_tick(c->membership, at_us);
	}
}

/* resume ms=TIME: one tick at TIME, after a pause of this host. */
static void cmd_resume(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);

	membership_tick(c->membership, c->now_us);
}

static void cmd_seed(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);

	membership_add_seed(c->membership, "127.0.0.1",
			    (uint16_t)script_int(argc, argv, "port", 1));
}

static void print_receiver(void *ctx, const char *address, uint16_t port)
{
	struct membership_ctx *c = ctx;

	c->receivers++;
	if (!c->quiet)
		buf_addf(c->out, "to %s:%u\n", address, port);
}

/* receivers [rounds=N]: the most receivers of heartbeats in one of N rounds. */
static void cmd_receivers(void *ctx, uint32_t argc, char **argv,
			  struct buf *out)
{
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);
	uint32_t rounds = (uint32_t)script_int(argc, argv, "rounds", 1);
	uint32_t most = 0;
	uint32_t i;

	c->quiet = rounds > 1;
	for (i = 0; i < rounds; i++) {
		c->receivers = 0;
		membership_each_receiver(c->membership, print_receiver, c);
		most = util_max_u32(most, c->receivers);
	}
	c->quiet = 0;
	buf_addf(out, "at most %u\n", most);
}

static void print_member(void *ctx, const struct member_info *m)
{
	struct membership_ctx *c = ctx;

	buf_addf(c->out,
		 "%s %s %s incarnation %" PRIu64 " revision %" PRIu64
		 " out %" PRIu64 "%s\n",
		 m->host, m->data_centre, host_state_name(m->state),
		 m->incarnation, m->config_rev, m->evacuation_rev,
		 m->is_listed ? " listed" : "");
}

static void cmd_show(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);

	membership_each(c->membership, print_member, c);
	buf_addf(out, "active %u watches %d\n",
		 membership_active_count(c->membership),
		 membership_watches_store(c->membership));
}

static void cmd_leave(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct membership_ctx *c = begin_command(ctx, argc, argv, out);
	struct heartbeat h = { 0 };

	membership_leave(c->membership);
	membership_fill_heartbeat(c->membership, &h);
	buf_addf(out, "heartbeat %" PRIu64 " %s\n", h.sequence,
		 host_state_name(h.state));
}

/*
 * watchers n=N: for each data centre, how many of N hosts take themselves for a
 * watcher of the store.
 */
static void cmd_watchers(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	uint32_t n = (uint32_t)script_int(argc, argv, "n", 0);
	uint32_t watchers[3] = { 0 };
	uint32_t i;

	for (i = 0; i < n; i++) {
		struct membership_ctx c = { .out = out, .quiet = 1 };
		struct membership_ops ops = { on_changed, &c };
		struct member_info self = { .port = 6000 };
		char size[16];
		char *fleet[] = { size };

		snprintf(size, sizeof(size), "n=%u", n);
		snprintf(self.host, sizeof(self.host), "f%u", i);
		snprintf(self.data_centre, sizeof(self.data_centre), "%c",
			 (char)('a' + i % 3));
		c.membership = membership_new(&self, &ops, 1, 0);
		cmd_fleet(&c, 1, fleet, out);
		watchers[i % 3] +=
			(uint32_t)membership_watches_store(c.membership);
		membership_free(c.membership);
	}
	buf_addf(out, "a %u b %u c %u\n", watchers[0], watchers[1],
		 watchers[2]);
}

static const struct script_command membership_commands[] = {
	{ "self", cmd_self },	      { "heard", cmd_heard },
	{ "list", cmd_list },	      { "fleet", cmd_fleet },
	{ "run", cmd_run },	      { "resume", cmd_resume },
	{ "seed", cmd_seed },	      { "receivers", cmd_receivers },
	{ "show", cmd_show },	      { "leave", cmd_leave },
	{ "watchers", cmd_watchers },
};

const struct script_area membership_area = {
	.name = "membership",
	.ctx_new = membership_ctx_new,
	.ctx_free = membership_ctx_free,
	.command_count = countof(membership_commands),
	.commands = membership_commands,
};

static void *kv_limiter_ctx_new(void)
{
	return util_alloc(1, sizeof(struct kv_limiter));
}

static void cmd_limits(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct kv_limiter *limiter = ctx;

	kv_limiter_init(limiter, (uint32_t)script_int(argc, argv, "reads", 100),
			(uint32_t)script_int(argc, argv, "writes", 10), 1);
	kv_limiter_set_hosts(limiter,
			     (uint32_t)script_int(argc, argv, "hosts", 1));
}

/* enter n=N [write=1]: tries N calls and counts those that are let in. */
static void cmd_enter(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct kv_limiter *limiter = ctx;
	int64_t now_us = script_int(argc, argv, "ms", 0) * US_PER_MS;
	int64_t n = script_int(argc, argv, "n", 1);
	enum kv_op op = script_int(argc, argv, "write", 0) ? KV_CAS : KV_GET;
	uint32_t ok = 0;
	struct err err = { 0 };

	while (n--) {
		err_clear(&err);
		ok += kv_limiter_enter(limiter, now_us, op, &err) == ERR_OK;
	}
	buf_addf(out, "entered %u, last %s %s\n", ok, err_name(err.code),
		 err.detail);
}

/* result [down=1]: a call ended; prints when the next one is let in. */
static void cmd_result(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct kv_limiter *limiter = ctx;
	int64_t now_us = script_int(argc, argv, "ms", 0) * US_PER_MS;
	enum err_code code = script_int(argc, argv, "down", 0) ? ERR_STORE_DOWN
							       : ERR_OK;

	kv_limiter_result(limiter, now_us, code);
	buf_addf(out, "open in %" PRId64 " ms\n",
		 (kv_limiter_next_call_us(limiter, now_us) - now_us) /
			 US_PER_MS);
}

static const struct script_command kv_limiter_commands[] = {
	{ "limits", cmd_limits },
	{ "enter", cmd_enter },
	{ "result", cmd_result },
};

const struct script_area kv_limiter_area = {
	.name = "kvlimiter",
	.ctx_new = kv_limiter_ctx_new,
	.ctx_free = free,
	.command_count = countof(kv_limiter_commands),
	.commands = kv_limiter_commands,
};

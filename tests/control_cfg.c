/*
 * Scripted runs over the configuration controllers of several hosts in the
 * simulation of cfg_sim.h. Each script names the failure that it guards
 * against.
 */
#include <inttypes.h>
#include <string.h>

#include "cfg_sim.h"
#include "control_areas.h"

struct cfg_ctx {
	struct cfg_sim sim;
	/* 1 once the script has called "hosts". */
	uint32_t started;
};

static void *cfg_ctx_new(void)
{
	return util_alloc(1, sizeof(struct cfg_ctx));
}

static void cfg_ctx_free(void *ctx)
{
	struct cfg_ctx *c = ctx;

	if (c->started)
		cfg_sim_clear(&c->sim);
	free(c);
}

/* Sets the output buffer, which is another one for each line of the script. */
static struct cfg_sim *begin_command(void *ctx, struct buf *out)
{
	struct cfg_ctx *c = ctx;

	c->sim.out = out;
	return &c->sim;
}

static void cmd_hosts(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct cfg_ctx *c = ctx;

	cfg_sim_init(&c->sim, (uint32_t)script_int(argc, argv, "n", 3),
		     (uint64_t)script_int(argc, argv, "seed", 1), NULL, out);
	c->started = 1;
}

static void cmd_run(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct cfg_sim *s = begin_command(ctx, out);

	cfg_sim_run(s, s->now_us + script_int(argc, argv, "ms", 0) * US_PER_MS);
}

static void cmd_edit(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	cfg_sim_edit_if(begin_command(ctx, out),
			(uint32_t)script_int(argc, argv, "host", 0),
			script_arg(argc, argv, "name", "contract/a"),
			(uint32_t)script_int(argc, argv, "delete", 0),
			(uint64_t)script_int(argc, argv, "if", 0));
}

static void cmd_fault(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct cfg_sim_faults *f = &begin_command(ctx, out)->faults;

	f->down = (uint32_t)script_int(argc, argv, "down", f->down);
	f->lost_answer =
		(uint32_t)script_int(argc, argv, "lost_answer", f->lost_answer);
	f->lose_items =
		(uint32_t)script_int(argc, argv, "lose_items", f->lose_items);
	f->lose_heads =
		(uint32_t)script_int(argc, argv, "lose_heads", f->lose_heads);
	f->lost_call =
		(uint32_t)script_int(argc, argv, "lost_call", f->lost_call);
	f->late_write =
		(uint32_t)script_int(argc, argv, "late_write", f->late_write);
	f->stale_read =
		(uint32_t)script_int(argc, argv, "stale_read", f->stale_read);
	f->lost_watch =
		(uint32_t)script_int(argc, argv, "lost_watch", f->lost_watch);
}

static void cmd_host(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct cfg_sim *s = begin_command(ctx, out);
	uint32_t n = (uint32_t)script_int(argc, argv, "n", 0);
	struct cfg_sim_host *h = &s->hosts[n];

	h->group = (uint32_t)script_int(argc, argv, "group", h->group);
	h->cut_off = (uint32_t)script_int(argc, argv, "cut_off", h->cut_off);
	h->paused = (uint32_t)script_int(argc, argv, "paused", h->paused);
}

static void cmd_restart(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	cfg_sim_restart(begin_command(ctx, out),
			(uint32_t)script_int(argc, argv, "n", 0));
}

static void cmd_save(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	cfg_sim_save(begin_command(ctx, out));
}

static void cmd_restore(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	cfg_sim_restore(begin_command(ctx, out));
}

static void cmd_inject(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	cfg_sim_inject(begin_command(ctx, out),
		       script_arg(argc, argv, "name", "contract/a"),
		       script_arg(argc, argv, "json", "bad"),
		       (uint64_t)script_int(argc, argv, "change", 77),
		       (uint32_t)script_int(argc, argv, "lose", 0));
}

static void cmd_show(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct cfg_sim *s = begin_command(ctx, out);
	const char *name = script_arg(argc, argv, "name", "contract/a");
	uint32_t i;

	for (i = 0; i < s->host_count; i++) {
		const struct cfg_item *item =
			cfg_item_in_effect(s->hosts[i].cfg, name);

		buf_addf(out, "h%u revision %" PRIu64 " %s %s\n", i,
			 cfg_rev(s->hosts[i].cfg), name,
			 item ? item->json : "-");
	}
	buf_addf(out, "store revision %" PRIu64 "\n",
		 s->store.head ? s->store.head->rev : 0);
}

static void cmd_check(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct cfg_sim *s = begin_command(ctx, out);

	cfg_sim_check_converged(s);
	buf_addf(out, "%s\n", s->violation[0] ? s->violation : "converged");
}

static const struct script_command commands[] = {
	{ "hosts", cmd_hosts },	    { "run", cmd_run },
	{ "edit", cmd_edit },	    { "fault", cmd_fault },
	{ "host", cmd_host },	    { "restart", cmd_restart },
	{ "save", cmd_save },	    { "restore", cmd_restore },
	{ "inject", cmd_inject },   { "show", cmd_show },
	{ "converged", cmd_check },
};

const struct script_area cfg_area = {
	.name = "cfg",
	.ctx_new = cfg_ctx_new,
	.ctx_free = cfg_ctx_free,
	.command_count = countof(commands),
	.commands = commands,
};

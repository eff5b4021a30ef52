/*
 * Scripted runs over operators' calls (controladmin) and over the ctl commands
 * that make such calls (ctl). There is no network: the calls of ctl go to the
 * same fake control duty. Each script names the failure that it guards against.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "ctl/ctl.h"
#include "fake_control.h"
#include "script.h"

/* Document that the ctl commands of the scripts read. */
#define FILE_NAME "build/test-operator.json"

struct api_ctx {
	struct fake_control *control;
	/* Output of the script line that runs; ctl prints to it. */
	struct buf *out;
	/* 1 while ctl does not reach any host. */
	uint32_t unreachable;
	/* 1 while ctl's output is a terminal. */
	uint32_t terminal;
	/*
	 * Pauses of ctl before the one in which all hosts adopt the latest
	 * revision; negative: they never do.
	 */
	int64_t adopt_after;
	/* Value of COWSLIPPOINT_ADMIN, or NULL. */
	const char *admin_setting;
};

static void *api_new(void)
{
	struct api_ctx *c = util_alloc(1, sizeof(*c));

	c->control = fake_control_new();
	c->adopt_after = -1;
	return c;
}

static void api_free(void *ctx)
{
	struct api_ctx *c = ctx;

	fake_control_free(c->control);
	free(c);
}

static void show_log(struct api_ctx *c, struct buf *out)
{
	if (c->control->log.data)
		buf_add(out, c->control->log.data, c->control->log.len_bytes);
	buf_free(&c->control->log);
}

/* call METHOD PATH [BODY]: prints the status and body of the reply. */
static void cmd_call(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct api_ctx *c = ctx;
	struct buf json CLEANUP_BUF = { 0 };
	uint32_t status = fake_control_call(c->control, argv[0], argv[1],
					    argc > 2 ? argv[2] : NULL, &json);

	buf_addf(out, "%u %s\n", status, json.data);
	show_log(c, out);
}

static enum host_state state_arg(uint32_t argc, char **argv)
{
	const char *name = script_arg(argc, argv, "state", "live");
	uint32_t i;

	for (i = HOST_LIVE; i <= HOST_LEAVING; i++) {
		if (strcmp(host_state_name((enum host_state)i), name) == 0)
			return (enum host_state)i;
	}
	g_error("unknown host state %s", name);
}

static void cmd_member(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct api_ctx *c = ctx;

	fake_control_member(c->control, script_arg(argc, argv, "host", "h2"),
			    script_arg(argc, argv, "dc", "a"),
			    state_arg(argc, argv),
			    (uint64_t)script_int(argc, argv, "rev", 0));
}

/* put ITEM [JSON]: an edit that was made through another host arrives. */
static void cmd_put(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct api_ctx *c = ctx;

	fake_control_put(c->control, argv[0], argc > 1 ? argv[1] : NULL,
			 "bo@127.0.0.1");
}

/* edits result=CODE: the result of all further edits. */
static void cmd_edits(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	const char *name = script_arg(argc, argv, "result", "OK");
	struct api_ctx *c = ctx;
	struct err *err = &c->control->edit_result;

	err_clear(err);
	if (strcmp(name, "STORE_DOWN") == 0)
		err_set(err, ERR_STORE_DOWN, "store is not reachable");
	else if (strcmp(name, "CFG_RACE") == 0)
		err_set(err, ERR_CFG_RACE, "r9 of bo was accepted first");
	else
		g_assert_cmpstr(name, ==, "OK");
}

static void cmd_now(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct api_ctx *c = ctx;

	c->control->now_us = script_int(argc, argv, "ms", 0) * US_PER_MS;
}

/* answers customer=C [good=N] [late=N] [partial=N]: adds to C's counts. */
static void cmd_answers(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct api_ctx *c = ctx;
	struct customer_counts counts = { 0 };

	util_copy_str(counts.customer, NAME_BYTES,
		      script_arg(argc, argv, "customer", "c"));
	counts.good = (uint32_t)script_int(argc, argv, "good", 0);
	counts.late = (uint32_t)script_int(argc, argv, "late", 0);
	counts.partial = (uint32_t)script_int(argc, argv, "partial", 0);
	slo_add(c->control->slo, c->control->now_us, &counts);
}

/* bad [service=S] [version=V]: host h2 reports that V is bad. */
static void cmd_bad(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct api_ctx *c = ctx;
	struct rollout_report report = { .is_bad = 1 };

	util_copy_str(report.service, NAME_BYTES,
		      script_arg(argc, argv, "service", "s"));
	util_copy_str(report.version, NAME_BYTES,
		      script_arg(argc, argv, "version", "v2"));
	rollout_on_peer_report(c->control->rollout, c->control->now_us, "h2",
			       &report, 1);
}

static enum err_code ctl_call(void *ctx, const char *admin, const char *token,
			      const char *method, const char *path,
			      const char *body, uint32_t *http_status,
			      struct buf *out, struct err *err)
{
	struct api_ctx *c = ctx;

	if (c->unreachable || strcmp(admin, "127.0.0.1:1") == 0)
		return err_set(err, ERR_IO, "host %s is not reachable", admin);
	*http_status = fake_control_call(c->control, method, path, body, out);
	return ERR_OK;
}

static void ctl_print(void *ctx, enum ctl_stream to, const char *text)
{
	struct api_ctx *c = ctx;

	buf_addf(c->out, "%s%s", to == CTL_STDERR ? "! " : "", text);
}

static const char *ctl_setting(void *ctx, const char *name)
{
	struct api_ctx *c = ctx;

	return strcmp(name, "COWSLIPPOINT_ADMIN") == 0 ? c->admin_setting
						       : NULL;
}

static void ctl_pause(void *ctx, uint32_t ms)
{
	struct api_ctx *c = ctx;
	uint32_t i;

	c->control->now_us += (int64_t)ms * US_PER_MS;
	if (c->adopt_after-- != 0)
		return;
	for (i = 0; i < c->control->member_count; i++)
		c->control->members[i].config_rev = c->control->rev;
}

/* ctl WORDS...: runs one command and prints its output and exit status. */
static void cmd_ctl(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct api_ctx *c = ctx;
	struct ctl_io io = { .call = ctl_call,
			     .print = ctl_print,
			     .env_value = ctl_setting,
			     .sleep_ms = ctl_pause,
			     .is_terminal = c->terminal,
			     .ctx = c };
	char *words[SCRIPT_WORDS_MAX + 2] = { 0 };
	char name[] = "ctl";
	uint32_t i;

	words[0] = name;
	for (i = 0; i < argc; i++)
		words[i + 1] = argv[i];
	c->out = out;
	buf_addf(out, "exit %d\n", ctl_run(&io, (int)argc + 1, words));
	buf_free(&c->control->log);
}

/* file JSON: writes JSON to FILE_NAME. */
static void cmd_file(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_assert_true(g_file_set_contents(FILE_NAME, argv[0], -1, NULL));
}

static void cmd_print_file(void *ctx, uint32_t argc, char **argv,
			   struct buf *out)
{
	g_autofree char *text = NULL;

	g_assert_true(g_file_get_contents(argv[0], &text, NULL, NULL));
	buf_addf(out, "%s", text);
}

/* set [unreachable=0|1] [terminal=0|1] [adopt_after=N] [admin=ADDRESSES] */
static void cmd_set(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct api_ctx *c = ctx;
	const char *admin = script_arg(argc, argv, "admin", NULL);

	c->unreachable =
		(uint32_t)script_int(argc, argv, "unreachable", c->unreachable);
	c->terminal = (uint32_t)script_int(argc, argv, "terminal", c->terminal);
	c->adopt_after = script_int(argc, argv, "adopt_after", c->adopt_after);
	if (admin)
		c->admin_setting = g_intern_string(admin);
}

static const struct script_command commands[] = {
	{ "call", cmd_call },	     { "member", cmd_member },
	{ "put", cmd_put },	     { "edits", cmd_edits },
	{ "now", cmd_now },	     { "answers", cmd_answers },
	{ "bad", cmd_bad },	     { "ctl", cmd_ctl },
	{ "file", cmd_file },	     { "set", cmd_set },
	{ "print", cmd_print_file },
};

#define AREA(area)                                                        \
	{                                                                 \
		.name = #area, .ctx_new = api_new, .ctx_free = api_free,  \
		.command_count = countof(commands), .commands = commands, \
	}

static const struct script_area areas[] = { AREA(controladmin), AREA(ctl) };

int main(int argc, char **argv)
{
	return script_main(argc, argv, areas, countof(areas));
}

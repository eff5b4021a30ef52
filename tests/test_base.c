/*
 * Scripted runs over the ring, the timer queue and the options of "serve"; also
 * compares the result codes with the page that documents them.
 */
#include <apr_general.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/ring.h"
#include "base/timer_queue.h"
#include "duty/serve_options.h"
#include "script.h"

#define TIMERS_MAX 8

struct base_ctx {
	struct ring *ring;
	struct timer_queue *timers;
	struct timer_entry entries[TIMERS_MAX];
	/* Callback context of each entry; printed when it is due. */
	struct base_timer {
		struct base_ctx *ctx;
		uint32_t id;
	} base_timers[TIMERS_MAX];
	struct buf *out;
};

static void *base_new(void)
{
	struct base_ctx *c = util_alloc(1, sizeof(*c));

	c->timers = timer_queue_new();
	return c;
}

static void base_free(void *ctx)
{
	struct base_ctx *c = ctx;

	ring_free(c->ring);
	timer_queue_free(c->timers);
	free(c);
}

static void cmd_ring(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct base_ctx *c = ctx;
	struct err err = { 0 };

	c->ring = ring_new((uint32_t)script_int(argc, argv, "capacity", 1),
			   NULL, NULL, &err);
	buf_addf(out, "%s %s\n", err_name(err.code), err.detail);
}

static void cmd_push(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct base_ctx *c = ctx;
	struct msg m = { .type = (uint32_t)script_int(argc, argv, "type", 0) };

	buf_addf(out, "%s\n", err_name(ring_push(c->ring, &m)));
}

static void cmd_wait(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct base_ctx *c = ctx;
	struct msg m[4];
	uint32_t n = ring_wait(c->ring, m, countof(m),
			       script_int(argc, argv, "us", 0));
	uint32_t i;

	for (i = 0; i < n; i++)
		buf_addf(out, "type %u\n", m[i].type);
	buf_addf(out, "taken %u closed %d\n", n,
		 ring_closed_and_empty(c->ring));
}

static void cmd_close(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct base_ctx *c = ctx;

	ring_close(c->ring);
}

static void timer_due(void *ctx, int64_t now_us)
{
	struct base_timer *timer = ctx;

	buf_addf(timer->ctx->out, "timer %u at %" PRId64 "\n", timer->id,
		 now_us);
}

static void cmd_arm(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct base_ctx *c = ctx;
	uint32_t id = (uint32_t)script_int(argc, argv, "id", 0) % TIMERS_MAX;

	c->base_timers[id] = (struct base_timer){ c, id };
	timer_queue_arm(c->timers, &c->entries[id],
			script_int(argc, argv, "at", 0), timer_due,
			&c->base_timers[id]);
}

static void cmd_cancel(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct base_ctx *c = ctx;

	timer_queue_cancel(
		c->timers,
		&c->entries[script_int(argc, argv, "id", 0) % TIMERS_MAX]);
}

static void cmd_run(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct base_ctx *c = ctx;

	c->out = out;
	timer_queue_run(c->timers, script_int(argc, argv, "now", 0));
	buf_addf(out, "next %" PRId64 "\n", timer_queue_next_us(c->timers));
}

/*
 * env NAME [VALUE]: sets an environment variable for the following "settings",
 * or unsets it without a value.
 */
static void cmd_env(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	if (argc > 1)
		g_setenv(argv[0], argv[1], TRUE);
	else
		g_unsetenv(argv[0]);
}

/*
 * settings ARG...: parses a command line of "cowslippoint serve"; '' stands for
 * an empty argument.
 */
static void cmd_settings(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct opt_value values[SERVE_OPTION_COUNT] = { 0 };
	char *args[SCRIPT_WORDS_MAX + 2] = { "serve" };
	struct err err = { 0 };
	uint32_t i;

	for (i = 0; i < argc; i++)
		args[i + 1] = strcmp(argv[i], "''") == 0 ? "" : argv[i];
	switch (opt_parse(serve_option_defs, SERVE_OPTION_COUNT, (int)argc + 1,
			  args, values, &err)) {
	case OPT_HELP:
		buf_addf(out, "help\n");
		break;
	case OPT_INVALID:
		buf_addf(out, "%s %s\n", err_name(err.code), err.detail);
		break;
	case OPT_OK:
		buf_addf(out, "host %s caller-port %" PRId64 "\n",
			 values[SERVE_OPT_HOST].text,
			 values[SERVE_OPT_CALLER_PORT].number);
		break;
	}
}

static const struct script_command commands[] = {
	{ "ring", cmd_ring },	      { "push", cmd_push },
	{ "wait", cmd_wait },	      { "close", cmd_close },
	{ "arm", cmd_arm },	      { "cancel", cmd_cancel },
	{ "run", cmd_run },	      { "env", cmd_env },
	{ "settings", cmd_settings },
};

static const struct script_area area = {
	.name = "base",
	.ctx_new = base_new,
	.ctx_free = base_free,
	.command_count = countof(commands),
	.commands = commands,
};

struct errors_page {
	const char *page;
	/* Behind the row that was found last. */
	const char *at;
	/* Rows found. */
	uint32_t rows;
};

static void check_row(void *ctx, enum err_code code)
{
	struct errors_page *p = ctx;
	g_autofree char *row = g_strdup_printf("| %d | `%s` | %u | %s |",
					       (int)code, err_name(code),
					       err_http_status(code),
					       err_text(code));
	const char *found = strstr(p->at, row);

	if (!found)
		g_error("docs/ERRORS.md lacks, or has out of order: %s", row);
	p->at = found + strlen(row);
	p->rows++;
}

/*
 * Guards against a result code that was added, changed or removed without its
 * row in docs/ERRORS.md.
 */
static void test_errors_page(void)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	struct errors_page p = { 0 };
	uint32_t rows = 0;
	uint32_t i;

	g_assert_true(g_file_get_contents("docs/ERRORS.md", &text, NULL, NULL));
	p.page = p.at = text;
	err_each(check_row, &p);
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i]; i++) {
		if (lines[i][0] == '|' && g_ascii_isdigit(lines[i][2]))
			rows++;
	}
	g_assert_cmpuint(rows, ==, p.rows);
}

/* What the functions below add to the time of day and the boot time, in s. */
static time_t time_of_day_step_s;
static time_t suspended_s;

/*
 * Both stand for the functions of the C library, for other libraries as well,
 * as the clocks of a machine cannot be moved here.
 */
int clock_gettime(clockid_t id, struct timespec *ts)
{
	if (syscall(SYS_clock_gettime, id, ts) != 0)
		return -1;
	if (id == CLOCK_BOOTTIME)
		ts->tv_sec += suspended_s;
	return 0;
}

int gettimeofday(struct timeval *tv, void *tz)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec + time_of_day_step_s;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

/*
 * Guards against a duty whose timers are late by seconds because the time of day
 * has jumped back while it waits: a wait that was meant to end 60 s later by the
 * time of day still ends in time.
 */
static void test_clock_step(void)
{
	struct err err = { 0 };
	struct ring *r = ring_new(1, NULL, NULL, &err);
	int64_t from_us = clock_now_us();
	struct msg m;

	time_of_day_step_s = 60;
	g_assert_cmpuint(ring_wait(r, &m, 1, 20 * US_PER_MS), ==, 0);
	time_of_day_step_s = 0;
	g_assert_cmpint(clock_now_us() - from_us, >=, 20 * US_PER_MS);
	g_assert_cmpint(clock_now_us() - from_us, <, 30 * (int64_t)US_PER_S);
	ring_free(r);
}

/*
 * Guards against a clock that stands still while the machine is suspended: a
 * host would go on with state, leases and connections that have expired
 * meanwhile.
 */
static void test_clock_suspended(void)
{
	int64_t from_us = clock_now_us();

	suspended_s = 100;
	g_assert_cmpint(clock_now_us() - from_us, >=, 100 * (int64_t)US_PER_S);
	suspended_s = 0;
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	script_register(&area, SCRIPT_DIR);
	g_test_add_func("/docs/errors", test_errors_page);
	g_test_add_func("/ring/clock-step", test_clock_step);
	g_test_add_func("/clock/suspended", test_clock_suspended);
	return g_test_run();
}

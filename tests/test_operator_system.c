/*
 * Scripted runs over whole processes on loopback (area system): stand-ins for
 * the store and the targets, three hosts in three data centres, and the ctl
 * command as an operator runs it. Guards against faults that show only when all
 * parts run together; each script names the one that it is about.
 */
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "base/util.h"
#include "client.h"
#include "loopback.h"
#include "proc.h"
#include "script.h"

#define HOSTS 3
#define START_MS 20000
#define REQUEST_TIMEOUT_MS 10000
#define HOSTS_FILE "build/test-system-hosts.json"
#define DOCUMENT_FILE "build/test-system.json"
/* Longest wait for an output of ctl; after that the test fails. */
#define AWAIT_US (60 * (int64_t)US_PER_S)

struct system_ctx {
	struct proc store;
	struct proc targets;
	struct proc hosts[HOSTS];
	/* 1 until the script kills the host. */
	uint32_t running[HOSTS];
	uint16_t caller_ports[HOSTS];
	uint16_t admin_ports[HOSTS];
	/* First of the ports on which the hosts talk to each other. */
	uint16_t peer_port;
};

/*
 * Folder of this program, from which the host program is started; the stand-ins
 * are started from build/.
 */
static char *folder;

static void write_hosts_file(const struct system_ctx *c)
{
	GString *text = g_string_new("{\"hosts\":[");
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		g_string_append_printf(text,
				       "%s{\"id\":\"h%u\",\"address\":\"127.0."
				       "0.1\","
				       "\"port\":%u,\"data_centre\":\"%c\","
				       "\"role\":"
				       "\"entry\",\"state\":\"live\"}",
				       i ? "," : "", i + 1, c->peer_port + i,
				       'a' + i);
	g_string_append(text, "]}");
	g_assert_true(g_file_set_contents(HOSTS_FILE, text->str, -1, NULL));
	g_string_free(text, TRUE);
}

/* Starts the stand-ins for the store and the targets, which are outside. */
static void start_outside(struct system_ctx *c)
{
	const char *store[] = {
		"build/standin", "store",   "--port", "0", "--hosts",
		HOSTS_FILE,	 "--run-s", "300",    NULL
	};
	const char *targets[] = { "build/standin",
				  "target",
				  "--port",
				  "0",
				  "--count",
				  "3",
				  "--admin-port",
				  "0",
				  "--run-s",
				  "300",
				  "--service-us",
				  "500",
				  NULL };

	write_hosts_file(c);
	g_assert_cmpint(proc_start(&c->store, store, NULL, START_MS), ==, 0);
	g_assert_cmpint(proc_start(&c->targets, targets, NULL, START_MS), ==,
			0);
}

static void start_host(struct system_ctx *c, uint32_t i)
{
	g_autofree char *program = g_strdup_printf("%s/cowslippoint", folder);
	g_autofree char *host = g_strdup_printf("--host=h%u", i + 1);
	g_autofree char *dc = g_strdup_printf("--data-centre=%c", 'a' + i);
	g_autofree char *peer =
		g_strdup_printf("--peer-port=%u", c->peer_port + i);
	g_autofree char *store =
		g_strdup_printf("--store-port=%u", proc_number(&c->store, "read"
									  "y"));
	g_autofree char *log = g_strdup_printf("build/test-system-h%u.log", i);
	const char *argv[] = { program,
			       "serve",
			       host,
			       dc,
			       peer,
			       store,
			       "--caller-port=0",
			       "--admin-port=0",
			       "--drain-ms=0",
			       NULL };

	g_assert_cmpint(proc_start(&c->hosts[i], argv, log, START_MS), ==, 0);
	c->caller_ports[i] = (uint16_t)proc_number(&c->hosts[i], "caller");
	c->admin_ports[i] = (uint16_t)proc_number(&c->hosts[i], "admin");
	c->running[i] = 1;
}

static void *system_new(void)
{
	struct system_ctx *c = util_alloc(1, sizeof(*c));
	uint32_t i;

	c->peer_port = loopback_free_ports(HOSTS);
	start_outside(c);
	for (i = 0; i < HOSTS; i++)
		start_host(c, i);
	return c;
}

static void system_free(void *ctx)
{
	struct system_ctx *c = ctx;
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		if (c->running[i])
			proc_kill(&c->hosts[i]);
	}
	proc_kill(&c->targets);
	proc_kill(&c->store);
	free(c);
}

/* Runs ctl; returns its output and error output, to be freed. */
static char *ctl(struct system_ctx *c, uint32_t argc, char **argv, int *status)
{
	g_autofree char *program = g_strdup_printf("%s/cowslippoint", folder);
	g_autofree char *admin = g_strdup_printf("127.0.0.1:%u,127.0.0.1:%u",
						 c->admin_ports[0],
						 c->admin_ports[1]);
	g_autoptr(GPtrArray) words = g_ptr_array_new();
	g_auto(GStrv) env = g_get_environ();
	char verb[] = "ctl";
	char *out = NULL;
	char *err = NULL;
	char *all;
	uint32_t i;

	g_ptr_array_add(words, program);
	g_ptr_array_add(words, verb);
	for (i = 0; i < argc; i++)
		g_ptr_array_add(words, argv[i]);
	g_ptr_array_add(words, NULL);
	env = g_environ_setenv(env, "COWSLIPPOINT_ADMIN", admin, TRUE);
	env = g_environ_setenv(env, "USER", "ana", TRUE);
	g_assert_true(g_spawn_sync(NULL, (char **)words->pdata, env,
				   G_SPAWN_DEFAULT, NULL, NULL, &out, &err,
				   status, NULL));
	all = g_strconcat(out, err, NULL);
	g_free(out);
	g_free(err);
	return all;
}

/* ctl WORDS...: repeated while the host has just started and refuses edits. */
static void cmd_ctl(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	gint64 end_us = g_get_monotonic_time() + AWAIT_US;
	int status = 0;

	for (;;) {
		g_autofree char *text = ctl(ctx, argc, argv, &status);

		if (strstr(text, "309 NO_CONFIG") &&
		    g_get_monotonic_time() < end_us)
			continue;
		buf_addf(out, "%sexit %d\n", text, WEXITSTATUS(status));
		return;
	}
}

/*
 * ctl_race HOST WORDS...: as ctl, for a change that HOST may confirm before or
 * after the answer. HOST is the text behind "not confirmed: " in the line of an
 * unconfirmed host, with "@" for blanks. That line is not printed. If the
 * number of confirmed hosts agrees with whether the line was there, both
 * numbers that are possible are printed in its place; otherwise the number
 * stays as it is.
 */
static void cmd_ctl_race(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_autofree char *host = g_strdelimit(g_strdup(argv[0]), "@", ' ');
	g_autofree char *line = g_strdup_printf("not confirmed: %s\n", host);
	g_autofree char *either = NULL;
	g_autofree char *count = NULL;
	struct system_ctx *c = ctx;
	uint32_t running = 0;
	uint32_t listed;
	int status = 0;
	uint32_t i;
	g_autofree char *text = ctl(c, argc - 1, argv + 1, &status);
	g_autoptr(GString) settled = g_string_new(text);

	for (i = 0; i < HOSTS; i++)
		running += c->running[i];
	listed = g_string_replace(settled, line, "", 0);
	count = g_strdup_printf("in effect on %u of %d known hosts",
				running - listed, HOSTS);
	either = g_strdup_printf("in effect on %u or %u of %d known hosts",
				 running - 1, running, HOSTS);
	g_string_replace(settled, count, either, 0);
	buf_addf(out, "%sexit %d\n", settled->str, WEXITSTATUS(status));
}

/*
 * await TEXT WORDS...: repeats the command until its output contains TEXT, in
 * which "@" stands for a blank.
 */
static void cmd_await(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	gint64 end_us = g_get_monotonic_time() + AWAIT_US;
	g_autofree char *wanted = g_strdelimit(g_strdup(argv[0]), "@", ' ');
	int status;

	for (;;) {
		g_autofree char *text = ctl(ctx, argc - 1, argv + 1, &status);

		if (strstr(text, wanted))
			return;
		if (g_get_monotonic_time() > end_us)
			g_error("no output with %s: %s", wanted, text);
	}
}

/*
 * file JSON: writes JSON to DOCUMENT_FILE, with the targets' ports in place of
 * the words PORT1 to PORT3.
 */
static void cmd_file(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_autoptr(GString) text = g_string_new(argv[0]);
	struct system_ctx *c = ctx;
	uint32_t i;

	for (i = 1; i <= HOSTS; i++) {
		g_autofree char *word = g_strdup_printf("PORT%u", i);
		g_autofree char *line = g_strdup_printf("target t%u", i);
		g_autofree char *port =
			g_strdup_printf("%u", proc_number(&c->targets, line));

		g_assert_cmpstr(port, !=, "0");
		g_string_replace(text, word, port, 0);
	}
	g_assert_true(g_file_set_contents(DOCUMENT_FILE, text->str, -1, NULL));
}

/* Requests that target @id has received so far. */
static int64_t received(struct system_ctx *c, const char *id)
{
	g_autofree char *path = g_strdup_printf("/control/stats?target=%s", id);
	struct client_answer a = { 0 };
	int64_t count;

	client_call(&a, "GET", (uint16_t)proc_number(&c->targets, "admin"),
		    path, NULL, REQUEST_TIMEOUT_MS);
	g_assert_cmpuint(a.status, ==, 200);
	count = json_integer_value(json_object_get(
		json_array_get(json_object_get(a.json, "targets"), 0), "receive"
								       "d"));
	client_clear(&a);
	return count;
}

static uint32_t search(struct system_ctx *c, uint32_t host)
{
	struct client_answer a = { 0 };
	uint32_t complete;

	client_call(&a, "POST", c->caller_ports[host], "/v1/search",
		    "{\"customer\":\"blue\",\"index\":\"i1\","
		    "\"query\":\"heron\"}",
		    REQUEST_TIMEOUT_MS);
	complete = a.status == 200 &&
		   json_is_true(json_object_get(a.json, "complete"));
	client_clear(&a);
	return complete;
}

/*
 * search count=N target=ID: makes N searches through the hosts in turn, without
 * those that were killed, and prints whether target ID got any request.
 */
static void cmd_search(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	const char *target = script_arg(argc, argv, "target", "t2");
	int64_t count = script_int(argc, argv, "count", 1);
	struct system_ctx *c = ctx;
	int64_t before = received(c, target);
	uint32_t complete = 0;
	uint32_t sent = 0;
	int64_t i;

	for (i = 0; i < count; i++) {
		if (!c->running[i % HOSTS])
			continue;
		sent++;
		complete += search(c, (uint32_t)(i % HOSTS));
	}
	buf_addf(out, "%u of %u complete, %s got %s\n", complete, sent, target,
		 received(c, target) > before ? "work" : "no work");
}

/* health host=N: prints the status and the error of /healthz. */
static void cmd_health(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct system_ctx *c = ctx;
	struct client_answer a = { 0 };

	client_call(&a, "GET",
		    c->admin_ports[script_int(argc, argv, "host", 1) - 1],
		    "/healthz", NULL, REQUEST_TIMEOUT_MS);
	buf_addf(out, "%u %s\n", a.status, client_text(&a, "error"));
	client_clear(&a);
}

/* kill host=N: ends the host's process at once. */
static void cmd_kill(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	uint32_t i = (uint32_t)script_int(argc, argv, "host", 1) - 1;
	struct system_ctx *c = ctx;

	proc_kill(&c->hosts[i]);
	c->running[i] = 0;
}

static const struct script_command commands[] = {
	{ "ctl", cmd_ctl },	  { "ctl_race", cmd_ctl_race },
	{ "await", cmd_await },	  { "file", cmd_file },
	{ "search", cmd_search }, { "health", cmd_health },
	{ "kill", cmd_kill },
};

static const struct script_area area = {
	.name = "system",
	.ctx_new = system_new,
	.ctx_free = system_free,
	.command_count = countof(commands),
	.commands = commands,
};

int main(int argc, char **argv)
{
	int result;

	folder = g_path_get_dirname(argv[0]);
	result = script_main(argc, argv, &area, 1);
	g_free(folder);
	return result;
}

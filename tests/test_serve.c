/*
 * Scripted runs of whole hosts ("cowslippoint serve") as processes against the
 * stand-ins of the store and the targets: kills, pauses, outages and silent
 * connections. The output has no times in it; a command that waits does so for
 * an event, with a bound.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "cluster.h"
#include "loopback.h"
#include "script.h"

/* Longest wait for an event, and the time between two looks at it. */
#define WAIT_US (30 * US_PER_S)
#define POLL_US (20 * US_PER_MS)
/* Answer time that the contract of "acme" allows. */
#define ANSWER_MS 3000

struct serve {
	struct cluster cluster;
	/* Thread of the call that runs in the background, or NULL. */
	GThread *background;
	struct client_answer background_answer;
	const char *background_method;
	const char *background_path;
	char *background_body;
	uint16_t background_port;
	/* Connection that "connect" opened. */
	int kept_fd;
};

static void *serve_new(void)
{
	return util_alloc(1, sizeof(struct serve));
}

static void serve_free(void *ctx)
{
	struct serve *s = ctx;

	cluster_stop(&s->cluster);
	if (s->background)
		g_thread_join(s->background);
	client_clear(&s->background_answer);
	g_free(s->background_body);
	free(s);
}

/* Index of the host in "host=N"; h1 is 0. */
static uint32_t host_arg(uint32_t argc, char **argv)
{
	return (uint32_t)script_int(argc, argv, "host", 1) - 1;
}

/* Configuration revision in effect on @host, or -1 without an answer. */
static int64_t status_rev(struct serve *s, uint32_t host)
{
	struct client_answer a;
	int64_t rev;

	client_call(&a, "GET", cluster_admin_port(&s->cluster, host),
		    "/admin/v1/status", NULL, CLUSTER_TIMEOUT_MS);
	rev = client_int(&a, "revision");
	client_clear(&a);
	return rev;
}

/* HTTP status of the page that the load balancer asks for. */
static uint32_t health(struct serve *s, uint32_t host)
{
	struct client_answer a;
	uint32_t status;

	client_call(&a, "GET", cluster_admin_port(&s->cluster, host),
		    "/healthz", NULL, CLUSTER_TIMEOUT_MS);
	status = a.status;
	client_clear(&a);
	return status;
}

/* wait host=N rev=R: waits until revision R is in effect on the host. */
static void cmd_wait(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;
	int64_t rev = script_int(argc, argv, "rev", 1);
	int64_t until_us = clock_now_us() + WAIT_US;

	while (clock_now_us() < until_us) {
		if (status_rev(s, host_arg(argc, argv)) >= rev) {
			buf_addf(out, "in effect\n");
			return;
		}
		g_usleep(POLL_US);
	}
	buf_addf(out, "not in effect\n");
}

/* Edits the configuration on the admin port of @host; prints the result. */
static void put(struct serve *s, uint32_t host, const char *path,
		const char *body, struct buf *out)
{
	struct client_answer a;

	client_call(&a, "PUT", cluster_admin_port(&s->cluster, host), path,
		    body, CLUSTER_TIMEOUT_MS);
	buf_addf(out, "%s revision %d\n", client_text(&a, "error"),
		 (int)client_int(&a, "revision"));
	client_clear(&a);
}

/* layout [host=N] [snapshot=S] [if_rev=R]: edits the layout of "parts". */
static void cmd_layout(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;
	const char *if_rev = script_arg(argc, argv, "if_rev", NULL);
	g_autofree char *path = g_strdup_printf("/admin/v1/indexes/parts%s%s",
						if_rev ? "?if_rev=" : "",
						if_rev ? if_rev : "");
	char *body CLEANUP_FREE = cluster_layout(
		&s->cluster, script_arg(argc, argv, "snapshot", "s1"));

	put(s, host_arg(argc, argv), path, body, out);
}

/*
 * contract [host=N] [coverage=PERMILLE] [answer_ms=MS]: edits the
 * contract of "acme".
 */
static void cmd_contract(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;
	char *body CLEANUP_FREE = cluster_contract(
		(uint32_t)script_int(argc, argv, "answer_ms", ANSWER_MS),
		(uint32_t)script_int(argc, argv, "coverage", 1000));

	put(s, host_arg(argc, argv), "/admin/v1/contracts/acme", body, out);
}

/*
 * Repeats @edit: a host refuses edits after its start until it has asked its
 * peers.
 */
static void until_accepted(struct serve *s, script_fn *edit)
{
	int64_t until_us = clock_now_us() + WAIT_US;

	while (clock_now_us() < until_us) {
		struct buf out CLEANUP_BUF = { 0 };

		edit(s, 0, NULL, &out);
		if (strncmp(out.data, "OK", 2) == 0)
			return;
		g_usleep(POLL_US);
	}
	g_error("no edit accepted");
}

/*
 * ready host=N: waits until the host tells the load balancer to send it
 * callers.
 */
static void cmd_ready(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;
	int64_t until_us = clock_now_us() + WAIT_US;

	while (health(s, host_arg(argc, argv)) != 200) {
		if (clock_now_us() > until_us) {
			buf_addf(out, "not ready\n");
			return;
		}
		g_usleep(POLL_US);
	}
	buf_addf(out, "ready\n");
}

/* health host=N: prints the HTTP status for the load balancer. */
static void cmd_health(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	buf_addf(out, "%u\n", health(ctx, host_arg(argc, argv)));
}

/* Takes a host or data centre in or out of service; @verb is "in" or "out". */
static void set_state(struct serve *s, uint32_t argc, char **argv,
		      const char *verb, struct buf *out)
{
	g_autofree char *path = g_strdup_printf(
		"/admin/v1/%s/%s/%s", script_arg(argc, argv, "kind", "hosts"),
		script_arg(argc, argv, "name", "h1"), verb);
	struct client_answer a;

	client_call(&a, "POST",
		    cluster_admin_port(&s->cluster, host_arg(argc, argv)), path,
		    NULL, CLUSTER_TIMEOUT_MS);
	buf_addf(out, "%s revision %d\n", client_text(&a, "error"),
		 (int)client_int(&a, "revision"));
	client_clear(&a);
}

/*
 * out, in host=N kind=hosts|data-centres name=NAME: the order is given to host
 * N.
 */
static void cmd_out(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	set_state(ctx, argc, argv, "out", out);
}

static void cmd_in(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	set_state(ctx, argc, argv, "in", out);
}

/*
 * start hosts=N shards=N replicas=N: starts all processes and configures them.
 */
static void cmd_start(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;
	uint32_t hosts = (uint32_t)script_int(argc, argv, "hosts", 2);
	char rev[] = "rev=2";
	char host[16];
	char *wait_argv[] = { rev, host };
	uint32_t i;

	cluster_start_store(&s->cluster);
	cluster_start_targets(&s->cluster,
			      (uint32_t)script_int(argc, argv, "shards", 2),
			      (uint32_t)script_int(argc, argv, "replicas", 3));
	for (i = 0; i < hosts; i++)
		cluster_start_host(&s->cluster, i);
	cluster_list_hosts(&s->cluster);
	until_accepted(s, cmd_layout);
	until_accepted(s, cmd_contract);
	for (i = 0; i < hosts; i++) {
		snprintf(host, sizeof(host), "host=%u", i + 1);
		cmd_wait(s, 2, wait_argv, out);
		cmd_ready(s, 2, wait_argv, out);
	}
}

static void print_answer(const struct client_answer *a, struct buf *out)
{
	if (!a->status) {
		buf_addf(out, "no answer\n");
		return;
	}
	buf_addf(out, "%s %s", client_text(a, "error"),
		 client_text(a, "outcome"));
	if (client_int(a, "shards_total") >= 0)
		buf_addf(out, " %s %d/%d", client_text(a, "snapshot"),
			 (int)client_int(a, "shards_answered"),
			 (int)client_int(a, "shards_total"));
	buf_addf(out, "\n");
}

/* search host=N: a search in all shards of "parts". */
static void cmd_search(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;
	struct client_answer a;

	client_call(&a, "POST",
		    cluster_caller_port(&s->cluster, host_arg(argc, argv)),
		    "/v1/search",
		    "{\"customer\":\"acme\",\"index\":\"parts\","
		    "\"query\":\"heron\"}",
		    CLUSTER_TIMEOUT_MS);
	print_answer(&a, out);
	client_clear(&a);
}

static char *lookup_body(uint32_t argc, char **argv)
{
	return g_strdup_printf("{\"customer\":\"acme\",\"index\":\"parts\","
			       "\"record\":\"r1\",\"idempotent\":false,"
			       "\"request_id\":\"%s\"}",
			       script_arg(argc, argv, "id", "q1"));
}

/* lookup host=N id=ID: a lookup that must not run twice. */
static void cmd_lookup(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;
	g_autofree char *body = lookup_body(argc, argv);
	struct client_answer a;

	client_call(&a, "POST",
		    cluster_caller_port(&s->cluster, host_arg(argc, argv)),
		    "/v1/lookup", body, CLUSTER_TIMEOUT_MS);
	print_answer(&a, out);
	client_clear(&a);
}

static gpointer run_background(gpointer data)
{
	struct serve *s = data;

	client_call(&s->background_answer, s->background_method,
		    s->background_port, s->background_path, s->background_body,
		    CLUSTER_TIMEOUT_MS);
	return NULL;
}

/* connect host=N: opens a connection to the callers' port. */
static void cmd_connect(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	s->kept_fd = loopback_connect(
		cluster_caller_port(&s->cluster, host_arg(argc, argv)));
}

static void add_search(struct buf *requests, const char *query)
{
	g_autofree char *body = g_strdup_printf("{\"customer\":\"acme\","
						"\"index\":\"parts\","
						"\"query\":\"%s\",\"limit\":3}",
						query);

	buf_addf(requests,
		 "POST /v1/search HTTP/1.1\r\nHost: x\r\n"
		 "Content-Length: %u\r\n\r\n%s",
		 (uint32_t)strlen(body), body);
}

/*
 * search_ahead count=N: sends N searches in one write on the connection that
 * "connect" opened, reads until the host closes it and prints how many
 * answers came.
 */
static void cmd_search_ahead(void *ctx, uint32_t argc, char **argv,
			     struct buf *out)
{
	struct serve *s = ctx;
	struct buf requests CLEANUP_BUF = { 0 };
	struct buf answers CLEANUP_BUF = { 0 };
	uint32_t count = 0;
	char part[4096];
	ssize_t n;
	int64_t i;

	for (i = 0; i < script_int(argc, argv, "count", 2); i++)
		add_search(&requests, "heron");
	if (write(s->kept_fd, requests.data, requests.len_bytes) !=
	    (ssize_t)requests.len_bytes) {
		buf_addf(out, "not sent\n");
		return;
	}
	while ((n = read(s->kept_fd, part, sizeof(part))) > 0)
		buf_add(&answers, part, (size_t)n);
	buf_add(&answers, "", 1);
	for (const char *at = answers.data;
	     (at = strstr(at, "HTTP/1.1 ")) != NULL; at++)
		count++;
	buf_addf(out, "%u answers\n", count);
	close(s->kept_fd);
}

/* Sends a call in a thread of its own; takes ownership of @body. */
static void start_background(struct serve *s, const char *method, uint16_t port,
			     const char *path, char *body)
{
	s->background_method = method;
	s->background_port = port;
	s->background_path = path;
	s->background_body = body;
	s->background = g_thread_new("background", run_background, s);
}

/*
 * lookup_background host=N id=ID: sends the lookup in a thread of its own,
 * while the script continues.
 */
static void cmd_lookup_background(void *ctx, uint32_t argc, char **argv,
				  struct buf *out)
{
	struct serve *s = ctx;

	start_background(s, "POST",
			 cluster_caller_port(&s->cluster, host_arg(argc, argv)),
			 "/v1/lookup", lookup_body(argc, argv));
}

/*
 * contract_background host=N: edits the contract of "acme" while the script
 * continues.
 */
static void cmd_contract_background(void *ctx, uint32_t argc, char **argv,
				    struct buf *out)
{
	struct serve *s = ctx;
	char *body CLEANUP_FREE = cluster_contract(ANSWER_MS, 500);

	start_background(s, "PUT",
			 cluster_admin_port(&s->cluster, host_arg(argc, argv)),
			 "/admin/v1/contracts/acme", g_strdup(body));
}

/* join: waits for the answer to the call in the background and prints it. */
static void cmd_join(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	g_thread_join(s->background);
	s->background = NULL;
	print_answer(&s->background_answer, out);
	client_clear(&s->background_answer);
	g_clear_pointer(&s->background_body, g_free);
}

/* outcome host=N id=ID: prints what host N knows of the outcome of a lookup. */
static void cmd_outcome(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;
	g_autofree char *path = g_strdup_printf(
		"/v1/outcome/acme/%s", script_arg(argc, argv, "id", "q1"));
	struct client_answer a;

	client_call(&a, "GET",
		    cluster_caller_port(&s->cluster, host_arg(argc, argv)),
		    path, NULL, CLUSTER_TIMEOUT_MS);
	print_answer(&a, out);
	client_clear(&a);
}

/* executions id=ID: prints how often the targets ran the request. */
static void cmd_executions(void *ctx, uint32_t argc, char **argv,
			   struct buf *out)
{
	struct serve *s = ctx;
	g_autofree char *path =
		g_strdup_printf("/control/once?request_id=%s",
				script_arg(argc, argv, "id", "q1"));
	struct client_answer a;

	client_call(&a, "GET", cluster_target_control(&s->cluster), path, NULL,
		    CLUSTER_TIMEOUT_MS);
	buf_addf(out, "%d\n", (int)client_int(&a, "executions"));
	client_clear(&a);
}

/* Posts @body to the control port of a stand-in. */
static void control(uint16_t port, const char *body, struct buf *out)
{
	struct client_answer a;

	client_call(&a, "POST", port, "/control", body, CLUSTER_TIMEOUT_MS);
	buf_addf(out, "%s\n", client_text(&a, "error"));
	client_clear(&a);
}

/* store JSON, targets JSON: switch a fault of the stand-in on or off. */
static void cmd_store(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	control(cluster_store_control(&s->cluster), argv[0], out);
}

static void cmd_targets(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	control(cluster_target_control(&s->cluster), argv[0], out);
}

/* Waits until a counter of a stand-in has a value, see /control/wait. */
static void wait_counter(uint16_t port, const char *query, struct buf *out)
{
	g_autofree char *path = g_strdup_printf("/control/wait?%s", query);
	struct client_answer a;

	client_call(&a, "GET", port, path, NULL, CLUSTER_TIMEOUT_MS);
	buf_addf(out, "%s\n", a.status == 200 ? "reached" : "not reached");
	client_clear(&a);
}

/*
 * await QUERY: waits until a counter of the targets has a value, see
 * /control/wait.
 */
static void cmd_await(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	wait_counter(cluster_target_control(&s->cluster), argv[0], out);
}

/* reset_store: sets the counters of the store to 0. */
static void cmd_reset_store(void *ctx, uint32_t argc, char **argv,
			    struct buf *out)
{
	struct serve *s = ctx;
	struct client_answer a;

	client_call(&a, "POST", cluster_store_control(&s->cluster),
		    "/control/reset", "{}", CLUSTER_TIMEOUT_MS);
	buf_addf(out, "%s\n", client_text(&a, "error"));
	client_clear(&a);
}

/* await_store QUERY: like await, for a counter of the store. */
static void cmd_await_store(void *ctx, uint32_t argc, char **argv,
			    struct buf *out)
{
	struct serve *s = ctx;

	wait_counter(cluster_store_control(&s->cluster), argv[0], out);
}

static void cmd_kill(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	proc_kill(&s->cluster.hosts[host_arg(argc, argv)]);
}

static void cmd_pause(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	proc_signal(&s->cluster.hosts[host_arg(argc, argv)], SIGSTOP);
}

static void cmd_continue(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	proc_signal(&s->cluster.hosts[host_arg(argc, argv)], SIGCONT);
}

static void cmd_restart(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	cluster_start_host(&s->cluster, host_arg(argc, argv));
}

/* terminate host=N: sends SIGTERM. */
static void cmd_terminate(void *ctx, uint32_t argc, char **argv,
			  struct buf *out)
{
	struct serve *s = ctx;

	proc_signal(&s->cluster.hosts[host_arg(argc, argv)], SIGTERM);
}

/* exited host=N: waits for the end of the process, prints its exit status. */
static void cmd_exited(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct serve *s = ctx;

	buf_addf(out, "exit status %d\n",
		 proc_wait(&s->cluster.hosts[host_arg(argc, argv)]));
}

static const struct script_command commands[] = {
	{ "start", cmd_start },
	{ "wait", cmd_wait },
	{ "ready", cmd_ready },
	{ "health", cmd_health },
	{ "out", cmd_out },
	{ "in", cmd_in },
	{ "layout", cmd_layout },
	{ "contract", cmd_contract },
	{ "search", cmd_search },
	{ "lookup", cmd_lookup },
	{ "connect", cmd_connect },
	{ "search_ahead", cmd_search_ahead },
	{ "lookup_background", cmd_lookup_background },
	{ "contract_background", cmd_contract_background },
	{ "join", cmd_join },
	{ "outcome", cmd_outcome },
	{ "executions", cmd_executions },
	{ "store", cmd_store },
	{ "targets", cmd_targets },
	{ "await", cmd_await },
	{ "await_store", cmd_await_store },
	{ "reset_store", cmd_reset_store },
	{ "kill", cmd_kill },
	{ "pause", cmd_pause },
	{ "continue", cmd_continue },
	{ "restart", cmd_restart },
	{ "terminate", cmd_terminate },
	{ "exited", cmd_exited },
};

static const struct script_area area = {
	.name = "serve",
	.ctx_new = serve_new,
	.ctx_free = serve_free,
	.command_count = countof(commands),
	.commands = commands,
};

int main(int argc, char **argv)
{
	cluster_init(argv[0]);
	return script_main(argc, argv, &area, 1);
}

/*
 * Scripted runs of a planned stop of "cowslippoint gateway" as a process, with
 * callers on kept connections, targets, and calls to the store in flight. The
 * process is built like the test program, so that a sanitizer's report ends it.
 */
#include <glib.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "caller.h"
#include "fake_http.h"
#include "proc.h"
#include "script.h"
#include "store_client.h"

#define START_MS 20000
#define CALL_MS 10000
#define TARGETS 4
/* Time that a target takes for a request. */
#define SERVICE_US (2 * US_PER_MS)
#define CALLERS_MAX 32
#define CALLER_PORT 18226
#define READY_PORT 18227
#define PEER_PORT 18224
/* Longest wait for an event, and the time between two looks at it. */
#define WAIT_US (30 * (int64_t)US_PER_S)
#define POLL_US (10 * US_PER_MS)

static char host_program[256];

struct stop {
	struct proc store;
	struct proc host;
	char address[32];
	char settings_path[128];
	char log_path[128];
	uint32_t grace_s;
	struct fake_http *targets[TARGETS];
	/* Protects @run. */
	GMutex lock;
	/* Paths of the requests that a target has run. */
	GHashTable *run;
	GThread *callers[CALLERS_MAX];
	uint32_t caller_count;
	_Atomic uint32_t next_request;
	_Atomic uint32_t answered;
	/* Requests that a target has run and that got no answer. */
	_Atomic uint32_t lost;
};

static void *stop_new(void)
{
	struct stop *s = util_alloc(1, sizeof(*s));

	g_mutex_init(&s->lock);
	s->run = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return s;
}

static void stop_free(void *ctx)
{
	struct stop *s = ctx;
	uint32_t i;

	proc_kill(&s->host);
	for (i = 0; i < s->caller_count; i++)
		g_thread_join(s->callers[i]);
	for (i = 0; i < TARGETS; i++) {
		if (s->targets[i])
			fake_http_free(s->targets[i]);
	}
	proc_kill(&s->store);
	g_hash_table_destroy(s->run);
	g_mutex_clear(&s->lock);
	free(s);
}

static int has_run(struct stop *s, const char *path)
{
	int found;

	g_mutex_lock(&s->lock);
	found = g_hash_table_contains(s->run, path);
	g_mutex_unlock(&s->lock);
	return found;
}

/* Runs on the thread of a target. */
static enum fake_action run_request(void *ctx, const struct fake_request *r,
				    uint32_t *status, struct buf *out)
{
	struct stop *s = ctx;
	const char *path = strchr(r->line, ' ') + 1;

	g_mutex_lock(&s->lock);
	g_hash_table_add(s->run, g_strdup(path));
	g_mutex_unlock(&s->lock);
	g_usleep(SERVICE_US);
	buf_addf(r->fields, "Cowslippoint-Server-Stamp: %s\r\n", path);
	buf_addf(out, "%s", path);
	return FAKE_REPLY;
}

static void put(struct stop *s, const char *key, const char *value)
{
	if (!store_client_put((uint16_t)proc_number(&s->store, "ready"), key,
			      value, CALL_MS))
		g_error("the store does not take %s", key);
}

static void start_targets(struct stop *s)
{
	uint32_t i;

	for (i = 0; i < TARGETS; i++) {
		g_autofree char *key = g_strdup_printf("servers/t%u", i);
		g_autofree char *value = NULL;

		s->targets[i] = fake_http_new(run_request, s);
		value = g_strdup_printf("{\"service\":\"desk\",\"address\":"
					"\"127.0.0.1:%u\","
					"\"zone\":\"a\",\"version\":\"v1\","
					"\"capacity\":4,"
					"\"phase\":\"ready\",\"warmupLeftMs\":"
					"0,\"seq\":1,"
					"\"born\":1}",
					fake_http_port(s->targets[i]));
		put(s, key, value);
	}
	put(s, "op/config",
	    "{\"version\":1,\"routes\":[{\"name\":\"one\","
	    "\"host\":\"stop.example\",\"prefix\":\"/one/\","
	    "\"type\":\"non_idempotent\",\"timeoutMs\":4000,\"goalMs\":400,"
	    "\"priority\":1,\"attempts\":2,\"service\":\"desk\"}],"
	    "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\","
	    "\"maxConns\":400,\"protocol\":\"h1\",\"tls\":false,"
	    "\"warmupS\":0,\"warmupPerS\":0}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
}

static void write_settings(struct stop *s)
{
	g_autofree char *text = g_strdup_printf(
		"{\"host\":\"h1\",\"data_centre\":\"a\","
		"\"caller_address\":\"%s:%u\",\"ready_address\":\"%s:%u\","
		"\"peer_address\":\"%s:%u\",\"store_address\":\"127.0.0.1:%u\","
		"\"seeds\":[],\"store_reads_per_s\":2000,"
		"\"store_writes_per_s\":400,\"descriptors\":2000,"
		"\"core_share\":1,\"link_mbps\":1000,\"grace_s\":%u,"
		"\"config_apply_ms\":3000,\"drain_ms\":3000,"
		"\"retry_ratio\":0.2,\"retry_slack\":56,\"canary_share\":0.1}",
		s->address, CALLER_PORT, s->address, READY_PORT, s->address,
		PEER_PORT, proc_number(&s->store, "ready"), s->grace_s);

	g_file_set_contents(s->settings_path, text, -1, NULL);
}

static void wait_ready(struct stop *s)
{
	int64_t until_us = clock_now_us() + WAIT_US;
	struct caller c;
	int is_ready = 0;

	caller_init(&c);
	while (!is_ready) {
		is_ready = caller_exchange(&c, s->address, READY_PORT,
					   "GET /api/readyz HTTP/1.1\r\n"
					   "Host: x\r\n\r\n",
					   CALL_MS) == CALLER_OK &&
			   http1_status(&c.answer) == 200;
		if (clock_now_us() > until_us)
			g_error("the host is not ready, see %s", s->log_path);
		g_usleep(POLL_US);
	}
	caller_clear(&c);
}

/* start [grace=S]: the store, the targets and one host. */
static void cmd_start(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	const char *store[] = { "build/standin", "store", NULL };
	const char *host[] = { host_program, "gateway", "--settings",
			       s->settings_path, NULL };

	s->grace_s = script_u32(argc, argv, "grace", 2);
	/* An address of its own, so that several runs do not collide. */
	snprintf(s->address, sizeof(s->address), "127.%d.%d.101",
		 10 + getpid() % 200, getpid() / 200 % 250);
	snprintf(s->settings_path, sizeof(s->settings_path),
		 "build/test-stop-%d.json", (int)getpid());
	snprintf(s->log_path, sizeof(s->log_path), "build/test-stop-%d.log",
		 (int)getpid());
	if (proc_start(&s->store, store, NULL, START_MS) != 0)
		g_error("cannot start the store stand-in");
	start_targets(s);
	write_settings(s);
	if (proc_spawn(&s->host, host, s->log_path) != 0)
		g_error("cannot start %s", host_program);
	wait_ready(s);
}

static gpointer run_caller(gpointer data)
{
	struct stop *s = data;
	enum caller_result result;
	struct caller c;

	caller_init(&c);
	do {
		uint32_t number = ++s->next_request;
		g_autofree char *path = g_strdup_printf("/one/%u", number);
		g_autofree char *text = g_strdup_printf("GET %s "
							"HTTP/1.1\r\nHost: "
							"stop.example\r\n"
							"Cowslippoint-Request-"
							"Id: r%u\r\n"
							"Cowslippoint-Deadline-"
							"Ms: 4000\r\n\r\n",
							path, number);

		result = caller_exchange(&c, s->address, CALLER_PORT, text,
					 CALL_MS);
		if (result == CALLER_OK)
			s->answered++;
		else if (has_run(s, path))
			s->lost++;
		/* Refused: the host accepts no more connections. */
	} while (result != CALLER_REFUSED);
	caller_clear(&c);
	return NULL;
}

/*
 * load callers=N answers=N: callers that send requests over kept connections
 * until the host accepts none; waits until so many were answered.
 */
static void cmd_load(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	uint32_t answers = script_u32(argc, argv, "answers", 100);
	int64_t until_us = clock_now_us() + WAIT_US;
	uint32_t i;

	s->caller_count =
		util_min_u32(script_u32(argc, argv, "callers", 1), CALLERS_MAX);
	for (i = 0; i < s->caller_count; i++)
		s->callers[i] = g_thread_new("caller", run_caller, s);
	while (s->answered < answers && clock_now_us() < until_us)
		g_usleep(POLL_US);
	buf_addf(out, s->answered < answers ? "not answered\n" : "answered\n");
}

/* Waits until the host's process has ended, at the latest at @until_us. */
static int has_ended(struct stop *s, int64_t until_us)
{
	do {
		siginfo_t info = { 0 };

		if (waitid(P_PID, (id_t)s->host.pid, &info,
			   WEXITED | WNOHANG | WNOWAIT) == 0 &&
		    info.si_pid)
			return 1;
		g_usleep(POLL_US);
	} while (clock_now_us() < until_us);
	return 0;
}

/*
 * stop: SIGTERM, and SIGKILL when the grace time is over, as the platform does;
 * prints how the process has ended.
 */
static void cmd_stop(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;

	proc_signal(&s->host, SIGTERM);
	if (!has_ended(s, clock_now_us() + (int64_t)s->grace_s * US_PER_S)) {
		proc_kill(&s->host);
		buf_addf(out, "killed\n");
		return;
	}
	buf_addf(out, "exit status %d\n", proc_wait(&s->host));
}

/* lost: waits for the callers and prints the requests that were lost. */
static void cmd_lost(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;

	while (s->caller_count > 0)
		g_thread_join(s->callers[--s->caller_count]);
	buf_addf(out, "%u lost\n", s->lost);
}

static const struct script_command commands[] = {
	{ "start", cmd_start },
	{ "load", cmd_load },
	{ "stop", cmd_stop },
	{ "lost", cmd_lost },
};

static const struct script_area area = {
	.name = "stop",
	.ctx_new = stop_new,
	.ctx_free = stop_free,
	.command_count = countof(commands),
	.commands = commands,
};

int main(int argc, char **argv)
{
	proc_sibling(argv[0], "cowslippoint", host_program,
		     sizeof(host_program));
	return script_main(argc, argv, &area, 1);
}

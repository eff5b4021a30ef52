/*
 * Scripted runs of a planned stop of "cowslippoint gateway" as a process, with
 * callers on kept connections, targets, and calls to the store in flight. The
 * process is built like the test program, so that a sanitizer's report ends it.
 */
#include <fcntl.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
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
#define TARGETS 6
/* Time that a target takes for a request. */
#define SERVICE_US (2 * US_PER_MS)
/* Time for which a busy target wants no request. */
#define BUSY_S 8
#define CALLERS_MAX 32
#define HELD_MAX 32
#define CALLER_PORT 18226
#define READY_PORT 18227
#define PEER_PORT 18224
/* Longest wait for an event, and the time between two looks at it. */
#define WAIT_US (30 * (int64_t)US_PER_S)
#define POLL_US (10 * US_PER_MS)
/* Longest time between two signals of a storm. */
#define STORM_GAP_US (5 * US_PER_MS)

static char host_program[256];

struct stop {
	struct proc store;
	struct proc host;
	char address[32];
	char settings_path[128];
	char log_path[128];
	/* End for writing of the pipe that the host reads its settings from. */
	int settings_fd;
	uint32_t grace_s;
	struct fake_http *targets[TARGETS];
	/* Protects @run. */
	pthread_mutex_t lock;
	/* Paths of the requests that a target has run. */
	GHashTable *run;
	GThread *callers[CALLERS_MAX];
	uint32_t caller_count;
	_Atomic uint32_t next_request;
	_Atomic uint32_t answered;
	/* Requests that a target has run and that got no answer. */
	_Atomic uint32_t lost;
	/* Connections with a request whose last byte is not sent. */
	struct caller held[HELD_MAX];
	uint32_t held_count;
	/* SIGKILL follows at this time if the process has not ended. */
	int64_t grace_end_us;
};

static void *stop_new(void)
{
	struct stop *s = util_alloc(1, sizeof(*s));

	pthread_mutex_init(&s->lock, NULL);
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
	for (i = 0; i < s->held_count; i++)
		caller_clear(&s->held[i]);
	for (i = 0; i < TARGETS; i++) {
		if (s->targets[i])
			fake_http_free(s->targets[i]);
	}
	proc_kill(&s->store);
	g_hash_table_destroy(s->run);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

static int has_run(struct stop *s, const char *path)
{
	int found;

	pthread_mutex_lock(&s->lock);
	found = g_hash_table_contains(s->run, path);
	pthread_mutex_unlock(&s->lock);
	return found;
}

/*
 * Runs on the thread of a target: requests for /mute/ get no answer, those for
 * /busy/ are turned away.
 */
static enum fake_action run_request(void *ctx, const struct fake_request *r,
				    uint32_t *status, struct buf *out)
{
	struct stop *s = ctx;
	const char *path = strchr(r->line, ' ') + 1;

	if (g_str_has_prefix(path, "/busy/")) {
		*status = 503;
		buf_addf(r->fields,
			 "Cowslippoint-Not-Executed: 1\r\nRetry-After: %d\r\n",
			 BUSY_S);
		return FAKE_REPLY;
	}
	pthread_mutex_lock(&s->lock);
	g_hash_table_add(s->run, g_strdup(path));
	pthread_mutex_unlock(&s->lock);
	if (g_str_has_prefix(path, "/mute/"))
		return FAKE_SILENT;
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

/* The services, each with a route of its name, and the type of the route. */
static const struct {
	const char *name;
	const char *type;
	uint32_t target_count;
} services[] = {
	{ "one", "non_idempotent", 4 },
	{ "mute", "non_idempotent", 1 },
	{ "busy", "idempotent", 1 },
};

static void put_config(struct stop *s)
{
	g_autoptr(GString) text = g_string_new("{\"version\":1,\"routes\":[");
	uint32_t i;

	for (i = 0; i < countof(services); i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"host\":\"stop."
				       "example\","
				       "\"prefix\":\"/%s/\",\"type\":\"%s\","
				       "\"timeoutMs\":10000,\"goalMs\":400,"
				       "\"priority\":1,"
				       "\"attempts\":2,\"service\":\"%s\"}",
				       i ? "," : "", services[i].name,
				       services[i].name, services[i].type,
				       services[i].name);
	g_string_append(text, "],\"services\":[");
	for (i = 0; i < countof(services); i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"healthPath\":\"/"
				       "healthz\","
				       "\"maxConns\":400,\"protocol\":\"h1\","
				       "\"tls\":false,"
				       "\"warmupS\":0,\"warmupPerS\":0}",
				       i ? "," : "", services[i].name);
	g_string_append(text, "],\"limits\":{\"maxHeaderBytes\":16384,"
			      "\"maxBodyBytes\":262144,"
			      "\"headerTimeoutMs\":3000,"
			      "\"idleTimeoutMs\":15000}}");
	put(s, "op/config", text->str);
}

static void start_targets(struct stop *s)
{
	uint32_t n = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < countof(services); i++) {
		for (k = 0; k < services[i].target_count; k++, n++) {
			g_autofree char *key =
				g_strdup_printf("servers/t%u", n);
			g_autofree char *value = NULL;

			s->targets[n] = fake_http_new(run_request, s);
			value = g_strdup_printf("{\"service\":\"%s\","
						"\"address\":\"127.0.0.1:%u\","
						"\"zone\":\"a\","
						"\"version\":\"v1\","
						"\"capacity\":4,"
						"\"phase\":\"ready\","
						"\"warmupLeftMs\":0,"
						"\"seq\":1,\"born\":1}",
						services[i].name,
						fake_http_port(s->targets[n]));
			put(s, key, value);
		}
	}
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

/* Waits until the host reads the pipe; returns the end for writing. */
static int wait_reader(struct stop *s)
{
	int64_t until_us = clock_now_us() + WAIT_US;
	int fd;

	do {
		/* Fails as long as nobody reads. */
		fd = open(s->settings_path, O_WRONLY | O_NONBLOCK);
		if (clock_now_us() > until_us)
			g_error("the host does not read %s", s->settings_path);
		g_usleep(POLL_US);
	} while (fd < 0);
	return fd;
}

/* Name, and number, of a signal that a script sends. */
static const struct {
	const char *name;
	int number;
} signals[] = {
	{ "hup", SIGHUP },
	{ "int", SIGINT },
	{ "pipe", SIGPIPE },
	{ "term", SIGTERM },
};

/*
 * The settings are a named pipe, so that the host waits for them while it
 * starts.
 */
static void make_pipe(struct stop *s)
{
	unlink(s->settings_path);
	if (mkfifo(s->settings_path, 0600) < 0)
		g_error("cannot make %s", s->settings_path);
}

/*
 * start [grace=S] [settings=pipe]: the store, the targets and one host, which
 * is ready, or waits for its settings until "feed".
 */
static void cmd_start(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	int is_piped = strcmp(script_arg(argc, argv, "settings", ""), "pipe") ==
		       0;
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
	put_config(s);
	if (is_piped)
		make_pipe(s);
	else
		write_settings(s);
	if (proc_spawn(&s->host, host, s->log_path) != 0)
		g_error("cannot start %s", host_program);
	if (is_piped)
		s->settings_fd = wait_reader(s);
	else
		wait_ready(s);
}

/*
 * feed: gives the host the settings that it waits for, which are a file from
 * now on, and waits until it is ready, unless it was told to stop.
 */
static void cmd_feed(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	g_autofree char *text = NULL;
	gsize len = 0;

	write_settings(s);
	g_file_get_contents(s->settings_path, &text, &len, NULL);
	if (write(s->settings_fd, text, len) != (ssize_t)len)
		g_error("the host does not read its settings");
	close(s->settings_fd);
	if (!s->grace_end_us)
		wait_ready(s);
}

/* signal hup|int|pipe|term: sends a signal to the host. */
static void cmd_signal(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	uint32_t i;

	for (i = 0; i < countof(signals); i++) {
		if (strcmp(signals[i].name, argv[0]) == 0)
			proc_signal(&s->host, signals[i].number);
	}
}

/*
 * storm N hup|int|pipe|term...: sends N signals, each one of those named, at
 * random times of a fixed seed.
 */
static void cmd_storm(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	uint32_t n = (uint32_t)strtoul(argv[0], NULL, 10);
	g_autoptr(GRand) rand = g_rand_new_with_seed(n);

	while (n-- > 0) {
		uint32_t at = (uint32_t)g_rand_int_range(rand, 1, (gint32)argc);

		g_usleep((gulong)g_rand_int_range(rand, 0, STORM_GAP_US));
		cmd_signal(s, 1, argv + at, out);
	}
}

/* calls N: requests over new connections; prints how many were answered. */
static void cmd_calls(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	uint32_t n = (uint32_t)strtoul(argv[0], NULL, 10);
	uint32_t answered = 0;
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint32_t number = ++s->next_request;
		g_autofree char *text = g_strdup_printf("GET /one/%u "
							"HTTP/1.1\r\nHost: "
							"stop.example\r\n"
							"Cowslippoint-Request-"
							"Id: r%u\r\n"
							"Cowslippoint-Deadline-"
							"Ms: 4000\r\n\r\n",
							number, number);
		struct caller c;

		caller_init(&c);
		answered += caller_exchange(&c, s->address, CALLER_PORT, text,
					    CALL_MS) == CALLER_OK;
		caller_clear(&c);
	}
	buf_addf(out, "%u answered\n", answered);
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

/*
 * hold N ROUTE: opens N connections and sends a request on each, but for its
 * last byte.
 */
static void cmd_hold(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	uint32_t n = (uint32_t)strtoul(argv[0], NULL, 10);

	while (n-- > 0 && s->held_count < HELD_MAX) {
		struct caller *c = &s->held[s->held_count++];
		uint32_t number = ++s->next_request;
		g_autofree char *text =
			g_strdup_printf("POST /%s/%u HTTP/1.1\r\nHost: "
					"stop.example\r\n"
					"Cowslippoint-Request-Id: r%u\r\n"
					"Cowslippoint-Deadline-Ms: 10000\r\n"
					"Content-Length: 2\r\n\r\nb",
					argv[1], number, number);

		caller_init(c);
		if (caller_open(c, s->address, CALLER_PORT) != CALLER_OK ||
		    send(c->fd, text, strlen(text), MSG_NOSIGNAL) !=
			    (ssize_t)strlen(text))
			g_error("the host does not take a request");
	}
}

/* send: sends the last bytes of the requests on hold. */
static void cmd_send(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	uint32_t i;

	for (i = 0; i < s->held_count; i++)
		send(s->held[i].fd, "y", 1, MSG_NOSIGNAL);
}

/*
 * answers: prints the status of the answer to each request that was on hold,
 * 0 for a connection that ended without one.
 */
static void cmd_answers(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	uint32_t i;

	for (i = 0; i < s->held_count; i++) {
		struct caller *c = &s->held[i];
		int is_read = caller_read(c, CALL_MS) == CALLER_OK;

		buf_addf(out, "%s%u", i ? " " : "",
			 is_read ? http1_status(&c->answer) : 0);
		caller_clear(c);
	}
	buf_addf(out, "\n");
	s->held_count = 0;
}

/* term: SIGTERM. */
static void cmd_term(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;

	s->grace_end_us = clock_now_us() + (int64_t)s->grace_s * US_PER_S;
	proc_signal(&s->host, SIGTERM);
}

/* closed: waits until the host accepts no connection. */
static void cmd_closed(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;
	enum caller_result result;
	struct caller c;

	caller_init(&c);
	do {
		result = caller_open(&c, s->address, CALLER_PORT);
		caller_close(&c);
		g_usleep(POLL_US);
	} while (result == CALLER_OK);
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
 * ended: SIGKILL when the grace time is over, as the platform does; prints how
 * the process has ended.
 */
static void cmd_ended(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct stop *s = ctx;

	if (!has_ended(s, s->grace_end_us)) {
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
	{ "start", cmd_start },	    { "load", cmd_load },
	{ "hold", cmd_hold },	    { "send", cmd_send },
	{ "answers", cmd_answers }, { "term", cmd_term },
	{ "closed", cmd_closed },   { "ended", cmd_ended },
	{ "lost", cmd_lost },	    { "feed", cmd_feed },
	{ "signal", cmd_signal },   { "storm", cmd_storm },
	{ "calls", cmd_calls },
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

/*
 * Scripted runs over the stand-ins of targets and of the store. Each script
 * starts child processes of build/standin and talks to them over raw sockets,
 * because an HTTP library hides answers that are cut off, missing or repeated.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "proc.h"
#include "script.h"

#define CHILDREN_MAX 4
#define CONNS_MAX 16
#define PORTS_MAX 16
#define NAME_LEN 32
/* Of longer bodies only the size is printed. */
#define BODY_SHOWN_BYTES 600
/* Longest wait for an answer; after it the test fails. */
#define ANSWER_MS 20000

/* Connection that the script opened under a name. */
struct conn {
	char name[NAME_LEN];
	/* -1: closed. */
	int fd;
	/* Time of the last request. */
	int64_t sent_us;
	/* Received bytes that are not printed yet. */
	struct buf in;
};

/* Port of a child: "store", "store-admin", "admin" or the ID of a target. */
struct port {
	char name[NAME_LEN];
	uint16_t port;
};

struct standin_ctx {
	struct proc children[CHILDREN_MAX];
	uint32_t child_count;
	struct port ports[PORTS_MAX];
	uint32_t port_count;
	struct conn conns[CONNS_MAX];
	uint32_t conn_count;
};

/*
 * One parsed answer. Status 0: the connection was closed before the answer was
 * complete. @body points into the connection's buffer.
 */
struct reply {
	uint32_t status;
	const char *body;
	size_t body_bytes;
	size_t total_bytes;
};

/* Path of the stand-in program. */
static char program[512];

static void *ctx_new(void)
{
	return util_alloc(1, sizeof(struct standin_ctx));
}

static void close_conn(struct conn *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	buf_free(&c->in);
}

static void ctx_free(void *ctx)
{
	struct standin_ctx *s = ctx;
	uint32_t i;

	for (i = 0; i < s->conn_count; i++)
		close_conn(&s->conns[i]);
	/* After a sanitizer report the exit status is not 0. */
	for (i = 0; i < s->child_count; i++)
		g_assert_cmpint(proc_stop(&s->children[i]), ==, 0);
	free(s);
}

static void add_port(struct standin_ctx *s, const char *name, uint16_t port)
{
	g_assert_cmpuint(s->port_count, <, PORTS_MAX);
	util_copy_str(s->ports[s->port_count].name, NAME_LEN, name);
	s->ports[s->port_count++].port = port;
}

static uint16_t port_of(const struct standin_ctx *s, const char *name)
{
	uint32_t i;

	for (i = 0; i < s->port_count; i++) {
		if (strcmp(s->ports[i].name, name) == 0)
			return s->ports[i].port;
	}
	g_error("no port named %s", name);
}

/*
 * Takes the ports from the lines "target ID PORT", "admin PORT", "ready PORT".
 */
static void read_ports(struct standin_ctx *s, const char *kind, char *text)
{
	int store = strcmp(kind, "store") == 0;
	char *save = NULL;
	char *line;
	char name[NAME_LEN];
	unsigned port;

	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		if (sscanf(line, "target %31s %u", name, &port) == 2)
			add_port(s, name, (uint16_t)port);
		else if (sscanf(line, "admin %u", &port) == 1)
			add_port(s, store ? "store-admin" : "admin",
				 (uint16_t)port);
		else if (store && sscanf(line, "ready %u", &port) == 1)
			add_port(s, "store", (uint16_t)port);
	}
}

/* start target|store [FLAG=VALUE ...]: starts a stand-in on free ports. */
static void cmd_start(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct standin_ctx *s = ctx;
	struct proc *p = &s->children[s->child_count++];
	const char *args[PROC_ARGS_MAX] = { program, argv[0],	"--admin-port",
					    "0",     "--run-s", "120" };
	char keys[SCRIPT_WORDS_MAX][NAME_LEN];
	uint32_t n = 6;
	uint32_t i;

	g_assert_cmpuint(s->child_count, <=, CHILDREN_MAX);
	for (i = 1; i < argc; i++) {
		char *value = strchr(argv[i], '=');

		g_assert_nonnull(value);
		*value = '\0';
		snprintf(keys[i], NAME_LEN, "--%s", argv[i]);
		args[n++] = keys[i];
		args[n++] = value + 1;
		g_assert_cmpuint(n, <, PROC_ARGS_MAX - 2);
	}
	g_assert_cmpint(proc_start(p, args, NULL, ANSWER_MS), ==, 0);
	read_ports(s, argv[0], p->text);
}

/* run WORD...: runs the program; prints its output, errors and exit status. */
static void cmd_run(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf command CLEANUP_BUF = { 0 };
	char line[256];
	FILE *output;
	uint32_t i;

	buf_addf(&command, "%s", program);
	for (i = 0; i < argc; i++)
		buf_addf(&command, " '%s'", argv[i]);
	buf_addf(&command, " 2>&1");
	output = popen(command.data, "r");
	g_assert_nonnull(output);
	while (fgets(line, sizeof(line), output))
		buf_addf(out, "%s", line);
	buf_addf(out, "exit %d\n", WEXITSTATUS(pclose(output)));
}

/* The connection called @name, which is added if there is none. */
static struct conn *conn_of(struct standin_ctx *s, const char *name)
{
	uint32_t i;

	for (i = 0; i < s->conn_count; i++) {
		if (strcmp(s->conns[i].name, name) == 0)
			return &s->conns[i];
	}
	g_assert_cmpuint(s->conn_count, <, CONNS_MAX);
	util_copy_str(s->conns[s->conn_count].name, NAME_LEN, name);
	s->conns[s->conn_count].fd = -1;
	return &s->conns[s->conn_count++];
}

/* Connects to @port of loopback; returns -1 if refused. */
static int connect_to(uint16_t port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons(port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* open CONN PORT-NAME: opens a connection, in place of an older CONN. */
static void cmd_open(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct conn *c = conn_of(ctx, argv[0]);

	close_conn(c);
	c->fd = connect_to(port_of(ctx, argv[1]));
	if (c->fd < 0)
		buf_addf(out, "refused\n");
}

static void cmd_close(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	close_conn(conn_of(ctx, argv[0]));
}

/* Ignores errors: a closed connection shows when the answer is received. */
static void send_bytes(struct conn *c, const char *data, size_t len_bytes)
{
	size_t sent_bytes = 0;

	c->sent_us = clock_now_us();
	while (sent_bytes < len_bytes) {
		ssize_t n = send(c->fd, data + sent_bytes,
				 len_bytes - sent_bytes, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent_bytes += (size_t)n;
	}
}

static void send_request(struct conn *c, const char *method, const char *path,
			 const char *body, int64_t count)
{
	struct buf b CLEANUP_BUF = { 0 };

	while (count-- > 0)
		buf_addf(&b,
			 "%s %s HTTP/1.1\r\nHost: standin\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 method, path, strlen(body), body);
	send_bytes(c, b.data, b.len_bytes);
}

/*
 * raw CONN TEXT: sends the bytes of TEXT, with C escapes ("\040" is a blank).
 */
static void cmd_raw(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_autofree char *text = g_strcompress(argv[1]);

	send_bytes(conn_of(ctx, argv[0]), text, strlen(text));
}

/*
 * send CONN METHOD PATH [BODY] [copies=N]: sends N equal requests in one write.
 */
static void cmd_send(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	int has_body = argc > 3 && strncmp(argv[3], "copies=", 7) != 0;

	send_request(conn_of(ctx, argv[0]), argv[1], argv[2],
		     has_body ? argv[3] : "",
		     script_int(argc, argv, "copies", 1));
}

/* Parses the answer at the start of @in; returns 0 if it is not complete. */
static int parse_reply(const struct buf *in, struct reply *r)
{
	const char *end = in->len_bytes ? strstr(in->data, "\r\n\r\n") : NULL;
	const char *length;

	if (!end)
		return 0;
	r->status = (uint32_t)strtoul(in->data + strlen("HTTP/1.1 "), NULL, 10);
	length = strstr(in->data, "Content-Length: ");
	r->body = end + 4;
	r->body_bytes = 0;
	/* An interim answer (100) has no length and no body. */
	if (length && length < end)
		r->body_bytes =
			strtoul(length + strlen("Content-Length: "), NULL, 10);
	r->total_bytes = (size_t)(r->body - in->data) + r->body_bytes;
	return in->len_bytes >= r->total_bytes;
}

/* Reads until an answer is complete or the connection is closed. */
static void receive(struct conn *c, struct reply *r)
{
	char chunk[65536];

	while (!parse_reply(&c->in, r)) {
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		ssize_t n;

		if (poll(&p, 1, ANSWER_MS) == 0)
			g_error("no answer on %s", c->name);
		n = recv(c->fd, chunk, sizeof(chunk), 0);
		if (n <= 0) {
			r->status = 0;
			return;
		}
		buf_add(&c->in, chunk, (size_t)n);
	}
}

/* Drops the answer @r from the received bytes. */
static void consume(struct conn *c, const struct reply *r)
{
	size_t left_bytes = c->in.len_bytes - r->total_bytes;

	memmove(c->in.data, c->in.data + r->total_bytes, left_bytes + 1);
	c->in.len_bytes = left_bytes;
}

static void show_reply(struct conn *c, struct buf *out)
{
	struct reply r = { 0 };

	receive(c, &r);
	if (r.status == 0) {
		buf_addf(out, "%s\n",
			 c->in.len_bytes ? "closed within the answer"
					 : "closed");
		return;
	}
	if (r.body_bytes > BODY_SHOWN_BYTES)
		buf_addf(out, "%u %zu bytes\n", r.status, r.body_bytes);
	else
		buf_addf(out, "%u %.*s\n", r.status, (int)r.body_bytes, r.body);
	consume(c, &r);
}

/*
 * recv CONN [least_ms=N]: waits for an answer and prints it, with a note if it
 * came less than N ms after the request.
 */
static void cmd_recv(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct conn *c = conn_of(ctx, argv[0]);
	int64_t least_us = script_int(argc, argv, "least_ms", 0) * US_PER_MS;

	show_reply(c, out);
	if (clock_now_us() - c->sent_us < least_us)
		buf_addf(out, "too early\n");
}

/* quiet CONN: prints whether neither an answer nor a close was received. */
static void cmd_quiet(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct conn *c = conn_of(ctx, argv[0]);
	struct pollfd p = { .fd = c->fd, .events = POLLIN };

	buf_addf(out, "%s\n",
		 c->in.len_bytes || poll(&p, 1, 0) ? "not quiet" : "quiet");
}

/*
 * call PORT-NAME METHOD PATH [BODY]: sends a request on a connection of its own
 * and prints the answer.
 */
static void cmd_call(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct conn c = { .fd = connect_to(port_of(ctx, argv[0])) };

	if (c.fd < 0) {
		buf_addf(out, "refused\n");
		return;
	}
	send_request(&c, argv[1], argv[2], argc > 3 ? argv[3] : "", 1);
	show_reply(&c, out);
	close_conn(&c);
}

static json_t *call_json(struct standin_ctx *s, const char *port,
			 const char *method, const char *path, const char *body)
{
	struct conn c = { .fd = connect_to(port_of(s, port)) };
	struct reply r = { 0 };
	json_t *json;

	g_assert_cmpint(c.fd, >=, 0);
	send_request(&c, method, path, body, 1);
	receive(&c, &r);
	json = json_loadb(r.body, r.body_bytes, 0, NULL);
	g_assert_nonnull(json);
	close_conn(&c);
	return json;
}

/*
 * fault ADMIN BODY: switches a fault on or off; prints the error if it is
 * refused.
 */
static void cmd_fault(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	json_t *json = call_json(ctx, argv[0], "POST", "/control", argv[1]);

	if (json_integer_value(json_object_get(json, "code")) != 0)
		buf_addf(out, "%s: %s\n",
			 json_string_value(json_object_get(json, "error")),
			 json_string_value(json_object_get(json, "detail")));
	json_decref(json);
}

/* wait ADMIN FIELD N [target=ID]: waits until a counter is exactly N. */
static void cmd_wait(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	char path[256];
	json_t *json;

	snprintf(path, sizeof(path),
		 "/control/wait?target=%s&field=%s&least=%s&most=%s",
		 script_arg(argc, argv, "target", ""), argv[1], argv[2],
		 argv[2]);
	json = call_json(ctx, argv[0], "GET", path, "");
	buf_addf(out, "%s %" JSON_INTEGER_FORMAT "\n", argv[1],
		 json_integer_value(json_object_get(json, "value")));
	json_decref(json);
}

/*
 * stats ADMIN TARGET FIELD ...: prints counters; TARGET "-": of the whole
 * process.
 */
static void cmd_stats(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	json_t *json = call_json(ctx, argv[0], "GET", "/control/stats", "");
	json_t *from = strcmp(argv[1], "-") == 0 ? json : NULL;
	json_t *target;
	size_t at;
	uint32_t i;

	json_array_foreach(json_object_get(json, "targets"), at, target)
	{
		const char *id =
			json_string_value(json_object_get(target, "id"));

		if (strcmp(id, argv[1]) == 0)
			from = target;
	}
	g_assert_nonnull(from);
	for (i = 2; i < argc; i++) {
		json_t *value = json_object_get(from, argv[i]);
		char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

		buf_addf(out, "%s%s=%s", i > 2 ? " " : "", argv[i],
			 text ? text : "none");
		free(text);
	}
	buf_addf(out, "\n");
	json_decref(json);
}

/* Sends a sub-request: the common fields, then @fields. */
static void send_subrequest(void *ctx, uint32_t argc, char **argv,
			    const char *path, const char *fields)
{
	char body[1024];

	snprintf(body, sizeof(body),
		 "{\"request_id\":\"%s\",\"sub_id\":%s,\"index\":\"concept\","
		 "\"shard\":\"s0\",\"snapshot\":\"%s\",\"deadline_ms\":%s,%s}",
		 argv[1], argv[2], script_arg(argc, argv, "snapshot", "s7"),
		 script_arg(argc, argv, "deadline", "60000"), fields);
	send_request(conn_of(ctx, argv[0]), "POST", path, body,
		     script_int(argc, argv, "copies", 1));
}

/*
 * search CONN REQUEST_ID SUB_ID [query=Q] [limit=N] [snapshot=S] [deadline=MS]
 * [copies=N]
 */
static void cmd_search(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	char fields[256];

	snprintf(fields, sizeof(fields), "\"query\":\"%s\",\"limit\":%s",
		 script_arg(argc, argv, "query", "heron"),
		 script_arg(argc, argv, "limit", "1"));
	send_subrequest(ctx, argc, argv, "/v1/search", fields);
}

/*
 * lookup CONN REQUEST_ID SUB_ID [record=ID] [idempotent=false] [snapshot=S]
 * [deadline=MS] [copies=N]
 */
static void cmd_lookup(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	char fields[256];

	snprintf(fields, sizeof(fields), "\"record\":\"%s\",\"idempotent\":%s",
		 script_arg(argc, argv, "record", "wo-17"),
		 script_arg(argc, argv, "idempotent", "true"));
	send_subrequest(ctx, argc, argv, "/v1/lookup", fields);
}

/* put-bytes PORT-NAME KEY N: writes a value of N bytes to the store. */
static void cmd_put_bytes(void *ctx, uint32_t argc, char **argv,
			  struct buf *out)
{
	struct conn c = { .fd = connect_to(port_of(ctx, argv[0])) };
	gsize len = (gsize)g_ascii_strtoull(argv[2], NULL, 10);
	g_autofree char *value = g_strnfill(len, 'v');
	g_autofree char *text = g_base64_encode((guchar *)value, len);
	g_autofree char *body = g_strdup_printf("{\"expect\":[],\"writes\":[{"
						"\"key\":\"%s\","
						"\"value\":\"%s\"}],\"delete\":"
						"[]}",
						argv[1], text);

	send_request(&c, "POST", "/api/kv-txn", body, 1);
	show_reply(&c, out);
	close_conn(&c);
}

static const struct script_command commands[] = {
	{ "start", cmd_start },
	{ "run", cmd_run },
	{ "raw", cmd_raw },
	{ "open", cmd_open },
	{ "close", cmd_close },
	{ "send", cmd_send },
	{ "recv", cmd_recv },
	{ "quiet", cmd_quiet },
	{ "call", cmd_call },
	{ "fault", cmd_fault },
	{ "wait", cmd_wait },
	{ "stats", cmd_stats },
	{ "search", cmd_search },
	{ "lookup", cmd_lookup },
	{ "put-bytes", cmd_put_bytes },
};

static const struct script_area area = {
	.name = "standin",
	.ctx_new = ctx_new,
	.ctx_free = ctx_free,
	.command_count = countof(commands),
	.commands = commands,
};

/*
 * The stand-in that was built with the same sanitizer is in this program's
 * folder.
 */
static void find_program(const char *self)
{
	g_autofree char *dir = g_path_get_dirname(self);

	snprintf(program, sizeof(program), "%s/standin", dir);
}

int main(int argc, char **argv)
{
	find_program(argv[0]);
	return script_main(argc, argv, &area, 1);
}

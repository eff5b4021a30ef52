/*
 * Scripted runs over the admin port: real sockets on loopback, libcurl as the
 * client, and a control duty that answers each call with a description of it.
 */
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/metric.h"
#include "duty/admin.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "script.h"

#define RING_CAPACITY 8
/* Longest wait of the client for an answer; after it the test fails. */
#define CLIENT_MS 10000L

struct admin_ctx {
	struct admin *admin;
	struct duty *control;
	/*
	 * 1: the control duty keeps its calls without an answer, as if it hung.
	 */
	_Atomic uint32_t hold;
	_Atomic uint32_t held_count;
	struct admin_call *held[RING_CAPACITY];
	/* Thread of the client whose call is held, its path and its answer. */
	GThread *client;
	char *client_path;
	struct buf client_out;
};

/* Answers @call with what it contains and frees it. */
static void answer_call(struct admin_call *call)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"method\":\"%s\",\"path\":\"%s\",\"bytes\":%zu,"
		 "\"who\":\"%s\"}",
		 call->method, call->path, call->body ? strlen(call->body) : 0,
		 call->who);
	call->reply(call->reply_ctx, 200, text);
	admin_call_free(call);
}

/* Runs in the control duty. */
static void on_call(void *ctx, int64_t now_us, struct msg *m)
{
	struct admin_ctx *c = ctx;

	if (!c->hold) {
		answer_call(m->body);
		return;
	}
	c->held[c->held_count] = m->body;
	c->held_count++;
}

static void *admin_ctx_new(void)
{
	struct admin_ctx *c = util_alloc(1, sizeof(*c));
	struct err err = { 0 };

	c->control = duty_new("control", RING_CAPACITY, NULL, NULL, &err);
	g_assert_nonnull(c->control);
	g_assert_cmpint(duty_start(c->control, on_call, c, &err), ==, ERR_OK);
	return c;
}

static void admin_ctx_free(void *ctx)
{
	struct admin_ctx *c = ctx;

	duty_stop(c->control);
	duty_join(c->control);
	admin_free(c->admin);
	duty_free(c->control);
	free(c);
}

/* Callback of libcurl: adds a part of the body. */
static size_t take(char *data, size_t size, size_t count, void *ctx)
{
	buf_add(ctx, data, count);
	return count;
}

/* Sends a request; returns the HTTP status, 0 without an answer. */
static long request(uint16_t port, const char *method, const char *path,
		    const char *body, struct curl_slist *headers,
		    struct buf *out)
{
	CURL *curl = curl_easy_init();
	long status = 0;
	char url[256];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", port, path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CLIENT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, out);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	return status;
}

/* start [address=A] [token=T]: opens the admin port; prints the error. */
static void cmd_start(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_options options = { 0 };
	struct admin_ctx *c = ctx;
	struct err err = { 0 };

	util_copy_str(options.address, sizeof(options.address),
		      script_arg(argc, argv, "address", "127.0.0.1"));
	util_copy_str(options.token, sizeof(options.token),
		      script_arg(argc, argv, "token", ""));
	options.control = duty_ring(c->control);
	c->admin = admin_new(&options, &err);
	buf_addf(out, "%s %s\n", err_name(err.code), err.detail);
}

/*
 * ask METHOD PATH [token=T] [operator=NAME] [size=BYTES]: sends a request with
 * a body of BYTES; prints the answer, of /metrics the first line.
 */
static void cmd_ask(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;
	const char *token = script_arg(argc, argv, "token", NULL);
	const char *who = script_arg(argc, argv, "operator", NULL);
	int64_t size = script_int(argc, argv, "size", -1);
	struct buf body CLEANUP_BUF = { 0 };
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	g_autofree char *data = NULL;
	g_autofree char *line = NULL;
	g_autofree char *name = NULL;
	long status;

	if (token) {
		line = g_strdup_printf("Authorization: Bearer %s", token);
		headers = curl_slist_append(headers, line);
	}
	if (who) {
		name = g_strdup_printf("X-Operator: %s", who);
		headers = curl_slist_append(headers, name);
	}
	if (size >= 0)
		data = g_strnfill((gsize)size, 'x');
	status = request(admin_port(c->admin), argv[0], argv[1], data, headers,
			 &body);
	curl_slist_free_all(headers);
	if (strcmp(argv[1], "/metrics") == 0 && status == 200)
		buf_addf(out, "%ld %.*s\n", status,
			 (int)strcspn(body.data, "\n"), body.data);
	else
		buf_addf(out, "%ld %s\n", status, body.data ? body.data : "");
}

/* health [code=N]: sets the health that /healthz tells to error code N. */
static void cmd_health(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;

	admin_set_health(c->admin,
			 (enum err_code)script_int(argc, argv, "code", ERR_OK));
}

/* out [on=1]: the host is out of service (1) or in service (0). */
static void cmd_out(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;

	admin_set_out_of_service(c->admin,
				 (uint32_t)script_int(argc, argv, "on", 1));
}

static void *client_main(void *ctx)
{
	struct admin_ctx *c = ctx;
	struct buf body CLEANUP_BUF = { 0 };
	long status = request(admin_port(c->admin), "GET", c->client_path, NULL,
			      NULL, &body);

	buf_addf(&c->client_out, "%ld %s\n", status,
		 body.data ? body.data : "");
	return NULL;
}

/*
 * hold PATH: sends a request in a thread of its own; returns when the control
 * duty has the call, which it does not answer yet.
 */
static void cmd_hold(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;

	c->hold = 1;
	c->client_path = g_strdup(argv[0]);
	c->client = g_thread_new("client", client_main, c);
	while (c->held_count == 0)
		g_usleep(1000);
	c->hold = 0;
}

/* Waits for the client of the held call and prints its answer. */
static void end_client(struct admin_ctx *c, struct buf *out)
{
	g_thread_join(c->client);
	buf_add(out, c->client_out.data, c->client_out.len_bytes);
	buf_free(&c->client_out);
	g_free(c->client_path);
}

/* release: the control duty answers the held call. */
static void cmd_release(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;

	answer_call(c->held[0]);
	c->held_count = 0;
	end_client(c, out);
}

/*
 * stop: closes the admin port; the control duty answers a held call only
 * afterwards.
 */
static void cmd_stop(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;

	admin_free(c->admin);
	c->admin = NULL;
	if (c->held_count) {
		end_client(c, out);
		answer_call(c->held[0]);
		c->held_count = 0;
	}
}

/* stop_control: stops the control duty; the admin port refuses later calls. */
static void cmd_stop_control(void *ctx, uint32_t argc, char **argv,
			     struct buf *out)
{
	struct admin_ctx *c = ctx;

	duty_stop(c->control);
	duty_join(c->control);
}

static const struct script_command commands[] = {
	{ "start", cmd_start },
	{ "ask", cmd_ask },
	{ "health", cmd_health },
	{ "hold", cmd_hold },
	{ "release", cmd_release },
	{ "stop", cmd_stop },
	{ "stop_control", cmd_stop_control },
	{ "out", cmd_out },
};

static const struct script_area area = {
	.name = "admin",
	.ctx_new = admin_ctx_new,
	.ctx_free = admin_ctx_free,
	.command_count = countof(commands),
	.commands = commands,
};

int main(int argc, char **argv)
{
	return script_main(argc, argv, &area, 1);
}

/*
 * Scripted runs over the admin port (area admin): real sockets on loopback,
 * libcurl as the client, and a control duty that repeats what it was asked.
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
/* Bounds a client whose answer never comes, which is a failure. */
#define CLIENT_MS 10000L

struct admin_ctx {
	struct admin *admin;
	struct duty *control;
	/* Keeps its calls when set, as a control duty that hangs does. */
	_Atomic uint32_t hold;
	_Atomic uint32_t held_count;
	struct admin_call *held[RING_CAPACITY];
	/* Client in a thread of its own, for a call that is held. */
	GThread *client;
	char *client_path;
	struct buf client_out;
};

static void repeat(struct admin_call *call)
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

static void on_call(void *ctx, int64_t now_us, struct msg *m)
{
	struct admin_ctx *c = ctx;

	if (!c->hold) {
		repeat(m->body);
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

static size_t take(char *data, size_t size, size_t count, void *ctx)
{
	buf_add(ctx, data, count);
	return count;
}

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

static void cmd_start(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_options o = { 0 };
	struct admin_ctx *c = ctx;
	struct err err = { 0 };

	util_copy_str(o.address, sizeof(o.address),
		      script_arg(argc, argv, "address", "127.0.0.1"));
	util_copy_str(o.token, sizeof(o.token),
		      script_arg(argc, argv, "token", ""));
	o.control = duty_ring(c->control);
	c->admin = admin_new(&o, &err);
	buf_addf(out, "%s %s\n", err_name(err.code), err.detail);
}

/* ask METHOD PATH [token=T] [operator=NAME] [size=BYTES] */
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

static void cmd_health(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;

	admin_set_health(c->admin,
			 (enum err_code)script_int(argc, argv, "code", ERR_OK));
}

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

/* hold PATH: asks in the background and returns when control has the call. */
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

static void end_client(struct admin_ctx *c, struct buf *out)
{
	g_thread_join(c->client);
	buf_add(out, c->client_out.data, c->client_out.len_bytes);
	buf_free(&c->client_out);
	g_free(c->client_path);
}

/* release: control answers the held call. */
static void cmd_release(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;

	repeat(c->held[0]);
	c->held_count = 0;
	end_client(c, out);
}

/* stop: the port closes with the call held; control answers afterwards. */
static void cmd_stop(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct admin_ctx *c = ctx;

	admin_free(c->admin);
	c->admin = NULL;
	if (c->held_count) {
		end_client(c, out);
		repeat(c->held[0]);
		c->held_count = 0;
	}
}

/* stop_control: calls that come later are refused. */
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

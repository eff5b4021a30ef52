#include "duty/admin.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/addr.h"
#include "base/metric.h"
#include "codec/admin_json.h"
#include "duty/admin_reply.h"
#include "duty/messages.h"

#define API_PREFIX "/admin/v1/"
#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4; charset=utf-8"
/*
 * Room for operators and one scraper of /metrics; libmicrohttpd refuses further
 * connections.
 */
#define CONNECTIONS_MAX 64
/* The connection of a client that sends nothing for this long is closed. */
#define IDLE_TIMEOUT_S 30
/* Longest wait of admin_free() for clients that still send or read. */
#define LAST_ANSWERS_TIMEOUT_S 2

struct admin {
	struct admin_options options;
	struct MHD_Daemon *daemon;
	uint16_t port;
	/* enum err_code that /healthz answers; see admin_set_health(). */
	_Atomic uint32_t health;
	/* See admin_set_out_of_service(). */
	_Atomic uint32_t is_out;
	/* Guards requests and stopping. */
	pthread_mutex_t lock;
	/* Signalled when requests becomes empty. */
	pthread_cond_t none_open;
	/* List of the requests that have not ended. */
	struct admin_request *requests;
	/* 1 once admin_free() has begun: no call starts any more. */
	uint32_t stopping;
};

/* One request of a client, from its header to its end. */
struct admin_request {
	struct admin *admin;
	struct MHD_Connection *connection;
	struct admin_request *next;
	struct buf body;
	/* 1: the body exceeds ADMIN_BODY_BYTES_MAX. */
	uint32_t too_large;
	/*
	 * Gets the reply to the call; NULL until the connection is suspended
	 * for it.
	 */
	struct admin_reply *reply;
};

static enum MHD_Result answer(struct MHD_Connection *c, uint32_t status,
			      const char *type, const char *text)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	result = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return result;
}

static enum MHD_Result answer_error(struct MHD_Connection *c,
				    const struct err *err)
{
	char *json CLEANUP_FREE = admin_json_error(err);

	return answer(c, err_http_status(err->code), JSON_TYPE, json);
}

/* Compares in a time that does not depend on where the texts differ. */
static int token_equal(const char *a, const char *b)
{
	size_t len = strlen(a);
	size_t len_b = strlen(b);
	unsigned char difference = len != len_b;
	size_t i;

	for (i = 0; i < len; i++)
		difference |= (unsigned char)a[i] ^
			      (unsigned char)b[len_b ? i % len_b : 0];
	return difference == 0;
}

static int authorized(const struct admin *a, struct MHD_Connection *c)
{
	const char *given = MHD_lookup_connection_value(
		c, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
	char expected[ADMIN_TOKEN_BYTES + 8];

	if (!a->options.token[0])
		return 1;
	snprintf(expected, sizeof(expected), "Bearer %s", a->options.token);
	return given && token_equal(given, expected);
}

static enum MHD_Result answer_health(struct admin *a, struct MHD_Connection *c)
{
	struct err err = { .code = (enum err_code)a->health };
	char *json CLEANUP_FREE = NULL;

	util_copy_str(err.detail, sizeof(err.detail), err_text(err.code));
	if (a->is_out && err.code == ERR_OK)
		err_set(&err, ERR_STOPPING,
			"taken out of service by an operator");
	json = admin_json_error(&err);
	return answer(c, err.code == ERR_OK ? 200 : 503, JSON_TYPE, json);
}

static enum MHD_Result answer_metrics(struct MHD_Connection *c)
{
	struct buf text CLEANUP_BUF = { 0 };

	metric_write(&text);
	return answer(c, 200, METRICS_TYPE, text.data);
}

/*
 * Writes NAME@ADDRESS: the name in X-Operator, "unnamed" if it is missing or
 * not valid, and the client's address. No control character gets through.
 */
static void describe_client(struct MHD_Connection *c, char *out,
			    size_t size_bytes)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const char *name =
		MHD_lookup_connection_value(c, MHD_HEADER_KIND, "X-Operator");
	const struct sockaddr *sa = info ? info->client_addr : NULL;
	char address[ADDRESS_BYTES] = "?";

	if (sa && sa->sa_family == AF_INET)
		inet_ntop(AF_INET, &((const struct sockaddr_in *)sa)->sin_addr,
			  address, sizeof(address));
	else if (sa && sa->sa_family == AF_INET6)
		inet_ntop(AF_INET6,
			  &((const struct sockaddr_in6 *)sa)->sin6_addr,
			  address, sizeof(address));
	if (!util_name_ok(name, NAME_BYTES - 1))
		name = "unnamed";
	snprintf(out, size_bytes, "%s@%s", name, address);
}

static enum MHD_Result collect_query(void *cls, enum MHD_ValueKind kind,
				     const char *key, const char *value)
{
	struct buf *path = cls;

	buf_addf(path, "%c%s=%s", strchr(path->data, '?') ? '&' : '?', key,
		 value ? value : "");
	return MHD_YES;
}

static void wake_connection(void *ctx)
{
	MHD_resume_connection(ctx);
}

/*
 * Replies to a call that is dropped unread because the control duty has
 * stopped.
 */
static void drop_call(void *body)
{
	struct admin_call *call = body;
	struct err err = { 0 };
	char *json CLEANUP_FREE = NULL;

	err_set(&err, ERR_STOPPING, "this host is shutting down");
	json = admin_json_error(&err);
	call->reply(call->reply_ctx, err_http_status(err.code), json);
	admin_call_free(call);
}

/* NULL with @err set when the call is refused. */
static struct admin_call *new_call(struct admin_request *r, const char *method,
				   const char *url, struct err *err)
{
	struct buf path CLEANUP_BUF = { 0 };
	struct admin_call *call;

	if (strlen(method) >= sizeof(call->method)) {
		err_set(err, ERR_METHOD,
			"method %.16s, accepted GET PUT POST DELETE", method);
		return NULL;
	}
	buf_addf(&path, "%s", url + strlen(API_PREFIX));
	MHD_get_connection_values(r->connection, MHD_GET_ARGUMENT_KIND,
				  collect_query, &path);
	if (path.len_bytes >= sizeof(call->path)) {
		err_set(err, ERR_NOT_FOUND,
			"path is too long, accepted up to %zu bytes",
			sizeof(call->path) - 1);
		return NULL;
	}
	call = util_alloc(1, sizeof(*call));
	util_copy_str(call->method, sizeof(call->method), method);
	util_copy_str(call->path, sizeof(call->path), path.data);
	describe_client(r->connection, call->who, sizeof(call->who));
	if (r->body.data)
		call->body = util_strdup(r->body.data);
	return call;
}

/*
 * Suspends the connection until the reply and returns 1, or returns 0 once
 * admin_free() has begun. The lock is held, so that cancel_calls() finds the
 * connection either suspended and with a reply object, or neither.
 */
static int suspend_request(struct admin_request *r)
{
	struct admin *a = r->admin;
	int suspended;

	pthread_mutex_lock(&a->lock);
	suspended = !a->stopping;
	if (suspended) {
		MHD_suspend_connection(r->connection);
		r->reply = admin_reply_new(wake_connection, r->connection);
	}
	pthread_mutex_unlock(&a->lock);
	return suspended;
}

/* Suspends the connection and hands the call to the control duty. */
static enum MHD_Result start_call(struct admin_request *r, const char *method,
				  const char *url)
{
	struct admin_call *call;
	struct msg m = { .type = MSG_ADMIN_CALL, .drop = drop_call };
	char *json CLEANUP_FREE = NULL;
	struct err err = { 0 };
	enum err_code code;

	call = new_call(r, method, url, &err);
	if (!call)
		return answer_error(r->connection, &err);
	if (!suspend_request(r)) {
		admin_call_free(call);
		err_set(&err, ERR_STOPPING, "this host is shutting down");
		return answer_error(r->connection, &err);
	}
	call->reply = admin_reply_set;
	call->reply_ctx = r->reply;
	m.body = call;
	code = ring_push(r->admin->options.control, &m);
	if (code != ERR_OK) {
		err_set(&err, code, "control takes no more calls now");
		json = admin_json_error(&err);
		admin_reply_set(r->reply, err_http_status(code), json);
		admin_call_free(call);
	}
	return MHD_YES;
}

static enum MHD_Result finish_call(struct admin_request *r)
{
	const char *json;
	uint32_t status;

	/*
	 * Only a stop of libmicrohttpd resumes a connection without a reply.
	 */
	if (!admin_reply_get(r->reply, &status, &json))
		return MHD_NO;
	return answer(r->connection, status, JSON_TYPE, json);
}

static enum MHD_Result route(struct admin_request *r, const char *method,
			     const char *url)
{
	struct admin *a = r->admin;
	struct err err = { 0 };
	int is_get = strcmp(method, "GET") == 0;
	int is_page = strcmp(url, "/healthz") == 0 ||
		      strcmp(url, "/metrics") == 0;

	if (is_page && !is_get)
		err_set(&err, ERR_METHOD, "method %.16s, accepted GET", method);
	else if (strcmp(url, "/healthz") == 0)
		return answer_health(a, r->connection);
	else if (!authorized(a, r->connection))
		err_set(&err, ERR_AUTH,
			"the header 'Authorization: Bearer TOKEN' is missing "
			"or has another token");
	else if (r->too_large)
		err_set(&err, ERR_TOO_LARGE, "body exceeds %d bytes",
			ADMIN_BODY_BYTES_MAX);
	else if (is_page)
		return answer_metrics(r->connection);
	else if (strncmp(url, API_PREFIX, strlen(API_PREFIX)) == 0)
		return start_call(r, method, url);
	else
		err_set(&err, ERR_NOT_FOUND,
			"no such page, accepted /metrics, /healthz and "
			"/admin/v1/");
	return answer_error(r->connection, &err);
}

static struct admin_request *request_new(struct admin *a,
					 struct MHD_Connection *c)
{
	struct admin_request *r = util_alloc(1, sizeof(*r));

	r->admin = a;
	r->connection = c;
	pthread_mutex_lock(&a->lock);
	r->next = a->requests;
	a->requests = r;
	pthread_mutex_unlock(&a->lock);
	return r;
}

static void take_body(struct admin_request *r, const char *data, size_t bytes)
{
	/*
	 * The rest of the body is read and dropped, so that the client gets the
	 * answer.
	 */
	if (r->body.len_bytes + bytes > ADMIN_BODY_BYTES_MAX)
		r->too_large = 1;
	if (!r->too_large)
		buf_add(&r->body, data, bytes);
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *c,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *bytes, void **state)
{
	struct admin_request *r = *state;

	if (!r) {
		*state = request_new(cls, c);
		return MHD_YES;
	}
	if (*bytes) {
		take_body(r, data, *bytes);
		*bytes = 0;
		return MHD_YES;
	}
	if (r->reply)
		return finish_call(r);
	return route(r, method, url);
}

static void on_completed(void *cls, struct MHD_Connection *c, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct admin *a = cls;
	struct admin_request *r = *state;
	struct admin_request **link;

	if (!r)
		return;
	pthread_mutex_lock(&a->lock);
	for (link = &a->requests; *link && *link != r; link = &(*link)->next)
		;
	if (*link)
		*link = r->next;
	if (!a->requests)
		pthread_cond_signal(&a->none_open);
	pthread_mutex_unlock(&a->lock);
	if (r->reply)
		admin_reply_unref(r->reply);
	buf_free(&r->body);
	free(r);
	*state = NULL;
}

static int is_loopback(const struct sockaddr_storage *s)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)s;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)s;

	if (s->ss_family == AF_INET)
		return ntohl(v4->sin_addr.s_addr) >> 24 == 127;
	return IN6_IS_ADDR_LOOPBACK(&v6->sin6_addr);
}

static enum err_code parse_address(const struct admin_options *options,
				   struct sockaddr_storage *out,
				   struct err *err)
{
	if (!addr_parse(options->address, options->port, out))
		return err_set(err, ERR_SETTING,
			       "admin address is '%s', accepted an IP number",
			       options->address);
	if (!is_loopback(out) && !options->token[0])
		return err_set(err, ERR_SETTING,
			       "admin address is %s, accepted without a token: "
			       "a loopback address",
			       options->address);
	return ERR_OK;
}

static enum err_code start_daemon(struct admin *a,
				  const struct sockaddr_storage *address,
				  struct err *err)
{
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			     MHD_ALLOW_SUSPEND_RESUME;
	const union MHD_DaemonInfo *info;

	if (address->ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	a->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, on_access, a, MHD_OPTION_SOCK_ADDR,
		address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, a,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_END);
	if (!a->daemon)
		return err_set(err, ERR_IO,
			       "cannot listen on admin address %s port %u",
			       a->options.address, a->options.port);
	info = MHD_get_daemon_info(a->daemon, MHD_DAEMON_INFO_BIND_PORT);
	a->port = info ? info->port : a->options.port;
	return ERR_OK;
}

static void locks_init(struct admin *a)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&a->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&a->none_open, &attr);
	pthread_condattr_destroy(&attr);
}

static void destroy(struct admin *a)
{
	pthread_cond_destroy(&a->none_open);
	pthread_mutex_destroy(&a->lock);
	free(a);
}

struct admin *admin_new(const struct admin_options *options, struct err *err)
{
	struct sockaddr_storage address;
	struct admin *a;

	if (parse_address(options, &address, err) != ERR_OK)
		return NULL;
	a = util_alloc(1, sizeof(*a));
	a->options = *options;
	a->health = ERR_NO_CONFIG;
	locks_init(a);
	if (start_daemon(a, &address, err) == ERR_OK)
		return a;
	destroy(a);
	return NULL;
}

/*
 * Replies ERR_STOPPING to all calls that have no reply yet, and lets no new
 * call start, because libmicrohttpd can only stop after suspended connections
 * were resumed.
 */
static void cancel_calls(struct admin *a)
{
	struct err err = { 0 };
	char *json CLEANUP_FREE = NULL;
	struct admin_request *r;

	err_set(&err, ERR_STOPPING, "this host is shutting down");
	json = admin_json_error(&err);
	pthread_mutex_lock(&a->lock);
	a->stopping = 1;
	for (r = a->requests; r; r = r->next) {
		if (r->reply)
			admin_reply_try_set(r->reply, err_http_status(err.code),
					    json);
	}
	pthread_mutex_unlock(&a->lock);
}

/* Waits up to LAST_ANSWERS_TIMEOUT_S until all requests have ended. */
static void wait_answers(struct admin *a)
{
	struct timespec until;
	int result = 0;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += LAST_ANSWERS_TIMEOUT_S;
	pthread_mutex_lock(&a->lock);
	while (a->requests && result == 0)
		result =
			pthread_cond_timedwait(&a->none_open, &a->lock, &until);
	pthread_mutex_unlock(&a->lock);
}

void admin_free(struct admin *a)
{
	if (!a)
		return;
	MHD_quiesce_daemon(a->daemon);
	cancel_calls(a);
	wait_answers(a);
	MHD_stop_daemon(a->daemon);
	destroy(a);
}

uint16_t admin_port(const struct admin *a)
{
	return a->port;
}

void admin_set_health(struct admin *a, enum err_code code)
{
	a->health = (uint32_t)code;
}

void admin_set_out_of_service(struct admin *a, uint32_t is_out)
{
	a->is_out = is_out;
}

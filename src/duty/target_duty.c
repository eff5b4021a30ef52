#include "duty/target_duty.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/curl_head.h"
#include "base/metric.h"
#include "codec/target_json.h"
#include "decide/merge.h"
#include "duty/duty.h"
#include "duty/messages.h"

/*
 * Time from the receipt of a cancellation in which the cancelled transfer has
 * to end; after that its connection counts as dead and is closed.
 */
#define CANCEL_GRACE_US (50 * US_PER_MS)
/*
 * Timeout of the HTTP request that carries a cancellation. Sending it is best
 * effort and must not hold a connection for long.
 */
#define CANCEL_TIMEOUT_MS 50
/*
 * A connection idle for longer is not used again: a middlebox may have dropped
 * it.
 */
#define IDLE_MAX_S 10L
/*
 * libcurl compares the age of a connection in whole seconds, so that a limit
 * below this age could admit an older connection.
 */
#define LIFETIME_MIN_US (3 * (int64_t)US_PER_S)
#define POLL_MAX_MS 1000
/*
 * Idle connections that libcurl keeps; enough for all connections that this
 * host may have to its targets.
 */
#define CONNECTIONS_MAX 16384L
/*
 * Bytes of unfinished answers on all connections together. Beyond that the
 * sub-request with the longest one fails, so that targets which send without
 * end do not use up the memory of the host.
 */
#define BUFFERED_BYTES_MAX (32 * 1048576)
/* libcurl easy handles kept for reuse. */
#define IDLE_HANDLES_MAX 256

/* Address and port of a target. */
struct origin {
	/* Transfers in progress, each on a connection of its own. */
	uint32_t open;
	/*
	 * struct subrequest_msg that wait for a connection, cancellations
	 * first.
	 */
	GQueue waiting;
	/* Time when a reused connection last turned out silent; 0: never. */
	int64_t silent_us;
	/* Open sockets, those of libcurl's idle connections included. */
	uint32_t socket_count;
};

/* One sub-request or cancellation on a connection. */
struct transfer {
	struct target_duty *duty;
	struct subrequest_msg *sub;
	struct origin *origin;
	CURL *easy;
	char *request_body;
	size_t request_bytes;
	/* Connections on which libcurl has begun to send the request. */
	uint32_t send_count;
	struct curl_head head;
	/* Body of the answer. */
	struct buf body;
	/* 1: TARGET_JSON_BODY_BYTES_MAX or BUFFERED_BYTES_MAX was exceeded. */
	int too_large;
	/* Closes the connection CANCEL_GRACE_US after a cancellation. */
	struct timer_entry grace_timer;
};

struct target_duty {
	struct duty *duty;
	struct ring *results;
	CURLM *multi;
	/* Headers of every request. */
	struct curl_slist *headers;
	/* sub_id to struct transfer, without those of cancellations. */
	GHashTable *open;
	/* "address port" to struct origin. */
	GHashTable *origins;
	/* Easy handles for reuse. */
	GPtrArray *idle;
	/* Bytes of the unfinished answers of all transfers. */
	size_t buffered_bytes;
};

static void wake(void *ctx)
{
	struct target_duty *t = ctx;

	curl_multi_wakeup(t->multi);
}

static void free_origin(gpointer data)
{
	struct origin *o = data;

	g_queue_clear_full(&o->waiting, (GDestroyNotify)subrequest_msg_free);
	free(o);
}

static void free_easy(gpointer data)
{
	curl_easy_cleanup(data);
}

struct target_duty *target_duty_new(uint32_t capacity, struct ring *results,
				    struct err *err)
{
	struct target_duty *t = util_alloc(1, sizeof(*t));

	t->multi = curl_multi_init();
	/*
	 * By default libcurl keeps four connections per transfer in progress,
	 * so connections to many targets would push each other out.
	 */
	curl_multi_setopt(t->multi, CURLMOPT_MAXCONNECTS, CONNECTIONS_MAX);
	t->duty = duty_new("target", capacity, wake, t, err);
	if (!t->duty) {
		curl_multi_cleanup(t->multi);
		free(t);
		return NULL;
	}
	t->results = results;
	t->headers = curl_slist_append(NULL, "Content-Type: application/json");
	/*
	 * Without this header libcurl waits for "100 Continue" on large bodies.
	 */
	t->headers = curl_slist_append(t->headers, "Expect:");
	t->open = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->origins = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_origin);
	t->idle = g_ptr_array_new_with_free_func(free_easy);
	return t;
}

struct ring *target_duty_ring(struct target_duty *t)
{
	return duty_ring(t->duty);
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *x = ctx;

	/* The answer to a cancellation is not used. */
	if (x->sub->is_cancel)
		return size * count;
	if (x->body.len_bytes + size * count > TARGET_JSON_BODY_BYTES_MAX) {
		x->too_large = 1;
		return 0;
	}
	buf_add(&x->body, data, size * count);
	x->duty->buffered_bytes += size * count;
	return size * count;
}

/*
 * Runs when a connection is there and nothing was sent on it yet. libcurl sends
 * a request again by itself when a reused connection ends without an answer,
 * although the target may have run it; a request that must not run twice is
 * aborted instead.
 */
static int on_send(void *ctx, char *to, char *from, int to_port, int from_port)
{
	struct transfer *x = ctx;

	x->send_count++;
	if (x->send_count > 1 && !x->sub->is_cancel && !x->sub->is_idempotent)
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

static CURL *take_easy(struct target_duty *t)
{
	if (t->idle->len)
		return g_ptr_array_steal_index_fast(t->idle, t->idle->len - 1);
	return curl_easy_init();
}

static void free_transfer(struct transfer *x)
{
	struct target_duty *t = x->duty;

	timer_queue_cancel(duty_timers(t->duty), &x->grace_timer);
	x->origin->open--;
	t->buffered_bytes -= x->body.len_bytes;
	if (!x->sub->is_cancel)
		g_hash_table_remove(t->open, &x->sub->sub_id);
	curl_multi_remove_handle(t->multi, x->easy);
	if (t->idle->len < IDLE_HANDLES_MAX) {
		curl_easy_reset(x->easy);
		g_ptr_array_add(t->idle, x->easy);
	} else {
		curl_easy_cleanup(x->easy);
	}
	subrequest_msg_free(x->sub);
	free(x->request_body);
	buf_free(&x->body);
	free(x);
}

static void push_result(struct target_duty *t, struct subrequest_result *r)
{
	struct msg m = { MSG_SUBREQUEST_RESULT, r, NULL };

	/* The ring has room for every sub-request in flight; see serve.c. */
	if (ring_push(t->results, &m) != ERR_OK)
		subrequest_result_free(r);
}

/*
 * 1 when no byte of the request can have reached the target. The result of the
 * transfer alone does not tell: it may be that of a second connection.
 */
static int surely_not_sent(const struct transfer *x)
{
	long sent_bytes = 0;

	if (x->send_count != 1)
		return x->send_count == 0;
	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	return sent_bytes == 0;
}

static enum err_code error_code(CURLcode code, const struct transfer *x)
{
	if (x->too_large)
		return ERR_TARGET_SIZE;
	switch (code) {
	case CURLE_OPERATION_TIMEDOUT:
		return ERR_TARGET_TIMEOUT;
	case CURLE_COULDNT_CONNECT:
		/* The connection on which it was sent has ended before. */
		return x->send_count ? ERR_TARGET_CLOSED : ERR_TARGET_CONNECT;
	default:
		return ERR_TARGET_CLOSED;
	}
}

/* Time from sending to the whole answer, without connecting. */
static int64_t service_us(CURL *easy)
{
	curl_off_t total_us = 0;
	curl_off_t pre_us = 0;

	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &total_us);
	curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pre_us);
	return (int64_t)(total_us - pre_us);
}

static void start_waiting(struct target_duty *t, struct origin *o);

static void finish_transfer(struct transfer *x, CURLcode code)
{
	struct target_duty *t = x->duty;
	struct origin *origin = x->origin;
	struct subrequest_result *r;
	long status = 0;
	long connects = 0;

	curl_easy_getinfo(x->easy, CURLINFO_NUM_CONNECTS, &connects);
	metric_add(METRIC_TARGET_CONNECTS, (uint64_t)connects);
	if (code == CURLE_OPERATION_TIMEDOUT && !connects)
		origin->silent_us = clock_now_us();
	if (x->sub->is_cancel) {
		free_transfer(x);
		start_waiting(t, origin);
		return;
	}
	code = curl_head_result(&x->head, code);
	r = util_alloc(1, sizeof(*r));
	r->sub_id = x->sub->sub_id;
	r->new_connection = connects > 0;
	r->service_us = service_us(x->easy);
	if (code == CURLE_OK) {
		curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
		target_json_decode(r, (uint32_t)status, x->body.data,
				   x->body.len_bytes);
		if (r->code != ERR_OK)
			merge_check_error(r->sub_id, r);
		/* The target may have run the request that was sent before. */
		if (x->send_count > 1)
			r->not_run = 0;
	} else {
		r->code = error_code(code, x);
		r->not_run = surely_not_sent(x);
	}
	free_transfer(x);
	push_result(t, r);
	start_waiting(t, origin);
}

static uint32_t ms_left(const struct subrequest_msg *sub, int64_t now_us)
{
	int64_t left_us = sub->deadline_us - now_us;

	if (sub->is_cancel)
		return CANCEL_TIMEOUT_MS;
	return (uint32_t)util_max_i64(1, left_us / US_PER_MS);
}

static void set_body(struct transfer *x)
{
	CURL *easy = x->easy;

	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)x->request_bytes);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, x->request_body);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, x);
}

static curl_socket_t open_socket(void *ctx, curlsocktype purpose,
				 struct curl_sockaddr *address)
{
	struct origin *o = ctx;
	int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
			address->protocol);

	if (fd < 0)
		return CURL_SOCKET_BAD;
	o->socket_count++;
	return fd;
}

static int close_socket(void *ctx, curl_socket_t fd)
{
	struct origin *o = ctx;

	o->socket_count--;
	return close(fd);
}

static void count_sockets(const struct transfer *x)
{
	curl_easy_setopt(x->easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(x->easy, CURLOPT_OPENSOCKETDATA, x->origin);
	curl_easy_setopt(x->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(x->easy, CURLOPT_CLOSESOCKETDATA, x->origin);
}

/*
 * Keeps the transfer off connections that were open when one of them turned
 * silent, and off those that were idle for too long. Until the age of a
 * connection shows which they are, each transfer has one of its own, which is
 * closed after it. libcurl keeps the idle ones meanwhile, so that this is done
 * only as long as the limit allows one more.
 */
static void limit_connection_age(const struct transfer *x)
{
	int64_t silent_us =
		util_max_i64(x->origin->silent_us, x->sub->silent_us);
	int64_t age_us = clock_now_us() - silent_us;
	int has_room = x->origin->socket_count < x->sub->connection_limit;

	curl_easy_setopt(x->easy, CURLOPT_MAXAGE_CONN, IDLE_MAX_S);
	if (x->sub->needs_new_connection && has_room)
		curl_easy_setopt(x->easy, CURLOPT_FRESH_CONNECT, 1L);
	if (!silent_us)
		return;
	if (age_us < LIFETIME_MIN_US) {
		if (!has_room)
			return;
		curl_easy_setopt(x->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(x->easy, CURLOPT_FORBID_REUSE, 1L);
	} else if (age_us < 2 * IDLE_MAX_S * US_PER_S) {
		curl_easy_setopt(x->easy, CURLOPT_MAXLIFETIME_CONN,
				 (long)(age_us / US_PER_S) - 1);
	}
}

static void set_options(struct transfer *x, uint32_t timeout_ms)
{
	CURL *easy = x->easy;
	char url[128];
	int is_v6 = strchr(x->sub->address, ':') != NULL;

	snprintf(url, sizeof(url),
		 is_v6 ? "http://[%s]:%u%s" : "http://%s:%u%s", x->sub->address,
		 x->sub->port, target_json_path(x->sub));
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, x->duty->headers);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	count_sockets(x);
	limit_connection_age(x);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, x);
	curl_head_watch(&x->head, easy);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, x);
	set_body(x);
}

static void grace_over(void *ctx, int64_t now_us)
{
	struct transfer *x = ctx;

	metric_add(METRIC_SILENT_CONNECTIONS, 1);
	finish_transfer(x, CURLE_OPERATION_TIMEDOUT);
}

static struct origin *find_origin(struct target_duty *t,
				  const struct subrequest_msg *sub)
{
	g_autofree char *key =
		g_strdup_printf("%s %u", sub->address, sub->port);
	struct origin *o = g_hash_table_lookup(t->origins, key);

	if (!o) {
		o = util_alloc(1, sizeof(*o));
		g_hash_table_insert(t->origins, g_steal_pointer(&key), o);
	}
	return o;
}

static void start_transfer(struct target_duty *t, struct subrequest_msg *sub,
			   struct origin *origin, int64_t now_us)
{
	struct transfer *x = util_alloc(1, sizeof(*x));
	uint32_t timeout_ms = ms_left(sub, now_us);

	x->duty = t;
	x->sub = sub;
	x->origin = origin;
	origin->open++;
	x->easy = take_easy(t);
	x->request_body = target_json_encode(sub, timeout_ms);
	x->request_bytes = strlen(x->request_body);
	set_options(x, timeout_ms);
	if (!sub->is_cancel)
		g_hash_table_insert(t->open, &x->sub->sub_id, x);
	if (curl_multi_add_handle(t->multi, x->easy) != CURLM_OK)
		finish_transfer(x, CURLE_COULDNT_CONNECT);
}

/*
 * Frees @sub, a sub-request that was not sent, and pushes its result with
 * @code.
 */
static void end_unsent(struct target_duty *t, struct subrequest_msg *sub,
		       enum err_code code)
{
	struct subrequest_result *r = util_alloc(1, sizeof(*r));

	r->sub_id = sub->sub_id;
	r->code = code;
	r->not_run = 1;
	subrequest_msg_free(sub);
	push_result(t, r);
}

/*
 * Ends and frees @sub if it need not be sent any more: a cancellation whose
 * transfer has ended, or a sub-request past its deadline. Returns 1 then, else
 * 0.
 */
static int ended_unsent(struct target_duty *t, struct subrequest_msg *sub,
			int64_t now_us)
{
	if (sub->is_cancel) {
		if (g_hash_table_contains(t->open, &sub->sub_id))
			return 0;
		subrequest_msg_free(sub);
		return 1;
	}
	if (now_us < sub->deadline_us)
		return 0;
	end_unsent(t, sub, ERR_TARGET_TIMEOUT);
	return 1;
}

/*
 * Starts the sub-requests and cancellations that wait for a connection to @o,
 * as far as the connection limit allows.
 */
static void start_waiting(struct target_duty *t, struct origin *o)
{
	struct subrequest_msg *sub;
	int64_t now_us = clock_now_us();

	while ((sub = g_queue_peek_head(&o->waiting)) != NULL &&
	       o->open < sub->connection_limit) {
		g_queue_pop_head(&o->waiting);
		if (!ended_unsent(t, sub, now_us))
			start_transfer(t, sub, o, now_us);
	}
}

/*
 * Ends sub-request @sub_id if it still waits for a connection; returns 1 then,
 * else 0.
 */
static int end_waiting(struct target_duty *t, struct origin *o, uint64_t sub_id)
{
	GList *i;

	for (i = o->waiting.head; i; i = i->next) {
		struct subrequest_msg *sub = i->data;

		if (sub->is_cancel || sub->sub_id != sub_id)
			continue;
		g_queue_delete_link(&o->waiting, i);
		end_unsent(t, sub, ERR_CANCELLED);
		return 1;
	}
	return 0;
}

/*
 * Handles cancellation @sub. A sub-request that still waits is ended here, and
 * the target is not told. For one in progress, queues the request that asks the
 * target to cancel, and bounds the time that the cancelled transfer may go on;
 * after that its connection is closed. The cancellation goes before all that
 * wait for a connection, because a slow sub-request holds one for long.
 */
static void queue_cancel(struct target_duty *t, struct subrequest_msg *sub,
			 struct origin *o, int64_t now_us)
{
	struct transfer *x = g_hash_table_lookup(t->open, &sub->sub_id);

	if (!x) {
		end_waiting(t, o, sub->sub_id);
		subrequest_msg_free(sub);
		return;
	}
	timer_queue_arm(duty_timers(t->duty), &x->grace_timer,
			now_us + CANCEL_GRACE_US, grace_over, x);
	g_queue_push_head(&o->waiting, sub);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct target_duty *t = ctx;
	struct subrequest_msg *sub = m->body;
	struct origin *o = find_origin(t, sub);

	if (sub->is_cancel)
		queue_cancel(t, sub, o, now_us);
	else
		g_queue_push_tail(&o->waiting, sub);
	start_waiting(t, o);
}

static void finish_transfers(struct target_duty *t)
{
	CURLMsg *info;
	int left;

	while ((info = curl_multi_info_read(t->multi, &left)) != NULL) {
		struct transfer *x = NULL;
		CURLcode code = info->data.result;

		if (info->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(info->easy_handle, CURLINFO_PRIVATE, &x);
		finish_transfer(x, code);
	}
}

/* The sub-request whose unfinished answer is the longest one; NULL: none. */
static struct transfer *longest_answer(const struct target_duty *t)
{
	struct transfer *longest = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->open);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct transfer *x = value;

		if (!longest || x->body.len_bytes > longest->body.len_bytes)
			longest = x;
	}
	return longest;
}

/* Keeps the unfinished answers within what the duty may hold. */
static void bound_answers(struct target_duty *t)
{
	while (t->buffered_bytes > BUFFERED_BYTES_MAX) {
		struct transfer *x = longest_answer(t);

		if (!x)
			return;
		x->too_large = 1;
		finish_transfer(x, CURLE_WRITE_ERROR);
	}
}

static void run(void *ctx, struct duty *d)
{
	struct target_duty *t = ctx;
	int running = 0;

	while (!duty_stopping(d) || running > 0) {
		int64_t wait_us = duty_poll(d, on_message, t);
		int wait_ms = POLL_MAX_MS;

		if (wait_us >= 0)
			wait_ms = (int)util_min_i64(POLL_MAX_MS,
						    wait_us / US_PER_MS + 1);
		curl_multi_perform(t->multi, &running);
		finish_transfers(t);
		bound_answers(t);
		curl_multi_poll(t->multi, NULL, 0, wait_ms, NULL);
	}
}

enum err_code target_duty_start(struct target_duty *t, struct err *err)
{
	return duty_start_loop(t->duty, run, t, err);
}

void target_duty_stop(struct target_duty *t)
{
	duty_stop(t->duty);
	duty_join(t->duty);
}

void target_duty_free(struct target_duty *t)
{
	if (!t)
		return;
	duty_free(t->duty);
	g_ptr_array_unref(t->idle);
	/* Closes the idle connections, whose origins count them. */
	curl_multi_cleanup(t->multi);
	g_hash_table_destroy(t->open);
	g_hash_table_destroy(t->origins);
	curl_slist_free_all(t->headers);
	free(t);
}

#include "duty/target_duty.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"
#include "codec/target_json.h"
#include "duty/duty.h"
#include "duty/messages.h"

/* A cancelled request that has not ended by then sits on a dead connection. */
#define CANCEL_GRACE_US (50 * US_PER_MS)
/* Cancellations are best effort and must not hold connections for long. */
#define CANCEL_TIMEOUT_MS 50
/* Idle connections may have been forgotten by a middlebox after longer. */
#define IDLE_MAX_S 10L
#define POLL_MAX_MS 1000
/* Idle connections kept; the shares of all targets of a cell fit in it. */
#define CONNECTIONS_MAX 16384L
/* Handles kept for reuse. */
#define IDLE_HANDLES_MAX 256

/* One address and port. */
struct origin {
	/* Transfers in progress, each on a connection of its own. */
	uint32_t open;
	/* struct subrequest_msg that wait for a connection; cancellations first. */
	GQueue waiting;
};

struct transfer {
	struct target_duty *duty;
	struct subrequest_msg *call;
	struct origin *origin;
	CURL *easy;
	char *request_body;
	size_t request_bytes;
	size_t request_read_bytes;
	struct buf body;
	int too_large;
	struct timer_entry grace;
};

struct target_duty {
	struct duty *duty;
	struct ring *results;
	CURLM *multi;
	struct curl_slist *headers;
	/* sub_id to struct transfer. */
	GHashTable *open;
	/* "address port" to struct origin. */
	GHashTable *origins;
	GPtrArray *idle;
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
	/* The default is four per transfer in progress, so that connections to
	 * many targets push each other out. */
	curl_multi_setopt(t->multi, CURLMOPT_MAXCONNECTS, CONNECTIONS_MAX);
	t->duty = duty_new("target", capacity, wake, t, err);
	if (!t->duty) {
		curl_multi_cleanup(t->multi);
		free(t);
		return NULL;
	}
	t->results = results;
	t->headers = curl_slist_append(NULL, "Content-Type: application/json");
	/* Without this header libcurl waits for "100 Continue" on large bodies. */
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

	if (x->body.len_bytes + size * count > TARGET_JSON_BODY_BYTES_MAX) {
		x->too_large = 1;
		return 0;
	}
	buf_add(&x->body, data, size * count);
	return size * count;
}

/* Body of a request that must not be sent twice; see set_body(). */
static size_t on_read(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *x = ctx;
	size_t left = x->request_bytes - x->request_read_bytes;
	size_t take = left < size * count ? left : size * count;

	memcpy(data, x->request_body + x->request_read_bytes, take);
	x->request_read_bytes += take;
	return take;
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

	timer_queue_cancel(duty_timers(t->duty), &x->grace);
	x->origin->open--;
	if (!x->call->is_cancel)
		g_hash_table_remove(t->open, &x->call->sub_id);
	curl_multi_remove_handle(t->multi, x->easy);
	if (t->idle->len < IDLE_HANDLES_MAX) {
		curl_easy_reset(x->easy);
		g_ptr_array_add(t->idle, x->easy);
	} else {
		curl_easy_cleanup(x->easy);
	}
	subrequest_msg_free(x->call);
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

/* 1 when no byte of the request can have reached the target. */
static int surely_not_sent(CURLcode curl, CURL *easy)
{
	long sent_bytes = 0;

	if (curl == CURLE_COULDNT_CONNECT)
		return 1;
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	return sent_bytes == 0;
}

static enum err_code code_of(CURLcode curl, const struct transfer *x)
{
	if (x->too_large)
		return ERR_TARGET_SIZE;
	switch (curl) {
	case CURLE_OPERATION_TIMEDOUT:
		return ERR_TARGET_TIMEOUT;
	case CURLE_COULDNT_CONNECT:
		return ERR_TARGET_CONNECT;
	default:
		return ERR_TARGET_CLOSED;
	}
}

static int64_t service_us(CURL *easy)
{
	curl_off_t total_us = 0;
	curl_off_t pre_us = 0;

	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &total_us);
	curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pre_us);
	return (int64_t)(total_us - pre_us);
}

static void start_waiting(struct target_duty *t, struct origin *o);

static void finish(struct transfer *x, CURLcode curl)
{
	struct target_duty *t = x->duty;
	struct origin *origin = x->origin;
	struct subrequest_result *r;
	long status = 0;
	long connects = 0;

	curl_easy_getinfo(x->easy, CURLINFO_NUM_CONNECTS, &connects);
	metric_add(METRIC_TARGET_CONNECTS, (uint64_t)connects);
	if (x->call->is_cancel) {
		free_transfer(x);
		start_waiting(t, origin);
		return;
	}
	r = util_alloc(1, sizeof(*r));
	r->sub_id = x->call->sub_id;
	r->new_connection = connects > 0;
	r->service_us = service_us(x->easy);
	if (curl == CURLE_OK) {
		curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
		target_json_decode(r, (uint32_t)status, x->body.data,
				   x->body.len_bytes);
	} else {
		r->code = code_of(curl, x);
		r->not_run = surely_not_sent(curl, x->easy);
	}
	free_transfer(x);
	push_result(t, r);
	start_waiting(t, origin);
}

static uint32_t ms_left(const struct subrequest_msg *call, int64_t now_us)
{
	int64_t left_us = call->deadline_us - now_us;

	if (call->is_cancel)
		return CANCEL_TIMEOUT_MS;
	return (uint32_t)util_max_i64(1, left_us / US_PER_MS);
}

/*
 * libcurl sends a request again by itself when a reused connection ends
 * without an answer. It cannot rewind a read callback without a seek
 * callback, so a non-idempotent body leaves this host at most once.
 */
static void set_body(struct transfer *x)
{
	CURL *e = x->easy;

	curl_easy_setopt(e, CURLOPT_POST, 1L);
	curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)x->request_bytes);
	if (x->call->is_cancel || x->call->is_idempotent) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, x->request_body);
		return;
	}
	curl_easy_setopt(e, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(e, CURLOPT_READDATA, x);
}

static void set_options(struct transfer *x, uint32_t timeout_ms)
{
	CURL *e = x->easy;
	char url[128];
	int is_v6 = strchr(x->call->address, ':') != NULL;

	snprintf(url, sizeof(url),
		 is_v6 ? "http://[%s]:%u%s" : "http://%s:%u%s",
		 x->call->address, x->call->port, target_json_path(x->call));
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, x->duty->headers);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(e, CURLOPT_PRIVATE, x);
	set_body(x);
}

static void grace_over(void *ctx, int64_t now_us)
{
	metric_add(METRIC_SILENT_CONNECTIONS, 1);
	finish(ctx, CURLE_OPERATION_TIMEDOUT);
}

static struct origin *find_origin(struct target_duty *t,
				  const struct subrequest_msg *call)
{
	g_autofree char *key =
		g_strdup_printf("%s %u", call->address, call->port);
	struct origin *o = g_hash_table_lookup(t->origins, key);

	if (!o) {
		o = util_alloc(1, sizeof(*o));
		g_hash_table_insert(t->origins, g_steal_pointer(&key), o);
	}
	return o;
}

static void start_transfer(struct target_duty *t, struct subrequest_msg *call,
			   struct origin *origin, int64_t now_us)
{
	struct transfer *x = util_alloc(1, sizeof(*x));
	uint32_t timeout_ms = ms_left(call, now_us);

	x->duty = t;
	x->call = call;
	x->origin = origin;
	origin->open++;
	x->easy = take_easy(t);
	x->request_body = target_json_encode(call, timeout_ms);
	x->request_bytes = strlen(x->request_body);
	set_options(x, timeout_ms);
	if (!call->is_cancel)
		g_hash_table_insert(t->open, &x->call->sub_id, x);
	if (curl_multi_add_handle(t->multi, x->easy) != CURLM_OK)
		finish(x, CURLE_COULDNT_CONNECT);
}

/* Ends a call that was not sent. */
static void end_unsent(struct target_duty *t, struct subrequest_msg *call,
		       enum err_code code)
{
	struct subrequest_result *r = util_alloc(1, sizeof(*r));

	r->sub_id = call->sub_id;
	r->code = code;
	r->not_run = 1;
	subrequest_msg_free(call);
	push_result(t, r);
}

/* 1 when nothing is left to do for @call. */
static int is_over(struct target_duty *t, struct subrequest_msg *call,
		   int64_t now_us)
{
	if (call->is_cancel) {
		if (g_hash_table_contains(t->open, &call->sub_id))
			return 0;
		subrequest_msg_free(call);
		return 1;
	}
	if (now_us < call->deadline_us)
		return 0;
	end_unsent(t, call, ERR_TARGET_TIMEOUT);
	return 1;
}

/* Starts what waits for a connection, as far as the share allows. */
static void start_waiting(struct target_duty *t, struct origin *o)
{
	struct subrequest_msg *call;
	int64_t now_us = clock_now_us();

	while ((call = g_queue_peek_head(&o->waiting)) != NULL &&
	       o->open < call->connection_limit) {
		g_queue_pop_head(&o->waiting);
		if (!is_over(t, call, now_us))
			start_transfer(t, call, o, now_us);
	}
}

/* Takes a call that was not sent yet off the queue; 1 if it was there. */
static int cancel_waiting(struct target_duty *t, struct origin *o,
			  uint64_t sub_id)
{
	GList *i;

	for (i = o->waiting.head; i; i = i->next) {
		struct subrequest_msg *call = i->data;

		if (call->is_cancel || call->sub_id != sub_id)
			continue;
		g_queue_delete_link(&o->waiting, i);
		end_unsent(t, call, ERR_CANCELLED);
		return 1;
	}
	return 0;
}

/*
 * Asks the target to cancel and bounds the time that the cancelled transfer
 * may go on; after that its connection is closed. The request goes before
 * others that wait for a connection, because a straggler holds one for long.
 */
static void queue_cancel(struct target_duty *t, struct subrequest_msg *call,
			 struct origin *o, int64_t now_us)
{
	struct transfer *x = g_hash_table_lookup(t->open, &call->sub_id);

	if (!x) {
		cancel_waiting(t, o, call->sub_id);
		subrequest_msg_free(call);
		return;
	}
	timer_queue_arm(duty_timers(t->duty), &x->grace,
			now_us + CANCEL_GRACE_US, grace_over, x);
	g_queue_push_head(&o->waiting, call);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct target_duty *t = ctx;
	struct subrequest_msg *call = m->body;
	struct origin *o = find_origin(t, call);

	if (call->is_cancel)
		queue_cancel(t, call, o, now_us);
	else
		g_queue_push_tail(&o->waiting, call);
	start_waiting(t, o);
}

static void finish_done(struct target_duty *t)
{
	CURLMsg *info;
	int left;

	while ((info = curl_multi_info_read(t->multi, &left)) != NULL) {
		struct transfer *x = NULL;
		CURLcode code = info->data.result;

		if (info->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(info->easy_handle, CURLINFO_PRIVATE, &x);
		finish(x, code);
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
		finish_done(t);
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
	g_hash_table_destroy(t->open);
	g_hash_table_destroy(t->origins);
	curl_slist_free_all(t->headers);
	curl_multi_cleanup(t->multi);
	free(t);
}

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "codec/host_list_json.h"
#include "codec/cfg_json.h"
#include "duty/control_internal.h"

#define HEAD_KEY "cfg/head"
/*
 * The store answers in milliseconds, so a read has time for a second attempt.
 */
#define STORE_CALL_TIMEOUT_MS 1000
/*
 * Longest wait of one watch in the store. Below the 10 s in which a change
 * takes effect everywhere, so that a restored store is noticed in time.
 */
#define WATCH_WAIT_MS 4000
/* A watch without any change ends after this time and is started again. */
#define WATCH_TIMEOUT_MS 20000
#define WATCH_RETRY_US (500 * US_PER_MS)
/* A host that hears no peer and does not watch the head reads it this often. */
#define REFRESH_PERIOD_US (30 * (int64_t)US_PER_S)
/*
 * Other hosts read the head this often, in case they missed a change: the head
 * of 2,000 items has about 100 KB, which every REFRESH_PERIOD_US would be a
 * third of the control traffic.
 */
#define REFRESH_RARE_PERIOD_US (600 * (int64_t)US_PER_S)
#define HOST_LIST_TIMEOUT_MS 3000
#define HOST_LIST_PERIOD_MIN_US (5 * (int64_t)US_PER_S)
#define HOST_LIST_PERIOD_MAX_US (1800 * (int64_t)US_PER_S)
/* Bandwidth for reading the host list, of the 11 KB/s of control traffic. */
#define HOST_LIST_BYTES_PER_S 2000

/* One store call in progress. */
struct store_call {
	struct control *control;
	uint64_t call_id;
	kv_done_fn *done;
	void *ctx;
	/*
	 * Frees @ctx if the call is dropped before @done was called; or NULL.
	 */
	void (*ctx_free)(void *ctx);
	/* Ends a call that the ring of the store duty did not take. */
	struct timer_entry fail_timer;
};

static void call_free(gpointer p)
{
	struct store_call *call = p;

	timer_queue_cancel(duty_timers(call->control->duty), &call->fail_timer);
	if (call->ctx_free)
		call->ctx_free(call->ctx);
	free(call);
}

static void drop_request(void *body)
{
	kv_request_free(body);
}

/*
 * Removes the call before it runs the callback, which may start another call.
 */
static void finish_call(struct store_call *call, const struct kv_result *r)
{
	kv_done_fn *done = call->done;
	void *ctx = call->ctx;

	call->ctx_free = NULL;
	g_hash_table_remove(call->control->store_calls, &call->call_id);
	done(ctx, r);
}

static void call_failed(void *ctx, int64_t now_us)
{
	struct kv_result r = { 0 };

	err_set(&r.err, ERR_STORE_DOWN,
		"ring of the store duty is full or closed");
	finish_call(ctx, &r);
}

static void start_call(struct control *c, const struct kv_call *call,
		       kv_done_fn *done, void *ctx, void (*ctx_free)(void *ctx))
{
	struct store_call *entry = util_alloc(1, sizeof(*entry));
	struct kv_request *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_KV_REQUEST, r, drop_request };

	*entry = (struct store_call){ .control = c,
				      .call_id = ++c->last_call_id,
				      .done = done,
				      .ctx = ctx,
				      .ctx_free = ctx_free };
	g_hash_table_insert(c->store_calls, &entry->call_id, entry);
	r->call = *call;
	r->reply_to = duty_ring(c->duty);
	r->call_id = entry->call_id;
	if (ring_push(c->opt.store, &m) == ERR_OK)
		return;
	kv_request_free(r);
	timer_queue_arm(duty_timers(c->duty), &entry->fail_timer, 0,
			call_failed, entry);
}

void control_store_call(struct control *c, const struct kv_call *call,
			kv_done_fn *done, void *ctx)
{
	start_call(c, call, done, ctx, NULL);
}

void control_store_reply(struct control *c, struct kv_reply *r)
{
	struct store_call *call =
		g_hash_table_lookup(c->store_calls, &r->call_id);
	enum err_code code = r->result.err.code;

	/*
	 * A refusal by this host's own rate limit says nothing about the store.
	 */
	if (code != ERR_STORE_RATE)
		c->store_up = code != ERR_STORE_DOWN &&
			      code != ERR_STORE_UNKNOWN;
	if (call)
		finish_call(call, &r->result);
	kv_reply_free(r);
}

static struct kv_call new_call(enum kv_op op, const char *key)
{
	struct kv_call call = { .op = op, .timeout_ms = STORE_CALL_TIMEOUT_MS };

	util_copy_str(call.key, sizeof(call.key), key);
	return call;
}

static void item_key(const char *name, uint64_t rev, uint64_t change_id,
		     char *out)
{
	snprintf(out, KV_KEY_BYTES, "cfg/item/%s/%" PRIu64 "-%016" PRIx64, name,
		 rev, change_id);
}

/*
 * Head in @p or NULL. An unreadable head counts as empty once this host has a
 * configuration, so that this host's head is written back to the store.
 */
static struct cfg_head *decode_head(struct control *c, const struct kv_pair *p)
{
	struct err err = { 0 };
	struct cfg_head *head = cfg_json_decode_head(p->value, &err);

	if (head)
		return head;
	log_event(LOG_LEVEL_ERROR, "store_head_refused", "%s", err.detail);
	return cfg_rev(c->cfg) ? cfg_head_new() : NULL;
}

static void head_read(void *ctx, const struct kv_result *r)
{
	struct control *c = ctx;
	enum err_code code = r->err.code;
	struct cfg_head *head = NULL;

	if (code == ERR_OK) {
		head = decode_head(c, &r->pairs[0]);
		code = head ? ERR_OK : ERR_STORE_ANSWER;
	}
	cfg_on_head(c->cfg, clock_now_us(), code, head, r->rev);
}

void control_read_head(void *ctx)
{
	struct kv_call call = new_call(KV_GET, HEAD_KEY);

	control_store_call(ctx, &call, head_read, ctx);
}

struct item_read {
	struct control *control;
	char name[ITEM_NAME_BYTES];
};

static void item_read(void *ctx, const struct kv_result *r)
{
	struct item_read *read CLEANUP_FREE = ctx;
	struct cfg_item *item = NULL;
	struct err err = r->err;

	if (err.code == ERR_OK)
		item = cfg_json_decode_item(r->pairs[0].value, &err);
	cfg_on_item(read->control->cfg, clock_now_us(), read->name, err.code,
		    item);
	cfg_item_unref(item);
}

void control_read_item(void *ctx, const struct cfg_head_entry *entry)
{
	struct item_read *read = util_alloc(1, sizeof(*read));
	struct kv_call call = new_call(KV_GET, "");

	read->control = ctx;
	util_copy_str(read->name, sizeof(read->name), entry->name);
	item_key(entry->name, entry->rev, entry->change_id, call.key);
	start_call(ctx, &call, item_read, read, free);
}

static void item_written(void *ctx, const struct kv_result *r)
{
	struct control *c = ctx;

	cfg_on_item_written(c->cfg, clock_now_us(), r->err.code);
}

void control_write_item(void *ctx, const struct cfg_item *item)
{
	struct kv_call call = new_call(KV_CAS, "");

	item_key(item->name, item->rev, item->change_id, call.key);
	call.value = cfg_json_encode_item(item);
	call.value_bytes = (uint32_t)strlen(call.value);
	control_store_call(ctx, &call, item_written, ctx);
}

static void head_written(void *ctx, const struct kv_result *r)
{
	struct control *c = ctx;

	cfg_on_head_written(c->cfg, clock_now_us(), r->err.code);
}

void control_write_head(void *ctx, const struct cfg_head *head,
			uint64_t if_version)
{
	struct kv_call call = new_call(KV_CAS, HEAD_KEY);

	call.rev = if_version;
	call.value = cfg_json_encode_head(head);
	call.value_bytes = (uint32_t)strlen(call.value);
	control_store_call(ctx, &call, head_written, ctx);
}

static void ignore_result(void *ctx, const struct kv_result *r)
{
}

/*
 * Deletes the stored item that control_delete_item() has read. An item that
 * stays in the store costs space only, so nothing is retried.
 */
static void delete_read(void *ctx, const struct kv_result *r)
{
	struct kv_call call;

	if (r->err.code != ERR_OK)
		return;
	call = new_call(KV_DELETE, r->pairs[0].key);
	call.rev = r->rev;
	control_store_call(ctx, &call, ignore_result, NULL);
}

void control_delete_item(void *ctx, const struct cfg_head_entry *entry)
{
	struct kv_call call = new_call(KV_GET, "");

	item_key(entry->name, entry->rev, entry->change_id, call.key);
	control_store_call(ctx, &call, delete_read, ctx);
}

static void watch(struct control *c);

static void watch_due(void *ctx, int64_t now_us)
{
	watch(ctx);
}

static void take_watch_result(struct control *c, int64_t now_us,
			      const struct kv_result *r)
{
	uint32_t i;

	/* The store went back to an older revision. */
	if (r->rev < c->watch_rev)
		cfg_refresh(c->cfg, now_us);
	for (i = 0; i < r->pair_count; i++) {
		const struct kv_pair *p = &r->pairs[i];
		struct cfg_head *head = NULL;

		if (strcmp(p->key, HEAD_KEY) != 0)
			continue;
		if (p->value)
			head = decode_head(c, p);
		if (head)
			cfg_on_watch(c->cfg, now_us, head, p->rev);
		else
			cfg_refresh(c->cfg, now_us);
	}
	c->watch_rev = r->rev;
}

static void watch_done(void *ctx, const struct kv_result *r)
{
	struct control *c = ctx;
	int64_t now_us = clock_now_us();

	c->watching = 0;
	if (r->err.code == ERR_OK) {
		take_watch_result(c, now_us, r);
		watch(c);
		return;
	}
	timer_queue_arm(duty_timers(c->duty), &c->watch_timer,
			now_us + WATCH_RETRY_US, watch_due, c);
}

static void watch(struct control *c)
{
	struct kv_call call = new_call(KV_WATCH, HEAD_KEY);

	if (c->watching || !membership_watches_store(c->membership))
		return;
	c->watching = 1;
	call.rev = c->watch_rev;
	call.ttl_ms = WATCH_WAIT_MS;
	call.timeout_ms = WATCH_TIMEOUT_MS;
	control_store_call(c, &call, watch_done, c);
}

static void refresh_due(void *ctx, int64_t now_us)
{
	struct control *c = ctx;
	int64_t jitter_us = rng_below(&c->rng, REFRESH_PERIOD_US / 4);
	int learns_changes = c->watching || now_us - c->heartbeat_received_us <
						    REFRESH_PERIOD_US;

	if (!c->refreshed_us || !learns_changes ||
	    now_us - c->refreshed_us >= REFRESH_RARE_PERIOD_US) {
		c->refreshed_us = now_us;
		cfg_refresh(c->cfg, now_us);
	}
	timer_queue_arm(duty_timers(c->duty), &c->refresh_timer,
			now_us + REFRESH_PERIOD_US - jitter_us, refresh_due, c);
}

static int64_t host_list_period_us(uint32_t bytes)
{
	int64_t period_us = (int64_t)bytes * US_PER_S / HOST_LIST_BYTES_PER_S;

	return util_min_i64(util_max_i64(period_us, HOST_LIST_PERIOD_MIN_US),
			    HOST_LIST_PERIOD_MAX_US);
}

static void take_host_list(struct control *c, int64_t now_us, const char *text)
{
	struct err err = { 0 };
	uint32_t refused;
	struct host_list *list = host_list_json_decode(text, &refused, &err);

	if (!list || refused)
		log_event(LOG_LEVEL_WARNING, "host_list_refused",
			  "%u entries refused; %s", refused, err.detail);
	if (!list)
		return;
	if (!c->listed_hosts || c->listed_hosts->rev != list->rev)
		c->view_dirty = 1;
	host_list_free(c->listed_hosts);
	c->listed_hosts = list;
	membership_on_host_list(c->membership, now_us, list);
	if (membership_is_alone(c->membership))
		cfg_allow_edits(c->cfg);
}

static void host_list_due(void *ctx, int64_t now_us);

static void host_list_done(void *ctx, const struct kv_result *r)
{
	struct control *c = ctx;
	int64_t now_us = clock_now_us();
	int64_t period_us = HOST_LIST_PERIOD_MIN_US;

	if (r->err.code == ERR_OK) {
		take_host_list(c, now_us, r->pairs[0].value);
		period_us = host_list_period_us(r->pairs[0].value_bytes);
	}
	period_us -= rng_below(&c->rng, (uint32_t)(period_us / 8));
	timer_queue_arm(duty_timers(c->duty), &c->host_list_timer,
			now_us + period_us, host_list_due, c);
}

static void host_list_due(void *ctx, int64_t now_us)
{
	struct kv_call call = new_call(KV_HOST_LIST, "");

	call.timeout_ms = HOST_LIST_TIMEOUT_MS;
	control_store_call(ctx, &call, host_list_done, ctx);
}

void control_store_start(struct control *c, int64_t now_us)
{
	c->store_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, call_free);
	host_list_due(c, now_us);
	refresh_due(c, now_us);
	watch(c);
}

void control_store_free(struct control *c)
{
	if (c->store_calls)
		g_hash_table_destroy(c->store_calls);
	host_list_free(c->listed_hosts);
}

void control_store_tick(struct control *c, int64_t now_us)
{
	if (!c->watching && !c->watch_timer.armed_pos)
		watch(c);
}

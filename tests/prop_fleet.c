/*
 * Random runs of the gateway's control plane: several hosts with the real code of
 * the control duty, without its thread, beside a plain model of the store and of the
 * links, on one virtual clock. Hosts are killed, paused, restarted one after the other
 * and cut off, alone or with their data centre; the store is down, cuts watches,
 * forgets its history and comes back from an older copy. Judged from outside, by the
 * views that the hosts publish. Guards against a target that has left and is used
 * longer than the bound, a host that goes back to a lower configuration or learns of
 * one too late, and hosts that differ from the store after a quiet time.
 *
 * prop_fleet [RUNS [FIRST_SEED [HOSTS]]] plays other runs than make check does; with
 * FLEET_TRACE in the environment it prints what happens and the hosts' log lines.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "decide/kv_limiter.h"
#include "duty/gw_control_internal.h"
#include "model/store_pos.h"
#include "platform/platform_docs.h"

#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
#define RUNS_DEFAULT 20
#else
#define RUNS_DEFAULT 3000
#endif
#define HOSTS_DEFAULT 8
#define HOSTS_MAX 64
#define TARGETS 12
#define RING_SIZE 1024
#define FIRST_PORT 1000
#define STORE_READS_PER_S 2000
#define STORE_WRITES_PER_S 400
/* Trouble begins when the hosts have started, and is followed by a quiet time. */
#define TROUBLE_FROM_US (4 * (int64_t)US_PER_S)
#define TROUBLE_UNTIL_US (24 * (int64_t)US_PER_S)
#define END_US (38 * (int64_t)US_PER_S)
#define CHECK_US (50 * US_PER_MS)
/* The relay waits for so much longer than the other host may hold its call. */
#define FOLLOW_MARGIN_US (1 * (int64_t)US_PER_S)
#define CONNECT_US (1 * (int64_t)US_PER_S)

struct change {
	uint64_t rev;
	char key[KV_KEY_BYTES];
	/* NULL: deleted. */
	char *value;
};

struct item {
	char *value;
	uint64_t rev;
	uint64_t lease;
};

struct fleet;
struct event;

/* Carries out what is due; the event is freed behind it. */
typedef void event_fn(struct fleet *f, struct event *e);

struct event {
	struct timer_entry timer;
	struct fleet *fleet;
	event_fn *fn;
	/* Host that is concerned, and its incarnation. */
	uint32_t host;
	uint32_t incarnation;
	/* 1: it reaches the host, unless that is started again before. */
	int is_for_host;
	/* Call of a host; 0: none. Its first result counts. */
	uint64_t call_no;
	struct kv_request *request;
	struct kv_result result;
	/* Calls between hosts: the call, and the host that sent it. */
	struct follow_request *follow;
	/* Also the target that writes, or the host that starts. */
	uint32_t peer;
	int64_t sent_us;
	struct store_update *update;
};

struct host {
	uint32_t no;
	char data_centre[NAME_BYTES];
	struct gw_control *control;
	uint32_t incarnation;
	struct ring *store;
	struct ring *relay;
	struct ring *views;
	struct kv_limiter limiter;
	/* What the host serves by; NULL: nothing yet. */
	struct gw_view *view;
	uint64_t version;
	/* Call numbers without a result. */
	GHashTable *open_calls;
	/* 0: runs. */
	int64_t paused_until_us;
	/* The link to the store loses all, or the store refuses the host. */
	int64_t cut_until_us;
	int64_t refused_until_us;
	/* End of the latest trouble of this host. */
	int64_t trouble_end_us;
};

struct fleet {
	GRand *rand;
	uint32_t seed;
	int64_t now_us;
	/* Bound of changes and removals, and of the trouble that excuses. */
	uint32_t apply_ms;
	int64_t contact_us;
	struct timer_queue *events;
	/* Set of struct event. */
	GHashTable *open_events;
	uint32_t host_count;
	struct host hosts[HOSTS_MAX];
	uint64_t last_call_no;

	/* The store. */
	uint64_t era;
	uint64_t rev;
	uint64_t last_lease;
	GHashTable *items;
	GPtrArray *changes;
	/* Revisions up to this one are not in the history any more. */
	uint64_t forgotten_rev;
	/* Lease to int64_t, the time of its end. */
	GHashTable *leases;
	GPtrArray *waiting;
	int64_t down_until_us;
	int is_silent;
	int64_t store_trouble_end_us;
	/* The copy from which it comes back. */
	GHashTable *copy_items;
	uint64_t copy_rev;

	/* What the operator and the targets have written, and since when. */
	char *wanted[TARGETS];
	uint32_t write_no[TARGETS];
	int64_t removed_us[TARGETS];
	uint64_t version;
	int64_t version_us;
};

/*
 * 1: prints the log lines of the hosts and what happens around them. A log line has
 * neither the host nor the virtual time, so these are kept here.
 */
static int is_traced;
static uint32_t trace_host;
static int64_t trace_ms;

static void G_GNUC_PRINTF(2, 3)
	trace(const struct fleet *f, const char *format, ...)
{
	va_list args;

	if (!is_traced)
		return;
	fprintf(stderr, "%lld ms: ", (long long)f->now_us / US_PER_MS);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
}

static uint32_t below(struct fleet *f, uint32_t n)
{
	return (uint32_t)g_rand_int_range(f->rand, 0, (gint32)n);
}

static int64_t ms_between(struct fleet *f, uint32_t least_ms, uint32_t most_ms)
{
	return (least_ms + below(f, most_ms - least_ms + 1)) *
	       (int64_t)US_PER_MS;
}

static int64_t way_us(struct fleet *f)
{
	return ms_between(f, 1, 20);
}

static void item_free(gpointer p)
{
	struct item *i = p;

	free(i->value);
	free(i);
}

static void change_free(gpointer p)
{
	struct change *c = p;

	free(c->value);
	free(c);
}

static GHashTable *items_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, free, item_free);
}

static void event_free(struct event *e)
{
	timer_queue_cancel(e->fleet->events, &e->timer);
	g_hash_table_remove(e->fleet->open_events, e);
	kv_request_free(e->request);
	kv_result_clear(&e->result);
	follow_request_free(e->follow);
	store_update_free(e->update);
	free(e);
}

static void on_event(void *ctx, int64_t now_us)
{
	struct event *e = ctx;
	struct fleet *f = e->fleet;
	struct host *h = &f->hosts[e->host];
	int is_late = e->is_for_host && e->incarnation != h->incarnation;

	if (e->is_for_host && !is_late && now_us < h->paused_until_us) {
		timer_queue_arm(f->events, &e->timer, h->paused_until_us,
				on_event, e);
		return;
	}
	trace_host = e->host;
	trace_ms = now_us / US_PER_MS;
	if (!is_late)
		e->fn(f, e);
	event_free(e);
}

static struct event *event_new(struct fleet *f, int64_t at_us, event_fn *fn)
{
	struct event *e = util_alloc(1, sizeof(*e));

	e->fleet = f;
	e->fn = fn;
	timer_queue_arm(f->events, &e->timer, at_us, on_event, e);
	g_hash_table_add(f->open_events, e);
	return e;
}

/* The same for something that reaches @h. */
static struct event *event_for(struct fleet *f, struct host *h, int64_t at_us,
			       event_fn *fn)
{
	struct event *e = event_new(f, at_us, fn);

	e->host = h->no;
	e->incarnation = h->incarnation;
	e->is_for_host = 1;
	return e;
}

static int is_down(const struct fleet *f)
{
	return f->now_us < f->down_until_us;
}

static int is_cut(const struct fleet *f, const struct host *h)
{
	return f->now_us < h->cut_until_us;
}

/* The call has its first result. */
static int take_call(struct host *h, uint64_t call_no)
{
	return g_hash_table_remove(h->open_calls, &call_no);
}

static void on_store_result(struct fleet *f, struct event *e)
{
	struct host *h = &f->hosts[e->host];

	if (!take_call(h, e->call_no))
		return;
	trace(f, "h%u: result of kind %u: %s at %llu, %u pairs", h->no,
	      (uint32_t)e->request->call_id, err_name(e->result.err.code),
	      (unsigned long long)e->result.rev, e->result.pair_count);
	kv_limiter_result(&h->limiter, f->now_us, e->result.err.code);
	gw_control_store_result(h->control,
				(enum store_call_kind)e->request->call_id,
				e->request->call.key, &e->result, f->now_us);
}

static void on_store_timeout(struct fleet *f, struct event *e)
{
	err_set(&e->result.err,
		kv_op_is_write(e->request->call.op) ? ERR_STORE_UNKNOWN
						    : ERR_STORE_DOWN,
		"no answer in time");
	on_store_result(f, e);
}

static struct kv_request *request_copy(const struct kv_request *r)
{
	struct kv_request *copy = util_alloc(1, sizeof(*copy));

	*copy = *r;
	copy->call.value = r->call.value ? util_strdup(r->call.value) : NULL;
	return copy;
}

/* Sends the result of @call, which may be lost on the way. */
static void reply(struct fleet *f, struct event *call, struct kv_result *r)
{
	struct host *h = &f->hosts[call->host];
	struct event *e;

	r->era = f->era;
	if (is_cut(f, h) || call->incarnation != h->incarnation) {
		kv_result_clear(r);
		return;
	}
	e = event_for(f, h, f->now_us + way_us(f), on_store_result);
	e->call_no = call->call_no;
	e->request = request_copy(call->request);
	e->result = *r;
}

static void add_pair(struct kv_result *r, const char *key, const char *value,
		     uint64_t rev)
{
	struct kv_pair *p = &r->pairs[r->pair_count++];

	util_copy_str(p->key, sizeof(p->key), key);
	p->rev = rev;
	if (!value)
		return;
	p->value = util_strdup(value);
	p->value_bytes = (uint32_t)strlen(value);
}

static void list_all(const struct fleet *f, struct kv_result *r)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	r->is_full = 1;
	r->rev = f->rev;
	r->pairs = util_alloc(g_hash_table_size(f->items) + 1,
			      sizeof(r->pairs[0]));
	g_hash_table_iter_init(&it, f->items);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct item *i = value;

		add_pair(r, key, i->value, i->rev);
	}
}

/* Fills @r with the changes after @rev; returns their number. */
static uint32_t list_changes(const struct fleet *f, uint64_t rev,
			     struct kv_result *r)
{
	guint i;

	r->rev = f->rev;
	r->pairs = util_alloc(f->changes->len + 1, sizeof(r->pairs[0]));
	for (i = 0; i < f->changes->len; i++) {
		const struct change *c = g_ptr_array_index(f->changes, i);

		if (c->rev > rev)
			add_pair(r, c->key, c->value, c->rev);
	}
	return r->pair_count;
}

static void forget_call(struct fleet *f, struct event *call)
{
	g_ptr_array_remove_fast(f->waiting, call);
	event_free(call);
}

static void on_watch_end(struct fleet *f, struct event *call)
{
	struct kv_result r = { 0 };

	list_changes(f, call->request->call.rev, &r);
	reply(f, call, &r);
	g_ptr_array_remove_fast(f->waiting, call);
}

/* Answers the watches that wait; with @code, cuts them. */
static void end_watches(struct fleet *f, enum err_code code)
{
	while (f->waiting->len) {
		struct event *call = g_ptr_array_index(f->waiting, 0);
		struct kv_result r = { 0 };

		if (code == ERR_OK)
			list_changes(f, call->request->call.rev, &r);
		else
			err_set(&r.err, code, "watch cut");
		reply(f, call, &r);
		forget_call(f, call);
	}
}

static void put_item(struct fleet *f, const char *key, const char *value,
		     uint64_t lease)
{
	struct change *c = util_alloc(1, sizeof(*c));
	struct item *i;

	c->rev = ++f->rev;
	util_copy_str(c->key, sizeof(c->key), key);
	c->value = value ? util_strdup(value) : NULL;
	g_ptr_array_add(f->changes, c);
	if (value) {
		i = util_alloc(1, sizeof(*i));
		i->value = util_strdup(value);
		i->rev = f->rev;
		i->lease = lease;
		g_hash_table_replace(f->items, util_strdup(key), i);
	} else {
		g_hash_table_remove(f->items, key);
	}
	end_watches(f, ERR_OK);
}

static void handle_watch(struct fleet *f, struct event *call)
{
	const struct kv_call *k = &call->request->call;
	struct kv_result r = { 0 };
	struct event *waiting;

	/* The store duty lists when the history is gone. */
	if (!k->rev || k->rev < f->forgotten_rev || k->rev > f->rev) {
		list_all(f, &r);
		reply(f, call, &r);
		return;
	}
	if (list_changes(f, k->rev, &r)) {
		reply(f, call, &r);
		return;
	}
	kv_result_clear(&r);
	waiting = event_new(f, f->now_us + (int64_t)k->ttl_ms * US_PER_MS,
			    on_watch_end);
	waiting->host = call->host;
	waiting->call_no = call->call_no;
	waiting->request = request_copy(call->request);
	waiting->incarnation = call->incarnation;
	g_ptr_array_add(f->waiting, waiting);
}

static void handle_write(struct fleet *f, struct event *call)
{
	const struct kv_call *k = &call->request->call;
	const struct item *i = g_hash_table_lookup(f->items, k->key);
	uint64_t known_rev = i ? i->rev : 0;
	struct kv_result r = { 0 };

	if (!g_hash_table_contains(f->leases, &k->lease)) {
		err_set(&r.err, ERR_STORE_NOT_FOUND, "lease");
	} else if (known_rev != k->rev) {
		r.rev = known_rev;
		err_set(&r.err, ERR_STORE_CONFLICT, "revision");
	} else {
		put_item(f, k->key, k->value, k->lease);
		r.rev = f->rev;
	}
	reply(f, call, &r);
}

static void handle_lease(struct fleet *f, struct event *call)
{
	const struct kv_call *k = &call->request->call;
	int64_t *end_us;
	uint64_t *id;
	struct kv_result r = { 0 };

	if (k->op == KV_LEASE_RENEW) {
		end_us = g_hash_table_lookup(f->leases, &k->lease);
		if (end_us)
			*end_us = f->now_us + (int64_t)k->ttl_ms * US_PER_MS;
		else
			err_set(&r.err, ERR_STORE_NOT_FOUND, "lease");
	} else {
		id = util_alloc(1, sizeof(*id));
		end_us = util_alloc(1, sizeof(*end_us));
		*id = ++f->last_lease;
		*end_us = f->now_us + (int64_t)k->ttl_ms * US_PER_MS;
		g_hash_table_insert(f->leases, id, end_us);
		r.lease = *id;
	}
	reply(f, call, &r);
}

/* A call reaches the store. */
static void on_store_call(struct fleet *f, struct event *e)
{
	const struct host *h = &f->hosts[e->host];
	enum kv_op op = e->request->call.op;
	struct kv_result r = { 0 };

	if (is_cut(f, h) || (is_down(f) && f->is_silent))
		return;
	if (is_down(f) || f->now_us < h->refused_until_us) {
		err_set(&r.err, ERR_STORE_DOWN, "refused");
		reply(f, e, &r);
	} else if (op == KV_WATCH) {
		handle_watch(f, e);
	} else if (op == KV_CAS) {
		handle_write(f, e);
	} else {
		handle_lease(f, e);
	}
}

static uint64_t open_call(struct fleet *f, struct host *h)
{
	uint64_t *no = util_alloc(1, sizeof(*no));

	*no = ++f->last_call_no;
	g_hash_table_add(h->open_calls, no);
	return *no;
}

/* What the store duty does with a request of the control duty. */
static void send_store_call(struct fleet *f, struct host *h,
			    struct kv_request *r)
{
	uint32_t timeout_ms = r->call.timeout_ms;
	uint64_t no = open_call(f, h);
	struct event *e;
	struct err err = { 0 };

	trace(f, "h%u calls the store: op %u kind %u after %llu", h->no,
	      (uint32_t)r->call.op, (uint32_t)r->call_id,
	      (unsigned long long)r->call.rev);

	if (r->call.op == KV_WATCH)
		timeout_ms = util_min_u32(timeout_ms, r->call.ttl_ms + 1000);
	if (kv_limiter_enter(&h->limiter, f->now_us, r->call.op, &err) !=
	    ERR_OK) {
		e = event_for(f, h, f->now_us, on_store_result);
		e->call_no = no;
		e->result.err = err;
		e->request = r;
		return;
	}
	/* A link that loses all does not let a connection be opened either. */
	e = event_for(f, h,
		      f->now_us + (is_cut(f, h)
					   ? CONNECT_US
					   : timeout_ms * (int64_t)US_PER_MS),
		      on_store_timeout);
	e->call_no = no;
	e->request = request_copy(r);
	e = event_new(f, f->now_us + way_us(f), on_store_call);
	e->host = h->no;
	e->incarnation = h->incarnation;
	e->call_no = no;
	e->request = r;
}

/* 1 if packets pass between the two hosts. */
static int is_linked(const struct fleet *f, const struct host *a,
		     const struct host *b)
{
	return strcmp(a->data_centre, b->data_centre) == 0 ||
	       (!is_cut(f, a) && !is_cut(f, b));
}

static void on_follow_result(struct fleet *f, struct event *e)
{
	struct host *h = &f->hosts[e->host];
	struct follow_result r = { .sent_us = e->sent_us, .update = e->update };

	if (!take_call(h, e->call_no))
		return;
	snprintf(r.host, sizeof(r.host), "%s", e->follow->host);
	if (!r.update)
		err_set(&r.err, ERR_PEER_RPC, "no answer in time");
	gw_control_follow_done(h->control, &r, f->now_us);
}

/* The numbers of a call and of its host, in the conn of a follower's call. */
#define CONN_HOST_BITS 8

static void on_follow_call(struct fleet *f, struct event *e)
{
	struct follower_call *call = util_alloc(1, sizeof(*call));
	struct host *h = &f->hosts[e->host];

	call->conn = e->call_no << CONN_HOST_BITS | e->peer;
	call->rev = e->follow->rev;
	call->hold_ms = e->follow->hold_ms;
	call->received_us = f->now_us;
	gw_control_follower_call(h->control, call, f->now_us);
}

/* What the relay duty does with a call to another host. */
static void send_follow(struct fleet *f, struct host *h,
			struct follow_request *r)
{
	uint32_t no = r->port - FIRST_PORT;
	uint64_t call_no = open_call(f, h);
	struct event *e = event_for(f, h,
				    f->now_us + FOLLOW_MARGIN_US +
					    (int64_t)r->hold_ms * US_PER_MS,
				    on_follow_result);

	e->call_no = call_no;
	e->sent_us = f->now_us;
	e->follow = r;
	if (!f->hosts[no].control || !is_linked(f, h, &f->hosts[no]))
		return;
	e = event_for(f, &f->hosts[no], f->now_us + way_us(f), on_follow_call);
	e->call_no = call_no;
	e->peer = h->no;
	e->follow = util_alloc(1, sizeof(*e->follow));
	*e->follow = *r;
	e->follow->reports = NULL;
}

static void send_follow_reply(struct fleet *f, struct host *h,
			      struct follower_reply *r)
{
	uint32_t mask = (1U << CONN_HOST_BITS) - 1;
	struct host *to = &f->hosts[r->conn & mask];
	struct event *e;

	if (!to->control || !is_linked(f, h, to))
		return;
	e = event_for(f, to, f->now_us + way_us(f), on_follow_result);
	e->call_no = r->conn >> CONN_HOST_BITS;
	e->sent_us = r->received_us;
	e->follow = util_alloc(1, sizeof(*e->follow));
	snprintf(e->follow->host, sizeof(e->follow->host), "h%u", h->no);
	e->update = r->update;
	r->update = NULL;
}

static void take_view(struct fleet *f, struct host *h, struct gw_view *v)
{
	gw_view_unref(h->view);
	h->view = v;
	if (!v->config)
		return;
	if (v->config->version < h->version)
		g_error("seed %u, %lld ms: host %u goes from version %llu to "
			"%llu",
			f->seed, (long long)f->now_us / US_PER_MS, h->no,
			(unsigned long long)h->version,
			(unsigned long long)v->config->version);
	h->version = v->config->version;
}

/* Passes on what the host has sent. */
static void take_output(struct fleet *f, struct host *h)
{
	struct msg m;

	while (ring_take(h->store, &m, 1))
		send_store_call(f, h, m.body);
	while (ring_take(h->relay, &m, 1)) {
		if (m.type == MSG_FOLLOW_REQUEST) {
			send_follow(f, h, m.body);
		} else if (m.type == MSG_FOLLOWER_REPLY) {
			send_follow_reply(f, h, m.body);
			follower_reply_free(m.body);
		} else if (m.drop) {
			m.drop(m.body);
		}
	}
	while (ring_take(h->views, &m, 1)) {
		if (m.type == MSG_GW_VIEW)
			take_view(f, h, m.body);
		else if (m.drop)
			m.drop(m.body);
	}
}

static void no_limits(void *ctx, const struct caller_limits *l)
{
}

static void take_host_count(void *ctx, uint32_t hosts)
{
	struct host *h = ctx;

	kv_limiter_set_hosts(&h->limiter, hosts);
}

static void start_host(struct fleet *f, struct host *h)
{
	struct gw_control_options o = { .hosts_assumed = f->host_count,
					.apply_ms = f->apply_ms,
					.store_writes_per_s =
						STORE_WRITES_PER_S,
					.limits_changed = no_limits,
					.host_count_changed = take_host_count,
					.notify_ctx = h };
	struct err err = { 0 };
	uint32_t i;

	h->incarnation++;
	h->version = 0;
	h->store = ring_new(RING_SIZE, NULL, NULL, &err);
	h->relay = ring_new(RING_SIZE, NULL, NULL, &err);
	h->views = ring_new(RING_SIZE, NULL, NULL, &err);
	o.store = h->store;
	o.relay = h->relay;
	o.views = h->views;
	snprintf(o.self.name, sizeof(o.self.name), "h%u", h->no);
	util_copy_str(o.self.data_centre, sizeof(o.self.data_centre),
		      h->data_centre);
	util_copy_str(o.self.address, sizeof(o.self.address), "127.0.0.1");
	o.self.port = (uint16_t)(FIRST_PORT + h->no);
	/* The order of the names is not that of the hosts in their tree. */
	o.self.core_permille = 100 + h->no * 37 % 64;
	o.seed_count = util_min_u32(f->host_count, 3);
	for (i = 0; i < o.seed_count; i++) {
		util_copy_str(o.seeds[i].address, sizeof(o.seeds[i].address),
			      "127.0.0.1");
		o.seeds[i].port = (uint16_t)(FIRST_PORT + i);
	}
	kv_limiter_init(&h->limiter, STORE_READS_PER_S, STORE_WRITES_PER_S,
			f->seed + h->no);
	h->control = gw_control_new(&o, &err);
	g_assert_nonnull(h->control);
	gw_control_start_source(h->control, f->now_us);
	gw_control_start_register(h->control, f->now_us);
}

static void stop_host(struct host *h)
{
	struct msg m;

	if (!h->control)
		return;
	gw_control_free(h->control);
	h->control = NULL;
	h->incarnation++;
	while (ring_take(h->store, &m, 1))
		kv_request_free(m.body);
	while (ring_take(h->relay, &m, 1)) {
		if (m.drop)
			m.drop(m.body);
	}
	while (ring_take(h->views, &m, 1)) {
		if (m.drop)
			m.drop(m.body);
	}
	ring_free(h->store);
	ring_free(h->relay);
	ring_free(h->views);
	gw_view_unref(h->view);
	h->view = NULL;
	g_hash_table_remove_all(h->open_calls);
}

/* The operator and the targets. */

static void target_key(char *key, uint32_t no)
{
	snprintf(key, KV_KEY_BYTES, "servers/t%u", no);
}

static char *target_value(struct fleet *f, uint32_t no, int is_draining)
{
	return g_strdup_printf("{\"service\":\"s\",\"address\":\"10.0.0.%u:"
			       "80\",\"zone\":\"a\","
			       "\"version\":\"v1\",\"capacity\":2,\"phase\":\"%"
			       "s\","
			       "\"warmupLeftMs\":0,\"seq\":%u}",
			       no + 1, is_draining ? "draining" : "ready",
			       ++f->write_no[no]);
}

/* Writes what is wanted unless the store has it; later while it is down. */
static void on_target_write(struct fleet *f, struct event *e)
{
	uint32_t no = e->peer;
	const struct item *i;
	char key[KV_KEY_BYTES];

	if (is_down(f)) {
		event_new(f, f->now_us + 200 * US_PER_MS, on_target_write)
			->peer = no;
		return;
	}
	target_key(key, no);
	i = g_hash_table_lookup(f->items, key);
	if (f->wanted[no] ? i && strcmp(i->value, f->wanted[no]) == 0 : !i)
		return;
	trace(f, "t%u is %s", no, f->wanted[no] ? "written" : "removed");
	put_item(f, key, f->wanted[no], 0);
	f->removed_us[no] = f->wanted[no] ? 0 : f->now_us;
}

static void change_target(struct fleet *f)
{
	uint32_t no = below(f, TARGETS);
	int is_there = f->wanted[no] != NULL;

	/* One that has left comes back when every host knows that it left. */
	if (!is_there && f->now_us < f->removed_us[no] + 12 * US_PER_S)
		return;
	free(f->wanted[no]);
	f->wanted[no] = is_there && below(f, 3) ? NULL : target_value(f, no, 0);
	event_new(f, f->now_us, on_target_write)->peer = no;
}

static void on_config_write(struct fleet *f, struct event *e)
{
	struct buf doc CLEANUP_BUF = { 0 };

	if (is_down(f)) {
		event_new(f, f->now_us + 200 * US_PER_MS, on_config_write);
		return;
	}
	buf_addf(&doc,
		 "{\"version\":%llu,\"services\":[{\"name\":\"s\","
		 "\"maxConns\":26}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		 "\"prefix\":\"/r/\",\"type\":\"idempotent\",\"timeoutMs\":500,"
		 "\"goalMs\":50,\"attempts\":2,\"service\":\"s\"}],"
		 "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,"
		 "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":9000}}",
		 (unsigned long long)f->version);
	put_item(f, "op/config", doc.data, 0);
	f->version_us = f->now_us;
}

static void change_config(struct fleet *f)
{
	f->version += 1 + below(f, 3);
	/* Not known to be acknowledged until it was written. */
	f->version_us = INT64_MAX;
	event_new(f, f->now_us, on_config_write);
}

/* Trouble. */

static void trouble_until(struct host *h, int64_t until_us)
{
	h->trouble_end_us = util_max_i64(h->trouble_end_us, until_us);
}

static struct host *any_host(struct fleet *f)
{
	return &f->hosts[below(f, f->host_count)];
}

static void cut_data_centre(struct fleet *f)
{
	const char *data_centre = any_host(f)->data_centre;
	int64_t until_us = f->now_us + ms_between(f, 500, 6000);
	uint32_t i;

	for (i = 0; i < f->host_count; i++) {
		struct host *h = &f->hosts[i];

		if (strcmp(h->data_centre, data_centre) != 0)
			continue;
		h->cut_until_us = util_max_i64(h->cut_until_us, until_us);
		trouble_until(h, until_us);
	}
}

static void on_host_start(struct fleet *f, struct event *e)
{
	struct host *h = &f->hosts[e->peer];

	if (!h->control)
		start_host(f, h);
}

static void kill_host(struct fleet *f, struct host *h, int64_t at_us)
{
	if (!h->control)
		return;
	stop_host(h);
	h->paused_until_us = 0;
	trouble_until(h, at_us);
	event_new(f, at_us, on_host_start)->peer = h->no;
}

/* Restarts hosts one after the other. */
static void roll_hosts(struct fleet *f)
{
	int64_t at_us = f->now_us + ms_between(f, 300, 800);
	uint32_t n = 1 + below(f, util_min_u32(f->host_count, HOSTS_DEFAULT));
	uint32_t i;

	for (i = 0; i < n; i++) {
		kill_host(f, any_host(f), at_us);
		at_us += ms_between(f, 0, 700);
	}
}

static void copy_items(GHashTable *to, GHashTable *from)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_remove_all(to);
	g_hash_table_iter_init(&it, from);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct item *i = value;
		struct item *copy = util_alloc(1, sizeof(*copy));

		*copy = *i;
		copy->value = util_strdup(i->value);
		g_hash_table_insert(to, util_strdup(key), copy);
	}
}

static void take_copy(struct fleet *f)
{
	copy_items(f->copy_items, f->items);
	f->copy_rev = f->rev;
}

/*
 * The store comes back from the copy. What was written since is written again,
 * but for the leases and entries of the hosts, which is their own affair.
 */
static void restore(struct fleet *f)
{
	uint32_t i;

	f->store_trouble_end_us =
		util_max_i64(f->store_trouble_end_us, f->now_us + 2 * US_PER_S);
	end_watches(f, ERR_STORE_DOWN);
	copy_items(f->items, f->copy_items);
	f->rev = f->copy_rev;
	f->era++;
	f->forgotten_rev = f->rev;
	g_ptr_array_set_size(f->changes, 0);
	g_hash_table_remove_all(f->leases);
	f->last_lease = 0;
	for (i = 0; i < TARGETS; i++) {
		f->removed_us[i] = f->wanted[i] ? 0 : f->now_us;
		/* Targets count their writes, also those that nobody saw. */
		if (f->wanted[i]) {
			free(f->wanted[i]);
			f->wanted[i] = target_value(f, i, 0);
		}
		event_new(f, f->now_us + ms_between(f, 0, 2000),
			  on_target_write)
			->peer = i;
	}
	f->version_us = INT64_MAX;
	event_new(f, f->now_us + ms_between(f, 0, 2000), on_config_write);
}

static void store_down(struct fleet *f)
{
	f->down_until_us = f->now_us + ms_between(f, 300, 5000);
	f->is_silent = (int)below(f, 2);
	f->store_trouble_end_us =
		util_max_i64(f->store_trouble_end_us, f->down_until_us);
	if (!f->is_silent)
		end_watches(f, ERR_STORE_DOWN);
}

static void draw_trouble(struct fleet *f)
{
	static const char *const names[] = {
		"cut of",      "refusal of",	    "cut of a data centre",
		"pause of",    "restarts in turn",  "store down",
		"watches cut", "history forgotten", "copy or return",
	};
	struct host *h = any_host(f);
	int64_t until_us = f->now_us + ms_between(f, 300, 6000);
	uint32_t kind = below(f, countof(names));

	/* Host and time are those of the kinds for one host. */
	trace(f, "trouble: %s h%u, %lld ms", names[kind], h->no,
	      (long long)(until_us - f->now_us) / US_PER_MS);
	switch (kind) {
	case 0:
		h->cut_until_us = util_max_i64(h->cut_until_us, until_us);
		trouble_until(h, until_us);
		break;
	case 1:
		h->refused_until_us =
			util_max_i64(h->refused_until_us, until_us);
		trouble_until(h, until_us);
		break;
	case 2:
		cut_data_centre(f);
		break;
	case 3:
		h->paused_until_us = util_max_i64(h->paused_until_us, until_us);
		trouble_until(h, until_us);
		break;
	case 4:
		roll_hosts(f);
		break;
	case 5:
		store_down(f);
		break;
	case 6:
		/* The store may cut watches that wait, without any trouble. */
		end_watches(f, ERR_STORE_DOWN);
		break;
	case 7:
		f->forgotten_rev = f->rev;
		break;
	default:
		if (below(f, 3) == 0)
			restore(f);
		else
			take_copy(f);
		break;
	}
}

static void on_trouble(struct fleet *f, struct event *e)
{
	if (f->now_us >= TROUBLE_UNTIL_US)
		return;
	draw_trouble(f);
	event_new(f, f->now_us + ms_between(f, 50, 2500), on_trouble);
}

static void on_change(struct fleet *f, struct event *e)
{
	if (below(f, 6) == 0)
		change_config(f);
	else
		change_target(f);
	if (f->now_us < TROUBLE_UNTIL_US)
		event_new(f, f->now_us + ms_between(f, 20, 500), on_change);
}

/* The store deletes what hangs on leases that have ended. */
static void end_leases(struct fleet *f)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, f->leases);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (*(int64_t *)value <= f->now_us)
			g_hash_table_iter_remove(&it);
	}
	g_hash_table_iter_init(&it, f->items);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct item *i = value;
		g_autofree char *name = NULL;

		if (!i->lease || g_hash_table_contains(f->leases, &i->lease))
			continue;
		name = g_strdup(key);
		put_item(f, name, NULL, 0);
		return;
	}
}

/* Judgement. */

/* 1 if the host and the store have been without trouble for the contact time. */
static int is_in_touch(const struct fleet *f, const struct host *h)
{
	return h->control && h->view &&
	       f->now_us >= h->trouble_end_us + f->contact_us &&
	       f->now_us >= f->store_trouble_end_us + f->contact_us;
}

static int has_target(const struct gw_view *v, uint32_t no)
{
	char id[NAME_BYTES];
	uint32_t i;

	snprintf(id, sizeof(id), "t%u", no);
	for (i = 0; i < v->target_count; i++) {
		if (strcmp(v->targets[i].id, id) == 0)
			return 1;
	}
	return 0;
}

static void check_host(struct fleet *f, const struct host *h)
{
	int64_t bound_us = f->apply_ms * (int64_t)US_PER_MS;
	uint32_t i;

	for (i = 0; i < TARGETS; i++) {
		if (f->removed_us[i] && !f->wanted[i] &&
		    f->now_us > f->removed_us[i] + bound_us &&
		    has_target(h->view, i))
			g_error("seed %u, %lld ms: host %u uses t%u, which was "
				"removed %lld ms ago, bound %u",
				f->seed, (long long)f->now_us / US_PER_MS,
				h->no, i,
				(long long)(f->now_us - f->removed_us[i]) /
					US_PER_MS,
				f->apply_ms);
	}
	if (f->version_us != INT64_MAX &&
	    f->now_us > f->version_us + bound_us && h->version < f->version)
		g_error("seed %u, %lld ms: host %u has version %llu, version "
			"%llu was written %lld ms ago, bound %u",
			f->seed, (long long)f->now_us / US_PER_MS, h->no,
			(unsigned long long)h->version,
			(unsigned long long)f->version,
			(long long)(f->now_us - f->version_us) / US_PER_MS,
			f->apply_ms);
}

static void on_check(struct fleet *f, struct event *e)
{
	uint32_t i;

	end_leases(f);
	for (i = 0; i < f->host_count; i++) {
		if (is_in_touch(f, &f->hosts[i]))
			check_host(f, &f->hosts[i]);
	}
	event_new(f, f->now_us + CHECK_US, on_check);
}

/* After the quiet time each host has what the store has. */
static void check_quiet(struct fleet *f)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < f->host_count; i++) {
		const struct host *h = &f->hosts[i];

		g_assert_true(is_in_touch(f, h));
		if (h->view->entry_count != f->host_count)
			g_error("seed %u: host %u knows %u hosts", f->seed, i,
				h->view->entry_count);
		for (k = 0; k < TARGETS; k++) {
			if (has_target(h->view, k) != (f->wanted[k] != NULL))
				g_error("seed %u: host %u differs from the "
					"store in t%u",
					f->seed, i, k);
		}
		if (h->version != f->version)
			g_error("seed %u: host %u has version %llu", f->seed, i,
				(unsigned long long)h->version);
	}
}

static int64_t next_us(const struct fleet *f)
{
	int64_t next = timer_queue_next_us(f->events);
	uint32_t i;

	for (i = 0; i < f->host_count; i++) {
		const struct host *h = &f->hosts[i];
		int64_t due_us;

		if (!h->control)
			continue;
		due_us = timer_queue_next_us(duty_timers(h->control->duty));
		if (due_us < 0)
			continue;
		due_us = util_max_i64(due_us, h->paused_until_us);
		if (next < 0 || due_us < next)
			next = due_us;
	}
	return util_max_i64(next, f->now_us);
}

static void run_until(struct fleet *f, int64_t until_us)
{
	uint32_t i;

	while (next_us(f) <= until_us) {
		f->now_us = next_us(f);
		timer_queue_run(f->events, f->now_us);
		for (i = 0; i < f->host_count; i++) {
			struct host *h = &f->hosts[i];

			if (!h->control)
				continue;
			trace_host = i;
			trace_ms = f->now_us / US_PER_MS;
			if (f->now_us >= h->paused_until_us)
				timer_queue_run(duty_timers(h->control->duty),
						f->now_us);
			take_output(f, h);
		}
	}
}

static void fleet_init(struct fleet *f, uint32_t seed, uint32_t host_count)
{
	uint32_t i;

	f->rand = g_rand_new_with_seed(seed);
	f->seed = seed;
	f->now_us = US_PER_S;
	f->apply_ms = below(f, 2) ? 5000 : 3000;
	f->contact_us = f->apply_ms == 5000 ? 5 * US_PER_S : 4 * US_PER_S;
	f->events = timer_queue_new();
	f->open_events = g_hash_table_new(g_direct_hash, g_direct_equal);
	f->host_count = host_count;
	f->era = 1;
	f->rev = 1;
	f->items = items_new();
	f->copy_items = items_new();
	f->changes = g_ptr_array_new_with_free_func(change_free);
	f->waiting = g_ptr_array_new();
	f->leases =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, free, free);
	f->version = 1;
	on_config_write(f, NULL);
	for (i = 0; i < TARGETS; i++) {
		char key[KV_KEY_BYTES];

		f->wanted[i] = target_value(f, i, 0);
		target_key(key, i);
		put_item(f, key, f->wanted[i], 0);
	}
	take_copy(f);
	for (i = 0; i < host_count; i++) {
		struct host *h = &f->hosts[i];

		h->no = i;
		h->data_centre[0] = (char)('a' + i % 2);
		h->open_calls = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, free, NULL);
		start_host(f, h);
	}
	event_new(f, TROUBLE_FROM_US, on_trouble);
	event_new(f, TROUBLE_FROM_US, on_change);
	event_new(f, TROUBLE_FROM_US, on_check);
}

static void fleet_clear(struct fleet *f)
{
	GHashTableIter it;
	gpointer event;
	uint32_t i;

	for (i = 0; i < f->host_count; i++) {
		stop_host(&f->hosts[i]);
		g_hash_table_destroy(f->hosts[i].open_calls);
	}
	g_hash_table_iter_init(&it, f->open_events);
	while (g_hash_table_iter_next(&it, &event, NULL)) {
		g_hash_table_iter_steal(&it);
		event_free(event);
	}
	g_hash_table_destroy(f->open_events);
	for (i = 0; i < TARGETS; i++)
		free(f->wanted[i]);
	g_ptr_array_free(f->waiting, TRUE);
	g_ptr_array_free(f->changes, TRUE);
	g_hash_table_destroy(f->items);
	g_hash_table_destroy(f->copy_items);
	g_hash_table_destroy(f->leases);
	timer_queue_free(f->events);
	g_rand_free(f->rand);
}

static uint32_t runs = RUNS_DEFAULT;
static uint32_t first_seed = 1;
static uint32_t host_count;

static void test_fleet(void)
{
	uint32_t i;

	for (i = 0; i < runs; i++) {
		struct fleet f = { 0 };
		uint32_t seed = first_seed + i;

		fleet_init(&f, seed,
			   host_count ? host_count
				      : 3 + seed % (HOSTS_DEFAULT - 2));
		run_until(&f, END_US);
		check_quiet(&f);
		fleet_clear(&f);
	}
}

static void log_line(void *ctx, const char *line)
{
	if (is_traced)
		fprintf(stderr, "%lld ms:  h%u %s\n", (long long)trace_ms,
			trace_host, strstr(line, "\"event\""));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	is_traced = g_getenv("FLEET_TRACE") != NULL;
	log_init("fleet", log_line, NULL);
	if (argc > 1)
		runs = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		first_seed = (uint32_t)strtoul(argv[2], NULL, 10);
	if (argc > 3)
		host_count = util_min_u32((uint32_t)strtoul(argv[3], NULL, 10),
					  HOSTS_MAX);
	g_test_add_func("/fleet/trouble", test_fleet);
	return g_test_run();
}

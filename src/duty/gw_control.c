#include "duty/gw_control.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "controller/dsc.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "platform/pl_config.h"

#define RING_CAPACITY 4096
/*
 * Longest wait of one watch call at the store, as a part of apply_ms: one that
 * hears nothing of changes is replaced before they are due.
 */
#define WATCH_WAIT_PERMILLE 800
/* Watches without a change in a row until control hears of them. */
#define WATCH_MS 60000
/* Part of apply_ms within which changes are read by one call. */
#define WATCH_GAP_PERMILLE 300
/* After a failed watch; the store client adds its own backoff. */
#define WATCH_RETRY_US (150 * US_PER_MS)
/* Every other call to the store. */
#define CALL_MS 2000
/* A host that is gone for this long has lost its lease. */
#define LEASE_TTL_MS 9000
#define LEASE_RENEW_US (3 * US_PER_S)
/*
 * A host whose entry lapsed may only be cut off from the store: it goes on
 * serving with its part of the shared limits.
 */
#define HOST_LINGER_US (60 * US_PER_S)

/* Tokens of the calls to the store. */
enum call_id { CALL_WATCH, CALL_LEASE, CALL_REGISTER, CALL_RENEW };

struct gw_control {
	struct duty *duty;
	struct gw_control_options opt;
	/* Store revision up to which changes are known; 0: none. */
	uint64_t version;
	/* The last watch failed. */
	int is_lost;
	struct tmr_sub watch_timer;
	struct route_config *config;
	struct dsc *dsc;
	/* Host name to the time it was last seen gone; 0 while present. */
	GHashTable *hosts;
	uint64_t lease;
	struct tmr_sub lease_timer;
	/* Armed when the view is to be published, once for a batch of changes. */
	struct tmr_sub publish_timer;
};

static void call_store(struct gw_control *c, const struct kv_call *call,
		       uint64_t token)
{
	struct kv_request *r = cu_alloc(1, sizeof(*r));
	struct msg m = { MSG_KV_CALL, r, NULL };

	r->call = *call;
	r->reply_to = duty_ring(c->duty);
	r->token = token;
	if (ring_push(c->opt.store, &m) != ERR_OK)
		kv_request_free(r);
}

/* One watch covers all keys, so that it counts as one call. */
static void watch(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	struct kv_call call = { .op = KV_WATCH,
				.version = c->version,
				.ttl_ms = c->opt.apply_ms *
					  WATCH_WAIT_PERMILLE / PERMILLE,
				.timeout_ms = WATCH_MS };

	cu_copy(call.key, sizeof(call.key), PL_PREFIX_ALL);
	call_store(c, &call, CALL_WATCH);
}

static void watch_after(struct gw_control *c, int64_t at_us)
{
	tmr_arm(duty_timers(c->duty), &c->watch_timer, at_us, watch, c);
}

static uint32_t host_count(const struct gw_control *c, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, c->hosts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const int64_t *gone_us = value;

		n += !*gone_us || now_us - *gone_us < HOST_LINGER_US;
	}
	return n ? n : c->opt.hosts_assumed;
}

static void drop_view(void *body)
{
	gw_view_unref(body);
}

static void publish(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	struct gw_view *v = gw_view_new(dsc_count(c->dsc));
	struct msg m = { MSG_GW_VIEW, v, drop_view };

	dsc_fill(c->dsc, v->searchers);
	if (c->config)
		v->config = route_config_ref(c->config);
	v->host_count = host_count(c, now_us);
	metric_set(M_HOSTS_LIVE, v->host_count);
	c->opt.hosts(c->opt.notify_ctx, v->host_count);
	if (ring_push(c->opt.views, &m) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "ring_full", "view dropped");
		gw_view_unref(v);
	}
}

static void on_changed(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;

	tmr_arm(duty_timers(c->duty), &c->publish_timer, now_us, publish, c);
}

static void take_config(struct gw_control *c, const struct kv_pair *p,
			int64_t now_us)
{
	struct err err = { 0 };
	struct route_config *config;

	config = pl_config_decode(p->value, p->value_bytes, &err);
	if (!config) {
		metric_add(M_CONFIG_REFUSED, 1);
		log_event(LOG_LEVEL_ERROR, "config_refused", "%d %s: %s",
			  (int)err.code, err_name(err.code), err.detail);
		return;
	}
	if (c->config && config->version <= c->config->version) {
		if (config->version < c->config->version)
			log_event(LOG_LEVEL_WARNING, "config_stale",
				  "version %llu is below %llu in force",
				  (unsigned long long)config->version,
				  (unsigned long long)c->config->version);
		route_config_unref(config);
		return;
	}
	log_event(LOG_LEVEL_INFO, "config_adopted",
		  "version %llu at store revision %llu",
		  (unsigned long long)config->version,
		  (unsigned long long)p->version);
	route_config_unref(c->config);
	c->config = config;
	metric_set(M_CONFIG_REV, config->version);
	c->opt.limits(c->opt.notify_ctx, &config->limits);
	on_changed(c, now_us);
}

static void take_searcher(struct gw_control *c, const char *id,
			  const struct kv_pair *p, int64_t now_us)
{
	struct err err = { 0 };
	struct searcher s;

	if (!p->value) {
		dsc_remove(c->dsc, id, now_us);
		return;
	}
	if (pl_searcher_decode(id, p->value, p->value_bytes, &s, &err) !=
	    ERR_OK) {
		log_event(LOG_LEVEL_WARNING, "target_entry_refused", "%s",
			  err.detail);
		dsc_remove(c->dsc, id, now_us);
		return;
	}
	dsc_put(c->dsc, &s, now_us);
}

static void set_host(struct gw_control *c, const char *name, int64_t gone_us,
		     int64_t now_us)
{
	int64_t *v = g_hash_table_lookup(c->hosts, name);

	if (!v) {
		v = cu_alloc(1, sizeof(*v));
		g_hash_table_insert(c->hosts, cu_strdup(name), v);
	}
	*v = gone_us;
	on_changed(c, now_us);
}

static void take_pair(struct gw_control *c, const struct kv_pair *p,
		      int64_t now_us)
{
	const char *name;

	switch (pl_key_kind(p->key, &name)) {
	case PL_KEY_CONFIG:
		if (p->value)
			take_config(c, p, now_us);
		break;
	case PL_KEY_SEARCHER:
		take_searcher(c, name, p, now_us);
		break;
	case PL_KEY_EVACUATION:
		dsc_evacuate(c->dsc, name, p->value != NULL, now_us);
		break;
	case PL_KEY_HOST:
		set_host(c, name, p->value ? 0 : now_us, now_us);
		break;
	default:
		break;
	}
}

static void watch_lost(struct gw_control *c, const struct err *err,
		       int64_t now_us)
{
	if (!c->is_lost)
		log_event(LOG_LEVEL_WARNING, "store_lost", "%s: %s",
			  err_name(err->code), err->detail);
	c->is_lost = 1;
	watch_after(c, now_us + WATCH_RETRY_US);
}

static void watch_done(struct gw_control *c, const struct kv_result *r,
		       int64_t now_us)
{
	uint32_t i;

	if (r->err.code != ERR_OK) {
		watch_lost(c, &r->err, now_us);
		return;
	}
	if (c->is_lost) {
		log_event(LOG_LEVEL_INFO, "store_regained", "revision %llu",
			  (unsigned long long)r->version);
		dsc_store_back(c->dsc, now_us);
	}
	c->is_lost = 0;
	if (r->is_snapshot)
		dsc_list(c->dsc);
	for (i = 0; i < r->pair_count; i++)
		take_pair(c, &r->pairs[i], now_us);
	if (r->is_snapshot)
		dsc_listed(c->dsc, now_us);
	c->version = r->version;
	watch_after(c, now_us + (int64_t)c->opt.apply_ms * US_PER_MS *
					WATCH_GAP_PERMILLE / PERMILLE);
}

static void on_lease_timer(void *ctx, int64_t now_us);

static void arm_lease(struct gw_control *c, int64_t at_us)
{
	tmr_arm(duty_timers(c->duty), &c->lease_timer, at_us, on_lease_timer,
		c);
}

/* Grants a lease, or renews the one held. */
static void on_lease_timer(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	struct kv_call call = { .op = c->lease ? KV_LEASE_RENEW
					       : KV_LEASE_GRANT,
				.lease = c->lease,
				.ttl_ms = LEASE_TTL_MS,
				.timeout_ms = CALL_MS };

	call_store(c, &call, c->lease ? CALL_RENEW : CALL_LEASE);
}

/* Writes this host's entry; @version: revision of the entry that is there. */
static void register_host(struct gw_control *c, uint64_t version)
{
	struct kv_call call = { .op = KV_CAS,
				.version = version,
				.value = cu_strdup("{}"),
				.value_bytes = 2,
				.lease = c->lease,
				.timeout_ms = CALL_MS };

	cu_copy(call.key, sizeof(call.key), PL_PREFIX_HOSTS);
	cu_copy(call.key + strlen(PL_PREFIX_HOSTS),
		sizeof(call.key) - strlen(PL_PREFIX_HOSTS), c->opt.host);
	call_store(c, &call, CALL_REGISTER);
}

static void lease_done(struct gw_control *c, const struct kv_result *r,
		       int64_t now_us)
{
	arm_lease(c, now_us + LEASE_RENEW_US);
	if (r->err.code != ERR_OK)
		return;
	c->lease = r->lease;
	register_host(c, 0);
}

static void register_done(struct gw_control *c, const struct kv_result *r,
			  int64_t now_us)
{
	/* The entry of an earlier process of this host is still there. */
	if (r->err.code == ERR_STORE_CONFLICT && r->version)
		register_host(c, r->version);
	else if (r->err.code != ERR_OK)
		c->lease = 0;
}

static void renew_done(struct gw_control *c, const struct kv_result *r,
		       int64_t now_us)
{
	if (r->err.code == ERR_STORE_NOT_FOUND) {
		log_event(LOG_LEVEL_WARNING, "lease_lost",
			  "entry of this host lapsed in the store");
		c->lease = 0;
		on_lease_timer(c, now_us);
		return;
	}
	arm_lease(c, now_us + LEASE_RENEW_US);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct gw_control *c = ctx;
	struct kv_reply *r = m->body;

	if (m->type != MSG_KV_RESULT) {
		if (m->drop)
			m->drop(m->body);
		return;
	}
	switch (r->token) {
	case CALL_LEASE:
		lease_done(c, &r->result, now_us);
		break;
	case CALL_REGISTER:
		register_done(c, &r->result, now_us);
		break;
	case CALL_RENEW:
		renew_done(c, &r->result, now_us);
		break;
	default:
		watch_done(c, &r->result, now_us);
		break;
	}
	kv_reply_free(r);
}

struct gw_control *gw_control_new(const struct gw_control_options *o,
				  struct err *err)
{
	struct gw_control *c = cu_alloc(1, sizeof(*c));

	c->opt = *o;
	c->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
	c->duty = duty_new("control", RING_CAPACITY, NULL, NULL, err);
	if (!c->duty) {
		gw_control_free(c);
		return NULL;
	}
	c->dsc = dsc_new(duty_timers(c->duty), on_changed, c);
	return c;
}

enum err_code gw_control_start(struct gw_control *c, struct err *err)
{
	int64_t now_us = clock_now_us();

	watch_after(c, now_us);
	arm_lease(c, now_us);
	return duty_start(c->duty, on_message, c, err);
}

void gw_control_stop(struct gw_control *c)
{
	duty_stop(c->duty);
	duty_join(c->duty);
}

void gw_control_free(struct gw_control *c)
{
	if (!c)
		return;
	dsc_free(c->dsc);
	g_hash_table_destroy(c->hosts);
	route_config_unref(c->config);
	duty_free(c->duty);
	free(c);
}

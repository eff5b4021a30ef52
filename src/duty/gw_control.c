#include "duty/gw_control.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "codec/gw_host_json.h"
#include "decide/kv_limiter.h"
#include "duty/gw_control_internal.h"
#include "model/store_pos.h"
#include "platform/platform_docs.h"

#define RING_CAPACITY 4096
/*
 * A host whose entry is gone still counts for this long: it may only be cut off
 * from the store and go on serving with its part of the shared limits.
 */
#define HOST_GRACE_US (60 * US_PER_S)

int gw_control_store_call(struct gw_control *c, const struct kv_call *call,
			  enum store_call_kind kind)
{
	struct kv_request *r;
	struct msg m = { MSG_KV_REQUEST, NULL, NULL };
	int is_of_era = store_pos_era(call->rev) == c->era;

	if (call->rev && !is_of_era && kv_op_is_write(call->op)) {
		free(call->value);
		return 0;
	}
	r = util_alloc(1, sizeof(*r));
	m.body = r;
	r->call = *call;
	r->call.rev = is_of_era ? store_pos_rev(call->rev) : 0;
	r->reply_to = duty_ring(c->duty);
	r->call_id = kind;
	if (ring_push(c->opt.store, &m) != ERR_OK)
		kv_request_free(r);
	return 1;
}

static uint32_t host_count(const struct gw_control *c, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, c->hosts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const int64_t *gone_us = value;

		n += !*gone_us || now_us - *gone_us < HOST_GRACE_US;
	}
	return n ? n : c->opt.hosts_assumed;
}

static void drop_view(void *body)
{
	gw_view_unref(body);
}

static void publish_view(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	struct gw_view *v = gw_view_new(discovery_count(c->discovery));
	struct msg m = { MSG_GW_VIEW, v, drop_view };

	discovery_fill(c->discovery, v->targets);
	if (c->config)
		v->config = route_config_ref(c->config);
	v->host_count = host_count(c, now_us);
	v->entry_count = host_tree_count(c->host_tree);
	v->entries = util_alloc(v->entry_count, sizeof(v->entries[0]));
	host_tree_fill(c->host_tree, v->entries);
	v->shares =
		util_alloc(canary_share_max(c->rollouts), sizeof(v->shares[0]));
	v->share_count = canary_shares(c->rollouts, v->shares);
	metric_set(METRIC_HOSTS_LIVE, v->host_count);
	c->opt.host_count_changed(c->opt.notify_ctx, v->host_count);
	if (ring_push(c->opt.views, &m) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "ring_full", "view dropped");
		gw_view_unref(v);
	}
}

void gw_control_schedule_publish(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;

	timer_queue_arm(duty_timers(c->duty), &c->publish_timer, now_us,
			publish_view, c);
}

static void apply_config(struct gw_control *c, const struct kv_pair *p,
			 int64_t now_us)
{
	struct err err = { 0 };
	struct route_config *config;

	config = platform_config_decode(p->value, p->value_bytes, &err);
	if (!config) {
		metric_add(METRIC_CONFIG_ITEMS_REFUSED, 1);
		log_event(LOG_LEVEL_ERROR, "config_refused", "%d %s: %s",
			  (int)err.code, err_name(err.code), err.detail);
		return;
	}
	if (c->config && config->version <= c->config->version) {
		if (config->version < c->config->version)
			log_event(LOG_LEVEL_WARNING, "config_stale",
				  "version %llu is ignored, version %llu is in "
				  "force",
				  (unsigned long long)config->version,
				  (unsigned long long)c->config->version);
		route_config_unref(config);
		return;
	}
	log_event(LOG_LEVEL_INFO, "config_adopted",
		  "version %llu at store revision %llu",
		  (unsigned long long)config->version,
		  (unsigned long long)store_pos_rev(p->rev));
	route_config_unref(c->config);
	c->config = config;
	metric_set(METRIC_CONFIG_REV, config->version);
	c->opt.limits_changed(c->opt.notify_ctx, &config->limits);
	gw_control_schedule_publish(c, now_us);
}

static void apply_target(struct gw_control *c, const char *id,
			 const struct kv_pair *p, int64_t now_us)
{
	struct err err = { 0 };
	struct target_entry target;

	if (!p->value) {
		discovery_remove(c->discovery, id, now_us);
		return;
	}
	if (platform_target_decode(id, p->value, p->value_bytes, &target,
				   &err) != ERR_OK) {
		log_event(LOG_LEVEL_WARNING, "target_entry_refused", "%s",
			  err.detail);
		discovery_remove(c->discovery, id, now_us);
		return;
	}
	discovery_put(c->discovery, &target, now_us);
}

static void apply_host(struct gw_control *c, const char *name,
		       const struct kv_pair *p, int64_t now_us)
{
	int64_t *gone_us = g_hash_table_lookup(c->hosts, name);
	struct host_entry h = { 0 };
	struct err err = { 0 };

	if (!gone_us) {
		gone_us = util_alloc(1, sizeof(*gone_us));
		g_hash_table_insert(c->hosts, util_strdup(name), gone_us);
	}
	*gone_us = p->value ? 0 : now_us;
	if (p->value && util_copy_str(h.name, sizeof(h.name), name) &&
	    gw_host_json_decode(p->value, p->value_bytes, &h, &err) == ERR_OK)
		host_tree_put(c->host_tree, &h, now_us);
	else
		host_tree_remove(c->host_tree, name);
	if (p->value && err.code != ERR_OK)
		log_event(LOG_LEVEL_WARNING, "host_entry_refused", "%s: %s",
			  name, err.detail);
	gw_control_schedule_publish(c, now_us);
}

void gw_control_apply_pair(struct gw_control *c, const struct kv_pair *p,
			   int64_t now_us)
{
	const char *name;

	switch (platform_key_parse(p->key, &name)) {
	case PLATFORM_KEY_CONFIG:
		if (p->value)
			apply_config(c, p, now_us);
		break;
	case PLATFORM_KEY_TARGET:
		apply_target(c, name, p, now_us);
		break;
	case PLATFORM_KEY_EVACUATION:
		discovery_set_evacuated(c->discovery, name, p->value != NULL,
					now_us);
		break;
	case PLATFORM_KEY_HOST:
		apply_host(c, name, p, now_us);
		break;
	case PLATFORM_KEY_ROLLOUT_ORDER:
	case PLATFORM_KEY_ROLLOUT_STATUS:
	case PLATFORM_KEY_ROLLOUT:
		gw_control_apply_rollout(c, p, now_us);
		break;
	default:
		break;
	}
}

/* Turns the revisions of @r into positions; the result stays an error then. */
static void set_positions(struct kv_result *r)
{
	uint32_t i;

	if (r->rev > STORE_REV_MAX) {
		err_set(&r->err, ERR_STORE_ANSWER, "revision out of range");
		return;
	}
	r->rev = store_pos(r->era, r->rev);
	for (i = 0; i < r->pair_count; i++)
		r->pairs[i].rev =
			store_pos(r->era, r->pairs[i].rev & STORE_REV_MAX);
}

/*
 * Notes the era of @r. Returns 0 if it is a result of an earlier one than is
 * known, or, but for an error, of none: the answer was under way when the store
 * came back, or was not the store's.
 */
static int check_era(struct gw_control *c, struct kv_result *r, int64_t now_us)
{
	gw_control_hear_era(c, r->era, "the store", now_us);
	if (r->era == c->era || (!r->era && r->err.code != ERR_OK))
		return 1;
	err_set(&r->err, ERR_STORE_STALE, "answer of era %llu, known is %llu",
		(unsigned long long)r->era, (unsigned long long)c->era);
	return 0;
}

void gw_control_store_result(struct gw_control *c, enum store_call_kind kind,
			     const char *key, struct kv_result *r,
			     int64_t now_us)
{
	uint64_t era_before = c->era;
	int is_current = check_era(c, r, now_us);
	int is_new_era = c->era != era_before;

	set_positions(r);
	switch (kind) {
	case STORE_CALL_WATCH:
	case STORE_CALL_READ:
		if (r->err.code == ERR_OK && !r->is_full &&
		    !gw_control_is_listed(c))
			gw_control_relist(c, kind, now_us);
		else if (kind == STORE_CALL_WATCH)
			gw_control_watch_done(c, r, now_us);
		else
			gw_control_read_done(c, r, now_us);
		break;
	case STORE_CALL_LEASE:
	case STORE_CALL_REGISTER:
	case STORE_CALL_RENEW:
		/* The entry is written again in the new era. */
		if (!is_current || (is_new_era && era_before)) {
			gw_control_registration_lost(c, now_us);
			break;
		}
		if (kind == STORE_CALL_LEASE)
			gw_control_lease_done(c, r, now_us);
		else if (kind == STORE_CALL_REGISTER)
			gw_control_register_done(c, r, now_us);
		else
			gw_control_renew_done(c, r, now_us);
		break;
	case STORE_CALL_ROLLOUT:
		gw_control_rollout_write_done(c, key, r);
		break;
	}
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct gw_control *c = ctx;
	struct rollout_report_list *reports = m->body;
	struct kv_reply *reply = m->body;

	switch (m->type) {
	case MSG_KV_REPLY:
		gw_control_store_result(c, (enum store_call_kind)reply->call_id,
					reply->key, &reply->result, now_us);
		kv_reply_free(reply);
		break;
	case MSG_FOLLOW_RESULT:
		gw_control_follow_done(c, m->body, now_us);
		follow_result_free(m->body);
		break;
	case MSG_FOLLOWER_CALL:
		gw_control_follower_call(c, m->body, now_us);
		break;
	case MSG_TARGET_HEALTH:
		gw_control_local_health(c, m->body, now_us);
		free(m->body);
		break;
	case MSG_HEALTH_RECEIVED:
		gw_control_peer_health(c, m->body, now_us);
		free(m->body);
		break;
	case MSG_ROLLOUT_REPORTS:
		gw_control_add_reports(c, reports->list, reports->count,
				       now_us);
		free(reports);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
		break;
	}
}

struct gw_control *gw_control_new(const struct gw_control_options *o,
				  struct err *err)
{
	struct gw_control *c = util_alloc(1, sizeof(*c));
	uint32_t i;

	c->opt = *o;
	c->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
	c->mirror = store_mirror_new();
	c->host_tree = host_tree_new(&o->self);
	gw_control_init_rollouts(c);
	c->health = health_totals_new();
	for (i = 0; i < o->seed_count; i++)
		host_tree_add_seed(c->host_tree, o->seeds[i].address,
				   o->seeds[i].port);
	c->duty = duty_new("control", RING_CAPACITY, NULL, NULL, err);
	if (!c->duty) {
		gw_control_free(c);
		return NULL;
	}
	c->discovery = discovery_new(duty_timers(c->duty),
				     gw_control_schedule_publish, c);
	return c;
}

struct ring *gw_control_ring(struct gw_control *c)
{
	return duty_ring(c->duty);
}

enum err_code gw_control_start(struct gw_control *c, struct err *err)
{
	int64_t now_us = clock_now_us();

	gw_control_start_source(c, now_us);
	gw_control_start_register(c, now_us);
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
	gw_control_free_source(c);
	gw_control_free_rollouts(c);
	health_totals_free(c->health);
	discovery_free(c->discovery);
	host_tree_free(c->host_tree);
	store_mirror_free(c->mirror);
	g_hash_table_destroy(c->hosts);
	route_config_unref(c->config);
	duty_free(c->duty);
	free(c);
}

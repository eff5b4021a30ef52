#include "duty/controllers.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "codec/cfg_json.h"
#include "duty/control_admin.h"
#include "duty/controllers_internal.h"
#include "duty/control_internal.h"

/* Per data centre; the same number of hosts watches the store. */
#define CANDIDATES 2
#define MEMBERS_PERIOD_US (1 * (int64_t)US_PER_S)
/* The windows advance in steps of 10 s. */
#define ALARMS_PERIOD_US (10 * (int64_t)US_PER_S)

static int64_t wall_ms(void)
{
	return clock_wall_us() / US_PER_MS;
}

static void apply_dc(struct controllers *o, int64_t now_us,
		     const struct cfg_item *item)
{
	const char *name = item->name + strlen("dc/");
	struct dc_item d = { 0 };
	struct err err = { 0 };

	if (item->json && cfg_json_decode_dc(item->json, &d, &err) != ERR_OK)
		return;
	evacuation_apply(o->evacuation, now_us, EVACUATION_DATA_CENTRE, name,
			 d.is_out ? EVACUATION_OUT : EVACUATION_IN, item->rev);
}

static void apply_host(struct controllers *o, int64_t now_us,
		       const struct cfg_item *item)
{
	const char *name = item->name + strlen("host/");
	struct host_item h = { 0 };
	struct err err = { 0 };

	if (item->json && cfg_json_decode_host(item->json, &h, &err) != ERR_OK)
		return;
	evacuation_apply(o->evacuation, now_us, EVACUATION_HOST, name,
			 h.is_out ? EVACUATION_OUT : EVACUATION_IN, item->rev);
}

static void apply_rollout(struct controllers *o, int64_t now_us,
			  const struct cfg_item *item)
{
	struct rollout_item r;
	struct err err = { 0 };

	if (!item->json) {
		rollout_on_item_deleted(o->rollouts, item->name + strlen("rollo"
									 "ut"
									 "/"));
		return;
	}
	if (cfg_json_decode_rollout(item->json, &r, &err) != ERR_OK)
		return;
	if (rollout_on_item(o->rollouts, now_us, wall_ms(), &r, item->rev,
			    &err) != ERR_OK)
		log_event(LOG_LEVEL_ERROR, "rollout_refused", "%s", err.detail);
}

static int data_centre_out(const struct controllers *o, int64_t now_us)
{
	return evacuation_share_permille(o->evacuation, o->data_centre,
					 now_us) == 0;
}

static void check_out(struct controllers *o, int64_t now_us)
{
	uint32_t is_out = evacuation_host_is_out(o->evacuation, o->host) ||
			  data_centre_out(o, now_us);

	if (is_out == o->is_out_of_service)
		return;
	o->is_out_of_service = is_out;
	log_event(LOG_LEVEL_INFO, "host_out", "this host is %s service",
		  is_out ? "out of" : "in");
	if (o->out_of_service)
		o->out_of_service(o->out_of_service_ctx, is_out);
}

static void on_item(void *ctx, int64_t now_us, const struct cfg_item *item)
{
	struct controllers *o = ctx;

	control_admin_record_change(o->admin, item);
	if (strncmp(item->name, "dc/", 3) == 0)
		apply_dc(o, now_us, item);
	else if (strncmp(item->name, "host/", 5) == 0)
		apply_host(o, now_us, item);
	else if (strncmp(item->name, "rollout/", 8) == 0)
		apply_rollout(o, now_us, item);
	o->next_share_us = evacuation_next_change_us(o->evacuation, now_us);
	check_out(o, now_us);
}

static void count_member(void *ctx, const struct member_info *m)
{
	struct controllers *o = ctx;

	if (m->state != HOST_LIVE)
		return;
	o->host_count++;
	if (strcmp(m->data_centre, o->data_centre) == 0 &&
	    strcmp(m->host, o->host) < 0)
		o->rank++;
}

static void count_members(struct controllers *o)
{
	o->host_count = o->rank = 0;
	control_each_member(o->control, count_member, o);
	rollout_set_host_count(o->rollouts, o->host_count);
	rollout_set_candidate(o->rollouts, o->rank < CANDIDATES);
}

static int take_dirty(struct controllers *o)
{
	int dirty = (int)o->view_dirty;

	o->view_dirty = 0;
	return dirty;
}

static void log_alarm(void *ctx, const struct slo_report *r)
{
	log_event(r->alarm ? LOG_LEVEL_ERROR : LOG_LEVEL_INFO,
		  r->alarm ? "burn_alarm" : "burn_alarm_over",
		  "customer %s burns its budget at %llu times the allowed "
		  "rate, mostly %s",
		  r->customer, (unsigned long long)r->fast_burn_milli / 1000,
		  r->spent_by);
}

static void check_alarms(struct controllers *o, int64_t now_us)
{
	if (now_us < o->next_alarms_us)
		return;
	o->next_alarms_us = now_us + ALARMS_PERIOD_US;
	slo_each_alarm_change(o->slo, now_us, log_alarm, o);
}

static int on_tick(void *ctx, int64_t now_us)
{
	struct controllers *o = ctx;

	check_alarms(o, now_us);

	if (now_us >= o->next_members_us) {
		o->next_members_us = now_us + MEMBERS_PERIOD_US;
		count_members(o);
	}
	rollout_tick(o->rollouts, now_us, wall_ms());
	if (o->next_share_us >= 0 && now_us >= o->next_share_us) {
		o->next_share_us =
			evacuation_next_change_us(o->evacuation, now_us);
		o->view_dirty = 1;
	}
	return take_dirty(o);
}

static int on_evidence(void *ctx, int64_t now_us,
		       const struct request_report *e)
{
	struct controllers *o = ctx;
	uint32_t i;

	rollout_on_own_counts(o->rollouts, now_us, e->versions,
			      e->version_count);
	for (i = 0; i < e->customer_count; i++)
		slo_add(o->slo, now_us, &e->customers[i]);
	return take_dirty(o);
}

static int on_heartbeat_in(void *ctx, int64_t now_us, const struct heartbeat *h)
{
	struct controllers *o = ctx;

	rollout_on_peer_report(o->rollouts, now_us, h->host, h->rollouts,
			       h->rollout_count);
	return take_dirty(o);
}

static void on_heartbeat_out(void *ctx, int64_t now_us, struct heartbeat *h)
{
	struct controllers *o = ctx;

	h->dc_items_rev = evacuation_rev(o->evacuation);
	h->rollout_count = rollout_fill_report(o->rollouts, h->rollouts,
					       HEARTBEAT_ROLLOUTS_MAX);
}

struct view_walk {
	struct controllers *ops;
	struct view *view;
	int64_t now_us;
};

static void add_dc(struct view_walk *w, const char *name)
{
	struct view *v = w->view;
	struct dc_share *d;

	v->dcs = util_grow(v->dcs, v->dc_count + 1, sizeof(*v->dcs));
	d = &v->dcs[v->dc_count++];
	util_copy_str(d->data_centre, sizeof(d->data_centre), name);
	d->share_permille =
		evacuation_share_permille(w->ops->evacuation, name, w->now_us);
}

static void add_block(struct view_walk *w, const char *name)
{
	struct view *v = w->view;

	v->blocked_targets = util_grow(v->blocked_targets,
				       v->blocked_target_count + 1,
				       sizeof(*v->blocked_targets));
	util_copy_str(v->blocked_targets[v->blocked_target_count++].id,
		      NAME_BYTES, name);
}

static void view_dcs(void *ctx, enum evacuation_kind kind, const char *name,
		     enum evacuation_state state, uint64_t rev)
{
	if (kind == EVACUATION_DATA_CENTRE)
		add_dc(ctx, name);
	else if (state == EVACUATION_OUT)
		add_block(ctx, name);
}

static void view_version(void *ctx, const char *service, const char *version,
			 uint32_t share_permille)
{
	struct view_walk *w = ctx;
	struct view *v = w->view;
	struct version_share *vw;

	v->versions = util_grow(v->versions, v->version_count + 1,
				sizeof(*v->versions));
	vw = &v->versions[v->version_count++];
	util_copy_str(vw->service, sizeof(vw->service), service);
	util_copy_str(vw->version, sizeof(vw->version), version);
	vw->share_permille = share_permille;
}

static void on_view(void *ctx, int64_t now_us, struct view *v)
{
	struct controllers *o = ctx;
	struct view_walk w = { o, v, now_us };

	evacuation_each(o->evacuation, view_dcs, &w);
	rollout_each_share(o->rollouts, view_version, &w);
}

static enum err_code admin_edit(void *ctx, const char *item, const char *json,
				const char *who, uint64_t if_rev,
				control_admin_done_fn *done, void *done_ctx,
				struct err *err)
{
	struct controllers *o = ctx;

	return control_edit(o->control, item, json, who, if_rev, done, done_ctx,
			    err);
}

static const struct cfg_item *admin_item(void *ctx, const char *name)
{
	struct controllers *o = ctx;

	return control_item(o->control, name);
}

static void admin_each_item(void *ctx, const char *prefix,
			    void (*fn)(void *fn_ctx,
				       const struct cfg_item *item),
			    void *fn_ctx)
{
	struct controllers *o = ctx;

	control_each_item(o->control, prefix, fn, fn_ctx);
}

static void admin_each_member(void *ctx,
			      void (*fn)(void *fn_ctx,
					 const struct member_info *m),
			      void *fn_ctx)
{
	struct controllers *o = ctx;

	control_each_member(o->control, fn, fn_ctx);
}

static uint64_t admin_rev(void *ctx)
{
	struct controllers *o = ctx;

	return control_rev(o->control);
}

static int admin_store_up(void *ctx)
{
	struct controllers *o = ctx;

	return control_store_up(o->control);
}

static int64_t admin_now_us(void *ctx)
{
	return clock_now_us();
}

static int64_t admin_wall_ms(void *ctx)
{
	return wall_ms();
}

static void admin_log(void *ctx, const char *event, const char *text)
{
	log_event(LOG_LEVEL_INFO, event, "%s", text);
}

static const struct control_admin_ops admin_ops = {
	.edit = admin_edit,
	.item = admin_item,
	.each_item = admin_each_item,
	.each_member = admin_each_member,
	.rev = admin_rev,
	.store_up = admin_store_up,
	.now_us = admin_now_us,
	.wall_ms = admin_wall_ms,
	.log = admin_log,
};

struct controllers *controllers_new(struct control *c, const char *host,
				    const char *data_centre, uint64_t seed)
{
	struct controllers *o = util_alloc(1, sizeof(*o));
	struct control_hooks hooks = { .apply_item = on_item,
				       .tick = on_tick,
				       .evidence = on_evidence,
				       .heartbeat_received = on_heartbeat_in,
				       .fill_heartbeat = on_heartbeat_out,
				       .fill_view = on_view,
				       .ctx = o };

	o->control = c;
	o->next_share_us = -1;
	util_copy_str(o->host, sizeof(o->host), host);
	util_copy_str(o->data_centre, sizeof(o->data_centre), data_centre);
	o->evacuation = evacuation_new();
	o->rollouts = rollout_new(host, seed, &controllers_rollout_ops, o);
	o->slo = slo_new();
	o->admin = control_admin_new(host, data_centre, &admin_ops, o,
				     o->evacuation, o->rollouts, o->slo);
	control_add_hooks(c, &hooks);
	return o;
}

void controllers_free(struct controllers *o)
{
	if (!o)
		return;
	control_admin_free(o->admin);
	slo_free(o->slo);
	rollout_free(o->rollouts);
	evacuation_free(o->evacuation);
	free(o);
}

void controllers_on_out_of_service(struct controllers *o,
				   void (*fn)(void *ctx, uint32_t is_out),
				   void *ctx)
{
	o->out_of_service = fn;
	o->out_of_service_ctx = ctx;
}

/* The hooks carry the context, so control needs none for this handler. */
static struct controllers *ops_of(struct control *c)
{
	uint32_t i;

	for (i = 0; i < c->hook_count; i++) {
		if (c->hooks[i].apply_item == on_item)
			return c->hooks[i].ctx;
	}
	return NULL;
}

void controllers_admin_call(struct control *c, struct admin_call *call)
{
	control_admin_call(ops_of(c)->admin, call);
}

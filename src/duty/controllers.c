#include "duty/controllers.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "codec/cfg_json.h"
#include "duty/control_admin.h"
#include "duty/controllers_internal.h"
#include "duty/control_internal.h"

/*
 * Hosts of a data centre that may lead rollouts; as many of them watch the
 * store.
 */
#define CANDIDATES_PER_DC 2
#define MEMBERS_PERIOD_US (1 * (int64_t)US_PER_S)
/* The windows of the service levels advance in steps of 10 s. */
#define ALARMS_PERIOD_US (10 * (int64_t)US_PER_S)

#define DC_PREFIX "dc/"
#define HOST_PREFIX "host/"
#define ROLLOUT_PREFIX "rollout/"

static int64_t wall_ms(void)
{
	return clock_wall_us() / US_PER_MS;
}

static void apply_dc(struct controllers *c, int64_t now_us,
		     const struct cfg_item *item)
{
	const char *name = item->name + strlen(DC_PREFIX);
	struct dc_item dc = { 0 };
	struct err err = { 0 };

	if (item->json && cfg_json_decode_dc(item->json, &dc, &err) != ERR_OK)
		return;
	evacuation_apply(c->evacuation, now_us, EVACUATION_DATA_CENTRE, name,
			 dc.is_out ? EVACUATION_OUT : EVACUATION_IN, item->rev);
}

static void apply_host(struct controllers *c, int64_t now_us,
		       const struct cfg_item *item)
{
	const char *name = item->name + strlen(HOST_PREFIX);
	struct host_item host = { 0 };
	struct err err = { 0 };

	if (item->json &&
	    cfg_json_decode_host(item->json, &host, &err) != ERR_OK)
		return;
	evacuation_apply(c->evacuation, now_us, EVACUATION_HOST, name,
			 host.is_out ? EVACUATION_OUT : EVACUATION_IN,
			 item->rev);
}

static void apply_rollout(struct controllers *c, int64_t now_us,
			  const struct cfg_item *item)
{
	struct rollout_item rollout;
	struct err err = { 0 };

	if (!item->json) {
		rollout_on_item_deleted(c->rollouts,
					item->name + strlen(ROLLOUT_PREFIX));
		return;
	}
	if (cfg_json_decode_rollout(item->json, &rollout, &err) != ERR_OK)
		return;
	if (rollout_on_item(c->rollouts, now_us, wall_ms(), &rollout, item->rev,
			    &err) != ERR_OK)
		log_event(LOG_LEVEL_ERROR, "rollout_refused", "%s", err.detail);
}

static int data_centre_is_out(const struct controllers *c, int64_t now_us)
{
	return evacuation_share_permille(c->evacuation, c->data_centre,
					 now_us) == 0;
}

/*
 * Calls out_of_service() if this host or its data centre went out or came back.
 */
static void update_out_of_service(struct controllers *c, int64_t now_us)
{
	uint32_t is_out = evacuation_host_is_out(c->evacuation, c->host) ||
			  data_centre_is_out(c, now_us);

	if (is_out == c->is_out_of_service)
		return;
	c->is_out_of_service = is_out;
	log_event(LOG_LEVEL_INFO, "host_out", "this host is %s service",
		  is_out ? "out of" : "in");
	if (c->out_of_service)
		c->out_of_service(c->out_of_service_ctx, is_out);
}

static void on_item(void *ctx, int64_t now_us, const struct cfg_item *item)
{
	struct controllers *c = ctx;

	control_admin_record_change(c->admin, item);
	if (strncmp(item->name, DC_PREFIX, strlen(DC_PREFIX)) == 0)
		apply_dc(c, now_us, item);
	else if (strncmp(item->name, HOST_PREFIX, strlen(HOST_PREFIX)) == 0)
		apply_host(c, now_us, item);
	else if (strncmp(item->name, ROLLOUT_PREFIX, strlen(ROLLOUT_PREFIX)) ==
		 0)
		apply_rollout(c, now_us, item);
	c->next_share_us = evacuation_next_change_us(c->evacuation, now_us);
	update_out_of_service(c, now_us);
}

static void count_member(void *ctx, const struct member_info *m)
{
	struct controllers *c = ctx;

	if (m->state != HOST_LIVE)
		return;
	c->host_count++;
	if (strcmp(m->data_centre, c->data_centre) == 0 &&
	    strcmp(m->host, c->host) < 0)
		c->rank++;
}

static void count_members(struct controllers *c)
{
	c->host_count = c->rank = 0;
	control_each_member(c->control, count_member, c);
	rollout_set_host_count(c->rollouts, c->host_count);
	rollout_set_candidate(c->rollouts, c->rank < CANDIDATES_PER_DC);
}

/* Returns view_dirty and resets it. */
static int take_view_dirty(struct controllers *c)
{
	int dirty = (int)c->view_dirty;

	c->view_dirty = 0;
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

static void check_alarms(struct controllers *c, int64_t now_us)
{
	if (now_us < c->next_alarms_us)
		return;
	c->next_alarms_us = now_us + ALARMS_PERIOD_US;
	slo_each_alarm_change(c->slo, now_us, log_alarm, c);
}

static int on_tick(void *ctx, int64_t now_us)
{
	struct controllers *c = ctx;

	check_alarms(c, now_us);

	if (now_us >= c->next_members_us) {
		c->next_members_us = now_us + MEMBERS_PERIOD_US;
		count_members(c);
	}
	rollout_tick(c->rollouts, now_us, wall_ms());
	if (c->next_share_us >= 0 && now_us >= c->next_share_us) {
		c->next_share_us =
			evacuation_next_change_us(c->evacuation, now_us);
		c->view_dirty = 1;
	}
	return take_view_dirty(c);
}

static int on_request_report(void *ctx, int64_t now_us,
			     const struct request_report *report)
{
	struct controllers *c = ctx;
	uint32_t i;

	rollout_on_own_counts(c->rollouts, now_us, report->versions,
			      report->version_count);
	for (i = 0; i < report->customer_count; i++)
		slo_add(c->slo, now_us, &report->customers[i]);
	return take_view_dirty(c);
}

static int on_heartbeat_received(void *ctx, int64_t now_us,
				 const struct heartbeat *h)
{
	struct controllers *c = ctx;

	rollout_on_peer_report(c->rollouts, now_us, h->host, h->rollouts,
			       h->rollout_count);
	return take_view_dirty(c);
}

static void fill_heartbeat(void *ctx, int64_t now_us, struct heartbeat *h)
{
	struct controllers *c = ctx;

	h->evacuation_rev = evacuation_rev(c->evacuation);
	h->rollout_count = rollout_fill_report(c->rollouts, h->rollouts,
					       HEARTBEAT_ROLLOUTS_MAX);
}

struct view_walk {
	struct controllers *controllers;
	struct view *view;
	int64_t now_us;
};

static void add_dc_share(struct view_walk *w, const char *name)
{
	struct view *v = w->view;
	struct dc_share *share;

	v->dcs = util_grow(v->dcs, v->dc_count + 1, sizeof(*v->dcs));
	share = &v->dcs[v->dc_count++];
	util_copy_str(share->data_centre, sizeof(share->data_centre), name);
	share->share_permille = evacuation_share_permille(
		w->controllers->evacuation, name, w->now_us);
}

static void add_blocked_target(struct view_walk *w, const char *name)
{
	struct view *v = w->view;

	v->blocked_targets = util_grow(v->blocked_targets,
				       v->blocked_target_count + 1,
				       sizeof(*v->blocked_targets));
	util_copy_str(v->blocked_targets[v->blocked_target_count++].id,
		      NAME_BYTES, name);
}

static void add_evacuation(void *ctx, enum evacuation_kind kind,
			   const char *name, enum evacuation_state state,
			   uint64_t rev)
{
	if (kind == EVACUATION_DATA_CENTRE)
		add_dc_share(ctx, name);
	else if (state == EVACUATION_OUT)
		add_blocked_target(ctx, name);
}

static void add_version_share(void *ctx, const char *service,
			      const char *version, uint32_t share_permille)
{
	struct view_walk *w = ctx;
	struct view *v = w->view;
	struct version_share *share;

	v->versions = util_grow(v->versions, v->version_count + 1,
				sizeof(*v->versions));
	share = &v->versions[v->version_count++];
	util_copy_str(share->service, sizeof(share->service), service);
	util_copy_str(share->version, sizeof(share->version), version);
	share->share_permille = share_permille;
}

static void fill_view(void *ctx, int64_t now_us, struct view *v)
{
	struct controllers *c = ctx;
	struct view_walk w = { c, v, now_us };

	evacuation_each(c->evacuation, add_evacuation, &w);
	rollout_each_share(c->rollouts, add_version_share, &w);
}

static enum err_code admin_edit(void *ctx, const char *item, const char *json,
				const char *who, uint64_t if_rev,
				control_admin_done_fn *done, void *done_ctx,
				struct err *err)
{
	struct controllers *c = ctx;

	return control_edit(c->control, item, json, who, if_rev, done, done_ctx,
			    err);
}

static const struct cfg_item *admin_item(void *ctx, const char *name)
{
	struct controllers *c = ctx;

	return control_item(c->control, name);
}

static void admin_each_item(void *ctx, const char *prefix,
			    void (*fn)(void *fn_ctx,
				       const struct cfg_item *item),
			    void *fn_ctx)
{
	struct controllers *c = ctx;

	control_each_item(c->control, prefix, fn, fn_ctx);
}

static void admin_each_member(void *ctx,
			      void (*fn)(void *fn_ctx,
					 const struct member_info *m),
			      void *fn_ctx)
{
	struct controllers *c = ctx;

	control_each_member(c->control, fn, fn_ctx);
}

static uint64_t admin_rev(void *ctx)
{
	struct controllers *c = ctx;

	return control_rev(c->control);
}

static int admin_store_up(void *ctx)
{
	struct controllers *c = ctx;

	return control_store_up(c->control);
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

struct controllers *controllers_new(struct control *control, const char *host,
				    const char *data_centre, uint64_t seed)
{
	struct controllers *c = util_alloc(1, sizeof(*c));
	struct control_hooks hooks = {
		.apply_item = on_item,
		.tick = on_tick,
		.request_report_received = on_request_report,
		.heartbeat_received = on_heartbeat_received,
		.fill_heartbeat = fill_heartbeat,
		.fill_view = fill_view,
		.ctx = c
	};

	c->control = control;
	c->next_share_us = -1;
	util_copy_str(c->host, sizeof(c->host), host);
	util_copy_str(c->data_centre, sizeof(c->data_centre), data_centre);
	c->evacuation = evacuation_new();
	c->rollouts = rollout_new(host, seed, &controllers_rollout_ops, c);
	c->slo = slo_new();
	c->admin = control_admin_new(host, data_centre, &admin_ops, c,
				     c->evacuation, c->rollouts, c->slo);
	control_add_hooks(control, &hooks);
	return c;
}

void controllers_free(struct controllers *c)
{
	if (!c)
		return;
	control_admin_free(c->admin);
	slo_free(c->slo);
	rollout_free(c->rollouts);
	evacuation_free(c->evacuation);
	free(c);
}

void controllers_on_out_of_service(struct controllers *c,
				   void (*fn)(void *ctx, uint32_t is_out),
				   void *ctx)
{
	c->out_of_service = fn;
	c->out_of_service_ctx = ctx;
}

/*
 * Finds the controllers by their hook, because the handler of operators' calls
 * gets no context.
 */
static struct controllers *controllers_of(struct control *control)
{
	uint32_t i;

	for (i = 0; i < control->hook_count; i++) {
		if (control->hooks[i].apply_item == on_item)
			return control->hooks[i].ctx;
	}
	return NULL;
}

void controllers_admin_call(struct control *control, struct admin_call *call)
{
	control_admin_call(controllers_of(control)->admin, call);
}

#include "duty/control.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "codec/cfg_json.h"
#include "duty/control_internal.h"

/*
 * Messages in the duty's ring: room for the peers' heartbeats of one second,
 * replies of the store and reports of the request duty.
 */
#define RING_CAPACITY 8192
/*
 * Wait after the start for a first heartbeat, which peers send every second.
 * After it, edits do not depend on a peer any more; see cfg_allow_edits().
 */
#define EDIT_WAIT_US (3 * (int64_t)US_PER_S)

static enum err_code check_item(void *ctx, const char *name, const char *json,
				struct err *err)
{
	return cfg_json_check_item(name, json, err);
}

static void on_item_changed(void *ctx, const struct cfg_item *item)
{
	struct control *c = ctx;
	int64_t now_us = clock_now_us();
	uint32_t i;

	control_view_apply_item(c, item);
	for (i = 0; i < c->hook_count; i++) {
		if (c->hooks[i].apply_item)
			c->hooks[i].apply_item(c->hooks[i].ctx, now_us, item);
	}
}

static void on_item_refused(void *ctx, const struct cfg_item *item,
			    const struct err *err)
{
	metric_add(METRIC_CONFIG_ITEMS_REFUSED, 1);
	log_event(LOG_LEVEL_ERROR, "config_item_refused",
		  "%s revision %llu: %s", item->name,
		  (unsigned long long)item->rev, err->detail);
}

static void on_adopted(void *ctx, struct cfg_revision *revision)
{
	struct control *c = ctx;

	c->view_dirty = 1;
	c->config_dirty = 1;
	metric_set(METRIC_CONFIG_REV, revision->head->rev);
	log_event(LOG_LEVEL_INFO, "config_adopted", "revision %llu",
		  (unsigned long long)revision->head->rev);
	control_heartbeat_soon(c, clock_now_us());
}

static void on_note(void *ctx, const char *event, const char *text)
{
	log_event(LOG_LEVEL_WARNING, event, "%s", text);
}

static void on_member_changed(void *ctx, const struct member_info *m)
{
	struct control *c = ctx;

	c->view_dirty = 1;
	log_event(LOG_LEVEL_INFO, "host_state",
		  "host %s in data centre %s is %s", m->host, m->data_centre,
		  host_state_name(m->state));
}

static void on_tick(void *ctx, int64_t now_us)
{
	struct control *c = ctx;
	uint32_t i;

	if (now_us - c->start_us >= EDIT_WAIT_US)
		cfg_allow_edits(c->cfg);
	membership_tick(c->membership, now_us);
	cfg_tick(c->cfg, now_us);
	control_store_tick(c, now_us);
	for (i = 0; i < c->hook_count; i++) {
		const struct control_hooks *hooks = &c->hooks[i];

		if (hooks->tick && hooks->tick(hooks->ctx, now_us))
			c->view_dirty = 1;
	}
	control_publish(c, now_us);
	timer_queue_arm(duty_timers(c->duty), &c->tick_timer,
			now_us + CONTROL_TICK_US, on_tick, c);
}

static void take_request_report(struct control *c, int64_t now_us,
				struct request_report *report)
{
	uint32_t i;

	control_add_notices(c, report);
	for (i = 0; i < c->hook_count; i++) {
		const struct control_hooks *hooks = &c->hooks[i];

		if (hooks->request_report_received &&
		    hooks->request_report_received(hooks->ctx, now_us, report))
			c->view_dirty = 1;
	}
	request_report_free(report);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct control *c = ctx;

	switch (m->type) {
	case MSG_KV_REPLY:
		control_store_reply(c, m->body);
		break;
	case MSG_HEARTBEAT_RECEIVED:
		control_heartbeat_received(c, now_us, m->body);
		break;
	case MSG_CONFIG_FETCH_RESULT:
		control_pull_done(c, now_us, m->body);
		break;
	case MSG_REQUEST_REPORT:
		take_request_report(c, now_us, m->body);
		break;
	case MSG_ADMIN_CALL:
		c->opt.admin_call_received(c, m->body);
		break;
	case MSG_LEAVE:
		control_leave(c);
		break;
	default:
		if (m->drop)
			m->drop(m->body);
	}
	control_publish(c, now_us);
}

static struct cfg *new_cfg(struct control *c)
{
	struct cfg_ops ops = {
		.read_head = control_read_head,
		.read_item = control_read_item,
		.write_item = control_write_item,
		.write_head = control_write_head,
		.delete_item = control_delete_item,
		.pull = control_pull,
		.check = check_item,
		.item_changed = on_item_changed,
		.item_refused = on_item_refused,
		.adopted = on_adopted,
		.note = on_note,
		.ctx = c,
	};

	return cfg_new(&ops, rng_u64(&c->rng) ^ c->opt.incarnation);
}

static struct membership *new_membership(struct control *c, int64_t now_us)
{
	struct membership_ops ops = { .member_changed = on_member_changed,
				      .ctx = c };
	struct member_info self = { .port = c->opt.port,
				    .incarnation = c->opt.incarnation };

	util_copy_str(self.host, sizeof(self.host), c->opt.host);
	util_copy_str(self.data_centre, sizeof(self.data_centre),
		      c->opt.data_centre);
	util_copy_str(self.address, sizeof(self.address), c->opt.address);
	return membership_new(&self, &ops, rng_u64(&c->rng), now_us);
}

struct control *control_new(const struct control_options *options,
			    struct err *err)
{
	struct control *c;

	if (!util_name_ok(options->host, NAME_BYTES - 1) ||
	    !util_name_ok(options->data_centre, NAME_BYTES - 1)) {
		err_set(err, ERR_SETTING,
			"host '%s' or data centre '%s' is not valid, accepted "
			"1 to 64 of a-z A-Z 0-9 . _ : -",
			options->host, options->data_centre);
		return NULL;
	}
	if (!options->admin_call_received) {
		err_set(err, ERR_INTERNAL,
			"no handler of operators' calls is set");
		return NULL;
	}
	c = util_alloc(1, sizeof(*c));
	c->opt = *options;
	c->rng.state = options->rng_seed;
	c->duty = duty_new("control", RING_CAPACITY, NULL, NULL, err);
	if (!c->duty) {
		free(c);
		return NULL;
	}
	control_view_init(c);
	return c;
}

struct control_options *control_options(struct control *c)
{
	return &c->opt;
}

void control_add_hooks(struct control *c, const struct control_hooks *hooks)
{
	if (c->hook_count < CONTROL_HOOKS_MAX)
		c->hooks[c->hook_count++] = *hooks;
}

enum err_code control_start(struct control *c, struct err *err)
{
	c->start_us = clock_now_us();
	c->cfg = new_cfg(c);
	c->membership = new_membership(c, c->start_us);
	c->view_dirty = 1;
	control_store_start(c, c->start_us);
	control_peer_start(c, c->start_us);
	timer_queue_arm(duty_timers(c->duty), &c->tick_timer, c->start_us,
			on_tick, c);
	return duty_start(c->duty, on_message, c, err);
}

struct ring *control_ring(struct control *c)
{
	return duty_ring(c->duty);
}

void control_stop(struct control *c)
{
	duty_stop(c->duty);
}

void control_join(struct control *c)
{
	duty_join(c->duty);
}

void control_free(struct control *c)
{
	if (!c)
		return;
	control_store_free(c);
	cfg_free(c->cfg);
	membership_free(c->membership);
	control_view_free(c);
	duty_free(c->duty);
	free(c);
}

void control_view_changed(struct control *c)
{
	c->view_dirty = 1;
}

enum err_code control_edit(struct control *c, const char *item,
			   const char *json_or_null_to_delete, const char *who,
			   uint64_t if_rev, control_edit_done_fn *done,
			   void *ctx, struct err *err)
{
	return cfg_edit(c->cfg, clock_now_us(), item, json_or_null_to_delete,
			who, if_rev, done, ctx, err);
}

uint64_t control_rev(const struct control *c)
{
	return cfg_rev(c->cfg);
}

const struct cfg_item *control_item(const struct control *c, const char *name)
{
	return cfg_item_in_effect(c->cfg, name);
}

struct prefix_walk {
	const char *prefix;
	void (*fn)(void *ctx, const struct cfg_item *item);
	void *ctx;
};

static void walk_item(void *ctx, const struct cfg_item *item)
{
	struct prefix_walk *w = ctx;

	if (strncmp(item->name, w->prefix, strlen(w->prefix)) == 0)
		w->fn(w->ctx, item);
}

void control_each_item(const struct control *c, const char *prefix,
		       void (*fn)(void *ctx, const struct cfg_item *item),
		       void *ctx)
{
	struct prefix_walk w = { prefix, fn, ctx };

	cfg_each_in_effect(c->cfg, walk_item, &w);
}

int control_store_up(const struct control *c)
{
	return (int)c->store_up;
}

struct member_walk {
	const struct control *control;
	void (*fn)(void *ctx, const struct member_info *m);
	void *ctx;
};

/*
 * The membership entry of this host lacks its configuration revision and
 * change ID, so they are filled in here.
 */
static void walk_member(void *ctx, const struct member_info *m)
{
	struct member_walk *w = ctx;
	struct member_info info = *m;

	if (strcmp(m->host, w->control->opt.host) == 0) {
		info.config_rev = cfg_rev(w->control->cfg);
		info.config_change_id = cfg_change_id(w->control->cfg);
	}
	w->fn(w->ctx, &info);
}

void control_each_member(const struct control *c,
			 void (*fn)(void *ctx, const struct member_info *m),
			 void *ctx)
{
	struct member_walk w = { c, fn, ctx };

	membership_each(c->membership, walk_member, &w);
}

void control_leave(struct control *c)
{
	membership_leave(c->membership);
	control_heartbeat_soon(c, clock_now_us());
}

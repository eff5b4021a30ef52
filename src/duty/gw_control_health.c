/*
 * Target health in the gateway's control duty: each host reports what its calls
 * to targets showed to the root of its data centre. The root adds the reports
 * up and tells all hosts of the data centre which targets fail or are slow.
 */
#include <string.h>

#include "base/log.h"
#include "duty/gw_control_internal.h"

/* Most lists sent in one period: about 2000 targets that fail or are slow. */
#define LISTS_MAX 40

static void send_list(struct gw_control *c, const struct host_entry *h,
		      const struct target_health_list *l, uint32_t is_from_root)
{
	struct health_datagram *d = util_alloc(1, sizeof(*d));
	struct msg m = { MSG_HEALTH_SEND, d, free };

	d->is_from_root = is_from_root;
	memcpy(d->address, h->address, sizeof(d->address));
	d->port = h->port;
	d->health = *l;
	if (ring_push(c->opt.relay, &m) == ERR_OK)
		return;
	log_event(LOG_LEVEL_ERROR, "ring_full", "health of targets dropped");
	free(d);
}

/* Passes what the root tells all hosts to this host's request duty. */
static void pass_to_requests(struct gw_control *c,
			     const struct target_health_list *l)
{
	struct target_health_list *copy = util_alloc(1, sizeof(*copy));
	struct msg m = { MSG_TARGET_HEALTH, copy, free };

	*copy = *l;
	if (ring_push(c->opt.views, &m) == ERR_OK)
		return;
	log_event(LOG_LEVEL_ERROR, "ring_full", "health of targets dropped");
	free(copy);
}

struct send_ctx {
	struct gw_control *control;
	const struct target_health_list *list;
};

static void tell_host(void *ctx, const struct host_entry *h)
{
	struct send_ctx *s = ctx;

	send_list(s->control, h, s->list, 1);
}

static void on_period_end(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	struct target_health_list *lists CLEANUP_FREE =
		util_alloc(LISTS_MAX, sizeof(*lists));
	uint32_t count = health_totals_end_period(c->health, lists, LISTS_MAX);
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct send_ctx s = { c, &lists[i] };

		pass_to_requests(c, &lists[i]);
		if (c->opt.relay)
			host_tree_each_dc_peer(c->host_tree, tell_host, &s);
	}
	if (health_totals_is_active(c->health))
		timer_queue_arm(duty_timers(c->duty), &c->health_timer,
				now_us + HEALTH_TOTALS_PERIOD_US, on_period_end,
				c);
}

static void add_report(struct gw_control *c, const struct target_health_list *l,
		       int64_t now_us)
{
	health_totals_add(c->health, l);
	if (!c->health_timer.armed_pos)
		timer_queue_arm(duty_timers(c->duty), &c->health_timer,
				now_us + HEALTH_TOTALS_PERIOD_US, on_period_end,
				c);
}

void gw_control_local_health(struct gw_control *c,
			     const struct target_health_list *l, int64_t now_us)
{
	const struct host_entry *root =
		c->opt.relay ? host_tree_root_peer(c->host_tree, now_us) : NULL;

	if (root)
		send_list(c, root, l, 0);
	else
		add_report(c, l, now_us);
}

void gw_control_peer_health(struct gw_control *c,
			    const struct health_datagram *d, int64_t now_us)
{
	if (d->is_from_root)
		pass_to_requests(c, &d->health);
	else
		add_report(c, &d->health, now_us);
}

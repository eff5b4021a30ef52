/*
 * The way of target health in the control duty: hosts report to the root of
 * their data centre, which tells all of them what follows from the reports.
 */
#include <string.h>

#include "base/log.h"
#include "duty/gw_control_internal.h"

/* Lists of one period: two thousand targets in trouble. */
#define LISTS_MAX 40

static void send_to(struct gw_control *c, const struct host_entry *h,
		    const struct target_health_list *l, uint32_t is_told)
{
	struct health_datagram *d = util_alloc(1, sizeof(*d));
	struct msg m = { MSG_HEALTH_SEND, d, free };

	d->is_from_root = is_told;
	memcpy(d->address, h->address, sizeof(d->address));
	d->port = h->port;
	d->health = *l;
	if (ring_push(c->opt.relay, &m) == ERR_OK)
		return;
	log_event(LOG_LEVEL_ERROR, "ring_full", "health of targets dropped");
	free(d);
}

/* Passes what all hosts should know to this host's requests. */
static void hint(struct gw_control *c, const struct target_health_list *l)
{
	struct target_health_list *copy = util_alloc(1, sizeof(*copy));
	struct msg m = { MSG_TARGET_HEALTH, copy, free };

	*copy = *l;
	if (ring_push(c->opt.views, &m) == ERR_OK)
		return;
	log_event(LOG_LEVEL_ERROR, "ring_full", "health of targets dropped");
	free(copy);
}

struct tell_ctx {
	struct gw_control *control;
	const struct target_health_list *list;
};

static void tell_host(void *ctx, const struct host_entry *h)
{
	struct tell_ctx *t = ctx;

	send_to(t->control, h, t->list, 1);
}

static void on_period(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	struct target_health_list *lists CLEANUP_FREE =
		util_alloc(LISTS_MAX, sizeof(*lists));
	uint32_t n = health_totals_end_period(c->health, lists, LISTS_MAX);
	uint32_t i;

	for (i = 0; i < n; i++) {
		struct tell_ctx t = { c, &lists[i] };

		hint(c, &lists[i]);
		if (c->opt.relay)
			host_tree_each_dc_peer(c->host_tree, tell_host, &t);
	}
	if (health_totals_is_active(c->health))
		timer_queue_arm(duty_timers(c->duty), &c->health_timer,
				now_us + HEALTH_TOTALS_PERIOD_US, on_period, c);
}

static void add_report(struct gw_control *c, const struct target_health_list *l,
		       int64_t now_us)
{
	health_totals_add(c->health, l);
	if (!c->health_timer.armed_pos)
		timer_queue_arm(duty_timers(c->duty), &c->health_timer,
				now_us + HEALTH_TOTALS_PERIOD_US, on_period, c);
}

void gw_control_local_health(struct gw_control *c,
			     const struct target_health_list *l, int64_t now_us)
{
	const struct host_entry *root =
		c->opt.relay ? host_tree_root(c->host_tree, now_us) : NULL;

	if (root)
		send_to(c, root, l, 0);
	else
		add_report(c, l, now_us);
}

void gw_control_peer_health(struct gw_control *c,
			    const struct health_datagram *d, int64_t now_us)
{
	if (d->is_from_root)
		hint(c, &d->health);
	else
		add_report(c, &d->health, now_us);
}

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "duty/control_internal.h"

#define HEARTBEAT_PERIOD_US (1 * (int64_t)US_PER_S)
/*
 * Shortest time between heartbeats that are sent before the period is over: a
 * new revision spreads early, and many edits cause no burst of heartbeats.
 */
#define HEARTBEAT_SOON_US (200 * US_PER_MS)
/*
 * A pull that has no result by then is given up. Longer than the peer_fetch
 * duty waits for one pull.
 */
#define PULL_TIMEOUT_US (8 * (int64_t)US_PER_S)

static void drop_datagram(void *body)
{
	heartbeat_datagram_free(body);
}

static void add_receiver(void *ctx, const char *address, uint16_t port)
{
	struct heartbeat_datagram *d = ctx;
	struct peer_address *to;

	d->receivers = util_grow(d->receivers, d->receiver_count + 1,
				 sizeof(*d->receivers));
	to = &d->receivers[d->receiver_count++];
	util_copy_str(to->address, sizeof(to->address), address);
	to->port = port;
}

/*
 * Moves notices from the front into @h as far as it has room. Notices that
 * more heartbeats have to carry go to the back, so that each notice of a long
 * list gets its turn.
 */
static void fill_notices(struct control *c, struct heartbeat *h)
{
	struct outgoing_notice again[HEARTBEAT_NOTICES_MAX];
	uint32_t taken = util_min_u32(c->notice_count, HEARTBEAT_NOTICES_MAX);
	uint32_t again_count = 0;
	uint32_t i;

	for (i = 0; i < taken; i++) {
		struct outgoing_notice *n = &c->notices[i];

		h->notices[h->notice_count++] = n->notice;
		if (--n->sends_left)
			again[again_count++] = *n;
	}
	c->notice_count -= taken;
	memmove(c->notices, &c->notices[taken],
		c->notice_count * sizeof(c->notices[0]));
	memcpy(&c->notices[c->notice_count], again,
	       again_count * sizeof(again[0]));
	c->notice_count += again_count;
}

static struct heartbeat_datagram *new_heartbeat(struct control *c,
						int64_t now_us)
{
	struct heartbeat_datagram *d = util_alloc(1, sizeof(*d));
	struct heartbeat *h = &d->heartbeat;
	uint32_t i;

	membership_fill_heartbeat(c->membership, h);
	h->config_rev = cfg_rev(c->cfg);
	h->config_change_id = cfg_change_id(c->cfg);
	for (i = 0; i < c->hook_count; i++) {
		if (c->hooks[i].fill_heartbeat)
			c->hooks[i].fill_heartbeat(c->hooks[i].ctx, now_us, h);
	}
	return d;
}

/*
 * A heartbeat that the ring does not take is dropped; the next one replaces it.
 */
static void send_datagram(struct control *c, struct heartbeat_datagram *d)
{
	struct msg m = { MSG_HEARTBEAT_SEND, d, drop_datagram };

	if (!d->receiver_count || ring_push(c->opt.peer_send, &m) != ERR_OK)
		heartbeat_datagram_free(d);
}

static void heartbeat_due(void *ctx, int64_t now_us)
{
	struct control *c = ctx;
	struct heartbeat_datagram *d = new_heartbeat(c, now_us);

	fill_notices(c, &d->heartbeat);
	membership_each_receiver(c->membership, add_receiver, d);
	send_datagram(c, d);
	c->heartbeat_sent_us = now_us;
	timer_queue_arm(duty_timers(c->duty), &c->heartbeat_timer,
			now_us + HEARTBEAT_PERIOD_US, heartbeat_due, c);
}

void control_heartbeat_soon(struct control *c, int64_t now_us)
{
	int64_t at_us =
		util_max_i64(c->heartbeat_sent_us + HEARTBEAT_SOON_US, now_us);

	if (c->heartbeat_timer.armed_pos && c->heartbeat_timer.due_us <= at_us)
		return;
	timer_queue_arm(duty_timers(c->duty), &c->heartbeat_timer, at_us,
			heartbeat_due, c);
}

void control_peer_start(struct control *c, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < c->opt.seed_count; i++)
		membership_add_seed(c->membership, c->opt.seeds[i].address,
				    c->opt.seeds[i].port);
	heartbeat_due(c, now_us);
}

/* Sends a heartbeat to a new or restarted peer at once. */
static void send_first_heartbeat(struct control *c, int64_t now_us,
				 const struct heartbeat *h)
{
	struct heartbeat_datagram *d = new_heartbeat(c, now_us);

	add_receiver(d, h->address, h->port);
	send_datagram(c, d);
}

static void drop_notice(void *body)
{
	free(body);
}

/* Passes a peer's notices on targets to the request duty. */
static void pass_notices(struct control *c, const struct heartbeat *h)
{
	uint32_t i;

	for (i = 0; i < h->notice_count; i++) {
		struct target_notice *n = util_alloc(1, sizeof(*n));
		struct msg m = { MSG_TARGET_NOTICE, n, drop_notice };

		*n = h->notices[i];
		if (ring_push(c->opt.request, &m) != ERR_OK)
			free(n);
	}
}

static void call_heartbeat_hooks(struct control *c, int64_t now_us,
				 const struct heartbeat *h)
{
	uint32_t i;

	for (i = 0; i < c->hook_count; i++) {
		const struct control_hooks *hooks = &c->hooks[i];

		if (hooks->heartbeat_received &&
		    hooks->heartbeat_received(hooks->ctx, now_us, h))
			c->view_dirty = 1;
	}
}

void control_heartbeat_received(struct control *c, int64_t now_us,
				struct heartbeat *h)
{
	enum membership_update update =
		membership_on_heartbeat(c->membership, now_us, h);

	if (update != MEMBERSHIP_IGNORED) {
		c->heartbeat_received_us = now_us;
		pass_notices(c, h);
		call_heartbeat_hooks(c, now_us, h);
		cfg_allow_edits(c->cfg);
		cfg_on_peer_rev(c->cfg, now_us, h->host, h->config_rev,
				h->config_change_id);
	}
	if (update == MEMBERSHIP_NEW)
		send_first_heartbeat(c, now_us, h);
	free(h);
}

static void end_pull(struct control *c, int64_t now_us,
		     const struct cfg_delta *delta)
{
	c->is_pulling = 0;
	timer_queue_cancel(duty_timers(c->duty), &c->pull_timer);
	cfg_on_delta(c->cfg, now_us, delta);
}

static void pull_overdue(void *ctx, int64_t now_us)
{
	end_pull(ctx, now_us, NULL);
}

void control_pull_done(struct control *c, int64_t now_us,
		       struct config_fetch_result *result)
{
	/* The result of a pull that was given up is ignored. */
	if (c->is_pulling && result->call_id == c->pull_call_id)
		end_pull(c, now_us, result->delta);
	if (!result->delta)
		log_event(LOG_LEVEL_WARNING, "peer_pull_failed", "%s",
			  result->err.detail);
	config_fetch_result_free(result);
}

static void drop_fetch(void *body)
{
	free(body);
}

void control_pull(void *ctx, const char *host, uint64_t rev, uint64_t change_id,
		  uint64_t after_rev)
{
	struct control *c = ctx;
	const struct member_info *info = membership_find(c->membership, host);
	struct config_fetch *f = util_alloc(1, sizeof(*f));
	struct msg m = { MSG_CONFIG_FETCH, f, drop_fetch };
	int64_t give_up_us = clock_now_us() + PULL_TIMEOUT_US;

	util_copy_str(f->host, sizeof(f->host), host);
	f->rev = rev;
	f->change_id = change_id;
	f->after_rev = after_rev;
	f->call_id = ++c->pull_call_id;
	f->reply_to = duty_ring(c->duty);
	c->is_pulling = 1;
	if (info) {
		util_copy_str(f->from.address, sizeof(f->from.address),
			      info->address);
		f->from.port = info->port;
	}
	if (!info || ring_push(c->opt.peer_fetch, &m) != ERR_OK) {
		free(f);
		give_up_us = 0;
	}
	timer_queue_arm(duty_timers(c->duty), &c->pull_timer, give_up_us,
			pull_overdue, c);
}

static struct outgoing_notice *notice_slot(struct control *c,
					   const struct target_notice *n)
{
	uint32_t i;

	for (i = 0; i < c->notice_count; i++) {
		if (strcmp(c->notices[i].notice.target, n->target) == 0)
			return &c->notices[i];
	}
	if (c->notice_count == CONTROL_NOTICES_MAX)
		return NULL;
	return &c->notices[c->notice_count++];
}

void control_add_notices(struct control *c, const struct request_report *report)
{
	uint32_t i;

	for (i = 0; i < report->notice_count; i++) {
		struct outgoing_notice *slot =
			notice_slot(c, &report->notices[i]);

		if (!slot)
			break;
		slot->notice = report->notices[i];
		slot->sends_left = CONTROL_NOTICE_SENDS;
	}
}

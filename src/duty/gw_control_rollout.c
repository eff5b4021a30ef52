/*
 * Rollouts in the gateway's control duty: passes the rollout documents between
 * the store and the controller, and the reports on versions between hosts. A
 * host sends its reports and those of its followers to the host it follows; the
 * root of a data centre sends them to the host that acts first in rollouts.
 */
#include <string.h>

#include "base/log.h"
#include "codec/gw_rollout_json.h"
#include "duty/gw_control_internal.h"
#include "model/store_pos.h"
#include "platform/platform_docs.h"

/*
 * Interval at which the controller is run and reports are passed on while a
 * rollout is active.
 */
#define TICK_US (100 * US_PER_MS)

static void on_tick(void *ctx, int64_t now_us);

static void arm_tick(struct gw_control *c, int64_t now_us)
{
	if (canary_is_active(c->rollouts))
		timer_queue_arm(duty_timers(c->duty), &c->rollout_timer,
				now_us + TICK_US, on_tick, c);
	else
		g_array_set_size(c->pending_reports, 0);
}

static void write_document(struct gw_control *c, const char *prefix,
			   const char *service, char *json, uint64_t if_rev)
{
	struct kv_call call = { .op = KV_CAS,
				.rev = if_rev,
				.value = json,
				.value_bytes = (uint32_t)strlen(json),
				.timeout_ms = STORE_CALL_TIMEOUT_MS };

	util_copy_str(call.key, sizeof(call.key), prefix);
	util_copy_str(call.key + strlen(prefix),
		      sizeof(call.key) - strlen(prefix), service);
	/* The document is read again with the listing of the new era. */
	if (!gw_control_store_call(c, &call, STORE_CALL_ROLLOUT))
		canary_on_write_failed(c->rollouts, service);
}

static void write_item(void *ctx, const struct gw_rollout *item,
		       uint64_t if_rev)
{
	write_document(ctx, PLATFORM_PREFIX_ROLLOUTS, item->service,
		       gw_rollout_json_encode(item), if_rev);
}

static void write_status(void *ctx, const struct gw_rollout_status *status,
			 uint64_t if_rev)
{
	write_document(ctx, PLATFORM_PREFIX_ROLLOUT_STATUS, status->service,
		       platform_rollout_status_encode(status), if_rev);
}

void gw_control_rollout_write_done(struct gw_control *c, const char *key,
				   const struct kv_result *r)
{
	const char *service;

	if (r->err.code == ERR_OK)
		return;
	log_event(LOG_LEVEL_WARNING, "rollout_write_failed", "%s: %s: %s", key,
		  err_name(r->err.code), r->err.detail);
	platform_key_parse(key, &service);
	canary_on_write_failed(c->rollouts, service);
}

static const struct canary_ops rollout_ops = { write_item, write_status,
					       gw_control_schedule_publish };

void gw_control_init_rollouts(struct gw_control *c)
{
	c->rollouts = canary_new(c->opt.exposure_permille, &rollout_ops, c);
	c->pending_reports =
		g_array_new(FALSE, FALSE, sizeof(struct rollout_report));
}

void gw_control_free_rollouts(struct gw_control *c)
{
	canary_free(c->rollouts);
	if (c->pending_reports)
		g_array_free(c->pending_reports, TRUE);
}

/*
 * The root of a data centre follows no host, so it calls the host that acts
 * first just to send its reports.
 */
static void report_to_first_host(struct gw_control *c, int64_t now_us)
{
	const struct host_entry *first =
		host_tree_first_ranked(c->host_tree, now_us);

	if (!c->opt.relay || c->is_following || !c->pending_reports->len)
		return;
	if (!first) {
		/*
		 * This host acts first, or knows no other: it has evaluated the
		 * reports itself, and they go no further.
		 */
		g_array_set_size(c->pending_reports, 0);
		return;
	}
	gw_control_call_peer(c, first, 0);
}

static void on_tick(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;

	canary_tick(c->rollouts, host_tree_rank(c->host_tree, now_us), now_us);
	report_to_first_host(c, now_us);
	arm_tick(c, now_us);
}

static void log_refused(const struct err *err)
{
	log_event(LOG_LEVEL_ERROR, "rollout_refused", "%s", err->detail);
}

static void apply_order(struct gw_control *c, const char *service,
			const struct kv_pair *p, int64_t now_us)
{
	struct gw_rollout_order order;
	struct err err = { 0 };

	if (!p->value)
		canary_on_order_deleted(c->rollouts, service, now_us);
	else if (platform_rollout_order_decode(service, p->value,
					       p->value_bytes, &order,
					       &err) == ERR_OK)
		canary_on_order(c->rollouts, &order, p->rev, now_us);
	else
		log_refused(&err);
}

static void apply_item(struct gw_control *c, const char *service,
		       const struct kv_pair *p, int64_t now_us)
{
	struct gw_rollout item;
	struct err err = { 0 };

	if (!p->value)
		return;
	if (gw_rollout_json_decode(service, p->value, p->value_bytes, &item,
				   &err) == ERR_OK) {
		/* A host of an earlier build wrote it, in the era it was in. */
		if (!store_pos_era(item.order_rev))
			item.order_rev = store_pos(store_pos_era(p->rev),
						   item.order_rev);
		canary_on_item(c->rollouts, &item, p->rev, now_us);
	} else {
		log_refused(&err);
	}
}

static void apply_status(struct gw_control *c, const char *service,
			 const struct kv_pair *p)
{
	struct gw_rollout_status status;
	struct err err = { 0 };

	if (!p->value)
		return;
	if (platform_rollout_status_decode(service, p->value, p->value_bytes,
					   &status, &err) == ERR_OK)
		canary_on_status(c->rollouts, &status, p->rev);
	else
		log_refused(&err);
}

void gw_control_apply_rollout(struct gw_control *c, const struct kv_pair *p,
			      int64_t now_us)
{
	const char *service;

	switch (platform_key_parse(p->key, &service)) {
	case PLATFORM_KEY_ROLLOUT_ORDER:
		apply_order(c, service, p, now_us);
		break;
	case PLATFORM_KEY_ROLLOUT:
		apply_item(c, service, p, now_us);
		break;
	default:
		apply_status(c, service, p);
		break;
	}
	arm_tick(c, now_us);
}

/* The pending report on the service and version of @like, or NULL. */
static struct rollout_report *find_pending(struct gw_control *c,
					   const struct rollout_report *like)
{
	guint i;

	for (i = 0; i < c->pending_reports->len; i++) {
		struct rollout_report *p = &g_array_index(
			c->pending_reports, struct rollout_report, i);

		if (strcmp(p->service, like->service) == 0 &&
		    strcmp(p->version, like->version) == 0)
			return p;
	}
	return NULL;
}

void gw_control_add_reports(struct gw_control *c,
			    const struct rollout_report *reports,
			    uint32_t count, int64_t now_us)
{
	uint32_t i;

	if (!canary_is_active(c->rollouts))
		return;
	canary_on_report(c->rollouts, reports, count, now_us);
	for (i = 0; i < count; i++) {
		struct rollout_report *p = find_pending(c, &reports[i]);

		if (p) {
			p->is_bad |= reports[i].is_bad;
			p->requests += reports[i].requests;
			p->failures += reports[i].failures;
			p->slow += reports[i].slow;
		} else if (c->pending_reports->len < FOLLOW_REPORTS_MAX) {
			g_array_append_val(c->pending_reports, reports[i]);
		}
	}
}

/* Adds to the pending reports which versions this host has found bad. */
static void mark_bad(struct gw_control *c)
{
	struct gw_version_share *shares CLEANUP_FREE =
		util_alloc(canary_share_max(c->rollouts), sizeof(shares[0]));
	uint32_t n = canary_shares(c->rollouts, shares);
	struct rollout_report like = { 0 };
	struct rollout_report *p;
	uint32_t i;

	for (i = 0; i < n; i++) {
		memcpy(like.service, shares[i].service, sizeof(like.service));
		memcpy(like.version, shares[i].version, sizeof(like.version));
		p = find_pending(c, &like);
		if (p)
			p->is_bad = shares[i].is_bad;
	}
}

struct rollout_report *gw_control_take_reports(struct gw_control *c,
					       uint32_t *count)
{
	struct rollout_report *list;

	mark_bad(c);
	*count = c->pending_reports->len;
	list = util_alloc(*count, sizeof(*list));
	if (*count)
		memcpy(list, c->pending_reports->data, *count * sizeof(*list));
	g_array_set_size(c->pending_reports, 0);
	return list;
}

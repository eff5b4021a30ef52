/* Store calls and writes of the rollout controller; see control_ops.h. */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "codec/cfg_json.h"
#include "duty/controllers_internal.h"

#define LEASE_CALL_MS 1000

/* NULL when all are in use. */
static struct rollout_call *take_call(struct controllers *o, uint32_t number)
{
	uint32_t i;

	for (i = 0; i < CONTROLLERS_CALLS_MAX; i++) {
		struct rollout_call *call = &o->calls[i];

		if (call->is_used)
			continue;
		memset(call, 0, sizeof(*call));
		call->controllers = o;
		call->is_used = 1;
		call->call_no = number;
		return call;
	}
	return NULL;
}

static void start_lease_call(struct controllers *o, struct kv_call *call,
			     uint32_t number, kv_done_fn *done)
{
	struct rollout_call *c = take_call(o, number);
	struct kv_result r = { 0 };
	struct rollout_call none = { .controllers = o, .call_no = number };

	call->timeout_ms = LEASE_CALL_MS;
	if (c) {
		control_store_call(o->control, call, done, c);
		return;
	}
	free(call->value);
	err_set(&r.err, ERR_OVERLOADED, "too many store calls are open");
	done(&none, &r);
}

static void granted(void *ctx, const struct kv_result *r);
static void claimed(void *ctx, const struct kv_result *r);

static void renewed(void *ctx, const struct kv_result *r)
{
	struct rollout_call *c = ctx;
	struct controllers *o = c->controllers;

	c->is_used = 0;
	leadership_renew_done(rollout_leadership(o->rollouts), clock_now_us(),
			      c->call_no, r->err.code);
}

static void revoked(void *ctx, const struct kv_result *r)
{
	struct rollout_call *c = ctx;

	c->is_used = 0;
}

static void op_grant(void *ctx, uint32_t number, uint32_t ttl_ms)
{
	struct kv_call call = { .op = KV_LEASE_GRANT, .ttl_ms = ttl_ms };

	start_lease_call(ctx, &call, number, granted);
}

static void op_claim(void *ctx, uint32_t number, uint64_t lease)
{
	struct controllers *o = ctx;
	struct kv_call call = { .op = KV_CAS, .lease = lease };

	util_copy_str(call.key, sizeof(call.key), LEADERSHIP_KEY);
	call.value = util_strdup(o->host);
	call.value_bytes = (uint32_t)strlen(call.value);
	start_lease_call(o, &call, number, claimed);
}

static void op_renew(void *ctx, uint32_t number, uint64_t lease)
{
	struct kv_call call = { .op = KV_LEASE_RENEW, .lease = lease };

	start_lease_call(ctx, &call, number, renewed);
}

static void op_revoke(void *ctx, uint64_t lease)
{
	struct kv_call call = { .op = KV_LEASE_REVOKE, .lease = lease };

	start_lease_call(ctx, &call, 0, revoked);
}

static void written(void *ctx, const struct err *err, uint64_t rev)
{
	struct rollout_call *c = ctx;
	struct controllers *o = c->controllers;

	c->is_used = 0;
	if (err->code != ERR_OK)
		log_event(LOG_LEVEL_WARNING, "rollout_write_failed", "%s: %s",
			  c->service, err->detail);
	rollout_write_done(o->rollouts, clock_now_us(), c->service, err->code);
}

static int op_write(void *ctx, const struct rollout_item *item, uint64_t if_rev)
{
	struct controllers *o = ctx;
	struct rollout_call *c = take_call(o, 0);
	char *json CLEANUP_FREE = cfg_json_encode_rollout(item);
	char name[ITEM_NAME_BYTES];
	char who[WHO_BYTES];
	struct err err = { 0 };

	if (!c)
		return 0;
	util_copy_str(c->service, sizeof(c->service), item->service);
	snprintf(name, sizeof(name), "rollout/%s", item->service);
	snprintf(who, sizeof(who), "rollout leader %s", o->host);
	if (control_edit(o->control, name, json, who, if_rev, written, c,
			 &err) == ERR_OK)
		return 1;
	c->is_used = 0;
	return 0;
}

static void op_changed(void *ctx)
{
	struct controllers *o = ctx;

	o->view_dirty = 1;
}

static void op_note(void *ctx, const char *service, const char *text)
{
	log_event(LOG_LEVEL_WARNING, "rollout", "%s: %s", service, text);
}

const struct rollout_ops controllers_rollout_ops = {
	.leadership = { op_grant, op_claim, op_renew, op_revoke },
	.write_item = op_write,
	.shares_changed = op_changed,
	.note = op_note,
};

static void granted(void *ctx, const struct kv_result *r)
{
	struct rollout_call *c = ctx;
	struct controllers *o = c->controllers;

	c->is_used = 0;
	leadership_grant_done(rollout_leadership(o->rollouts), clock_now_us(),
			      c->call_no, r->err.code, r->lease,
			      &controllers_rollout_ops.leadership, o);
}

static void claimed(void *ctx, const struct kv_result *r)
{
	struct rollout_call *c = ctx;
	struct controllers *o = c->controllers;

	c->is_used = 0;
	leadership_claim_done(rollout_leadership(o->rollouts), clock_now_us(),
			      c->call_no, r->err.code, r->version,
			      rollout_fence(o->rollouts),
			      &controllers_rollout_ops.leadership, o);
}

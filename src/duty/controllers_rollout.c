/* Store calls and writes of the rollout controller; see controllers.h. */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "codec/cfg_json.h"
#include "duty/controllers_internal.h"

#define LEASE_CALL_TIMEOUT_MS 1000

/* Returns a free entry of c->calls, or NULL when all are in use. */
static struct rollout_call *take_call(struct controllers *c, uint32_t call_no)
{
	uint32_t i;

	for (i = 0; i < CONTROLLERS_CALLS_MAX; i++) {
		struct rollout_call *call = &c->calls[i];

		if (call->is_used)
			continue;
		memset(call, 0, sizeof(*call));
		call->controllers = c;
		call->is_used = 1;
		call->call_no = call_no;
		return call;
	}
	return NULL;
}

static void start_lease_call(struct controllers *c, struct kv_call *kv,
			     uint32_t call_no, kv_done_fn *done)
{
	struct rollout_call *call = take_call(c, call_no);
	struct kv_result r = { 0 };
	struct rollout_call none = { .controllers = c, .call_no = call_no };

	kv->timeout_ms = LEASE_CALL_TIMEOUT_MS;
	if (call) {
		control_store_call(c->control, kv, done, call);
		return;
	}
	free(kv->value);
	err_set(&r.err, ERR_OVERLOADED,
		"too many store calls of the rollout controller are open");
	done(&none, &r);
}

static void grant_done(void *ctx, const struct kv_result *r);
static void claim_done(void *ctx, const struct kv_result *r);

static void renew_done(void *ctx, const struct kv_result *r)
{
	struct rollout_call *call = ctx;
	struct controllers *c = call->controllers;

	call->is_used = 0;
	leadership_renew_done(rollout_leadership(c->rollouts), clock_now_us(),
			      call->call_no, r->err.code);
}

static void revoke_done(void *ctx, const struct kv_result *r)
{
	struct rollout_call *call = ctx;

	call->is_used = 0;
}

static void op_grant(void *ctx, uint32_t call_no, uint32_t ttl_ms)
{
	struct kv_call kv = { .op = KV_LEASE_GRANT, .ttl_ms = ttl_ms };

	start_lease_call(ctx, &kv, call_no, grant_done);
}

static void op_claim(void *ctx, uint32_t call_no, uint64_t lease)
{
	struct controllers *c = ctx;
	struct kv_call kv = { .op = KV_CAS, .lease = lease };

	util_copy_str(kv.key, sizeof(kv.key), LEADERSHIP_KEY);
	kv.value = util_strdup(c->host);
	kv.value_bytes = (uint32_t)strlen(kv.value);
	start_lease_call(c, &kv, call_no, claim_done);
}

static void op_renew(void *ctx, uint32_t call_no, uint64_t lease)
{
	struct kv_call kv = { .op = KV_LEASE_RENEW, .lease = lease };

	start_lease_call(ctx, &kv, call_no, renew_done);
}

static void op_revoke(void *ctx, uint64_t lease)
{
	struct kv_call kv = { .op = KV_LEASE_REVOKE, .lease = lease };

	start_lease_call(ctx, &kv, 0, revoke_done);
}

static void write_done(void *ctx, const struct err *err, uint64_t rev)
{
	struct rollout_call *call = ctx;
	struct controllers *c = call->controllers;

	call->is_used = 0;
	if (err->code != ERR_OK)
		log_event(LOG_LEVEL_WARNING, "rollout_write_failed", "%s: %s",
			  call->service, err->detail);
	rollout_write_done(c->rollouts, clock_now_us(), call->service,
			   err->code);
}

static int op_write_item(void *ctx, const struct rollout_item *item,
			 uint64_t if_rev)
{
	struct controllers *c = ctx;
	struct rollout_call *call = take_call(c, 0);
	char *json CLEANUP_FREE = cfg_json_encode_rollout(item);
	char name[ITEM_NAME_BYTES];
	char who[WHO_BYTES];
	struct err err = { 0 };

	if (!call)
		return 0;
	util_copy_str(call->service, sizeof(call->service), item->service);
	snprintf(name, sizeof(name), "rollout/%s", item->service);
	snprintf(who, sizeof(who), "rollout leader %s", c->host);
	if (control_edit(c->control, name, json, who, if_rev, write_done, call,
			 &err) == ERR_OK)
		return 1;
	call->is_used = 0;
	return 0;
}

static void op_shares_changed(void *ctx)
{
	struct controllers *c = ctx;

	c->view_dirty = 1;
}

static void op_note(void *ctx, const char *service, const char *text)
{
	log_event(LOG_LEVEL_WARNING, "rollout", "%s: %s", service, text);
}

const struct rollout_ops controllers_rollout_ops = {
	.leadership = { op_grant, op_claim, op_renew, op_revoke },
	.write_item = op_write_item,
	.shares_changed = op_shares_changed,
	.note = op_note,
};

static void grant_done(void *ctx, const struct kv_result *r)
{
	struct rollout_call *call = ctx;
	struct controllers *c = call->controllers;

	call->is_used = 0;
	leadership_grant_done(rollout_leadership(c->rollouts), clock_now_us(),
			      call->call_no, r->err.code, r->lease,
			      &controllers_rollout_ops.leadership, c);
}

static void claim_done(void *ctx, const struct kv_result *r)
{
	struct rollout_call *call = ctx;
	struct controllers *c = call->controllers;

	call->is_used = 0;
	leadership_claim_done(rollout_leadership(c->rollouts), clock_now_us(),
			      call->call_no, r->err.code, r->rev,
			      rollout_fence(c->rollouts),
			      &controllers_rollout_ops.leadership, c);
}

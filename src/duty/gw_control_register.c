/* This host's entry in the store, which a lease keeps there. */
#include <string.h>

#include "base/log.h"
#include "codec/gw_host_json.h"
#include "duty/gw_control_internal.h"
#include "platform/platform_docs.h"

/*
 * The store deletes the entry of a host that has not renewed its lease for this
 * long. The time may be long, because only the tree of hosts depends on it: a
 * host whose entry is gone still counts in the shared limits for a while. It
 * should be long, because each renewal is charged for.
 */
#define LEASE_TTL_MS 20000
#define LEASE_RENEW_US (6 * US_PER_S)
#define LEASE_RETRY_US (2 * US_PER_S)

static void on_lease_timer(void *ctx, int64_t now_us);

static void arm_lease_timer(struct gw_control *c, int64_t at_us)
{
	timer_queue_arm(duty_timers(c->duty), &c->lease_timer, at_us,
			on_lease_timer, c);
}

void gw_control_start_register(struct gw_control *c, int64_t now_us)
{
	arm_lease_timer(c, now_us);
}

void gw_control_register_again(struct gw_control *c, int64_t at_us)
{
	c->lease = 0;
	arm_lease_timer(c, at_us);
}

void gw_control_registration_lost(struct gw_control *c, int64_t now_us)
{
	if (!c->lease_timer.armed_pos)
		gw_control_register_again(c, now_us + LEASE_RETRY_US);
}

/* Requests a lease, or renews the one that this host holds. */
static void on_lease_timer(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;
	struct kv_call call = { .op = c->lease ? KV_LEASE_RENEW
					       : KV_LEASE_GRANT,
				.lease = c->lease,
				.ttl_ms = LEASE_TTL_MS,
				.timeout_ms = STORE_CALL_TIMEOUT_MS };

	gw_control_store_call(c, &call,
			      c->lease ? STORE_CALL_RENEW : STORE_CALL_LEASE);
}

/* Writes the entry if the one in the store has @version; 0: there is none. */
static void write_entry(struct gw_control *c, uint64_t version)
{
	struct kv_call call = { .op = KV_CAS,
				.rev = version,
				.value = gw_host_json_encode(&c->opt.self),
				.lease = c->lease,
				.timeout_ms = STORE_CALL_TIMEOUT_MS };

	call.value_bytes = (uint32_t)strlen(call.value);
	util_copy_str(call.key, sizeof(call.key), PLATFORM_PREFIX_HOSTS);
	util_copy_str(call.key + strlen(PLATFORM_PREFIX_HOSTS),
		      sizeof(call.key) - strlen(PLATFORM_PREFIX_HOSTS),
		      c->opt.self.name);
	gw_control_store_call(c, &call, STORE_CALL_REGISTER);
}

static void log_failed(const char *what, const struct err *err)
{
	log_event(LOG_LEVEL_WARNING, "register_failed", "%s: %s: %s", what,
		  err_name(err->code), err->detail);
}

void gw_control_lease_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us)
{
	if (r->err.code != ERR_OK) {
		log_failed("lease", &r->err);
		arm_lease_timer(c, now_us + LEASE_RETRY_US);
		return;
	}
	arm_lease_timer(c, now_us + LEASE_RENEW_US);
	c->lease = r->lease;
	write_entry(c, 0);
}

void gw_control_register_done(struct gw_control *c, const struct kv_result *r,
			      int64_t now_us)
{
	/* The entry of an earlier process of this host is still there. */
	if (r->err.code == ERR_STORE_CONFLICT && r->rev) {
		write_entry(c, r->rev);
	} else if (r->err.code != ERR_OK) {
		log_failed("entry", &r->err);
		c->lease = 0;
		arm_lease_timer(c, now_us + LEASE_RETRY_US);
	}
}

void gw_control_renew_done(struct gw_control *c, const struct kv_result *r,
			   int64_t now_us)
{
	if (r->err.code == ERR_STORE_NOT_FOUND) {
		log_event(LOG_LEVEL_WARNING, "lease_lost",
			  "lease of this host's entry has expired in the "
			  "store");
		c->lease = 0;
		on_lease_timer(c, now_us);
		return;
	}
	if (r->err.code != ERR_OK)
		log_failed("renewal", &r->err);
	arm_lease_timer(c, now_us + LEASE_RENEW_US);
}

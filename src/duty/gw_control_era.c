/*
 * The store comes back from a copy that is some seconds old: its era has risen,
 * revisions go back, and what was written since the copy is gone, leases too. The
 * state stays in force until the store was listed. What is missing then is kept
 * for a while, since its writers write it again; what the hosts have written
 * themselves is written again by them.
 */
#include "base/log.h"
#include "base/metric.h"
#include "duty/gw_control_internal.h"
#include "model/store_pos.h"
#include "platform/platform_docs.h"

/*
 * Entries of targets are back within about two seconds of the store's return.
 * The store is read once more at the first time, counted from when this host heard
 * of the new era; what is missing at the second one has left. So a removal that
 * follows the return takes effect within drain_ms.
 */
#define TARGETS_READ_US (2000 * US_PER_MS)
#define TARGETS_KEPT_US (2200 * US_PER_MS)
/*
 * Time for which the other keys that are missing are kept, evacuations among them:
 * the longest in which a host of the platform counts as in touch again (6 s).
 */
#define MISSING_KEPT_US (6 * (int64_t)US_PER_S)
/* Shortest time over which the hosts write their entries again. */
#define REGISTER_SPREAD_MIN_US (1 * (int64_t)US_PER_S)
/* Writes of a host for its entry: the lease and the entry. */
#define REGISTER_WRITES 2
/* Writes per second that are assumed if the settings state none. */
#define WRITES_PER_S_DEFAULT 400

int gw_control_is_listed(const struct gw_control *c)
{
	uint64_t pos = store_mirror_rev(c->mirror);

	return !pos || store_pos_era(pos) == c->era;
}

/*
 * Time until this host writes its entry again. The hosts use half of the writes
 * that the store grants, each at a place of its own, by its name.
 */
static int64_t register_delay_us(const struct gw_control *c)
{
	uint32_t hosts = g_hash_table_size(c->hosts);
	uint32_t writes_per_s = c->opt.store_writes_per_s
					? c->opt.store_writes_per_s
					: WRITES_PER_S_DEFAULT;
	int64_t spread_us =
		(int64_t)hosts * REGISTER_WRITES * 2 * US_PER_S / writes_per_s;

	return g_str_hash(c->opt.self.name) %
	       util_max_i64(spread_us, REGISTER_SPREAD_MIN_US);
}

void gw_control_hear_era(struct gw_control *c, uint64_t era, const char *source,
			 int64_t now_us)
{
	uint64_t pos = store_mirror_rev(c->mirror);

	if (era <= c->era)
		return;
	log_event(pos ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO, "store_era",
		  "era %llu, heard from %s; state of era %llu revision %llu",
		  (unsigned long long)era, source,
		  (unsigned long long)store_pos_era(pos),
		  (unsigned long long)store_pos_rev(pos));
	c->era = era;
	c->era_us = now_us;
	metric_set(METRIC_STORE_ERA, era);
	/* A lease of the era before may be another host's in this one. */
	if (pos || c->lease)
		gw_control_register_again(c, now_us + register_delay_us(c));
}

void gw_control_store_returns(struct gw_control *c, int64_t now_us)
{
	canary_store_returns(c->rollouts);
	discovery_store_regained(c->discovery, now_us);
	discovery_store_returns(c->discovery, now_us + MISSING_KEPT_US);
	c->regained_us = util_max_i64(c->regained_us, now_us);
}

static int is_target_key(const char *key)
{
	const char *name;

	return platform_key_parse(key, &name) == PLATFORM_KEY_TARGET;
}

/* Drops the missing keys that @choose takes. */
static void drop_missing(struct gw_control *c, store_mirror_choose_fn *choose,
			 int64_t now_us)
{
	struct gw_control_pair_ctx pc = { c, now_us };
	uint32_t before = store_mirror_missing_count(c->mirror);

	store_mirror_drop_missing(c->mirror, choose, gw_control_on_pair, &pc);
	log_event(LOG_LEVEL_INFO, "store_missing_dropped",
		  "%u keys were not written again, %u more are kept",
		  before - store_mirror_missing_count(c->mirror),
		  store_mirror_missing_count(c->mirror));
}

static void on_missing_due(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;

	drop_missing(c, NULL, now_us);
	canary_take_held(c->rollouts, now_us);
}

/*
 * Waits for a state that is later than the return of the entries: the store may
 * be out of reach again, for their writers too.
 */
static void on_targets_due(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;

	if (c->confirmed_us < c->era_us + TARGETS_READ_US)
		timer_queue_arm(duty_timers(c->duty), &c->missing_targets_timer,
				now_us + TARGETS_KEPT_US - TARGETS_READ_US,
				on_targets_due, c);
	else
		drop_missing(c, is_target_key, now_us);
}

static void on_targets_read(void *ctx, int64_t now_us)
{
	struct gw_control *c = ctx;

	gw_control_read(c, now_us);
	timer_queue_arm(duty_timers(c->duty), &c->missing_targets_timer,
			util_max_i64(now_us, c->era_us + TARGETS_KEPT_US),
			on_targets_due, c);
}

void gw_control_store_returned(struct gw_control *c, int64_t now_us)
{
	uint64_t pos = store_mirror_rev(c->mirror);

	canary_store_returned(c->rollouts);
	metric_add(METRIC_STORE_RETURNS, 1);
	log_event(LOG_LEVEL_WARNING, "store_returned",
		  "state of era %llu revision %llu is in force, %lld ms after "
		  "the era was heard of; %u keys are missing and kept up to "
		  "%lld ms",
		  (unsigned long long)store_pos_era(pos),
		  (unsigned long long)store_pos_rev(pos),
		  (long long)(now_us - c->era_us) / US_PER_MS,
		  store_mirror_missing_count(c->mirror),
		  (long long)MISSING_KEPT_US / US_PER_MS);
	timer_queue_arm(duty_timers(c->duty), &c->missing_timer,
			now_us + MISSING_KEPT_US, on_missing_due, c);
	timer_queue_arm(duty_timers(c->duty), &c->missing_targets_timer,
			util_max_i64(now_us, c->era_us + TARGETS_READ_US),
			on_targets_read, c);
}

#include "controller/rollout.h"

#include <stdio.h>
#include <string.h>

#include "controller/rollout_internal.h"

#define STEP(permille) +1
#define STEP_COUNT (0 ROLLOUT_STEPS(STEP))
/*
 * Parts of the time left that a step is planned to take and takes at most,
 * each divided by the number of steps left. The difference leaves time for a
 * change of leader and a store outage.
 */
#define PLANNED_PERCENT 65
#define LONGEST_PERCENT 90
#define WRITE_RETRY_US (1LL * US_PER_S)

struct rollout *rollout_new(const char *self, uint64_t seed,
			    const struct rollout_ops *ops, void *ctx)
{
	struct rollout *r = util_alloc(1, sizeof(*r));

	util_copy_str(r->self, sizeof(r->self), self);
	r->rng.state = seed;
	r->ops = ops;
	r->ctx = ctx;
	r->threshold = rollout_threshold_internal(1);
	return r;
}

void rollout_free(struct rollout *r)
{
	uint32_t i;

	if (!r)
		return;
	for (i = 0; i < r->entry_count; i++)
		free(r->entries[i]);
	free(r->entries);
	free(r->bad_versions);
	free(r);
}

void rollout_set_host_count(struct rollout *r, uint32_t host_count)
{
	r->threshold = rollout_threshold_internal(host_count);
}

void rollout_set_candidate(struct rollout *r, uint32_t candidate)
{
	r->is_candidate = candidate;
}

struct leadership *rollout_leadership(struct rollout *r)
{
	return &r->leadership;
}

uint64_t rollout_fence(const struct rollout *r)
{
	return r->fence;
}

struct rollout_entry *rollout_entry_internal(const struct rollout *r,
					     const char *service)
{
	uint32_t i;

	for (i = 0; i < r->entry_count; i++) {
		if (strcmp(r->entries[i]->item.service, service) == 0)
			return r->entries[i];
	}
	return NULL;
}

const struct rollout_item *rollout_find(const struct rollout *r,
					const char *service)
{
	struct rollout_entry *e = rollout_entry_internal(r, service);

	return e && !e->deleted ? &e->item : NULL;
}

const char *rollout_bad_reason(const struct rollout *r, const char *service,
			       const char *version)
{
	uint32_t i;

	for (i = 0; i < r->bad_count; i++) {
		if (strcmp(r->bad_versions[i].version, version) == 0 &&
		    strcmp(r->bad_versions[i].service, service) == 0)
			return r->bad_versions[i].reason;
	}
	return NULL;
}

void rollout_mark_bad_internal(struct rollout *r, const char *service,
			       const char *version, const char *reason)
{
	struct rollout_bad_version *b;
	char note[REASON_BYTES + NAME_BYTES + 32];

	if (rollout_bad_reason(r, service, version))
		return;
	r->bad_versions = util_grow(r->bad_versions, r->bad_count + 1,
				    sizeof(*r->bad_versions));
	b = &r->bad_versions[r->bad_count++];
	memset(b, 0, sizeof(*b));
	util_copy_str(b->service, sizeof(b->service), service);
	util_copy_str(b->version, sizeof(b->version), version);
	util_copy_str(b->reason, sizeof(b->reason), reason);
	snprintf(note, sizeof(note), "version %s is bad: %s", version, reason);
	r->ops->note(r->ctx, service, note);
	r->ops->shares_changed(r->ctx);
}

static struct rollout_entry *entry_or_add(struct rollout *r,
					  const char *service)
{
	struct rollout_entry *e = rollout_entry_internal(r, service);

	if (e)
		return e;
	e = util_alloc(1, sizeof(*e));
	util_copy_str(e->item.service, sizeof(e->item.service), service);
	r->entries =
		util_grow(r->entries, r->entry_count + 1, sizeof(*r->entries));
	r->entries[r->entry_count++] = e;
	return e;
}

/* Steps from the current share to the end, the current one included. */
static int64_t steps_left(uint32_t share_permille)
{
#define LEFT(permille) +(permille > share_permille)
	return 1 + (0 ROLLOUT_STEPS(LEFT));
#undef LEFT
}

static void start_step(struct rollout_entry *e, int64_t now_us, int64_t wall_ms)
{
	int64_t left_us = ((int64_t)e->item.finish_by_ms - wall_ms) * US_PER_MS;
	int64_t each_us = util_max_i64(0, left_us) /
			  steps_left(e->item.share_permille) / 100;

	e->step_start_us = now_us;
	e->planned_end_us = now_us + util_max_i64(ROLLOUT_STEP_MIN_US,
						  each_us * PLANNED_PERCENT);
	e->latest_end_us = now_us + util_max_i64(ROLLOUT_STEP_MIN_US,
						 each_us * LONGEST_PERCENT);
	memset(&e->step_new, 0, sizeof(e->step_new));
	memset(e->route_new, 0, sizeof(e->route_new));
	memset(e->route_old, 0, sizeof(e->route_old));
}

static int same_rollout(const struct rollout_item *a,
			const struct rollout_item *b)
{
	return strcmp(a->to, b->to) == 0 && strcmp(a->from, b->from) == 0;
}

static void adopt(struct rollout *r, struct rollout_entry *e, int64_t now_us,
		  int64_t wall_ms, const struct rollout_item *item)
{
	int same = !e->deleted && same_rollout(&e->item, item);
	int step = !same || e->item.share_permille != item->share_permille ||
		   e->item.state != item->state;

	e->item = *item;
	e->deleted = 0;
	if (!same)
		rollout_reset_internal(e);
	if (step)
		start_step(e, now_us, wall_ms);
	if (item->state == ROLLOUT_ROLLED_BACK)
		rollout_mark_bad_internal(r, item->service, item->to,
					  item->reason);
}

/* Keeps the revision, so that the leader can write over it. */
static enum err_code refuse(struct rollout *r, struct rollout_entry *e,
			    const struct rollout_item *item, uint64_t rev,
			    struct err *err)
{
	if (e) {
		e->rev = rev;
		e->refused = 1;
	}
	return err_set(err, ERR_CFG_FENCE,
		       "rollout of %s: fencing token %llu is lower than %llu",
		       item->service, (unsigned long long)item->fence,
		       (unsigned long long)r->fence);
}

enum err_code rollout_on_item(struct rollout *r, int64_t now_us,
			      int64_t wall_ms, const struct rollout_item *item,
			      uint64_t rev, struct err *err)
{
	struct rollout_entry *e = rollout_entry_internal(r, item->service);

	if (e && rev < e->rev)
		return ERR_OK;
	if (!rollout_fence_ok_internal(r->fence, item->fence))
		return refuse(r, e, item, rev, err);
	e = entry_or_add(r, item->service);
	e->rev = rev;
	e->refused = 0;
	if (item->fence > r->fence)
		r->fence = item->fence;
	adopt(r, e, now_us, wall_ms, item);
	r->ops->shares_changed(r->ctx);
	return ERR_OK;
}

void rollout_on_item_deleted(struct rollout *r, const char *service)
{
	struct rollout_entry *e = rollout_entry_internal(r, service);

	if (!e || e->deleted)
		return;
	e->deleted = 1;
	r->ops->shares_changed(r->ctx);
}

static uint32_t new_share(const struct rollout *r,
			  const struct rollout_entry *e)
{
	int bad = rollout_bad_reason(r, e->item.service, e->item.to) != NULL;

	return rollout_share_internal(&e->item, bad);
}

uint32_t rollout_share_permille(const struct rollout *r, const char *service,
				const char *version)
{
	const struct rollout_entry *e = rollout_entry_internal(r, service);

	if (rollout_bad_reason(r, service, version))
		return 0;
	if (!e || e->deleted)
		return PERMILLE;
	if (strcmp(e->item.to, version) == 0)
		return new_share(r, e);
	if (strcmp(e->item.from, version) == 0)
		return PERMILLE - new_share(r, e);
	return PERMILLE;
}

static void share_of(const struct rollout *r, const char *service,
		     const char *version,
		     void (*fn)(void *, const char *, const char *, uint32_t),
		     void *ctx)
{
	uint32_t share = rollout_share_permille(r, service, version);

	if (share != PERMILLE)
		fn(ctx, service, version, share);
}

void rollout_each_share(const struct rollout *r,
			void (*fn)(void *ctx, const char *service,
				   const char *version,
				   uint32_t share_permille),
			void *ctx)
{
	uint32_t i;

	for (i = 0; i < r->bad_count; i++)
		fn(ctx, r->bad_versions[i].service, r->bad_versions[i].version,
		   0);
	for (i = 0; i < r->entry_count; i++) {
		const struct rollout_item *item = &r->entries[i]->item;

		if (r->entries[i]->deleted)
			continue;
		if (!rollout_bad_reason(r, item->service, item->to))
			share_of(r, item->service, item->to, fn, ctx);
		if (!rollout_bad_reason(r, item->service, item->from))
			share_of(r, item->service, item->from, fn, ctx);
	}
}

void rollout_get_score(const struct rollout *r, const char *service,
		       uint64_t *score_milli, uint64_t *threshold_milli)
{
	const struct rollout_entry *e = rollout_entry_internal(r, service);

	*score_milli = e ? (uint64_t)(rollout_score_internal(e) * 1000.0) : 0;
	*threshold_milli = (uint64_t)(r->threshold * 1000.0);
}

static void report_version(struct rollout *r, const struct rollout_entry *e,
			   uint32_t old, struct rollout_report *out)
{
	const char *version = old ? e->item.from : e->item.to;
	const struct rollout_counts *c = &e->unsent[old];

	memset(out, 0, sizeof(*out));
	util_copy_str(out->service, sizeof(out->service), e->item.service);
	util_copy_str(out->version, sizeof(out->version), version);
	out->is_bad = rollout_bad_reason(r, e->item.service, version) != NULL;
	out->requests = (uint32_t)c->requests;
	out->failures = (uint32_t)c->bad[ROLLOUT_FAILURES];
	out->slow = (uint32_t)c->bad[ROLLOUT_SLOW];
}

static int reports(const struct rollout *r, const struct rollout_entry *e)
{
	return !e->deleted &&
	       (e->item.state == ROLLOUT_RUNNING ||
		e->item.state == ROLLOUT_DONE ||
		rollout_bad_reason(r, e->item.service, e->item.to));
}

uint32_t rollout_fill_report(struct rollout *r, struct rollout_report *out,
			     uint32_t max)
{
	uint32_t count = 0;
	uint32_t last = r->report_next;
	uint32_t pass;
	uint32_t i;

	/* First pass: bad versions that the item does not state yet. */
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < r->entry_count && count + 2 <= max; i++) {
			uint32_t at = (r->report_next + i) % r->entry_count;
			struct rollout_entry *e = r->entries[at];
			int urgent = e->item.state != ROLLOUT_ROLLED_BACK &&
				     rollout_bad_reason(r, e->item.service,
							e->item.to);

			if (!reports(r, e) || urgent != (pass == 0))
				continue;
			report_version(r, e, 0, &out[count++]);
			report_version(r, e, 1, &out[count++]);
			memset(e->unsent, 0, sizeof(e->unsent));
			last = at + 1;
		}
	}
	r->report_next = r->entry_count ? last % r->entry_count : 0;
	return count;
}

static int wants_leader(const struct rollout *r, const struct rollout_entry *e)
{
	if (e->deleted)
		return 0;
	if (e->refused || e->item.state == ROLLOUT_RUNNING)
		return 1;
	return e->item.state == ROLLOUT_DONE &&
	       rollout_bad_reason(r, e->item.service, e->item.to);
}

static void lead_entry(struct rollout *r, struct rollout_entry *e,
		       int64_t now_us)
{
	struct rollout_item next;
	const char *reason = rollout_bad_reason(r, e->item.service, e->item.to);
	int grow = rollout_may_grow_internal(r, e, now_us);

	if (e->deleted || e->writing || now_us < e->retry_us)
		return;
	if (!rollout_next_item_internal(&e->item, r->leadership.fence,
					reason != NULL, grow, &next) &&
	    !e->refused)
		return;
	if (reason)
		util_copy_str(next.reason, sizeof(next.reason), reason);
	e->writing = (uint32_t)r->ops->write_item(r->ctx, &next, e->rev);
	e->retry_us = now_us + WRITE_RETRY_US;
}

void rollout_tick(struct rollout *r, int64_t now_us, int64_t wall_ms)
{
	int wanted = 0;
	uint32_t i;

	for (i = 0; i < r->entry_count; i++)
		wanted |= wants_leader(r, r->entries[i]);
	leadership_tick(&r->leadership, now_us, wanted && r->is_candidate,
			rng_below(&r->rng, LEADERSHIP_RETRY_US),
			&r->ops->leadership, r->ctx);
	/* Another leader was given a later token. */
	if (leadership_may_act(&r->leadership, now_us) &&
	    r->fence > r->leadership.fence)
		leadership_resign(&r->leadership, now_us, &r->ops->leadership,
				  r->ctx);
	if (!leadership_may_act(&r->leadership, now_us))
		return;
	for (i = 0; i < r->entry_count; i++)
		lead_entry(r, r->entries[i], now_us);
}

void rollout_write_done(struct rollout *r, int64_t now_us, const char *service,
			enum err_code code)
{
	struct rollout_entry *e = rollout_entry_internal(r, service);

	if (!e)
		return;
	e->writing = 0;
	e->retry_us = now_us + WRITE_RETRY_US;
	if (code == ERR_CFG_FENCE)
		leadership_resign(&r->leadership, now_us, &r->ops->leadership,
				  r->ctx);
}

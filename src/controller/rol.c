#include "controller/rol.h"

#include <stdio.h>
#include <string.h>

#include "controller/rol_internal.h"

#define STEP(permille) +1
#define STEP_COUNT (0 ROL_STEPS(STEP))
/*
 * Parts of the time left that a step is planned to take and takes at most,
 * each divided by the number of steps left. The difference leaves time for a
 * change of leader and a store outage.
 */
#define PLANNED_PERCENT 65
#define LONGEST_PERCENT 90
#define WRITE_RETRY_US (1LL * US_PER_S)

struct rol *rol_new(const char *self, uint64_t seed, const struct rol_ops *ops,
		    void *ctx)
{
	struct rol *r = cu_alloc(1, sizeof(*r));

	cu_copy(r->self, sizeof(r->self), self);
	r->rng.state = seed;
	r->ops = ops;
	r->ctx = ctx;
	r->threshold = rol_threshold_internal(1);
	return r;
}

void rol_free(struct rol *r)
{
	uint32_t i;

	if (!r)
		return;
	for (i = 0; i < r->entry_count; i++)
		free(r->entries[i]);
	free(r->entries);
	free(r->bad);
	free(r);
}

void rol_set_hosts(struct rol *r, uint32_t host_count)
{
	r->threshold = rol_threshold_internal(host_count);
}

void rol_set_candidate(struct rol *r, uint32_t candidate)
{
	r->candidate = candidate;
}

struct rol_lead *rol_lead(struct rol *r)
{
	return &r->lead;
}

uint64_t rol_fence(const struct rol *r)
{
	return r->fence;
}

struct rol_entry *rol_entry_internal(const struct rol *r, const char *service)
{
	uint32_t i;

	for (i = 0; i < r->entry_count; i++) {
		if (strcmp(r->entries[i]->item.service, service) == 0)
			return r->entries[i];
	}
	return NULL;
}

const struct rollout_item *rol_find(const struct rol *r, const char *service)
{
	struct rol_entry *e = rol_entry_internal(r, service);

	return e && !e->deleted ? &e->item : NULL;
}

const char *rol_bad_reason(const struct rol *r, const char *service,
			   const char *version)
{
	uint32_t i;

	for (i = 0; i < r->bad_count; i++) {
		if (strcmp(r->bad[i].version, version) == 0 &&
		    strcmp(r->bad[i].service, service) == 0)
			return r->bad[i].reason;
	}
	return NULL;
}

void rol_mark_bad_internal(struct rol *r, const char *service,
			   const char *version, const char *reason)
{
	struct rol_bad *b;
	char note[REASON_BYTES + NAME_BYTES + 32];

	if (rol_bad_reason(r, service, version))
		return;
	r->bad = cu_grow(r->bad, r->bad_count + 1, sizeof(*r->bad));
	b = &r->bad[r->bad_count++];
	memset(b, 0, sizeof(*b));
	cu_copy(b->service, sizeof(b->service), service);
	cu_copy(b->version, sizeof(b->version), version);
	cu_copy(b->reason, sizeof(b->reason), reason);
	snprintf(note, sizeof(note), "version %s is bad: %s", version, reason);
	r->ops->note(r->ctx, service, note);
	r->ops->changed(r->ctx);
}

static struct rol_entry *entry_or_add(struct rol *r, const char *service)
{
	struct rol_entry *e = rol_entry_internal(r, service);

	if (e)
		return e;
	e = cu_alloc(1, sizeof(*e));
	cu_copy(e->item.service, sizeof(e->item.service), service);
	r->entries =
		cu_grow(r->entries, r->entry_count + 1, sizeof(*r->entries));
	r->entries[r->entry_count++] = e;
	return e;
}

/* Steps from the current share to the end, the current one included. */
static int64_t steps_left(uint32_t share_permille)
{
#define LEFT(permille) +(permille > share_permille)
	return 1 + (0 ROL_STEPS(LEFT));
#undef LEFT
}

static void start_step(struct rol_entry *e, int64_t now_us, int64_t wall_ms)
{
	int64_t left_us = ((int64_t)e->item.finish_by_ms - wall_ms) * US_PER_MS;
	int64_t each_us = cu_max_i64(0, left_us) /
			  steps_left(e->item.share_permille) / 100;

	e->step_us = now_us;
	e->planned_us =
		now_us + cu_max_i64(ROL_STEP_MIN_US, each_us * PLANNED_PERCENT);
	e->longest_us =
		now_us + cu_max_i64(ROL_STEP_MIN_US, each_us * LONGEST_PERCENT);
	memset(&e->step_new, 0, sizeof(e->step_new));
	memset(e->route_new, 0, sizeof(e->route_new));
	memset(e->route_old, 0, sizeof(e->route_old));
}

static int same_rollout(const struct rollout_item *a,
			const struct rollout_item *b)
{
	return strcmp(a->to, b->to) == 0 && strcmp(a->from, b->from) == 0;
}

static void adopt(struct rol *r, struct rol_entry *e, int64_t now_us,
		  int64_t wall_ms, const struct rollout_item *item)
{
	int same = !e->deleted && same_rollout(&e->item, item);
	int step = !same || e->item.share_permille != item->share_permille ||
		   e->item.state != item->state;

	e->item = *item;
	e->deleted = 0;
	if (!same)
		rol_reset_internal(e);
	if (step)
		start_step(e, now_us, wall_ms);
	if (item->state == ROLLOUT_ROLLED_BACK)
		rol_mark_bad_internal(r, item->service, item->to, item->reason);
}

/* Keeps the revision, so that the leader can write over it. */
static enum err_code refuse(struct rol *r, struct rol_entry *e,
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

enum err_code rol_item(struct rol *r, int64_t now_us, int64_t wall_ms,
		       const struct rollout_item *item, uint64_t rev,
		       struct err *err)
{
	struct rol_entry *e = rol_entry_internal(r, item->service);

	if (e && rev < e->rev)
		return ERR_OK;
	if (!rol_fence_ok_internal(r->fence, item->fence))
		return refuse(r, e, item, rev, err);
	e = entry_or_add(r, item->service);
	e->rev = rev;
	e->refused = 0;
	if (item->fence > r->fence)
		r->fence = item->fence;
	adopt(r, e, now_us, wall_ms, item);
	r->ops->changed(r->ctx);
	return ERR_OK;
}

void rol_item_deleted(struct rol *r, const char *service)
{
	struct rol_entry *e = rol_entry_internal(r, service);

	if (!e || e->deleted)
		return;
	e->deleted = 1;
	r->ops->changed(r->ctx);
}

static uint32_t new_share(const struct rol *r, const struct rol_entry *e)
{
	int bad = rol_bad_reason(r, e->item.service, e->item.to) != NULL;

	return rol_share_internal(&e->item, bad);
}

uint32_t rol_share_permille(const struct rol *r, const char *service,
			    const char *version)
{
	const struct rol_entry *e = rol_entry_internal(r, service);

	if (rol_bad_reason(r, service, version))
		return 0;
	if (!e || e->deleted)
		return PERMILLE;
	if (strcmp(e->item.to, version) == 0)
		return new_share(r, e);
	if (strcmp(e->item.from, version) == 0)
		return PERMILLE - new_share(r, e);
	return PERMILLE;
}

static void share_of(const struct rol *r, const char *service,
		     const char *version,
		     void (*fn)(void *, const char *, const char *, uint32_t),
		     void *ctx)
{
	uint32_t share = rol_share_permille(r, service, version);

	if (share != PERMILLE)
		fn(ctx, service, version, share);
}

void rol_each_share(const struct rol *r,
		    void (*fn)(void *ctx, const char *service,
			       const char *version, uint32_t share_permille),
		    void *ctx)
{
	uint32_t i;

	for (i = 0; i < r->bad_count; i++)
		fn(ctx, r->bad[i].service, r->bad[i].version, 0);
	for (i = 0; i < r->entry_count; i++) {
		const struct rollout_item *item = &r->entries[i]->item;

		if (r->entries[i]->deleted)
			continue;
		if (!rol_bad_reason(r, item->service, item->to))
			share_of(r, item->service, item->to, fn, ctx);
		if (!rol_bad_reason(r, item->service, item->from))
			share_of(r, item->service, item->from, fn, ctx);
	}
}

void rol_statistic(const struct rol *r, const char *service,
		   uint64_t *score_milli, uint64_t *threshold_milli)
{
	const struct rol_entry *e = rol_entry_internal(r, service);

	*score_milli = e ? (uint64_t)(rol_score_internal(e) * 1000.0) : 0;
	*threshold_milli = (uint64_t)(r->threshold * 1000.0);
}

static void report_version(struct rol *r, const struct rol_entry *e,
			   uint32_t old, struct rollout_evidence *out)
{
	const char *version = old ? e->item.from : e->item.to;
	const struct rol_counts *c = &e->unsent[old];

	memset(out, 0, sizeof(*out));
	cu_copy(out->service, sizeof(out->service), e->item.service);
	cu_copy(out->version, sizeof(out->version), version);
	out->bad = rol_bad_reason(r, e->item.service, version) != NULL;
	out->requests = (uint32_t)c->requests;
	out->failures = (uint32_t)c->bad[ROL_FAILURES];
	out->slow = (uint32_t)c->bad[ROL_SLOW];
}

static int reports(const struct rol *r, const struct rol_entry *e)
{
	return !e->deleted && (e->item.state == ROLLOUT_RUNNING ||
			       e->item.state == ROLLOUT_DONE ||
			       rol_bad_reason(r, e->item.service, e->item.to));
}

uint32_t rol_report(struct rol *r, struct rollout_evidence *out, uint32_t max)
{
	uint32_t count = 0;
	uint32_t last = r->report_next;
	uint32_t pass;
	uint32_t i;

	/* First pass: bad versions that the item does not state yet. */
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < r->entry_count && count + 2 <= max; i++) {
			uint32_t at = (r->report_next + i) % r->entry_count;
			struct rol_entry *e = r->entries[at];
			int urgent =
				e->item.state != ROLLOUT_ROLLED_BACK &&
				rol_bad_reason(r, e->item.service, e->item.to);

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

static int wants_leader(const struct rol *r, const struct rol_entry *e)
{
	if (e->deleted)
		return 0;
	if (e->refused || e->item.state == ROLLOUT_RUNNING)
		return 1;
	return e->item.state == ROLLOUT_DONE &&
	       rol_bad_reason(r, e->item.service, e->item.to);
}

static void lead_entry(struct rol *r, struct rol_entry *e, int64_t now_us)
{
	struct rollout_item next;
	const char *reason = rol_bad_reason(r, e->item.service, e->item.to);
	int grow = rol_may_grow_internal(r, e, now_us);

	if (e->deleted || e->writing || now_us < e->retry_us)
		return;
	if (!rol_next_item_internal(&e->item, r->lead.fence, reason != NULL,
				    grow, &next) &&
	    !e->refused)
		return;
	if (reason)
		cu_copy(next.reason, sizeof(next.reason), reason);
	e->writing = (uint32_t)r->ops->write(r->ctx, &next, e->rev);
	e->retry_us = now_us + WRITE_RETRY_US;
}

void rol_tick(struct rol *r, int64_t now_us, int64_t wall_ms)
{
	int wanted = 0;
	uint32_t i;

	for (i = 0; i < r->entry_count; i++)
		wanted |= wants_leader(r, r->entries[i]);
	rol_lead_tick(&r->lead, now_us, wanted && r->candidate,
		      rng_below(&r->rng, ROL_LEAD_RETRY_US), &r->ops->lead,
		      r->ctx);
	/* Another leader was given a later token. */
	if (rol_lead_may_act(&r->lead, now_us) && r->fence > r->lead.fence)
		rol_lead_drop(&r->lead, now_us, &r->ops->lead, r->ctx);
	if (!rol_lead_may_act(&r->lead, now_us))
		return;
	for (i = 0; i < r->entry_count; i++)
		lead_entry(r, r->entries[i], now_us);
}

void rol_write_done(struct rol *r, int64_t now_us, const char *service,
		    enum err_code code)
{
	struct rol_entry *e = rol_entry_internal(r, service);

	if (!e)
		return;
	e->writing = 0;
	e->retry_us = now_us + WRITE_RETRY_US;
	if (code == ERR_CFG_FENCE)
		rol_lead_drop(&r->lead, now_us, &r->ops->lead, r->ctx);
}

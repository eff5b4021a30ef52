#include "controller/rollout.h"

#include <stdio.h>
#include <string.h>

#include "controller/rollout_internal.h"

#define STEP(permille) +1
#define STEP_COUNT (0 ROLLOUT_STEPS(STEP))
/*
 * Planned and longest time of a step, as parts of the time left divided by the
 * number of steps left. The rest of the time is for a change of the leader and
 * an outage of the store.
 */
#define PLANNED_PERCENT 65
#define LONGEST_PERCENT 90
/* An item is written again after this time at the earliest. */
#define WRITE_RETRY_US (1LL * US_PER_S)

struct rollout *rollout_new(const char *self, uint64_t seed,
			    const struct rollout_ops *ops, void *ctx)
{
	struct rollout *r = util_alloc(1, sizeof(*r));

	util_copy_str(r->self, sizeof(r->self), self);
	r->rng.state = seed;
	r->ops = ops;
	r->ctx = ctx;
	r->threshold_nats = rollout_threshold_internal(1);
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
	r->threshold_nats = rollout_threshold_internal(host_count);
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
	struct rollout_entry *entry = rollout_entry_internal(r, service);

	return entry && !entry->deleted ? &entry->item : NULL;
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

static struct rollout_entry *find_or_add_entry(struct rollout *r,
					       const char *service)
{
	struct rollout_entry *entry = rollout_entry_internal(r, service);

	if (entry)
		return entry;
	entry = util_alloc(1, sizeof(*entry));
	util_copy_str(entry->item.service, sizeof(entry->item.service),
		      service);
	r->entries =
		util_grow(r->entries, r->entry_count + 1, sizeof(*r->entries));
	r->entries[r->entry_count++] = entry;
	return entry;
}

/* Number of steps from the current share to the end, the current included. */
static int64_t steps_left(uint32_t share_permille)
{
#define LEFT(permille) +(permille > share_permille)
	return 1 + (0 ROLLOUT_STEPS(LEFT));
#undef LEFT
}

static void start_step(struct rollout_entry *entry, int64_t now_us,
		       int64_t wall_ms)
{
	int64_t left_us =
		((int64_t)entry->item.finish_by_ms - wall_ms) * US_PER_MS;
	int64_t each_us = util_max_i64(0, left_us) /
			  steps_left(entry->item.share_permille) / 100;

	entry->step_start_us = now_us;
	entry->planned_end_us =
		now_us +
		util_max_i64(ROLLOUT_STEP_MIN_US, each_us * PLANNED_PERCENT);
	entry->latest_end_us = now_us + util_max_i64(ROLLOUT_STEP_MIN_US,
						     each_us * LONGEST_PERCENT);
	memset(&entry->step_new, 0, sizeof(entry->step_new));
	memset(entry->route_new, 0, sizeof(entry->route_new));
	memset(entry->route_old, 0, sizeof(entry->route_old));
}

static int is_same_rollout(const struct rollout_item *a,
			   const struct rollout_item *b)
{
	return strcmp(a->to, b->to) == 0 && strcmp(a->from, b->from) == 0;
}

/* Puts @item in effect; starts a step if its share or state is new. */
static void apply_item(struct rollout *r, struct rollout_entry *entry,
		       int64_t now_us, int64_t wall_ms,
		       const struct rollout_item *item)
{
	int is_same = !entry->deleted && is_same_rollout(&entry->item, item);
	int is_new_step = !is_same ||
			  entry->item.share_permille != item->share_permille ||
			  entry->item.state != item->state;

	entry->item = *item;
	entry->deleted = 0;
	if (!is_same)
		rollout_reset_internal(entry);
	if (is_new_step)
		start_step(entry, now_us, wall_ms);
	if (item->state == ROLLOUT_ROLLED_BACK)
		rollout_mark_bad_internal(r, item->service, item->to,
					  item->reason);
}

/* Keeps the revision of the refused item, so that the leader can replace it. */
static enum err_code refuse_item(struct rollout *r, struct rollout_entry *entry,
				 const struct rollout_item *item, uint64_t rev,
				 struct err *err)
{
	if (entry) {
		entry->rev = rev;
		entry->refused = 1;
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
	struct rollout_entry *entry = rollout_entry_internal(r, item->service);

	if (entry && rev < entry->rev)
		return ERR_OK;
	if (!rollout_fence_ok_internal(r->fence, item->fence))
		return refuse_item(r, entry, item, rev, err);
	entry = find_or_add_entry(r, item->service);
	entry->rev = rev;
	entry->refused = 0;
	if (item->fence > r->fence)
		r->fence = item->fence;
	apply_item(r, entry, now_us, wall_ms, item);
	r->ops->shares_changed(r->ctx);
	return ERR_OK;
}

void rollout_on_item_deleted(struct rollout *r, const char *service)
{
	struct rollout_entry *entry = rollout_entry_internal(r, service);

	if (!entry || entry->deleted)
		return;
	entry->deleted = 1;
	r->ops->shares_changed(r->ctx);
}

static uint32_t new_version_share_permille(const struct rollout *r,
					   const struct rollout_entry *entry)
{
	int is_bad = rollout_bad_reason(r, entry->item.service,
					entry->item.to) != NULL;

	return rollout_share_internal(&entry->item, is_bad);
}

uint32_t rollout_share_permille(const struct rollout *r, const char *service,
				const char *version)
{
	const struct rollout_entry *entry = rollout_entry_internal(r, service);

	if (rollout_bad_reason(r, service, version))
		return 0;
	if (!entry || entry->deleted)
		return PERMILLE;
	if (strcmp(entry->item.to, version) == 0)
		return new_version_share_permille(r, entry);
	if (strcmp(entry->item.from, version) == 0)
		return PERMILLE - new_version_share_permille(r, entry);
	return PERMILLE;
}

/* Calls @fn if the version has a share other than 1000. */
static void
each_share_of(const struct rollout *r, const char *service, const char *version,
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
			each_share_of(r, item->service, item->to, fn, ctx);
		if (!rollout_bad_reason(r, item->service, item->from))
			each_share_of(r, item->service, item->from, fn, ctx);
	}
}

void rollout_get_score(const struct rollout *r, const char *service,
		       uint64_t *score_milli, uint64_t *threshold_milli)
{
	const struct rollout_entry *entry = rollout_entry_internal(r, service);

	*score_milli =
		entry ? (uint64_t)(rollout_score_internal(entry) * 1000.0) : 0;
	*threshold_milli = (uint64_t)(r->threshold_nats * 1000.0);
}

/* Fills @out for the new version or, with @is_old 1, for the old one. */
static void report_version(struct rollout *r, const struct rollout_entry *entry,
			   uint32_t is_old, struct rollout_report *out)
{
	const char *version = is_old ? entry->item.from : entry->item.to;
	const struct rollout_counts *c = &entry->unsent[is_old];

	memset(out, 0, sizeof(*out));
	util_copy_str(out->service, sizeof(out->service), entry->item.service);
	util_copy_str(out->version, sizeof(out->version), version);
	out->is_bad = rollout_bad_reason(r, entry->item.service, version) !=
		      NULL;
	out->requests = (uint32_t)c->requests;
	out->failures = (uint32_t)c->bad[ROLLOUT_FAILURES];
	out->slow = (uint32_t)c->bad[ROLLOUT_SLOW];
}

static int is_reported(const struct rollout *r,
		       const struct rollout_entry *entry)
{
	return !entry->deleted &&
	       (entry->item.state == ROLLOUT_RUNNING ||
		entry->item.state == ROLLOUT_DONE ||
		rollout_bad_reason(r, entry->item.service, entry->item.to));
}

uint32_t rollout_fill_report(struct rollout *r, struct rollout_report *out,
			     uint32_t max)
{
	uint32_t count = 0;
	uint32_t last = r->report_next;
	uint32_t pass;
	uint32_t i;

	/*
	 * The first pass takes rollouts whose version is marked bad while the
	 * item does not say so yet, the second pass all others.
	 */
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < r->entry_count && count + 2 <= max; i++) {
			uint32_t at = (r->report_next + i) % r->entry_count;
			struct rollout_entry *entry = r->entries[at];
			int is_urgent =
				entry->item.state != ROLLOUT_ROLLED_BACK &&
				rollout_bad_reason(r, entry->item.service,
						   entry->item.to);

			if (!is_reported(r, entry) || is_urgent != (pass == 0))
				continue;
			report_version(r, entry, 0, &out[count++]);
			report_version(r, entry, 1, &out[count++]);
			memset(entry->unsent, 0, sizeof(entry->unsent));
			last = at + 1;
		}
	}
	r->report_next = r->entry_count ? last % r->entry_count : 0;
	return count;
}

/* 1 while a leader is needed to write the item. */
static int wants_leader(const struct rollout *r,
			const struct rollout_entry *entry)
{
	if (entry->deleted)
		return 0;
	if (entry->refused || entry->item.state == ROLLOUT_RUNNING)
		return 1;
	return entry->item.state == ROLLOUT_DONE &&
	       rollout_bad_reason(r, entry->item.service, entry->item.to);
}

/* Writes the next item as the leader, if one is due. */
static void write_next_item(struct rollout *r, struct rollout_entry *entry,
			    int64_t now_us)
{
	struct rollout_item next;
	const char *reason =
		rollout_bad_reason(r, entry->item.service, entry->item.to);
	int may_grow = rollout_may_grow_internal(r, entry, now_us);

	if (entry->deleted || entry->writing || now_us < entry->retry_us)
		return;
	if (!rollout_next_item_internal(&entry->item, r->leadership.fence,
					reason != NULL, may_grow, &next) &&
	    !entry->refused)
		return;
	if (reason)
		util_copy_str(next.reason, sizeof(next.reason), reason);
	entry->writing =
		(uint32_t)r->ops->write_item(r->ctx, &next, entry->rev);
	entry->retry_us = now_us + WRITE_RETRY_US;
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
	/* An item carries a later token: another host is the leader now. */
	if (leadership_may_act(&r->leadership, now_us) &&
	    r->fence > r->leadership.fence)
		leadership_resign(&r->leadership, now_us, &r->ops->leadership,
				  r->ctx);
	if (!leadership_may_act(&r->leadership, now_us))
		return;
	for (i = 0; i < r->entry_count; i++)
		write_next_item(r, r->entries[i], now_us);
}

void rollout_write_done(struct rollout *r, int64_t now_us, const char *service,
			enum err_code code)
{
	struct rollout_entry *entry = rollout_entry_internal(r, service);

	if (!entry)
		return;
	entry->writing = 0;
	entry->retry_us = now_us + WRITE_RETRY_US;
	if (code == ERR_CFG_FENCE)
		leadership_resign(&r->leadership, now_us, &r->ops->leadership,
				  r->ctx);
}

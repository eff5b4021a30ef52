#include "model/config.h"

#include <string.h>

#include "model/heartbeat.h"

static const char *const rollout_state_names[] = {
#define DEF(id, name) [id] = name,
	ROLLOUT_STATES(DEF)
#undef DEF
};

static const char *const host_state_names[] = {
	[HOST_LIVE] = "live",
	[HOST_SUSPECT] = "suspect",
	[HOST_GONE] = "gone",
	[HOST_LEAVING] = "leaving",
};

const char *host_state_name(enum host_state s)
{
	return host_state_names[s];
}

int cfg_item_name_ok(const char *name)
{
	char kind[ITEM_NAME_BYTES];
	char *slash;

	if (!util_copy_str(kind, sizeof(kind), name))
		return 0;
	slash = strchr(kind, '/');
	if (!slash)
		return 0;
	*slash = '\0';
	return util_name_ok(kind, ITEM_NAME_BYTES) &&
	       util_name_ok(slash + 1, NAME_BYTES - 1);
}

static void replace_unprintable(char *s)
{
	for (; *s; s++) {
		if (*s < ' ' || *s > '~')
			*s = '?';
	}
}

struct cfg_item *cfg_item_new(const char *name, uint64_t rev,
			      uint64_t change_id, const char *who,
			      const char *json)
{
	struct cfg_item *item = util_alloc(1, sizeof(*item));

	item->refs = 1;
	util_copy_str(item->name, sizeof(item->name), name);
	item->rev = rev;
	item->change_id = change_id;
	util_copy_str(item->who, sizeof(item->who), who);
	replace_unprintable(item->who);
	item->json = json ? util_strdup(json) : NULL;
	return item;
}

struct cfg_item *cfg_item_ref(struct cfg_item *item)
{
	item->refs++;
	return item;
}

void cfg_item_unref(struct cfg_item *item)
{
	if (!item || --item->refs)
		return;
	free(item->json);
	free(item);
}

void cfg_delta_free(struct cfg_delta *d)
{
	uint32_t i;

	if (!d)
		return;
	for (i = 0; i < d->item_count; i++)
		cfg_item_unref(d->items[i]);
	free(d->items);
	free(d);
}

struct cfg_head *cfg_head_new(void)
{
	return util_alloc(1, sizeof(struct cfg_head));
}

struct cfg_head *cfg_head_copy(const struct cfg_head *h)
{
	struct cfg_head *copy = cfg_head_new();

	*copy = *h;
	copy->entries = util_alloc(h->entry_count, sizeof(*h->entries));
	if (h->entry_count)
		memcpy(copy->entries, h->entries,
		       h->entry_count * sizeof(*h->entries));
	return copy;
}

void cfg_head_free(struct cfg_head *h)
{
	if (!h)
		return;
	free(h->entries);
	free(h);
}

/* Position of the first entry whose name is not below @name. */
static uint32_t lower_bound(const struct cfg_head *h, const char *name)
{
	uint32_t lo = 0;
	uint32_t hi = h->entry_count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (strcmp(h->entries[mid].name, name) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

const struct cfg_head_entry *cfg_head_find(const struct cfg_head *h,
					   const char *name)
{
	uint32_t pos = lower_bound(h, name);

	if (pos < h->entry_count && strcmp(h->entries[pos].name, name) == 0)
		return &h->entries[pos];
	return NULL;
}

void cfg_head_put(struct cfg_head *h, const struct cfg_head_entry *entry)
{
	uint32_t pos = lower_bound(h, entry->name);

	if (pos == h->entry_count ||
	    strcmp(h->entries[pos].name, entry->name) != 0) {
		h->entries = util_grow(h->entries, h->entry_count + 1,
				       sizeof(*h->entries));
		memmove(&h->entries[pos + 1], &h->entries[pos],
			(h->entry_count - pos) * sizeof(*h->entries));
		h->entry_count++;
	}
	h->entries[pos] = *entry;
}

void cfg_head_prune_deletions(struct cfg_head *h)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < h->entry_count; i++) {
		const struct cfg_head_entry *entry = &h->entries[i];

		if (entry->is_deleted &&
		    entry->rev + CFG_HEAD_RECENT_MAX < h->rev)
			continue;
		h->entries[kept++] = *entry;
	}
	h->entry_count = kept;
}

void cfg_head_advance(struct cfg_head *h, uint64_t change_id)
{
	if (h->recent_count < CFG_HEAD_RECENT_MAX)
		h->recent_count++;
	memmove(&h->recent_change_ids[1], &h->recent_change_ids[0],
		(h->recent_count - 1) * sizeof(h->recent_change_ids[0]));
	h->recent_change_ids[0] = change_id;
	h->rev++;
	cfg_head_prune_deletions(h);
}

uint64_t cfg_head_change_id(const struct cfg_head *h)
{
	return h->recent_count ? h->recent_change_ids[0] : 0;
}

int cfg_compare_revs(uint64_t a_rev, uint64_t a_change_id, uint64_t b_rev,
		     uint64_t b_change_id)
{
	if (a_rev != b_rev)
		return a_rev < b_rev ? -1 : 1;
	if (a_change_id == b_change_id)
		return 0;
	return a_change_id < b_change_id ? -1 : 1;
}

static enum err_code check_name(const char *field, const char *name,
				struct err *err)
{
	if (util_name_ok(name, NAME_BYTES - 1))
		return ERR_OK;
	return err_set(err, ERR_CFG_FIELD,
		       "%s is not valid, accepted 1 to 64 of "
		       "a-z A-Z 0-9 . _ : -",
		       field);
}

enum err_code dc_item_check(const struct dc_item *d, struct err *err)
{
	return check_name("data_centre", d->data_centre, err);
}

enum err_code host_item_check(const struct host_item *h, struct err *err)
{
	return check_name("host", h->host, err);
}

enum err_code rollout_item_check(const struct rollout_item *r, struct err *err)
{
	enum err_code code = check_name("service", r->service, err);

	if (code == ERR_OK)
		code = check_name("from", r->from, err);
	if (code == ERR_OK)
		code = check_name("to", r->to, err);
	if (code != ERR_OK)
		return code;
	if (strcmp(r->from, r->to) == 0)
		return err_set(err, ERR_CFG_FIELD,
			       "to is %s, accepted a version other than from",
			       r->to);
	if (r->share_permille > PERMILLE)
		return err_set(err, ERR_CFG_FIELD,
			       "share_permille is %u, accepted 0 to 1000",
			       r->share_permille);
	return ERR_OK;
}

const char *rollout_state_name(enum rollout_state s)
{
	return rollout_state_names[s];
}

enum rollout_state rollout_state_from_name(const char *name)
{
	uint32_t i;

	for (i = 0; i < ROLLOUT_STATE_COUNT; i++) {
		if (strcmp(rollout_state_names[i], name) == 0)
			break;
	}
	return (enum rollout_state)i;
}

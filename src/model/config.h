/*
 * Configuration items. The documents of contracts and layouts have headers of
 * their own; here are the others, and the head, which lists the revision of
 * every item. Item names: "contract/CUSTOMER", "layout/INDEX",
 * "dc/DATA_CENTRE", "host/HOST" and "rollout/SERVICE".
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

/* Size of an item name: the kind, a slash, the name and the terminating NUL. */
#define ITEM_NAME_BYTES (NAME_BYTES + 16)
#define WHO_BYTES 128
#define REASON_BYTES 160
/*
 * Latest changes that a head lists. A host that got no answer to a write of the
 * head finds there whether its change was made.
 */
#define CFG_HEAD_RECENT_MAX 64
/* Most items of a configuration; keeps the encoded head below 1 MB. */
#define CFG_HEAD_ITEMS_MAX 8192

struct dc_item {
	char data_centre[NAME_BYTES];
	/* 1: out of service. */
	uint32_t is_out;
};

/* The item of an entry host or of a target. */
struct host_item {
	char host[NAME_BYTES];
	/* 1: out of service. */
	uint32_t is_out;
};

/* DEF(id, name in the document) */
#define ROLLOUT_STATES(DEF)                     \
	DEF(ROLLOUT_RUNNING, "running")         \
	DEF(ROLLOUT_DONE, "done")               \
	DEF(ROLLOUT_ROLLED_BACK, "rolled_back") \
	DEF(ROLLOUT_ABORTED, "aborted")

enum rollout_state {
#define DEF(id, name) id,
	ROLLOUT_STATES(DEF)
#undef DEF
		ROLLOUT_STATE_COUNT
};

struct rollout_item {
	char service[NAME_BYTES];
	char from[NAME_BYTES];
	char to[NAME_BYTES];
	/* The rollout has to be done by then; ms since 1970-01-01 UTC. */
	uint64_t finish_by_ms;
	/* Share of the service's new work that the new version gets. */
	uint32_t share_permille;
	enum rollout_state state;
	/* Why the rollout was rolled back or aborted; else empty. */
	char reason[REASON_BYTES];
	/* Fencing token of the leader that wrote the item; 0: an operator. */
	uint64_t fence;
};

/* Revision of one item and the random ID of the change that made it. */
struct cfg_head_entry {
	char name[ITEM_NAME_BYTES];
	uint64_t rev;
	uint64_t change_id;
	/* 1: that revision deleted the item. */
	uint32_t is_deleted;
};

/* Head: the revision of the configuration and those of its items. */
struct cfg_head {
	uint64_t rev;
	/* IDs of the latest changes; entry i made revision rev - i. */
	uint32_t recent_count;
	uint64_t recent_change_ids[CFG_HEAD_RECENT_MAX];
	/* Sorted by name. */
	uint32_t entry_count;
	struct cfg_head_entry *entries;
};

/* One stored revision of an item. */
struct cfg_item {
	_Atomic uint32_t refs;
	char name[ITEM_NAME_BYTES];
	uint64_t rev;
	uint64_t change_id;
	/* Who made the change. */
	char who[WHO_BYTES];
	/* JSON text of the document; NULL if the item was deleted. */
	char *json;
};

/*
 * 1 if @name is a kind and a name with a slash between them, else 0. The kind
 * may be any valid name.
 */
int cfg_item_name_ok(const char *name);
/*
 * Returns an item with one reference and copies of the arguments. @json NULL:
 * the item was deleted. Bytes of @who other than printable ASCII are replaced
 * by '?'.
 */
struct cfg_item *cfg_item_new(const char *name, uint64_t rev,
			      uint64_t change_id, const char *who,
			      const char *json);
struct cfg_item *cfg_item_ref(struct cfg_item *item);
/* Drops one reference; the last one frees. NULL is ignored. */
void cfg_item_unref(struct cfg_item *item);

/*
 * Page of the items that changed since a revision, or of all items, as one host
 * sends them to another. All pages of one set have the same revision and the
 * same recent changes.
 */
struct cfg_delta {
	uint64_t rev;
	uint32_t recent_count;
	uint64_t recent_change_ids[CFG_HEAD_RECENT_MAX];
	/* 1: the pages hold all items, 0: only those that changed. */
	uint32_t is_full;
	/* 1: items with a higher revision follow in another page. */
	uint32_t has_more;
	uint32_t item_count;
	struct cfg_item **items;
};

void cfg_delta_free(struct cfg_delta *d);

/* Returns an empty head of revision 0. */
struct cfg_head *cfg_head_new(void);
struct cfg_head *cfg_head_copy(const struct cfg_head *h);
void cfg_head_free(struct cfg_head *h);
/* The entry of @name, or NULL. */
const struct cfg_head_entry *cfg_head_find(const struct cfg_head *h,
					   const char *name);
/* Inserts @entry, or replaces the entry of the same name; keeps the order. */
void cfg_head_put(struct cfg_head *h, const struct cfg_head_entry *entry);
/*
 * Moves @h on to its next revision, which change @change_id makes, and calls
 * cfg_head_prune_deletions().
 */
void cfg_head_advance(struct cfg_head *h, uint64_t change_id);
/*
 * Drops the entries of items that were deleted more than CFG_HEAD_RECENT_MAX
 * revisions ago. A host whose revision is none of the last CFG_HEAD_RECENT_MAX
 * gets all items instead of the changes.
 */
void cfg_head_prune_deletions(struct cfg_head *h);
/* ID of the change that made the revision of @h; 0 for revision 0. */
uint64_t cfg_head_change_id(const struct cfg_head *h);
/*
 * Negative, 0 or positive as revision @a_rev of change @a_change_id is older
 * than, equal to or newer than @b_rev of @b_change_id. The change IDs order two
 * revisions that got the same number because the store was restored.
 */
int cfg_compare_revs(uint64_t a_rev, uint64_t a_change_id, uint64_t b_rev,
		     uint64_t b_change_id);

enum err_code dc_item_check(const struct dc_item *d, struct err *err);
enum err_code host_item_check(const struct host_item *h, struct err *err);
enum err_code rollout_item_check(const struct rollout_item *r, struct err *err);
const char *rollout_state_name(enum rollout_state s);
/* ROLLOUT_STATE_COUNT for an unknown name. */
enum rollout_state rollout_state_from_name(const char *name);

#endif

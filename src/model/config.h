/*
 * Configuration documents other than contracts and layouts, and the head that
 * names the revision of every item. Item names: "contract/CUSTOMER",
 * "layout/INDEX", "dc/DATA_CENTRE", "host/HOST" and "rollout/SERVICE".
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

/* Kind and name of an item with the slash between them. */
#define ITEM_NAME_BYTES (NAME_BYTES + 16)
#define WHO_BYTES 128
#define REASON_BYTES 160
/* Changes that a head names, so that a lost answer can be resolved. */
#define CFG_HEAD_RECENT_MAX 64
/* Items of one configuration; keeps the encoded head below 1 MB. */
#define CFG_HEAD_ITEMS_MAX 8192

struct dc_item {
	char data_centre[NAME_BYTES];
	uint32_t is_out;
};

struct host_item {
	char host[NAME_BYTES];
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
	/* Wall-clock time in ms since 1970-01-01 UTC. */
	uint64_t finish_by_ms;
	uint32_t share_permille;
	enum rollout_state state;
	char reason[REASON_BYTES];
	/* Fencing token of the leader that wrote it; 0 for an operator. */
	uint64_t fence;
};

/* Revision of one item and the random ID of the change that made it. */
struct cfg_head_entry {
	char name[ITEM_NAME_BYTES];
	uint64_t rev;
	uint64_t change_id;
	uint32_t deleted;
};

struct cfg_head {
	uint64_t rev;
	/* Change IDs, latest first; entry i belongs to revision rev - i. */
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
	char who[WHO_BYTES];
	/* JSON text of the document; NULL when the item was deleted. */
	char *json;
};

/* 1 if @name is a kind and a name with a slash between them, else 0. */
int cfg_item_name_ok(const char *name);
/* Bytes of @who other than printable ASCII are replaced by '?'. */
struct cfg_item *cfg_item_new(const char *name, uint64_t rev, uint64_t change,
			      const char *who, const char *json);
struct cfg_item *cfg_item_ref(struct cfg_item *item);
/* Drops one reference; the last one frees. NULL is ignored. */
void cfg_item_unref(struct cfg_item *item);

/*
 * Items changed since a revision, as hosts exchange them, or all items. All
 * pages of one set carry the same rev and change.
 */
struct cfg_delta {
	uint64_t rev;
	uint32_t recent_count;
	uint64_t recent_change_ids[CFG_HEAD_RECENT_MAX];
	/* 1: @items are the whole configuration, 0: what changed. */
	uint32_t is_full;
	/* 1: items with a higher revision follow in another page. */
	uint32_t has_more;
	uint32_t item_count;
	struct cfg_item **items;
};

void cfg_delta_free(struct cfg_delta *d);

/* Empty head of revision 0. */
struct cfg_head *cfg_head_new(void);
struct cfg_head *cfg_head_copy(const struct cfg_head *h);
void cfg_head_free(struct cfg_head *h);
const struct cfg_head_entry *cfg_head_find(const struct cfg_head *h,
					   const char *name);
/* Inserts or replaces the entry of e->name, keeping the order. */
void cfg_head_put(struct cfg_head *h, const struct cfg_head_entry *e);
/* Starts revision rev + 1 made by @change. */
void cfg_head_advance(struct cfg_head *h, uint64_t change);
/* Drops deletions that every revision in recent[] already contains. */
void cfg_head_prune_deletions(struct cfg_head *h);
/* Change that made the head's revision; 0 for revision 0. */
uint64_t cfg_head_change_id(const struct cfg_head *h);
/*
 * Negative, 0 or positive as revision @a_rev of @a_change is older than, equal
 * to or newer than @b_rev of @b_change. The change orders two heads that a
 * restored store gave the same revision.
 */
int cfg_compare_revs(uint64_t a_rev, uint64_t a_change, uint64_t b_rev,
		     uint64_t b_change);

enum err_code dc_item_check(const struct dc_item *d, struct err *err);
enum err_code host_item_check(const struct host_item *h, struct err *err);
enum err_code rollout_item_check(const struct rollout_item *r, struct err *err);
const char *rollout_state_name(enum rollout_state s);
/* ROLLOUT_STATE_COUNT for an unknown name. */
enum rollout_state rollout_state_from_name(const char *name);

#endif

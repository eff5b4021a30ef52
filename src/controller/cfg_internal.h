/* State of the configuration controller; private to controller/cfg*.c. */
#ifndef CFG_INTERNAL_H
#define CFG_INTERNAL_H

#include <glib.h>

#include "base/rng.h"
#include "controller/cfg.h"

enum cfg_activity {
	CFG_IDLE,
	CFG_WAIT, /* until retry_us, then the head is read */
	CFG_READ_HEAD,
	CFG_READ_ITEMS,
	CFG_REPAIR_ITEM,
	CFG_REPAIR_HEAD,
	CFG_EDIT_ITEM,
	CFG_EDIT_HEAD
};

struct cfg_edit {
	struct cfg_edit *next;
	char name[ITEM_NAME_BYTES];
	char who[WHO_BYTES];
	/* NULL deletes the item. */
	char *json;
	/* Revision and change that the edit is based on; 0 for no item. */
	uint64_t base_rev;
	uint64_t base_change_id;
	uint64_t change_id;
	int64_t deadline_us;
	/* A write of the head may have taken effect. */
	uint32_t maybe_committed;
	struct err last_err;
	cfg_edit_done_fn *done;
	void *ctx;
};

struct cfg {
	struct cfg_ops ops;
	cfg_compare_fn *compare;
	struct rng rng;
	struct cfg_revision *current;
	/* Name to the cfg_item in effect. */
	GHashTable *effective;
	enum cfg_activity activity;
	int64_t retry_us;
	uint32_t retries;
	uint32_t want_head;
	/* 1 once a head was read or adopted. */
	uint32_t loaded;
	uint32_t edits_allowed;
	/* READ_ITEMS: set being read; EDIT_*, REPAIR_*: set being written. */
	struct cfg_revision *pending;
	/* Store version of the head that the activity is based on. */
	uint64_t version;
	/* READ_ITEMS: next entry to ask for, answers awaited, failures. */
	uint32_t next_entry;
	uint32_t open_reads;
	uint32_t read_failed;
	/* Head whose items were not found, and since when; 0 for none. */
	uint64_t missing_rev;
	uint64_t missing_change_id;
	int64_t missing_since_us;
	/* Items that could not be read, since when, and the next attempt. */
	uint32_t unreadable_count;
	int64_t unreadable_since_us;
	int64_t reread_us;
	/* REPAIR_ITEM: the store's head. */
	struct cfg_head *store_head;
	struct cfg_edit *edits;
	uint32_t edit_count;
	/* Pull in progress: host, basis and the pages so far. */
	uint32_t pulling;
	char pull_host[NAME_BYTES];
	struct cfg_revision *pull_base;
	struct cfg_delta *pulled_delta;
};

void cfg_end_pull_internal(struct cfg *c);
/* Adopts @s if it is newer than the set in effect; takes the reference. */
void cfg_adopt_internal(struct cfg *c, struct cfg_revision *s);
/* Ends the activity and starts the next one that is wanted. */
void cfg_next_internal(struct cfg *c, int64_t now_us);
/* Ends the activity; reads the head again after a growing delay. */
void cfg_retry_internal(struct cfg *c, int64_t now_us);
void cfg_read_head_internal(struct cfg *c);
/* The store's head is the one in effect: carries on with the first edit. */
void cfg_edit_step_internal(struct cfg *c, int64_t now_us);
/* Ends the first edit when it is overdue and no write of it is running. */
void cfg_edit_expire_internal(struct cfg *c, int64_t now_us);
/* Notes a failed store call for the first edit and ends it when overdue. */
void cfg_edit_failed_internal(struct cfg *c, int64_t now_us,
			      enum err_code code);
/* The store's head is older than the one in effect. */
void cfg_repair_internal(struct cfg *c, int64_t now_us,
			 struct cfg_head *store_head, uint64_t version);
void cfg_drop_edits_internal(struct cfg *c);

#endif

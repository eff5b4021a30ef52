/* State of the configuration controller; private to controller/cfg*.c. */
#ifndef CFG_INTERNAL_H
#define CFG_INTERNAL_H

#include <glib.h>

#include "base/rng.h"
#include "controller/cfg.h"

/* What the controller does with the store, or which answer it waits for. */
enum cfg_activity {
	CFG_IDLE,
	/* Waits until retry_us, then reads the head. */
	CFG_WAIT,
	CFG_READ_HEAD,
	/* Reads the items of a newer head, or items that were unreadable. */
	CFG_READ_ITEMS,
	/* Writes an item back that the store has lost, and then the head. */
	CFG_REPAIR_ITEM,
	CFG_REPAIR_HEAD,
	/* Writes the item of the first edit, and then the head. */
	CFG_EDIT_ITEM,
	CFG_EDIT_HEAD
};

struct cfg_edit {
	struct cfg_edit *next;
	char name[ITEM_NAME_BYTES];
	char who[WHO_BYTES];
	/* NULL deletes the item. */
	char *json;
	/* The item's revision that the edit is based on; 0: no such item. */
	uint64_t base_rev;
	uint64_t base_change_id;
	/* Random ID of the change that the edit makes. */
	uint64_t change_id;
	/* The edit fails if it has not been committed by then. */
	int64_t deadline_us;
	/* 1: a write of the head may have taken effect. */
	uint32_t maybe_committed;
	/* Result when the deadline passes; ERR_OK: no store call failed yet. */
	struct err last_err;
	cfg_edit_done_fn *done;
	void *ctx;
};

struct cfg {
	struct cfg_ops ops;
	cfg_compare_fn *compare;
	struct rng rng;
	/* Revision in effect. */
	struct cfg_revision *current;
	/* Name to the cfg_item in effect: the last good one of each item. */
	GHashTable *effective;
	enum cfg_activity activity;
	/* WAIT: time at which it ends. */
	int64_t retry_us;
	/* Attempts in a row that failed; sets the next wait. */
	uint32_t retries;
	/* 1: the head is to be read after the present activity. */
	uint32_t want_head;
	/* 1 once a head was read or adopted. */
	uint32_t loaded;
	/* 1 once cfg_allow_edits() was called. */
	uint32_t edits_allowed;
	/* READ_ITEMS: revision being read; EDIT_*, REPAIR_*: being written. */
	struct cfg_revision *pending;
	/* Store version of the head that the activity is based on. */
	uint64_t version;
	/* READ_ITEMS, REPAIR_ITEM: next entry of the pending head. */
	uint32_t next_entry;
	/* READ_ITEMS: number of reads whose answer is awaited. */
	uint32_t open_reads;
	/* READ_ITEMS: 1 once a read failed. */
	uint32_t read_failed;
	/*
	 * Latest head whose items were read, and the time since when one of its
	 * items is not found (0: none).
	 */
	uint64_t missing_rev;
	uint64_t missing_change_id;
	int64_t missing_since_us;
	/* Items of the current revision that could not be read. */
	uint32_t unreadable_count;
	/* Time when they were first seen, and of their next read (0: none). */
	int64_t unreadable_since_us;
	int64_t reread_us;
	/* REPAIR_ITEM: the store's head, which is older than the current. */
	struct cfg_head *store_head;
	/* Edits in the order of submission; the first one is carried out. */
	struct cfg_edit *edits;
	uint32_t edit_count;
	/* 1: a pull is in progress. */
	uint32_t pulling;
	char pull_host[NAME_BYTES];
	/* Revision that the pulled changes are applied to. */
	struct cfg_revision *pull_base;
	/* Pages pulled so far, joined; NULL before the first page. */
	struct cfg_delta *pulled_delta;
};

void cfg_end_pull_internal(struct cfg *c);
/*
 * Adopts @r if it is newer than the revision in effect, or the same with fewer
 * unreadable items. Takes over the reference.
 */
void cfg_adopt_internal(struct cfg *c, struct cfg_revision *r);
/* Ends the activity; reads the head if that is wanted or edits wait. */
void cfg_next_internal(struct cfg *c, int64_t now_us);
/* Ends the activity; reads the head again after a growing delay. */
void cfg_retry_internal(struct cfg *c, int64_t now_us);
void cfg_read_head_internal(struct cfg *c);
/* The store's head is the one in effect: carries out the first edit. */
void cfg_edit_step_internal(struct cfg *c, int64_t now_us);
/*
 * Ends the first edit if it was committed after all or its deadline has passed.
 * Called only while no write of it is in progress.
 */
void cfg_edit_expire_internal(struct cfg *c, int64_t now_us);
/* Records a failed store call for the first edit; ends it when overdue. */
void cfg_edit_failed_internal(struct cfg *c, int64_t now_us,
			      enum err_code code);
/* The store's head is older than the one in effect: writes the latter back. */
void cfg_repair_internal(struct cfg *c, int64_t now_us,
			 struct cfg_head *store_head, uint64_t version);
/* Ends all edits because the host stops. */
void cfg_drop_edits_internal(struct cfg *c);

#endif

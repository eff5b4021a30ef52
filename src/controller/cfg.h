/*
 * Configuration controller. It adopts only newer revisions of the
 * configuration, from the store or from other hosts. It carries out edits: it
 * writes the item under a new key and then compare-and-swaps the head, which
 * commits the edit; when the answer to that is lost, the change ID in the head
 * tells whether the edit was committed. When the store was restored to an older
 * state, it writes the newer revision back. It isolates items that fail their
 * check: their last good revision stays in effect.
 *
 * Pure: I/O is done by the callbacks, whose results come back through
 * cfg_on_*(). At most one activity with the store is in progress.
 */
#ifndef CFG_H
#define CFG_H

#include <stdint.h>

#include "base/err.h"
#include "controller/cfg_revision.h"
#include "model/config.h"

struct cfg;

struct cfg_ops {
	/* Reads the head from the store; answered by cfg_on_head(). */
	void (*read_head)(void *ctx);
	/* Reads one item from the store; answered by cfg_on_item(). */
	void (*read_item)(void *ctx, const struct cfg_head_entry *entry);
	/* Writes @item to a new key; answered by cfg_on_item_written(). */
	void (*write_item)(void *ctx, const struct cfg_item *item);
	/*
	 * Writes the head if its store version is still @if_version; answered
	 * by cfg_on_head_written().
	 */
	void (*write_head)(void *ctx, const struct cfg_head *head,
			   uint64_t if_version);
	/* Deletes an item's revision that is no longer needed; no answer. */
	void (*delete_item)(void *ctx, const struct cfg_head_entry *entry);
	/*
	 * Asks @host for one page of what changed since revision @rev of
	 * @change; @after_rev is the highest revision of the page before, 0 for
	 * the first page. Answered by cfg_on_delta().
	 */
	void (*pull)(void *ctx, const char *host, uint64_t rev, uint64_t change,
		     uint64_t after_rev);
	/*
	 * Checks the document @json of item @name by the item's kind; NULL
	 * @json: the deletion of the item.
	 */
	enum err_code (*check)(void *ctx, const char *name, const char *json,
			       struct err *err);
	/* @item takes effect; its json is NULL when it was deleted. */
	void (*item_changed)(void *ctx, const struct cfg_item *item);
	/* @item failed its check; its last good revision stays in effect. */
	void (*item_refused)(void *ctx, const struct cfg_item *item,
			     const struct err *err);
	/*
	 * @r, which is newer than the revision before, was adopted; called
	 * after item_changed() for its changes. Not called when only items of
	 * the same revision became readable.
	 */
	void (*adopted)(void *ctx, struct cfg_revision *r);
	/* Logs what an operator should know; @event as in log_event(). */
	void (*note)(void *ctx, const char *event, const char *text);
	void *ctx;
};

/* Result of an edit; @rev is the revision that it made when it succeeded. */
typedef void cfg_edit_done_fn(void *ctx, const struct err *err, uint64_t rev);

/* Change IDs come from @seed, which must differ between hosts and restarts. */
struct cfg *cfg_new(const struct cfg_ops *ops, uint64_t seed);
/* Edits that are not done end with ERR_STOPPING or ERR_STORE_UNKNOWN. */
void cfg_free(struct cfg *c);

/* Reads the store's head as soon as no other activity is in progress. */
void cfg_refresh(struct cfg *c, int64_t now_us);
/*
 * Allows edits. Called when this host has compared its revision with that of a
 * peer, or has no peer, so that no edit is based on the older state of a store
 * that was restored.
 */
void cfg_allow_edits(struct cfg *c);
/* Called every 100 ms for retries and the deadlines of edits. */
void cfg_tick(struct cfg *c, int64_t now_us);

/*
 * Submits an edit of item @name; NULL @json deletes it. @if_rev: item revision
 * that the edit is based on, 0 for the one in effect. Returns ERR_OK when @done
 * will be called once, later, or an error without calling @done: that of the
 * item's check, ERR_CFG_RACE, ERR_OVERLOADED, or ERR_NO_CONFIG until a head was
 * read or adopted and cfg_allow_edits() was called.
 */
enum err_code cfg_edit(struct cfg *c, int64_t now_us, const char *name,
		       const char *json, const char *who, uint64_t if_rev,
		       cfg_edit_done_fn *done, void *ctx, struct err *err);

/*
 * Answer of read_head(): @head with its store version, or NULL with the error
 * @code; ERR_STORE_NOT_FOUND when the store has no head. Takes ownership of
 * @head.
 */
void cfg_on_head(struct cfg *c, int64_t now_us, enum err_code code,
		 struct cfg_head *head, uint64_t version);
/* A watch of the store returned a new head. Takes ownership of @head. */
void cfg_on_watch(struct cfg *c, int64_t now_us, struct cfg_head *head,
		  uint64_t version);
/* Answer of read_item(); @item, NULL with an error, stays the caller's. */
void cfg_on_item(struct cfg *c, int64_t now_us, const char *name,
		 enum err_code code, struct cfg_item *item);
void cfg_on_item_written(struct cfg *c, int64_t now_us, enum err_code code);
void cfg_on_head_written(struct cfg *c, int64_t now_us, enum err_code code);
/* Answer of pull(); @delta is NULL when it failed. */
void cfg_on_delta(struct cfg *c, int64_t now_us, const struct cfg_delta *delta);
/* A heartbeat of @host said that it has revision @rev of @change. */
void cfg_on_peer_rev(struct cfg *c, int64_t now_us, const char *host,
		     uint64_t rev, uint64_t change);

/* Adopted revision and the change that made it. */
uint64_t cfg_rev(const struct cfg *c);
uint64_t cfg_change_id(const struct cfg *c);
/*
 * Adopted revision with its items as stored, also those that failed their check
 * (see cfg_item_in_effect()); valid until the next cfg call.
 */
struct cfg_revision *cfg_current(const struct cfg *c);
/* Item in effect, which is its last good revision, or NULL. */
const struct cfg_item *cfg_item_in_effect(const struct cfg *c,
					  const char *name);
/* Calls @fn for each item in effect, in order of name. */
void cfg_each_in_effect(const struct cfg *c,
			void (*fn)(void *ctx, const struct cfg_item *item),
			void *ctx);

/*
 * Orders revisions as cfg_compare_revs(). Replaced only in a test, which shows
 * that the property checker finds a wrong order.
 */
typedef int cfg_compare_fn(uint64_t a_rev, uint64_t a_change, uint64_t b_rev,
			   uint64_t b_change);
void cfg_use_compare_internal(struct cfg *c, cfg_compare_fn *fn);

#endif

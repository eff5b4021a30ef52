/*
 * Configuration controller. Adopts only higher revisions, carries out edits
 * (write the item, then compare-and-swap the head, which is the commit point),
 * resolves lost answers by the change ID in the head, writes a newer head back
 * to a store that went back, and isolates items that fail their check. Pure:
 * I/O is done by the callbacks, whose results come back through cfg_on_*().
 * At most one store activity is in progress.
 */
#ifndef CFG_H
#define CFG_H

#include <stdint.h>

#include "base/err.h"
#include "controller/cfg_revision.h"
#include "model/config.h"

struct cfg;

/* Each store callback is answered by one call of the function beside it. */
struct cfg_ops {
	/* cfg_on_head() */
	void (*read_head)(void *ctx);
	/* cfg_on_item() */
	void (*read_item)(void *ctx, const struct cfg_head_entry *e);
	/* Writes a new key; cfg_on_item_written(). */
	void (*write_item)(void *ctx, const struct cfg_item *item);
	/* cfg_on_head_written() */
	void (*write_head)(void *ctx, const struct cfg_head *h,
			   uint64_t if_version);
	/* Removes a revision that is no longer needed; not answered. */
	void (*delete_item)(void *ctx, const struct cfg_head_entry *e);
	/* Asks a host for changes; cfg_on_delta(). */
	void (*pull)(void *ctx, const char *host, uint64_t rev, uint64_t change,
		     uint64_t after_rev);
	/* Checks a document by the item's kind. */
	enum err_code (*check)(void *ctx, const char *name, const char *json,
			       struct err *err);
	/* An item takes effect; json is NULL when it was deleted. */
	void (*item_changed)(void *ctx, const struct cfg_item *item);
	/* An item was refused; its last good revision stays in effect. */
	void (*item_refused)(void *ctx, const struct cfg_item *item_changed,
			     const struct err *err);
	/* A revision was adopted, after item() for each changed item. */
	void (*adopted)(void *ctx, struct cfg_revision *set);
	/* Something an operator should know; @event as in log_event(). */
	void (*note)(void *ctx, const char *event, const char *text);
	void *ctx;
};

typedef void cfg_edit_done_fn(void *ctx, const struct err *err, uint64_t rev);

/* @seed makes change IDs; must differ between hosts and restarts. */
struct cfg *cfg_new(const struct cfg_ops *a, uint64_t seed);
/* Edits that wait end with ERR_STOPPING or ERR_STORE_UNKNOWN. */
void cfg_free(struct cfg *c);

/* Reads the store's head soon. */
void cfg_refresh(struct cfg *c, int64_t now_us);
/*
 * Allows edits. Called when this host has compared its revision with a peer or
 * has none, so that an edit is not based on a store that was restored.
 */
void cfg_allow_edits(struct cfg *c);
/* Every 100 ms: retries and deadlines. */
void cfg_tick(struct cfg *c, int64_t now_us);

/*
 * Returns as control_edit() in duty/control.h, and ERR_NO_CONFIG before a head
 * was seen and cfg_allow_edits() was called.
 */
enum err_code cfg_edit(struct cfg *c, int64_t now_us, const char *name,
		       const char *json, const char *who, uint64_t if_rev,
		       cfg_edit_done_fn *done, void *ctx, struct err *err);

/*
 * Answer of read_head(): @head with its store version, or NULL with @code;
 * ERR_STORE_NOT_FOUND for a store without a head. Takes ownership of @head.
 */
void cfg_on_head(struct cfg *c, int64_t now_us, enum err_code code,
		 struct cfg_head *head, uint64_t version);
/* A watch saw the head change. Takes ownership of @head. */
void cfg_on_watch(struct cfg *c, int64_t now_us, struct cfg_head *head,
		  uint64_t version);
/* Answer of read_item(); @item NULL with an error. Keeps a reference. */
void cfg_on_item(struct cfg *c, int64_t now_us, const char *name,
		 enum err_code code, struct cfg_item *item);
void cfg_on_item_written(struct cfg *c, int64_t now_us, enum err_code code);
void cfg_on_head_written(struct cfg *c, int64_t now_us, enum err_code code);
/* Answer of pull(); NULL when it failed. */
void cfg_on_delta(struct cfg *c, int64_t now_us, const struct cfg_delta *d);
/* A heartbeat of @host carried this revision. */
void cfg_on_peer_rev(struct cfg *c, int64_t now_us, const char *host,
		     uint64_t rev, uint64_t change);

uint64_t cfg_rev(const struct cfg *c);
uint64_t cfg_change_id(const struct cfg *c);
/* The stored revision in effect; valid until the next cfg call. */
struct cfg_revision *cfg_current(const struct cfg *c);
/* Item in effect (the last good one) or NULL. */
const struct cfg_item *cfg_item_in_effect(const struct cfg *c,
					  const char *name);
/* Calls @fn for each item in effect, in order of name. */
void cfg_each_in_effect(const struct cfg *c,
			void (*fn)(void *ctx, const struct cfg_item *item),
			void *ctx);

/* Orders revisions; replaced only by the test of the property checker. */
typedef int cfg_compare_fn(uint64_t a_rev, uint64_t a_change, uint64_t b_rev,
			   uint64_t b_change);
void cfg_use_compare_internal(struct cfg *c, cfg_compare_fn *fn);

#endif

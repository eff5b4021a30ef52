/* Edits and repair of a store that went back; see cfg.h. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "controller/cfg_internal.h"

/* Edits of one host that wait or are in progress. */
#define EDITS_MAX 64
/* An edit that has not been committed by then is reported as failed. */
#define EDIT_US (5 * (int64_t)US_PER_S)

static void edit_free(struct cfg_edit *e)
{
	free(e->json);
	free(e);
}

/* Reports the first edit; the callback may submit another one. */
static void finish_edit(struct cfg *c, const struct err *err, uint64_t rev)
{
	struct cfg_edit *e = c->edits;

	c->edits = e->next;
	c->edit_count--;
	e->done(e->ctx, err, rev);
	edit_free(e);
}

void cfg_drop_edits_internal(struct cfg *c)
{
	if (c->edits && c->activity == CFG_EDIT_HEAD)
		c->edits->maybe_committed = 1;
	while (c->edits) {
		struct err err = { 0 };

		err_set(&err,
			c->edits->maybe_committed ? ERR_STORE_UNKNOWN
						  : ERR_STOPPING,
			"%s: host is shutting down", c->edits->name);
		finish_edit(c, &err, 0);
	}
}

/* 0 for an item that does not exist, so that deletions may be forgotten. */
static uint64_t entry_rev(const struct cfg_head_entry *e)
{
	return e && !e->deleted ? e->rev : 0;
}

static uint64_t entry_change(const struct cfg_head_entry *e)
{
	return e && !e->deleted ? e->change_id : 0;
}

static enum err_code race(const struct cfg_revision *s, const char *name,
			  struct err *err)
{
	const struct cfg_item *item = cfg_revision_find(s, name);

	if (!item)
		return err_set(err, ERR_CFG_RACE, "%s does not exist", name);
	return err_set(err, ERR_CFG_RACE,
		       "%s was %s at revision %" PRIu64 "%s%s", name,
		       item->json ? "changed" : "deleted", item->rev,
		       item->who[0] ? " by " : "", item->who);
}

enum err_code cfg_edit(struct cfg *c, int64_t now_us, const char *name,
		       const char *json, const char *who, uint64_t if_rev,
		       cfg_edit_done_fn *done, void *ctx, struct err *err)
{
	const struct cfg_head_entry *entry =
		cfg_head_find(c->current->head, name);
	enum err_code code = c->ops.check(c->ops.ctx, name, json, err);
	struct cfg_edit **tail = &c->edits;
	struct cfg_edit *e;

	if (code != ERR_OK)
		return code;
	if (!c->loaded || !c->edits_allowed)
		return err_set(err, ERR_NO_CONFIG,
			       "this host has not compared its configuration "
			       "with the store and a peer yet");
	if (if_rev && entry_rev(entry) != if_rev)
		return race(c->current, name, err);
	if (c->edit_count == EDITS_MAX)
		return err_set(err, ERR_OVERLOADED,
			       "%u edits wait, accepted up to %u", EDITS_MAX,
			       EDITS_MAX);
	e = util_alloc(1, sizeof(*e));
	util_copy_str(e->name, sizeof(e->name), name);
	util_copy_str(e->who, sizeof(e->who), who);
	e->json = json ? util_strdup(json) : NULL;
	e->base_rev = entry_rev(entry);
	e->base_change_id = entry_change(entry);
	e->change_id = rng_u64(&c->rng);
	e->deadline_us = now_us + EDIT_US;
	e->done = done;
	e->ctx = ctx;
	while (*tail)
		tail = &(*tail)->next;
	*tail = e;
	c->edit_count++;
	if (c->activity == CFG_IDLE)
		cfg_next_internal(c, now_us);
	return ERR_OK;
}

/* Revision that @change made, or 0 when it is not in the history. */
static uint64_t rev_of_change(const struct cfg_head *h, uint64_t change)
{
	uint32_t i;

	for (i = 0; i < h->recent_count; i++) {
		if (h->recent_change_ids[i] == change)
			return h->rev - i;
	}
	return 0;
}

void cfg_edit_expire_internal(struct cfg *c, int64_t now_us)
{
	struct cfg_edit *e = c->edits;
	uint64_t rev = e ? rev_of_change(c->current->head, e->change_id) : 0;
	struct err ok = { 0 };

	/* A peer may have told of the edit while the store is away. */
	if (rev) {
		finish_edit(c, &ok, rev);
		return;
	}
	if (!e || now_us < e->deadline_us)
		return;
	if (e->last_err.code == ERR_OK)
		err_set(&e->last_err, ERR_STORE_DOWN,
			"the store was not reached");
	if (e->maybe_committed)
		err_set(&e->last_err, ERR_STORE_UNKNOWN,
			"%s may still change; read it again", e->name);
	finish_edit(c, &e->last_err, 0);
}

void cfg_edit_failed_internal(struct cfg *c, int64_t now_us, enum err_code code)
{
	if (!c->edits)
		return;
	err_set(&c->edits->last_err, code, "%s", err_text(code));
	cfg_edit_expire_internal(c, now_us);
}

static void write_head(struct cfg *c)
{
	c->activity = CFG_EDIT_HEAD;
	c->ops.write_head(c->ops.ctx, c->pending->head, c->version);
}

/* Set that the edit makes of the one in effect. */
static struct cfg_revision *edited_set(const struct cfg *c,
				       const struct cfg_edit *e)
{
	struct cfg_head *head = cfg_head_copy(c->current->head);
	struct cfg_head_entry entry = { .rev = head->rev + 1,
					.change_id = e->change_id,
					.deleted = !e->json };
	struct cfg_item *item =
		cfg_item_new(e->name, entry.rev, e->change_id, e->who, e->json);
	struct cfg_revision *s;
	uint32_t i;

	util_copy_str(entry.name, sizeof(entry.name), e->name);
	cfg_head_put(head, &entry);
	cfg_head_advance(head, e->change_id);
	s = cfg_revision_new(head);
	for (i = 0; i < c->current->head->entry_count; i++)
		cfg_revision_put(s, c->current->items[i]);
	cfg_revision_put(s, item);
	cfg_item_unref(item);
	return s;
}

/* 1 when the first edit was settled by what the head in effect says. */
static int settle_edit(struct cfg *c)
{
	struct cfg_edit *e = c->edits;
	const struct cfg_head *h = c->current->head;
	const struct cfg_head_entry *entry = cfg_head_find(h, e->name);
	uint64_t rev = rev_of_change(h, e->change_id);
	struct err err = { 0 };

	if (rev) {
		finish_edit(c, &err, rev);
		return 1;
	}
	if (entry_rev(entry) != e->base_rev ||
	    entry_change(entry) != e->base_change_id)
		race(c->current, e->name, &err);
	else if (!e->json && !entry_rev(entry))
		err_set(&err, ERR_NOT_FOUND, "%s does not exist", e->name);
	else
		return 0;
	finish_edit(c, &err, 0);
	return 1;
}

void cfg_edit_step_internal(struct cfg *c, int64_t now_us)
{
	struct cfg_edit *e = c->edits;

	if (settle_edit(c)) {
		cfg_next_internal(c, now_us);
		return;
	}
	cfg_revision_unref(c->pending);
	c->pending = edited_set(c, e);
	if (!e->json) {
		write_head(c);
		return;
	}
	c->activity = CFG_EDIT_ITEM;
	c->ops.write_item(c->ops.ctx, cfg_revision_find(c->pending, e->name));
}

/* Next item that the store's head lacks, or NULL. */
static struct cfg_item *next_repair(struct cfg *c)
{
	const struct cfg_head *h = c->pending->head;

	while (c->next_entry < h->entry_count) {
		uint32_t at = c->next_entry++;
		const struct cfg_head_entry *e = &h->entries[at];
		const struct cfg_head_entry *old =
			cfg_head_find(c->store_head, e->name);

		if (!e->deleted &&
		    (!old || old->deleted || old->rev != e->rev ||
		     old->change_id != e->change_id))
			return c->pending->items[at];
	}
	return NULL;
}

static void repair_step(struct cfg *c)
{
	struct cfg_item *item = next_repair(c);

	if (item) {
		c->activity = CFG_REPAIR_ITEM;
		c->ops.write_item(c->ops.ctx, item);
		return;
	}
	c->activity = CFG_REPAIR_HEAD;
	c->ops.write_head(c->ops.ctx, c->pending->head, c->version);
}

void cfg_repair_internal(struct cfg *c, int64_t now_us,
			 struct cfg_head *store_head, uint64_t version)
{
	char text[96];

	snprintf(text, sizeof(text),
		 "store has revision %" PRIu64 ", in effect is %" PRIu64,
		 store_head->rev, c->current->head->rev);
	c->ops.note(c->ops.ctx, "store_revision_older", text);
	cfg_revision_unref(c->pending);
	cfg_head_free(c->store_head);
	c->pending = cfg_revision_ref(c->current);
	c->store_head = store_head;
	c->version = version;
	c->next_entry = 0;
	repair_step(c);
}

/* An item key is written once; a conflict means that it is there already. */
static int is_written(enum err_code code)
{
	return code == ERR_OK || code == ERR_STORE_CONFLICT;
}

void cfg_on_item_written(struct cfg *c, int64_t now_us, enum err_code code)
{
	if (c->activity == CFG_REPAIR_ITEM) {
		if (is_written(code))
			repair_step(c);
		else
			cfg_retry_internal(c, now_us);
		return;
	}
	if (c->activity != CFG_EDIT_ITEM)
		return;
	if (is_written(code)) {
		write_head(c);
		return;
	}
	if (code == ERR_STORE_SIZE) {
		struct err err = { 0 };

		err_set(&err, code, "%s", c->edits->name);
		finish_edit(c, &err, 0);
		cfg_next_internal(c, now_us);
		return;
	}
	cfg_edit_failed_internal(c, now_us, code);
	cfg_retry_internal(c, now_us);
}

/* The head that names the edit was accepted. */
static void commit_edit(struct cfg *c, int64_t now_us)
{
	struct cfg_edit *e = c->edits;
	uint64_t rev = c->pending->head->rev;
	struct err ok = { 0 };
	struct cfg_head_entry old = { 0 };
	const struct cfg_head_entry *entry =
		cfg_head_find(c->current->head, e->name);
	struct cfg_revision *s = c->pending;

	if (entry && entry->rev < rev)
		old = *entry;
	c->pending = NULL;
	cfg_adopt_internal(c, s);
	if (old.rev && !old.deleted)
		c->ops.delete_item(c->ops.ctx, &old);
	finish_edit(c, &ok, rev);
	cfg_next_internal(c, now_us);
}

void cfg_on_head_written(struct cfg *c, int64_t now_us, enum err_code code)
{
	int editing = c->activity == CFG_EDIT_HEAD;

	if (!editing && c->activity != CFG_REPAIR_HEAD)
		return;
	if (editing && code == ERR_OK) {
		commit_edit(c, now_us);
		return;
	}
	if (editing && code == ERR_STORE_UNKNOWN)
		c->edits->maybe_committed = 1;
	if (editing && code == ERR_STORE_SIZE) {
		struct err err = { 0 };

		err_set(&err, code, "head with %u items",
			c->pending->head->entry_count);
		finish_edit(c, &err, 0);
		cfg_next_internal(c, now_us);
		return;
	}
	if (code != ERR_OK && editing)
		cfg_edit_failed_internal(c, now_us, code);
	/* After a lost race the newer head is there to read at once. */
	if (code == ERR_OK || (code == ERR_STORE_CONFLICT && c->retries == 0)) {
		c->retries += code != ERR_OK;
		cfg_read_head_internal(c);
	} else {
		cfg_retry_internal(c, now_us);
	}
}

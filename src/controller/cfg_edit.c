/* Edits, and the repair of a store that was restored; see cfg.h. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "controller/cfg_internal.h"

/* Edits of one host that wait or are in progress. */
#define EDITS_MAX 64
/* An edit that has not been committed after this time is reported as failed. */
#define EDIT_US (5 * (int64_t)US_PER_S)

static void edit_free(struct cfg_edit *edit)
{
	free(edit->json);
	free(edit);
}

/* Ends the first edit with its result; the callback may submit another one. */
static void finish_edit(struct cfg *c, const struct err *err, uint64_t rev)
{
	struct cfg_edit *edit = c->edits;

	c->edits = edit->next;
	c->edit_count--;
	edit->done(edit->ctx, err, rev);
	edit_free(edit);
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

/*
 * Revision of the item; 0 for one that does not exist, whether or not the head
 * still has an entry for its deletion.
 */
static uint64_t entry_rev(const struct cfg_head_entry *entry)
{
	return entry && !entry->is_deleted ? entry->rev : 0;
}

static uint64_t entry_change_id(const struct cfg_head_entry *entry)
{
	return entry && !entry->is_deleted ? entry->change_id : 0;
}

/* ERR_CFG_RACE with the change of item @name that was accepted first. */
static enum err_code set_race_error(const struct cfg_revision *r,
				    const char *name, struct err *err)
{
	const struct cfg_item *item = cfg_revision_find(r, name);

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
	struct cfg_edit *edit;

	if (code != ERR_OK)
		return code;
	if (!c->loaded || !c->edits_allowed)
		return err_set(err, ERR_NO_CONFIG,
			       "this host has not compared its configuration "
			       "with the store and a peer yet");
	if (if_rev && entry_rev(entry) != if_rev)
		return set_race_error(c->current, name, err);
	if (c->edit_count == EDITS_MAX)
		return err_set(err, ERR_OVERLOADED,
			       "%u edits wait, accepted up to %u", EDITS_MAX,
			       EDITS_MAX);
	edit = util_alloc(1, sizeof(*edit));
	util_copy_str(edit->name, sizeof(edit->name), name);
	util_copy_str(edit->who, sizeof(edit->who), who);
	edit->json = json ? util_strdup(json) : NULL;
	edit->base_rev = entry_rev(entry);
	edit->base_change_id = entry_change_id(entry);
	edit->change_id = rng_u64(&c->rng);
	edit->deadline_us = now_us + EDIT_US;
	edit->done = done;
	edit->ctx = ctx;
	while (*tail)
		tail = &(*tail)->next;
	*tail = edit;
	c->edit_count++;
	if (c->activity == CFG_IDLE)
		cfg_next_internal(c, now_us);
	return ERR_OK;
}

/* Revision that @change made, or 0 when the head does not name the change. */
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
	struct cfg_edit *edit = c->edits;
	uint64_t rev = edit ? rev_of_change(c->current->head, edit->change_id)
			    : 0;
	struct err ok = { 0 };

	/*
	 * The change may have come back from a peer while the store is out of
	 * reach: the edit was committed.
	 */
	if (rev) {
		finish_edit(c, &ok, rev);
		return;
	}
	if (!edit || now_us < edit->deadline_us)
		return;
	if (edit->last_err.code == ERR_OK)
		err_set(&edit->last_err, ERR_STORE_DOWN,
			"the store did not commit the edit in time");
	if (edit->maybe_committed)
		err_set(&edit->last_err, ERR_STORE_UNKNOWN,
			"%s may still change; read it again", edit->name);
	finish_edit(c, &edit->last_err, 0);
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

/* Returns a copy of the adopted revision with the edit applied. */
static struct cfg_revision *make_edited_revision(const struct cfg *c,
						 const struct cfg_edit *edit)
{
	struct cfg_head *head = cfg_head_copy(c->current->head);
	struct cfg_head_entry entry = { .rev = head->rev + 1,
					.change_id = edit->change_id,
					.is_deleted = !edit->json };
	struct cfg_item *item = cfg_item_new(
		edit->name, entry.rev, edit->change_id, edit->who, edit->json);
	struct cfg_revision *r;
	uint32_t i;

	util_copy_str(entry.name, sizeof(entry.name), edit->name);
	cfg_head_put(head, &entry);
	cfg_head_advance(head, edit->change_id);
	r = cfg_revision_new(head);
	for (i = 0; i < c->current->head->entry_count; i++)
		cfg_revision_put(r, c->current->items[i]);
	cfg_revision_put(r, item);
	cfg_item_unref(item);
	return r;
}

/*
 * Ends the first edit and returns 1 if the head in effect shows that it
 * succeeded or cannot succeed; else returns 0.
 */
static int settle_first_edit(struct cfg *c)
{
	struct cfg_edit *edit = c->edits;
	const struct cfg_head *h = c->current->head;
	const struct cfg_head_entry *entry = cfg_head_find(h, edit->name);
	uint64_t rev = rev_of_change(h, edit->change_id);
	struct err err = { 0 };

	if (rev) {
		finish_edit(c, &err, rev);
		return 1;
	}
	if (entry_rev(entry) != edit->base_rev ||
	    entry_change_id(entry) != edit->base_change_id)
		set_race_error(c->current, edit->name, &err);
	else if (!edit->json && !entry_rev(entry))
		err_set(&err, ERR_NOT_FOUND, "%s does not exist", edit->name);
	else
		return 0;
	finish_edit(c, &err, 0);
	return 1;
}

void cfg_edit_step_internal(struct cfg *c, int64_t now_us)
{
	struct cfg_edit *edit = c->edits;

	if (settle_first_edit(c)) {
		cfg_next_internal(c, now_us);
		return;
	}
	cfg_revision_unref(c->pending);
	c->pending = make_edited_revision(c, edit);
	if (!edit->json) {
		write_head(c);
		return;
	}
	c->activity = CFG_EDIT_ITEM;
	c->ops.write_item(c->ops.ctx,
			  cfg_revision_find(c->pending, edit->name));
}

/* Next item of the pending revision that the store's head lacks, or NULL. */
static struct cfg_item *next_missing_item(struct cfg *c)
{
	const struct cfg_head *h = c->pending->head;

	while (c->next_entry < h->entry_count) {
		uint32_t pos = c->next_entry++;
		const struct cfg_head_entry *entry = &h->entries[pos];
		const struct cfg_head_entry *old_entry =
			cfg_head_find(c->store_head, entry->name);

		if (!entry->is_deleted &&
		    (!old_entry || old_entry->is_deleted ||
		     old_entry->rev != entry->rev ||
		     old_entry->change_id != entry->change_id))
			return c->pending->items[pos];
	}
	return NULL;
}

/* Writes the next item that the store lacks, or the head after the last one. */
static void write_next_repair(struct cfg *c)
{
	struct cfg_item *item = next_missing_item(c);

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
	write_next_repair(c);
}

/* A key of an item is written only once: a conflict means that it is there. */
static int is_stored(enum err_code code)
{
	return code == ERR_OK || code == ERR_STORE_CONFLICT;
}

void cfg_on_item_written(struct cfg *c, int64_t now_us, enum err_code code)
{
	if (c->activity == CFG_REPAIR_ITEM) {
		if (is_stored(code))
			write_next_repair(c);
		else
			cfg_retry_internal(c, now_us);
		return;
	}
	if (c->activity != CFG_EDIT_ITEM)
		return;
	if (is_stored(code)) {
		write_head(c);
		return;
	}
	if (code == ERR_STORE_SIZE) {
		struct err err = { 0 };

		err_set(&err, code, "%s exceeds 1 MB", c->edits->name);
		finish_edit(c, &err, 0);
		cfg_next_internal(c, now_us);
		return;
	}
	cfg_edit_failed_internal(c, now_us, code);
	cfg_retry_internal(c, now_us);
}

/* The store accepted the head that contains the first edit. */
static void commit_edit(struct cfg *c, int64_t now_us)
{
	struct cfg_edit *edit = c->edits;
	uint64_t rev = c->pending->head->rev;
	struct err ok = { 0 };
	struct cfg_head_entry old_entry = { 0 };
	const struct cfg_head_entry *entry =
		cfg_head_find(c->current->head, edit->name);
	struct cfg_revision *r = c->pending;

	if (entry && entry->rev < rev)
		old_entry = *entry;
	c->pending = NULL;
	cfg_adopt_internal(c, r);
	if (old_entry.rev && !old_entry.is_deleted)
		c->ops.delete_item(c->ops.ctx, &old_entry);
	finish_edit(c, &ok, rev);
	cfg_next_internal(c, now_us);
}

void cfg_on_head_written(struct cfg *c, int64_t now_us, enum err_code code)
{
	int is_edit = c->activity == CFG_EDIT_HEAD;

	if (!is_edit && c->activity != CFG_REPAIR_HEAD)
		return;
	if (is_edit && code == ERR_OK) {
		commit_edit(c, now_us);
		return;
	}
	if (is_edit && code == ERR_STORE_UNKNOWN)
		c->edits->maybe_committed = 1;
	if (is_edit && code == ERR_STORE_SIZE) {
		struct err err = { 0 };

		err_set(&err, code,
			"list of the %u configuration items exceeds 1 MB",
			c->pending->head->entry_count);
		finish_edit(c, &err, 0);
		cfg_next_internal(c, now_us);
		return;
	}
	if (code != ERR_OK && is_edit)
		cfg_edit_failed_internal(c, now_us, code);
	/* After the first conflict the newer head can be read at once. */
	if (code == ERR_OK || (code == ERR_STORE_CONFLICT && c->retries == 0)) {
		c->retries += code != ERR_OK;
		cfg_read_head_internal(c);
	} else {
		cfg_retry_internal(c, now_us);
	}
}

/* The simulated store and the calls of the hosts to it; see cfg_sim.h. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cfg_sim.h"

/* Delay of a message to or from the store: the minimum and the random part. */
#define STORE_DELAY_MIN_US 500
#define STORE_DELAY_SPREAD_US 2000
#define CALL_TIMEOUT_US (1000 * US_PER_MS)
/* Longest time until a write that was reported as unknown takes effect. */
#define LATE_WRITE_US (3 * (int64_t)US_PER_S)

static void free_ref(gpointer item)
{
	cfg_item_unref(item);
}

void cfg_sim_store_init(struct cfg_sim_store *s)
{
	memset(s, 0, sizeof(*s));
	s->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_ref);
}

void cfg_sim_store_clear(struct cfg_sim_store *s)
{
	cfg_head_free(s->head);
	g_hash_table_destroy(s->items);
}

void cfg_sim_store_copy(struct cfg_sim_store *to,
			const struct cfg_sim_store *from)
{
	GHashTableIter it;
	gpointer key;
	gpointer item;

	cfg_sim_store_clear(to);
	cfg_sim_store_init(to);
	to->revision = from->revision;
	to->head_version = from->head_version;
	to->head = from->head ? cfg_head_copy(from->head) : NULL;
	g_hash_table_iter_init(&it, from->items);
	while (g_hash_table_iter_next(&it, &key, &item))
		g_hash_table_insert(to->items, g_strdup(key),
				    cfg_item_ref(item));
}

static char *item_key(const char *name, uint64_t rev, uint64_t change)
{
	return g_strdup_printf("%s/%" PRIu64 "-%" PRIx64, name, rev, change);
}

enum call_kind { READ_HEAD, READ_ITEM, WRITE_ITEM, WRITE_HEAD, DELETE_ITEM };

static const char *const kind_names[] = { "read_head", "read_item",
					  "write_item", "write_head",
					  "delete_item" };

/* Call of a host to the store, on its way there or back. */
struct call {
	struct cfg_sim_host *host;
	/*
	 * The host's restarts at the time of the call: a restarted process does
	 * not get the answers to calls of the process before it.
	 */
	uint32_t restarts;
	enum call_kind kind;
	struct cfg_head_entry entry;
	struct cfg_item *item;
	struct cfg_head *head;
	uint64_t version;
	enum err_code code;
	/* Unused. */
	uint32_t answered;
};

static void call_free(void *ctx)
{
	struct call *c = ctx;

	cfg_item_unref(c->item);
	cfg_head_free(c->head);
	free(c);
}

static int64_t store_delay_us(struct cfg_sim *s)
{
	return STORE_DELAY_MIN_US + rng_below(&s->rng, STORE_DELAY_SPREAD_US);
}

static int happens(struct cfg_sim *s, uint32_t permille)
{
	return permille && rng_below(&s->rng, PERMILLE) < permille;
}

static int is_write(const struct call *c)
{
	return c->kind == WRITE_ITEM || c->kind == WRITE_HEAD;
}

static void deliver(void *ctx)
{
	struct call *c = ctx;
	struct cfg_sim *s = c->host->sim;
	struct cfg *cfg = c->host->cfg;
	struct cfg_head *head = c->head;

	if (c->restarts != c->host->restarts)
		return;
	if (c->code != ERR_OK)
		cfg_sim_trace(s, "h%u %s %s", c->host->number,
			      kind_names[c->kind], err_name(c->code));
	switch (c->kind) {
	case READ_HEAD:
		c->head = NULL;
		cfg_on_head(cfg, s->now_us, c->code, head, c->version);
		break;
	case READ_ITEM:
		cfg_on_item(cfg, s->now_us, c->entry.name, c->code, c->item);
		break;
	case WRITE_ITEM:
		cfg_on_item_written(cfg, s->now_us, c->code);
		break;
	case WRITE_HEAD:
		cfg_on_head_written(cfg, s->now_us, c->code);
		break;
	case DELETE_ITEM:
		break;
	}
}

static void answer(struct call *c, enum err_code code, int64_t delay_us)
{
	c->code = code;
	cfg_sim_after(c->host->sim, c->host, delay_us, deliver, c, call_free);
}

static struct call *copy_call(const struct call *c)
{
	struct call *copy = util_alloc(1, sizeof(*copy));

	*copy = *c;
	copy->item = c->item ? cfg_item_ref(c->item) : NULL;
	copy->head = c->head ? cfg_head_copy(c->head) : NULL;
	return copy;
}

static enum err_code read_head(struct call *c, const struct cfg_sim_store *from)
{
	if (!from->head)
		return ERR_STORE_NOT_FOUND;
	c->head = cfg_head_copy(from->head);
	c->version = from->head_version;
	return ERR_OK;
}

static enum err_code read_item(struct call *c, const struct cfg_sim_store *from)
{
	g_autofree char *key =
		item_key(c->entry.name, c->entry.rev, c->entry.change_id);
	struct cfg_item *item = g_hash_table_lookup(from->items, key);

	if (!item)
		return ERR_STORE_NOT_FOUND;
	c->item = cfg_item_ref(item);
	return ERR_OK;
}

static enum err_code write_item(struct call *c, struct cfg_sim_store *to)
{
	char *key;

	g_assert_nonnull(c->item);
	key = item_key(c->item->name, c->item->rev, c->item->change_id);
	if (g_hash_table_contains(to->items, key)) {
		g_free(key);
		return ERR_STORE_CONFLICT;
	}
	to->revision++;
	g_hash_table_insert(to->items, key, cfg_item_ref(c->item));
	return ERR_OK;
}

/* Number N from the submitter "edit N" of @item, or 0. */
static uint32_t edit_number(const struct cfg_item *item)
{
	uint32_t n = 0;

	if (item && sscanf(item->who, "edit %u", &n) == 1)
		return n;
	return 0;
}

static void note_commit(struct cfg_sim *s, const struct cfg_head *h)
{
	uint64_t change = cfg_head_change_id(h);
	gpointer rev = GUINT_TO_POINTER((guint)h->rev);
	gpointer before = g_hash_table_lookup(s->commits, &change);
	uint32_t i;

	if (before && before != rev && !s->restored)
		cfg_sim_fail(s, "change committed at revision %u and %" PRIu64,
			     GPOINTER_TO_UINT(before), h->rev);
	if (!before)
		g_hash_table_insert(s->commits,
				    g_memdup2(&change, sizeof(change)), rev);
	for (i = 0; i < h->entry_count; i++) {
		const struct cfg_head_entry *entry = &h->entries[i];
		g_autofree char *key =
			item_key(entry->name, entry->rev, entry->change_id);
		struct cfg_item *item =
			g_hash_table_lookup(s->store.items, key);

		/*
		 * A head that is written after the store was restored may find
		 * the version that it expects although its items are gone.
		 * No host adopts it, and newer heads are written back.
		 */
		if (!entry->is_deleted && !item && !s->restored)
			cfg_sim_fail(s, "head %" PRIu64 " names %s, not stored",
				     h->rev, key);
		if (edit_number(item))
			g_hash_table_insert(
				s->edit_commits,
				GUINT_TO_POINTER(edit_number(item)),
				GUINT_TO_POINTER((guint)entry->rev));
	}
}

/* Watch notification on its way to a host. */
struct notice {
	struct cfg_sim_host *host;
	struct cfg_head *head;
	uint64_t version;
};

static void notice_free(void *ctx)
{
	struct notice *n = ctx;

	cfg_head_free(n->head);
	free(n);
}

static void notify(void *ctx)
{
	struct notice *n = ctx;
	struct cfg_head *head = n->head;

	n->head = NULL;
	cfg_on_watch(n->host->cfg, n->host->sim->now_us, head, n->version);
}

static void notify_watchers(struct cfg_sim *s)
{
	uint32_t i;

	for (i = 0; i < CFG_SIM_WATCHERS && i < s->host_count; i++) {
		struct cfg_sim_host *h = &s->hosts[i];
		struct notice *n;

		if (h->cut_off || happens(s, s->faults.lost_watch))
			continue;
		n = util_alloc(1, sizeof(*n));
		n->host = h;
		n->head = cfg_head_copy(s->store.head);
		n->version = s->store.head_version;
		cfg_sim_after(s, h, store_delay_us(s), notify, n, notice_free);
	}
}

void cfg_sim_inject(struct cfg_sim *s, const char *name, const char *json,
		    uint64_t change, uint32_t lose)
{
	struct cfg_sim_store *to = &s->store;
	struct cfg_head *h = to->head ? cfg_head_copy(to->head)
				      : cfg_head_new();
	struct cfg_head_entry entry = { .rev = h->rev + 1,
					.change_id = change };

	util_copy_str(entry.name, sizeof(entry.name), name);
	cfg_head_put(h, &entry);
	cfg_head_advance(h, change);
	if (!lose)
		g_hash_table_insert(
			to->items, item_key(name, entry.rev, change),
			cfg_item_new(name, entry.rev, change, "other", json));
	cfg_head_free(to->head);
	to->head = h;
	to->head_version = ++to->revision;
	notify_watchers(s);
}

static enum err_code write_head(struct call *c, struct cfg_sim_store *to)
{
	struct cfg_sim *s = c->host->sim;
	uint64_t version = to->head ? to->head_version : 0;

	if (version != c->version)
		return ERR_STORE_CONFLICT;
	g_assert_nonnull(c->head);
	cfg_head_free(to->head);
	to->head = cfg_head_copy(c->head);
	to->head_version = ++to->revision;
	cfg_sim_trace(s, "store head %" PRIu64 " by h%u", c->head->rev,
		      c->host->number);
	note_commit(s, c->head);
	notify_watchers(s);
	return ERR_OK;
}

static enum err_code execute(struct call *c)
{
	struct cfg_sim *s = c->host->sim;
	const struct cfg_sim_store *from = &s->store;

	if (happens(s, s->faults.stale_read))
		from = &s->saved;
	switch (c->kind) {
	case READ_HEAD:
		return read_head(c, from);
	case READ_ITEM:
		return read_item(c, from);
	case WRITE_ITEM:
		return write_item(c, &s->store);
	case WRITE_HEAD:
		return write_head(c, &s->store);
	case DELETE_ITEM:
		break;
	}
	return ERR_OK;
}

static void delete_item(const struct call *c)
{
	g_autofree char *key =
		item_key(c->entry.name, c->entry.rev, c->entry.change_id);

	g_hash_table_remove(c->host->sim->store.items, key);
}

static int answer_is_lost(struct cfg_sim *s, const struct call *c)
{
	uint32_t *next = c->kind == WRITE_ITEM ? &s->faults.lose_items
					       : &s->faults.lose_heads;

	if (!is_write(c))
		return 0;
	if (*next) {
		--*next;
		return 1;
	}
	return happens(s, s->faults.lost_answer);
}

static void execute_late(void *ctx)
{
	struct call *c = ctx;
	struct cfg_sim *s = c->host->sim;

	if (!s->faults.down)
		execute(c);
}

static void arrive(void *ctx)
{
	struct call *c = copy_call(ctx);
	struct cfg_sim *s = c->host->sim;

	if (s->faults.down) {
		answer(c, ERR_STORE_DOWN, store_delay_us(s));
		return;
	}
	if (c->kind == DELETE_ITEM) {
		delete_item(c);
		call_free(c);
		return;
	}
	if (is_write(c) && happens(s, s->faults.late_write)) {
		cfg_sim_after(s, NULL, rng_below(&s->rng, LATE_WRITE_US),
			      execute_late, copy_call(c), call_free);
		answer(c, ERR_STORE_UNKNOWN, CALL_TIMEOUT_US);
		return;
	}
	c->code = execute(c);
	if (answer_is_lost(s, c))
		answer(c, ERR_STORE_UNKNOWN, CALL_TIMEOUT_US);
	else
		answer(c, c->code, store_delay_us(s));
}

static void submit(struct cfg_sim_host *h, struct call *c)
{
	struct cfg_sim *s = h->sim;

	c->host = h;
	c->restarts = h->restarts;
	if (h->cut_off)
		answer(c, ERR_STORE_DOWN, store_delay_us(s));
	else if (happens(s, s->faults.lost_call))
		answer(c, is_write(c) ? ERR_STORE_UNKNOWN : ERR_STORE_DOWN,
		       CALL_TIMEOUT_US);
	else
		cfg_sim_after(s, NULL, store_delay_us(s), arrive, c, call_free);
}

static struct call *new_call(enum call_kind kind)
{
	struct call *c = util_alloc(1, sizeof(*c));

	c->kind = kind;
	return c;
}

static void on_read_head(void *ctx)
{
	submit(ctx, new_call(READ_HEAD));
}

static void on_read_item(void *ctx, const struct cfg_head_entry *entry)
{
	struct call *c = new_call(READ_ITEM);

	c->entry = *entry;
	submit(ctx, c);
}

static void on_write_item(void *ctx, const struct cfg_item *item)
{
	struct call *c = new_call(WRITE_ITEM);

	c->item = cfg_item_new(item->name, item->rev, item->change_id,
			       item->who, item->json);
	submit(ctx, c);
}

static void on_write_head(void *ctx, const struct cfg_head *h,
			  uint64_t if_version)
{
	struct call *c = new_call(WRITE_HEAD);

	c->head = cfg_head_copy(h);
	c->version = if_version;
	submit(ctx, c);
}

static void on_delete_item(void *ctx, const struct cfg_head_entry *entry)
{
	struct call *c = new_call(DELETE_ITEM);

	c->entry = *entry;
	submit(ctx, c);
}

void cfg_sim_store_ops(struct cfg_ops *ops)
{
	ops->read_head = on_read_head;
	ops->read_item = on_read_item;
	ops->write_item = on_write_item;
	ops->write_head = on_write_head;
	ops->delete_item = on_delete_item;
}

/* Reads and watches (long polls) of the store stand-in. */
#include <inttypes.h>
#include <string.h>

#include "store.h"

struct changes {
	struct buf *out;
	uint32_t count;
};

/* Appends the JSON of @pair: an item, or for a deleted key the event. */
static void add_item(struct buf *out, const char *key,
		     const struct kvs_pair *pair)
{
	gchar *text;

	if (!pair->value) {
		buf_addf(out,
			 "{\"key\":\"%s\",\"rev\":%" PRIu64 ",\"deleted\":"
			 "true}",
			 key, pair->version);
		return;
	}
	text = g_base64_encode((const guchar *)pair->value,
			       strlen(pair->value));
	buf_addf(out,
		 "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%" PRIu64
		 ",\"created\":%" PRIu64 ",\"lease\":%" PRIu64 "}",
		 key, text, pair->version, pair->version, pair->lease);
	g_free(text);
}

static void add_change(void *ctx, const char *key, const struct kvs_pair *pair)
{
	struct changes *ch = ctx;

	if (ch->count++)
		buf_addf(ch->out, ",");
	add_item(ch->out, key, pair);
}

/* Writes the answer of a watch; returns the number of changes in it. */
static uint32_t write_changes(struct store_call *c)
{
	const struct kvs *state = store_read_state(c->store);
	struct changes ch = { &c->body, 0 };

	buf_free(&c->body);
	c->status = 200;
	buf_addf(&c->body, "{\"events\":[");
	kvs_changed(state, c->key, c->after, add_change, &ch);
	buf_addf(&c->body, "],\"atRev\":%" PRIu64 "}", state->revision);
	return ch.count;
}

/* One page of a range; @more: 1 if items are left after it. */
struct page {
	struct store_call *call;
	uint32_t count;
	int more;
};

static void add_to_page(void *ctx, const char *key, const struct kvs_pair *pair)
{
	struct page *p = ctx;

	if (!pair->value || strcmp(key, p->call->page_after) <= 0)
		return;
	if (p->count == STORE_PAGE_ITEMS) {
		p->more = 1;
		return;
	}
	if (p->count++)
		buf_addf(&p->call->body, ",");
	add_item(&p->call->body, key, pair);
}

void store_get(struct store_call *c)
{
	const struct kvs *state = store_read_state(c->store);
	const struct kvs_pair *pair = kvs_get(state, c->key);

	if (!pair || !pair->value) {
		c->status = 404;
		buf_addf(&c->body, "{\"error\":\"no_such_key\"}");
		return;
	}
	c->status = 200;
	add_item(&c->body, c->key, pair);
}

void store_range(struct store_call *c)
{
	const struct kvs *state = store_read_state(c->store);
	struct page p = { c, 0, 0 };

	c->status = 200;
	buf_addf(&c->body, "{\"items\":[");
	kvs_changed(state, c->key, 0, add_to_page, &p);
	buf_addf(&c->body, "],\"hasMore\":%s,\"atRev\":%" PRIu64 "}",
		 p.more ? "true" : "false", state->revision);
}

static void stop_watching(struct store_call *c)
{
	if (c->is_watching)
		c->store->watches--;
	c->is_watching = 0;
}

static void watch_due(void *ctx, int64_t now_us)
{
	struct store_call *c = ctx;

	stop_watching(c);
	write_changes(c);
	store_finish(c, now_us);
}

void store_watch(struct store_call *c, int64_t now_us)
{
	struct store *s = c->store;

	if (c->after > store_read_state(s)->revision) {
		c->status = 410;
		buf_addf(&c->body, "{\"error\":\"no_such_revision\"}");
		store_finish(c, now_us);
		return;
	}
	if (write_changes(c) > 0 || c->timeout_ms == 0) {
		store_finish(c, now_us);
		return;
	}
	c->is_watching = 1;
	s->watches++;
	if (s->watches > s->counters.watches_peak)
		s->counters.watches_peak = s->watches;
	timer_queue_arm(http_timers(s->http), &c->timer,
			now_us + (int64_t)c->timeout_ms * US_PER_MS, watch_due,
			c);
}

static void count_change(void *ctx, const char *key,
			 const struct kvs_pair *pair)
{
	(*(uint32_t *)ctx)++;
}

/* Returns a waiting watch for which there is a change, or NULL. */
static struct store_call *ready_watch(struct store *s)
{
	struct store_call *c;

	for (c = s->calls; c; c = c->next) {
		uint32_t count = 0;

		if (!c->is_watching)
			continue;
		kvs_changed(store_read_state(s), c->key, c->after, count_change,
			    &count);
		if (count)
			return c;
	}
	return NULL;
}

void store_wake_watches(struct store *s, int64_t now_us)
{
	struct store_call *c;

	/* Answering a watch may change the list, so each search starts anew. */
	while (s->watches && (c = ready_watch(s)) != NULL) {
		stop_watching(c);
		write_changes(c);
		store_finish(c, now_us);
	}
}

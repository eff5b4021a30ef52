/* Long polls of the store stand-in. */
#include <inttypes.h>
#include <string.h>

#include "store.h"

struct changes {
	struct buf *out;
	uint32_t count;
};

static void add_change(void *ctx, const char *key, const struct kvs_pair *pair)
{
	struct changes *ch = ctx;

	buf_addf(ch->out,
		 "%s{\"key\":\"%s\",\"version\":%" PRIu64 ",\"value\":",
		 ch->count++ ? "," : "", key, pair->version);
	if (pair->value) {
		json_t *value = json_string(pair->value);
		char *text = json_dumps(value, JSON_ENCODE_ANY);

		buf_add(ch->out, text, strlen(text));
		free(text);
		json_decref(value);
	} else {
		buf_addf(ch->out, "null");
	}
	buf_addf(ch->out, "}");
}

/* Writes the answer; returns the number of changed pairs in it. */
static uint32_t write_changes(struct store_call *c)
{
	const struct kvs *state = store_read_state(c->store);
	struct changes ch = { &c->body, 0 };

	buf_free(&c->body);
	c->status = 200;
	buf_addf(&c->body, "{\"version\":%" PRIu64 ",\"pairs\":[",
		 state->revision);
	kvs_changed(state, c->key, c->after, add_change, &ch);
	buf_addf(&c->body, "]}");
	return ch.count;
}

static void stop_watching(struct store_call *c)
{
	if (c->watching)
		c->store->watches--;
	c->watching = 0;
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

	if (write_changes(c) > 0 || c->timeout_ms == 0) {
		store_finish(c, now_us);
		return;
	}
	c->watching = 1;
	s->watches++;
	if (s->watches > s->counters.watches_peak)
		s->counters.watches_peak = s->watches;
	tmr_arm(http_timers(s->http), &c->timer,
		now_us + (int64_t)c->timeout_ms * US_PER_MS, watch_due, c);
}

static void count_change(void *ctx, const char *key,
			 const struct kvs_pair *pair)
{
	(*(uint32_t *)ctx)++;
}

/* A watch with something to report, or NULL. */
static struct store_call *ready_watch(struct store *s)
{
	struct store_call *c;

	for (c = s->calls; c; c = c->next) {
		uint32_t count = 0;

		if (!c->watching)
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

	/* Answering one may change the list, so each search starts anew. */
	while (s->watches && (c = ready_watch(s)) != NULL) {
		stop_watching(c);
		write_changes(c);
		store_finish(c, now_us);
	}
}

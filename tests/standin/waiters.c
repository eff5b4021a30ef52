#include "waiters.h"

#include <inttypes.h>

#include "base/clock.h"
#include "model/name.h"

#define WAIT_MS_DEFAULT 10000
#define WAIT_MS_MAX 600000

/* One long poll. */
struct waiter {
	struct waiter *next;
	struct waiters *all;
	struct http_conn *conn;
	char target[NAME_BYTES];
	char field[NAME_BYTES];
	uint64_t least;
	uint64_t most;
	struct timer_entry timer;
};

struct waiters {
	struct http *http;
	wait_read_fn *read;
	void *ctx;
	struct waiter *first;
};

static void remove_waiter(struct waiter *w)
{
	struct waiter **at = &w->all->first;

	while (*at != w)
		at = &(*at)->next;
	*at = w->next;
	timer_queue_cancel(http_timers(w->all->http), &w->timer);
	free(w);
}

static uint64_t value_of(const struct waiter *w)
{
	uint64_t value = 0;

	w->all->read(w->all->ctx, w->target, w->field, &value);
	return value;
}

static void end_wait(struct waiter *w, uint32_t status)
{
	struct http_conn *c = w->conn;
	uint64_t value = value_of(w);

	remove_waiter(w);
	http_replyf(c, status, "{\"value\":%" PRIu64 "}", value);
}

static void wait_due(void *ctx, int64_t now_us)
{
	end_wait(ctx, 504);
}

static struct waiter *first_met(struct waiters *all)
{
	struct waiter *w;

	for (w = all->first; w; w = w->next) {
		uint64_t value = value_of(w);

		if (value >= w->least && value <= w->most)
			return w;
	}
	return NULL;
}

static void check(void *ctx)
{
	struct waiter *w;

	/*
	 * Answering a waiter may change the list, so each search starts anew.
	 */
	while ((w = first_met(ctx)) != NULL)
		end_wait(w, 200);
}

struct waiters *waiters_new(struct http *h, wait_read_fn *read, void *ctx)
{
	struct waiters *all = util_alloc(1, sizeof(*all));

	all->http = h;
	all->read = read;
	all->ctx = ctx;
	http_after_round(h, check, all);
	return all;
}

void waiters_free(struct waiters *all)
{
	struct waiter *w;

	if (!all)
		return;
	http_after_round(all->http, NULL, NULL);
	w = all->first;
	while (w) {
		struct waiter *next = w->next;

		timer_queue_cancel(http_timers(all->http), &w->timer);
		free(w);
		w = next;
	}
	free(all);
}

static uint64_t query_number(const char *query, const char *name,
			     uint64_t default_value)
{
	char text[32];

	if (!http_query_value(query, name, text, sizeof(text)))
		return default_value;
	return strtoull(text, NULL, 10);
}

void waiters_serve(struct waiters *all, struct http_conn *c, const char *query)
{
	struct waiter *w = util_alloc(1, sizeof(*w));
	uint64_t timeout_ms =
		query_number(query, "timeout_ms", WAIT_MS_DEFAULT);
	uint64_t value;

	w->all = all;
	w->conn = c;
	w->least = query_number(query, "least", 0);
	w->most = query_number(query, "most", UINT64_MAX);
	http_query_value(query, "target", w->target, sizeof(w->target));
	http_query_value(query, "field", w->field, sizeof(w->field));
	if (!all->read(all->ctx, w->target, w->field, &value) ||
	    timeout_ms > WAIT_MS_MAX) {
		free(w);
		http_replyf(c, 400, "{\"error\":\"bad_field\"}");
		return;
	}
	w->next = all->first;
	all->first = w;
	timer_queue_arm(http_timers(all->http), &w->timer,
			clock_now_us() + (int64_t)timeout_ms * US_PER_MS,
			wait_due, w);
}

void waiters_gone(struct waiters *all, struct http_conn *c)
{
	struct waiter *w;

	for (w = all->first; w; w = w->next) {
		if (w->conn == c) {
			remove_waiter(w);
			return;
		}
	}
}

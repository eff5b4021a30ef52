#include "cfg_sim.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define TICK_US (100 * US_PER_MS)
#define HEARTBEAT_US (1 * (int64_t)US_PER_S)
/* Delay of the heartbeats that follow an adopted revision. */
#define ADOPTED_HEARTBEAT_US (200 * US_PER_MS)
/* Delay of a message between hosts: the minimum and the random part. */
#define PEER_DELAY_MIN_US 500
#define PEER_DELAY_SPREAD_US 1000
#define PULL_TIMEOUT_US (3 * (int64_t)US_PER_S)
/*
 * Periods of a host's reads of the head: with a watch, at the end of each watch
 * without a change; without one, rarely.
 */
#define WATCH_US (4 * (int64_t)US_PER_S)
#define REFRESH_US (30 * (int64_t)US_PER_S)
/* Page size of a pull, small enough that a pull takes several pages. */
#define PAGE_BYTES 600

/* Event that is due later; see cfg_sim_after(). */
struct event {
	struct timer_entry timer;
	struct cfg_sim *sim;
	/* NULL: the event belongs to no host. */
	struct cfg_sim_host *host;
	/*
	 * The host's restarts when the event was made; the event is dropped if
	 * the host has restarted since.
	 */
	uint32_t restarts;
	cfg_sim_event_fn *fn;
	void *ctx;
	void (*ctx_free)(void *ctx);
};

static void event_free(gpointer p)
{
	struct event *e = p;

	timer_queue_cancel(e->sim->timers, &e->timer);
	if (e->ctx_free)
		e->ctx_free(e->ctx);
	free(e);
}

static void event_due(void *ctx, int64_t now_us)
{
	struct event *e = ctx;
	struct cfg_sim *s = e->sim;

	if (e->host && e->host->paused && e->host->restarts == e->restarts) {
		/*
		 * The message stays in the socket until the process continues.
		 */
		timer_queue_arm(s->timers, &e->timer, now_us + TICK_US,
				event_due, e);
		return;
	}
	s->now_us = now_us;
	if (!e->host || e->host->restarts == e->restarts)
		e->fn(e->ctx);
	g_hash_table_remove(s->events, e);
}

void cfg_sim_after(struct cfg_sim *s, struct cfg_sim_host *host,
		   int64_t delay_us, cfg_sim_event_fn *fn, void *ctx,
		   void (*ctx_free)(void *ctx))
{
	struct event *e = util_alloc(1, sizeof(*e));

	e->sim = s;
	e->host = host;
	e->restarts = host ? host->restarts : 0;
	e->fn = fn;
	e->ctx = ctx;
	e->ctx_free = ctx_free;
	g_hash_table_add(s->events, e);
	timer_queue_arm(s->timers, &e->timer, s->now_us + delay_us, event_due,
			e);
}

void cfg_sim_trace(struct cfg_sim *s, const char *fmt, ...)
{
	char text[256];
	va_list ap;

	if (!s->out)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	buf_addf(s->out, "%" PRId64 " %s\n", s->now_us / US_PER_MS, text);
}

void cfg_sim_fail(struct cfg_sim *s, const char *fmt, ...)
{
	va_list ap;

	if (s->violation[0])
		return;
	va_start(ap, fmt);
	vsnprintf(s->violation, sizeof(s->violation), fmt, ap);
	va_end(ap);
	cfg_sim_trace(s, "VIOLATION %s", s->violation);
}

static int64_t peer_delay_us(struct cfg_sim *s)
{
	return PEER_DELAY_MIN_US + rng_below(&s->rng, PEER_DELAY_SPREAD_US);
}

static int reachable(const struct cfg_sim_host *a, const struct cfg_sim_host *b)
{
	return a != b && a->group == b->group;
}

/* Heartbeat, pull request or pull answer. */
struct peer_message {
	/* For a pull answer, too, @from is the host that asked. */
	struct cfg_sim_host *from;
	struct cfg_sim_host *to;
	uint64_t rev;
	uint64_t change;
	uint64_t after_rev;
	/* pull_token of the pull that this message belongs to. */
	uint64_t token;
	/* Pull answer: the changes; NULL when the pull timed out. */
	struct cfg_delta *delta;
};

static void message_free(void *ctx)
{
	struct peer_message *m = ctx;

	cfg_delta_free(m->delta);
	free(m);
}

static struct peer_message *new_message(struct cfg_sim_host *from,
					struct cfg_sim_host *to)
{
	struct peer_message *m = util_alloc(1, sizeof(*m));

	m->from = from;
	m->to = to;
	return m;
}

static void receive_heartbeat(void *ctx)
{
	struct peer_message *m = ctx;
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "h%u", m->from->number);
	cfg_allow_edits(m->to->cfg);
	cfg_on_peer_rev(m->to->cfg, m->to->sim->now_us, name, m->rev,
			m->change);
}

static void send_heartbeats(struct cfg_sim_host *h)
{
	struct cfg_sim *s = h->sim;
	uint32_t i;

	h->heartbeat_us = s->now_us;
	for (i = 0; i < s->host_count; i++) {
		struct peer_message *m;

		if (!reachable(h, &s->hosts[i]))
			continue;
		m = new_message(h, &s->hosts[i]);
		m->rev = cfg_rev(h->cfg);
		m->change = cfg_change_id(h->cfg);
		cfg_sim_after(s, m->to, peer_delay_us(s), receive_heartbeat, m,
			      message_free);
	}
}

/* Ends a pull with its answer or its timeout, whichever comes first. */
static void pull_answer(void *ctx)
{
	struct peer_message *m = ctx;
	struct cfg_sim_host *h = m->from;

	if (m->token != h->pull_token)
		return;
	h->pull_token++;
	cfg_on_delta(h->cfg, h->sim->now_us, m->delta);
}

static void pull_arrives(void *ctx)
{
	struct peer_message *m = ctx;
	struct cfg_sim *s = m->from->sim;
	struct peer_message *reply;

	if (!reachable(m->from, m->to))
		return;
	reply = new_message(m->from, m->to);
	reply->token = m->token;
	reply->delta = cfg_revision_delta(cfg_current(m->to->cfg), m->rev,
					  m->change, m->after_rev, PAGE_BYTES);
	cfg_sim_after(s, m->from, peer_delay_us(s), pull_answer, reply,
		      message_free);
}

static void on_pull(void *ctx, const char *host, uint64_t rev, uint64_t change,
		    uint64_t after_rev)
{
	struct cfg_sim_host *h = ctx;
	struct cfg_sim *s = h->sim;
	struct cfg_sim_host *to = &s->hosts[atoi(host + 1)];
	struct peer_message *request = new_message(h, to);
	struct peer_message *timeout = new_message(h, to);

	request->rev = rev;
	request->change = change;
	request->after_rev = after_rev;
	request->token = timeout->token = ++h->pull_token;
	cfg_sim_after(s, to, peer_delay_us(s), pull_arrives, request,
		      message_free);
	cfg_sim_after(s, h, PULL_TIMEOUT_US, pull_answer, timeout,
		      message_free);
}

static enum err_code on_check(void *ctx, const char *name, const char *json,
			      struct err *err)
{
	if (json && (!json[0] || strstr(json, "bad")))
		return err_set(err, ERR_CFG_FIELD, "document is bad");
	return ERR_OK;
}

static void on_item(void *ctx, const struct cfg_item *item)
{
	struct cfg_sim_host *h = ctx;

	cfg_sim_trace(h->sim, "h%u %s is %s", h->number, item->name,
		      item->json ? item->json : "deleted");
}

static void on_refused(void *ctx, const struct cfg_item *item,
		       const struct err *err)
{
	struct cfg_sim_host *h = ctx;

	cfg_sim_trace(h->sim, "h%u refuses %s revision %" PRIu64 ": %s",
		      h->number, item->name, item->rev, err->detail);
}

static void check_recent(struct cfg_sim *s, const struct cfg_head *head)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < head->recent_count; i++) {
		for (k = i + 1; k < head->recent_count; k++) {
			if (head->recent_change_ids[i] ==
			    head->recent_change_ids[k])
				cfg_sim_fail(s,
					     "change applied twice in %" PRIu64,
					     head->rev);
		}
	}
}

static void send_adopted_heartbeats(void *ctx)
{
	send_heartbeats(ctx);
}

static void on_adopted(void *ctx, struct cfg_revision *adopted)
{
	struct cfg_sim_host *h = ctx;
	struct cfg_sim *s = h->sim;
	uint64_t rev = adopted->head->rev;
	uint64_t change = cfg_head_change_id(adopted->head);

	cfg_sim_trace(s, "h%u adopts %" PRIu64, h->number, rev);
	if (cfg_compare_revs(rev, change, h->rev, h->change) <= 0)
		cfg_sim_fail(s,
			     "h%u went from revision %" PRIu64 " to %" PRIu64,
			     h->number, h->rev, rev);
	h->rev = rev;
	h->change = change;
	check_recent(s, adopted->head);
	cfg_sim_after(s, h, ADOPTED_HEARTBEAT_US, send_adopted_heartbeats, h,
		      NULL);
}

static void on_note(void *ctx, const char *event, const char *text)
{
	struct cfg_sim_host *h = ctx;

	cfg_sim_trace(h->sim, "h%u %s: %s", h->number, event, text);
}

static void tick(void *ctx)
{
	struct cfg_sim_host *h = ctx;
	struct cfg_sim *s = h->sim;

	cfg_tick(h->cfg, s->now_us);
	if (s->now_us - h->heartbeat_us >= HEARTBEAT_US)
		send_heartbeats(h);
	cfg_sim_after(s, h, TICK_US, tick, h, NULL);
}

static void refresh(void *ctx)
{
	struct cfg_sim_host *h = ctx;
	int64_t period_us = h->number < CFG_SIM_WATCHERS ? WATCH_US
							 : REFRESH_US;

	cfg_refresh(h->cfg, h->sim->now_us);
	cfg_sim_after(h->sim, h, period_us, refresh, h, NULL);
}

static void start_host(struct cfg_sim_host *h)
{
	struct cfg_sim *s = h->sim;
	struct cfg_ops ops = {
		.pull = on_pull,
		.check = on_check,
		.item_changed = on_item,
		.item_refused = on_refused,
		.adopted = on_adopted,
		.note = on_note,
		.ctx = h,
	};

	cfg_sim_store_ops(&ops);
	h->rev = 0;
	h->change = 0;
	h->heartbeat_us = s->now_us - HEARTBEAT_US;
	h->cfg = cfg_new(&ops, rng_u64(&s->rng));
	if (s->compare)
		cfg_use_compare_internal(h->cfg, s->compare);
	cfg_sim_after(s, h, 0, tick, h, NULL);
	cfg_sim_after(s, h, 0, refresh, h, NULL);
}

void cfg_sim_init(struct cfg_sim *s, uint32_t host_count, uint64_t seed,
		  cfg_compare_fn *compare, struct buf *out)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->rng.state = seed;
	s->timers = timer_queue_new();
	s->host_count = host_count;
	s->compare = compare;
	s->out = out;
	cfg_sim_store_init(&s->store);
	cfg_sim_store_init(&s->saved);
	s->commits = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	s->acknowledged = g_hash_table_new(NULL, NULL);
	s->edit_commits = g_hash_table_new(NULL, NULL);
	s->refused = g_hash_table_new(NULL, NULL);
	s->events = g_hash_table_new_full(NULL, NULL, event_free, NULL);
	for (i = 0; i < host_count; i++) {
		s->hosts[i].sim = s;
		s->hosts[i].number = i;
		start_host(&s->hosts[i]);
	}
}

void cfg_sim_clear(struct cfg_sim *s)
{
	uint32_t i;

	for (i = 0; i < s->host_count; i++)
		cfg_free(s->hosts[i].cfg);
	g_hash_table_destroy(s->events);
	g_hash_table_destroy(s->commits);
	g_hash_table_destroy(s->acknowledged);
	g_hash_table_destroy(s->edit_commits);
	g_hash_table_destroy(s->refused);
	cfg_sim_store_clear(&s->store);
	cfg_sim_store_clear(&s->saved);
	timer_queue_free(s->timers);
}

void cfg_sim_run(struct cfg_sim *s, int64_t until_us)
{
	int64_t next_us = timer_queue_next_us(s->timers);

	while (next_us >= 0 && next_us <= until_us) {
		s->now_us = next_us;
		timer_queue_run(s->timers, next_us);
		next_us = timer_queue_next_us(s->timers);
	}
	s->now_us = until_us;
}

void cfg_sim_restart(struct cfg_sim *s, uint32_t host)
{
	struct cfg_sim_host *h = &s->hosts[host];

	cfg_free(h->cfg);
	h->restarts++;
	h->paused = 0;
	start_host(h);
}

void cfg_sim_pause(struct cfg_sim *s, uint32_t host, uint32_t paused)
{
	s->hosts[host].paused = paused;
}

void cfg_sim_save(struct cfg_sim *s)
{
	cfg_sim_store_copy(&s->saved, &s->store);
}

void cfg_sim_restore(struct cfg_sim *s)
{
	cfg_sim_store_copy(&s->store, &s->saved);
	s->restored = 1;
}

/* Edit whose result is not known yet. */
struct edit {
	struct cfg_sim *sim;
	uint32_t number;
	uint32_t host;
};

static void edit_done(void *ctx, const struct err *err, uint64_t rev)
{
	struct edit *e = ctx;

	cfg_sim_trace(e->sim, "h%u edit %u %s%s%s", e->host, e->number,
		      err_name(err->code), err->detail[0] ? ": " : "",
		      err->detail);
	if (err->code == ERR_OK)
		g_hash_table_insert(e->sim->acknowledged,
				    GUINT_TO_POINTER(e->number),
				    GUINT_TO_POINTER((guint)rev));
	else if (err->code != ERR_STORE_UNKNOWN)
		g_hash_table_add(e->sim->refused, GUINT_TO_POINTER(e->number));
	free(e);
}

uint32_t cfg_sim_edit(struct cfg_sim *s, uint32_t host, const char *name,
		      uint32_t deletes)
{
	return cfg_sim_edit_if(s, host, name, deletes, 0);
}

uint32_t cfg_sim_edit_if(struct cfg_sim *s, uint32_t host, const char *name,
			 uint32_t deletes, uint64_t if_rev)
{
	struct edit *e = util_alloc(1, sizeof(*e));
	struct err err = { 0 };
	uint32_t number = ++s->edits;
	char json[64];
	char who[64];

	snprintf(json, sizeof(json), "{\"edit\":%u}", number);
	snprintf(who, sizeof(who), "edit %u", number);
	*e = (struct edit){ s, number, host };
	if (cfg_edit(s->hosts[host].cfg, s->now_us, name, deletes ? NULL : json,
		     who, if_rev, edit_done, e, &err) != ERR_OK)
		edit_done(e, &err, 0);
	return number;
}

static void check_same_items(struct cfg_sim *s, const struct cfg *a,
			     const struct cfg *b)
{
	const struct cfg_head *h = cfg_current(a)->head;
	uint32_t i;

	for (i = 0; i < h->entry_count; i++) {
		const char *name = h->entries[i].name;
		const struct cfg_item *x = cfg_item_in_effect(a, name);
		const struct cfg_item *y = cfg_item_in_effect(b, name);

		if (!x != !y || (x && strcmp(x->json, y->json) != 0))
			cfg_sim_fail(s, "%s differs between hosts", name);
	}
}

static void check_acknowledged(struct cfg_sim *s)
{
	GHashTableIter it;
	gpointer number;
	gpointer rev;

	g_hash_table_iter_init(&it, s->acknowledged);
	while (g_hash_table_iter_next(&it, &number, &rev)) {
		gpointer stored = g_hash_table_lookup(s->edit_commits, number);

		if (stored && stored != rev)
			cfg_sim_fail(s, "edit %u reported at %u, stored at %u",
				     GPOINTER_TO_UINT(number),
				     GPOINTER_TO_UINT(rev),
				     GPOINTER_TO_UINT(stored));
		if (GPOINTER_TO_UINT(rev) > s->hosts[0].rev)
			cfg_sim_fail(s, "edit %u reported at %u got lost",
				     GPOINTER_TO_UINT(number),
				     GPOINTER_TO_UINT(rev));
	}
}

static void check_refused(struct cfg_sim *s)
{
	GHashTableIter it;
	gpointer number;

	g_hash_table_iter_init(&it, s->refused);
	while (g_hash_table_iter_next(&it, &number, NULL)) {
		gpointer rev = g_hash_table_lookup(s->edit_commits, number);

		if (rev)
			cfg_sim_fail(s,
				     "edit %u reported as refused, stored at "
				     "%u",
				     GPOINTER_TO_UINT(number),
				     GPOINTER_TO_UINT(rev));
	}
}

void cfg_sim_check_converged(struct cfg_sim *s)
{
	const struct cfg_head *stored = s->store.head;
	uint64_t rev = stored ? stored->rev : 0;
	uint64_t change = stored ? cfg_head_change_id(stored) : 0;
	uint32_t i;

	for (i = 0; i < s->host_count; i++) {
		const struct cfg_sim_host *h = &s->hosts[i];

		if (h->rev != rev || h->change != change)
			cfg_sim_fail(s,
				     "h%u is at revision %" PRIu64 ", the "
				     "store at "
				     "%" PRIu64,
				     i, h->rev, rev);
		check_same_items(s, s->hosts[0].cfg, h->cfg);
	}
	if (s->restored)
		return;
	check_acknowledged(s);
	check_refused(s);
}

#include "cfg_sim.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define TICK_US (100 * US_PER_MS)
#define HEARTBEAT_US (1 * (int64_t)US_PER_S)
#define SOON_US (200 * US_PER_MS)
#define PEER_MIN_US 500
#define PEER_SPREAD_US 1000
#define PULL_TIMEOUT_US (3 * (int64_t)US_PER_S)
/* Watchers read the head at the end of each empty watch, others rarely. */
#define WATCH_US (4 * (int64_t)US_PER_S)
#define REFRESH_US (30 * (int64_t)US_PER_S)
/* Small, so that a pull takes several pages. */
#define PAGE_BYTES 600

struct event {
	struct timer_entry sub;
	struct sim *sim;
	struct csim_host *host;
	uint32_t life;
	csim_event_fn *fn;
	void *ctx;
	void (*ctx_free)(void *ctx);
};

static void event_free(gpointer p)
{
	struct event *e = p;

	timer_queue_cancel(e->sim->timers, &e->sub);
	if (e->ctx_free)
		e->ctx_free(e->ctx);
	free(e);
}

static void event_due(void *ctx, int64_t now_us)
{
	struct event *e = ctx;
	struct sim *s = e->sim;

	if (e->host && e->host->paused && e->host->life == e->life) {
		/* Waits in the socket until the process continues. */
		timer_queue_arm(s->timers, &e->sub, now_us + TICK_US, event_due,
				e);
		return;
	}
	s->now_us = now_us;
	if (!e->host || e->host->life == e->life)
		e->fn(e->ctx);
	g_hash_table_remove(s->events, e);
}

void csim_after(struct sim *s, struct csim_host *host, int64_t delay_us,
		csim_event_fn *fn, void *ctx, void (*ctx_free)(void *ctx))
{
	struct event *e = util_alloc(1, sizeof(*e));

	e->sim = s;
	e->host = host;
	e->life = host ? host->life : 0;
	e->fn = fn;
	e->ctx = ctx;
	e->ctx_free = ctx_free;
	g_hash_table_add(s->events, e);
	timer_queue_arm(s->timers, &e->sub, s->now_us + delay_us, event_due, e);
}

void csim_trace(struct sim *s, const char *fmt, ...)
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

void csim_fail(struct sim *s, const char *fmt, ...)
{
	va_list ap;

	if (s->violation[0])
		return;
	va_start(ap, fmt);
	vsnprintf(s->violation, sizeof(s->violation), fmt, ap);
	va_end(ap);
	csim_trace(s, "VIOLATION %s", s->violation);
}

static int64_t peer_us(struct sim *s)
{
	return PEER_MIN_US + rng_below(&s->rng, PEER_SPREAD_US);
}

static int reachable(const struct csim_host *a, const struct csim_host *b)
{
	return a != b && a->group == b->group;
}

/* Message between two hosts. */
struct peer_message {
	struct csim_host *from;
	struct csim_host *to;
	uint64_t rev;
	uint64_t change;
	uint64_t after_rev;
	uint64_t token;
	struct cfg_delta *delta;
};

static void message_free(void *ctx)
{
	struct peer_message *m = ctx;

	cfg_delta_free(m->delta);
	free(m);
}

static struct peer_message *new_message(struct csim_host *from,
					struct csim_host *to)
{
	struct peer_message *m = util_alloc(1, sizeof(*m));

	m->from = from;
	m->to = to;
	return m;
}

static void hear(void *ctx)
{
	struct peer_message *m = ctx;
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "h%u", m->from->number);
	cfg_allow_edits(m->to->cfg);
	cfg_on_peer_rev(m->to->cfg, m->to->sim->now_us, name, m->rev,
			m->change);
}

static void send_heartbeats(struct csim_host *h)
{
	struct sim *s = h->sim;
	uint32_t i;

	h->heartbeat_us = s->now_us;
	for (i = 0; i < s->host_count; i++) {
		struct peer_message *m;

		if (!reachable(h, &s->hosts[i]))
			continue;
		m = new_message(h, &s->hosts[i]);
		m->rev = cfg_rev(h->cfg);
		m->change = cfg_change_id(h->cfg);
		csim_after(s, m->to, peer_us(s), hear, m, message_free);
	}
}

/* Each pull ends once: with its answer or when its time is over. */
static void pull_answer(void *ctx)
{
	struct peer_message *m = ctx;
	struct csim_host *h = m->from;

	if (m->token != h->pull_token)
		return;
	h->pull_token++;
	cfg_on_delta(h->cfg, h->sim->now_us, m->delta);
}

static void pull_arrives(void *ctx)
{
	struct peer_message *m = ctx;
	struct sim *s = m->from->sim;
	struct peer_message *reply;

	if (!reachable(m->from, m->to))
		return;
	reply = new_message(m->from, m->to);
	reply->token = m->token;
	reply->delta = cfg_revision_delta(cfg_current(m->to->cfg), m->rev,
					  m->change, m->after_rev, PAGE_BYTES);
	csim_after(s, m->from, peer_us(s), pull_answer, reply, message_free);
}

static void on_pull(void *ctx, const char *host, uint64_t rev, uint64_t change,
		    uint64_t after_rev)
{
	struct csim_host *h = ctx;
	struct sim *s = h->sim;
	struct csim_host *to = &s->hosts[atoi(host + 1)];
	struct peer_message *request = new_message(h, to);
	struct peer_message *timeout = new_message(h, to);

	request->rev = rev;
	request->change = change;
	request->after_rev = after_rev;
	request->token = timeout->token = ++h->pull_token;
	csim_after(s, to, peer_us(s), pull_arrives, request, message_free);
	csim_after(s, h, PULL_TIMEOUT_US, pull_answer, timeout, message_free);
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
	struct csim_host *h = ctx;

	csim_trace(h->sim, "h%u %s is %s", h->number, item->name,
		   item->json ? item->json : "deleted");
}

static void on_refused(void *ctx, const struct cfg_item *item,
		       const struct err *err)
{
	struct csim_host *h = ctx;

	csim_trace(h->sim, "h%u refuses %s revision %" PRIu64 ": %s", h->number,
		   item->name, item->rev, err->detail);
}

static void check_recent(struct sim *s, const struct cfg_head *head)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < head->recent_count; i++) {
		for (k = i + 1; k < head->recent_count; k++) {
			if (head->recent_change_ids[i] ==
			    head->recent_change_ids[k])
				csim_fail(s, "change applied twice in %" PRIu64,
					  head->rev);
		}
	}
}

static void soon(void *ctx)
{
	send_heartbeats(ctx);
}

static void on_adopted(void *ctx, struct cfg_revision *set)
{
	struct csim_host *h = ctx;
	struct sim *s = h->sim;
	uint64_t rev = set->head->rev;
	uint64_t change = cfg_head_change_id(set->head);

	csim_trace(s, "h%u adopts %" PRIu64, h->number, rev);
	if (cfg_compare_revs(rev, change, h->rev, h->change) <= 0)
		csim_fail(s, "h%u went from revision %" PRIu64 " to %" PRIu64,
			  h->number, h->rev, rev);
	h->rev = rev;
	h->change = change;
	check_recent(s, set->head);
	csim_after(s, h, SOON_US, soon, h, NULL);
}

static void on_note(void *ctx, const char *event, const char *text)
{
	struct csim_host *h = ctx;

	csim_trace(h->sim, "h%u %s: %s", h->number, event, text);
}

static void tick(void *ctx)
{
	struct csim_host *h = ctx;
	struct sim *s = h->sim;

	cfg_tick(h->cfg, s->now_us);
	if (s->now_us - h->heartbeat_us >= HEARTBEAT_US)
		send_heartbeats(h);
	csim_after(s, h, TICK_US, tick, h, NULL);
}

static void refresh(void *ctx)
{
	struct csim_host *h = ctx;
	int64_t period_us = h->number < CSIM_WATCHERS ? WATCH_US : REFRESH_US;

	cfg_refresh(h->cfg, h->sim->now_us);
	csim_after(h->sim, h, period_us, refresh, h, NULL);
}

static void start_host(struct csim_host *h)
{
	struct sim *s = h->sim;
	struct cfg_ops a = {
		.pull = on_pull,
		.check = on_check,
		.item_changed = on_item,
		.item_refused = on_refused,
		.adopted = on_adopted,
		.note = on_note,
		.ctx = h,
	};

	csim_store_actions(&a);
	h->rev = 0;
	h->change = 0;
	h->heartbeat_us = s->now_us - HEARTBEAT_US;
	h->cfg = cfg_new(&a, rng_u64(&s->rng));
	if (s->compare)
		cfg_use_compare_internal(h->cfg, s->compare);
	csim_after(s, h, 0, tick, h, NULL);
	csim_after(s, h, 0, refresh, h, NULL);
}

void csim_init(struct sim *s, uint32_t host_count, uint64_t seed,
	       cfg_compare_fn *compare, struct buf *out)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->rng.state = seed;
	s->timers = timer_queue_new();
	s->host_count = host_count;
	s->compare = compare;
	s->out = out;
	csim_store_init(&s->store);
	csim_store_init(&s->saved);
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

void csim_clear(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->host_count; i++)
		cfg_free(s->hosts[i].cfg);
	g_hash_table_destroy(s->events);
	g_hash_table_destroy(s->commits);
	g_hash_table_destroy(s->acknowledged);
	g_hash_table_destroy(s->edit_commits);
	g_hash_table_destroy(s->refused);
	csim_store_clear(&s->store);
	csim_store_clear(&s->saved);
	timer_queue_free(s->timers);
}

void csim_run(struct sim *s, int64_t until_us)
{
	int64_t next_us = timer_queue_next_us(s->timers);

	while (next_us >= 0 && next_us <= until_us) {
		s->now_us = next_us;
		timer_queue_run(s->timers, next_us);
		next_us = timer_queue_next_us(s->timers);
	}
	s->now_us = until_us;
}

void csim_restart(struct sim *s, uint32_t host)
{
	struct csim_host *h = &s->hosts[host];

	cfg_free(h->cfg);
	h->life++;
	h->paused = 0;
	start_host(h);
}

void csim_pause(struct sim *s, uint32_t host, uint32_t paused)
{
	s->hosts[host].paused = paused;
}

void csim_save(struct sim *s)
{
	csim_store_copy(&s->saved, &s->store);
}

void csim_restore(struct sim *s)
{
	csim_store_copy(&s->store, &s->saved);
	s->restored = 1;
}

struct edit {
	struct sim *sim;
	uint32_t number;
	uint32_t host;
};

static void edit_done(void *ctx, const struct err *err, uint64_t rev)
{
	struct edit *e = ctx;

	csim_trace(e->sim, "h%u edit %u %s%s%s", e->host, e->number,
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

uint32_t csim_edit(struct sim *s, uint32_t host, const char *name,
		   uint32_t deletes)
{
	return csim_edit_if(s, host, name, deletes, 0);
}

uint32_t csim_edit_if(struct sim *s, uint32_t host, const char *name,
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

static void check_same_items(struct sim *s, const struct cfg *a,
			     const struct cfg *b)
{
	const struct cfg_head *h = cfg_current(a)->head;
	uint32_t i;

	for (i = 0; i < h->entry_count; i++) {
		const char *name = h->entries[i].name;
		const struct cfg_item *x = cfg_item_in_effect(a, name);
		const struct cfg_item *y = cfg_item_in_effect(b, name);

		if (!x != !y || (x && strcmp(x->json, y->json) != 0))
			csim_fail(s, "%s differs between hosts", name);
	}
}

static void check_acknowledged(struct sim *s)
{
	GHashTableIter it;
	gpointer number;
	gpointer rev;

	g_hash_table_iter_init(&it, s->acknowledged);
	while (g_hash_table_iter_next(&it, &number, &rev)) {
		gpointer stored = g_hash_table_lookup(s->edit_commits, number);

		if (stored && stored != rev)
			csim_fail(s, "edit %u reported at %u, stored at %u",
				  GPOINTER_TO_UINT(number),
				  GPOINTER_TO_UINT(rev),
				  GPOINTER_TO_UINT(stored));
		if (GPOINTER_TO_UINT(rev) > s->hosts[0].rev)
			csim_fail(s, "edit %u reported at %u got lost",
				  GPOINTER_TO_UINT(number),
				  GPOINTER_TO_UINT(rev));
	}
}

static void check_refused(struct sim *s)
{
	GHashTableIter it;
	gpointer number;

	g_hash_table_iter_init(&it, s->refused);
	while (g_hash_table_iter_next(&it, &number, NULL)) {
		gpointer rev = g_hash_table_lookup(s->edit_commits, number);

		if (rev)
			csim_fail(s,
				  "edit %u reported as refused, stored at %u",
				  GPOINTER_TO_UINT(number),
				  GPOINTER_TO_UINT(rev));
	}
}

void csim_check_converged(struct sim *s)
{
	const struct cfg_head *stored = s->store.head;
	uint64_t rev = stored ? stored->rev : 0;
	uint64_t change = stored ? cfg_head_change_id(stored) : 0;
	uint32_t i;

	for (i = 0; i < s->host_count; i++) {
		const struct csim_host *h = &s->hosts[i];

		if (h->rev != rev || h->change != change)
			csim_fail(s,
				  "h%u is at revision %" PRIu64 ", the store "
				  "at "
				  "%" PRIu64,
				  i, h->rev, rev);
		check_same_items(s, s->hosts[0].cfg, h->cfg);
	}
	if (s->restored)
		return;
	check_acknowledged(s);
	check_refused(s);
}

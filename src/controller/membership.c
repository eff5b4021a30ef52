#include "controller/membership.h"

#include <string.h>
#include <xxhash.h>

#include "base/util.h"
#include "base/rng.h"
#include "decide/rendezvous.h"
#include "model/layout.h"

/* Partners on each side of this host in a larger fleet. */
#define SIDE_PARTNERS 4
/* A gap between ticks above this is a pause of this host, not of others. */
#define PAUSE_US (1 * (int64_t)US_PER_S)
/* A host that the list does not name is forgotten after this silence. */
#define FORGET_US (60 * (int64_t)US_PER_S)
/*
 * A far host is heard once in (hosts / MEMBERSHIP_RANDOM_HOSTS) s on average, which
 * is 10 minutes at the planned size; three times that.
 */
#define FAR_FORGET_US (1800 * (int64_t)US_PER_S)
#define SEEDS_MAX 16

struct member {
	struct member_info info;
	uint64_t hash;
	uint64_t sequence;
	/* Start of the silence by which the state is judged. */
	int64_t silent_since_us;
	uint32_t partner;
	uint32_t says_leaving;
	uint32_t list_leaving;
	/* Number of the last list that named it. */
	uint64_t list_number;
};

struct seed {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

struct membership {
	struct membership_ops a;
	struct rng rng;
	struct member self;
	/* The others, sorted by hash, then by name. */
	uint32_t count;
	struct member **members;
	uint32_t seed_count;
	struct seed seeds[SEEDS_MAX];
	int64_t tick_us;
	uint64_t sequence;
	uint64_t list_number;
};

struct membership *membership_new(const struct member_info *self,
				  const struct membership_ops *a, uint64_t seed,
				  int64_t now_us)
{
	struct membership *m = util_alloc(1, sizeof(*m));

	m->a = *a;
	m->rng.state = seed;
	m->self.info = *self;
	m->self.info.state = HOST_LIVE;
	m->self.hash = XXH64(self->host, strlen(self->host), 0);
	m->tick_us = now_us;
	return m;
}

void membership_free(struct membership *m)
{
	uint32_t i;

	if (!m)
		return;
	for (i = 0; i < m->count; i++)
		free(m->members[i]);
	free(m->members);
	free(m);
}

void membership_add_seed(struct membership *m, const char *address,
			 uint16_t port)
{
	struct seed *s;

	if (m->seed_count == SEEDS_MAX)
		return;
	s = &m->seeds[m->seed_count++];
	util_copy_str(s->address, sizeof(s->address), address);
	s->port = port;
}

static int order(const struct member *a, uint64_t hash, const char *host)
{
	if (a->hash != hash)
		return a->hash < hash ? -1 : 1;
	return strcmp(a->info.host, host);
}

static uint32_t lower_bound(const struct membership *m, const char *host,
			    uint64_t hash)
{
	uint32_t lo = 0;
	uint32_t hi = m->count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (order(m->members[mid], hash, host) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static struct member *find(const struct membership *m, const char *host)
{
	uint64_t hash = XXH64(host, strlen(host), 0);
	uint32_t at = lower_bound(m, host, hash);

	if (at < m->count && order(m->members[at], hash, host) == 0)
		return m->members[at];
	return NULL;
}

/* Chooses the partners; a new one starts without silence. */
static void choose_partners(struct membership *m, int64_t now_us)
{
	uint32_t all = m->count < HOSTS_PER_TARGET_MAX;
	uint32_t self = lower_bound(m, m->self.info.host, m->self.hash);
	uint32_t i;

	for (i = 0; i < m->count; i++) {
		struct member *x = m->members[i];
		uint32_t ahead = (i + m->count - self) % m->count;
		uint32_t partner = all || ahead < SIDE_PARTNERS ||
				   ahead >= m->count - SIDE_PARTNERS;

		if (partner && !x->partner)
			x->silent_since_us = now_us;
		x->partner = partner;
	}
}

static struct member *add(struct membership *m, int64_t now_us,
			  const char *host)
{
	struct member *x = util_alloc(1, sizeof(*x));
	uint32_t at;

	util_copy_str(x->info.host, sizeof(x->info.host), host);
	x->hash = XXH64(host, strlen(host), 0);
	x->silent_since_us = now_us;
	at = lower_bound(m, host, x->hash);
	m->members = util_grow(m->members, m->count + 1, sizeof(*m->members));
	memmove(&m->members[at + 1], &m->members[at],
		(m->count - at) * sizeof(*m->members));
	m->members[at] = x;
	m->count++;
	choose_partners(m, now_us);
	return x;
}

static void forget(struct membership *m, int64_t now_us, uint32_t at)
{
	struct member *x = m->members[at];

	m->count--;
	memmove(&m->members[at], &m->members[at + 1],
		(m->count - at) * sizeof(*m->members));
	if (x->info.state != HOST_GONE) {
		x->info.state = HOST_GONE;
		m->a.member_changed(m->a.ctx, &x->info);
	}
	free(x);
	if (m->count)
		choose_partners(m, now_us);
}

static enum host_state judge(const struct member *x, int64_t now_us)
{
	int64_t silent_us = now_us - x->silent_since_us;

	if (x->partner && silent_us >= MEMBERSHIP_GONE_US)
		return HOST_GONE;
	if (x->says_leaving || x->list_leaving)
		return HOST_LEAVING;
	if (x->partner && silent_us >= MEMBERSHIP_SUSPECT_US)
		return HOST_SUSPECT;
	return HOST_LIVE;
}

static void set_state(struct membership *m, struct member *x, int64_t now_us)
{
	enum host_state state = judge(x, now_us);

	if (state == x->info.state)
		return;
	x->info.state = state;
	m->a.member_changed(m->a.ctx, &x->info);
}

static void add_listed(struct membership *m, int64_t now_us,
		       const struct listed_host *h)
{
	struct member *x = find(m, h->id);
	int is_new = !x;

	if (strcmp(h->id, m->self.info.host) == 0)
		return;
	if (!x)
		x = add(m, now_us, h->id);
	x->info.listed = 1;
	x->list_number = m->list_number;
	x->list_leaving = h->leaving;
	/* What the host says itself is newer than the list. */
	if (!x->info.last_heartbeat_us) {
		util_copy_str(x->info.address, sizeof(x->info.address),
			      h->address);
		x->info.port = h->port;
		util_copy_str(x->info.data_centre, sizeof(x->info.data_centre),
			      h->data_centre);
	}
	x->info.state = is_new ? judge(x, now_us) : x->info.state;
	if (is_new)
		m->a.member_changed(m->a.ctx, &x->info);
	else
		set_state(m, x, now_us);
}

void membership_on_host_list(struct membership *m, int64_t now_us,
			     const struct host_list *l)
{
	uint32_t i;

	m->list_number++;
	for (i = 0; i < l->count; i++) {
		if (l->hosts[i].is_entry_host)
			add_listed(m, now_us, &l->hosts[i]);
	}
	for (i = 0; i < m->count; i++) {
		struct member *x = m->members[i];

		if (x->list_number == m->list_number)
			continue;
		x->info.listed = 0;
		x->list_leaving = 0;
	}
}

/* 1 if @h is newer than what is known of its host. */
static int is_newer(const struct member *x, const struct heartbeat *h)
{
	if (h->incarnation == x->info.incarnation)
		return h->sequence > x->sequence;
	/* A replaced host may have a clock that is behind. */
	return h->incarnation > x->info.incarnation ||
	       x->info.state == HOST_GONE;
}

static void take(struct member *x, int64_t now_us, const struct heartbeat *h)
{
	struct member_info *info = &x->info;

	if (h->incarnation != info->incarnation)
		x->says_leaving = 0;
	util_copy_str(info->data_centre, sizeof(info->data_centre),
		      h->data_centre);
	util_copy_str(info->address, sizeof(info->address), h->address);
	info->port = h->port;
	info->incarnation = h->incarnation;
	info->config_rev = h->config_rev;
	info->config_change_id = h->config_change_id;
	info->dc_items_rev = h->dc_items_rev;
	info->last_heartbeat_us = now_us;
	x->sequence = h->sequence;
	x->silent_since_us = now_us;
	if (h->state == HOST_LEAVING)
		x->says_leaving = 1;
}

enum membership_update membership_on_heartbeat(struct membership *m,
					       int64_t now_us,
					       const struct heartbeat *h)
{
	struct member *x = find(m, h->host);
	enum host_state before;
	int is_new;

	if (strcmp(h->host, m->self.info.host) == 0)
		return MEMBERSHIP_IGNORED;
	if (x && x->info.last_heartbeat_us && !is_newer(x, h))
		return MEMBERSHIP_IGNORED;
	is_new = !x || x->info.incarnation != h->incarnation;
	if (!x)
		x = add(m, now_us, h->host);
	before = x->info.state;
	take(x, now_us, h);
	x->info.state = judge(x, now_us);
	if (is_new || x->info.state != before)
		m->a.member_changed(m->a.ctx, &x->info);
	return is_new ? MEMBERSHIP_NEW : MEMBERSHIP_UPDATED;
}

/* Silence counts only while this host was running to hear. */
static void discount_pause(struct membership *m, int64_t gap_us)
{
	uint32_t i;

	for (i = 0; i < m->count; i++)
		m->members[i]->silent_since_us += gap_us;
}

void membership_tick(struct membership *m, int64_t now_us)
{
	uint32_t i = 0;

	if (now_us - m->tick_us > PAUSE_US)
		discount_pause(m, now_us - m->tick_us);
	m->tick_us = now_us;
	while (i < m->count) {
		struct member *x = m->members[i];
		int64_t silent_us = now_us - x->silent_since_us;
		int64_t limit_us = x->partner ? FORGET_US : FAR_FORGET_US;

		set_state(m, x, now_us);
		if (!x->info.listed && silent_us >= limit_us)
			forget(m, now_us, i);
		else
			i++;
	}
}

void membership_leave(struct membership *m)
{
	if (m->self.info.state == HOST_LEAVING)
		return;
	m->self.info.state = HOST_LEAVING;
	m->a.member_changed(m->a.ctx, &m->self.info);
}

void membership_fill_heartbeat(struct membership *m, struct heartbeat *h)
{
	const struct member_info *info = &m->self.info;

	util_copy_str(h->host, sizeof(h->host), info->host);
	util_copy_str(h->data_centre, sizeof(h->data_centre),
		      info->data_centre);
	util_copy_str(h->address, sizeof(h->address), info->address);
	h->port = info->port;
	h->incarnation = info->incarnation;
	h->sequence = ++m->sequence;
	h->state = info->state;
}

static int seed_is_known(const struct membership *m, const struct seed *s)
{
	uint32_t i;

	for (i = 0; i < m->count; i++) {
		const struct member_info *info = &m->members[i]->info;

		if (info->port == s->port &&
		    strcmp(info->address, s->address) == 0)
			return 1;
	}
	return s->port == m->self.info.port &&
	       strcmp(s->address, m->self.info.address) == 0;
}

/* Random hosts that are no partners; a repeated draw is not replaced. */
static void each_random(struct membership *m,
			void (*fn)(void *ctx, const char *address,
				   uint16_t port),
			void *ctx)
{
	uint32_t drawn[MEMBERSHIP_RANDOM_HOSTS];
	uint32_t i;
	uint32_t k;

	for (i = 0; i < MEMBERSHIP_RANDOM_HOSTS && m->count; i++) {
		const struct member *x;

		drawn[i] = rng_below(&m->rng, m->count);
		for (k = 0; k < i && drawn[k] != drawn[i]; k++)
			;
		x = m->members[drawn[i]];
		if (k == i && !x->partner)
			fn(ctx, x->info.address, x->info.port);
	}
}

void membership_each_receiver(struct membership *m,
			      void (*fn)(void *ctx, const char *address,
					 uint16_t port),
			      void *ctx)
{
	uint32_t i;

	/* Hosts that are gone get heartbeats too, which ends a partition. */
	for (i = 0; i < m->count; i++) {
		const struct member *x = m->members[i];

		if (x->partner && x->info.port)
			fn(ctx, x->info.address, x->info.port);
	}
	each_random(m, fn, ctx);
	for (i = 0; i < m->seed_count; i++) {
		if (!seed_is_known(m, &m->seeds[i]))
			fn(ctx, m->seeds[i].address, m->seeds[i].port);
	}
}

static int is_active(const struct member_info *info)
{
	return info->state == HOST_LIVE || info->state == HOST_SUSPECT;
}

int membership_watches_store(const struct membership *m)
{
	const struct member_info *self = &m->self.info;
	uint32_t above = 0;
	uint32_t i;

	if (!is_active(self))
		return 0;
	for (i = 0; i < m->count; i++) {
		const struct member_info *x = &m->members[i]->info;

		above += x->state == HOST_LIVE &&
			 strcmp(x->data_centre, self->data_centre) == 0 &&
			 rendezvous_before(self->data_centre, x->host,
					   self->host);
	}
	return above < MEMBERSHIP_STORE_WATCHERS;
}

uint32_t membership_active_count(const struct membership *m)
{
	uint32_t n = is_active(&m->self.info);
	uint32_t i;

	for (i = 0; i < m->count; i++)
		n += is_active(&m->members[i]->info);
	return n;
}

int membership_is_alone(const struct membership *m)
{
	return m->count == 0;
}

void membership_each(const struct membership *m,
		     void (*fn)(void *ctx, const struct member_info *info),
		     void *ctx)
{
	uint32_t i;

	fn(ctx, &m->self.info);
	for (i = 0; i < m->count; i++)
		fn(ctx, &m->members[i]->info);
}

const struct member_info *membership_find(const struct membership *m,
					  const char *host)
{
	const struct member *x = find(m, host);

	if (strcmp(host, m->self.info.host) == 0)
		return &m->self.info;
	return x ? &x->info : NULL;
}

#include "controller/membership.h"

#include <string.h>
#include <xxhash.h>

#include "base/util.h"
#include "base/rng.h"
#include "decide/rendezvous.h"
#include "model/layout.h"

/* Partners on each side of this host in a larger fleet. */
#define PARTNERS_PER_SIDE 4
/*
 * A longer gap between ticks is a pause of this host, during which it could not
 * hear the others.
 */
#define PAUSE_US (1 * (int64_t)US_PER_S)
/*
 * A partner that the host list does not name is forgotten after this silence.
 */
#define FORGET_US (60 * (int64_t)US_PER_S)
/*
 * Silence after which an unlisted host that is no partner is forgotten. Each is
 * heard once in (hosts / MEMBERSHIP_RANDOM_HOSTS) s on average, which is 10
 * minutes at the planned size; this is three times as long.
 */
#define OTHERS_FORGET_US (1800 * (int64_t)US_PER_S)
#define SEEDS_MAX 16

struct member {
	struct member_info info;
	/* Hash of the host's name. */
	uint64_t hash;
	/* Sequence number of the host's last heartbeat. */
	uint64_t sequence;
	/*
	 * Time since when the host is silent, not counting this host's pauses.
	 */
	int64_t silent_since_us;
	uint32_t is_partner;
	/* 1: the host's heartbeats say that it is leaving. */
	uint32_t says_leaving;
	/* 1: the host list says that the host is leaving. */
	uint32_t list_leaving;
	/* list_number of the last host list that named the host. */
	uint64_t list_number;
};

struct seed {
	char address[ADDRESS_BYTES];
	uint16_t port;
};

struct membership {
	struct membership_ops ops;
	struct rng rng;
	struct member self;
	/* The other hosts, sorted by hash, then by name. */
	uint32_t count;
	struct member **members;
	uint32_t seed_count;
	struct seed seeds[SEEDS_MAX];
	/* Time of the last membership_tick(). */
	int64_t tick_us;
	/* Sequence number of the last heartbeat sent. */
	uint64_t sequence;
	/* Number of host lists adopted so far. */
	uint64_t list_number;
};

struct membership *membership_new(const struct member_info *self,
				  const struct membership_ops *ops,
				  uint64_t seed, int64_t now_us)
{
	struct membership *m = util_alloc(1, sizeof(*m));

	m->ops = *ops;
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

static int compare_to(const struct member *a, uint64_t hash, const char *host)
{
	if (a->hash != hash)
		return a->hash < hash ? -1 : 1;
	return strcmp(a->info.host, host);
}

/* Position of @host among the members, or that at which it would be added. */
static uint32_t lower_bound(const struct membership *m, const char *host,
			    uint64_t hash)
{
	uint32_t lo = 0;
	uint32_t hi = m->count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (compare_to(m->members[mid], hash, host) < 0)
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

	if (at < m->count && compare_to(m->members[at], hash, host) == 0)
		return m->members[at];
	return NULL;
}

/* Chooses the partners; the silence of a new partner begins now. */
static void choose_partners(struct membership *m, int64_t now_us)
{
	uint32_t all = m->count < HOSTS_PER_TARGET_MAX;
	uint32_t self = lower_bound(m, m->self.info.host, m->self.hash);
	uint32_t i;

	for (i = 0; i < m->count; i++) {
		struct member *member = m->members[i];
		uint32_t places_after = (i + m->count - self) % m->count;
		uint32_t is_partner = all || places_after < PARTNERS_PER_SIDE ||
				      places_after >=
					      m->count - PARTNERS_PER_SIDE;

		if (is_partner && !member->is_partner)
			member->silent_since_us = now_us;
		member->is_partner = is_partner;
	}
}

static struct member *add(struct membership *m, int64_t now_us,
			  const char *host)
{
	struct member *member = util_alloc(1, sizeof(*member));
	uint32_t at;

	util_copy_str(member->info.host, sizeof(member->info.host), host);
	member->hash = XXH64(host, strlen(host), 0);
	member->silent_since_us = now_us;
	at = lower_bound(m, host, member->hash);
	m->members = util_grow(m->members, m->count + 1, sizeof(*m->members));
	memmove(&m->members[at + 1], &m->members[at],
		(m->count - at) * sizeof(*m->members));
	m->members[at] = member;
	m->count++;
	choose_partners(m, now_us);
	return member;
}

static void forget(struct membership *m, int64_t now_us, uint32_t at)
{
	struct member *member = m->members[at];

	m->count--;
	memmove(&m->members[at], &m->members[at + 1],
		(m->count - at) * sizeof(*m->members));
	if (member->info.state != HOST_GONE) {
		member->info.state = HOST_GONE;
		m->ops.member_changed(m->ops.ctx, &member->info);
	}
	free(member);
	if (m->count)
		choose_partners(m, now_us);
}

/* State that follows from what is known of @member. */
static enum host_state state_of(const struct member *member, int64_t now_us)
{
	int64_t silent_us = now_us - member->silent_since_us;

	if (member->is_partner && silent_us >= MEMBERSHIP_GONE_US)
		return HOST_GONE;
	if (member->says_leaving || member->list_leaving)
		return HOST_LEAVING;
	if (member->is_partner && silent_us >= MEMBERSHIP_SUSPECT_US)
		return HOST_SUSPECT;
	return HOST_LIVE;
}

static void update_state(struct membership *m, struct member *member,
			 int64_t now_us)
{
	enum host_state state = state_of(member, now_us);

	if (state == member->info.state)
		return;
	member->info.state = state;
	m->ops.member_changed(m->ops.ctx, &member->info);
}

static void add_listed(struct membership *m, int64_t now_us,
		       const struct listed_host *h)
{
	struct member *member = find(m, h->id);
	int is_new = !member;

	if (strcmp(h->id, m->self.info.host) == 0)
		return;
	if (!member)
		member = add(m, now_us, h->id);
	member->info.is_listed = 1;
	member->list_number = m->list_number;
	member->list_leaving = h->is_leaving;
	/* What the host's heartbeats say is newer than the list. */
	if (!member->info.last_heartbeat_us) {
		util_copy_str(member->info.address,
			      sizeof(member->info.address), h->address);
		member->info.port = h->port;
		util_copy_str(member->info.data_centre,
			      sizeof(member->info.data_centre), h->data_centre);
	}
	member->info.state = is_new ? state_of(member, now_us)
				    : member->info.state;
	if (is_new)
		m->ops.member_changed(m->ops.ctx, &member->info);
	else
		update_state(m, member, now_us);
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
		struct member *member = m->members[i];

		if (member->list_number == m->list_number)
			continue;
		member->info.is_listed = 0;
		member->list_leaving = 0;
	}
}

/* 1 if heartbeat @h is newer than the last one from @member. */
static int is_newer(const struct member *member, const struct heartbeat *h)
{
	if (h->incarnation == member->info.incarnation)
		return h->sequence > member->sequence;
	/*
	 * A new machine under the name of one that is gone may have a clock
	 * that is behind, and so a lower incarnation.
	 */
	return h->incarnation > member->info.incarnation ||
	       member->info.state == HOST_GONE;
}

static void apply_heartbeat(struct member *member, int64_t now_us,
			    const struct heartbeat *h)
{
	struct member_info *info = &member->info;

	if (h->incarnation != info->incarnation)
		member->says_leaving = 0;
	util_copy_str(info->data_centre, sizeof(info->data_centre),
		      h->data_centre);
	util_copy_str(info->address, sizeof(info->address), h->address);
	info->port = h->port;
	info->incarnation = h->incarnation;
	info->config_rev = h->config_rev;
	info->config_change_id = h->config_change_id;
	info->evacuation_rev = h->evacuation_rev;
	info->last_heartbeat_us = now_us;
	member->sequence = h->sequence;
	member->silent_since_us = now_us;
	if (h->state == HOST_LEAVING)
		member->says_leaving = 1;
}

enum membership_update membership_on_heartbeat(struct membership *m,
					       int64_t now_us,
					       const struct heartbeat *h)
{
	struct member *member = find(m, h->host);
	enum host_state before;
	int is_new;

	if (strcmp(h->host, m->self.info.host) == 0)
		return MEMBERSHIP_IGNORED;
	if (member && member->info.last_heartbeat_us && !is_newer(member, h))
		return MEMBERSHIP_IGNORED;
	is_new = !member || member->info.incarnation != h->incarnation;
	if (!member)
		member = add(m, now_us, h->host);
	before = member->info.state;
	apply_heartbeat(member, now_us, h);
	member->info.state = state_of(member, now_us);
	if (is_new || member->info.state != before)
		m->ops.member_changed(m->ops.ctx, &member->info);
	return is_new ? MEMBERSHIP_NEW : MEMBERSHIP_UPDATED;
}

/* Silence counts only while this host was running and could hear others. */
static void exclude_pause(struct membership *m, int64_t gap_us)
{
	uint32_t i;

	for (i = 0; i < m->count; i++)
		m->members[i]->silent_since_us += gap_us;
}

void membership_tick(struct membership *m, int64_t now_us)
{
	uint32_t i = 0;

	if (now_us - m->tick_us > PAUSE_US)
		exclude_pause(m, now_us - m->tick_us);
	m->tick_us = now_us;
	while (i < m->count) {
		struct member *member = m->members[i];
		int64_t silent_us = now_us - member->silent_since_us;
		int64_t limit_us = member->is_partner ? FORGET_US
						      : OTHERS_FORGET_US;

		update_state(m, member, now_us);
		if (!member->info.is_listed && silent_us >= limit_us)
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
	m->ops.member_changed(m->ops.ctx, &m->self.info);
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

static int is_known_seed(const struct membership *m, const struct seed *s)
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

/*
 * Calls @fn for up to MEMBERSHIP_RANDOM_HOSTS random hosts. Draws of partners
 * and repeated draws are left out, not replaced.
 */
static void each_random(struct membership *m,
			void (*fn)(void *ctx, const char *address,
				   uint16_t port),
			void *ctx)
{
	uint32_t drawn[MEMBERSHIP_RANDOM_HOSTS];
	uint32_t i;
	uint32_t k;

	for (i = 0; i < MEMBERSHIP_RANDOM_HOSTS && m->count; i++) {
		const struct member *member;

		drawn[i] = rng_below(&m->rng, m->count);
		for (k = 0; k < i && drawn[k] != drawn[i]; k++)
			;
		member = m->members[drawn[i]];
		if (k == i && !member->is_partner)
			fn(ctx, member->info.address, member->info.port);
	}
}

void membership_each_receiver(struct membership *m,
			      void (*fn)(void *ctx, const char *address,
					 uint16_t port),
			      void *ctx)
{
	uint32_t i;

	/*
	 * Partners that are gone get heartbeats too, so that both sides find
	 * each other again after a network partition.
	 */
	for (i = 0; i < m->count; i++) {
		const struct member *member = m->members[i];

		if (member->is_partner && member->info.port)
			fn(ctx, member->info.address, member->info.port);
	}
	each_random(m, fn, ctx);
	for (i = 0; i < m->seed_count; i++) {
		if (!is_known_seed(m, &m->seeds[i]))
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
	uint32_t preferred_count = 0;
	uint32_t i;

	if (!is_active(self))
		return 0;
	for (i = 0; i < m->count; i++) {
		const struct member_info *other = &m->members[i]->info;

		preferred_count +=
			other->state == HOST_LIVE &&
			strcmp(other->data_centre, self->data_centre) == 0 &&
			rendezvous_before(self->data_centre, other->host,
					  self->host);
	}
	return preferred_count < MEMBERSHIP_STORE_WATCHERS;
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
	const struct member *member = find(m, host);

	if (strcmp(host, m->self.info.host) == 0)
		return &m->self.info;
	return member ? &member->info : NULL;
}

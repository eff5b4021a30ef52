#include "controller/evacuation.h"

#include <inttypes.h>
#include <string.h>

/* Hosts that a list names at most; of further hosts it gives the number. */
#define NAMES_LISTED_MAX 20

struct evacuation_entry {
	enum evacuation_kind kind;
	char name[NAME_BYTES];
	enum evacuation_state state;
	uint64_t rev;
	/* Time at which the ramp began; valid while ramping is 1. */
	int64_t in_since_us;
	/*
	 * 1: state went from out to in; the share of new work rises or is full.
	 */
	uint32_t ramping;
};

struct evacuation {
	uint32_t count;
	struct evacuation_entry *entries;
};

struct evacuation *evacuation_new(void)
{
	return util_alloc(1, sizeof(struct evacuation));
}

void evacuation_free(struct evacuation *ev)
{
	if (!ev)
		return;
	free(ev->entries);
	free(ev);
}

static struct evacuation_entry *
find(const struct evacuation *ev, enum evacuation_kind kind, const char *name)
{
	uint32_t i;

	for (i = 0; i < ev->count; i++) {
		if (ev->entries[i].kind == kind &&
		    strcmp(ev->entries[i].name, name) == 0)
			return &ev->entries[i];
	}
	return NULL;
}

static struct evacuation_entry *
find_or_add(struct evacuation *ev, enum evacuation_kind kind, const char *name)
{
	struct evacuation_entry *entry = find(ev, kind, name);

	if (entry)
		return entry;
	ev->entries =
		util_grow(ev->entries, ev->count + 1, sizeof(*ev->entries));
	entry = &ev->entries[ev->count++];
	memset(entry, 0, sizeof(*entry));
	entry->kind = kind;
	util_copy_str(entry->name, sizeof(entry->name), name);
	return entry;
}

void evacuation_apply(struct evacuation *ev, int64_t now_us,
		      enum evacuation_kind kind, const char *name,
		      enum evacuation_state state, uint64_t rev)
{
	struct evacuation_entry *entry = find_or_add(ev, kind, name);

	if (rev < entry->rev)
		return;
	if (entry->state == EVACUATION_OUT && state == EVACUATION_IN) {
		entry->ramping = 1;
		entry->in_since_us = now_us;
	} else if (state == EVACUATION_OUT) {
		entry->ramping = 0;
	}
	entry->state = state;
	entry->rev = rev;
}

static uint32_t ramp_share_permille(const struct evacuation_entry *entry,
				    int64_t now_us)
{
	int64_t steps = (now_us - entry->in_since_us) / EVACUATION_RAMP_STEP_US;
	uint32_t share = EVACUATION_RAMP_START_PERMILLE;

	while (steps-- > 0 && share < PERMILLE)
		share *= 2;
	return util_min_u32(share, PERMILLE);
}

static uint32_t share_permille_of(const struct evacuation_entry *entry,
				  int64_t now_us)
{
	if (!entry)
		return PERMILLE;
	if (entry->state == EVACUATION_OUT)
		return 0;
	return entry->ramping ? ramp_share_permille(entry, now_us) : PERMILLE;
}

uint32_t evacuation_share_permille(const struct evacuation *ev,
				   const char *data_centre, int64_t now_us)
{
	return share_permille_of(find(ev, EVACUATION_DATA_CENTRE, data_centre),
				 now_us);
}

int evacuation_host_is_out(const struct evacuation *ev, const char *name)
{
	const struct evacuation_entry *entry = find(ev, EVACUATION_HOST, name);

	return entry && entry->state == EVACUATION_OUT;
}

int64_t evacuation_next_change_us(const struct evacuation *ev, int64_t now_us)
{
	int64_t next_us = -1;
	uint32_t i;

	for (i = 0; i < ev->count; i++) {
		const struct evacuation_entry *entry = &ev->entries[i];
		int64_t at_us;

		if (entry->kind != EVACUATION_DATA_CENTRE ||
		    share_permille_of(entry, now_us) == PERMILLE ||
		    entry->state == EVACUATION_OUT)
			continue;
		at_us = now_us - entry->in_since_us;
		at_us = now_us + EVACUATION_RAMP_STEP_US -
			at_us % EVACUATION_RAMP_STEP_US;
		next_us = next_us < 0 ? at_us : util_min_i64(next_us, at_us);
	}
	return next_us;
}

uint64_t evacuation_rev(const struct evacuation *ev)
{
	uint64_t rev = 0;
	uint32_t i;

	for (i = 0; i < ev->count; i++) {
		if (ev->entries[i].rev > rev)
			rev = ev->entries[i].rev;
	}
	return rev;
}

void evacuation_each(const struct evacuation *ev,
		     void (*fn)(void *ctx, enum evacuation_kind kind,
				const char *name, enum evacuation_state state,
				uint64_t rev),
		     void *ctx)
{
	uint32_t i;

	for (i = 0; i < ev->count; i++) {
		const struct evacuation_entry *entry = &ev->entries[i];

		fn(ctx, entry->kind, entry->name, entry->state, entry->rev);
	}
}

static int is_in_contact(const struct evacuation_host *h)
{
	return h->contact == EVACUATION_CONTACT_LIVE ||
	       h->contact == EVACUATION_CONTACT_LEAVING;
}

void evacuation_count_confirmed(uint64_t rev,
				const struct evacuation_host *hosts,
				uint32_t host_count,
				struct evacuation_status *out)
{
	uint32_t i;

	out->host_count = host_count;
	out->confirmed_count = out->waiting_count = out->not_in_contact_count =
		0;
	for (i = 0; i < host_count; i++) {
		if (hosts[i].adopted_rev >= rev)
			out->confirmed_count++;
		else if (is_in_contact(&hosts[i]))
			out->waiting_count++;
		else
			out->not_in_contact_count++;
	}
	out->complete = out->confirmed_count == host_count;
}

void evacuation_status(const struct evacuation *ev, int64_t now_us,
		       enum evacuation_kind kind, const char *name,
		       const struct evacuation_host *hosts, uint32_t host_count,
		       struct evacuation_status *out)
{
	const struct evacuation_entry *entry = find(ev, kind, name);

	memset(out, 0, sizeof(*out));
	out->kind = kind;
	util_copy_str(out->name, sizeof(out->name), name);
	out->state = entry ? entry->state : EVACUATION_IN;
	out->rev = entry ? entry->rev : 0;
	out->share_permille = share_permille_of(entry, now_us);
	evacuation_count_confirmed(out->rev, hosts, host_count, out);
}

int evacuation_dc_unreachable(const char *data_centre,
			      const struct evacuation_host *hosts,
			      uint32_t host_count)
{
	uint32_t known_count = 0;
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		if (strcmp(hosts[i].data_centre, data_centre) != 0)
			continue;
		if (is_in_contact(&hosts[i]))
			return 0;
		known_count++;
	}
	return known_count > 0;
}

/*
 * Appends to @out the hosts that have not adopted @rev: with @contact_wanted 1
 * those in contact, with 0 those not in contact.
 */
static void list_unconfirmed(uint64_t rev, const struct evacuation_host *hosts,
			     uint32_t host_count, int contact_wanted,
			     struct buf *out)
{
	uint32_t listed_count = 0;
	uint32_t omitted = 0;
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		const struct evacuation_host *h = &hosts[i];

		if (h->adopted_rev >= rev || is_in_contact(h) != contact_wanted)
			continue;
		if (listed_count == NAMES_LISTED_MAX) {
			omitted++;
			continue;
		}
		buf_addf(out, "%s %s (data centre %s, revision %" PRIu64 ")",
			 listed_count ? "," : "", h->host, h->data_centre,
			 h->adopted_rev);
		listed_count++;
	}
	if (omitted)
		buf_addf(out, " and %u more", omitted);
}

/* 1 when a host before position @at belongs to the same data centre. */
static int is_dc_before(const struct evacuation_host *hosts, uint32_t at)
{
	uint32_t i;

	for (i = 0; i < at; i++) {
		if (strcmp(hosts[i].data_centre, hosts[at].data_centre) == 0)
			return 1;
	}
	return 0;
}

static void list_unreachable_dcs(uint64_t rev,
				 const struct evacuation_host *hosts,
				 uint32_t host_count, struct buf *out)
{
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		const char *name = hosts[i].data_centre;

		if (is_dc_before(hosts, i) ||
		    !evacuation_dc_unreachable(name, hosts, host_count))
			continue;
		buf_addf(out,
			 "data centre %s: no host is in contact; it is down "
			 "or partitioned. Its hosts that run without revision "
			 "%" PRIu64 " continue to serve their own callers "
			 "until they receive it\n",
			 name, rev);
	}
}

void evacuation_unconfirmed_text(uint64_t rev,
				 const struct evacuation_host *hosts,
				 uint32_t host_count, struct buf *out)
{
	struct evacuation_status s;

	evacuation_count_confirmed(rev, hosts, host_count, &s);
	if (s.waiting_count) {
		buf_addf(out, "not confirmed:");
		list_unconfirmed(rev, hosts, host_count, 1, out);
		buf_addf(out, "\n");
	}
	if (s.not_in_contact_count) {
		buf_addf(out, "not confirmed and not in contact:");
		list_unconfirmed(rev, hosts, host_count, 0, out);
		buf_addf(out, "\n");
		list_unreachable_dcs(rev, hosts, host_count, out);
	}
}

void evacuation_status_text(const struct evacuation_status *s,
			    const struct evacuation_host *hosts,
			    uint32_t host_count, struct buf *out)
{
	const char *kind = s->kind == EVACUATION_DATA_CENTRE ? "data centre"
							     : "host";

	if (s->rev == 0) {
		buf_addf(out, "%s %s: in, never changed\n", kind, s->name);
		return;
	}
	buf_addf(out, "%s %s: %s since revision %" PRIu64, kind, s->name,
		 s->state == EVACUATION_OUT ? "out" : "in", s->rev);
	if (s->kind == EVACUATION_DATA_CENTRE && s->state == EVACUATION_IN &&
	    s->share_permille < PERMILLE)
		buf_addf(out, ", share %u of 1000 and rising",
			 s->share_permille);
	buf_addf(out, "; confirmed by %u of %u hosts\n", s->confirmed_count,
		 s->host_count);
	evacuation_unconfirmed_text(s->rev, hosts, host_count, out);
}

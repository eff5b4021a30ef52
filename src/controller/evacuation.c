#include "controller/evacuation.h"

#include <inttypes.h>
#include <string.h>

/* Names listed in full in a status text; the rest is given as a number. */
#define NAMES_LISTED_MAX 20

struct evacuation_entry {
	enum evacuation_kind kind;
	char name[NAME_BYTES];
	enum evacuation_state state;
	uint64_t rev;
	/* Start of the ramp; valid while @ramping is 1. */
	int64_t in_since_us;
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

void evacuation_free(struct evacuation *d)
{
	if (!d)
		return;
	free(d->entries);
	free(d);
}

static struct evacuation_entry *
find(const struct evacuation *d, enum evacuation_kind kind, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->count; i++) {
		if (d->entries[i].kind == kind &&
		    strcmp(d->entries[i].name, name) == 0)
			return &d->entries[i];
	}
	return NULL;
}

static struct evacuation_entry *
find_or_add(struct evacuation *d, enum evacuation_kind kind, const char *name)
{
	struct evacuation_entry *e = find(d, kind, name);

	if (e)
		return e;
	d->entries = util_grow(d->entries, d->count + 1, sizeof(*d->entries));
	e = &d->entries[d->count++];
	memset(e, 0, sizeof(*e));
	e->kind = kind;
	util_copy_str(e->name, sizeof(e->name), name);
	return e;
}

void evacuation_apply(struct evacuation *d, int64_t now_us,
		      enum evacuation_kind kind, const char *name,
		      enum evacuation_state state, uint64_t rev)
{
	struct evacuation_entry *e = find_or_add(d, kind, name);

	if (rev < e->rev)
		return;
	if (e->state == EVACUATION_OUT && state == EVACUATION_IN) {
		e->ramping = 1;
		e->in_since_us = now_us;
	} else if (state == EVACUATION_OUT) {
		e->ramping = 0;
	}
	e->state = state;
	e->rev = rev;
}

static uint32_t ramp_permille(const struct evacuation_entry *e, int64_t now_us)
{
	int64_t steps = (now_us - e->in_since_us) / EVACUATION_RAMP_STEP_US;
	uint32_t share = EVACUATION_RAMP_START_PERMILLE;

	while (steps-- > 0 && share < PERMILLE)
		share *= 2;
	return util_min_u32(share, PERMILLE);
}

static uint32_t entry_share(const struct evacuation_entry *e, int64_t now_us)
{
	if (!e)
		return PERMILLE;
	if (e->state == EVACUATION_OUT)
		return 0;
	return e->ramping ? ramp_permille(e, now_us) : PERMILLE;
}

uint32_t evacuation_share_permille(const struct evacuation *d,
				   const char *data_centre, int64_t now_us)
{
	return entry_share(find(d, EVACUATION_DATA_CENTRE, data_centre),
			   now_us);
}

int evacuation_host_is_out(const struct evacuation *d, const char *name)
{
	const struct evacuation_entry *e = find(d, EVACUATION_HOST, name);

	return e && e->state == EVACUATION_OUT;
}

int64_t evacuation_next_change_us(const struct evacuation *d, int64_t now_us)
{
	int64_t next_us = -1;
	uint32_t i;

	for (i = 0; i < d->count; i++) {
		const struct evacuation_entry *e = &d->entries[i];
		int64_t at_us;

		if (e->kind != EVACUATION_DATA_CENTRE ||
		    entry_share(e, now_us) == PERMILLE ||
		    e->state == EVACUATION_OUT)
			continue;
		at_us = now_us - e->in_since_us;
		at_us = now_us + EVACUATION_RAMP_STEP_US -
			at_us % EVACUATION_RAMP_STEP_US;
		next_us = next_us < 0 ? at_us : util_min_i64(next_us, at_us);
	}
	return next_us;
}

uint64_t evacuation_rev(const struct evacuation *d)
{
	uint64_t rev = 0;
	uint32_t i;

	for (i = 0; i < d->count; i++) {
		if (d->entries[i].rev > rev)
			rev = d->entries[i].rev;
	}
	return rev;
}

void evacuation_each(const struct evacuation *d,
		     void (*fn)(void *ctx, enum evacuation_kind kind,
				const char *name, enum evacuation_state state,
				uint64_t rev),
		     void *ctx)
{
	uint32_t i;

	for (i = 0; i < d->count; i++) {
		const struct evacuation_entry *e = &d->entries[i];

		fn(ctx, e->kind, e->name, e->state, e->rev);
	}
}

static int in_contact(const struct evacuation_host *h)
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
		else if (in_contact(&hosts[i]))
			out->waiting_count++;
		else
			out->not_in_contact_count++;
	}
	out->complete = out->confirmed_count == host_count;
}

void evacuation_status(const struct evacuation *d, int64_t now_us,
		       enum evacuation_kind kind, const char *name,
		       const struct evacuation_host *hosts, uint32_t host_count,
		       struct evacuation_status *out)
{
	const struct evacuation_entry *e = find(d, kind, name);

	memset(out, 0, sizeof(*out));
	out->kind = kind;
	util_copy_str(out->name, sizeof(out->name), name);
	out->state = e ? e->state : EVACUATION_IN;
	out->rev = e ? e->rev : 0;
	out->share_permille = entry_share(e, now_us);
	evacuation_count_confirmed(out->rev, hosts, host_count, out);
}

int evacuation_dc_unreachable(const char *data_centre,
			      const struct evacuation_host *hosts,
			      uint32_t host_count)
{
	uint32_t known = 0;
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		if (strcmp(hosts[i].data_centre, data_centre) != 0)
			continue;
		if (in_contact(&hosts[i]))
			return 0;
		known++;
	}
	return known > 0;
}

/* Lists the hosts without @rev that are in contact, or are not. */
static void list_hosts(uint64_t rev, const struct evacuation_host *hosts,
		       uint32_t host_count, int contact, struct buf *out)
{
	uint32_t listed = 0;
	uint32_t more = 0;
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		const struct evacuation_host *h = &hosts[i];

		if (h->adopted_rev >= rev || in_contact(h) != contact)
			continue;
		if (listed == NAMES_LISTED_MAX) {
			more++;
			continue;
		}
		buf_addf(out, "%s %s (data centre %s, revision %" PRIu64 ")",
			 listed ? "," : "", h->host, h->data_centre,
			 h->adopted_rev);
		listed++;
	}
	if (more)
		buf_addf(out, " and %u more", more);
}

/* 1 when an earlier host of the list belongs to the same data centre. */
static int seen_before(const struct evacuation_host *hosts, uint32_t at)
{
	uint32_t i;

	for (i = 0; i < at; i++) {
		if (strcmp(hosts[i].data_centre, hosts[at].data_centre) == 0)
			return 1;
	}
	return 0;
}

static void list_partitions(uint64_t rev, const struct evacuation_host *hosts,
			    uint32_t host_count, struct buf *out)
{
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		const char *name = hosts[i].data_centre;

		if (seen_before(hosts, i) ||
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
		list_hosts(rev, hosts, host_count, 1, out);
		buf_addf(out, "\n");
	}
	if (s.not_in_contact_count) {
		buf_addf(out, "not confirmed and not in contact:");
		list_hosts(rev, hosts, host_count, 0, out);
		buf_addf(out, "\n");
		list_partitions(rev, hosts, host_count, out);
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

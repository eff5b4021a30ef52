/*
 * Data centres and hosts that operators take out of service and bring back in.
 * Pure: the control duty passes in the configuration items that this host
 * adopted, the revisions that the other hosts have confirmed, and the time.
 *
 * An item that says out takes effect on a host as soon as the host adopts it.
 * When a data centre is in again, its share of new work starts at 5% and
 * doubles every 2 s, because its targets may have become cold meanwhile.
 */
#ifndef EVACUATION_H
#define EVACUATION_H

#include <stdint.h>

#include "base/util.h"
#include "model/name.h"

#define EVACUATION_RAMP_START_PERMILLE 50
#define EVACUATION_RAMP_STEP_US (2 * US_PER_S)

enum evacuation_kind { EVACUATION_DATA_CENTRE, EVACUATION_HOST };
enum evacuation_state { EVACUATION_IN, EVACUATION_OUT };
/* State of a host in the membership; GONE: no heartbeat for 10 s. */
enum evacuation_contact {
	EVACUATION_CONTACT_LIVE,
	EVACUATION_CONTACT_SUSPECT,
	EVACUATION_CONTACT_GONE,
	EVACUATION_CONTACT_LEAVING
};

/* One entry host as the membership knows it. */
struct evacuation_host {
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	enum evacuation_contact contact;
	/* Highest configuration revision the host says it has adopted. */
	uint64_t adopted_rev;
};

/* How many hosts have adopted a change. */
struct evacuation_status {
	enum evacuation_kind kind;
	char name[NAME_BYTES];
	enum evacuation_state state;
	/* Revision that made the change; 0: never changed. */
	uint64_t rev;
	/* Share of its new work that this host gives it now. */
	uint32_t share_permille;
	/* All hosts, and those that have confirmed the revision. */
	uint32_t host_count;
	uint32_t confirmed_count;
	/* Hosts that have not confirmed and are in contact: live or leaving. */
	uint32_t waiting_count;
	/* Hosts that have not confirmed and are suspect or gone. */
	uint32_t not_in_contact_count;
	/* 1 when every host has confirmed. */
	uint32_t complete;
};

struct evacuation;

struct evacuation *evacuation_new(void);
void evacuation_free(struct evacuation *ev);

/*
 * Adopts one item of revision @rev. An older revision than the adopted one of
 * the same item is ignored. State in starts a ramp only after state out.
 */
void evacuation_apply(struct evacuation *ev, int64_t now_us,
		      enum evacuation_kind kind, const char *name,
		      enum evacuation_state state, uint64_t rev);
/* Share of new work for a data centre in permille; 1000 when unknown. */
uint32_t evacuation_share_permille(const struct evacuation *ev,
				   const char *data_centre, int64_t now_us);
/* 1 when the entry host or target @name is taken out. */
int evacuation_host_is_out(const struct evacuation *ev, const char *name);
/* Time of the next step of a ramp, in us, or -1 when no share is rising. */
int64_t evacuation_next_change_us(const struct evacuation *ev, int64_t now_us);
/* Newest adopted revision of any item; goes out with the heartbeats. */
uint64_t evacuation_rev(const struct evacuation *ev);
/* Calls @fn for each data centre and host that an item was adopted for. */
void evacuation_each(const struct evacuation *ev,
		     void (*fn)(void *ctx, enum evacuation_kind kind,
				const char *name, enum evacuation_state state,
				uint64_t rev),
		     void *ctx);

/* Fills @out for @name: its state and the hosts that confirmed its change. */
void evacuation_status(const struct evacuation *ev, int64_t now_us,
		       enum evacuation_kind kind, const char *name,
		       const struct evacuation_host *hosts, uint32_t host_count,
		       struct evacuation_status *out);
/*
 * Counts the hosts that have adopted @rev, and those that have not. Sets the
 * counts and "complete" in @out only.
 */
void evacuation_count_confirmed(uint64_t rev,
				const struct evacuation_host *hosts,
				uint32_t host_count,
				struct evacuation_status *out);
/*
 * Appends lines that name the hosts without @rev and the data centres that are
 * not in contact; nothing when all hosts have @rev.
 */
void evacuation_unconfirmed_text(uint64_t rev,
				 const struct evacuation_host *hosts,
				 uint32_t host_count, struct buf *out);
/*
 * 1 when hosts of @data_centre are known but none is in contact: the data
 * centre is down or partitioned, which this host cannot tell apart.
 */
int evacuation_dc_unreachable(const char *data_centre,
			      const struct evacuation_host *hosts,
			      uint32_t host_count);
/*
 * Appends text for the operator: what is in effect, which hosts have not
 * confirmed it, and which data centres are not in contact.
 */
void evacuation_status_text(const struct evacuation_status *s,
			    const struct evacuation_host *hosts,
			    uint32_t host_count, struct buf *out);

#endif

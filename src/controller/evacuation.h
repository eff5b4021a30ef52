/*
 * Data centres and hosts that operators take out and bring back. Pure: the
 * control duty passes in adopted items, host confirmations and the time.
 *
 * Out takes effect on a host as soon as it adopts the item. On return the
 * share of new work starts at 5% and doubles every 2 s, because the targets
 * of the data centre may have become cold while they were out.
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
/* As the membership sees it; GONE: no heartbeat for 10 s. */
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

/* How far one change has spread. */
struct evacuation_status {
	enum evacuation_kind kind;
	char name[NAME_BYTES];
	enum evacuation_state state;
	/* Revision that made the change; 0: never changed. */
	uint64_t rev;
	/* Share of new work this host gives it now. */
	uint32_t share_permille;
	uint32_t host_count;
	uint32_t confirmed_count;
	/* Hosts that have not confirmed and are in contact. */
	uint32_t waiting_count;
	/* Hosts that have not confirmed and are not in contact. */
	uint32_t not_in_contact_count;
	/* 1 when every host has confirmed. */
	uint32_t complete;
};

struct evacuation;

struct evacuation *evacuation_new(void);
void evacuation_free(struct evacuation *d);

/*
 * Adopts one item of revision @rev. An older revision than the adopted one of
 * the same item is ignored. An "in" for something that was not out does not
 * ramp.
 */
void evacuation_apply(struct evacuation *d, int64_t now_us,
		      enum evacuation_kind kind, const char *name,
		      enum evacuation_state state, uint64_t rev);
/* Share of new work for a data centre in permille; 1000 when unknown. */
uint32_t evacuation_share_permille(const struct evacuation *d,
				   const char *data_centre, int64_t now_us);
/* 1 when the entry host or target @name is taken out. */
int evacuation_host_is_out(const struct evacuation *d, const char *name);
/* Time of the next change of a share in us, or -1 when none is due. */
int64_t evacuation_next_change_us(const struct evacuation *d, int64_t now_us);
/* Revision of the newest adopted change; carried in heartbeats. */
uint64_t evacuation_rev(const struct evacuation *d);
/* Calls @fn for each known data centre and host. */
void evacuation_each(const struct evacuation *d,
		     void (*fn)(void *ctx, enum evacuation_kind kind,
				const char *name, enum evacuation_state state,
				uint64_t rev),
		     void *ctx);

/* Counts who has confirmed the newest change of @name. */
void evacuation_status(const struct evacuation *d, int64_t now_us,
		       enum evacuation_kind kind, const char *name,
		       const struct evacuation_host *hosts, uint32_t host_count,
		       struct evacuation_status *out);
/* Counts in @out the hosts that have adopted @rev; leaves the rest of it. */
void evacuation_count_confirmed(uint64_t rev,
				const struct evacuation_host *hosts,
				uint32_t host_count,
				struct evacuation_status *out);
/* Appends lines that name the hosts without @rev and partitions; or nothing. */
void evacuation_unconfirmed_text(uint64_t rev,
				 const struct evacuation_host *hosts,
				 uint32_t host_count, struct buf *out);
/*
 * 1 when no host of @data_centre is in contact while some are known: it is
 * down or partitioned, which cannot be told apart from here.
 */
int evacuation_dc_unreachable(const char *data_centre,
			      const struct evacuation_host *hosts,
			      uint32_t host_count);
/*
 * Appends plain text for the operator: what is in effect, which hosts have
 * not confirmed, and which data centres are not in contact.
 */
void evacuation_status_text(const struct evacuation_status *s,
			    const struct evacuation_host *hosts,
			    uint32_t host_count, struct buf *out);

#endif

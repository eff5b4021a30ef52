/*
 * Data centres and hosts that operators take out and bring back. Pure: the
 * control duty passes in adopted items, host confirmations and the time.
 *
 * Out takes effect on a host as soon as it adopts the item. On return the
 * share of new work starts at 5% and doubles every 2 s, because the targets
 * of the data centre may have become cold while they were out.
 */
#ifndef DCS_H
#define DCS_H

#include <stdint.h>

#include "base/cutil.h"
#include "model/name.h"

#define DCS_RAMP_START_PERMILLE 50
#define DCS_RAMP_STEP_US (2 * US_PER_S)

enum dcs_kind { DCS_DATA_CENTRE, DCS_HOST };
enum dcs_state { DCS_IN, DCS_OUT };
/* As the membership sees it; GONE: no heartbeat for 10 s. */
enum dcs_contact {
	DCS_CONTACT_LIVE,
	DCS_CONTACT_SUSPECT,
	DCS_CONTACT_GONE,
	DCS_CONTACT_LEAVING
};

/* One entry host as the membership knows it. */
struct dcs_host {
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	enum dcs_contact contact;
	/* Highest configuration revision the host says it has adopted. */
	uint64_t adopted_rev;
};

/* How far one change has spread. */
struct dcs_status {
	enum dcs_kind kind;
	char name[NAME_BYTES];
	enum dcs_state state;
	/* Revision that made the change; 0: never changed. */
	uint64_t rev;
	/* Share of new work this host gives it now. */
	uint32_t share_permille;
	uint32_t host_count;
	uint32_t confirmed_count;
	/* Hosts that have not confirmed and are in contact. */
	uint32_t waiting_count;
	/* Hosts that have not confirmed and are not in contact. */
	uint32_t lost_count;
	/* 1 when every host has confirmed. */
	uint32_t complete;
};

struct dcs;

struct dcs *dcs_new(void);
void dcs_free(struct dcs *d);

/*
 * Adopts one item of revision @rev. An older revision than the adopted one of
 * the same item is ignored. An "in" for something that was not out does not
 * ramp.
 */
void dcs_apply(struct dcs *d, int64_t now_us, enum dcs_kind kind,
	       const char *name, enum dcs_state state, uint64_t rev);
/* Share of new work for a data centre in permille; 1000 when unknown. */
uint32_t dcs_share_permille(const struct dcs *d, const char *data_centre,
			    int64_t now_us);
/* 1 when the entry host or target @name is taken out. */
int dcs_host_out(const struct dcs *d, const char *name);
/* Time of the next change of a share in us, or -1 when none is due. */
int64_t dcs_next_us(const struct dcs *d, int64_t now_us);
/* Revision of the newest adopted change; carried in heartbeats. */
uint64_t dcs_rev(const struct dcs *d);
/* Calls @fn for each known data centre and host. */
void dcs_each(const struct dcs *d,
	      void (*fn)(void *ctx, enum dcs_kind kind, const char *name,
			 enum dcs_state state, uint64_t rev),
	      void *ctx);

/* Counts who has confirmed the newest change of @name. */
void dcs_status(const struct dcs *d, int64_t now_us, enum dcs_kind kind,
		const char *name, const struct dcs_host *hosts,
		uint32_t host_count, struct dcs_status *out);
/* Counts in @out the hosts that have adopted @rev; leaves the rest of it. */
void dcs_spread(uint64_t rev, const struct dcs_host *hosts, uint32_t host_count,
		struct dcs_status *out);
/* Appends lines that name the hosts without @rev and partitions; or nothing. */
void dcs_unconfirmed_text(uint64_t rev, const struct dcs_host *hosts,
			  uint32_t host_count, struct buf *out);
/*
 * 1 when no host of @data_centre is in contact while some are known: it is
 * down or partitioned, which cannot be told apart from here.
 */
int dcs_partitioned(const char *data_centre, const struct dcs_host *hosts,
		    uint32_t host_count);
/*
 * Appends plain text for the operator: what is in effect, which hosts have
 * not confirmed, and which data centres are not in contact.
 */
void dcs_status_text(const struct dcs_status *s, const struct dcs_host *hosts,
		     uint32_t host_count, struct buf *out);

#endif

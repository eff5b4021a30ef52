/*
 * Routing view: the contracts, layouts, shares and hosts in effect. Immutable
 * and reference-counted. The control duty publishes it and the request duty
 * reads it; a request keeps the view that filter pin chose for it.
 */
#ifndef VIEW_H
#define VIEW_H

#include <stdint.h>

#include "model/contract.h"
#include "model/layout.h"

/* Share of new work for the targets of one data centre. */
struct dc_share {
	char data_centre[NAME_BYTES];
	/* 0: out of service, 1000: in service, between: coming back. */
	uint32_t share_permille;
};

/* Share of new work for one version of a service. */
struct version_share {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	uint32_t share_permille;
};

/* Target that gets no new work, because it is leaving or out of service. */
struct blocked_target {
	char id[NAME_BYTES];
};

struct view {
	_Atomic uint32_t refs;
	uint64_t config_rev;
	/* Entry hosts that are live or suspect; their names are in hosts. */
	uint32_t host_count;
	/* Name of this host, which is one of them unless it is leaving. */
	char self[NAME_BYTES];
	char (*hosts)[NAME_BYTES];
	uint32_t contract_count;
	struct contract *contracts;
	uint32_t layout_count;
	struct layout **layouts;
	uint32_t dc_count;
	struct dc_share *dcs;
	uint32_t version_count;
	struct version_share *versions;
	uint32_t blocked_target_count;
	struct blocked_target *blocked_targets;
};

/* Returns an empty view with one reference. */
struct view *view_new(void);
struct view *view_ref(struct view *v);
/* Drops one reference; the last one frees. NULL is ignored. */
void view_unref(struct view *v);

/* The contract of @customer, or NULL. */
const struct contract *view_contract(const struct view *v,
				     const char *customer);
/* The layout of @index, or NULL. */
const struct layout *view_layout(const struct view *v, const char *index);
/* Share in permille; 1000 for a data centre without an entry. */
uint32_t view_dc_share(const struct view *v, const char *data_centre);
/* Share in permille; 1000 for a version without an entry. */
uint32_t view_version_share(const struct view *v, const char *service,
			    const char *version);
/* 1 if target @target_id gets no new work, else 0. */
int view_target_blocked(const struct view *v, const char *target_id);

#endif

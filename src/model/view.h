/*
 * Immutable routing view. The control duty publishes it, the request duty
 * reads it; a request keeps the view it started with. Reference-counted.
 */
#ifndef VIEW_H
#define VIEW_H

#include <stdint.h>

#include "model/contract.h"
#include "model/layout.h"

/* Share of new work, in permille, for one data centre. */
struct dc_share {
	char data_centre[NAME_BYTES];
	/* 0 when taken out, 1000 when in, between while returning. */
	uint32_t share_permille;
};

/* Share of new work, in permille, for one version of a service. */
struct version_share {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	uint32_t share_permille;
};

/* Target that gets no new work (leaving or taken out). */
struct blocked_target {
	char id[NAME_BYTES];
};

struct view {
	_Atomic uint32_t refs;
	uint64_t config_rev;
	/* Number of live entry hosts and this host's position among them. */
	uint32_t host_count;
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

/* Empty view with one reference. */
struct view *view_new(void);
struct view *view_ref(struct view *v);
/* Drops one reference; the last one frees. NULL is ignored. */
void view_unref(struct view *v);

const struct contract *view_contract(const struct view *v,
				     const char *customer);
const struct layout *view_layout(const struct view *v, const char *index);
/* 1000 for a data centre without an entry. */
uint32_t view_dc_share(const struct view *v, const char *data_centre);
/* 1000 for a version without an entry. */
uint32_t view_version_share(const struct view *v, const char *service,
			    const char *version);
int view_target_blocked(const struct view *v, const char *target_id);

#endif

#include "model/view.h"

#include <string.h>

struct view *view_new(void)
{
	struct view *v = util_alloc(1, sizeof(*v));

	v->refs = 1;
	return v;
}

struct view *view_ref(struct view *v)
{
	v->refs++;
	return v;
}

void view_unref(struct view *v)
{
	uint32_t i;

	if (!v || --v->refs)
		return;
	for (i = 0; i < v->layout_count; i++)
		layout_free(v->layouts[i]);
	free(v->layouts);
	free(v->contracts);
	free(v->dcs);
	free(v->versions);
	free(v->blocked_targets);
	free(v->hosts);
	free(v);
}

const struct contract *view_contract(const struct view *v, const char *customer)
{
	uint32_t i;

	for (i = 0; i < v->contract_count; i++) {
		if (strcmp(v->contracts[i].customer, customer) == 0)
			return &v->contracts[i];
	}
	return NULL;
}

const struct layout *view_layout(const struct view *v, const char *index)
{
	uint32_t i;

	for (i = 0; i < v->layout_count; i++) {
		if (strcmp(v->layouts[i]->index, index) == 0)
			return v->layouts[i];
	}
	return NULL;
}

uint32_t view_dc_share(const struct view *v, const char *data_centre)
{
	uint32_t i;

	for (i = 0; i < v->dc_count; i++) {
		if (strcmp(v->dcs[i].data_centre, data_centre) == 0)
			return v->dcs[i].share_permille;
	}
	return PERMILLE;
}

uint32_t view_version_share(const struct view *v, const char *service,
			    const char *version)
{
	uint32_t i;

	for (i = 0; i < v->version_count; i++) {
		if (strcmp(v->versions[i].version, version) == 0 &&
		    strcmp(v->versions[i].service, service) == 0)
			return v->versions[i].share_permille;
	}
	return PERMILLE;
}

int view_target_blocked(const struct view *v, const char *target_id)
{
	uint32_t i;

	for (i = 0; i < v->blocked_target_count; i++) {
		if (strcmp(v->blocked_targets[i].id, target_id) == 0)
			return 1;
	}
	return 0;
}

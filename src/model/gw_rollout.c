#include "model/gw_rollout.h"

#include <string.h>

#include "base/util.h"

static uint32_t find(const struct gw_barred *b, const char *version)
{
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		if (strcmp(b->versions[i], version) == 0)
			break;
	}
	return i;
}

static void remove_at(struct gw_barred *b, uint32_t i)
{
	b->count--;
	memmove(b->versions[i], b->versions[i + 1],
		(b->count - i) * sizeof(b->versions[0]));
}

void gw_barred_remove(struct gw_barred *b, const char *version)
{
	uint32_t i = find(b, version);

	if (i < b->count)
		remove_at(b, i);
}

void gw_barred_add(struct gw_barred *b, const char *version)
{
	gw_barred_remove(b, version);
	if (b->count == GW_BARRED_MAX)
		remove_at(b, 0);
	util_copy_str(b->versions[b->count++], sizeof(b->versions[0]), version);
}

int gw_barred_has(const struct gw_barred *b, const char *version)
{
	return find(b, version) < b->count;
}

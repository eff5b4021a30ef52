#include "model/store_update.h"

#include <stdlib.h>

void store_update_free(struct store_update *u)
{
	uint32_t i;

	if (!u)
		return;
	for (i = 0; i < u->pair_count; i++)
		free(u->pairs[i].value);
	free(u->pairs);
	free(u);
}

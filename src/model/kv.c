#include "model/kv.h"

#include <string.h>

void kv_result_clear(struct kv_result *r)
{
	uint32_t i;

	for (i = 0; i < r->pair_count; i++)
		free(r->pairs[i].value);
	free(r->pairs);
	memset(r, 0, sizeof(*r));
}

#include "decide/hrw.h"

#include <string.h>
#include <xxhash.h>

uint64_t hrw_weight(const char *key, const char *candidate)
{
	uint64_t seed = XXH64(key, strlen(key), 0);

	return XXH64(candidate, strlen(candidate), seed);
}

int hrw_before(const char *key, const char *a, const char *b)
{
	uint64_t x = hrw_weight(key, a);
	uint64_t y = hrw_weight(key, b);

	return x != y ? x > y : strcmp(a, b) < 0;
}

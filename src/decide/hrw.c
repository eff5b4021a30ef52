#include "decide/hrw.h"

#include <string.h>
#include <xxhash.h>

uint64_t hrw_weight(const char *key, const char *candidate)
{
	uint64_t seed = XXH64(key, strlen(key), 0);

	return XXH64(candidate, strlen(candidate), seed);
}

/* 1 if candidate @a goes before @b; names break ties of weights. */
static int before(const char *key, const char *a, const char *b)
{
	uint64_t x = hrw_weight(key, a);
	uint64_t y = hrw_weight(key, b);

	return x != y ? x > y : strcmp(a, b) < 0;
}

uint32_t hrw_pick(const char *key, const char *const *candidates,
		  uint32_t count, uint32_t want, uint32_t *out)
{
	uint32_t picked = 0;
	uint32_t i;

	for (i = 0; i < count && want; i++) {
		uint32_t at = picked;

		while (at > 0 &&
		       before(key, candidates[i], candidates[out[at - 1]]))
			at--;
		if (at == want)
			continue;
		if (picked < want)
			picked++;
		memmove(&out[at + 1], &out[at],
			(picked - at - 1) * sizeof(*out));
		out[at] = i;
	}
	return picked;
}

int hrw_is_owner(const char *key, const char *self, char (*hosts)[NAME_BYTES],
		 uint32_t host_count)
{
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		if (strcmp(hosts[i], self) != 0 && before(key, hosts[i], self))
			return 0;
	}
	return 1;
}

#include "decide/rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t rendezvous_weight(const char *key, const char *candidate)
{
	uint64_t seed = XXH64(key, strlen(key), 0);

	return XXH64(candidate, strlen(candidate), seed);
}

int rendezvous_before(const char *key, const char *a, const char *b)
{
	uint64_t weight_a = rendezvous_weight(key, a);
	uint64_t weight_b = rendezvous_weight(key, b);

	return weight_a != weight_b ? weight_a > weight_b : strcmp(a, b) < 0;
}

int rendezvous_is_owner(const char *key, const char *self,
			char (*hosts)[NAME_BYTES], uint32_t host_count)
{
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		if (strcmp(hosts[i], self) != 0 &&
		    rendezvous_before(key, hosts[i], self))
			return 0;
	}
	return 1;
}

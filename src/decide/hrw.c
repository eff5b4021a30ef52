#include "decide/hrw.h"

#include <string.h>
#include <xxhash.h>

uint64_t hrw_weight(const char *key, const char *node)
{
	return XXH64(node, strlen(node), XXH64(key, strlen(key), 0));
}

int hrw_is_owner(const char *key, const char *self, char (*hosts)[NAME_BYTES],
		 uint32_t host_count)
{
	uint64_t own = hrw_weight(key, self);
	uint32_t i;

	for (i = 0; i < host_count; i++) {
		uint64_t other = hrw_weight(key, hosts[i]);

		if (strcmp(hosts[i], self) == 0 || other < own)
			continue;
		/* Equal weights are decided by name, the same on all hosts. */
		if (other > own || strcmp(hosts[i], self) < 0)
			return 0;
	}
	return 1;
}

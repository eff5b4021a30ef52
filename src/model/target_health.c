#include "model/target_health.h"

#include <string.h>
#include <xxhash.h>

uint64_t target_health_key(const char *id, int64_t started_ms)
{
	return XXH64(id, strlen(id), (uint64_t)started_ms);
}

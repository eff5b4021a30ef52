/* What hosts tell each other of targets that fail or are slow. */
#ifndef TARGET_HEALTH_H
#define TARGET_HEALTH_H

#include <stdint.h>

/* Entries of one message between hosts; it fits one datagram. */
#define TARGET_HEALTH_MAX 48

/* One host's calls to a target in one period, or all hosts' of late. */
struct target_health {
	/* Hash of the target's ID and start; see target_health_key(). */
	uint64_t key;
	uint32_t calls;
	uint32_t failed_permille;
	/* Answer time relative to the route's mean. */
	uint32_t slowness_milli;
};

struct target_health_list {
	uint32_t count;
	struct target_health entries[TARGET_HEALTH_MAX];
};

uint64_t target_health_key(const char *id, int64_t born_ms);

#endif

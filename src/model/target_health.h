/* Reports of hosts to each other on targets that fail or are slow. */
#ifndef TARGET_HEALTH_H
#define TARGET_HEALTH_H

#include <stdint.h>

/* Entries of one message between hosts, which has to fit into one datagram. */
#define TARGET_HEALTH_MAX 48

/* Calls to one target: of one host in one period, or of all hosts recently. */
struct target_health {
	/* Identifies one process of the target; see target_health_key(). */
	uint64_t key;
	uint32_t calls;
	uint32_t failed_permille;
	/* Answer time in thousandths of the route's mean; 0: not found slow. */
	uint32_t slowness_milli;
};

struct target_health_list {
	uint32_t count;
	struct target_health entries[TARGET_HEALTH_MAX];
};

/* Hash of the ID of a target and the wall-clock time at which it started. */
uint64_t target_health_key(const char *id, int64_t started_ms);

#endif

/* Background load: threads that search through all hosts, one at a time each. */
#ifndef LOAD_H
#define LOAD_H

#include <stdint.h>

struct load;

struct load_counts {
	uint64_t complete;
	uint64_t partial;
	uint64_t refused;
	/* No answer, or one to another request. */
	uint64_t lost;
	int64_t p50_us;
	int64_t p99_us;
};

struct load_target {
	const char *customer;
	const char *index;
};

/* @ports: caller ports of the hosts. */
struct load *load_start(uint32_t threads, const uint16_t *ports,
			uint32_t port_count, const struct load_target *targets,
			uint32_t target_count);
/* Leaves host @i alone from now on, as a load balancer does. */
void load_skip(struct load *l, uint32_t i);
/* What was counted since the last call. */
void load_take(struct load *l, struct load_counts *out);
void load_stop(struct load *l);

#endif

/* Background load: each thread sends one search at a time to a random host. */
#ifndef LOAD_H
#define LOAD_H

#include <stdint.h>

struct load;

struct load_counts {
	uint64_t complete;
	uint64_t partial;
	uint64_t refused;
	/* No answer, or an answer to another request. */
	uint64_t lost;
	/*
	 * Median and 99th percentile of the time from sending a request to its
	 * answer or loss; 0 without requests.
	 */
	int64_t p50_us;
	int64_t p99_us;
};

/* Index to search, and the customer that searches it. */
struct load_target {
	const char *customer;
	const char *index;
};

/* @ports: caller ports of the hosts; copied. @targets must outlive the load. */
struct load *load_start(uint32_t threads, const uint16_t *ports,
			uint32_t port_count, const struct load_target *targets,
			uint32_t target_count);
/*
 * Sends nothing more to the host with port @i, as a load balancer does with a
 * host that drains.
 */
void load_skip(struct load *l, uint32_t i);
/* Fills @out with the counts since the last call and resets them. */
void load_take(struct load *l, struct load_counts *out);
/* Waits for the threads and frees @l. */
void load_stop(struct load *l);

#endif

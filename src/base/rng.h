/* Pseudo-random numbers (splitmix64), which repeat with the same seed. */
#ifndef RNG_H
#define RNG_H

#include <stdint.h>

struct rng {
	/* Set to the seed before the first use. */
	uint64_t state;
};

static inline uint64_t rng_u64(struct rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Uniform in 0 to @bound - 1; 0 if @bound is 0. */
static inline uint32_t rng_below(struct rng *r, uint32_t bound)
{
	return (uint32_t)(((rng_u64(r) >> 32) * (uint64_t)bound) >> 32);
}

/* Uniform in [0, 1). */
static inline double rng_unit(struct rng *r)
{
	return (double)(rng_u64(r) >> 11) * 0x1.0p-53;
}

#endif

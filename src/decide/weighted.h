/*
 * Smooth weighted round-robin: shares of choices that follow weights, also over
 * few choices and after the weights have changed.
 */
#ifndef WEIGHTED_H
#define WEIGHTED_H

#include <stdint.h>

/*
 * Chooses one of @count parts. @weights: not negative, one of them positive; a
 * part of weight 0 is not chosen. @credit: zeroed before the first choice, and
 * kept between choices; it is in choices, so that it means the same whatever
 * the weights add up to.
 */
uint32_t weighted_choose(const double *weights, double *credit, uint32_t count);

#endif

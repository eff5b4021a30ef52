#include "decide/weighted.h"

uint32_t weighted_choose(const double *weights, double *credit, uint32_t count)
{
	double sum = 0;
	uint32_t best = count;
	uint32_t i;

	for (i = 0; i < count; i++)
		sum += weights[i];
	for (i = 0; i < count; i++) {
		if (!(weights[i] > 0)) {
			/* Earned under earlier weights; it gets no choice. */
			credit[i] = 0;
			continue;
		}
		credit[i] += weights[i] / sum;
		if (best == count || credit[i] > credit[best])
			best = i;
	}
	if (best == count)
		return 0;
	credit[best] -= 1;
	return best;
}

/*
 * Sequential comparison of two versions that serve the same load.
 *
 * Each window gives, for the old and the new version, the number of
 * sub-requests (in the gateway: calls) and of bad ones (failed, or slow); they
 * are called requests below. Given the bad ones of a window, and with equal
 * versions, each belongs to the new version with probability
 * q0 = new / (new + old), whatever the load and the bad share of that moment
 * are. The statistic is a CUSUM of the likelihood ratio against versions that
 * are 2, 8 and 50 times as likely to be bad. For equal versions the ratio of a
 * window has mean at most 1 (Hoeffding 1963: sampling without replacement), so
 * from each starting window the statistic passes h with probability at most
 * exp(-h), and over n windows with at most n exp(-h).
 *
 * At full share no old version runs. Then the comparison is with three times
 * the old version's share of bad requests so far, and at least a fixed share.
 */
#ifndef CUSUM_H
#define CUSUM_H

#include <stdint.h>

#define CUSUM_RATIOS 3

/* Requests of one window, the bad ones included. */
struct cusum_window {
	uint64_t new_requests;
	uint64_t new_bad;
	uint64_t old_requests;
	uint64_t old_bad;
};

struct cusum {
	/* Statistic of each ratio, in nats. */
	double score_nats[CUSUM_RATIOS];
	/* Statistic of the comparison with the old version's past, in nats. */
	double past_score_nats;
	/* Requests of the old version so far, and the bad ones among them. */
	uint64_t old_requests;
	uint64_t old_bad;
};

/*
 * Adds one window. @floor: share of bad requests, 0 to 1, that is accepted in
 * any case when no old version runs.
 */
void cusum_add(struct cusum *s, const struct cusum_window *w, double floor);
/* Largest statistic in nats, to be compared with cusum_threshold(). */
double cusum_score(const struct cusum *s);
/*
 * Threshold in nats at which @tests tests over @windows windows each raise a
 * false alarm with a total probability of at most @alpha.
 */
double cusum_threshold(double tests, double windows, double alpha);

#endif

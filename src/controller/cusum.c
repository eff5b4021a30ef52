#include "controller/cusum.h"

#include <math.h>

/* How many times as likely to be bad the new version's requests are. */
static const double ratios[CUSUM_RATIOS] = { 2.0, 8.0, 50.0 };

/*
 * One window adds at most this much, so that a burst of bad requests in a
 * single window, as when one target dies, does not make a version bad.
 */
#define WINDOW_NATS_MAX 7.0
/*
 * Each good request of the new version subtracts this much, so that a few early
 * bad requests do not hold a rollout for ever. A version that fails in less
 * than about one request in 500 is therefore not found.
 */
#define GOOD_NATS 0.002
/*
 * At full share, a share of bad requests up to this multiple of the old
 * version's is accepted. The alternative of the test is FULL_RATIO times the
 * accepted share, at most FULL_SHARE_MAX.
 */
#define FULL_LIMIT_MULTIPLE 3.0
#define FULL_RATIO 4.0
#define FULL_SHARE_MAX 0.9
/*
 * The new version counts as alone when the old one's requests are fewer than
 * this part (1 in 100) of its own.
 */
#define OLD_PART_MIN 100

/* One step of a CUSUM: the statistic does not fall below 0. */
static double add_gain(double score, double gain)
{
	return fmax(0.0, score + fmin(gain, WINDOW_NATS_MAX));
}

/*
 * Log of the likelihood ratio of the window's bad requests, in nats. @q0:
 * probability that a bad request belongs to the new version if both versions
 * are equal; q1: the same if the new one is @ratio times as likely to be bad.
 */
static double bad_gain(const struct cusum_window *w, double q0, double ratio)
{
	double q1 = ratio * q0 / (1.0 - q0 + ratio * q0);

	if (w->new_bad + w->old_bad == 0)
		return 0.0;
	return (double)w->new_bad * log(q1 / q0) +
	       (double)w->old_bad * log((1.0 - q1) / (1.0 - q0));
}

/* Compares the new version with the old one in the same window. */
static void add_compared(struct cusum *s, const struct cusum_window *w)
{
	double total = (double)(w->new_requests + w->old_requests);
	double q0 = (double)w->new_requests / total;
	double good = (double)(w->new_requests - w->new_bad);
	uint32_t i;

	for (i = 0; i < CUSUM_RATIOS; i++) {
		double gain = bad_gain(w, q0, ratios[i]);

		s->score_nats[i] =
			add_gain(s->score_nats[i], gain - GOOD_NATS * good);
	}
}

/* Compares the new version at full share with the old version's past. */
static void add_full(struct cusum *s, const struct cusum_window *w,
		     double floor)
{
	double past =
		((double)s->old_bad + 1.0) / ((double)s->old_requests + 100.0);
	double p0 = fmax(FULL_LIMIT_MULTIPLE * past, floor);
	double p1 = fmin(FULL_RATIO * p0, FULL_SHARE_MAX);
	double good = (double)(w->new_requests - w->new_bad);

	/* The old version was so bad that there is no alternative to test. */
	if (p0 >= p1)
		return;
	s->past_score_nats =
		add_gain(s->past_score_nats,
			 (double)w->new_bad * log(p1 / p0) +
				 good * log((1.0 - p1) / (1.0 - p0)));
}

void cusum_add(struct cusum *s, const struct cusum_window *w, double floor)
{
	s->old_requests += w->old_requests;
	s->old_bad += w->old_bad;
	if (w->new_requests == 0)
		return;
	if (w->old_requests > 0)
		add_compared(s, w);
	if (w->old_requests * OLD_PART_MIN < w->new_requests)
		add_full(s, w, floor);
}

double cusum_score(const struct cusum *s)
{
	double max_score = s->past_score_nats;
	uint32_t i;

	for (i = 0; i < CUSUM_RATIOS; i++)
		max_score = fmax(max_score, s->score_nats[i]);
	return max_score;
}

double cusum_threshold(double tests, double windows, double alpha)
{
	return log(fmax(1.0, tests) * fmax(1.0, windows) / alpha);
}

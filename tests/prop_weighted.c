/*
 * Choices among parts by weights that change at random. Guards against a part
 * that gets requests on the credit of earlier weights: one of weight 0 gets
 * none, and shares follow the weights from the first choices on.
 */
#include <glib.h>

#include "base/util.h"
#include "decide/weighted.h"

#define SEEDS 2000
#define PARTS_MAX 8
#define CHANGES 20
#define CHOICES_MAX 400

/* Weights of any scale, about a third of them 0, one of them positive. */
static void draw_weights(GRand *rand, double *weights, uint32_t count)
{
	static const double scales[] = { 1, 100, 0.001, 1e9 };
	double scale = scales[g_rand_int_range(rand, 0, countof(scales))];
	uint32_t i;

	for (i = 0; i < count; i++)
		weights[i] = g_rand_int_range(rand, 0, 3) == 0
				     ? 0
				     : scale * g_rand_double(rand);
	weights[g_rand_int_range(rand, 0, (gint32)count)] =
		scale * (0.01 + g_rand_double(rand));
}

static void test_shares(void)
{
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		uint32_t count =
			(uint32_t)g_rand_int_range(rand, 2, PARTS_MAX + 1);
		double credit[PARTS_MAX] = { 0 };
		uint32_t change;

		for (change = 0; change < CHANGES; change++) {
			uint32_t choices = (uint32_t)g_rand_int_range(
				rand, 1, CHOICES_MAX);
			uint32_t chosen[PARTS_MAX] = { 0 };
			double weights[PARTS_MAX];
			double sum = 0;
			uint32_t i;

			draw_weights(rand, weights, count);
			for (i = 0; i < choices; i++)
				chosen[weighted_choose(weights, credit,
						       count)]++;
			for (i = 0; i < count; i++)
				sum += weights[i];
			for (i = 0; i < count; i++) {
				double due = choices * weights[i] / sum;

				if (weights[i] == 0)
					g_assert_cmpuint(chosen[i], ==, 0);
				/* At most one choice of each part is early. */
				g_assert_cmpfloat(chosen[i], <=, due + count);
				g_assert_cmpfloat(chosen[i], >=, due - count);
			}
		}
		g_rand_free(rand);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/weighted/shares", test_shares);
	return g_test_run();
}

#include "cap.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/util.h"

struct cap_series *cap_start(struct cap *c, const char *name,
			     const char *x_unit, const char *y_unit)
{
	struct cap_series *s;

	c->series = util_grow(c->series, c->count + 1, sizeof(*c->series));
	s = &c->series[c->count++];
	*s = (struct cap_series){ .name = name,
				  .x_unit = x_unit,
				  .y_unit = y_unit };
	return s;
}

void cap_point(struct cap_series *s, double x, double y)
{
	if (s->count == CAP_POINTS_MAX)
		return;
	s->x[s->count] = x;
	s->y[s->count++] = y;
}

void cap_fit(struct cap_series *s)
{
	double n = s->count;
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;
	double residual = 0;
	uint32_t i;

	for (i = 0; i < s->count; i++) {
		sx += s->x[i];
		sy += s->y[i];
	}
	for (i = 0; i < s->count; i++) {
		sxx += (s->x[i] - sx / n) * (s->x[i] - sx / n);
		sxy += (s->x[i] - sx / n) * (s->y[i] - sy / n);
	}
	s->slope = sxy / sxx;
	s->intercept = (sy - s->slope * sx) / n;
	for (i = 0; i < s->count; i++)
		residual += pow(s->y[i] - s->intercept - s->slope * s->x[i], 2);
	s->slope_error = sqrt(residual / (n - 2) / sxx);
	printf("%-34s %12.4f +- %-9.4f %s per %s; at 0: %.3f\n", s->name,
	       s->slope, s->slope_error, s->y_unit, s->x_unit, s->intercept);
	for (i = 0; i < s->count; i++)
		printf("    %10.0f %14.3f\n", s->x[i], s->y[i]);
	fflush(stdout);
}

double cap_cpu_us(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * US_PER_S +
	       (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

double cap_heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

double cap_resident_bytes(void)
{
	FILE *f = fopen("/proc/self/statm", "re");
	long pages = 0;

	malloc_trim(0);
	if (!f)
		return 0;
	if (fscanf(f, "%*d %ld", &pages) != 1)
		pages = 0;
	fclose(f);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double cap_median(cap_run_fn *run, void *ctx)
{
	double results[CAP_RUNS];
	uint32_t i;

	for (i = 0; i < CAP_RUNS; i++)
		results[i] = run(ctx);
	qsort(results, CAP_RUNS, sizeof(double), compare);
	return results[CAP_RUNS / 2];
}

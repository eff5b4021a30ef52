/*
 * Capacity measurements: each series measures a cost at four or more sizes
 * and fits a line. CPU time is the user and system time of the process from
 * getrusage(); memory is what the allocator has handed out.
 */
#ifndef CAP_H
#define CAP_H

#include <jansson.h>
#include <stdint.h>

#include "base/err.h"

#define CAP_POINTS_MAX 8
/* Each point is the median of this many runs. */
#define CAP_RUNS 5

/* One cost, y, measured at several sizes, x, with the fitted line. */
struct cap_series {
	const char *name;
	const char *x_unit;
	const char *y_unit;
	uint32_t count;
	double x[CAP_POINTS_MAX];
	double y[CAP_POINTS_MAX];
	/* y_unit per x_unit. */
	double slope;
	/* Standard error of the slope. */
	double slope_error;
	/* Value of the fitted line at x = 0. */
	double intercept;
};

struct cap {
	uint32_t count;
	struct cap_series *series;
};

/* Adds a series; the pointer is valid until the next call of cap_start(). */
struct cap_series *cap_start(struct cap *c, const char *name,
			     const char *x_unit, const char *y_unit);
/* Adds a point; points after CAP_POINTS_MAX are ignored. */
void cap_point(struct cap_series *s, double x, double y);
/* Fits the line by least squares and prints it with the points. */
void cap_fit(struct cap_series *s);

/* CPU time of the process in us. */
double cap_cpu_us(void);
/* Bytes that the allocator has handed out. */
double cap_heap_bytes(void);
/*
 * Resident size of the process in bytes, after unused heap memory is given back
 * to the system; 0 if it cannot be read.
 */
double cap_resident_bytes(void);
/* One measurement: a CPU time in us or a size in bytes. */
typedef double cap_run_fn(void *ctx);
/* Median of CAP_RUNS calls of @run. */
double cap_median(cap_run_fn *run, void *ctx);

enum err_code cap_write_json(const struct cap *c, const char *path,
			     struct err *err);
enum err_code cap_write_svg(const struct cap *c, const char *path,
			    struct err *err);

/* Each of these measures the series of one file, cap_*.c. */
void cap_membership(struct cap *c);
void cap_config(struct cap *c);
void cap_view(struct cap *c);
void cap_path(struct cap *c);
void cap_codec(struct cap *c);
void cap_base(struct cap *c);
enum err_code cap_target(struct cap *c, struct err *err);

#endif

/*
 * Capacity measurements: each series measures a cost at four or more sizes
 * and fits a line. CPU time is getrusage() of the process, user and system;
 * memory is what the allocator has handed out.
 */
#ifndef CAP_H
#define CAP_H

#include <jansson.h>
#include <stdint.h>

#include "base/err.h"

#define CAP_POINTS_MAX 8
/* Each point is the median of so many runs. */
#define CAP_RUNS 5

struct cap_series {
	const char *name;
	const char *x_unit;
	const char *y_unit;
	uint32_t count;
	double x[CAP_POINTS_MAX];
	double y[CAP_POINTS_MAX];
	double slope;
	/* Standard error of the slope. */
	double slope_error;
	double intercept;
};

struct cap {
	uint32_t count;
	struct cap_series *series;
};

/* Starts a series; the pointer is valid until the next call. */
struct cap_series *cap_start(struct cap *c, const char *name,
			     const char *x_unit, const char *y_unit);
void cap_point(struct cap_series *s, double x, double y);
/* Fits the line by least squares. */
void cap_fit(struct cap_series *s);

/* CPU time of the process in us. */
double cap_cpu_us(void);
/* Bytes that the allocator has handed out. */
double cap_heap_bytes(void);
/* Resident size of the process in bytes. */
double cap_resident_bytes(void);
typedef double cap_run_fn(void *ctx);
/* Median of CAP_RUNS calls of @run. */
double cap_median(cap_run_fn *run, void *ctx);

enum err_code cap_write_json(const struct cap *c, const char *path,
			     struct err *err);
enum err_code cap_write_svg(const struct cap *c, const char *path,
			    struct err *err);

/* Groups of series, one file each. */
void cap_membership(struct cap *c);
void cap_config(struct cap *c);
void cap_view(struct cap *c);
void cap_path(struct cap *c);
void cap_codec(struct cap *c);
void cap_base(struct cap *c);
enum err_code cap_target(struct cap *c, struct err *err);

#endif

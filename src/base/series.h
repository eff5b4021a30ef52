/*
 * Metrics of each route and service in the Prometheus text format: a counter of
 * each outcome and a histogram of the time taken. Any thread may observe. The
 * buckets are fixed, because the package registry has no histogram library for
 * C.
 */
#ifndef SERIES_H
#define SERIES_H

#include <stdint.h>

#include "base/util.h"

/* DEF(id, label, counter, histogram, what is counted) */
#define SERIES_FAMILIES(DEF)                                  \
	DEF(SERIES_ROUTE, "route", "route_answers_total",     \
	    "route_answer_seconds", "Answers to callers")     \
	DEF(SERIES_SERVICE, "service", "service_calls_total", \
	    "service_call_seconds", "Calls to targets")

enum series_family {
#define DEF(id, label, counter, histogram, help) id,
	SERIES_FAMILIES(DEF)
#undef DEF
		SERIES_FAMILY_COUNT
};

/* DEF(id, value of the label outcome) */
#define SERIES_OUTCOMES(DEF)           \
	DEF(SERIES_OK, "ok")           \
	DEF(SERIES_PARTIAL, "partial") \
	DEF(SERIES_NOT_RUN, "not_run") \
	DEF(SERIES_FAILED, "failed")   \
	DEF(SERIES_CANCELLED, "cancelled")

enum series_outcome {
#define DEF(id, name) id,
	SERIES_OUTCOMES(DEF)
#undef DEF
		SERIES_OUTCOME_COUNT
};

/* DEF(upper bound of the bucket in us) */
#define SERIES_BUCKETS(DEF) \
	DEF(1000)           \
	DEF(2000)           \
	DEF(5000)           \
	DEF(10000)          \
	DEF(20000)          \
	DEF(35000)          \
	DEF(50000)          \
	DEF(75000)          \
	DEF(100000)         \
	DEF(150000)         \
	DEF(250000) DEF(500000) DEF(1000000) DEF(2500000) DEF(10000000)

/* Series of one family by name; further names share the series "other". */
#define SERIES_NAMES_MAX 256

struct series;

/* The series of @name, which is added if needed and never freed. */
struct series *series_get(enum series_family family, const char *name);
/* Counts one answer or call that had @outcome after @took_us. */
void series_observe(struct series *s, enum series_outcome outcome,
		    int64_t took_us);
/* Appends the text of all series. */
void series_write(struct buf *out);

#endif

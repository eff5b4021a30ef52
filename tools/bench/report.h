/* Results as a table on standard output and as build/bench.json. */
#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include <jansson.h>

#include "bench.h"

void report_head(void);
void report_line(const char *scenario, const struct result *r);
/* Adds @r to @all as scenario -> policy. */
void report_add(json_t *all, const char *scenario, const struct result *r);
enum err_code report_write(json_t *all, const char *path, struct err *err);

#endif

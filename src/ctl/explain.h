/*
 * "cowslippoint explain ID [LOG...]": prints the log lines of one request from
 * the logs of any number of hosts, and the changes of state that can have
 * affected it, in order of time.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stdio.h>

#include "base/util.h"

struct explain;

struct explain *explain_new(const char *request_id);
void explain_free(struct explain *e);
/* Adds a line of a log; a line without the fields of base/log.h is ignored. */
void explain_add_line(struct explain *e, const char *line);
/*
 * Appends the lines in order of time and the findings to @out. Returns 0 when
 * no line of the request was added.
 */
int explain_write(struct explain *e, struct buf *out);

int explain_main(int argc, char **argv);

#endif

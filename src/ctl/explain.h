/*
 * "cowslippoint explain ID [LOG...]": the course of one request from the logs
 * of any number of hosts, with the changes of state that bear on it.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stdio.h>

#include "base/util.h"

struct explain;

struct explain *explain_new(const char *request_id);
void explain_free(struct explain *e);
/* Takes one log line; a line that is none of the gateway's is ignored. */
void explain_add_line(struct explain *e, const char *line);
/* Appends the course in order of time and what it shows; 0: not found. */
int explain_write(struct explain *e, struct buf *out);

int explain_main(int argc, char **argv);

#endif

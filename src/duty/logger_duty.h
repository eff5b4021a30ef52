/* The logger duty: writes log lines off the other duties. */
#ifndef LOGGER_DUTY_H
#define LOGGER_DUTY_H

#include <stdio.h>

#include "base/err.h"

struct logger_duty;

/* Starts the thread and becomes the sink of base/log.h; writes to @out. */
struct logger_duty *logger_duty_new(FILE *out, struct err *err);
/* Writes what is queued and goes back to direct writing. */
void logger_duty_free(struct logger_duty *l);

#endif

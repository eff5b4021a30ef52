/* The logger duty: writes log lines, so that no other duty waits for that. */
#ifndef LOGGER_DUTY_H
#define LOGGER_DUTY_H

#include <stdio.h>

#include "base/err.h"

struct logger_duty;

/* Starts the thread, makes it the sink of base/log.h, and writes to @out. */
struct logger_duty *logger_duty_new(FILE *out, struct err *err);
/* Restores the default sink, writes the queued lines and ends the thread. */
void logger_duty_free(struct logger_duty *l);

#endif
